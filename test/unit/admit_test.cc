// What a sidecar decides: places, fetches, versions, and what it declines.
#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

extern "C"
{
#include "coordination/admit.h"
}

namespace
{

kb_slice_t
slice (const std::string &text)
{
  return kb_slice_t{ text.data (), (uint32_t)text.size () };
}

class AdmitTest : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    adm_options_t options = {};
    options.slots = 4;
    options.kv_tokens = 100000;
    options.adapter_slots = 2;
    options.max_cold = 1;
    options.max_coming = 4;
    adm_table_init (&table, &options);
    table.is_open = true;
  }
  void
  TearDown () override
  {
    adm_table_finish (&table);
  }
  static uint64_t
  key_of (const std::string &name)
  {
    return kb_hash (name.data (), name.size (), 0) | 1;
  }
  adm_adapter_t *
  adapter (const std::string &name)
  {
    return adm_adapter_need (&table, key_of (name), slice (name));
  }
  adm_ask_t *
  ask (uint64_t id, const std::string &name, uint64_t now_ms = 0,
       uint32_t priority = 1, uint32_t prompt = 100, uint64_t due_ms = 100000)
  {
    adm_ask_t given = {};
    given.id = id;
    given.owner = 7;
    given.adapter = name.empty () ? nullptr : adapter (name);
    given.priority = priority;
    given.tokens = prompt + 100;
    given.prompt_tokens = prompt;
    given.arrived_ms = now_ms;
    given.due_ms = due_ms;
    given.objective_ms = now_ms + 800;
    if (given.adapter != nullptr)
      adm_adapter_asked (given.adapter, now_ms);
    return adm_ask_add (&table, &given);
  }
  /// What the engine lists: names with versions.
  void
  report (const std::vector<std::pair<std::string, uint32_t>> &held,
          const std::vector<std::string> &coming = {}, uint64_t now_ms = 0)
  {
    adm_report_begin (&table);
    for (const auto &[name, version] : held)
      adm_report_adapter (&table, key_of (name), slice (name), version, false,
                          now_ms);
    for (const auto &name : coming)
      adm_report_adapter (&table, key_of (name), slice (name), 1, true,
                          now_ms);
    adm_report_end (&table);
  }
  adm_action_t
  next (uint64_t now_ms = 0)
  {
    return adm_next (&table, true, now_ms);
  }
  /// The engine has two slots, and two requests have them.
  void
  take_two_slots ()
  {
    table.options.slots = 2;
    for (uint64_t id = 1; id <= 2; id++)
      {
        ask (id, "", 0, 1, 10);
        ASSERT_EQ (next (0).kind, ADM_DO_GRANT);
      }
  }
  adm_table_t table;
};

TEST_F (AdmitTest, GrantsWhatIsHeldAndPinsIt)
{
  report ({ { "m/a", 1 } });
  ask (1, "m/a");
  adm_action_t action = next ();
  ASSERT_EQ (action.kind, ADM_DO_GRANT);
  EXPECT_EQ (action.ask->id, 1u);
  EXPECT_EQ (adapter ("m/a")->pins, 1u);
  adm_ask_remove (&table, action.ask);
  EXPECT_EQ (adapter ("m/a")->pins, 0u);
  EXPECT_EQ (table.granted, 0u);
}

TEST_F (AdmitTest, FetchesWhatIsAskedForAndThenGrants)
{
  ask (1, "m/a");
  adm_action_t action = next ();
  ASSERT_EQ (action.kind, ADM_DO_LOAD);
  adm_load_begun (&table, action.adapter, 0);
  EXPECT_EQ (next ().kind, ADM_DO_NOTHING);
  report ({ { "m/a", 1 } }, {}, 250);
  EXPECT_EQ (next (250).kind, ADM_DO_GRANT);
}

