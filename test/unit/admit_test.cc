// Admission control of a sidecar: places, loads, versions and declines.
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
    options.max_cold_loads = 1;
    options.max_loads_in_progress = 4;
    adm_table_init (&table, &options);
    table.is_engine_ready = true;
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
    return adm_adapter_get_or_add (&table, key_of (name), slice (name));
  }
  adm_request_t *
  add_request (uint64_t id, const std::string &name, uint64_t now_ms = 0,
               uint32_t priority = 1, uint32_t prompt = 100,
               uint64_t deadline_ms = 100000)
  {
    adm_request_t given = {};
    given.id = id;
    given.owner = 7;
    given.adapter = name.empty () ? nullptr : adapter (name);
    given.priority = priority;
    given.kv_tokens_needed = prompt + 100;
    given.prompt_tokens = prompt;
    given.arrived_ms = now_ms;
    given.deadline_ms = deadline_ms;
    given.objective_ms = now_ms + 800;
    if (given.adapter != nullptr)
      adm_adapter_record_request (given.adapter, now_ms);
    return adm_request_add (&table, &given);
  }
  /// Add a request that only one version may serve.
  adm_request_t *
  add_exact (uint64_t id, const std::string &name, uint32_t version)
  {
    adm_request_t *request = add_request (id, name);
    request->exact_version = version;
    return request;
  }
  /// @return  Why such a request is declined when it arrives; NULL: it is not.
  const char *
  refusal_of_exact (const std::string &name, uint32_t version)
  {
    adm_request_t given = {};
    given.adapter = adapter (name);
    given.exact_version = version;
    given.prompt_tokens = 100;
    given.deadline_ms = 100000;
    given.objective_ms = 800;
    adm_forecast_t forecast = adm_forecast (&table, &given, 0);
    return adm_refusal_reason (&table, &given, &forecast, 0);
  }
  /// Apply an engine report of held adapters (name and version) and loading
  /// ones.
  void
  report (const std::vector<std::pair<std::string, uint32_t>> &held,
          const std::vector<std::string> &loading = {}, uint64_t now_ms = 0)
  {
    adm_report_begin (&table);
    for (const auto &[name, version] : held)
      adm_report_adapter (&table, key_of (name), slice (name), version, false,
                          now_ms);
    for (const auto &name : loading)
      adm_report_adapter (&table, key_of (name), slice (name), 1, true,
                          now_ms);
    adm_report_end (&table);
  }
  adm_action_t
  next (uint64_t now_ms = 0)
  {
    return adm_next_action (&table, true, now_ms);
  }
  /// Limit the engine to two slots and fill both.
  void
  occupy_two_slots ()
  {
    table.options.slots = 2;
    for (uint64_t id = 1; id <= 2; id++)
      {
        add_request (id, "", 0, 1, 10);
        ASSERT_EQ (next (0).kind, ADM_ACTION_GRANT);
      }
  }
  adm_table_t table;
};

TEST_F (AdmitTest, GrantsAndPinsAHeldAdapter)
{
  report ({ { "m/a", 1 } });
  add_request (1, "m/a");
  adm_action_t action = next ();
  ASSERT_EQ (action.kind, ADM_ACTION_GRANT);
  EXPECT_EQ (action.request->id, 1u);
  EXPECT_EQ (adapter ("m/a")->pins, 1u);
  adm_request_remove (&table, action.request);
  EXPECT_EQ (adapter ("m/a")->pins, 0u);
  EXPECT_EQ (table.granted, 0u);
}

// Guards against a stream that goes on at a newer version of its adapter, or
// starts the load that replaces its own.
TEST_F (AdmitTest, AnExactVersionIsGrantedThoughANewerOneIsRequired)
{
  report ({ { "m/a", 1 } });
  adm_adapter_require_version (adapter ("m/a"), 2);
  table.options.slots = 1;
  add_request (1, "");
  ASSERT_EQ (next ().kind, ADM_ACTION_GRANT);
  add_exact (2, "m/a", 1);
  EXPECT_EQ (next ().kind, ADM_ACTION_NONE);
  table.options.slots = 2;
  adm_action_t action = next ();
  ASSERT_EQ (action.kind, ADM_ACTION_GRANT);
  EXPECT_EQ (action.request->id, 2u);
}

