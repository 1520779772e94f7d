/// @file gateway_software_records.c
/// Records of software versions in the platform's store, for gateways that
/// start after all daemons have lost their memory (coordination/software.h).
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "gateway/gateway_origin.h"
#include "transport/log.h"
#include "transport/metrics.h"

enum
{
  RECORD_FORMAT = 1,
  KEY_BYTES = 64,
  /// All gateways see a new version within a second, and the store limits its
  /// writes. Before sidecars report the number of gateways, that of targets
  /// stands for it.
  SPREAD_MS = 100,
  SPREAD_PER_DAEMON_MS = 20,
};

#define KEY_PREFIX "software/"

/// Value of a record in the store.
typedef struct
{
  uint64_t format; ///< RECORD_FORMAT.
  uint64_t service;
  uint64_t software;
  uint64_t state; ///< sfw_record_state_t
  uint64_t is_of_witness;
  uint64_t era; ///< Of the store that it was written to.
} record_t;

static uint64_t
store_era (const gtw_gateway_t *gateway)
{
  return gateway->source->vtable->era (gateway->source);
}

static uint64_t
spread_ms (const gtw_gateway_t *gateway)
{
  uint32_t daemons = gateway->gateway_count > gateway->targets.len
                         ? gateway->gateway_count
                         : gateway->targets.len;
  return SPREAD_MS + (uint64_t)daemons * SPREAD_PER_DAEMON_MS;
}

static void
on_write_done (void *arg, src_record_result_t result)
{
  gtw_gateway_t *gateway = arg;
  gtw_software_writer_t *writer = &gateway->software_writer;
  writer->is_writing = false;
  if (result == SRC_RECORD_FAILED)
    MET_INC ("knapweedbay_records_failed_total", "");
  sfw_result_t outcome = result == SRC_RECORD_STORED     ? SFW_WRITTEN
                         : result == SRC_RECORD_CONFLICT ? SFW_CONFLICT
                                                         : SFW_FAILED;
  sfw_write_done (&gateway->software, &writer->write, outcome,
                  gtw_now_ms (gateway));
  gtw_records_resume (gateway);
}

void
gtw_software_write_records (gtw_gateway_t *gateway)
{
  gtw_software_writer_t *writer = &gateway->software_writer;
  if (!gateway->has_target_list || gtw_records_is_writing (gateway)
      || !sfw_next_write (&gateway->software, gtw_now_ms (gateway),
                          gtw_software_longest_stream_ms (gateway),
                          spread_ms (gateway), (uint32_t)rand (),
                          &writer->write))
    return;
  const sfw_record_t *write = &writer->write;
  writer->is_writing = true;
  record_t value = { .format = RECORD_FORMAT,
                     .service = write->service,
                     .software = write->software,
                     .state = write->state,
                     .is_of_witness = write->is_of_witness,
                     .era = store_era (gateway) };
  char key[KEY_BYTES];
  snprintf (key, sizeof key, KEY_PREFIX "%016" PRIx64 "-%016" PRIx64,
            write->service, write->software);
  src_record_t record = { .key = kb_slice_str (key),
                          .value = { (const char *)&value, sizeof value },
                          .revision = write->revision,
                          .is_conditional = true };
  MET_INC ("knapweedbay_records_written_total", "");
  gateway->source->vtable->store_record (
      gateway->source, &record, write->ttl_ms, on_write_done, gateway);
}

static bool
is_software_key (kb_slice_t key)
{
  kb_slice_t prefix = kb_slice_str (KEY_PREFIX);
  return key.len_bytes > prefix.len_bytes
         && memcmp (key.ptr, prefix.ptr, prefix.len_bytes) == 0;
}

void
gtw_software_receive_record (gtw_gateway_t *gateway,
                             const src_record_t *stored)
{
  if (!is_software_key (stored->key))
    return;
  record_t value = { 0 };
  if (stored->value.len_bytes == sizeof value)
    memcpy (&value, stored->value.ptr, sizeof value);
  bool is_good = value.format == RECORD_FORMAT && value.service != 0
                 && value.software != 0
                 && (value.state == SFW_RECORD_LISTED
                     || value.state == SFW_RECORD_LEFT);
  if (is_good)
    {
      sfw_record_t record = { .service = value.service,
                              .software = value.software,
                              .state = (sfw_record_state_t)value.state,
                              .is_of_witness = value.is_of_witness != 0,
                              .revision = stored->revision };
      sfw_record_read (&gateway->software, &record,
                       value.era == store_era (gateway), gtw_now_ms (gateway));
      return;
    }
  MET_INC ("knapweedbay_entries_ignored_total", "reason=\"record\"");
  log_line_t line;
  if (!log_begin (&line, LOG_WARN, "store", "entry_ignored"))
    return;
  log_slice (&line, "key", stored->key);
  log_text (&line, "reason", "not a valid record of a software version");
  log_end (&line);
}

void
gtw_software_remove_record (gtw_gateway_t *gateway, kb_slice_t key)
{
  char text[KEY_BYTES];
  kb_slice_copy (key, text, sizeof text);
  uint64_t service;
  uint64_t software;
  if (sscanf (text, KEY_PREFIX "%16" SCNx64 "-%16" SCNx64, &service, &software)
      == 2)
    sfw_record_removed (&gateway->software, service, software,
                        gtw_now_ms (gateway));
}