// A caller's stream breaks off in the middle: its adapter was dropped to make
// room for another one while the stream was still running.
TEST_F (AdmitTest, NeverDropsAnAdapterThatServes)
{
  report ({ { "m/a", 1 }, { "m/b", 1 } });
  ask (1, "m/a");
  ASSERT_EQ (next ().kind, ADM_DO_GRANT);
  ask (2, "m/b");
  adm_action_t second = next ();
  ASSERT_EQ (second.kind, ADM_DO_GRANT);
  ask (3, "m/c");
  EXPECT_EQ (next ().kind, ADM_DO_NOTHING);
  adm_ask_remove (&table, second.ask);
  adm_action_t action = next ();
  ASSERT_EQ (action.kind, ADM_DO_UNLOAD);
  EXPECT_STREQ (action.adapter->name, "m/b");
}

// An operator names a new version of an adapter that is in use. Every other
// request of that engine then stalls for seconds: the order to replace it
// waits for its runs and holds all later fetches back.
TEST_F (AdmitTest, StaleAdapterInUseIsDeclinedNotReplaced)
{
  report ({ { "m/a", 1 } });
  ask (1, "m/a");
  adm_action_t run = next ();
  ASSERT_EQ (run.kind, ADM_DO_GRANT);
  adm_adapter_want (adapter ("m/a"), 2);
  ask (2, "m/a");
  adm_action_t action = next ();
  ASSERT_EQ (action.kind, ADM_DO_DECLINE);
  EXPECT_STREQ (action.reason, "version_changes");
  adm_ask_remove (&table, action.ask);
  adm_ask_remove (&table, run.ask);
  ask (3, "m/a");
  action = next ();
  ASSERT_EQ (action.kind, ADM_DO_LOAD);
  adm_load_begun (&table, action.adapter, 0);
  // Ordered once, however often it is asked for meanwhile.
  EXPECT_EQ (next (1000).kind, ADM_DO_NOTHING);
  report ({ { "m/a", 2 } }, {}, 1000);
  EXPECT_EQ (next (1000).kind, ADM_DO_GRANT);
}

TEST_F (AdmitTest, AnOlderWordOfAVersionChangesNothing)
{
  adm_adapter_want (adapter ("m/a"), 5);
  adm_adapter_want (adapter ("m/a"), 3);
  report ({ { "m/a", 4 } });
  ask (1, "m/a");
  EXPECT_EQ (next ().kind, ADM_DO_LOAD);
}

// All streams of an engine stand still for half a second at one moment:
// several long prompts were let in together and are read in a row.
TEST_F (AdmitTest, BoundsThePromptsReadAtOneTime)
{
  ask (1, "", 0, 1, 1200);
  ask (2, "", 0, 1, 1200);
  ask (3, "", 0, 1, 200);
  adm_action_t first = next ();
  ASSERT_EQ (first.kind, ADM_DO_GRANT);
  EXPECT_EQ (first.ask->id, 1u);
  // The long one waits, the short one fits beside the first.
  adm_action_t second = next ();
  ASSERT_EQ (second.kind, ADM_DO_GRANT);
  EXPECT_EQ (second.ask->id, 3u);
  EXPECT_EQ (next ().kind, ADM_DO_NOTHING);
  adm_ask_begun (&table, first.ask, 140);
  adm_action_t third = next (140);
  ASSERT_EQ (third.kind, ADM_DO_GRANT);
  EXPECT_EQ (third.ask->id, 2u);
}

// Long prompts are served far less often than short ones: each time room
// comes free, a short one that arrived later takes it.
TEST_F (AdmitTest, ALongPromptIsNotOvertakenForEver)
{
  ask (1, "", 0, 1, 4000);
  ASSERT_EQ (next ().kind, ADM_DO_GRANT);
  ask (2, "", 0, 1, 5000);
  ask (3, "", 150, 1, 100);
  EXPECT_EQ (next (150).kind, ADM_DO_NOTHING);
}

TEST_F (AdmitTest, MoreUrgentRequestsComeFirst)
{
  ask (1, "", 0, 2);
  ask (2, "", 0, 0);
  EXPECT_EQ (next ().ask->id, 2u);
}

TEST_F (AdmitTest, KeepsWithinSlotsAndMemory)
{
  table.options.kv_tokens = 1000;
  ask (1, "", 0, 1, 600);
  ask (2, "", 0, 1, 600);
  ASSERT_EQ (next ().kind, ADM_DO_GRANT);
  EXPECT_EQ (next ().kind, ADM_DO_NOTHING);
}

