/// @file gateway_records.c
/// Records, in the platform's store, of requests during which targets ended.
/// Daemons exchange this state with each other (gateway_quarantine.c); the
/// records cover the loss of all daemons at once, and gateways that share no
/// sidecar.
#include <stdio.h>
#include <stdlib.h>

#include "gateway/gateway_defs.h"
#include "relay/fingerprint.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  /// Exponential backoff after a failed write: the store may be unavailable
  /// for minutes, while the records wait in memory.
  MIN_RETRY_PAUSE_MS = 500,
  MAX_RETRY_PAUSE_MS = 8000,
  RECORD_FORMAT = 1,
};

#define KEY_PREFIX "ends/"

/// Value of a record in the store.
typedef struct
{
  uint64_t format;   ///< RECORD_FORMAT.
  uint64_t ended_ms; ///< Unix time of the last end of a target.
  qrt_record_t entry;
} record_t;

static void write_next (gtw_record_writer_t *writer);

static void
on_retry_timer (void *arg)
{
  write_next (arg);
}

void
gtw_records_init (gtw_gateway_t *gateway)
{
  gateway->record_writer.gateway = gateway;
}

/// @return  A number that grows with the content of a record.
static uint64_t
stamp_of (const qrt_record_t *record)
{
  return ((uint64_t)record->generation << 32) + record->end_count + 1;
}

static void
on_rewrite_timer (void *arg)
{
  gtw_record_writer_t *writer = arg;
  if (writer->retry_pause_ms == 0)
    write_next (writer);
}

static void
schedule_rewrite (gtw_record_writer_t *writer)
{
  uint64_t due_ms = rwr_due_ms (&writer->stored);
  uint64_t now_ms = gtw_now_ms (writer->gateway);
  if (due_ms != UINT64_MAX)
    tmr_start_once (&writer->gateway->host.timers, &writer->rewrite_timer,
                    due_ms > now_ms ? due_ms - now_ms : 0, on_rewrite_timer,
                    writer);
}

/// Pause after a failed write, and then write the record again.
static void
retry_later (gtw_record_writer_t *writer, uint64_t fingerprint)
{
  MET_INC ("knapweedbay_records_failed_total", "");
  writer->retry_pause_ms = writer->retry_pause_ms == 0
                               ? MIN_RETRY_PAUSE_MS
                               : 2 * writer->retry_pause_ms;
  if (writer->retry_pause_ms > MAX_RETRY_PAUSE_MS)
    writer->retry_pause_ms = MAX_RETRY_PAUSE_MS;
  if (writer->is_rewriting)
    rwr_retry (&writer->stored, fingerprint, gtw_now_ms (writer->gateway));
  else
    gtw_records_enqueue (writer->gateway, fingerprint);
  tmr_start_once (&writer->gateway->host.timers, &writer->timer,
                  writer->retry_pause_ms, on_retry_timer, writer);
}

static void
on_record_done (void *arg, src_record_result_t result)
{
  gtw_record_writer_t *writer = arg;
  uint64_t fingerprint = writer->writing_fingerprint;
  writer->writing_fingerprint = 0;
  if (result == SRC_RECORD_FAILED)
    {
      retry_later (writer, fingerprint);
      return;
    }
  if (result == SRC_RECORD_STORED)
    rwr_written (&writer->stored, fingerprint, writer->writing_stamp);
  else
    rwr_retry (&writer->stored, fingerprint, gtw_now_ms (writer->gateway));
  writer->retry_pause_ms = 0;
  write_next (writer);
}

/// @return  False: the quarantine has no entry of the request any more.
static bool
make_record (const gtw_gateway_t *gateway, uint64_t fingerprint, record_t *out)
{
  if (!qrt_read (&gateway->quarantine, fingerprint, gtw_now_ms (gateway),
                 &out->entry))
    return false;
  out->format = RECORD_FORMAT;
  out->ended_ms = tmr_wall_ms () - out->entry.age_ms;
  return true;
}

/// Take the next record to be written, the oldest queued one first.
/// @return  False: none is to be written now.
static bool
take_next (gtw_record_writer_t *writer, uint64_t *fingerprint,
           uint64_t *revision)
{
  writer->is_rewriting = writer->queue_count == 0;
  if (writer->is_rewriting)
    return rwr_pop_due (&writer->stored, gtw_now_ms (writer->gateway),
                        fingerprint, revision);
  *fingerprint = writer->queue[0];
  writer->queue_count--;
  memmove (&writer->queue[0], &writer->queue[1],
           writer->queue_count * sizeof writer->queue[0]);
  return true;
}

