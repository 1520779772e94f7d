/// @file leavers.h
/// Callers who leave before their requests are read or answered.
#ifndef KB_TEST_RELAY_LEAVERS_H
#define KB_TEST_RELAY_LEAVERS_H

#include "load.h"

namespace relay
{

/// How a caller leaves.
enum class Departure
{
  CLOSE,
  RESET,
  CLOSE_AFTER_NEXT, ///< It sends one more request first.
};

/// Time after a caller has left within which its request may still reach a
/// target, and within which work for it ends.
constexpr int kGoneBoundMs = 500;

/// Callers at one address, each with a connection of its own.
class Leavers
{
public:
  /// @param call_of  Makes the request with an id.
  Leavers (const std::string &address,
           std::function<std::string (const std::string &id)> text_of,
           int count);
  /// Open the connections.
  void connect ();
  /// Open the connections, and get one answer on each of them. Callers who are
  /// refused come back.
  /// @param text_of  Makes the request with an id.
  void connect_served (
      const std::function<std::string (const std::string &id)> &text_of);
  /// Send a request on each connection.
  void send ();
  /// Let callers leave.
  /// @param count  How many of them; the others stay.
  void leave (Departure departure, size_t count);
  /// Expect an answer with status 200 for each caller who stays.
  void expect_the_rest_served ();
  /// Requests that reached a target over kGoneBoundMs after their callers had
  /// left; the latest such time is printed.
  /// @param arrivals  Moments at which each request reached a target.
  int count_late (const std::multimap<std::string, Moment> &arrivals) const;
  /// Callers whose requests have a property.
  int count_if (
      const std::function<bool (const std::string &id)> &has_property) const;
  /// Of the callers who left, those for whom a target was at work over
  /// kGoneBoundMs later; they and the latest end of work are printed.
  /// @param ends  Moments at which the work for a request ended.
  int count_worked_for (const std::multimap<std::string, Moment> &ends) const;

private:
  struct Caller
  {
    std::string id;
    std::unique_ptr<Connection> connection;
    bool has_left = false;
    Moment left_at;
  };
  std::string address_;
  std::function<std::string (const std::string &id)> text_of_;
  std::vector<Caller> callers_;
};

/// Moments at which requests reached the targets of a site, by attempt id.
std::multimap<std::string, Moment> arrivals_of (const Site &site);
/// Moments at which work of the plain targets ended early, by attempt id.
std::multimap<std::string, Moment> ended_work_of (const Site &site);
/// @return  Whether a plain target of a site has run a request.
bool has_run (const Site &site, const std::string &attempt_id);

/// A process that does not run until the end of the scope or go_on().
class Frozen
{
public:
  explicit Frozen (pid_t pid);
  ~Frozen () { go_on (); }
  void go_on ();

private:
  pid_t pid_;
};

} // namespace relay

#endif
