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
/// Below the first prompts would wait for an engine that has time; above the
/// second one long prompt pauses every stream.
static const double PART_LEAST = 0.4;
static const double PART_MOST = 0.9;
/// While prompts are given out at the full pace, the mean pause between events
/// is this part of the longest that callers accept: pauses spread that much.
/// The best fixed part was 0.79, 0.74 and 0.67 on three sites whose engines
/// make an event every 28, 26 and 35 ms and whose callers accept 400, 300 and
/// 300 ms; a third gives 0.79, 0.74 and 0.65. Mean worth of the five heavy
/// days with 0.65 everywhere 0.675, 0.616, 0.764, with these 0.698, 0.621,
/// 0.764.
static const double MEAN_PART = 1.0 / 3;
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
