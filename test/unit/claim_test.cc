// Claim protocol: tables of owner and runner, and an exhaustive exploration
// of a small system with message loss, delay, pause, restart and takeover.
#include <gtest/gtest.h>

#include <array>
#include <cstring>
#include <set>
#include <string>
#include <vector>

extern "C"
{
#include "coordination/claim_owner.h"
#include "coordination/claim_runner.h"
}

namespace
{

constexpr uint64_t kKey = 0x1234567800000001ULL;
constexpr uint64_t kDigest = 77;
constexpr uint64_t kWindow = 1000;

clm_claim_t
make_claim (uint64_t attempt, uint64_t runner, uint64_t voided = 0,
            uint64_t digest = kDigest)
{
  clm_claim_t claim = {};
  claim.key = kKey;
  claim.digest = digest;
  claim.attempt = attempt;
  claim.voided_attempt = voided;
  claim.incarnation = 5;
  claim.runner = runner;
  return claim;
}

class OwnerTest : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    clm_owner_init (&owner, 100, kWindow);
    clm_owner_begin_rebuild (&owner, clm_shard (kKey), 3);
    clm_owner_end_rebuild (&owner, clm_shard (kKey), true, 0);
  }
  void
  TearDown () override
  {
    clm_owner_finish (&owner);
  }
  clm_verdict_t
  verdict (const clm_claim_t &claim, uint64_t now = 1)
  {
    return clm_owner_claim (&owner, &claim, now).verdict;
  }
  clm_owner_t owner;
};

TEST_F (OwnerTest, GrantsOnceAndRepeatsForTheSameAttempt)
{
  EXPECT_EQ (verdict (make_claim (1, 1)), CLM_VERDICT_GRANTED);
  EXPECT_EQ (verdict (make_claim (1, 1)), CLM_VERDICT_GRANTED);
  EXPECT_EQ (verdict (make_claim (2, 2)), CLM_VERDICT_HELD);
}

TEST_F (OwnerTest, AnotherBodyIsAMismatch)
{
  EXPECT_EQ (verdict (make_claim (1, 1)), CLM_VERDICT_GRANTED);
  EXPECT_EQ (verdict (make_claim (2, 1, 0, 78)), CLM_VERDICT_MISMATCH);
}

TEST_F (OwnerTest, VoidedAttemptFreesTheKey)
{
  EXPECT_EQ (verdict (make_claim (1, 1)), CLM_VERDICT_GRANTED);
  EXPECT_EQ (verdict (make_claim (2, 2, 1)), CLM_VERDICT_GRANTED);
  // Proof about an attempt that no longer holds the key does not free it.
  EXPECT_EQ (verdict (make_claim (3, 3, 1)), CLM_VERDICT_HELD);
}

TEST_F (OwnerTest, LateOutcomeOfAReplacedAttemptIsIgnored)
{
  verdict (make_claim (1, 1));
  verdict (make_claim (2, 2, 1));
  clm_owner_record_outcome (&owner, kKey, 1, CLM_RELEASED, 2);
  EXPECT_EQ (verdict (make_claim (3, 3)), CLM_VERDICT_HELD);
}

// An agent crashes while it holds a claim. Claims of the key must be answered
// with "unknown" and never run again, however often it is sent within the
// window.
TEST_F (OwnerTest, LostRunnerMakesItsClaimsUnknown)
{
  verdict (make_claim (1, 1));
  clm_owner_runner_lost (&owner, 1, 5, 2);
  EXPECT_EQ (verdict (make_claim (2, 2)), CLM_VERDICT_UNKNOWN);
}

// Owner and runner are lost together. The new owner has no record of the key
// and must not conclude that it never ran until the window has passed.
TEST_F (OwnerTest, UnseenKeyIsUnknownAfterDoubleLoss)
{
  clm_owner_begin_rebuild (&owner, clm_shard (kKey), 4);
  EXPECT_EQ (verdict (make_claim (1, 1)), CLM_VERDICT_REBUILDING);
  clm_owner_end_rebuild (&owner, clm_shard (kKey), false, 100);
  EXPECT_EQ (verdict (make_claim (1, 1), 100 + kWindow - 1),
             CLM_VERDICT_UNKNOWN);
  EXPECT_EQ (verdict (make_claim (1, 1), 100 + kWindow), CLM_VERDICT_GRANTED);
}

