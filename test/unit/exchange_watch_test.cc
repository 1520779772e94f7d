// Exchanges that read on behind a complete response.
#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <string>
#include <thread>

#include "loopback.h"

namespace
{

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kWatchMs = 200;
const std::string kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nHT";

/// A peer with a script for its first connection.
class Peer
{
public:
  explicit Peer (std::function<void (int)> script) : script_ (script)
  {
    thread_ = std::thread ([this] {
      int fd = listener_.accept_one ();
      if (fd < 0)
        return;
      script_ (fd);
      close (fd);
    });
  }
  ~Peer ()
  {
    listener_.end ();
    thread_.join ();
  }
  const sockaddr_in &
  address () const
  {
    return listener_.address;
  }

private:
  std::function<void (int)> script_;
  unit::Listener listener_{ 4 };
  std::thread thread_;
};

void
send_all (int fd, const std::string &bytes)
{
  send (fd, bytes.data (), bytes.size (), MSG_NOSIGNAL);
}

void
read_request (int fd)
{
  std::string request;
  char c;
  while (request.find ("\r\n\r\n") == std::string::npos
         && recv (fd, &c, 1, 0) == 1)
    request += c;
}

void
wait_for_close (int fd)
{
  char c;
  while (recv (fd, &c, 1, 0) > 0)
    ;
}

class Watch : public unit::Loop
{
public:
  explicit Watch (const Peer &peer)
  {
    xch_peer_init (&remote, &pool, &peer.address (), 1);
    start ();
  }
  void
  start ()
  {
    static const char head[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    xch_request_t request = { .head = { head, sizeof head - 1 },
                              .max_idle_ms = XCH_ANY_IDLE_MS,
                              .connect_timeout_ms = 1000,
                              .tag = 1 };
    is_done = has_failed = false;
    xch_start (&x, &remote, &events_, this, &request);
  }
  ~Watch ()
  {
    xch_cancel (&x);
    xch_peer_finish (&remote);
    drain ();
    EXPECT_EQ (remote.open_count, 0u);
  }
  xch_t x;
  xch_peer_t remote;
  int watches = 0;
  int dones = 0;
  bool is_done = false;
  bool has_failed = false;
  std::string surplus;
  Clock::time_point watched_at, done_at;

private:
  static Watch *
  of (const xch_t *x)
  {
    return (Watch *)x->owner;
  }
  const xch_events_t events_ = {
    .on_head = [] (xch_t *) {},
    .on_body = [] (xch_t *, kb_slice_t) {},
    .on_done =
        [] (xch_t *x) {
          of (x)->is_done = true;
          of (x)->dones++;
          of (x)->done_at = Clock::now ();
          if (x->surplus.len_bytes > 0)
            of (x)->surplus.assign (x->surplus.ptr, x->surplus.len_bytes);
          uv_stop (&of (x)->loop);
        },
    .on_fail =
        [] (xch_t *x, xch_failure_t) {
          of (x)->has_failed = true;
          uv_stop (&of (x)->loop);
        },
    .watch_ms = [] (xch_t *x) -> uint64_t {
      of (x)->watches++;
      of (x)->watched_at = Clock::now ();
      return kWatchMs;
    },
  };
};

TEST (ExchangeWatch, BytesOfALaterReadAreSurplus)
{
  Peer peer ([] (int fd) {
    read_request (fd);
    send_all (fd, kAnswer);
    std::this_thread::sleep_for (milliseconds (50));
    send_all (fd, "TP/1.1 200");
    wait_for_close (fd);
  });
  Watch watch (peer);
  watch.run_for (2000);
  EXPECT_TRUE (watch.is_done);
  EXPECT_EQ (watch.surplus, "TP/1.1 200");
  EXPECT_EQ (watch.remote.idle_count, 0u);
  watch.run_for (kWatchMs + 100);
  EXPECT_EQ (watch.dones, 1);
  EXPECT_FALSE (watch.has_failed);
}

TEST (ExchangeWatch, EndOfTheConnectionEndsIt)
{
  for (bool is_reset : { false, true })
    {
      Peer peer ([is_reset] (int fd) {
        read_request (fd);
        send_all (fd, kAnswer);
        std::this_thread::sleep_for (milliseconds (20));
        linger reset = { 1, 0 };
        if (is_reset)
          setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      });
      Watch watch (peer);
      watch.run_for (2000);
      EXPECT_TRUE (watch.is_done);
      EXPECT_LT (watch.done_at - watch.watched_at, milliseconds (kWatchMs));
      EXPECT_EQ (watch.remote.idle_count, 0u);
    }
}

TEST (ExchangeWatch, QuietConnectionIsUsedAgain)
{
  Peer peer ([] (int fd) {
    for (int i = 0; i < 2; i++)
      {
        read_request (fd);
        send_all (fd, kAnswer);
      }
    wait_for_close (fd);
  });
  Watch watch (peer);
  for (int i = 0; i < 2; i++)
    {
      watch.run_for (2000);
      EXPECT_TRUE (watch.is_done);
      EXPECT_GE (watch.done_at - watch.watched_at,
                 milliseconds (kWatchMs - 2));
      EXPECT_EQ (watch.remote.idle_count, 1u);
      if (i == 0)
        watch.start ();
    }
  EXPECT_EQ (watch.dones, 2);
  EXPECT_EQ (watch.remote.open_count, 1u);
}

TEST (ExchangeWatch, CancelledOneReportsNothing)
{
  Peer peer ([] (int fd) {
    read_request (fd);
    send_all (fd, kAnswer);
    wait_for_close (fd);
  });
  Watch watch (peer);
  watch.run_for (kWatchMs / 2);
  EXPECT_EQ (watch.watches, 1);
  xch_cancel (&watch.x);
  xch_peer_finish (&watch.remote);
  watch.run_for (2 * kWatchMs);
  EXPECT_EQ (watch.dones, 0);
  EXPECT_FALSE (watch.has_failed);
}

// The loop is late: bytes that came in time wait in the kernel when the time
// is up.
TEST (ExchangeWatch, BytesThatCameInTimeAreReadByALateLoop)
{
  Peer peer ([] (int fd) {
    read_request (fd);
    send_all (fd, kAnswer);
    std::this_thread::sleep_for (milliseconds (120));
    send_all (fd, "TP/1.1 200");
    wait_for_close (fd);
  });
  Watch watch (peer);
  watch.run_for (60);
  EXPECT_EQ (watch.watches, 1);
  std::this_thread::sleep_for (milliseconds (2 * kWatchMs));
  watch.run_for (1000);
  EXPECT_TRUE (watch.is_done);
  EXPECT_EQ (watch.surplus, "TP/1.1 200");
}

// A peer that ends within the watch has its bytes read first.
TEST (ExchangeWatch, BytesBeforeTheEndAreSurplus)
{
  Peer peer ([] (int fd) {
    read_request (fd);
    send_all (fd, kAnswer);
    std::this_thread::sleep_for (milliseconds (50));
    send_all (fd, "TP/1.1 200");
  });
  Watch watch (peer);
  watch.run_for (2000);
  EXPECT_TRUE (watch.is_done);
  EXPECT_EQ (watch.surplus, "TP/1.1 200");
  EXPECT_EQ (watch.dones, 1);
}

} // namespace