// Guards against a stream that waits until its deadline for a version that is
// not loaded again.
TEST_F (AdmitTest, AnExactVersionThatIsGoneIsDeclinedAtOnce)
{
  report ({ { "m/a", 2 } });
  add_exact (1, "m/a", 1);
  EXPECT_STREQ (next ().reason, "version_replaced");
  EXPECT_STREQ (refusal_of_exact ("m/a", 1), "version_replaced");
  // Held by no engine yet, and outdated.
  adm_adapter_require_version (adapter ("m/b"), 3);
  EXPECT_STREQ (refusal_of_exact ("m/b", 2), "version_replaced");
  EXPECT_EQ (refusal_of_exact ("m/b", 3), nullptr);
}

// Guards against a grant for an adapter whose replacement has been ordered.
TEST_F (AdmitTest, AnExactVersionThatIsBeingReplacedIsDeclined)
{
  report ({ { "m/a", 1 } });
  adm_adapter_require_version (adapter ("m/a"), 2);
  add_request (1, "m/a");
  adm_action_t action = next ();
  ASSERT_EQ (action.kind, ADM_ACTION_LOAD);
  adm_record_load_started (&table, action.adapter, 0);
  add_exact (2, "m/a", 1);
  EXPECT_STREQ (next ().reason, "version_replaced");
}

// Guards against a stream that is not continued where its version, the newest
// one, is not held yet.
TEST_F (AdmitTest, AnExactVersionThatIsTheNewestIsLoaded)
{
  report ({ { "m/a", 1 } });
  adm_adapter_require_version (adapter ("m/a"), 2);
  add_exact (1, "m/a", 2);
  adm_action_t action = next ();
  ASSERT_EQ (action.kind, ADM_ACTION_LOAD);
  adm_record_load_started (&table, action.adapter, 0);
  EXPECT_EQ (next ().kind, ADM_ACTION_NONE);
  report ({ { "m/a", 2 } }, {}, 250);
  EXPECT_EQ (next (250).kind, ADM_ACTION_GRANT);
}

TEST_F (AdmitTest, LoadsARequestedAdapterThenGrants)
{
  add_request (1, "m/a");
  adm_action_t action = next ();
  ASSERT_EQ (action.kind, ADM_ACTION_LOAD);
  adm_record_load_started (&table, action.adapter, 0);
  EXPECT_EQ (next ().kind, ADM_ACTION_NONE);
  report ({ { "m/a", 1 } }, {}, 250);
  EXPECT_EQ (next (250).kind, ADM_ACTION_GRANT);
}

// Guards against broken streams: an adapter in use must not be unloaded to
// make room for another one.
TEST_F (AdmitTest, NeverUnloadsAnAdapterInUse)
{
  report ({ { "m/a", 1 }, { "m/b", 1 } });
  add_request (1, "m/a");
  ASSERT_EQ (next ().kind, ADM_ACTION_GRANT);
  add_request (2, "m/b");
  adm_action_t second = next ();
  ASSERT_EQ (second.kind, ADM_ACTION_GRANT);
  add_request (3, "m/c");
  EXPECT_EQ (next ().kind, ADM_ACTION_NONE);
  adm_request_remove (&table, second.request);
  adm_action_t action = next ();
  ASSERT_EQ (action.kind, ADM_ACTION_UNLOAD);
  EXPECT_STREQ (action.adapter->name, "m/b");
}

