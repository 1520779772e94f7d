#include "coordination/pace.h"

#include <math.h>

enum
{
  /// Time constant for averaging the prefill: a few durations of a stream.
  PREFILL_WINDOW_MS = 2000,
  /// The default applies until this many gaps were measured: the first streams
  /// after a start are not representative.
  MIN_GAPS = 100,
};

/// Weight of the newest gap; about the last 2,000 gaps count, which take an
/// engine under load 20 s.
static const double GAP_WEIGHT = 0.0005;
/// Before enough gaps were measured.
static const double DEFAULT_FRACTION = 0.65;
/// Below the minimum the prefill of a slow engine does not keep up with
/// demand, and queueing costs more than long gaps. Above the maximum one long
/// prompt stalls every stream.
static const double MIN_FRACTION = 0.6;
static const double MAX_FRACTION = 0.9;
/// Target for the mean gap while prompts are dispatched at the full pace, as a
/// fraction of the maximum accepted gap, since gaps vary widely. A third gives
/// the best fixed fractions of the rate, 0.67 to 0.79, with engines that emit
/// an event every 26 to 35 ms and callers that accept 300 to 400 ms. Beyond
/// saturation slightly more is better.
static const double MEAN_GAP_FRACTION = 0.375;
/// Bound of the measured prefill share: streams progress even if the estimate
/// exceeds it.
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
pce_record_prefill (pce_pace_t *pace, double prefill_ms, uint64_t now_ms)
{
  pace->prefill_fraction
      = prefill_fraction_at (pace, now_ms) + prefill_ms / PREFILL_WINDOW_MS;
  pace->prefill_updated_ms = now_ms;
}

void
pce_record_stream (pce_pace_t *pace, uint32_t gaps, uint64_t duration_ms,
                   uint64_t now_ms)
{
  if (gaps == 0)
    return;
  double prefill_share
      = fmin (prefill_fraction_at (pace, now_ms), MAX_PREFILL_FRACTION);
  double retained = pow (1 - GAP_WEIGHT, gaps);
  pace->gaps = pace->gaps * retained + gaps;
  pace->gaps_ms
      = pace->gaps_ms * retained + (double)duration_ms * (1 - prefill_share);
}

double
pce_fraction (const pce_pace_t *pace)
{
  if (pace->max_gap_ms <= 0 || pace->gaps < MIN_GAPS)
    return DEFAULT_FRACTION;
  // With a share p of the time spent on prefill, gaps are 1 / (1 - p) times as
  // long as without any.
  double gap_ms = pace->gaps_ms / pace->gaps;
  double fraction = 1 - gap_ms / (MEAN_GAP_FRACTION * pace->max_gap_ms);
  return fmin (fmax (fraction, MIN_FRACTION), MAX_FRACTION);
}