TEST_F (OwnerTest, FullTableRefusesAndExpiryMakesRoom)
{
  for (uint64_t i = 0; i < 100; i++)
    {
      clm_claim_t claim = make_claim (i + 1, 1);
      claim.key = kKey + i * 2;
      EXPECT_EQ (verdict (claim), CLM_VERDICT_GRANTED);
      clm_owner_record_outcome (&owner, claim.key, i + 1, CLM_DONE, 1);
    }
  clm_claim_t claim = make_claim (1000, 1);
  claim.key = kKey + 1000;
  EXPECT_EQ (verdict (claim), CLM_VERDICT_FULL);
  clm_owner_expire (&owner, kWindow + 2);
  EXPECT_EQ (verdict (claim, kWindow + 2), CLM_VERDICT_GRANTED);
}

TEST_F (OwnerTest, ReleasedShardMovesWithItsRecords)
{
  verdict (make_claim (1, 1));
  kb_buf_t records = {};
  clm_owner_release_shard (&owner, clm_shard (kKey), &records);
  EXPECT_EQ (verdict (make_claim (2, 2)), CLM_VERDICT_NOT_OWNER);
  clm_owner_begin_rebuild (&owner, clm_shard (kKey), 3);
  kb_slice_t rest = kb_buf_slice (&records);
  clm_record_t record;
  ASSERT_TRUE (clm_record_unpack (&rest, &record));
  EXPECT_EQ (record.runner, 1u);
  EXPECT_FALSE (clm_record_unpack (&rest, &record));
  rest = kb_buf_slice (&records);
  clm_record_unpack (&rest, &record);
  clm_owner_merge (&owner, &record, 2);
  clm_owner_end_rebuild (&owner, clm_shard (kKey), true, 2);
  EXPECT_EQ (verdict (make_claim (2, 2), 3), CLM_VERDICT_HELD);
  kb_buf_finish (&records);
}

class RunnerTest : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    clm_runner_init (&runner, 100, kWindow, 4000);
  }
  void
  TearDown () override
  {
    clm_runner_finish (&runner);
  }
  clm_runner_t runner;
};

// The entry gives up an attempt and revokes it at the agent; the attempt's
// message arrives afterwards and must not start it.
TEST_F (RunnerTest, RevokedAttemptNeverStarts)
{
  EXPECT_EQ (clm_runner_revoke (&runner, 9, 1), CLM_RUN_VOIDED);
  EXPECT_EQ (clm_runner_admit (&runner, 9, 0, 0, 0, 2), CLM_ADMIT_VOIDED);
}

TEST_F (RunnerTest, RevocationReportsWhatRan)
{
  EXPECT_EQ (clm_runner_admit (&runner, 1, 0, 0, 0, 1), CLM_ADMIT_OK);
  EXPECT_EQ (clm_runner_revoke (&runner, 1, 2), CLM_RUN_WAITING);
  clm_runner_set_state (&runner, 1, CLM_RUN_STARTED, 3);
  EXPECT_EQ (clm_runner_revoke (&runner, 1, 4), CLM_RUN_STARTED);
  clm_runner_set_state (&runner, 1, CLM_RUN_DONE, 5);
  EXPECT_EQ (clm_runner_revoke (&runner, 1, 6), CLM_RUN_DONE);
}

// An unkeyed request ends, its END message is lost with a connection, and the
// entry revokes the attempt. If the agent had forgotten it, it would report it
// as void, and the entry would run the request a second time.
TEST_F (RunnerTest, FinishedUnkeyedAttemptIsRemembered)
{
  clm_runner_admit (&runner, 1, 0, 0, 0, 1);
  clm_runner_set_state (&runner, 1, CLM_RUN_DONE, 2);
  clm_runner_expire (&runner, 2 + kWindow);
  EXPECT_EQ (clm_runner_revoke (&runner, 1, 3), CLM_RUN_DONE);
  clm_runner_expire (&runner, 3 + kWindow);
  EXPECT_EQ (clm_runner_find (&runner, 1), nullptr);
}

