/// @file gateway_events.c
/// The order of the events of a stream: which are relayed, which its caller
/// has received, and which make an answer unsound.
#include "gateway/gateway_defs.h"
#include "transport/metrics.h"
#include "transport/sse.h"

/// @return  The steps that streams of the same software and model have shown.
///          Those that share an entry take it from each other.
static esq_steps_t *
steps_of (const gtw_request_t *r)
{
  kb_slice_t model = r->parsed_head.model;
  uint64_t software[2]
      = { gtw_service_key (r->service), r->target->software_key };
  uint64_t seed = kb_hash (software, sizeof software, 0);
  uint64_t key = kb_hash (model.ptr, model.len_bytes, seed) | 1;
  gtw_steps_t *entry = &r->gateway->event_steps[key / 2 % GTW_MAX_EVENT_STEPS];
  if (entry->key != key)
    *entry = (gtw_steps_t){ .key = key };
  return &entry->steps;
}

/// Count an irregular event, and log the first one of its kind in an answer.
static void
record_irregular (gtw_request_t *r, esq_verdict_t verdict, uint64_t event_id)
{
  static const char *const labels[ESQ_VERDICT_COUNT] = {
    [ESQ_NO_ID] = "kind=\"no_id\"",       [ESQ_JUMP] = "kind=\"jump\"",
    [ESQ_REPEATED] = "kind=\"repeated\"", [ESQ_BACK] = "kind=\"back\"",
    [ESQ_GAP] = "kind=\"gap\"",           [ESQ_UNPLACED] = "kind=\"unplaced\"",
    [ESQ_SHORT] = "kind=\"short\""
  };
  met_counter ("knapweedbay_irregular_events_total", labels[verdict])->value++;
  uint32_t mark = 1U << verdict;
  if ((r->logged_verdicts & mark) == 0)
    gtw_log_irregular_event (r, verdict, event_id);
  r->logged_verdicts |= mark;
}

void
gtw_events_begin (gtw_request_t *r)
{
  const rly_request_t *head = &r->parsed_head;
  bool is_behind
      = r->is_resumable && head->is_resume && head->resume_after_event_id > 0;
  if (r->send_count == 0 && is_behind)
    esq_stream_init_behind (&r->events, head->resume_after_event_id);
  else if (r->send_count == 0)
    esq_stream_init (&r->events);
  esq_answer_begin (&r->events);
  r->logged_verdicts = 0;
}

esq_verdict_t
gtw_events_judge (gtw_request_t *r, kb_slice_t event)
{
  uint64_t id = 0;
  sse_id_t kind = sse_event_id (event, &id);
  esq_verdict_t verdict = esq_event_judge (&r->events, steps_of (r),
                                           kind == SSE_ID_NUMBER ? &id : NULL);
  // Streams without any id are regular.
  bool is_regular
      = verdict == ESQ_NO_ID && kind == SSE_ID_NONE && !r->events.has_last_id;
  if (verdict != ESQ_NEW && !is_regular)
    record_irregular (r, verdict, id);
  return verdict;
}

esq_verdict_t
gtw_events_judge_end (gtw_request_t *r)
{
  esq_verdict_t verdict = esq_end_judge (&r->events);
  if (verdict != ESQ_NEW)
    record_irregular (r, verdict, r->events.answer_id);
  return verdict;
}
