// Child processes end with the program that launched them.
#include "launcher.h"

#include <gtest/gtest.h>

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <thread>

namespace
{

/// Launch a child from a thread that ends at once. The child reports its id
/// once it runs.
[[noreturn]] void
run_program (int report_fd)
{
  std::thread ([report_fd] {
    launch_process ([report_fd] {
      pid_t child = getpid ();
      if (write (report_fd, &child, sizeof child) == sizeof child)
        pause ();
    });
  }).join ();
  for (;;)
    pause ();
}

// Guards against daemons that outlive a test program which was ended by a
// signal, and keep its addresses.
TEST (Launcher, ChildEndsWithAProgramThatIsKilled)
{
  // Children of the killed program become children of this one.
  ASSERT_EQ (prctl (PR_SET_CHILD_SUBREAPER, 1), 0);
  int report[2];
  ASSERT_EQ (pipe (report), 0);
  pid_t program = fork ();
  ASSERT_GE (program, 0);
  if (program == 0)
    run_program (report[1]);
  pid_t child = 0;
  ASSERT_EQ (read (report[0], &child, sizeof child), (ssize_t)sizeof child);
  EXPECT_EQ (kill (child, 0), 0);
  kill (program, SIGKILL);
  ASSERT_EQ (waitpid (program, nullptr, 0), program);
  int status = 0;
  ASSERT_EQ (waitpid (child, &status, 0), child);
  EXPECT_TRUE (WIFSIGNALED (status));
}

} // namespace
