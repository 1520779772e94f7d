/// @file overload.h
/// Callers who send at a steady rate, each request on a new connection,
/// through a balancer that may prefer one gateway.
#ifndef KB_TEST_RELAY_OVERLOAD_H
#define KB_TEST_RELAY_OVERLOAD_H

#include "site.h"

namespace relay
{

/// How a request ended for its caller.
struct Outcome
{
  int second;   ///< Since the start, in which it was sent.
  int tries;    ///< Connections that it took.
  int status;   ///< Of its last try; zero: none came in time.
  int first_ms; ///< Until the last try's first byte; -1: none.
  /// Status of the first try that was read, as far as a caller can tell: one
  /// that got an answer, or neither that nor a reset. Zero: no answer.
  int first_read_status;
};

/// Shares of the requests of some seconds.
struct Shares
{
  int requests = 0;
  double served = 0;            ///< Whichever try.
  double served_first_read = 0; ///< At the first try that was read.
  double unanswered = 0;
};

/// An entry to which the balancer sends connections.
struct BalancedEntry
{
  std::string address;
  std::string ready;      ///< Address that answers whether it is ready.
  std::string ready_path; ///< And the path there.
};

std::vector<BalancedEntry> balanced_entries (const Site &site);

class Balancer
{
public:
  /// @param text_of  Makes the request with an id.
  /// @param per_s    Requests in a second.
  Balancer (const std::vector<BalancedEntry> &entries,
            std::function<std::string (const std::string &id)> text_of,
            int per_s)
      : entries_ (entries), text_of_ (text_of), per_s_ (per_s),
        misses_ (entries.size (), 0)
  {
  }
  /// Send requests for some seconds, and wait for their ends.
  /// @param share  Of the new connections that go to the first gateway while
  ///   it is in rotation, by second; the others share the rest.
  void run (int seconds, const std::function<double (int)> &share);
  Shares shares (int from_second, int to_second) const;
  /// Requests by second and end, for the output of a test.
  void print () const;
  /// Whether the first gateway was out of rotation in a second.
  std::set<int> out_of_rotation;

private:
  struct Request;
  void ask_readiness (int second);
  size_t choose (double share, size_t avoid);
  void open (Request *request);
  void advance (Request *request);
  void end (Request *request, int status);
  void retry (Request *request);
  std::vector<BalancedEntry> entries_;
  std::function<std::string (const std::string &id)> text_of_;
  int per_s_;
  std::vector<int> misses_;
  std::vector<Outcome> outcomes_;
  std::function<double (int)> share_;
  std::chrono::steady_clock::time_point began_;
};

/// Phases of a run in which most connections go to one entry.
struct Skew
{
  int first_second;
  int last_second; ///< First second after it.
  int seconds;     ///< Of the whole run.
  double share;    ///< Of the first entry, while it lasts.
  double usual_share;
};

/// Run such a load, and expect that what was read was served, and everything
/// once the connections are spread again.
void expect_served_while_skewed (Balancer &balancer, const Skew &skew);

/// Runs a process for a part of each tenth of a second. What other processes
/// take from that part doesn't count, so that a loaded machine doesn't make
/// the part smaller.
class Throttle
{
public:
  /// @param run_ms  Time of each 100 ms for which it runs.
  Throttle (pid_t pid, int run_ms);
  ~Throttle ();

private:
  pid_t pid_;
  std::atomic<bool> is_stopped_{ false };
  std::thread thread_;
};

} // namespace relay

#endif
