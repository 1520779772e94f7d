/// @file bench.c
/// kbbench: microbenchmarks of memory and time per adapter, target,
/// connection, claim, message, scheduling decision and configuration change.
/// Writes JSON for tools/capacity.
#include <argtable2.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <uv.h>

#include "coordination/claim_owner.h"
#include "coordination/claim_runner.h"
#include "coordination/gate.h"
#include "coordination/route.h"
#include "coordination/sched.h"
#include "protocol/cfgdoc.h"
#include "protocol/msg.h"
#include "protocol/openai.h"
#include "transport/link.h"
#include "transport/timer.h"

static FILE *json;
static bool has_row;

/// Print a figure and append it to the JSON file.
static void
write_row (const char *name, double value, const char *unit)
{
  printf ("%-44s %14.1f %s\n", name, value, unit);
  if (json != NULL)
    fprintf (json, "%s\n \"%s\": %.3f", has_row ? "," : "", name, value);
  has_row = true;
}

static size_t
heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();
  return info.uordblks + info.hblkhd;
}

static size_t
rss_bytes (void)
{
  size_t rss = 0;
  uv_resident_set_memory (&rss);
  return rss;
}

static void
bench_route (uint32_t targets, uint32_t adapters)
{
  size_t before = heap_bytes ();
  rt_table_t *table = kb_alloc (sizeof *table);
  size_t table_bytes = heap_bytes () - before;
  rt_options_t options;
  rt_options_default (&options);
  rt_table_init (table, &options);
  for (uint32_t i = 0; i < targets; i++)
    {
      uint16_t t
          = rt_target_add (table, kb_hash (&i, sizeof i, 1), 1, i % 5, 16);
      rt_target_set_state (table, t, RT_UP);
    }
  before = heap_bytes ();
  uint64_t start_us = tmr_now_us ();
  for (uint64_t a = 1; a <= adapters; a++)
    rt_choose (table, 1, a * 7919, NULL, 0, 1, a);
  double rank_ns = (double)(tmr_now_us () - start_us) * 1000 / adapters;
  double bytes = (double)(heap_bytes () - before) / adapters;
  enum
  {
    ROUNDS = 2000000
  };
  start_us = tmr_now_us ();
  uint64_t sum = 0;
  for (uint64_t i = 0; i < ROUNDS; i++)
    sum += rt_choose (table, 1, (i * 2654435761u % adapters + 1) * 7919, NULL,
                      0, 1 + i / 1000, i);
  double ns = (double)(tmr_now_us () - start_us) * 1000 / ROUNDS;
  char name[64];
  snprintf (name, sizeof name, "route_choose_ns_%ut_%ua", targets, adapters);
  write_row (name, ns, sum == 1 ? "ns." : "ns");
  snprintf (name, sizeof name, "route_rank_ns_%ut", targets);
  write_row (name, rank_ns, "ns");
  if (targets == 600)
    {
      write_row ("route_adapter_bytes", bytes, "B");
      write_row ("route_fixed_bytes", (double)table_bytes, "B");
    }
  rt_table_finish (table);
  free (table);
}

static void
bench_sched (uint32_t waiting)
{
  slt_table_t slots;
  slt_table_init (&slots, 8);
  sch_options_t options;
  sch_options_default (&options);
  options.max_batch = 16;
  sch_queue_t *queue = kb_alloc (sizeof *queue);
  sch_queue_init (queue, &slots, &options);
  sch_item_t *items = kb_alloc (waiting * sizeof *items);
  for (uint32_t i = 0; i < 8; i++)
    {
      sch_begin_load (queue, i + 1, 0);
      sch_end_load (queue, i + 1, true, 0);
    }
  for (uint32_t i = 0; i < waiting; i++)
    {
      items[i] = (sch_item_t){ .adapter = 1 + i % 40,
                               .workspace = i % 5,
                               .priority_class = (uint8_t)(i % 4),
                               .weight = 1,
                               .cost = 100,
                               .enqueued_us = i,
                               .deadline_us = UINT64_MAX };
      sch_add (queue, &items[i]);
    }
  enum
  {
    ROUNDS = 200000
  };
  uint64_t start_us = tmr_now_us ();
  for (uint32_t i = 0; i < ROUNDS; i++)
    {
      sch_action_t action = sch_next_action (queue, 1000 + i, false);
      if (action.kind != SCH_RUN)
        break;
      sch_begin_run (queue, action.item, i);
      sch_end_run (queue, action.item, i);
      sch_add (queue, action.item);
    }
  double ns = (double)(tmr_now_us () - start_us) * 1000 / ROUNDS;
  char name[64];
  snprintf (name, sizeof name, "sched_cycle_ns_%uw", waiting);
  write_row (name, ns, "ns");
  free (items);
  sch_queue_finish (queue);
  slt_table_finish (&slots);
  free (queue);
}

