// Callers who give up before their requests were read or answered.
#include "leavers.h"
#include "soak.h"

#include <poll.h>
#include <signal.h>

#include <random>

namespace relay
{

using std::chrono::milliseconds;

namespace
{

constexpr int kMaxPatienceMs = 300;
/// Of three in four requests: less than an answer usually takes.
constexpr int kShortPatienceMs = 10;
/// Requests that may reach a target over kGoneBoundMs after their callers
/// have left.
constexpr size_t kMaxLateArrivals = 3;
/// Time after a fault of its link in which an arrival at a target isn't
/// judged.
constexpr milliseconds kLinkContact{ 3000 };
constexpr int kAnswerMs = 3000;
constexpr int kMinThinkMs = 60; ///< Between two requests of a caller.
constexpr int kFreezeMs = 800;
/// Between two freezes.
constexpr int kMaxFreezePauseMs = 2000;

bool
answers_within (Connection &connection, int timeout_ms)
{
  pollfd in = { connection.fd (), POLLIN, 0 };
  return poll (&in, 1, timeout_ms) == 1;
}

} // namespace

/// A request that no other caller sends, so that an end of it at a target is
/// never taken for one of theirs.
Call
Soak::own_call (const std::string &id, uint64_t random)
{
  Call call = plain_call (id, (random % 4 == 0 ? "/plain/" : "/unsafe/") + id);
  if (random % 2 != 0)
    {
      call = stream_call (id, "");
      call.body += " of " + id;
    }
  call.headers += key_line_;
  return call;
}

/// A caller gives up on connections that have served a request.
void
Soak::impatient_loop (int caller)
{
  std::mt19937_64 random (seed_ * 1000 + 700 + (uint64_t)caller);
  std::unique_ptr<Connection> connection;
  for (int i = 0; !is_done_; i++)
    {
      std::string id
          = "i" + std::to_string (caller) + "-" + std::to_string (i);
      std::this_thread::sleep_for (
          milliseconds (kMinThinkMs + random () % kMinThinkMs));
      if (connection == nullptr)
        connection = connect_served (random (), id + "-first");
      bool is_short = random () % 4 != 0;
      int patience_ms
          = (int)(random () % (is_short ? kShortPatienceMs : kMaxPatienceMs));
      if (connection == nullptr
          || !connection->write (own_call (id, random ()).text ()))
        connection.reset ();
      else if (answers_within (*connection, patience_ms))
        {
          Message answer = connection->read_response (kAnswerMs);
          if (!answer.is_complete || answer.header ("connection") == "close")
            connection.reset ();
        }
      else
        leave (std::move (connection), id, random ());
    }
}

/// @return  A connection on which a request was answered, or NULL.
std::unique_ptr<Connection>
Soak::connect_served (uint64_t random, const std::string &id)
{
  auto connection
      = dial (site_.gateways[random % site_.gateways.size ()].address);
  if (connection == nullptr
      || !connection->write (own_call (id, random >> 8).text ()))
    return nullptr;
  Message answer = connection->read_response (kAnswerMs);
  if (answer.status != 200 || answer.header ("connection") == "close")
    return nullptr;
  return connection;
}

/// Give a request up, after sending one more or not, with a close or a reset.
void
Soak::leave (std::unique_ptr<Connection> connection, const std::string &id,
             uint64_t random)
{
  std::vector<std::string> ids = { id };
  if (random % 3 == 0)
    {
      ids.push_back (id + "-next");
      connection->write (own_call (ids.back (), random >> 8).text ());
    }
  auto now = std::chrono::steady_clock::now ();
  if (random % 3 == 1)
    connection->reset ();
  connection.reset ();
  std::lock_guard<std::mutex> lock (mutex_);
  for (const std::string &left : ids)
    abandoned_.push_back ({ left, now });
}

/// Freeze a gateway now and then, while callers give up.
void
Soak::freeze_gateways ()
{
  std::mt19937_64 random (seed_ * 1000 + 800);
  auto end = std::chrono::steady_clock::now () + milliseconds (length_ms_);
  auto next = [&] {
    return std::chrono::steady_clock::now ()
           + milliseconds (200 + random () % kMaxFreezePauseMs);
  };
  for (auto at = next (); at + milliseconds (kFreezeMs) < end; at = next ())
    {
      Daemon &daemon
          = site_.gateways[random () % site_.gateways.size ()].daemon;
      std::this_thread::sleep_until (at);
      signal_to (daemon, SIGSTOP);
      std::this_thread::sleep_for (milliseconds (kFreezeMs));
      signal_to (daemon, SIGCONT);
    }
}

void
Soak::check_abandoned ()
{
  std::map<std::string, std::chrono::steady_clock::time_point> left;
  for (const Abandoned &abandoned : abandoned_)
    left[abandoned.id] = abandoned.left_at;
  std::vector<std::string> late;
  auto check = [&] (Target &target) {
    Proxy *link = proxies_.in_front_of (target.address ());
    for (const Message &request : target.requests ())
      {
        const std::string &id = request.header ("x-knapweedbay-attempt-id");
        auto caller = left.find (id);
        if (caller == left.end ()
            || link->was_harmed (caller->second - kLinkContact,
                                 request.received_at))
          continue;
        // The proxies and targets of the soak may read late themselves.
        auto late_by
            = link->arrived_at (id, request.received_at) - caller->second;
        if (late_by <= milliseconds (kGoneBoundMs))
          continue;
        late.push_back (id);
        printf (
            "%s reached %s %d ms after its caller had left\n", id.c_str (),
            target.id ().c_str (),
            (int)std::chrono::duration_cast<milliseconds> (late_by).count ());
      }
  };
  for (const Engine &engine : site_.engines)
    check (*engine.target);
  for (const auto &target : site_.plain)
    check (*target);
  if (left.empty ())
    return;
  printf ("callers gave up %zu requests, %zu of them reached a target over "
          "%d ms later\n",
          left.size (), late.size (), kGoneBoundMs);
  if (late.size () > kMaxLateArrivals)
    add_violation (
        late.front (),
        std::to_string (late.size ())
            + " requests were sent on after their callers had left");
}

} // namespace relay