// A new version is required of an adapter in use. An order to replace it would
// wait for its runs and block all later loads, so that every other request of
// the engine stalls for seconds.
TEST_F (AdmitTest, StaleAdapterInUseIsDeclinedNotReplaced)
{
  report ({ { "m/a", 1 } });
  add_request (1, "m/a");
  adm_action_t run = next ();
  ASSERT_EQ (run.kind, ADM_ACTION_GRANT);
  adm_adapter_require_version (adapter ("m/a"), 2);
  add_request (2, "m/a");
  adm_action_t action = next ();
  ASSERT_EQ (action.kind, ADM_ACTION_DECLINE);
  EXPECT_STREQ (action.reason, "version_changes");
  adm_request_remove (&table, action.request);
  adm_request_remove (&table, run.request);
  add_request (3, "m/a");
  action = next ();
  ASSERT_EQ (action.kind, ADM_ACTION_LOAD);
  adm_record_load_started (&table, action.adapter, 0);
  // The order is not repeated while it is in progress.
  EXPECT_EQ (next (1000).kind, ADM_ACTION_NONE);
  report ({ { "m/a", 2 } }, {}, 1000);
  EXPECT_EQ (next (1000).kind, ADM_ACTION_GRANT);
}

TEST_F (AdmitTest, AnOlderRequiredVersionIsIgnored)
{
  adm_adapter_require_version (adapter ("m/a"), 5);
  adm_adapter_require_version (adapter ("m/a"), 3);
  report ({ { "m/a", 4 } });
  add_request (1, "m/a");
  EXPECT_EQ (next ().kind, ADM_ACTION_LOAD);
}

// Guards against long pauses of all streams: several long prompts granted
// together would be read in a row, for half a second.
TEST_F (AdmitTest, LimitsConcurrentPromptReading)
{
  add_request (1, "", 0, 1, 1200);
  add_request (2, "", 0, 1, 1200);
  add_request (3, "", 0, 1, 200);
  adm_action_t first = next ();
  ASSERT_EQ (first.kind, ADM_ACTION_GRANT);
  EXPECT_EQ (first.request->id, 1u);
  // The second long prompt waits; the short one fits beside the first.
  adm_action_t second = next ();
  ASSERT_EQ (second.kind, ADM_ACTION_GRANT);
  EXPECT_EQ (second.request->id, 3u);
  EXPECT_EQ (next ().kind, ADM_ACTION_NONE);
  adm_request_record_first_event (&table, first.request, 140);
  adm_action_t third = next (140);
  ASSERT_EQ (third.kind, ADM_ACTION_GRANT);
  EXPECT_EQ (third.request->id, 2u);
}

// Short prompts that arrive later must not take all capacity that becomes
// free, or long prompts would be served far less often.
TEST_F (AdmitTest, ALongPromptIsNotStarved)
{
  add_request (1, "", 0, 1, 4000);
  ASSERT_EQ (next ().kind, ADM_ACTION_GRANT);
  add_request (2, "", 0, 1, 5000);
  add_request (3, "", 150, 1, 100);
  EXPECT_EQ (next (150).kind, ADM_ACTION_NONE);
}

TEST_F (AdmitTest, MoreUrgentRequestsComeFirst)
{
  add_request (1, "", 0, 2);
  add_request (2, "", 0, 0);
  EXPECT_EQ (next ().request->id, 2u);
}

TEST_F (AdmitTest, KeepsWithinSlotsAndMemory)
{
  table.options.kv_tokens = 1000;
  add_request (1, "", 0, 1, 600);
  add_request (2, "", 0, 1, 600);
  ASSERT_EQ (next ().kind, ADM_ACTION_GRANT);
  EXPECT_EQ (next ().kind, ADM_ACTION_NONE);
}

TEST_F (AdmitTest, DeclinesRequestsWithoutTimeLeft)
{
  add_request (1, "", 0, 1, 100, 500);
  table.options.slots = 0;
  EXPECT_EQ (next (100).kind, ADM_ACTION_NONE);
  adm_action_t action = next (450);
  ASSERT_EQ (action.kind, ADM_ACTION_DECLINE);
  EXPECT_STREQ (action.reason, "no_time_left");
}

TEST_F (AdmitTest, DeclinesAllWhenTheEngineIsNotReady)
{
  add_request (1, "");
  table.is_engine_ready = false;
  adm_action_t action = next ();
  ASSERT_EQ (action.kind, ADM_ACTION_DECLINE);
  EXPECT_STREQ (action.reason, "engine_closed");
}