TEST_F (AdmitTest, DeclinesWhatCannotBeInTime)
{
  ask (1, "", 0, 1, 100, 500);
  table.options.slots = 0;
  EXPECT_EQ (next (100).kind, ADM_DO_NOTHING);
  adm_action_t action = next (450);
  ASSERT_EQ (action.kind, ADM_DO_DECLINE);
  EXPECT_STREQ (action.reason, "no_time_left");
}

TEST_F (AdmitTest, DeclinesAllWhenTheEngineIsClosed)
{
  ask (1, "");
  table.is_open = false;
  adm_action_t action = next ();
  ASSERT_EQ (action.kind, ADM_DO_DECLINE);
  EXPECT_STREQ (action.reason, "engine_closed");
}

TEST_F (AdmitTest, WaitForAFetchCountsWhatIsServedBefore)
{
  adm_ask_t *one = ask (1, "m/a");
  ask (2, "m/a");
  ASSERT_NE (one, nullptr);
  // Two requests wait for the first adapter; a new one comes behind it.
  EXPECT_EQ (adm_load_wait_ms (&table, adapter ("m/b"), 0), 500u);
  // A popular one would be fetched before it.
  for (int i = 0; i < 20; i++)
    adm_adapter_asked (adapter ("m/c"), 0);
  EXPECT_EQ (adm_load_wait_ms (&table, adapter ("m/c"), 0), 250u);
}

// More adapters are asked for than the weight store brings. Requests that are
// too late anyway wait longest; as long as the longest wait went first, each
// fetch came too late for its own requests and all callers were late.
TEST_F (AdmitTest, FetchesFirstWhatCanStillBeInTime)
{
  ask (1, "m/late", 0);
  ask (2, "m/timely", 700);
  adm_action_t action = next (700);
  ASSERT_EQ (action.kind, ADM_DO_LOAD);
  EXPECT_STREQ (action.adapter->name, "m/timely");
  // A turn that nobody else needs is theirs.
  adm_load_begun (&table, action.adapter, 700);
  report ({ { "m/timely", 1 } }, {}, 950);
  EXPECT_EQ (next (950).kind, ADM_DO_GRANT);
  action = next (950);
  ASSERT_EQ (action.kind, ADM_DO_LOAD);
  EXPECT_STREQ (action.adapter->name, "m/late");
}

TEST_F (AdmitTest, LateRequestsDoNotLengthenTheWaitOfNewOnes)
{
  for (uint64_t id = 1; id <= 4; id++)
    ask (id, "m/" + std::to_string (id), 0);
  EXPECT_EQ (adm_new_load_wait_ms (&table, 0), 1250u);
  EXPECT_EQ (adm_new_load_wait_ms (&table, 2000), 250u);
}

// An engine crashes and comes back empty. Its sidecar believes that adapters
// held before come back in a tenth of the time, and lets too many wait.
TEST_F (AdmitTest, ARestartForgetsWhatWasHeld)
{
  report ({ { "m/a", 1 } }, {}, 1);
  report ({}, {}, 2);
  EXPECT_EQ (adm_load_wait_ms (&table, adapter ("m/a"), 0), 0u);
  adm_engine_restarted (&table);
  EXPECT_GT (adm_load_wait_ms (&table, adapter ("m/a"), 0), 0u);
}

