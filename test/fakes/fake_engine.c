/// @file fake_engine.c
/// Fake engine: OpenAI-style completions, LoRA load and unload, one timer per
/// sequence. Counts runs by prompt for the tests.
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "fake.h"

enum
{
  ENGINE_MAX_ADAPTERS = 64,
};

typedef struct
{
  char name[272];
  uint32_t in_use;
} adapter_t;

/// One running completion.
typedef struct run
{
  hts_request_t *http;
  adapter_t *adapter;
  char model[272];
  char prompt[512];
  uint32_t tokens;
  uint32_t sent;
  bool is_stream;
  bool has_begun; ///< The head of its answer was sent, if it is a stream.
  tmr_timer_t timer;
  struct run *next;
} run_t;

static struct
{
  int64_t load_ms;
  int64_t step_ms;
  int64_t slots;
  int64_t fail_loads;  ///< Number of next loads that fail.
  int64_t lose_loads;  ///< Number of next loads whose answers are lost.
  int64_t cut_after;   ///< Streams are cut after this many tokens; 0: never.
  bool is_hung;        ///< Accepts completions and never answers them.
  bool is_wrong_model; ///< Answers name another model.
  bool is_fence_checked;
  char end_on[64]; ///< Prompts with this text crash the engine; empty: none.
} faults
    = { .load_ms = 30, .step_ms = 2, .slots = 8, .is_fence_checked = true };

static adapter_t adapters[ENGINE_MAX_ADAPTERS];
static run_t *runs;
static struct json_object *run_counts;
static uint64_t incarnation;
static uint64_t fence;
static uint64_t loads;
static uint64_t evicted_in_use;
static uint64_t stale_orders;
static uint64_t over_slots;
static uint64_t ends; ///< Crashes caused by a prompt.

enum
{
  CRASH_DELAY_MS = 20,
};

static void run_crash_engine (void *arg);

static adapter_t *
adapter_find (const char *name)
{
  for (int i = 0; i < ENGINE_MAX_ADAPTERS; i++)
    if (adapters[i].name[0] != '\0' && strcmp (adapters[i].name, name) == 0)
      return &adapters[i];
  return NULL;
}

static uint32_t
adapter_count (void)
{
  uint32_t count = 0;
  for (int i = 0; i < ENGINE_MAX_ADAPTERS; i++)
    count += adapters[i].name[0] != '\0';
  return count;
}

static void
count_run (const char *prompt)
{
  if (run_counts == NULL)
    run_counts = json_object_new_object ();
  int64_t before = jsn_int (run_counts, prompt, 0);
  json_object_object_add (run_counts, prompt,
                          json_object_new_int64 (before + 1));
}

static void
run_free (run_t *run)
{
  run_t **at = &runs;
  while (*at != NULL && *at != run)
    at = &(*at)->next;
  if (*at == run)
    *at = run->next;
  if (run->adapter != NULL && run->adapter->in_use > 0)
    run->adapter->in_use--;
  tmr_cancel (&fk_timers, &run->timer);
  if (run->http != NULL)
    run->http->owner = NULL;
  free (run);
}

static void
append_text (const run_t *run, uint32_t from, uint32_t to, kb_buf_t *out)
{
  for (uint32_t i = from; i < to; i++)
    if (i == 0)
      kb_buf_printf (out, "%s|%s", run->model, run->prompt);
    else
      kb_buf_printf (out, " t%u", i);
}

static void
append_choice (const run_t *run, uint32_t from, uint32_t to, kb_buf_t *out)
{
  kb_buf_t text = { 0 };
  append_text (run, from, to, &text);
  kb_buf_printf (out,
                 "{\"id\":\"cmpl\",\"object\":\"text_completion\","
                 "\"model\":\"%s\",\"choices\":[{\"index\":0,\"text\":",
                 faults.is_wrong_model ? "other@1" : run->model);
  jsn_append_quoted (out, kb_buf_slice (&text));
  kb_buf_append_str (out, "}]}");
  kb_buf_finish (&text);
}

static void
run_finish (run_t *run)
{
  hts_request_t *http = run->http;
  kb_buf_t body = { 0 };
  if (run->is_stream)
    {
      hts_stream_write (http, kb_slice_str ("data: [DONE]\n\n"));
      hts_stream_end (http, true);
    }
  else
    {
      append_choice (run, 0, run->tokens, &body);
      fk_reply (http, 200, &body);
    }
  kb_buf_finish (&body);
  run->http = NULL;
  run_free (run);
}

