#include "coordination/pace.h"

#include <math.h>

enum
{
  /// Time over which reading is averaged: a few streams' lives.
  PREFILL_WINDOW_MS = 2000,
  /// Streams that end in the first second of a day say little; until as many
  /// gaps were seen the default holds.
  MIN_GAPS = 100,
};

/// What the newest gap weighs: about the last two thousand count, which an
/// engine under load makes in twenty seconds.
static const double GAP_WEIGHT = 0.0005;
/// Before anything was observed.
static const double DEFAULT_FRACTION = 0.65;
/// Below the first a slow engine reads less than its callers ask for, and the
/// queue costs more than the pauses: mean worth of six drawn sites with slow
/// engines 0.374 and 0.407 (9 days each) at a least of 0.4, 0.404 and 0.446 at
/// 0.6. Above the second one long prompt pauses every stream.
static const double MIN_FRACTION = 0.6;
static const double MAX_FRACTION = 0.9;
/// While prompts are given out at the full pace, the mean pause between events
/// is this fraction of the longest that callers accept: pauses spread that
/// much. The best fixed fraction of the rate was 0.79, 0.74 and 0.67 on three
/// sites whose engines make an event every 28, 26 and 35 ms and whose callers
/// accept 400, 300 and 300 ms, which a third gives. Beyond saturation a little
/// more is better. Mean worth of the heavy days with 0.65 of the rate
/// everywhere 0.669, 0.616, 0.764, with a third 0.694, 0.615, 0.764, with
/// three eighths 0.694, 0.617, 0.762.
static const double MEAN_GAP_FRACTION = 0.375;
/// An engine that seems to do nothing but read still makes its events.
static const double MAX_PREFILL_FRACTION = 0.9;

void
pce_pace_init (pce_pace_t *pace)
{
  *pace = (pce_pace_t){ 0 };
}

void
pce_set_max_gap (pce_pace_t *pace, uint32_t max_gap_ms)
{
  pace->max_gap_ms = max_gap_ms;
}

static double
prefill_fraction_at (const pce_pace_t *pace, uint64_t now_ms)
{
  double age_ms = (double)(now_ms - pace->prefill_updated_ms);
  return pace->prefill_fraction * exp (-age_ms / PREFILL_WINDOW_MS);
}

void
pce_record_prefill (pce_pace_t *pace, double reading_ms, uint64_t now_ms)
{
  pace->prefill_fraction
      = prefill_fraction_at (pace, now_ms) + reading_ms / PREFILL_WINDOW_MS;
  pace->prefill_updated_ms = now_ms;
}

void
pce_record_stream (pce_pace_t *pace, uint32_t gaps, uint64_t took_ms,
                   uint64_t now_ms)
{
  if (gaps == 0)
    return;
  double busy
      = fmin (prefill_fraction_at (pace, now_ms), MAX_PREFILL_FRACTION);
  double kept = pow (1 - GAP_WEIGHT, gaps);
  pace->gaps = pace->gaps * kept + gaps;
  pace->gaps_ms = pace->gaps_ms * kept + (double)took_ms * (1 - busy);
}

double
pce_fraction (const pce_pace_t *pace)
{
  if (pace->max_gap_ms <= 0 || pace->gaps < MIN_GAPS)
    return DEFAULT_FRACTION;
  // At a fraction p of the time spent on reading, events come 1 / (1 - p)
  // times as far apart as without any.
  double gap_ms = pace->gaps_ms / pace->gaps;
  double fraction = 1 - gap_ms / (MEAN_GAP_FRACTION * pace->max_gap_ms);
  return fmin (fmax (fraction, MIN_FRACTION), MAX_FRACTION);
}