static void
bench_message (const char *name, const msg_t *msg)
{
  kb_buf_t out = { 0 };
  msg_encode (msg, &out);
  size_t size = out.len_bytes;
  enum
  {
    ROUNDS = 500000
  };
  uint64_t start_us = tmr_now_us ();
  for (int i = 0; i < ROUNDS; i++)
    {
      kb_buf_clear (&out);
      msg_encode (msg, &out);
    }
  double encode = (double)(tmr_now_us () - start_us) * 1000 / ROUNDS;
  msg_t decoded;
  start_us = tmr_now_us ();
  for (int i = 0; i < ROUNDS; i++)
    msg_decode (kb_buf_slice (&out), &decoded);
  double decode = (double)(tmr_now_us () - start_us) * 1000 / ROUNDS;
  char text[64];
  snprintf (text, sizeof text, "msg_%s_encode_ns", name);
  write_row (text, encode, "ns");
  snprintf (text, sizeof text, "msg_%s_decode_ns", name);
  write_row (text, decode, "ns");
  snprintf (text, sizeof text, "msg_%s_bytes", name);
  write_row (text, (double)size, "B");
  kb_buf_finish (&out);
}

static void
bench_messages (void)
{
  char body[400];
  memset (body, 'x', sizeof body);
  msg_t msg = { .type = MSG_DISPATCH };
  msg.dispatch = (msg_dispatch_t){ .attempt = 1ULL << 40,
                                   .deadline_ms = 60000,
                                   .revision = 1000,
                                   .workspace = kb_slice_str ("kavango"),
                                   .adapter = kb_slice_str ("adapter-1234"),
                                   .source = kb_slice_str ("ws://a/1"),
                                   .method = kb_slice_str ("POST"),
                                   .path = kb_slice_str ("/v1/completions"),
                                   .body = { body, sizeof body } };
  bench_message ("dispatch", &msg);
  msg = (msg_t){ .type = MSG_PART };
  msg.part = (msg_part_t){ .attempt = 1ULL << 40,
                           .seq = 12,
                           .data = { body, 120 } };
  bench_message ("part", &msg);
  msg = (msg_t){ .type = MSG_END };
  msg.end = (msg_end_t){ .attempt = 1ULL << 40,
                         .adapter = kb_slice_str ("adapter-1234@1") };
  bench_message ("end", &msg);
  msg = (msg_t){ .type = MSG_PING };
  msg.ping = (msg_ping_t){ .stamp_us = 1ULL << 40, .revision = 1000 };
  bench_message ("ping", &msg);
  msg = (msg_t){ .type = MSG_PONG };
  msg.pong = (msg_pong_t){ .stamp_us = 1ULL << 40, .revision = 1000 };
  bench_message ("pong", &msg);
  msg = (msg_t){ .type = MSG_CLAIM };
  msg.claim = (msg_claim_t){ .id = 1ULL << 40,
                             .claim_key = 1ULL << 60,
                             .digest = 1ULL << 60,
                             .attempt = 1ULL << 40,
                             .incarnation = 1ULL << 60,
                             .runner = 1ULL << 60 };
  bench_message ("claim", &msg);
}

static void
bench_event_check (void)
{
  const char event[]
      = "{\"id\":\"cmpl-123456\",\"object\":\"text_completion\",\"model\":"
        "\"adapter-1234@1\",\"choices\":[{\"index\":0,\"text\":\" word\"}]}";
  enum
  {
    ROUNDS = 200000
  };
  uint64_t start_us = tmr_now_us ();
  for (int i = 0; i < ROUNDS; i++)
    oai_answer_check (kb_slice_str (event), "adapter-1234@1");
  write_row ("event_check_ns",
             (double)(tmr_now_us () - start_us) * 1000 / ROUNDS, "ns");
}