TEST_F (AdmitTest, LoadWaitCountsLoadsAhead)
{
  adm_request_t *one = add_request (1, "m/a");
  add_request (2, "m/a");
  ASSERT_NE (one, nullptr);
  // Two requests wait for the first adapter, so a new one is loaded after it.
  EXPECT_EQ (adm_load_wait_ms (&table, adapter ("m/b"), 0), 500u);
  // A popular adapter would be loaded before it.
  for (int i = 0; i < 20; i++)
    adm_adapter_record_request (adapter ("m/c"), 0);
  EXPECT_EQ (adm_load_wait_ms (&table, adapter ("m/c"), 0), 250u);
}

// The weight store is overloaded. If the longest wait goes first, each load
// comes too late for its own requests, and all callers are late.
TEST_F (AdmitTest, LoadsTimelyAdaptersFirst)
{
  add_request (1, "m/late", 0);
  add_request (2, "m/timely", 700);
  adm_action_t action = next (700);
  ASSERT_EQ (action.kind, ADM_ACTION_LOAD);
  EXPECT_STREQ (action.adapter->name, "m/timely");
  // A load that no timely request needs is left to late ones.
  adm_record_load_started (&table, action.adapter, 700);
  report ({ { "m/timely", 1 } }, {}, 950);
  EXPECT_EQ (next (950).kind, ADM_ACTION_GRANT);
  action = next (950);
  ASSERT_EQ (action.kind, ADM_ACTION_LOAD);
  EXPECT_STREQ (action.adapter->name, "m/late");
}

TEST_F (AdmitTest, LateRequestsDoNotLengthenTheWaitOfNewOnes)
{
  for (uint64_t id = 1; id <= 4; id++)
    add_request (id, "m/" + std::to_string (id), 0);
  EXPECT_EQ (adm_new_adapter_load_wait_ms (&table, 0), 1250u);
  EXPECT_EQ (adm_new_adapter_load_wait_ms (&table, 2000), 250u);
}

// A restarted engine holds no adapters. If its sidecar expected warm reloads,
// in a tenth of the time of a fetch, it would let too many requests wait.
TEST_F (AdmitTest, ARestartClearsHeldAdapters)
{
  report ({ { "m/a", 1 } }, {}, 1);
  report ({}, {}, 2);
  EXPECT_EQ (adm_load_wait_ms (&table, adapter ("m/a"), 0), 0u);
  adm_handle_engine_restart (&table);
  EXPECT_GT (adm_load_wait_ms (&table, adapter ("m/a"), 0), 0u);
}

// Ten requests for one adapter arrive together. Each first event comes a fixed
// 40 ms after its prompt was read. If grants waited for the first event of the
// prompt before, the engine would idle in between and the last grant would
// come after 740 ms. Paced by the reading rate it comes after 571 ms.
TEST_F (AdmitTest, PromptsDoNotWaitForFirstEvents)
{
  constexpr double kReadTokensPerMs = 35; // Initial estimate of the table.
  constexpr double kReadingMs = 1400 / kReadTokensPerMs;
  constexpr uint64_t kFixedMs = 40;
  table.options.slots = 16;
  std::vector<std::pair<uint64_t, adm_request_t *>> first_events;
  double read_until_ms = 0;
  for (uint64_t id = 1; id <= 10; id++)
    add_request (id, "", 0, 1, 1400);
  uint64_t last_grant_ms = 0;
  for (uint64_t now_ms = 1; now_ms < 1500; now_ms++)
    {
      for (auto &[at_ms, begun] : first_events)
        if (at_ms == now_ms)
          adm_request_record_first_event (&table, begun, now_ms);
      adm_action_t action;
      while ((action = next (now_ms)).kind == ADM_ACTION_GRANT)
        {
          last_grant_ms = now_ms;
          read_until_ms
              = std::max (read_until_ms, (double)now_ms) + kReadingMs;
          first_events.emplace_back ((uint64_t)read_until_ms + kFixedMs,
                                     action.request);
        }
    }
  EXPECT_EQ (table.waiting, 0u);
  EXPECT_LT (last_grant_ms, 650u);
}

