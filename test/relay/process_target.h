/// @file process_target.h
/// A plain target as a process of its own, whose connections end as its kernel
/// ends them when it is killed. Its answers have neither a length nor chunks.
#ifndef KB_TEST_RELAY_PROCESS_TARGET_H
#define KB_TEST_RELAY_PROCESS_TARGET_H

#include <sys/types.h>

#include <string>

namespace relay
{

class ProcessTarget
{
public:
  /// @param listens_on  Answers behind the first one are served; otherwise it
  ///   stops listening before it answers, and exits behind its answer.
  ProcessTarget (const std::string &ip, bool listens_on);
  ~ProcessTarget ();
  std::string
  address () const
  {
    return address_;
  }
  void kill ();
  static constexpr int kSlowMs = 400;
  static constexpr size_t kLargeBytes = 100000;
  /// The body of a whole answer. Requests with "/half" in their paths get the
  /// first half of it, with "/half-large" `kLargeBytes`, then nothing; those
  /// with "/slow" wait for it. Behind a whole one to "/exit", which pauses in
  /// its middle, the process exits; it listens until then.
  static const std::string body;

private:
  std::string address_;
  pid_t pid_;
};

} // namespace relay

#endif