TEST_F (RunnerTest, StaleEpochIsRefused)
{
  uint64_t epochs[CLM_SHARDS] = {};
  epochs[clm_shard (kKey)] = 7;
  kb_buf_t records = {};
  clm_runner_recover (&runner, epochs, 1, 5, &records);
  EXPECT_EQ (records.len_bytes, 0u);
  EXPECT_EQ (clm_runner_admit (&runner, 1, kKey, kDigest, 6, 1),
             CLM_ADMIT_STALE_EPOCH);
  EXPECT_EQ (clm_runner_admit (&runner, 1, kKey, kDigest, 7, 1), CLM_ADMIT_OK);
  EXPECT_EQ (clm_runner_admit (&runner, 2, kKey, kDigest, 8, 1),
             CLM_ADMIT_ALREADY);
  kb_buf_finish (&records);
}

TEST_F (RunnerTest, KeptAnswersAreBounded)
{
  std::string answer (900, 'x');
  for (uint64_t i = 1; i <= 10; i++)
    {
      clm_runner_admit (&runner, i, kKey + i * 2, 1, 1, 1);
      clm_runner_set_state (&runner, i, CLM_RUN_DONE, 1);
      clm_runner_cache_answer (&runner, i, "text/plain",
                               { answer.data (), (uint32_t)answer.size () });
      EXPECT_LE (runner.answer_bytes, 4000u);
    }
  EXPECT_EQ (clm_runner_find (&runner, 1)->answer, nullptr);
  EXPECT_NE (clm_runner_find (&runner, 10)->answer, nullptr);
}

// --- Exploration ---------------------------------------------------------
//
// Two senders of one key (entries E0, E1), owner A, later owner B, runners R0
// and R1. Every interleaving of steps is visited: messages may be delayed
// without bound or lost; A may be paused and resume after B took over; a
// runner may restart and lose its memory. Invariant: the key runs at most
// once.

/// Planted bugs, each of which the explorer must find.
struct Bugs
{
  bool no_epoch_check = false;
  bool no_incarnation_check = false;
  bool no_map_read = false;
  bool revoke_forgets = false;
  bool owner_ignores_memory_loss = false;
};

struct Message
{
  char kind; ///< c claim, r reply, d dispatch, v revoke, w revoked
  char to;
  char sender; ///< The sending entry, 0 or 1.
  char attempt;
  char extra;
  char extra2;
  char epoch;
  bool
  operator<(const Message &o) const
  {
    return memcmp (this, &o, sizeof *this) < 0;
  }
};

enum SenderStage : char
{
  kIdle,
  kClaiming,
  kDispatched,
  kRevoking,
  kFinished
};

/// The state without the messages; compared byte by byte.
struct Plain
{
  // Senders.
  SenderStage stage[2] = { kIdle, kIdle };
  char attempt[2] = { 0, 0 };
  char tries[2] = { 0, 0 };
  char voided[2] = { 0, 0 };
  char holder[2] = { 0, 0 };
  char holder_runner[2] = { 0, 0 };
  // Owners: the record of each (attempt, runner, incarnation).
  char owner_ready[2] = { 1, 0 };
  char rec_attempt[2] = { 0, 0 };
  char rec_runner[2] = { 0, 0 };
  char rec_inc[2] = { 0, 0 };
  char rec_unknown[2] = { 0, 0 };
  char uncertain[2] = { 0, 0 };
  char map_owner = 0;
  char b_started = 0;
  char b_recovered[2] = { 0, 0 };
  // Runners.
  char inc[2] = { 1, 1 };
  char epoch[2] = { 0, 0 };
  char ran[2] = { 0, 0 };   ///< Attempt that ran in this incarnation.
  char voids[2] = { 0, 0 }; ///< Bit per voided attempt.
  char restarts = 0;
  char runs = 0;
};

struct World : Plain
{
  std::multiset<Message> wire;

  std::string
  key () const
  {
    const Plain *plain = this;
    std::string out (reinterpret_cast<const char *> (plain), sizeof *plain);
    for (const auto &m : wire)
      out.append (reinterpret_cast<const char *> (&m), sizeof m);
    return out;
  }
};

class Explorer
{
public:
  explicit Explorer (Bugs bugs) : bugs_ (bugs) {}

  /// @return  The highest number of runs in any reachable state.
  int
  explore ()
  {
    std::vector<World> stack = { World{} };
    seen_.insert (stack[0].key ());
    while (!stack.empty ())
      {
        World w = stack.back ();
        stack.pop_back ();
        worst_ = std::max (worst_, (int)w.runs);
        if (worst_ > 1)
          return worst_;
        next_.clear ();
        step (w);
        for (auto &n : next_)
          if (seen_.insert (n.key ()).second)
            stack.push_back (n);
      }
    return worst_;
  }
  size_t
  states () const
  {
    return seen_.size ();
  }

private:
  void
  send_claim (World &w, int e, char runner)
  {
    w.stage[e] = kClaiming;
    w.attempt[e] = (char)(1 + e + 2 * w.tries[e]);
    w.tries[e]++;
    w.wire.insert (
        { 'c', w.map_owner, (char)e, w.attempt[e], runner, w.voided[e], 0 });
  }

