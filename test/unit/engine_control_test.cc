// Reports, orders and identities of an engine that answers more often than it
// is asked.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

extern "C"
{
#include "dialect.h"
#include "engine.h"
}

namespace
{

std::string
answer (const std::string &status, const std::string &body,
        const std::string &fields = "")
{
  return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: "
         + std::to_string (body.size ()) + "\r\n\r\n" + body;
}

/// An engine whose answers are set by path, and which repeats the latest
/// answer on a connection in front of the next one there.
class RepeatingEngine
{
public:
  RepeatingEngine ()
  {
    listener_ = socket (AF_INET, SOCK_STREAM, 0);
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    bind (listener_, (sockaddr *)&address, size);
    listen (listener_, 16);
    getsockname (listener_, (sockaddr *)&address, &size);
    thread_ = std::thread ([this] { accept_all (); });
  }
  ~RepeatingEngine ()
  {
    shutdown (listener_, SHUT_RDWR);
    thread_.join ();
    close (listener_);
    for (int fd : accepted_)
      shutdown (fd, SHUT_RDWR);
    for (std::thread &connection : connections_)
      connection.join ();
    for (int fd : accepted_)
      close (fd);
  }
  void
  set_answer (const std::string &path, const std::string &bytes)
  {
    std::lock_guard<std::mutex> guard (mutex_);
    answers_[path] = bytes;
  }
  sockaddr_in address{};

private:
  void
  accept_all ()
  {
    int fd;
    while ((fd = accept (listener_, nullptr, nullptr)) >= 0)
      {
        accepted_.push_back (fd);
        connections_.emplace_back ([this, fd] { serve (fd); });
      }
  }
  /// @return  The path of the next request; empty at the connection's end.
  static std::string
  read_request (int fd)
  {
    std::string bytes;
    char c;
    while (bytes.find ("\r\n\r\n") == std::string::npos)
      {
        if (recv (fd, &c, 1, 0) != 1)
          return "";
        bytes += c;
      }
    size_t length_at = bytes.find ("Content-Length: ");
    if (length_at != std::string::npos)
      for (int left = atoi (bytes.c_str () + length_at + 16); left > 0; left--)
        if (recv (fd, &c, 1, 0) != 1)
          return "";
    size_t begin = bytes.find (' ') + 1;
    return bytes.substr (begin, bytes.find (' ', begin) - begin);
  }
  void
  serve (int fd)
  {
    std::string path;
    std::string latest;
    while (!(path = read_request (fd)).empty ())
      {
        std::string own;
        {
          std::lock_guard<std::mutex> guard (mutex_);
          own = answers_[path];
        }
        std::string bytes = latest + own;
        send (fd, bytes.data (), bytes.size (), MSG_NOSIGNAL);
        latest = own;
      }
  }
  std::mutex mutex_;
  std::map<std::string, std::string> answers_;
  std::vector<int> accepted_;
  std::vector<std::thread> connections_;
  int listener_;
  std::thread thread_;
};

const std::string kReport = "{\"State\":\"ready\",\"Running\":3}";

class EngineControl : public testing::Test
{
protected:
  EngineControl ()
  {
    uv_loop_init (&loop);
    tmr_service_init (&timers, &loop);
    pool = { .loop = &loop, .timers = &timers };
    plt_engine_init (&engine, &pool, &peer.address, "holder");
    peer.set_answer ("/report", answer ("200 OK", kReport));
    peer.set_answer ("/health",
                     answer ("200 OK", "",
                             std::string (plt_instance_header) + ": i-1\r\n"));
  }
  ~EngineControl () override
  {
    plt_engine_finish (&engine);
    tmr_service_finish (&timers);
    uv_run (&loop, UV_RUN_DEFAULT);
    EXPECT_EQ (uv_loop_close (&loop), 0);
  }
  void
  wait ()
  {
    while (!is_done)
      uv_run (&loop, UV_RUN_ONCE);
  }
  /// @return  The number of running requests by the report; -1 without one.
  int
  report ()
  {
    is_done = false;
    engine.engine.vtable->report (
        &engine.engine,
        [] (void *arg, kb_status_t, const egn_report_t *got) {
          auto *self = (EngineControl *)arg;
          self->running = got == nullptr ? -1 : (int)got->running;
          self->is_done = true;
        },
        this);
    wait ();
    return running;
  }
  egn_order_outcome_t
  order ()
  {
    is_done = false;
    egn_order_t load = {
      .is_load = true, .model = "m", .instance = "", .timeout_ms = 2000
    };
    engine.engine.vtable->order (
        &engine.engine, &load,
        [] (void *arg, egn_order_outcome_t got) {
          auto *self = (EngineControl *)arg;
          self->outcome = got;
          self->is_done = true;
        },
        this);
    wait ();
    return outcome;
  }
  std::string
  identify ()
  {
    is_done = false;
    engine.engine.vtable->identify (
        &engine.engine,
        [] (void *arg, kb_slice_t got) {
          auto *self = (EngineControl *)arg;
          self->instance.assign (got.ptr, got.len_bytes);
          self->is_done = true;
        },
        this);
    wait ();
    return instance;
  }
  RepeatingEngine peer;
  uv_loop_t loop;
  tmr_service_t timers;
  xch_pool_t pool;
  plt_engine_t engine;

private:
  bool is_done = false;
  int running = -1;
  egn_order_outcome_t outcome = EGN_ORDER_UNKNOWN;
  std::string instance;
};

// Guards against an order that counts as satisfied by a second answer to a
// report.
TEST_F (EngineControl, AnswerToAReportIsNoneToAnOrder)
{
  peer.set_answer ("/order", answer ("409 Conflict", "{}"));
  EXPECT_EQ (report (), 3);
  EXPECT_EQ (order (), EGN_ORDER_CONFLICT);
}

// Guards against an order that counts as accepted by a second answer to the
// order before it.
TEST_F (EngineControl, AnswerToAnOrderIsNoneToTheNextOne)
{
  peer.set_answer ("/order", answer ("202 Accepted", "{}"));
  EXPECT_EQ (order (), EGN_ORDER_ACCEPTED);
  peer.set_answer ("/order", answer ("409 Conflict", "{}"));
  EXPECT_EQ (order (), EGN_ORDER_CONFLICT);
}

// Guards against an engine that looks empty because a second answer to an
// order or to a health request is read as its report.
TEST_F (EngineControl, OtherAnswersAreNoReports)
{
  peer.set_answer ("/order", answer ("200 OK", "{}"));
  EXPECT_EQ (order (), EGN_ORDER_SATISFIED);
  EXPECT_EQ (report (), 3);
  EXPECT_EQ (identify (), "i-1");
  EXPECT_EQ (report (), 3);
}

// Guards against an engine that looks nameless because a second answer to a
// report is read as its identity.
TEST_F (EngineControl, AnswerToAReportIsNoIdentity)
{
  EXPECT_EQ (report (), 3);
  EXPECT_EQ (identify (), "i-1");
}

} // namespace