// Ten callers of one popular adapter come together. Their first events are
// 40 ms behind the reading of their prompts, a fixed part of every answer.
// When the next prompt waited for the first event of the one before, the
// engine read nothing in between, and the last caller was granted after 740
// ms. Paced by the reading rate the last one is granted after 571 ms.
TEST_F (AdmitTest, PromptsDoNotWaitForFirstEvents)
{
  constexpr double kReadTokensPerMs = 35; // As the table believes at first.
  constexpr double kReadingMs = 1400 / kReadTokensPerMs;
  constexpr uint64_t kFixedMs = 40;
  table.options.slots = 16;
  std::vector<std::pair<uint64_t, adm_ask_t *>> first_events;
  double read_until_ms = 0;
  for (uint64_t id = 1; id <= 10; id++)
    ask (id, "", 0, 1, 1400);
  uint64_t last_grant_ms = 0;
  for (uint64_t now_ms = 1; now_ms < 1500; now_ms++)
    {
      for (auto &[at_ms, begun] : first_events)
        if (at_ms == now_ms)
          adm_ask_begun (&table, begun, now_ms);
      adm_action_t action;
      while ((action = next (now_ms)).kind == ADM_DO_GRANT)
        {
          last_grant_ms = now_ms;
          read_until_ms
              = std::max (read_until_ms, (double)now_ms) + kReadingMs;
          first_events.emplace_back ((uint64_t)read_until_ms + kFixedMs,
                                     action.ask);
        }
    }
  EXPECT_EQ (table.waiting, 0u);
  EXPECT_LT (last_grant_ms, 650u);
}

// The other side of the same load: streams run beside it, and each piece of a
// prompt in a step delays their next token. What is given out at once, and
// over any time, stays below the reading rate, so that steps stay short.
TEST_F (AdmitTest, PromptsAreGivenOutBelowTheReadingRate)
{
  table.options.slots = 1000;
  for (uint64_t id = 1; id <= 200; id++)
    ask (id, "", 0, 1, 400);
  double dispatched_tokens = 0;
  for (uint64_t now_ms = 1; now_ms < 1000; now_ms++)
    {
      while (next (now_ms).kind == ADM_DO_GRANT)
        dispatched_tokens += 400;
      EXPECT_LE (dispatched_tokens, (50 + 0.7 * (double)now_ms) * 35)
          << now_ms;
    }
  EXPECT_GT (dispatched_tokens, 0.6 * 1000 * 35);
}

TEST_F (AdmitTest, AGatewayThatIsGoneGivesItsPlacesBack)
{
  ask (1, "");
  ASSERT_EQ (next ().kind, ADM_DO_GRANT);
  ask (2, "");
  adm_owner_gone (&table, 7);
  EXPECT_EQ (table.granted, 0u);
  EXPECT_EQ (table.waiting, 0u);
  EXPECT_EQ (table.reading.dispatched_tokens, 0);
  EXPECT_EQ (table.waiting_cost, 0);
}

// After a burst everyone stays late for twenty seconds though the engine is
// fast enough again: requests are served in the order they came, each after
// its objective, and those that arrive now wait behind them until they are
// late as well.
TEST_F (AdmitTest, RequestsInTimeGoBeforeLateOnes)
{
  ask (1, "", 0);
  ask (2, "", 1000);
  adm_action_t action = next (1000);
  ASSERT_EQ (action.kind, ADM_DO_GRANT);
  EXPECT_EQ (action.ask->id, 2u);
  action = next (1000);
  ASSERT_EQ (action.kind, ADM_DO_GRANT);
  EXPECT_EQ (action.ask->id, 1u);
}

// A late request of the most urgent class would delay requests in time of all
// other classes, and earn little for it.
TEST_F (AdmitTest, AnUrgentRequestThatIsLateWaitsForRequestsInTime)
{
  ask (1, "", 0, 0);
  ask (2, "", 1000, 5);
  adm_action_t action = next (1000);
  ASSERT_EQ (action.kind, ADM_DO_GRANT);
  EXPECT_EQ (action.ask->id, 2u);
}

/// Requests in time keep the engine busy from 0 to `until_ms`: a new one every
/// 20 ms, each with prompts of 50 ms, one granted as soon as it fits.
#define KEEP_BUSY(until_ms)                                                   \
  for (uint64_t now = 0; now <= (until_ms); now += 20)                        \
    {                                                                         \
      ask (1000 + now, "", now, 1, 1750);                                     \
      for (adm_action_t a = next (now); a.kind != ADM_DO_NOTHING;             \
           a = next (now))                                                    \
        if (a.kind == ADM_DO_DECLINE)                                         \
          adm_ask_remove (&table, a.ask);                                     \
    }

