// Targets that send bytes without end, until the gateway closes.
#include <gtest/gtest.h>

#include "launcher.h"
#include "site.h"

namespace relay
{
namespace
{

using Clock = std::chrono::steady_clock;

constexpr int kDeadlineMs = 1500;
/// Time after its deadline by which a caller has its answer.
constexpr int kMarginMs = 1000;
constexpr int kCallers = 8;
/// Memory that one request with bytes without end may take.
constexpr long kMaxRequestKb = 768;

void
make_endless (Site &site)
{
  for (const Engine &engine : site.engines)
    engine.target->endless_ms = 20000;
  for (const auto &target : site.plain)
    target->endless_ms = 20000;
}

/// Callers whose targets send bytes without end.
class Callers
{
public:
  /// @param reads  Whether they read what they get.
  Callers (const Gateway &gateway, Call call, bool reads)
  {
    for (int i = 0; i < kCallers; i++)
      threads_.emplace_back ([&gateway, call, i, reads, this] () mutable {
        call.id += "e" + std::to_string (i);
        run (gateway, call, reads);
      });
  }
  ~Callers () { join (); }
  void
  join ()
  {
    for (std::thread &thread : threads_)
      thread.join ();
    threads_.clear ();
  }
  std::atomic<int> late{ 0 };
  std::atomic<int> unanswered{ 0 };

private:
  /// Read until the connection ends or the message is complete.
  void
  run (const Gateway &gateway, const Call &call, bool reads)
  {
    auto began = Clock::now ();
    std::unique_ptr<Connection> connection;
    std::string first;
    // A gateway whose loop is busy may turn a connection away unread.
    do
      {
        connection = dial (gateway.address);
        if (connection == nullptr)
          continue;
        connection->write (call.text ());
        first = connection->read_some (kDeadlineMs + kMarginMs);
      }
    while (first.empty ()
           && Clock::now () - began < std::chrono::milliseconds (kDeadlineMs));
    unanswered += first.empty ();
    if (!reads)
      std::this_thread::sleep_for (
          std::chrono::milliseconds (kDeadlineMs + kMarginMs));
    std::string last;
    bool is_error = first.find (" 50") != std::string::npos;
    for (bool is_open = !is_error && reads; is_open;)
      {
        std::string some = connection->read_some (kDeadlineMs);
        is_open = !some.empty ()
                  && Clock::now () - began < std::chrono::seconds (10);
      }
    auto took = Clock::now () - began;
    late
        += reads && took > std::chrono::milliseconds (kDeadlineMs + kMarginMs);
  }
  std::vector<std::thread> threads_;
};

/// A kind of request and what its target sends.
struct Case
{
  const char *kind;
  Endless form;
};

const char *const form_names[]
    = { "Bytes",   "Fields",    "Field",    "Interim",  "Body",
        "Chunks",  "Extension", "Event",    "Comments", "Drip",
        "Trailer", "Stray",     "HeldHead", "HeldBody", "HeldBoth" };

std::vector<Case>
all_cases ()
{
  std::vector<Case> cases;
  for (const char *kind : { "unsafe", "once", "resume" })
    for (int form = 0; form < (int)Endless::NONE; form++)
      cases.push_back ({ kind, (Endless)form });
  return cases;
}

std::ostream &
operator<< (std::ostream &out, const Case &c)
{
  return out << c.kind << " " << form_names[(int)c.form];
}

class EndlessBytes : public testing::TestWithParam<Case>
{
public:
  static Call
  call_of (const Case &c)
  {
    bool is_plain = c.kind[0] == 'u';
    Call call = is_plain ? plain_call ("") : stream_call ("", "");
    call.path = std::string ("/") + c.kind + "/endless-"
                + std::to_string ((int)c.form);
    call.deadline_ms = kDeadlineMs;
    return call;
  }