// Prompt reading delays the next token of the streams that run beside it.
// Prompts granted at once, and over any time, must stay below the reading
// rate, so that the engine's steps stay short.
TEST_F (AdmitTest, PromptsAreGrantedBelowTheReadingRate)
{
  table.options.slots = 1000;
  for (uint64_t id = 1; id <= 200; id++)
    add_request (id, "", 0, 1, 400);
  double dispatched_tokens = 0;
  for (uint64_t now_ms = 1; now_ms < 1000; now_ms++)
    {
      while (next (now_ms).kind == ADM_ACTION_GRANT)
        dispatched_tokens += 400;
      EXPECT_LE (dispatched_tokens, (50 + 0.7 * (double)now_ms) * 35)
          << now_ms;
    }
  EXPECT_GT (dispatched_tokens, 0.6 * 1000 * 35);
}

TEST_F (AdmitTest, ReleasesPlacesOfALostGateway)
{
  add_request (1, "");
  ASSERT_EQ (next ().kind, ADM_ACTION_GRANT);
  add_request (2, "");
  adm_owner_remove (&table, 7);
  EXPECT_EQ (table.granted, 0u);
  EXPECT_EQ (table.waiting, 0u);
  EXPECT_EQ (table.prefill.dispatched_tokens, 0);
  EXPECT_EQ (table.waiting_cost, 0);
}

// Guards against lateness that persists after a burst. In order of arrival,
// each request is served after its objective, and new ones wait behind them
// until they are late as well: for twenty seconds, though the engine was fast
// enough again.
TEST_F (AdmitTest, TimelyRequestsGoBeforeLateOnes)
{
  add_request (1, "", 0);
  add_request (2, "", 1000);
  adm_action_t action = next (1000);
  ASSERT_EQ (action.kind, ADM_ACTION_GRANT);
  EXPECT_EQ (action.request->id, 2u);
  action = next (1000);
  ASSERT_EQ (action.kind, ADM_ACTION_GRANT);
  EXPECT_EQ (action.request->id, 1u);
}

// A late request of the most urgent class must not delay timely requests of
// other classes: it gains little and would make these late.
TEST_F (AdmitTest, ALateUrgentRequestWaitsForTimelyOnes)
{
  add_request (1, "", 0, 0);
  add_request (2, "", 1000, 5);
  adm_action_t action = next (1000);
  ASSERT_EQ (action.kind, ADM_ACTION_GRANT);
  EXPECT_EQ (action.request->id, 2u);
}

/// Keep the engine busy with timely requests from 0 to `until_ms`: a new one
/// every 20 ms, with a prompt that takes 50 ms to read, granted as soon as it
/// fits.
#define KEEP_BUSY(until_ms)                                                   \
  for (uint64_t now = 0; now <= (until_ms); now += 20)                        \
    {                                                                         \
      add_request (1000 + now, "", now, 1, 1750);                             \
      for (adm_action_t a = next (now); a.kind != ADM_ACTION_NONE;            \
           a = next (now))                                                    \
        if (a.kind == ADM_ACTION_DECLINE)                                     \
          adm_request_remove (&table, a.request);                             \
    }

// Guards against late answers above capacity: while timely requests use all
// capacity, a late one would only wait until its caller leaves.
TEST_F (AdmitTest, LateRequestsAreDeclinedUnderSaturation)
{
  table.options.slots = 1000;
  table.options.kv_tokens = 0;
  KEEP_BUSY (1200);
  EXPECT_TRUE (adm_is_saturated (&table, 1200));
  adm_request_t *late = add_request (2, "", 1200, 1, 100);
  late->objective_ms = 1200;
  bool is_declined = false;
  for (adm_action_t a = next (1200); a.kind == ADM_ACTION_DECLINE;
       a = next (1200))
    {
      EXPECT_STREQ (a.reason, "late_under_load");
      is_declined = is_declined || a.request == late;
      adm_request_remove (&table, a.request);
    }
  EXPECT_TRUE (is_declined);
}

// The same request is served when the engine has spare capacity.
TEST_F (AdmitTest, LateRequestsUseSpareCapacity)
{
  adm_request_t *late = add_request (2, "", 1200, 1, 100);
  late->objective_ms = 1200;
  adm_action_t action = next (1200);
  ASSERT_EQ (action.kind, ADM_ACTION_GRANT);
  EXPECT_EQ (action.request->id, 2u);
}