// Load past saturation turns into late answers: requests that can not be in
// time wait until their caller leaves, though requests in time have taken all
// the engine's capacity for as long as they wait.
TEST_F (AdmitTest, LateRequestsAreDeclinedWhileThereIsNoCapacityForThem)
{
  table.options.slots = 1000;
  table.options.kv_tokens = 0;
  KEEP_BUSY (1200);
  EXPECT_TRUE (adm_is_pressed (&table, 1200));
  adm_ask_t *late = ask (2, "", 1200, 1, 100);
  late->objective_ms = 1200;
  bool is_declined = false;
  for (adm_action_t a = next (1200); a.kind == ADM_DO_DECLINE; a = next (1200))
    {
      EXPECT_STREQ (a.reason, "late_under_load");
      is_declined = is_declined || a.ask == late;
      adm_ask_remove (&table, a.ask);
    }
  EXPECT_TRUE (is_declined);
}

// The same request is served where the engine has a moment to spare.
TEST_F (AdmitTest, LateRequestsAreServedWithWhatIsLeft)
{
  adm_ask_t *late = ask (2, "", 1200, 1, 100);
  late->objective_ms = 1200;
  adm_action_t action = next (1200);
  ASSERT_EQ (action.kind, ADM_DO_GRANT);
  EXPECT_EQ (action.ask->id, 2u);
}

// Callers of one kind get nothing for as long as a more urgent kind asks for
// more than the engine can read.
TEST_F (AdmitTest, ALessUrgentClassKeepsAShare)
{
  table.options.slots = 1000;
  table.options.kv_tokens = 0;
  int urgent = 0;
  int other = 0;
  for (uint64_t now = 0; now < 3000; now += 10)
    {
      // Twice what is read: each class alone would take it all.
      ask (10000 + now, "", now, 0, 350);
      ask (20000 + now, "", now, 1, 350);
      for (adm_action_t a = next (now); a.kind != ADM_DO_NOTHING;
           a = next (now))
        if (a.kind == ADM_DO_DECLINE)
          adm_ask_remove (&table, a.ask);
        else
          (a.ask->priority == 0 ? urgent : other)++;
    }
  EXPECT_GT (other, (urgent + other) / 8);
  EXPECT_LT (other, (urgent + other) / 3);
}

TEST_F (AdmitTest, PredictsTheFirstEventFromWhatIsAhead)
{
  adm_ask_t probe = {};
  probe.prompt_tokens = 350;
  probe.priority = 1;
  probe.objective_ms = 800;
  uint64_t alone_ms = adm_forecast (&table, &probe, 0).first_ms;
  // Its own reading at 35 tokens a millisecond, and the way to its caller.
  EXPECT_NEAR ((double)alone_ms, 70, 5);
  for (uint64_t id = 1; id <= 10; id++)
    ask (id, "", 0, 1, 350);
  // Ten more at 0.65 of that rate.
  EXPECT_NEAR ((double)adm_forecast (&table, &probe, 0).first_ms, 70 + 154, 8);
  // What is less urgent is not ahead.
  probe.priority = 0;
  EXPECT_EQ (adm_forecast (&table, &probe, 0).first_ms, alone_ms);
}

TEST_F (AdmitTest, PredictsTheWaitForAFullBatch)
{
  ASSERT_NO_FATAL_FAILURE (take_two_slots ());
  adm_ask_t probe = {};
  probe.prompt_tokens = 10;
  probe.priority = 1;
  probe.objective_ms = 5000;
  // Two places, each held for a second: one is free in half of that.
  EXPECT_NEAR ((double)adm_forecast (&table, &probe, 100).first_ms, 560, 10);
}

// Requests that wait for a place take the next ones. A forecast that takes the
// first free place for a newcomer's lets it queue until it is late.
TEST_F (AdmitTest, CountsWhoWaitsForAPlaceBeforeIt)
{
  ASSERT_NO_FATAL_FAILURE (take_two_slots ());
  for (uint64_t id = 3; id <= 5; id++)
    ask (id, "", 0, 1, 10);
  adm_ask_t probe = {};
  probe.prompt_tokens = 10;
  probe.priority = 1;
  probe.objective_ms = 5000;
  // Two places, each held for a second: the fourth one is free in two.
  EXPECT_NEAR ((double)adm_forecast (&table, &probe, 100).place_ms, 2000, 1);
}