  /// Sender e starts, or tries again, at a runner.
  void
  start (const World &w, int e)
  {
    for (char runner = 0; runner < 2; runner++)
      {
        World n = w;
        send_claim (n, e, runner);
        next_.push_back (n);
      }
  }

  void
  owner_claim (World &w, const Message &m)
  {
    int o = m.to;
    if (!w.owner_ready[o])
      return;
    bool is_free = (w.rec_attempt[o] == 0 && !w.uncertain[o])
                   || w.rec_attempt[o] == m.attempt
                   || (m.extra2 != 0 && w.rec_attempt[o] == m.extra2
                       && !w.rec_unknown[o]);
    char epoch = (char)(o + 1);
    if (is_free)
      {
        w.rec_attempt[o] = m.attempt;
        w.rec_runner[o] = m.extra;
        w.rec_inc[o] = w.inc[(int)m.extra];
        w.wire.insert (
            { 'r', w.rec_inc[o], m.sender, m.attempt, 'g', m.extra, epoch });
      }
    else if (w.rec_attempt[o] != 0 && !w.rec_unknown[o])
      w.wire.insert ({ 'r', w.rec_runner[o], m.sender, m.attempt, 'h',
                       w.rec_attempt[o], w.rec_inc[o] });
    else
      w.wire.insert ({ 'r', 0, m.sender, m.attempt, 'u', 0, 0 });
  }

  void
  sender_reply (World &w, const Message &m)
  {
    int e = m.sender;
    if (w.stage[e] != kClaiming || w.attempt[e] != m.attempt)
      return;
    if (m.extra == 'g')
      {
        w.stage[e] = kDispatched;
        w.voided[e] = 0;
        w.wire.insert (
            { 'd', m.extra2, (char)e, m.attempt, m.to, 0, m.epoch });
      }
    else if (m.extra == 'h')
      {
        w.stage[e] = kRevoking;
        w.holder[e] = m.extra2;
        w.holder_runner[e] = m.to;
        w.wire.insert ({ 'v', m.to, (char)e, m.extra2, m.epoch, 0, 0 });
      }
    else
      w.stage[e] = kFinished;
  }

  void
  runner_dispatch (World &w, const Message &m)
  {
    int r = m.to;
    if (w.voids[r] >> m.attempt & 1)
      return;
    if (!bugs_.no_incarnation_check && m.extra != w.inc[r])
      return;
    if (!bugs_.no_epoch_check && m.epoch < w.epoch[r])
      return;
    if (w.ran[r] != 0)
      return;
    w.epoch[r] = std::max (w.epoch[r], m.epoch);
    w.ran[r] = m.attempt;
    w.runs++;
  }

  void
  runner_revoke (World &w, const Message &m)
  {
    int r = m.to;
    char answer = 'v';
    if (m.extra != w.inc[r])
      answer = 'f';
    else if (w.ran[r] == m.attempt)
      answer = bugs_.revoke_forgets ? 'v' : 'd';
    else
      w.voids[r] |= (char)(1 << m.attempt);
    w.wire.insert ({ 'w', 0, m.sender, m.attempt, answer, 0, 0 });
  }

  void
  deliver (World &w, const Message &m)
  {
    switch (m.kind)
      {
      case 'c':
        owner_claim (w, m);
        break;
      case 'r':
        sender_reply (w, m);
        break;
      case 'd':
        runner_dispatch (w, m);
        break;
      case 'v':
        runner_revoke (w, m);
        break;
      default:
        {
          int e = m.sender;
          if (w.stage[e] != kRevoking || w.holder[e] != m.attempt)
            break;
          w.stage[e] = kFinished;
          if (m.extra == 'v' && w.tries[e] < 2)
            {
              w.voided[e] = m.attempt;
              w.stage[e] = kIdle;
            }
        }
      }
  }