// A more urgent class that exceeds the capacity must not starve other classes.
TEST_F (AdmitTest, ALessUrgentClassKeepsAShare)
{
  table.options.slots = 1000;
  table.options.kv_tokens = 0;
  int urgent = 0;
  int other = 0;
  for (uint64_t now = 0; now < 3000; now += 10)
    {
      // Twice the reading rate: each class alone would use all of it.
      add_request (10000 + now, "", now, 0, 350);
      add_request (20000 + now, "", now, 1, 350);
      for (adm_action_t a = next (now); a.kind != ADM_ACTION_NONE;
           a = next (now))
        if (a.kind == ADM_ACTION_DECLINE)
          adm_request_remove (&table, a.request);
        else
          (a.request->priority == 0 ? urgent : other)++;
    }
  EXPECT_GT (other, (urgent + other) / 8);
  EXPECT_LT (other, (urgent + other) / 3);
}

TEST_F (AdmitTest, ForecastsTheFirstEventFromWorkAhead)
{
  adm_request_t probe = {};
  probe.prompt_tokens = 350;
  probe.priority = 1;
  probe.objective_ms = 800;
  uint64_t alone_ms = adm_forecast (&table, &probe, 0).first_ms;
  // Its own reading at 35 tokens a millisecond, and the delay to the caller.
  EXPECT_NEAR ((double)alone_ms, 70, 5);
  for (uint64_t id = 1; id <= 10; id++)
    add_request (id, "", 0, 1, 350);
  // Ten more prompts, at 0.65 of that rate.
  EXPECT_NEAR ((double)adm_forecast (&table, &probe, 0).first_ms, 70 + 154, 8);
  // Less urgent requests are not ahead.
  probe.priority = 0;
  EXPECT_EQ (adm_forecast (&table, &probe, 0).first_ms, alone_ms);
}

TEST_F (AdmitTest, ForecastsTheWaitForAFullBatch)
{
  ASSERT_NO_FATAL_FAILURE (occupy_two_slots ());
  adm_request_t probe = {};
  probe.prompt_tokens = 10;
  probe.priority = 1;
  probe.objective_ms = 5000;
  // Two places, each held for a second: one is free after half of that.
  EXPECT_NEAR ((double)adm_forecast (&table, &probe, 100).first_ms, 560, 10);
}

// Waiting requests get the next free places. A forecast that ignores them lets
// a new request queue until it is late.
TEST_F (AdmitTest, ForecastCountsWaitingRequestsAhead)
{
  ASSERT_NO_FATAL_FAILURE (occupy_two_slots ());
  for (uint64_t id = 3; id <= 5; id++)
    add_request (id, "", 0, 1, 10);
  adm_request_t probe = {};
  probe.prompt_tokens = 10;
  probe.priority = 1;
  probe.objective_ms = 5000;
  // Two places, each held for a second: the fourth one is free after two
  // seconds.
  EXPECT_NEAR ((double)adm_forecast (&table, &probe, 100).place_ms, 2000, 1);
}

/// Apply a rate limit stated by the engine.
void
set_rate_limit (adm_table_t *table, double per_s, uint64_t now_ms)
{
  bkp_limit_t limit
      = { .is_limited = true, .per_s = per_s, .at_ms = now_ms + 1 };
  bkp_meter_merge (&table->meter, &limit, now_ms);
}

// Requests that already wait must not exceed a rate limit that is stated
// later.
TEST_F (AdmitTest, WaitingRequestsKeepToANewRateLimit)
{
  table.options.slots = 1;
  add_request (1, "", 0, 1, 10);
  ASSERT_EQ (next (0).kind, ADM_ACTION_GRANT);
  for (uint64_t id = 2; id <= 6; id++)
    add_request (id, "", 0, 1, 10);
  set_rate_limit (&table, 10, 100);
  table.options.slots = 100;
  int granted = 0;
  for (uint64_t now_ms = 100; now_ms < 400; now_ms++)
    granted += next (now_ms).kind == ADM_ACTION_GRANT;
  EXPECT_EQ (granted, 3);
}