/// The engine states a limit.
void
limit_starts (adm_table_t *table, double per_s, uint64_t now_ms)
{
  bkp_limit_t told
      = { .is_limited = true, .per_s = per_s, .at_ms = now_ms + 1 };
  bkp_meter_merge (&table->meter, &told, now_ms);
}

// Guards against requests that waited already and go past a limit.
TEST_F (AdmitTest, WhatWaitsKeepsToALimitThatIsStatedMeanwhile)
{
  table.options.slots = 1;
  ask (1, "", 0, 1, 10);
  ASSERT_EQ (next (0).kind, ADM_DO_GRANT);
  for (uint64_t id = 2; id <= 6; id++)
    ask (id, "", 0, 1, 10);
  limit_starts (&table, 10, 100);
  table.options.slots = 100;
  int granted = 0;
  for (uint64_t now_ms = 100; now_ms < 400; now_ms++)
    granted += next (now_ms).kind == ADM_DO_GRANT;
  EXPECT_EQ (granted, 3);
}

TEST_F (AdmitTest, ALimitCountsInTheForecast)
{
  limit_starts (&table, 10, 0);
  for (uint64_t id = 1; id <= 5; id++)
    ask (id, "", 0, 1, 10);
  adm_ask_t probe = {};
  probe.prompt_tokens = 10;
  probe.priority = 1;
  probe.objective_ms = 5000;
  // One may start at once, five come before.
  EXPECT_NEAR ((double)adm_forecast (&table, &probe, 0).place_ms, 500, 2);
  // It is sent on at once where it would be late.
  probe.objective_ms = 300;
  adm_forecast_t forecast = adm_forecast (&table, &probe, 0);
  EXPECT_STREQ (adm_refusal (&table, &probe, &forecast, 0),
                "no_place_in_time");
}

// Engines that hold an adapter in demand have all slots taken, others are
// nearly empty. Callers queued for 0.7 s and were then sent on, late; sent on
// at once they are in time elsewhere. When several engines have no slot, a
// request waits where it is.
TEST_F (AdmitTest, ARequestIsSentOnWhenTheSlotsAreTakenForTooLong)
{
  ASSERT_NO_FATAL_FAILURE (take_two_slots ());
  adm_ask_t probe = {};
  probe.prompt_tokens = 10;
  probe.priority = 1;
  probe.due_ms = 10000;
  probe.objective_ms = 800;
  adm_forecast_t forecast = adm_forecast (&table, &probe, 0);
  EXPECT_EQ (adm_refusal (&table, &probe, &forecast, 0), nullptr)
      << "one place is free in half a second";
  ask (3, "", 0, 1, 10);
  ask (4, "", 0, 1, 10);
  forecast = adm_forecast (&table, &probe, 0);
  EXPECT_STREQ (adm_refusal (&table, &probe, &forecast, 0),
                "no_place_in_time");
  probe.declined = 3;
  EXPECT_EQ (adm_refusal (&table, &probe, &forecast, 0), nullptr);
  probe.declined = 0;
  probe.objective_ms = 0;
  EXPECT_EQ (adm_refusal (&table, &probe, &forecast, 0), nullptr)
      << "it is late in any case";
}

// A model that fills its engine leaves no place for an adapter. A caller that
// asks for one would wait until its patience ends for what can not come.
TEST_F (AdmitTest, WithoutPlacesForAdaptersRequestsAreDeclinedAtOnce)
{
  table.options.adapter_slots = 0;
  ask (1, "m/a");
  adm_action_t action = next ();
  ASSERT_EQ (action.kind, ADM_DO_DECLINE);
  EXPECT_STREQ (action.reason, "no_adapter_room");
}

TEST_F (AdmitTest, ARepeatedIdIsIgnored)
{
  EXPECT_NE (ask (1, ""), nullptr);
  EXPECT_EQ (ask (1, ""), nullptr);
}

