// Targets that send bytes without end to the agent beside them, many requests
// at once.
#include <gtest/gtest.h>

#include <thread>

#include "cluster.h"
#include "crowd.h"
#include "http_peer.h"
#include "launcher.h"

using kb::Cluster;
using kb::ClusterOptions;

namespace
{

constexpr int kCallers = 32;
/// Memory of the machine of a daemon; it counts with what its sockets have not
/// read.
constexpr long kMachineKb = 64 << 10;
constexpr int kPressMs = 2500;
/// A list is given up after 3 s, and asked for again.
constexpr int kListMs = 4500;

/// What is sent once, then again and again.
struct Form
{
  const char *name;
  std::string first;
  std::string repeated;
};

const std::string kOk = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
const std::string kChunked = kOk + "Transfer-Encoding: chunked\r\n\r\n";

const Form forms[] = {
  { "Bytes", "", "no HTTP " },
  { "Fields", kOk, "Field: value\r\n" },
  { "Field", kOk + "Field: ", "value " },
  { "Interim", "", "HTTP/1.1 100 Continue\r\n\r\n" },
  { "Body", kOk + "\r\n", "bytes " },
  { "Chunks", kChunked, relay::chunk ("bytes ") },
  { "Extension", kChunked + "1;", "name=value;" },
  { "Trailer", kChunked + "1\r\nx\r\n0\r\n", "Field: value\r\n" },
};
constexpr int kForms = sizeof forms / sizeof forms[0];

std::string
path_of (int form)
{
  return "/endless-" + std::to_string (form);
}

/// A target that sends the form in the path until its peer closes, or a list
/// of one form; to other requests it answers.
class EndlessTarget : public relay::Server
{
public:
  EndlessTarget () : Server ("127.0.0.1") { start (); }
  ~EndlessTarget () override { stop (); }
  std::atomic<int> list_form{ -1 };
  std::atomic<int> lists{ 0 };

private:
  bool
  serve (relay::Connection &connection, const relay::Message &request) override
  {
    bool is_list = request.target () == "/v1/models";
    lists += is_list;
    size_t mark = request.target ().find ("/endless-");
    int form = is_list ? (int)list_form : -1;
    if (mark != std::string::npos)
      form = atoi (request.target ().c_str () + mark + 9);
    if (form < 0)
      return connection.write (relay::make_response (200, "", "an answer"));
    std::string block;
    while (block.size () < 16384)
      block += forms[form].repeated;
    auto end = std::chrono::steady_clock::now () + std::chrono::seconds (20);
    bool is_open = connection.write (forms[form].first);
    while (is_open && !is_stopping_ && std::chrono::steady_clock::now () < end)
      {
        is_open = connection.write (block);
        std::this_thread::sleep_for (std::chrono::milliseconds (1));
      }
    return false;
  }
};

class ManyAnswers : public testing::Test
{
protected:
  static ClusterOptions
  options ()
  {
    ClusterOptions options;
    options.entries = 1;
    options.engines = 1;
    options.plains = 1;
    options.max_batch = 2 * kCallers;
    options.extra_agent
        = "\"memory_mb\":" + std::to_string (kMachineKb / 1024) + ",";
    options.extra_entry = options.extra_agent;
    return options;
  }

  void
  start (bool is_plain)
  {
    cluster.start ();
    target = cluster.find_target (is_plain);
    cluster.use_stand_in (*target, stand_in.address ());
    cluster.publish ();
  }

  static std::string
  request (const std::string &path)
  {
    return relay::head_of ("POST /v1/services/map-query" + path,
                           "Host: x\r\nAuthorization: Bearer kavango-key\r\n"
                           "Content-Length: 1\r\n")
           + "x";
  }

  int
  ordinary_status ()
  {
    return kb::http_call ("POST", cluster.entries[0].process.http_port,
                          "/v1/services/map-query/look", "x",
                          { "Authorization: Bearer kavango-key" }, 2000)
        .status;
  }

