// Exchanges while their connections are being made.
#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <thread>

#include "loopback.h"

namespace
{

/// A peer that answers one request. Its backlog is full at first: a connection
/// to it is made when its system sends the first packet again, after 1 s.
class Peer
{
public:
  Peer ()
  {
    filler_ = socket (AF_INET, SOCK_STREAM, 0);
    EXPECT_EQ (connect (filler_, (const sockaddr *)&listener_.address,
                        sizeof listener_.address),
               0);
  }
  /// Make room in the backlog, and serve.
  void
  start ()
  {
    close (listener_.accept_one ());
    thread_ = std::thread ([this] { serve (); });
  }
  ~Peer ()
  {
    listener_.end ();
    thread_.join ();
    close (filler_);
  }
  const sockaddr_in &
  address () const
  {
    return listener_.address;
  }

private:
  void
  serve ()
  {
    int fd = listener_.accept_one ();
    if (fd < 0)
      return;
    std::string request;
    char bytes[4096];
    ssize_t count;
    while (request.find ("\r\n\r\n") == std::string::npos
           && (count = recv (fd, bytes, sizeof bytes, 0)) > 0)
      request.append (bytes, (size_t)count);
    static const std::string answer
        = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    send (fd, answer.data (), answer.size (), MSG_NOSIGNAL);
    // Until the client closes.
    while (recv (fd, bytes, sizeof bytes, 0) > 0)
      ;
    close (fd);
  }
  unit::Listener listener_{ 0 };
  int filler_;
  std::thread thread_;
};

/// One exchange, and what it reports.
class Exchange : public unit::Loop
{
public:
  /// @param turn_ms  Time that the turn of the loop has taken before.
  explicit Exchange (const Peer &peer, uint64_t turn_ms = 0)
  {
    std::this_thread::sleep_for (std::chrono::milliseconds (turn_ms));
    xch_peer_init (&remote_, &pool, &peer.address (), 1);
    static const char head[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    xch_request_t request = { .head = { head, sizeof head - 1 },
                              .max_idle_ms = 0,
                              .connect_timeout_ms = 4000,
                              .tag = 1 };
    xch_start (&x, &remote_, &events_, this, &request);
  }
  ~Exchange ()
  {
    xch_cancel (&x);
    xch_peer_finish (&remote_);
  }
  xch_t x;
  std::string body;
  bool is_connected = false;
  bool is_done = false;
  bool has_failed = false;

private:
  static Exchange *
  of (const xch_t *x)
  {
    return (Exchange *)x->owner;
  }
  xch_peer_t remote_;
  const xch_events_t events_ = {
    .on_head = [] (xch_t *) {},
    .on_body =
        [] (xch_t *x, kb_slice_t bytes) {
          of (x)->body.append (bytes.ptr, bytes.len_bytes);
        },
    .on_done =
        [] (xch_t *x) {
          of (x)->is_done = true;
          uv_stop (&of (x)->loop);
        },
    .on_fail =
        [] (xch_t *x, xch_failure_t) {
          of (x)->has_failed = true;
          uv_stop (&of (x)->loop);
        },
    .on_connect = [] (xch_t *x) { of (x)->is_connected = true; },
  };
};

// Guards against a connection that is never read because reading was resumed
// before it was made.
TEST (Exchange, ResumedWhileConnectingIsRead)
{
  Peer peer;
  Exchange exchange (peer);
  exchange.run_for (100);
  EXPECT_FALSE (exchange.is_connected);
  xch_resume (&exchange.x);
  exchange.run_for (100);
  EXPECT_FALSE (exchange.is_connected);
  peer.start ();
  exchange.run_for (5000);
  EXPECT_TRUE (exchange.is_done);
  EXPECT_EQ (exchange.body, "ok");
}

// Guards against a connection that is given up too early, as its time is
// counted from the begin of a long turn of the loop.
TEST (Exchange, HasItsTimeToConnectAfterALongTurn)
{
  constexpr uint64_t kTurnMs = 4500;
  Peer peer;
  Exchange exchange (peer, kTurnMs);
  peer.start ();
  exchange.run_for (5000);
  EXPECT_TRUE (exchange.is_done);
  EXPECT_FALSE (exchange.has_failed);
}

} // namespace
