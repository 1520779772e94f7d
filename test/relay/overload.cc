#include "overload.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace relay
{

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

/// Time for which a caller waits for an answer.
constexpr int kDeadlineMs = 3000;
/// Time for which it waits for a connection.
constexpr int kConnectMs = 1000;
constexpr int kMaxTries = 4;

static int
since_ms (Clock::time_point from)
{
  return (int)std::chrono::duration_cast<milliseconds> (Clock::now () - from)
      .count ();
}

std::vector<BalancedEntry>
balanced_entries (const Site &site)
{
  std::vector<BalancedEntry> entries;
  for (const Gateway &gateway : site.gateways)
    entries.push_back ({ gateway.address, gateway.ready, "/ready" });
  return entries;
}

static bool
is_whole (const std::string &response)
{
  size_t head_end = response.find ("\r\n\r\n");
  if (head_end == std::string::npos)
    return false;
  for (const std::string name : { "Content-Length: ", "content-length: " })
    {
      size_t at = response.find (name);
      if (at < head_end)
        return response.size ()
               >= head_end + 4
                      + (size_t)atoi (response.c_str () + at + name.size ());
    }
  static const std::string last = "\r\n0\r\n\r\n";
  return response.size () >= last.size ()
         && response.compare (response.size () - last.size (), last.size (),
                              last)
                == 0;
}

struct Balancer::Request
{
  std::string text;
  Outcome outcome{};
  size_t gateway = 0;
  int fd = -1;
  bool is_connected = false;
  bool is_over = false;
  Clock::time_point began;
  Clock::time_point try_began;
  std::string received;
};

size_t
Balancer::choose (double share, size_t avoid)
{
  size_t count = entries_.size ();
  std::vector<size_t> usable;
  for (size_t i = 0; i < count; i++)
    if (misses_[i] < 2)
      usable.push_back (i);
  // Under half in rotation: all are used.
  if (usable.size () * 2 < count)
    {
      usable.resize (count);
      for (size_t i = 0; i < count; i++)
        usable[i] = i;
    }
  bool has_first = std::count (usable.begin (), usable.end (), 0) > 0;
  if (avoid == SIZE_MAX && has_first && drand48 () < share)
    return 0;
  std::vector<size_t> others;
  for (size_t i : usable)
    if (i != avoid && (avoid != SIZE_MAX || i != 0 || !has_first))
      others.push_back (i);
  return others.empty () ? usable[0]
                         : others[(size_t)lrand48 () % others.size ()];
}

void
Balancer::open (Request *request)
{
  request->outcome.tries++;
  request->try_began = Clock::now ();
  request->is_connected = false;
  request->received.clear ();
  const std::string &address = entries_[request->gateway].address;
  size_t colon = address.find (':');
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons ((uint16_t)atoi (address.c_str () + colon + 1));
  inet_pton (AF_INET, address.substr (0, colon).c_str (), &to.sin_addr);
  request->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  if (connect (request->fd, (sockaddr *)&to, sizeof to) != 0
      && errno != EINPROGRESS)
    retry (request);
}

void
Balancer::end (Request *request, int status)
{
  if (request->fd >= 0)
    close (request->fd);
  request->fd = -1;
  request->is_over = true;
  request->outcome.status = status;
  if (request->outcome.first_read_status < 0)
    request->outcome.first_read_status = status;
  outcomes_.push_back (request->outcome);
}

/// The connection was refused, or reset without an answer.
void
Balancer::retry (Request *request)
{
  close (request->fd);
  request->fd = -1;
  if (request->outcome.tries >= kMaxTries)
    {
      end (request, 0);
      return;
    }
  request->gateway = choose (0, request->gateway);
  open (request);
}

void
Balancer::advance (Request *request)
{
  if (request->is_over)
    return;
  if (since_ms (request->began) >= kDeadlineMs)
    {
      end (request, 0);
      return;
    }
  pollfd p{ request->fd, (short)(request->is_connected ? POLLIN : POLLOUT),
            0 };
  if (poll (&p, 1, 0) == 0)
    {
      if (!request->is_connected
          && since_ms (request->try_began) >= kConnectMs)
        retry (request);
      return;
    }
  if (!request->is_connected)
    {
      if (send (request->fd, request->text.data (), request->text.size (),
                MSG_NOSIGNAL)
          != (ssize_t)request->text.size ())
        retry (request);
      else
        request->is_connected = true;
      return;
    }
  char bytes[4096];
  ssize_t count = recv (request->fd, bytes, sizeof bytes, 0);
  if (count <= 0 && request->received.empty ())
    {
      retry (request);
      return;
    }
  if (count <= 0)
    {
      end (request, 0);
      return;
    }
  if (request->received.empty ())
    request->outcome.first_ms = since_ms (request->try_began);
  request->received.append (bytes, (size_t)count);
  if (is_whole (request->received))
    end (request, atoi (request->received.c_str () + 9));
}

void
Balancer::ask_readiness (int second)
{
  for (size_t i = 0; i < misses_.size (); i++)
    {
      auto connection = dial (entries_[i].ready);
      bool is_ready = connection != nullptr
                      && connection->write ("GET " + entries_[i].ready_path
                                            + " HTTP/1.1\r\nHost: x\r\n\r\n")
                      && connection->read_response (900).status == 200;
      misses_[i] = is_ready ? 0 : misses_[i] + 1;
    }
  if (misses_[0] >= 2)
    out_of_rotation.insert (second);
}

void
Balancer::run (int seconds, const std::function<double (int)> &share)
{
  srand48 (58);
  began_ = Clock::now ();
  std::atomic<bool> is_over{ false };
  std::thread readiness ([&] {
    while (!is_over)
      {
        auto began = Clock::now ();
        ask_readiness (since_ms (began_) / 1000);
        int left_ms = 1000 - since_ms (began);
        if (left_ms > 0)
          std::this_thread::sleep_for (milliseconds (left_ms));
      }
  });
  std::vector<std::unique_ptr<Request>> open_requests;
  int total = seconds * per_s_;
  for (int sent = 0; sent < total || !open_requests.empty ();)
    {
      int now_ms = since_ms (began_);
      for (; sent < total && sent * 1000 / per_s_ <= now_ms; sent++)
        {
          auto request = std::make_unique<Request> ();
          request->text = text_of_ ("o" + std::to_string (sent));
          request->outcome.second = sent / per_s_;
          request->outcome.first_ms = -1;
          request->outcome.first_read_status = -1;
          request->began = Clock::now ();
          request->gateway
              = choose (share (request->outcome.second), SIZE_MAX);
          open (request.get ());
          open_requests.push_back (std::move (request));
        }
      for (auto &request : open_requests)
        advance (request.get ());
      open_requests.erase (
          std::remove_if (open_requests.begin (), open_requests.end (),
                          [] (const auto &r) { return r->is_over; }),
          open_requests.end ());
      std::this_thread::sleep_for (milliseconds (1));
    }
  is_over = true;
  readiness.join ();
}

Shares
Balancer::shares (int from_second, int to_second) const
{
  Shares sum;
  int served = 0;
  int served_first = 0;
  int unanswered = 0;
  for (const Outcome &outcome : outcomes_)
    {
      if (outcome.second < from_second || outcome.second >= to_second)
        continue;
      sum.requests++;
      served += outcome.status == 200;
      served_first += outcome.first_read_status == 200;
      unanswered += outcome.status == 0;
    }
  if (sum.requests > 0)
    {
      sum.served = (double)served / sum.requests;
      sum.served_first_read = (double)served_first / sum.requests;
      sum.unanswered = (double)unanswered / sum.requests;
    }
  return sum;
}

void
Balancer::print () const
{
  std::map<int, std::map<std::string, int>> counts;
  for (const Outcome &outcome : outcomes_)
    {
      auto &second = counts[outcome.second];
      second[outcome.status == 0 ? "none" : std::to_string (outcome.status)]++;
      second["tries"] += outcome.tries;
    }
  for (const auto &[second, ends] : counts)
    {
      printf ("second %2d%s:", second,
              out_of_rotation.count (second) ? " (out)" : "");
      for (const auto &[name, count] : ends)
        printf (" %s %d", name.c_str (), count);
      printf ("\n");
    }
}

void
expect_served_while_skewed (Balancer &balancer, const Skew &skew)
{
  /// Share of the requests that is served at the first try that was read.
  constexpr double kMinServedFirstRead = 0.75;
  /// Share that is served while the connections are spread.
  constexpr double kMinServed = 0.98;
  /// Share that gets no answer at all, of whatever try.
  constexpr double kMaxUnanswered = 0.01;
  balancer.run (skew.seconds, [&] (int second) {
    bool is_skewed = second >= skew.first_second && second < skew.last_second;
    return is_skewed ? skew.share : skew.usual_share;
  });
  balancer.print ();
  Shares before = balancer.shares (0, skew.first_second);
  Shares during = balancer.shares (skew.first_second, skew.last_second);
  Shares after = balancer.shares (skew.last_second + 1, skew.seconds);
  printf ("served before %.3f, during %.3f (first read %.3f), after %.3f\n",
          before.served, during.served, during.served_first_read,
          after.served);
  EXPECT_GE (before.served, kMinServed);
  EXPECT_GE (during.served_first_read, kMinServedFirstRead);
  EXPECT_LE (during.unanswered, kMaxUnanswered);
  EXPECT_GE (after.served, kMinServed);
}

/// Processor time that a process has used.
static nanoseconds
processor_time (pid_t pid)
{
  clockid_t clock;
  timespec time = {};
  if (clock_getcpuclockid (pid, &clock) == 0)
    clock_gettime (clock, &time);
  return std::chrono::seconds (time.tv_sec) + nanoseconds (time.tv_nsec);
}

/// Time for which a process runs or has nothing to run: the time for which it
/// waits for a processor that others use isn't counted.
class GrantedTime
{
public:
  explicit GrantedTime (pid_t pid) : pid_ (pid)
  {
    began_ = last_progress_ = Clock::now ();
    last_processor_ = processor_time (pid_);
    waited_before_ = waited ();
  }
  /// To be called at short intervals.
  nanoseconds
  query ()
  {
    Clock::time_point now = Clock::now ();
    nanoseconds processor = processor_time (pid_);
    // The kernel counts a wait when it ends.
    if (processor != last_processor_ || !is_runnable ())
      last_progress_ = now;
    last_processor_ = processor;
    return last_progress_ - began_ - (waited () - waited_before_);
  }

private:
  std::string
  read_file (const char *name) const
  {
    std::ifstream file ("/proc/" + std::to_string (pid_) + "/" + name);
    std::string line;
    std::getline (file, line);
    return line;
  }
  /// Time for which its first thread has waited for a processor.
  nanoseconds
  waited () const
  {
    std::istringstream fields (read_file ("schedstat"));
    int64_t ran_ns = 0;
    int64_t waited_ns = 0;
    fields >> ran_ns >> waited_ns;
    return nanoseconds (waited_ns);
  }
  /// Whether its first thread runs or waits for a processor.
  bool
  is_runnable () const
  {
    std::string stat = read_file ("stat");
    size_t end_of_name = stat.rfind (") ");
    return end_of_name != std::string::npos
           && stat.compare (end_of_name + 2, 1, "R") == 0;
  }
  pid_t pid_;
  Clock::time_point began_;
  Clock::time_point last_progress_;
  nanoseconds last_processor_{ 0 };
  nanoseconds waited_before_{ 0 };
};

Throttle::Throttle (pid_t pid, int run_ms) : pid_ (pid)
{
  thread_ = std::thread ([this, run_ms] {
    constexpr milliseconds kPeriod{ 100 };
    constexpr nanoseconds kCheck = milliseconds (1);
    int slices = 0;
    nanoseconds processor_before = processor_time (pid_);
    while (!is_stopped_)
      {
        auto end = Clock::now () + kPeriod;
        slices++;
        GrantedTime granted (pid_);
        kill (pid_, SIGCONT);
        for (nanoseconds rest = milliseconds (run_ms);
             rest > nanoseconds (0) && Clock::now () < end;
             rest = milliseconds (run_ms) - granted.query ())
          std::this_thread::sleep_for (std::min (rest, kCheck));
        kill (pid_, SIGSTOP);
        std::this_thread::sleep_until (end);
      }
    printf ("%d slices of %d ms in which an entry ran, processor time %d ms\n",
            slices, run_ms,
            (int)std::chrono::duration_cast<milliseconds> (
                processor_time (pid_) - processor_before)
                .count ());
    kill (pid_, SIGCONT);
  });
}

Throttle::~Throttle ()
{
  is_stopped_ = true;
  thread_.join ();
}

} // namespace relay