  void
  expect_served (const char *when)
  {
    EXPECT_TRUE (Cluster::wait_until ([&] {
      return ordinary_status () == 200;
    })) << "no ordinary request is answered "
        << when;
  }

  /// Callers of these forms in turn take no more than the machine has.
  void
  expect_bounded (const std::vector<int> &numbers, bool reads = true)
  {
    ASSERT_NO_FATAL_FAILURE (start (true));
    expect_served ("before");
    kb::Process &entry = cluster.entries[0].process;
    std::string address = "127.0.0.1:" + std::to_string (entry.http_port);
    {
      std::vector<std::unique_ptr<relay::Crowd>> owned;
      std::vector<relay::Crowd *> crowds;
      for (int i = 0; i < kCallers; i++)
        {
          int form = numbers[(size_t)i % numbers.size ()];
          owned.push_back (std::make_unique<relay::Crowd> (
              address, 1,
              relay::Script{ .first = request (path_of (form)),
                             .reads = reads }));
          crowds.push_back (owned.back ().get ());
        }
      relay::Held of_entry;
      std::thread watch ([&] {
        of_entry = relay::press_and_watch (std::vector<relay::Crowd *>{},
                                           entry.pid, address, kPressMs);
      });
      relay::Held of_agent = relay::press_and_watch (crowds, target->agent.pid,
                                                     "127.0.0.1:1", kPressMs);
      watch.join ();
      printf ("agent held %ld kB, entry %ld kB\n", of_agent.memory_kb,
              of_entry.memory_kb);
      EXPECT_LE (of_agent.memory_kb, kMachineKb);
      EXPECT_LE (of_entry.memory_kb, kMachineKb);
      expect_served ("beside");
    }
    EXPECT_EQ (Cluster::wait_exit (entry, 0), -1);
    EXPECT_EQ (Cluster::wait_exit (target->agent, 0), -1);
    expect_served ("after");
  }

  EndlessTarget stand_in;
  Cluster cluster{ options () };
  kb::Target *target = nullptr;
};

class ManyAnswersOfAForm : public ManyAnswers,
                           public testing::WithParamInterface<int>
{
};

// Guards against answers without end that an agent keeps, and that add up.
TEST_P (ManyAnswersOfAForm, TakeBoundedMemory)
{
  expect_bounded ({ GetParam () });
}

INSTANTIATE_TEST_SUITE_P (Forms, ManyAnswersOfAForm,
                          testing::Range (0, kForms),
                          [] (const testing::TestParamInfo<int> &info) {
                            return std::string (forms[info.param].name);
                          });

// Guards against the same in all forms at once.
TEST_F (ManyAnswers, AllFormsTakeBoundedMemory)
{
  std::vector<int> numbers;
  for (int i = 0; i < kForms; i++)
    numbers.push_back (i);
  expect_bounded (numbers);
}

class EndlessList : public ManyAnswers, public testing::WithParamInterface<int>
{
};

// Guards against a list without end that takes ever more memory, or after
// which the engine is never asked again.
TEST_P (EndlessList, TakesBoundedMemory)
{
  stand_in.list_form = GetParam ();
  ASSERT_NO_FATAL_FAILURE (start (false));
  ASSERT_TRUE (Cluster::wait_until ([&] { return stand_in.lists > 0; }));
  relay::Held held
      = relay::press_and_watch (std::vector<relay::Crowd *>{},
                                target->agent.pid, "127.0.0.1:1", kListMs);
  printf ("agent held %ld kB, %d lists\n", held.memory_kb,
          (int)stand_in.lists);
  EXPECT_LE (held.memory_kb, kMachineKb);
  EXPECT_GT (stand_in.lists, 1);
  EXPECT_EQ (Cluster::wait_exit (target->agent, 0), -1);
}

INSTANTIATE_TEST_SUITE_P (Forms, EndlessList, testing::Range (0, kForms),
                          [] (const testing::TestParamInfo<int> &info) {
                            return std::string (forms[info.param].name);
                          });

} // namespace