// Engines ended under a request, and under others that were beginning there.
// To tell which of them does it, it begins alone: what is beginning finishes
// first, and nobody else is granted until a moment after its first event.
TEST_F (AdmitTest, ASuspectBeginsAlone)
{
  ask (1, "", 1000);
  adm_ask_t *running = next (1000).ask;
  ASSERT_NE (running, nullptr);
  adm_ask_t *suspect = ask (2, "", 1000, 0);
  suspect->alone.is_alone = true;
  ask (3, "", 1000);
  EXPECT_EQ (next (1010).kind, ADM_DO_NOTHING) << "another one is beginning";
  adm_ask_begun (&table, running, 1020);
  EXPECT_EQ (next (1100).kind, ADM_DO_NOTHING) << "it has just begun";
  adm_action_t action = next (1170);
  ASSERT_EQ (action.kind, ADM_DO_GRANT);
  EXPECT_EQ (action.ask, suspect);
  EXPECT_EQ (next (1300).kind, ADM_DO_NOTHING);
  adm_ask_begun (&table, suspect, 1300);
  EXPECT_EQ (next (1449).kind, ADM_DO_NOTHING);
  EXPECT_EQ (next (1450).kind, ADM_DO_GRANT);
}

TEST_F (AdmitTest, ASuspectThatEndsGivesTheEngineBack)
{
  adm_ask_t *suspect = ask (1, "", 1000);
  suspect->alone.is_alone = true;
  ask (2, "", 1000);
  ASSERT_EQ (next (1000).ask, suspect);
  EXPECT_EQ (next (1001).kind, ADM_DO_NOTHING);
  adm_ask_remove (&table, suspect);
  EXPECT_EQ (next (1002).kind, ADM_DO_GRANT);
}

// A request that hangs before its first event would keep a suspect waiting,
// and the suspect all others: the engine would stand still.
TEST_F (AdmitTest, ASuspectKeepsNobodyBackForLong)
{
  ask (1, "", 1000);
  ASSERT_EQ (next (1000).kind, ADM_DO_GRANT);
  ask (2, "", 1000, 0)->alone.is_alone = true;
  ask (3, "", 1000);
  EXPECT_EQ (next (1100).kind, ADM_DO_NOTHING);
  adm_action_t action = next (1601);
  ASSERT_EQ (action.kind, ADM_DO_DECLINE);
  EXPECT_STREQ (action.reason, "others_begin");
  adm_ask_remove (&table, action.ask);
  EXPECT_EQ (next (1602).kind, ADM_DO_GRANT);
}

// A caller sends requests that are to begin alone without end, each of them
// slow. They would keep all others from the engine.
TEST_F (AdmitTest, SuspectsKeepOthersBackForAPartOfTheTime)
{
  uint64_t kept_ms = 0;
  uint64_t id = 1;
  adm_ask_t *suspect = nullptr;
  uint64_t granted_ms = 0;
  for (uint64_t now_ms = 1000; now_ms < 61000; now_ms += 10)
    {
      ask (id++, "", now_ms, 0)->alone.is_alone = true;
      adm_ask_t *other = ask (id++, "", now_ms);
      bool is_granted = false;
      adm_action_t action;
      while ((action = next (now_ms)).kind != ADM_DO_NOTHING)
        {
          is_granted = is_granted || action.ask == other;
          if (action.kind == ADM_DO_GRANT && action.ask->alone.is_alone)
            {
              suspect = action.ask;
              granted_ms = now_ms;
              continue;
            }
          if (action.kind == ADM_DO_GRANT)
            adm_ask_begun (&table, action.ask, now_ms);
          adm_ask_remove (&table, action.ask);
        }
      kept_ms += is_granted ? 0 : 10;
      if (suspect != nullptr && now_ms - granted_ms > 1200)
        {
          adm_ask_remove (&table, suspect);
          suspect = nullptr;
        }
    }
  EXPECT_LE (kept_ms, 15000u);
}

TEST_F (AdmitTest, ASuspectThatHangsKeepsNobodyBackForLong)
{
  ask (1, "", 1000)->alone.is_alone = true;
  ASSERT_EQ (next (1000).kind, ADM_DO_GRANT);
  ask (2, "", 1000);
  EXPECT_EQ (next (1999).kind, ADM_DO_NOTHING);
  EXPECT_EQ (next (2000).kind, ADM_DO_GRANT);
}

} // namespace
