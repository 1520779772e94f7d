/// @file load.h
/// Callers that send without a pause, and when what they sent came to targets.
#ifndef KB_TEST_RELAY_LOAD_H
#define KB_TEST_RELAY_LOAD_H

#include "site.h"

namespace relay
{

using Moment = std::chrono::steady_clock::time_point;

/// Callers of all gateways, each with one request after the other.
class Load
{
public:
  struct Counts
  {
    int answered = 0;
    int refused = 0; ///< As not run.
    int refused_without_retry_after
        = 0;                ///< Of these, without a time to come back.
    int max_refusal_ms = 0; ///< Until it was refused.
    int other = 0;
  };
  /// @param call_of   The call with an id.
  /// @param pause_ms  Of a caller, between an answer and its next request.
  Load (Site *site, Call (*call_of) (const std::string &id),
        int callers_per_gateway, int pause_ms);
  ~Load () { stop (); }
  Counts stop ();
  Counts counts ();

private:
  void run_caller (const Gateway &gateway, const std::string &name);
  void record_answer (const Message &answer, int took_ms);
  Call (*call_of_) (const std::string &id);
  int pause_ms_;
  std::atomic<bool> is_stopped_{ false };
  std::mutex mutex_;
  Counts counts_;
  std::vector<std::thread> threads_;
};

/// When requests came to a target, in order.
std::vector<Moment> arrivals_at (Target &target);
/// The most of them in any span of so long that begins at a moment or later.
int max_arrivals_in_window (const std::vector<Moment> &arrivals, Moment from,
                            int window_ms);

} // namespace relay

#endif