  /// B recovers from a runner, which raises its epoch and reports what ran.
  void
  rebuild_from (const World &w, int r)
  {
    World n = w;
    n.b_recovered[r] = 1;
    n.epoch[r] = 2;
    if (n.ran[r] != 0)
      {
        n.rec_attempt[1] = n.ran[r];
        n.rec_runner[1] = (char)r;
        n.rec_inc[1] = n.inc[r];
      }
    if (n.inc[r] > 1 && !bugs_.owner_ignores_memory_loss)
      n.uncertain[1] = 1;
    next_.push_back (n);
  }

  void
  step (const World &w)
  {
    for (int e = 0; e < 2; e++)
      {
        if (w.stage[e] == kIdle && w.tries[e] < 2)
          start (w, e);
        // Giving up: the caller gets "unknown"; nothing is proved.
        if (w.stage[e] != kFinished && w.stage[e] != kIdle)
          {
            World n = w;
            n.stage[e] = kFinished;
            next_.push_back (n);
          }
      }
    for (auto it = w.wire.begin (); it != w.wire.end (); ++it)
      {
        World n = w;
        Message m = *it;
        n.wire.erase (n.wire.find (m));
        World lost = n;
        deliver (n, m);
        next_.push_back (n);
        next_.push_back (lost);
      }
    // Takeover: A is paused, not stopped, and still answers messages.
    if (!w.b_started)
      {
        World n = w;
        n.b_started = 1;
        n.map_owner = 1;
        next_.push_back (n);
      }
    if (w.b_started && !w.owner_ready[1])
      {
        for (int r = 0; r < 2; r++)
          if (!w.b_recovered[r])
            rebuild_from (w, r);
        if (w.b_recovered[0] && w.b_recovered[1])
          {
            World n = w;
            n.owner_ready[1] = 1;
            next_.push_back (n);
          }
      }
    if (w.restarts < 1)
      for (int r = 0; r < 2; r++)
        {
          World n = w;
          n.restarts++;
          n.inc[r]++;
          n.ran[r] = 0;
          n.voids[r] = 0;
          // A runner reads the shard map after it has registered.
          n.epoch[r] = bugs_.no_map_read ? 0 : (char)(n.map_owner + 1);
          // Messages on the old connection are lost.
          for (auto it = n.wire.begin (); it != n.wire.end ();)
            it = (it->kind == 'd' || it->kind == 'v') && it->to == r
                     ? n.wire.erase (it)
                     : std::next (it);
          // The owner learns of it by the hello of the new incarnation.
          for (int o = 0; o < 2; o++)
            if (n.owner_ready[o] && n.rec_attempt[o] != 0
                && n.rec_runner[o] == r)
              n.rec_unknown[o] = 1;
          next_.push_back (n);
        }
  }

  Bugs bugs_;
  std::vector<World> next_;
  std::set<std::string> seen_;
  int worst_ = 0;
};

TEST (ClaimExploration, KeyRunsAtMostOnce)
{
  Explorer explorer ({});
  EXPECT_EQ (explorer.explore (), 1);
  EXPECT_GT (explorer.states (), 10000u);
  RecordProperty ("states", (int)explorer.states ());
  printf ("explored %zu states\n", explorer.states ());
}

TEST (ClaimExploration, FindsMissingEpochCheck)
{
  Bugs bugs;
  bugs.no_epoch_check = true;
  EXPECT_GT (Explorer (bugs).explore (), 1);
}

// A grant is delayed, another sender has the attempt voided and runs, the
// runner restarts and forgets both, and then the old grant is dispatched to
// it.
TEST (ClaimExploration, FindsMissingIncarnationCheck)
{
  Bugs bugs;
  bugs.no_incarnation_check = true;
  EXPECT_GT (Explorer (bugs).explore (), 1);
}

// A runner that took part in a rebuild restarts, forgets the raised epoch, and
// accepts a grant of the former owner.
TEST (ClaimExploration, FindsMissingMapRead)
{
  Bugs bugs;
  bugs.no_map_read = true;
  EXPECT_GT (Explorer (bugs).explore (), 1);
}

TEST (ClaimExploration, FindsRevocationThatIgnoresARun)
{
  Bugs bugs;
  bugs.revoke_forgets = true;
  EXPECT_GT (Explorer (bugs).explore (), 1);
}

TEST (ClaimExploration, FindsIgnoredMemoryLoss)
{
  Bugs bugs;
  bugs.owner_ignores_memory_loss = true;
  EXPECT_GT (Explorer (bugs).explore (), 1);
}

} // namespace
