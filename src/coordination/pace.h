/// @file pace.h
/// Part of an engine's reading rate that prompts are given out at. Each step
/// of an engine carries one token of every stream and pieces of prompts: the
/// faster prompts are read, the longer streams pause between their events.
/// Learned from how far apart events come, for the pause that callers accept.
/// No I/O; time is an argument.
#ifndef KB_COORDINATION_PACE_H
#define KB_COORDINATION_PACE_H

#include <stdint.h>

typedef struct
{
  double max_gap_ms;       ///< Longest pause between events; zero: not known.
  double gaps;             ///< Between events, the newest weigh most.
  double gaps_ms;          ///< Their length, less what was spent on reading.
  double prefill_fraction; ///< Of the engine's recent time spent on reading.
  uint64_t prefill_updated_ms; ///< When that was last updated.
} pce_pace_t;

void pce_pace_init (pce_pace_t *pace);
/// @param max_gap_ms  Zero: no route says.
void pce_set_max_gap (pce_pace_t *pace, uint32_t max_gap_ms);
/// A prompt was given out that takes this long to read.
void pce_record_prefill (pce_pace_t *pace, double reading_ms, uint64_t now_ms);
/// A stream ended.
/// @param gaps     Between its events.
/// @param took_ms  From its first event to its last.
void pce_record_stream (pce_pace_t *pace, uint32_t gaps, uint64_t took_ms,
                        uint64_t now_ms);
/// @return  Part of the reading rate to give prompts out at, below one.
double pce_fraction (const pce_pace_t *pace);

#endif
