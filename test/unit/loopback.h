/// @file loopback.h
/// An event loop with timers, and a listening socket on loopback for the peer
/// that a test plays in a thread of its own.
#ifndef KB_TEST_UNIT_LOOPBACK_H
#define KB_TEST_UNIT_LOOPBACK_H

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

extern "C"
{
#include "transport/exchange.h"
}

namespace unit
{

class Listener
{
public:
  explicit Listener (int backlog) : fd_ (socket (AF_INET, SOCK_STREAM, 0))
  {
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    bind (fd_, (sockaddr *)&address, size);
    listen (fd_, backlog);
    getsockname (fd_, (sockaddr *)&address, &size);
  }
  Listener (const Listener &) = delete;
  ~Listener () { close (fd_); }
  /// @return  A connection, or -1 after `end`.
  int
  accept_one ()
  {
    return accept (fd_, nullptr, nullptr);
  }
  /// Let accept_one return.
  void
  end ()
  {
    shutdown (fd_, SHUT_RDWR);
  }
  sockaddr_in address{};

private:
  int fd_;
};

class Loop
{
public:
  Loop ()
  {
    uv_loop_init (&loop);
    tmr_service_init (&timers, &loop);
    pool = { .loop = &loop, .timers = &timers };
  }
  Loop (const Loop &) = delete;
  ~Loop ()
  {
    drain ();
    EXPECT_EQ (uv_loop_close (&loop), 0);
  }
  /// Finish the timers, and run until all connections are closed.
  void
  drain ()
  {
    if (!is_drained_)
      tmr_service_finish (&timers);
    is_drained_ = true;
    uv_run (&loop, UV_RUN_DEFAULT);
  }
  /// Run for a time, or until uv_stop.
  void
  run_for (uint64_t ms)
  {
    uv_timer_t limit;
    uv_timer_init (&loop, &limit);
    uv_update_time (&loop);
    uv_timer_start (
        &limit, [] (uv_timer_t *timer) { uv_stop (timer->loop); }, ms, 0);
    uv_run (&loop, UV_RUN_DEFAULT);
    uv_close ((uv_handle_t *)&limit, nullptr);
    uv_run (&loop, UV_RUN_NOWAIT);
  }
  uv_loop_t loop;
  tmr_service_t timers;
  xch_pool_t pool;

private:
  bool is_drained_ = false;
};

} // namespace unit

#endif