static void
write_record (gtw_record_writer_t *writer, uint64_t fingerprint,
              const record_t *value, uint64_t revision)
{
  gtw_gateway_t *gateway = writer->gateway;
  char digits[FPR_TEXT_BYTES];
  fpr_format (fingerprint, digits);
  char key[sizeof KEY_PREFIX + FPR_TEXT_BYTES];
  snprintf (key, sizeof key, KEY_PREFIX "%s", digits);
  src_record_t record = { .key = kb_slice_str (key),
                          .value = { (const char *)value, sizeof *value },
                          .revision = revision,
                          .is_conditional = writer->is_rewriting };
  writer->writing_fingerprint = fingerprint;
  writer->writing_stamp = stamp_of (&value->entry);
  MET_INC ("knapweedbay_records_written_total", "");
  gateway->source->vtable->store_record (
      gateway->source, &record,
      qrt_remaining_ms (&gateway->quarantine, fingerprint,
                        gtw_now_ms (gateway)),
      on_record_done, writer);
}

/// Write the next record; one at a time.
static void
write_next (gtw_record_writer_t *writer)
{
  record_t value;
  uint64_t fingerprint;
  uint64_t revision = 0;
  while (!gtw_records_is_writing (writer->gateway)
         && take_next (writer, &fingerprint, &revision))
    if (make_record (writer->gateway, fingerprint, &value))
      write_record (writer, fingerprint, &value, revision);
  // While a write is under way, of whatever record, its end continues here.
  if (!gtw_records_is_writing (writer->gateway))
    schedule_rewrite (writer);
}

bool
gtw_records_is_writing (const gtw_gateway_t *gateway)
{
  return gateway->record_writer.writing_fingerprint != 0
         || gateway->software_writer.is_writing;
}

void
gtw_records_resume (gtw_gateway_t *gateway)
{
  bool is_pausing = gateway->record_writer.timer.heap_position != 0;
  if (!is_pausing)
    write_next (&gateway->record_writer);
}

void
gtw_records_handle_restore (gtw_gateway_t *gateway)
{
  gtw_record_writer_t *writer = &gateway->record_writer;
  rwr_restored (&writer->stored, gtw_now_ms (gateway),
                (uint32_t)gateway->gateway_count, (uint32_t)rand ());
  schedule_rewrite (writer);
}

void
gtw_records_enqueue (gtw_gateway_t *gateway, uint64_t fingerprint)
{
  gtw_record_writer_t *writer = &gateway->record_writer;
  for (uint32_t i = 0; i < writer->queue_count; i++)
    if (writer->queue[i] == fingerprint)
      return;
  // When the queue is full, the oldest record is dropped; the daemons still
  // exchange its state.
  if (writer->queue_count == GTW_MAX_QUEUED_RECORDS)
    memmove (&writer->queue[0], &writer->queue[1],
             --writer->queue_count * sizeof writer->queue[0]);
  writer->queue[writer->queue_count++] = fingerprint;
  if (writer->retry_pause_ms == 0)
    write_next (writer);
}

void
gtw_records_receive (gtw_gateway_t *gateway, const src_record_t *stored)
{
  kb_slice_t prefix = kb_slice_str (KEY_PREFIX);
  if (stored->key.len_bytes < prefix.len_bytes
      || memcmp (stored->key.ptr, prefix.ptr, prefix.len_bytes) != 0)
    return;
  record_t record = { 0 };
  bool is_good = stored->value.len_bytes == sizeof record;
  if (is_good)
    memcpy (&record, stored->value.ptr, sizeof record);
  uint64_t wall_ms = tmr_wall_ms ();
  record.entry.age_ms
      = wall_ms > record.ended_ms ? wall_ms - record.ended_ms : 0;
  kb_slice_t entry = { (const char *)&record.entry, sizeof record.entry };
  is_good
      = is_good && record.format == RECORD_FORMAT
        && qrt_merge (&gateway->quarantine, entry, gtw_now_ms (gateway), NULL);
  if (is_good)
    {
      rwr_listed (&gateway->record_writer.stored, record.entry.request,
                  stored->revision, stamp_of (&record.entry));
      return;
    }
  MET_INC ("knapweedbay_entries_ignored_total", "reason=\"record\"");
  log_line_t line;
  if (!log_begin (&line, LOG_WARN, "store", "entry_ignored"))
    return;
  log_slice (&line, "key", stored->key);
  log_text (&line, "reason",
            "not a valid record of requests that end targets");
  log_end (&line);
}