  static void
  expect_bounded (bool reads)
  {
    Site site (2, 2, 1);
    ASSERT_TRUE (site.wait_ready ());
    make_endless (site);
    pid_t pid = site.gateways[0].daemon.pid;
    long before_kb = resident_kb (pid);
    long peak_kb = before_kb;
    Callers callers (site.gateways[0], call_of (GetParam ()), reads);
    auto end = Clock::now () + std::chrono::milliseconds (kDeadlineMs);
    while (Clock::now () < end)
      {
        peak_kb = std::max (peak_kb, resident_kb (pid));
        std::this_thread::sleep_for (std::chrono::milliseconds (20));
      }
    callers.join ();
    RecordProperty ("grew_kb", (int)(peak_kb - before_kb));
    EXPECT_LE (peak_kb - before_kb, kMaxRequestKb * kCallers);
    EXPECT_EQ (callers.unanswered, 0);
    EXPECT_EQ (callers.late, 0);
    EXPECT_EQ (site.ready_status (), 200);
  }
};

// Guards against bytes without end that take ever more memory, or an answer
// that nobody ends.
TEST_P (EndlessBytes, TakeBoundedMemoryAndTime) { expect_bounded (true); }

INSTANTIATE_TEST_SUITE_P (Forms, EndlessBytes,
                          testing::ValuesIn (all_cases ()),
                          [] (const testing::TestParamInfo<Case> &info) {
                            return std::string (info.param.kind)
                                   + form_names[(int)info.param.form];
                          });

class SlowCallers : public EndlessBytes
{
};

// Guards against bytes that are kept for callers who do not read them.
TEST_P (SlowCallers, TakeBoundedMemory) { expect_bounded (false); }

INSTANTIATE_TEST_SUITE_P (Forms, SlowCallers,
                          testing::Values (Case{ "unsafe", Endless::BODY },
                                           Case{ "unsafe", Endless::CHUNKS },
                                           Case{ "once", Endless::EVENT },
                                           Case{ "once", Endless::COMMENTS },
                                           Case{ "resume",
                                                 Endless::COMMENTS }),
                          [] (const testing::TestParamInfo<Case> &info) {
                            return std::string (info.param.kind)
                                   + form_names[(int)info.param.form];
                          });

// Guards against new connections that are turned away unread while targets
// keep the event loop busy.
TEST (EndlessNeighbours, NewConnectionsAreServed)
{
  constexpr int kFloods = 2;
  Site site (2, 2, 1);
  ASSERT_TRUE (site.wait_ready ());
  make_endless (site);
  std::vector<std::unique_ptr<Callers>> floods;
  for (int i = 0; i < kFloods; i++)
    {
      Call call = EndlessBytes::call_of ({ "resume", Endless::COMMENTS });
      call.id = std::to_string (i);
      floods.push_back (
          std::make_unique<Callers> (site.gateways[0], call, true));
    }
  std::this_thread::sleep_for (std::chrono::milliseconds (500));
  int not_served = 0;
  auto end = Clock::now () + std::chrono::milliseconds (kDeadlineMs - 700);
  for (int i = 0; Clock::now () < end; i++)
    {
      Message answer = send_call (site.gateways[0],
                                  plain_call ("n" + std::to_string (i)));
      not_served += answer.status != 200;
      std::this_thread::sleep_for (std::chrono::milliseconds (20));
    }
  for (auto &flood : floods)
    flood->join ();
  EXPECT_EQ (not_served, 0);
}

// Guards against a report or health answer without end that takes ever more
// memory, or after which the target is never asked again.
TEST (EndlessPages, ReportsAndHealthAnswersTakeBoundedMemory)
{
  Site site (1, 2, 1);
  ASSERT_TRUE (site.wait_ready ());
  make_endless (site);
  Target &engine = *site.engines[0].target;
  auto send_unframed = [&] (const std::string &id) {
    // An answer without a length makes the gateway ask for health.
    site.plain[0]->fail_next ({ Fault::END_UNFRAMED });
    send_call (site.gateways[0], plain_call (id, "/unsafe/x"));
    std::this_thread::sleep_for (std::chrono::milliseconds (1200));
  };
  // What a process takes for its first request is no growth by later ones.
  send_unframed ("first");
  for (int form = 0; form < (int)Endless::NONE; form++)
    {
      pid_t agent = site.engines[0].sidecar.pid;
      pid_t gateway = site.gateways[0].daemon.pid;
      long agent_kb = resident_kb (agent);
      long gateway_kb = resident_kb (gateway);
      engine.endless_page = (Endless)form;
      site.plain[0]->endless_page = (Endless)form;
      send_unframed ("h" + std::to_string (form));
      EXPECT_LE (resident_kb (agent) - agent_kb, 2048) << "form " << form;
      EXPECT_LE (resident_kb (gateway) - gateway_kb, 2048) << "form " << form;
      engine.endless_page = Endless::NONE;
      site.plain[0]->endless_page = Endless::NONE;
    }
  engine.fail_next ({});
  EXPECT_TRUE (Site::wait_for ([&] {
    Call call = stream_call ("after", "a1");
    int before = engine.runs ();
    send_call (site.gateways[0], call);
    return engine.runs () > before;
  })) << "the engine is not used again";
}

} // namespace
} // namespace relay
