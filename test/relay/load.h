/// @file load.h
/// Continuous load from callers, and the arrival times of requests at targets.
#ifndef KB_TEST_RELAY_LOAD_H
#define KB_TEST_RELAY_LOAD_H

#include "site.h"

namespace relay
{

using Moment = std::chrono::steady_clock::time_point;

/// Closed-loop callers at all gateways: each has one request open at a time.
class Load
{
public:
  struct Counts
  {
    int answered = 0;
    int refused = 0;                     ///< Status 503 or 429: not run.
    int refused_without_retry_after = 0; ///< Refusals without a Retry-After.
    int max_refusal_ms = 0;              ///< Longest wait for a refusal.
    int other = 0;
  };
  /// @param call_of  Makes the request with an id.
  /// @param pause_ms  Time between an answer and the caller's next request.
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

/// Arrival times of the requests at a target, in order.
std::vector<Moment> arrivals_at (Target &target);
/// Largest number of arrivals in any window of `window_ms` that begins with an
/// arrival at `from` or later.
int max_arrivals_in_window (const std::vector<Moment> &arrivals, Moment from,
                            int window_ms);

} // namespace relay

#endif