TEST_F (AdmitTest, ForecastIncludesTheRateLimit)
{
  set_rate_limit (&table, 10, 0);
  for (uint64_t id = 1; id <= 5; id++)
    add_request (id, "", 0, 1, 10);
  adm_request_t probe = {};
  probe.prompt_tokens = 10;
  probe.priority = 1;
  probe.objective_ms = 5000;
  // One may start at once; five are ahead.
  EXPECT_NEAR ((double)adm_forecast (&table, &probe, 0).place_ms, 500, 2);
  // It is declined at once where it would be late.
  probe.objective_ms = 300;
  adm_forecast_t forecast = adm_forecast (&table, &probe, 0);
  EXPECT_STREQ (adm_refusal_reason (&table, &probe, &forecast, 0),
                "no_place_in_time");
}

// The engines that hold an adapter in demand have no free slot while others
// are nearly idle. Requests that queued for 0.7 s before they were declined
// were late; declined at once, they are in time elsewhere. After several
// engines without a free slot, a request waits.
TEST_F (AdmitTest, RedirectsWhenSlotsAreBusyForTooLong)
{
  ASSERT_NO_FATAL_FAILURE (occupy_two_slots ());
  adm_request_t probe = {};
  probe.prompt_tokens = 10;
  probe.priority = 1;
  probe.deadline_ms = 10000;
  probe.objective_ms = 800;
  adm_forecast_t forecast = adm_forecast (&table, &probe, 0);
  EXPECT_EQ (adm_refusal_reason (&table, &probe, &forecast, 0), nullptr)
      << "one place is free in half a second";
  add_request (3, "", 0, 1, 10);
  add_request (4, "", 0, 1, 10);
  forecast = adm_forecast (&table, &probe, 0);
  EXPECT_STREQ (adm_refusal_reason (&table, &probe, &forecast, 0),
                "no_place_in_time");
  probe.decline_count = 3;
  EXPECT_EQ (adm_refusal_reason (&table, &probe, &forecast, 0), nullptr);
  probe.decline_count = 0;
  probe.objective_ms = 0;
  EXPECT_EQ (adm_refusal_reason (&table, &probe, &forecast, 0), nullptr)
      << "it is late in any case";
}

// A model that fills its engine leaves no slots for adapters. A request for an
// adapter would wait until its caller gives up.
TEST_F (AdmitTest, DeclinesAdapterRequestsWithoutAdapterSlots)
{
  table.options.adapter_slots = 0;
  add_request (1, "m/a");
  adm_action_t action = next ();
  ASSERT_EQ (action.kind, ADM_ACTION_DECLINE);
  EXPECT_STREQ (action.reason, "no_adapter_room");
}

TEST_F (AdmitTest, ARepeatedIdIsIgnored)
{
  EXPECT_NE (add_request (1, ""), nullptr);
  EXPECT_EQ (add_request (1, ""), nullptr);
}

// Engines ended under a request and others that began at the same time. To
// identify the cause, a suspect begins alone: pending first events come first,
// and no other request is granted until a moment after its own first event.
TEST_F (AdmitTest, ASuspectBeginsAlone)
{
  add_request (1, "", 1000);
  adm_request_t *running = next (1000).request;
  ASSERT_NE (running, nullptr);
  adm_request_t *suspect = add_request (2, "", 1000, 0);
  suspect->alone.is_alone = true;
  add_request (3, "", 1000);
  EXPECT_EQ (next (1010).kind, ADM_ACTION_NONE) << "another one is beginning";
  adm_request_record_first_event (&table, running, 1020);
  EXPECT_EQ (next (1100).kind, ADM_ACTION_NONE) << "it has just begun";
  adm_action_t action = next (1170);
  ASSERT_EQ (action.kind, ADM_ACTION_GRANT);
  EXPECT_EQ (action.request, suspect);
  EXPECT_EQ (next (1300).kind, ADM_ACTION_NONE);
  adm_request_record_first_event (&table, suspect, 1300);
  EXPECT_EQ (next (1449).kind, ADM_ACTION_NONE);
  EXPECT_EQ (next (1450).kind, ADM_ACTION_GRANT);
}

