#include "coordination/pace.h"

#include <math.h>

enum
{
  /// Time over which reading is averaged: a few streams' lives.
  BUSY_WINDOW_MS = 2000,
  /// Streams that end in the first second of a day say little; until as many
  /// gaps were seen the default holds.
  LEAST_GAPS = 100,
};

/// What the newest gap weighs: about the last two thousand count, which an
/// engine under load makes in twenty seconds.
static const double GAP_WEIGHT = 0.0005;
/// Before anything was observed.
static const double PART_DEFAULT = 0.65;
/// Below the first a slow engine reads less than its callers ask for, and the
/// queue costs more than the pauses: mean worth of six drawn sites with slow
/// engines 0.374 and 0.407 (9 days each) at a least of 0.4, 0.404 and 0.446 at
/// 0.6. Above the second one long prompt pauses every stream.
static const double PART_LEAST = 0.6;
static const double PART_MOST = 0.9;
/// While prompts are given out at the full pace, the mean pause between events
/// is this part of the longest that callers accept: pauses spread that much.
/// The best fixed part of the rate was 0.79, 0.74 and 0.67 on three sites
/// whose engines make an event every 28, 26 and 35 ms and whose callers accept
/// 400, 300 and 300 ms, which a third gives. Beyond saturation a little more
/// is better. Mean worth of the heavy days with 0.65 of the rate everywhere
/// 0.669, 0.616, 0.764, with a third 0.694, 0.615, 0.764, with three eighths
/// 0.694, 0.617, 0.762.
static const double MEAN_PART = 0.375;
/// An engine that seems to do nothing but read still makes its events.
static const double BUSY_MOST = 0.9;

void
pce_pace_init (pce_pace_t *pace)
{
  *pace = (pce_pace_t){ 0 };
}

void
pce_accept (pce_pace_t *pace, uint32_t accepted_ms)
{
  pace->accepted_ms = accepted_ms;
}

static double
busy_part_at (const pce_pace_t *pace, uint64_t now_ms)
{
  double age_ms = (double)(now_ms - pace->busy_ms);
  return pace->busy_part * exp (-age_ms / BUSY_WINDOW_MS);
}

void
pce_note_reading (pce_pace_t *pace, double reading_ms, uint64_t now_ms)
{
  pace->busy_part = busy_part_at (pace, now_ms) + reading_ms / BUSY_WINDOW_MS;
  pace->busy_ms = now_ms;
}

void
pce_note_stream (pce_pace_t *pace, uint32_t gaps, uint64_t took_ms,
                 uint64_t now_ms)
{
  if (gaps == 0)
    return;
  double busy = fmin (busy_part_at (pace, now_ms), BUSY_MOST);
  double kept = pow (1 - GAP_WEIGHT, gaps);
  pace->gaps = pace->gaps * kept + gaps;
  pace->gaps_ms = pace->gaps_ms * kept + (double)took_ms * (1 - busy);
}

double
pce_part (const pce_pace_t *pace)
{
  if (pace->accepted_ms <= 0 || pace->gaps < LEAST_GAPS)
    return PART_DEFAULT;
  // At a part p of the time spent on reading, events come 1 / (1 - p) times
  // as far apart as without any.
  double gap_ms = pace->gaps_ms / pace->gaps;
  double part = 1 - gap_ms / (MEAN_PART * pace->accepted_ms);
  return fmin (fmax (part, PART_LEAST), PART_MOST);
}
