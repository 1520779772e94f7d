/// @file launcher.h
/// Starts child processes that end with the test program, however it ends, and
/// measures them.
#ifndef KB_TEST_SUPPORT_LAUNCHER_H
#define KB_TEST_SUPPORT_LAUNCHER_H

#include <sys/types.h>

#include <functional>

/// Fork a process. It is killed when the calling process ends, also by a
/// signal.
/// @param run  Called in the child, which exits if it returns.
/// @return     Id of the child; negative: fork failed.
pid_t launch_process (const std::function<void ()> &run);
/// @return  Resident memory of a process, in KiB; zero: it has ended.
long resident_kb (pid_t pid);

#endif