static void
bench_claims (void)
{
  enum
  {
    KEYS = 100000
  };
  size_t before = heap_bytes ();
  clm_owner_t owner;
  clm_owner_init (&owner, KEYS * 2, 600000);
  for (uint32_t s = 0; s < CLM_SHARDS; s++)
    {
      clm_owner_begin_rebuild (&owner, s, 1);
      clm_owner_end_rebuild (&owner, s, true, 0);
    }
  uint64_t start_us = tmr_now_us ();
  for (uint64_t i = 1; i <= KEYS; i++)
    {
      clm_claim_t claim = { .key = i * 0x9E3779B97F4A7C15ULL | 1,
                            .digest = i,
                            .attempt = i,
                            .runner = 123 };
      clm_owner_claim (&owner, &claim, 1);
    }
  write_row ("claim_owner_ns",
             (double)(tmr_now_us () - start_us) * 1000 / KEYS, "ns");
  write_row ("claim_owner_bytes", (double)(heap_bytes () - before) / KEYS,
             "B");
  clm_owner_finish (&owner);
  before = heap_bytes ();
  clm_runner_t runner;
  clm_runner_init (&runner, KEYS * 2, 600000, 0);
  start_us = tmr_now_us ();
  for (uint64_t i = 1; i <= KEYS; i++)
    clm_runner_admit (&runner, i, i * 0x9E3779B97F4A7C15ULL | 1, i, 1, 1);
  write_row ("claim_runner_ns",
             (double)(tmr_now_us () - start_us) * 1000 / KEYS, "ns");
  write_row ("claim_runner_bytes", (double)(heap_bytes () - before) / KEYS,
             "B");
  uint64_t epochs[CLM_SHARDS];
  for (int i = 0; i < CLM_SHARDS; i++)
    epochs[i] = 2;
  kb_buf_t records = { 0 };
  start_us = tmr_now_us ();
  clm_runner_recover (&runner, epochs, 123, 1, &records);
  write_row ("claim_recover_ns",
             (double)(tmr_now_us () - start_us) * 1000 / KEYS, "ns");
  write_row ("claim_record_wire_bytes", (double)records.len_bytes / KEYS, "B");
  kb_buf_finish (&records);
  clm_runner_finish (&runner);
}

static void
bench_gate (uint32_t requests)
{
  gat_gate_t *gate = kb_alloc (sizeof *gate);
  gat_options_t options = { 1e9, 1, 1000000 };
  gat_gate_init (gate, &options, 0);
  for (uint32_t i = 0; i < requests; i++)
    gat_request_load (gate, i + 1, 1, (uint8_t)(i % 4), i, 1);
  enum
  {
    ROUNDS = 20000
  };
  uint64_t start_us = tmr_now_us ();
  for (uint64_t i = 0; i < ROUNDS; i++)
    {
      const gat_request_t *request = gat_grant_next (gate, 1000 + i);
      if (request == NULL)
        break;
      uint64_t agent = request->agent;
      gat_end_load (gate, agent, 1);
      gat_request_load (gate, agent, 1, 2, 1, 1000 + i);
    }
  char name[64];
  snprintf (name, sizeof name, "gate_cycle_ns_%uw", requests);
  write_row (name, (double)(tmr_now_us () - start_us) * 1000 / ROUNDS, "ns");
  write_row ("gate_fixed_bytes", sizeof *gate, "B");
  free (gate);
}

static void
bench_config (uint32_t adapters)
{
  kb_buf_t text = { 0 };
  kb_buf_append_str (&text, "{\"services\":{\"report\":{}},\"adapters\":{\n");
  for (uint32_t i = 0; i < adapters; i++)
    kb_buf_printf (&text,
                   " \"adapter-%u\": {\"service\": \"report\", \"current\": "
                   "1, \"versions\": {\"1\": \"ws://adapter-%u/1\", \"2\": "
                   "\"ws://adapter-%u/2\"}}%s\n",
                   i, i, i, i + 1 < adapters ? "," : "");
  kb_buf_append_str (&text, "}}\n");
  doc_folder_t folder = { 0 };
  doc_folder_put (&folder, "10-a.json", kb_buf_slice (&text));
  size_t before = heap_bytes ();
  cfg_config_t config;
  kb_error_t error;
  uint64_t start_us = tmr_now_us ();
  if (doc_build_config (&folder, 1, NULL, NULL, &config, &error) != KB_OK)
    abort ();
  char name[64];
  snprintf (name, sizeof name, "config_build_ms_%ua", adapters);
  write_row (name, (double)(tmr_now_us () - start_us) / 1000, "ms");
  snprintf (name, sizeof name, "config_adapter_bytes_%ua", adapters);
  write_row (name, (double)(heap_bytes () - before) / adapters, "B");
  doc_head_t head = { .revision = 1, .folder = folder };
  kb_buf_t out = { 0 };
  doc_head_write (&head, &out);
  snprintf (name, sizeof name, "config_head_bytes_%ua", adapters);
  write_row (name, (double)out.len_bytes, "B");
  snprintf (name, sizeof name, "config_text_bytes_%ua", adapters);
  write_row (name, (double)text.len_bytes, "B");
  // Change one adapter, and count the bytes of the chunks whose digests
  // differ.
  char *version = strstr (text.ptr, "ws://adapter-57/2");
  version[strlen ("ws://adapter-57/")] = '3';
  doc_folder_t next = { 0 };
  doc_folder_put (&next, "10-a.json", kb_buf_slice (&text));
  kb_slice_t rest = kb_buf_slice (&text);
  size_t changed_bytes = 0;
  for (uint32_t k = 0; k < next.files[0].chunk_count; k++)
    {
      size_t len = doc_chunk_len (rest);
      bool is_unchanged = false;
      for (uint32_t j = 0; j < folder.files[0].chunk_count; j++)
        is_unchanged |= doc_digest_equal (folder.files[0].chunks[j],
                                          next.files[0].chunks[k]);
      changed_bytes += is_unchanged ? 0 : len;
      rest.ptr += len;
      rest.len_bytes -= (uint32_t)len;
    }
  snprintf (name, sizeof name, "config_change_bytes_%ua", adapters);
  write_row (name, (double)changed_bytes, "B");
  kb_buf_finish (&out);
  kb_buf_finish (&text);
  cfg_config_finish (&config);
  doc_folder_finish (&folder);
  doc_folder_finish (&next);
  malloc_trim (0);
}