static void
run_step (void *arg)
{
  run_t *run = arg;
  if (!run->is_stream)
    {
      run_finish (run);
      return;
    }
  kb_buf_t event = { 0 };
  kb_buf_append_str (&event, "data: ");
  append_choice (run, run->sent, run->sent + 1, &event);
  kb_buf_append_str (&event, "\n\n");
  hts_stream_write (run->http, kb_buf_slice (&event));
  kb_buf_finish (&event);
  run->sent++;
  if (faults.cut_after > 0 && run->sent >= (uint32_t)faults.cut_after)
    {
      hts_request_t *http = run->http;
      run->http = NULL;
      run_free (run);
      hts_stream_end (http, false);
      return;
    }
  if (run->sent == run->tokens)
    run_finish (run);
  else
    tmr_start_once (&fk_timers, &run->timer, (uint64_t)faults.step_ms,
                    run_step, run);
}

static void
on_completion (hts_request_t *http)
{
  if (fk_reject_if_paused (http))
    return;
  struct json_object *doc = fk_body (http);
  const char *model = jsn_str (doc, "model", "");
  adapter_t *adapter = adapter_find (model);
  if (adapter == NULL)
    {
      fk_reply_text (http, 404, "{\"error\":{\"message\":\"no model\"}}");
      json_object_put (doc);
      return;
    }
  run_t *run = kb_alloc (sizeof *run);
  run->http = http;
  run->adapter = adapter;
  adapter->in_use++;
  snprintf (run->model, sizeof run->model, "%s", model);
  snprintf (run->prompt, sizeof run->prompt, "%s",
            jsn_str (doc, "prompt", ""));
  run->tokens = (uint32_t)jsn_int (doc, "max_tokens", 8);
  run->is_stream = jsn_bool (doc, "stream", false);
  json_object_put (doc);
  count_run (run->prompt);
  run->next = runs;
  runs = run;
  http->owner = run;
  if (faults.is_hung)
    return;
  if (faults.end_on[0] != '\0' && strstr (run->prompt, faults.end_on) != NULL)
    {
      tmr_start_once (&fk_timers, &run->timer, CRASH_DELAY_MS,
                      run_crash_engine, run);
      return;
    }
  if (run->is_stream)
    hts_stream_begin (http, 200, "text/event-stream");
  run->has_begun = true;
  uint64_t delay
      = (uint64_t)faults.step_ms * (run->is_stream ? 1 : run->tokens);
  tmr_start_once (&fk_timers, &run->timer, delay, run_step, run);
}

/// @return  False if the order was refused with 412 for a stale number.
static bool
is_order_fresh (hts_request_t *http)
{
  char text[32];
  kb_slice_copy (hts_request_header (http, "x-fencing-number"), text,
                 sizeof text);
  uint64_t number = strtoull (text, NULL, 10);
  if (number >= fence)
    {
      fence = number;
      return true;
    }
  stale_orders++;
  if (!faults.is_fence_checked)
    return true;
  fk_reply_text (http, 412, "{\"error\":{\"message\":\"old number\"}}");
  return false;
}

/// A load in progress.
typedef struct
{
  hts_request_t *http;
  char name[272];
  tmr_timer_t timer;
} load_t;

static void
load_done (void *arg)
{
  load_t *load = arg;
  hts_request_t *http = load->http;
  bool is_lost = faults.lose_loads > 0;
  if (faults.fail_loads > 0)
    {
      faults.fail_loads--;
      if (http != NULL)
        fk_reply_text (http, 500, "{\"error\":{\"message\":\"load\"}}");
      free (load);
      return;
    }
  if (adapter_find (load->name) == NULL)
    {
      over_slots += adapter_count () >= (uint32_t)faults.slots;
      for (int i = 0; i < ENGINE_MAX_ADAPTERS; i++)
        if (adapters[i].name[0] == '\0')
          {
            snprintf (adapters[i].name, sizeof adapters[i].name, "%s",
                      load->name);
            adapters[i].in_use = 0;
            break;
          }
    }
  loads++;
  faults.lose_loads -= is_lost;
  if (http != NULL && is_lost)
    fk_reply_truncated (http);
  else if (http != NULL)
    fk_reply_text (http, 200, "{}");
  free (load);
}

static void
on_load (hts_request_t *http)
{
  if (!is_order_fresh (http))
    return;
  struct json_object *doc = fk_body (http);
  load_t *load = kb_alloc (sizeof *load);
  load->http = http;
  snprintf (load->name, sizeof load->name, "%s",
            jsn_str (doc, "lora_name", ""));
  json_object_put (doc);
  tmr_start_once (&fk_timers, &load->timer, (uint64_t)faults.load_ms,
                  load_done, load);
}

