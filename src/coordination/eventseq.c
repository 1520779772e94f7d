#include "coordination/eventseq.h"

#include <stddef.h>

void
esq_stream_init (esq_stream_t *stream)
{
  *stream = (esq_stream_t){ 0 };
}

void
esq_stream_init_behind (esq_stream_t *stream, uint64_t last_id)
{
  *stream = (esq_stream_t){ .last_id = last_id, .has_last_id = true };
}

void
esq_answer_begin (esq_stream_t *stream)
{
  stream->is_continuation = stream->has_last_id;
  stream->is_begun_before = stream->has_relayed;
  stream->has_new = false;
  stream->has_repeated = false;
  stream->has_answer_id = false;
  stream->answer_id = 0;
}

static bool
steps_are_even (const esq_steps_t *steps)
{
  return steps->shown >= ESQ_MIN_EVEN_STEPS;
}

static void
steps_record (esq_steps_t *steps, uint64_t step)
{
  if (step != steps->step)
    *steps = (esq_steps_t){ .step = step };
  if (steps->shown < ESQ_MIN_EVEN_STEPS)
    steps->shown++;
}

static esq_verdict_t
judge_without_id (esq_stream_t *stream)
{
  bool may_be_received = stream->is_begun_before || stream->has_repeated;
  if (may_be_received && !stream->has_new)
    return ESQ_UNPLACED;
  stream->has_relayed = true;
  stream->is_last_without_id = true;
  return ESQ_NO_ID;
}

/// Judge a new event by its distance from the one before it.
static esq_verdict_t
judge_distance (const esq_stream_t *stream, esq_steps_t *steps, uint64_t id)
{
  if (!stream->has_last_id)
    return ESQ_NEW;
  bool is_even = steps_are_even (steps);
  uint64_t even_step = steps->step;
  uint64_t step = id - stream->last_id;
  bool is_shown
      = stream->has_answer_id && stream->answer_id >= stream->last_id;
  if (is_shown)
    steps_record (steps, step);
  if (!is_even || step <= even_step)
    return ESQ_NEW;
  // Within an answer nothing can be lost, so a longer step is the target's
  // numbering.
  return is_shown ? ESQ_JUMP : ESQ_GAP;
}

esq_verdict_t
esq_event_judge (esq_stream_t *stream, esq_steps_t *steps, const uint64_t *id)
{
  if (id == NULL)
    return judge_without_id (stream);
  if (stream->has_answer_id && *id <= stream->answer_id)
    return ESQ_BACK;
  esq_verdict_t verdict = ESQ_REPEATED;
  if (!stream->has_last_id || *id > stream->last_id)
    verdict = judge_distance (stream, steps, *id);
  if (verdict == ESQ_GAP)
    return verdict;
  stream->has_answer_id = true;
  stream->answer_id = *id;
  if (verdict == ESQ_REPEATED)
    {
      stream->has_repeated = true;
      return verdict;
    }
  stream->has_new = true;
  stream->has_relayed = true;
  stream->is_last_without_id = false;
  stream->has_last_id = true;
  stream->last_id = *id;
  return verdict;
}

esq_verdict_t
esq_end_judge (const esq_stream_t *stream)
{
  bool is_short = stream->is_continuation && stream->has_answer_id
                  && stream->answer_id < stream->last_id;
  return is_short ? ESQ_SHORT : ESQ_NEW;
}

bool
esq_stream_can_continue (const esq_stream_t *stream)
{
  return !stream->is_last_without_id;
}

bool
esq_verdict_is_new (esq_verdict_t verdict)
{
  return verdict == ESQ_NEW || verdict == ESQ_NO_ID || verdict == ESQ_JUMP;
}

bool
esq_verdict_is_unsound (esq_verdict_t verdict)
{
  return verdict >= ESQ_BACK;
}

const char *
esq_verdict_name (esq_verdict_t verdict)
{
  static const char *const names[ESQ_VERDICT_COUNT] = {
    [ESQ_NEW] = "new",           [ESQ_NO_ID] = "no_id", [ESQ_JUMP] = "jump",
    [ESQ_REPEATED] = "repeated", [ESQ_BACK] = "back",   [ESQ_GAP] = "gap",
    [ESQ_UNPLACED] = "unplaced", [ESQ_SHORT] = "short"
  };
  return names[verdict];
}