static void
on_message (lnk_link_t *link, kb_slice_t peer, const msg_t *msg)
{
  ++*(uint64_t *)link->owner;
}

static const lnk_events_t bench_link_events = { on_message, NULL };

/// Run the loop until `count` reaches the target or 20 s have passed.
static void
run_loop_until (uv_loop_t *loop, const uint64_t *count, uint64_t target_count)
{
  uint64_t end = tmr_now_ms () + 20000;
  while (*count < target_count && tmr_now_ms () < end)
    {
      uv_run (loop, UV_RUN_NOWAIT);
      usleep (200);
    }
}

/// Measure the memory of a ROUTER socket with many CURVE connections, as in an
/// entry. The accepting ends run in this process too, so they are bound first
/// and measured apart from the connections.
static void
bench_connections (uint32_t count)
{
  static uv_loop_t loop;
  uv_loop_init (&loop);
  char public_key[41];
  char secret_key[41];
  extern int zmq_curve_keypair (char *, char *);
  zmq_curve_keypair (public_key, secret_key);
  uint64_t received = 0;
  static lnk_link_t peers[400];
  static char names[400][16];
  static char addresses[400][64];
  lnk_options_t options = { .public_key = public_key,
                            .secret_key = secret_key,
                            .allowed_keys = { public_key, "" } };
  size_t initial_bytes = rss_bytes ();
  for (uint32_t i = 0; i < count; i++)
    {
      snprintf (names[i], sizeof names[i], "p%u", i);
      options.name = names[i];
      uint16_t port = 0;
      lnk_link_init (&peers[i], &loop, &bench_link_events, &received, &options,
                     NULL);
      lnk_link_bind (&peers[i], "127.0.0.1", &port, NULL);
      snprintf (addresses[i], sizeof addresses[i], "tcp://127.0.0.1:%u", port);
    }
  size_t bound_bytes = rss_bytes ();
  lnk_link_t entry;
  options.name = "entry";
  lnk_link_init (&entry, &loop, &bench_link_events, &received, &options, NULL);
  for (uint32_t i = 0; i < count; i++)
    lnk_link_connect (&entry, addresses[i], public_key);
  msg_t msg = { .type = MSG_PING };
  for (uint32_t i = 0; i < count; i++)
    {
      uint64_t before = received;
      uint64_t end = tmr_now_ms () + 5000;
      while (lnk_link_send (&entry, kb_slice_str (names[i]), &msg) != KB_OK
             && tmr_now_ms () < end)
        {
          uv_run (&loop, UV_RUN_NOWAIT);
          usleep (500);
        }
      run_loop_until (&loop, &received, before + 1);
    }
  size_t connected_bytes = rss_bytes ();
  char name[64];
  snprintf (name, sizeof name, "connection_both_ends_bytes_%u", count);
  write_row (name, (double)(connected_bytes - bound_bytes) / count, "B");
  snprintf (name, sizeof name, "link_bound_bytes_%u", count);
  write_row (name, (double)(bound_bytes - initial_bytes) / count, "B");
  write_row ("connections_answered", (double)received, "");
}

int
main (int argc, char **argv)
{
  struct arg_file *out
      = arg_file0 (NULL, "json", "FILE", "write the figures to a JSON file");
  struct arg_end *end = arg_end (4);
  void *table[] = { out, end };
  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "kbbench");
      return 2;
    }
  json = out->count > 0 ? fopen (out->filename[0], "w") : NULL;
  if (json != NULL)
    fprintf (json, "{");
  bench_route (6, 130);
  bench_route (60, 1300);
  bench_route (600, 13000);
  bench_sched (20);
  bench_sched (200);
  bench_sched (2000);
  bench_messages ();
  bench_event_check ();
  bench_claims ();
  bench_gate (20);
  bench_gate (600);
  bench_config (130);
  bench_config (1300);
  bench_config (13000);
  bench_connections (20);
  bench_connections (100);
  if (json != NULL)
    {
      fprintf (json, "\n}\n");
      fclose (json);
    }
  arg_freetable (table, 2);
  return 0;
}
