/// @file gateway_keep.c
/// Records at the platform of requests that targets ended under. Daemons tell
/// each other what they know (gateway_quarantine.c); the records serve when
/// all of them lose it at one moment, and gateways that share no sidecar.
#include <stdio.h>
#include <stdlib.h>

#include "gateway/gateway_defs.h"
#include "relay/fingerprint.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  /// After a write that failed, doubled up to the longest: the store may be
  /// away for minutes, and what is to be kept waits in memory.
  PAUSE_LEAST_MS = 500,
  PAUSE_MOST_MS = 8000,
  FORMAT = 1,
};

#define KEY_PREFIX "ends/"

/// The value of a record.
typedef struct
{
  uint64_t format;   ///< FORMAT.
  uint64_t ended_ms; ///< Unix time of the last end.
  qrt_word_t word;
} record_t;

static void keep_next (gtw_keeps_t *keeps);

static void
keep_again (void *arg)
{
  keep_next (arg);
}

void
gtw_keeps_init (gtw_gateway_t *gateway)
{
  gateway->keeps.gateway = gateway;
}

static void
keep_done (void *arg, bool is_kept)
{
  gtw_keeps_t *keeps = arg;
  uint64_t request = keeps->writing;
  keeps->writing = 0;
  if (is_kept)
    {
      keeps->pause_ms = 0;
      keep_next (keeps);
      return;
    }
  MET_INC ("knapweedbay_records_failed_total", "");
  keeps->pause_ms
      = keeps->pause_ms == 0 ? PAUSE_LEAST_MS : 2 * keeps->pause_ms;
  if (keeps->pause_ms > PAUSE_MOST_MS)
    keeps->pause_ms = PAUSE_MOST_MS;
  gtw_keep (keeps->gateway, request);
  tmr_start_once (&keeps->gateway->host.timers, &keeps->timer, keeps->pause_ms,
                  keep_again, keeps);
}

/// @return  False: nothing is known of the request any more.
static bool
make_record (const gtw_gateway_t *gateway, uint64_t request, record_t *out)
{
  kb_buf_t packed = { 0 };
  qrt_pack_one (&gateway->quarantine, request, gtw_now_ms (gateway), &packed);
  bool is_known = packed.len_bytes == sizeof out->word;
  if (is_known)
    {
      memcpy (&out->word, packed.ptr, sizeof out->word);
      out->format = FORMAT;
      out->ended_ms = tmr_wall_ms () - out->word.age_ms;
    }
  kb_buf_finish (&packed);
  return is_known;
}

/// Write what is due longest; one at a time.
static void
keep_next (gtw_keeps_t *keeps)
{
  gtw_gateway_t *gateway = keeps->gateway;
  record_t value;
  while (keeps->writing == 0 && keeps->due_count > 0)
    {
      uint64_t request = keeps->due[0];
      keeps->due_count--;
      memmove (&keeps->due[0], &keeps->due[1],
               keeps->due_count * sizeof keeps->due[0]);
      if (!make_record (gateway, request, &value))
        continue;
      char digits[FPR_TEXT_BYTES];
      fpr_text (request, digits);
      char key[sizeof KEY_PREFIX + FPR_TEXT_BYTES];
      snprintf (key, sizeof key, KEY_PREFIX "%s", digits);
      src_record_t record
          = { .key = kb_slice_str (key),
              .value = { (const char *)&value, sizeof value } };
      keeps->writing = request;
      MET_INC ("knapweedbay_records_written_total", "");
      gateway->source->vtable->keep (
          gateway->source, &record,
          qrt_lasts_ms (&gateway->quarantine, request, gtw_now_ms (gateway)),
          keep_done, keeps);
    }
}

void
gtw_keep (gtw_gateway_t *gateway, uint64_t request)
{
  gtw_keeps_t *keeps = &gateway->keeps;
  for (uint32_t i = 0; i < keeps->due_count; i++)
    if (keeps->due[i] == request)
      return;
  // With more than that at one time the oldest is left to the daemons alone.
  if (keeps->due_count == GTW_MAX_KEEPS)
    memmove (&keeps->due[0], &keeps->due[1],
             --keeps->due_count * sizeof keeps->due[0]);
  keeps->due[keeps->due_count++] = request;
  if (keeps->pause_ms == 0)
    keep_next (keeps);
}

void
gtw_keep_told (gtw_gateway_t *gateway, const src_record_t *given)
{
  kb_slice_t prefix = kb_slice_str (KEY_PREFIX);
  if (given->key.len_bytes < prefix.len_bytes
      || memcmp (given->key.ptr, prefix.ptr, prefix.len_bytes) != 0)
    return;
  record_t record = { 0 };
  bool is_good = given->value.len_bytes == sizeof record;
  if (is_good)
    memcpy (&record, given->value.ptr, sizeof record);
  uint64_t wall_ms = tmr_wall_ms ();
  record.word.age_ms
      = wall_ms > record.ended_ms ? wall_ms - record.ended_ms : 0;
  kb_slice_t word = { (const char *)&record.word, sizeof record.word };
  is_good
      = is_good && record.format == FORMAT
        && qrt_take (&gateway->quarantine, word, gtw_now_ms (gateway), NULL);
  if (is_good)
    return;
  MET_INC ("knapweedbay_entries_ignored_total", "reason=\"record\"");
  log_line_t line;
  if (!log_begin (&line, LOG_WARN, "store", "entry_ignored"))
    return;
  log_slice (&line, "key", given->key);
  log_text (&line, "reason", "not a record of requests that end targets");
  log_end (&line);
}
