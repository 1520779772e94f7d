#include "coordination/ending.h"

#include "state/status.h"

static const end_row_t rows[END_COUNT] = {
  [END_NOT_SENT] = { "not_sent", END_PROVES_NOTHING, false },
  [END_REFUSED] = { "target_refused", END_PROVES_NOTHING, false },
  [END_MISDIRECTED] = { "misdirected", END_PROVES_NOTHING, false },
  [END_ANSWERED] = { "answered", END_PROVES_SERVED, true },
  [END_CLOSED] = { "closed", END_SERVED_IF_ALIVE, true },
  [END_FAILED] = { "target_error", END_SUSPECT_UNLESS_ALIVE, true },
  [END_UNSOUND] = { "unsound_answer", END_SUSPECT_UNLESS_ALIVE, true },
  [END_MALFORMED] = { "malformed", END_SUSPECT_UNLESS_ALIVE, true },
  [END_OVERSIZED] = { "oversized", END_SUSPECT_UNLESS_ALIVE, true },
  [END_WRONG_ANSWER] = { "wrong_answer", END_SUSPECT_UNLESS_ALIVE, true },
  [END_SECOND] = { "second_answer", END_SUSPECT_UNLESS_ALIVE, true },
  [END_DISORDERED] = { "out_of_order", END_SUSPECT_UNLESS_ALIVE, true },
  [END_CUT] = { "cut_event", END_SUSPECT, true },
  [END_RESET] = { "reset", END_SUSPECT, true },
  [END_SILENT] = { "silent_target", END_SUSPECT, true },
  [END_EXPIRED] = { "timeout", END_SUSPECT, true },
  [END_CALLER_LEFT] = { "caller_left", END_SUSPECT, true },
  [END_REPLACED] = { "target_ended", END_SUSPECT, true },
};

const end_row_t *
end_row (end_kind_t kind)
{
  return &rows[kind];
}

const char *
end_proof_name (end_proof_t proof)
{
  static const char *const names[] = { "nothing", "served", "served_if_alive",
                                       "suspect_unless_alive", "suspect" };
  return names[proof];
}