static void
on_unload (hts_request_t *http)
{
  if (!is_order_fresh (http))
    return;
  struct json_object *doc = fk_body (http);
  adapter_t *adapter = adapter_find (jsn_str (doc, "lora_name", ""));
  json_object_put (doc);
  if (adapter == NULL)
    {
      fk_reply_text (http, 404, "{}");
      return;
    }
  evicted_in_use += adapter->in_use > 0;
  *adapter = (adapter_t){ 0 };
  fk_reply_text (http, 200, "{}");
}

static void
on_models (hts_request_t *http)
{
  kb_buf_t body = { 0 };
  kb_buf_printf (&body,
                 "{\"object\":\"list\",\"incarnation\":\"%" PRIx64
                 "\",\"data\":[{\"id\":\"base\"}",
                 incarnation);
  for (int i = 0; i < ENGINE_MAX_ADAPTERS; i++)
    if (adapters[i].name[0] != '\0')
      kb_buf_printf (&body, ",{\"id\":\"%s\"}", adapters[i].name);
  kb_buf_append_str (&body, "]}");
  fk_reply (http, 200, &body);
  kb_buf_finish (&body);
}

static void
on_stats (hts_request_t *http)
{
  uint32_t running = 0;
  for (run_t *r = runs; r != NULL; r = r->next)
    running++;
  kb_buf_t body = { 0 };
  kb_buf_printf (&body,
                 "{\"loads\":%" PRIu64 ",\"evicted_in_use\":%" PRIu64
                 ",\"stale_orders\":%" PRIu64 ",\"over_slots\":%" PRIu64
                 ",\"ends\":%" PRIu64 ",\"turned_away\":%" PRIu64
                 ",\"running\":%u,\"runs\":%s}",
                 loads, evicted_in_use, stale_orders, over_slots, ends,
                 fk_rejected_count, running,
                 run_counts == NULL ? "{}"
                                    : json_object_to_json_string (run_counts));
  fk_reply (http, 200, &body);
  kb_buf_finish (&body);
}

static void
engine_request (hts_request_t *http)
{
  if (incarnation == 0)
    incarnation = tmr_now_us ();
  if (fk_path_is (http, "/v1/completions")
      || fk_path_is (http, "/v1/chat/completions"))
    on_completion (http);
  else if (fk_path_is (http, "/v1/load_lora_adapter"))
    on_load (http);
  else if (fk_path_is (http, "/v1/unload_lora_adapter"))
    on_unload (http);
  else if (fk_path_is (http, "/v1/models"))
    on_models (http);
  else if (fk_path_is (http, "/stats"))
    on_stats (http);
  else
    fk_reply_text (http, 404, "{}");
}

static void
engine_abort (hts_request_t *http)
{
  run_t *run = http->owner;
  if (run == NULL)
    return;
  run->http = NULL;
  run_free (run);
}

/// Cold restart: adapters are lost and running requests are cut.
static void
engine_restart (void)
{
  while (runs != NULL)
    {
      run_t *run = runs;
      hts_request_t *http = run->http;
      bool is_streaming = run->is_stream && run->has_begun;
      run->http = NULL;
      run_free (run);
      if (is_streaming)
        hts_stream_end (http, false);
      else
        fk_reply_truncated (http);
    }
  memset (adapters, 0, sizeof adapters);
  incarnation = tmr_now_us ();
}

/// Simulates a process that crashes when it begins this run, and restarts.
static void
run_crash_engine (void *arg)
{
  ends++;
  engine_restart ();
}

static void
engine_fault (struct json_object *f)
{
  faults.load_ms = jsn_int (f, "load_ms", faults.load_ms);
  faults.step_ms = jsn_int (f, "step_ms", faults.step_ms);
  faults.slots = jsn_int (f, "slots", faults.slots);
  faults.fail_loads = jsn_int (f, "fail_loads", faults.fail_loads);
  faults.lose_loads = jsn_int (f, "lose_loads", faults.lose_loads);
  faults.cut_after = jsn_int (f, "cut_after", faults.cut_after);
  faults.is_hung = jsn_bool (f, "hung", faults.is_hung);
  faults.is_wrong_model = jsn_bool (f, "wrong_model", faults.is_wrong_model);
  faults.is_fence_checked
      = jsn_bool (f, "checks_fence", faults.is_fence_checked);
  snprintf (faults.end_on, sizeof faults.end_on, "%s",
            jsn_str (f, "end_on", faults.end_on));
  if (jsn_bool (f, "restart", false))
    engine_restart ();
}

const fk_role_t fk_engine = { engine_request, engine_abort, engine_fault };