TEST_F (AdmitTest, ASuspectAwaitsTheProofThatTheEngineIsAlive)
{
  add_request (1, "", 1000);
  adm_request_remove (&table, next (1000).request);
  EXPECT_FALSE (adm_awaits_proof (&table)) << "no suspect waits";
  add_request (2, "", 1000, 0)->alone.is_alone = true;
  EXPECT_EQ (next (1200).kind, ADM_ACTION_NONE);
  EXPECT_TRUE (adm_awaits_proof (&table));
  aln_confirm_alive (&table.alone, table.alone.broken_starts);
  EXPECT_FALSE (adm_awaits_proof (&table));
  EXPECT_EQ (next (1201).kind, ADM_ACTION_GRANT);
}

TEST_F (AdmitTest, AnEndedSuspectUnblocksOthers)
{
  adm_request_t *suspect = add_request (1, "", 1000);
  suspect->alone.is_alone = true;
  add_request (2, "", 1000);
  ASSERT_EQ (next (1000).request, suspect);
  EXPECT_EQ (next (1001).kind, ADM_ACTION_NONE);
  adm_request_remove (&table, suspect);
  EXPECT_EQ (next (1002).kind, ADM_ACTION_GRANT);
}

// A request that hangs before its first event blocks a suspect, and the
// suspect blocks all others. The suspect must be declined before the engine
// stalls.
TEST_F (AdmitTest, AWaitingSuspectBlocksOthersBriefly)
{
  add_request (1, "", 1000);
  ASSERT_EQ (next (1000).kind, ADM_ACTION_GRANT);
  add_request (2, "", 1000, 0)->alone.is_alone = true;
  add_request (3, "", 1000);
  EXPECT_EQ (next (1100).kind, ADM_ACTION_NONE);
  adm_action_t action = next (1601);
  ASSERT_EQ (action.kind, ADM_ACTION_DECLINE);
  EXPECT_STREQ (action.reason, "others_begin");
  adm_request_remove (&table, action.request);
  EXPECT_EQ (next (1602).kind, ADM_ACTION_GRANT);
}

// A caller that keeps sending slow requests that begin alone must not keep all
// others from the engine.
TEST_F (AdmitTest, SuspectsBlockOthersForPartOfTheTime)
{
  uint64_t blocked_ms = 0;
  uint64_t id = 1;
  adm_request_t *suspect = nullptr;
  uint64_t granted_ms = 0;
  for (uint64_t now_ms = 1000; now_ms < 61000; now_ms += 10)
    {
      add_request (id++, "", now_ms, 0)->alone.is_alone = true;
      adm_request_t *other = add_request (id++, "", now_ms);
      bool is_granted = false;
      adm_action_t action;
      while ((action = next (now_ms)).kind != ADM_ACTION_NONE)
        {
          is_granted = is_granted || action.request == other;
          if (action.kind == ADM_ACTION_GRANT
              && action.request->alone.is_alone)
            {
              suspect = action.request;
              granted_ms = now_ms;
              continue;
            }
          if (action.kind == ADM_ACTION_GRANT)
            adm_request_record_first_event (&table, action.request, now_ms);
          adm_request_remove (&table, action.request);
        }
      blocked_ms += is_granted ? 0 : 10;
      if (suspect != nullptr && now_ms - granted_ms > 1200)
        {
          adm_request_remove (&table, suspect);
          suspect = nullptr;
        }
    }
  EXPECT_LE (blocked_ms, 15000u);
}

TEST_F (AdmitTest, AHangingSuspectBlocksOthersBriefly)
{
  add_request (1, "", 1000)->alone.is_alone = true;
  ASSERT_EQ (next (1000).kind, ADM_ACTION_GRANT);
  add_request (2, "", 1000);
  EXPECT_EQ (next (1999).kind, ADM_ACTION_NONE);
  EXPECT_EQ (next (2000).kind, ADM_ACTION_GRANT);
}

} // namespace
