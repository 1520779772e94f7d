#include "launcher.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <unistd.h>

#include <fstream>
#include <future>
#include <mutex>
#include <string>
#include <thread>

namespace
{

constexpr int kExitCode = 127;

/// Descriptors for which a test program has room from its start.
constexpr int kDescriptors = 8192;

/// The kernel enlarges the table of descriptors at each power of two. In a
/// program with several threads all that open one wait for that, at times over
/// a second on a busy machine, the simulated targets as well.
bool
reserve_descriptors ()
{
  int fd = fcntl (STDERR_FILENO, F_DUPFD_CLOEXEC, kDescriptors - 1);
  if (fd < 0)
    return false;
  close (fd);
  return true;
}

[[maybe_unused]] const bool has_reserved_descriptors = reserve_descriptors ();

/// The kernel signals a child when the thread that forked it ends, so a thread
/// that lives as long as the process forks all of them.
class Launcher
{
public:
  Launcher ()
  {
    std::thread ([this] { loop (); }).detach ();
  }
  pid_t
  launch (const std::function<void ()> &run)
  {
    std::lock_guard<std::mutex> lock (mutex_);
    std::promise<pid_t> pid;
    std::future<pid_t> result = pid.get_future ();
    request_.set_value ({ &run, &pid });
    return result.get ();
  }

private:
  struct Request
  {
    const std::function<void ()> *run;
    std::promise<pid_t> *pid;
  };
  [[noreturn]] void
  loop ()
  {
    for (;;)
      {
        Request request = request_.get_future ().get ();
        request_ = std::promise<Request> ();
        request.pid->set_value (fork_child (*request.run));
      }
  }
  static pid_t
  fork_child (const std::function<void ()> &run)
  {
    pid_t parent = getpid ();
    pid_t pid = fork ();
    if (pid != 0)
      return pid;
    prctl (PR_SET_PDEATHSIG, SIGKILL);
    // The parent may have ended before that.
    if (getppid () == parent)
      run ();
    _exit (kExitCode);
  }
  std::mutex mutex_;
  std::promise<Request> request_;
};

} // namespace

pid_t
launch_process (const std::function<void ()> &run)
{
  // Never destroyed: its thread uses it until the process ends.
  static Launcher *launcher = new Launcher ();
  return launcher->launch (run);
}

long
resident_kb (pid_t pid)
{
  std::ifstream status ("/proc/" + std::to_string (pid) + "/status");
  std::string word;
  long kb = 0;
  while (status >> word)
    if (word == "VmRSS:")
      status >> kb;
  return kb;
}
