// Many targets that send bytes without end at once.
#include <gtest/gtest.h>

#include "crowd.h"
#include "launcher.h"
#include "site.h"

namespace relay
{
namespace
{

using Clock = std::chrono::steady_clock;

constexpr int kEngines = 15;
constexpr int kPlain = 15;
constexpr int kCallers = 400;
constexpr int kNeighbours = 4;
/// Memory of a daemon's machine; it counts with what its sockets have not
/// read.
constexpr long kMachineKb = 48 << 10;
constexpr long kSmallMachineKb = 24 << 10;
constexpr int kDeadlineMs = 4000;
constexpr int kPressMs = 2000;

constexpr int kForms = (int)Endless::NONE;

/// One request and what its target sends.
struct Case
{
  const char *kind;
  Endless form;
};

Call
call_of (const Case &c, int number)
{
  std::string id = "m" + std::to_string (number);
  bool is_plain = c.kind[0] == 'u' || c.kind[0] == 'p';
  Call call = is_plain ? plain_call (id) : stream_call (id, "");
  call.path = std::string ("/") + c.kind + "/endless-"
              + std::to_string ((int)c.form);
  call.deadline_ms = kDeadlineMs;
  return call;
}

/// Callers that send ordinary requests one after the other.
class Neighbours
{
public:
  explicit Neighbours (const Gateway &gateway) : gateway_ (gateway)
  {
    for (int i = 0; i < kNeighbours; i++)
      threads_.emplace_back ([this, i] {
        for (int n = 0; !is_over_; n++)
          {
            std::string id = "n" + std::to_string (i) + "-";
            bool is_served = serve (plain_call (id + std::to_string (n)));
            (is_served ? served : lost)++;
          }
      });
  }
  ~Neighbours () { stop (); }
  void
  stop ()
  {
    is_over_ = true;
    for (std::thread &thread : threads_)
      thread.join ();
    threads_.clear ();
  }
  std::atomic<int> served{ 0 };
  std::atomic<int> lost{ 0 };

private:
  /// A connection that was turned away unread is made again.
  bool
  serve (const Call &call)
  {
    auto end = Clock::now () + std::chrono::milliseconds (kDeadlineMs);
    Message answer;
    do
      answer = send_call (gateway_, call);
    while (answer.status == 0 && Clock::now () < end);
    return answer.status == 200 && answer.is_complete;
  }
  const Gateway &gateway_;
  std::atomic<bool> is_over_{ false };
  std::vector<std::thread> threads_;
};

class ManyTargets : public testing::Test
{
protected:
  void
  start (long machine_kb)
  {
    machine_kb_ = machine_kb;
    site.limit_memory ((int)(machine_kb / 1024));
    ASSERT_TRUE (site.wait_ready ());
    for (const Engine &engine : site.engines)
      engine.target->endless_ms = 20000;
    for (const auto &target : site.plain)
      target->endless_ms = 20000;
  }

  /// Callers of all the cases in turn take no more than their machine has, and
  /// cost no other caller its answer.
  void
  expect_bounded (const std::vector<Case> &cases, bool reads = true)
  {
    const Gateway &gateway = site.gateways[0];
    pid_t pid = gateway.daemon.pid;
    {
      std::vector<std::unique_ptr<Crowd>> owned;
      std::vector<Crowd *> crowds;
      for (int i = 0; i < kCallers; i++)
        {
          Call call = call_of (cases[(size_t)i % cases.size ()], i);
          owned.push_back (std::make_unique<Crowd> (
              gateway.address, 1,
              Script{ .first = call.text (), .reads = reads }));
          crowds.push_back (owned.back ().get ());
        }
      Neighbours neighbours (gateway);
      Held held = press_and_watch (crowds, pid, gateway.address, kPressMs);
      neighbours.stop ();
      printf ("held %ld kB, of which resident %ld kB; neighbours: %d served,"
              " %d lost\n",
              held.memory_kb, resident_kb (pid), (int)neighbours.served,
              (int)neighbours.lost);
      EXPECT_LE (held.memory_kb, machine_kb_);
      EXPECT_GT (neighbours.served, 0);
      EXPECT_EQ (neighbours.lost, 0);
    }
    EXPECT_TRUE (site.are_daemons_running ());
    int number = 0;
    EXPECT_TRUE (Site::wait_for ([&] {
      Call call = plain_call ("after" + std::to_string (number++));
      return send_call (gateway, call).status == 200;
    })) << "no ordinary request is answered";
  }

  static std::vector<Case>
  all_forms (const char *kind)
  {
    std::vector<Case> cases;
    for (int form = 0; form < kForms; form++)
      cases.push_back ({ kind, (Endless)form });
    return cases;
  }

  Site site{ kEngines, kPlain, 1 };

private:
  long machine_kb_ = 0;
};

// Guards against answers that are held until their end and add up.
TEST_F (ManyTargets, HeldBodies)
{
  ASSERT_NO_FATAL_FAILURE (start (kMachineKb));
  expect_bounded ({ { "unsafe", Endless::HELD_BODY } });
}

// Guards against the same where they fill their share of the machine.
TEST_F (ManyTargets, HeldBodiesOnASmallMachine)
{
  ASSERT_NO_FATAL_FAILURE (start (kSmallMachineKb));
  expect_bounded ({ { "unsafe", Endless::HELD_BODY } });
}

// Guards against the same behind long heads.
TEST_F (ManyTargets, HeldHeadsAndBodies)
{
  ASSERT_NO_FATAL_FAILURE (start (kMachineKb));
  expect_bounded ({ { "unsafe", Endless::HELD_BOTH } });
}

// Guards against bodies without a length that the kernel holds.
TEST_F (ManyTargets, Bodies)
{
  ASSERT_NO_FATAL_FAILURE (start (kMachineKb));
  expect_bounded ({ { "unsafe", Endless::BODY } });
}

// Guards against heads of answers that stop short of their end and add up.
TEST_F (ManyTargets, HeldHeads)
{
  ASSERT_NO_FATAL_FAILURE (start (kMachineKb));
  expect_bounded ({ { "unsafe", Endless::HELD_HEAD } });
}

// Guards against answers of plain targets in all forms at once.
TEST_F (ManyTargets, AllFormsOfPlainTargets)
{
  ASSERT_NO_FATAL_FAILURE (start (kMachineKb));
  expect_bounded (all_forms ("unsafe"));
}

// Guards against the same of streams.
TEST_F (ManyTargets, AllFormsOfEngines)
{
  ASSERT_NO_FATAL_FAILURE (start (kMachineKb));
  expect_bounded (all_forms ("once"));
}

// Guards against the same for callers that do not read.
TEST_F (ManyTargets, AllFormsForSlowCallers)
{
  ASSERT_NO_FATAL_FAILURE (start (kMachineKb));
  expect_bounded (all_forms ("unsafe"), false);
}

// Guards against reports, orders and health answers of many targets without
// end.
TEST_F (ManyTargets, PagesOfAllTargets)
{
  ASSERT_NO_FATAL_FAILURE (start (kMachineKb));
  for (size_t i = 0; i < site.engines.size (); i++)
    site.engines[i].target->endless_page = (Endless)(i % kForms);
  for (size_t i = 0; i < site.plain.size (); i++)
    {
      site.plain[i]->endless_page = (Endless)(i % kForms);
      // Answers without a length make the gateway ask for health.
      site.plain[i]->is_unframed = true;
    }
  expect_bounded ({ { "unsafe", Endless::BODY } });
  for (const Engine &engine : site.engines)
    EXPECT_LE (resident_kb (engine.sidecar.pid), kMachineKb);
}

} // namespace
} // namespace relay
