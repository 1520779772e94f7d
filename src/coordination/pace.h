/// @file pace.h
/// Fraction of an engine's prefill rate at which prompts are dispatched. Each
/// step of an engine processes one token of every stream and chunks of
/// prompts: the faster the prefill, the longer the gaps between the events of
/// a stream. The fraction follows from the measured gaps and the gap that
/// callers accept. No I/O; time is an argument.
#ifndef KB_COORDINATION_PACE_H
#define KB_COORDINATION_PACE_H

#include <stdint.h>

typedef struct
{
  double max_gap_ms;       ///< Maximum accepted gap; zero: not known.
  double gaps;             ///< Weighted count of gaps between events.
  double gaps_ms;          ///< Weighted sum of their lengths without prefill.
  double prefill_fraction; ///< Recent share of the engine's time for it.
  uint64_t prefill_updated_ms; ///< When that was last updated.
} pce_pace_t;

void pce_pace_init (pce_pace_t *pace);
/// @param max_gap_ms  Maximum accepted gap; zero: no route sets one.
void pce_set_max_gap (pce_pace_t *pace, uint32_t max_gap_ms);
/// A prompt whose prefill takes `prefill_ms` was dispatched.
void pce_record_prefill (pce_pace_t *pace, double prefill_ms, uint64_t now_ms);
/// A stream ended.
/// @param gaps         Number of gaps between its events.
/// @param duration_ms  Time from its first event to its last.
void pce_record_stream (pce_pace_t *pace, uint32_t gaps, uint64_t duration_ms,
                        uint64_t now_ms);
/// @return  Fraction of the prefill rate at which to dispatch prompts, less
///          than one.
double pce_fraction (const pce_pace_t *pace);

#endif
