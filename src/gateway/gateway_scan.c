/// @file gateway_scan.c
/// Recognizes bytes in the body of an answer that belong to another answer. A
/// target may answer twice, and only the id in a head tells its answers apart.
#include "gateway/gateway_scan.h"
#include "transport/metrics.h"

static uint64_t
id_tag (kb_slice_t id)
{
  return kb_hash (id.ptr, id.len_bytes, 0) | 1;
}

uint64_t
gtw_scan_tag (const gtw_request_t *r)
{
  return id_tag (r->parsed_head.attempt_id);
}

/// Refusals bear no id, and are searched for only where nothing but the end of
/// the connection ends the body.
static bool
is_field_of_connection (void *owner, kb_slice_t name, kb_slice_t value)
{
  const gtw_request_t *r = owner;
  const rly_dialect_t *dialect = r->gateway->dialect;
  if (r->is_close_delimited && h1_name_is (name, dialect->not_run_header))
    return true;
  return h1_name_is (name, dialect->attempt_header)
         && xch_has_carried (&r->exchange, id_tag (value));
}

static bool
count_if_found (bool is_found)
{
  if (is_found)
    MET_INC ("knapweedbay_second_answers_total", "");
  return is_found;
}

void
gtw_scan_begin (gtw_request_t *r)
{
  rsc_scan_finish (&r->scan);
  rsc_scan_init (&r->scan, &r->gateway->host.memory, is_field_of_connection,
                 r);
}

bool
gtw_scan_body (gtw_request_t *r, kb_slice_t bytes)
{
  return count_if_found (rsc_scan_feed (&r->scan, bytes));
}

bool
gtw_scan_may_continue (const gtw_request_t *r)
{
  return rsc_scan_may_continue (&r->scan);
}

bool
gtw_scan_end (gtw_request_t *r, kb_slice_t surplus)
{
  // Nothing but its end shows that a close-delimited body is whole.
  if (r->is_close_delimited)
    return count_if_found (rsc_scan_is_open (&r->scan));
  return count_if_found (rsc_scan_feed_surplus (&r->scan, surplus));
}
