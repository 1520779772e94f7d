#include "coordination/reading.h"

enum
{
  /// A prompt of this many tokens takes twice the time of as many tokens in
  /// short prompts. From the sheets of both sites' engines.
  SQUARE_TOKENS = 22000,
  /// Prompts being read delay every running stream: an event waits for several
  /// steps, each with a piece of a prompt. What is given out at one time is at
  /// most this much reading, and no more than the engine reads meanwhile is
  /// added; without a limit 5 % of the streams of a calm day paused for over
  /// 300 ms. What was given out is counted as read with time. Counted until
  /// its first event it kept the engine idle for the fixed 40 ms of each first
  /// event: mean worth of the heavy days 0.560 and 0.726 on the two small
  /// sites, 0.593 and 0.736 so.
  LIMIT_MS = 45,
};

/// Reading rate before anything was measured, and bounds of a measured one,
/// in tokens a millisecond.
static const double RATE_DEFAULT = 35;
static const double RATE_LEAST = 4;
static const double RATE_MOST = 400;
/// Weight of the newest sample: about the last fifty count.
static const double RATE_WEIGHT = 0.02;
/// The regression before any sample: prompts of 1,000 tokens, spread as
/// widely.
static const double PRIOR_TOKENS = 1000;
static const double PRIOR_FIXED_MS = 50;

void
rdg_reading_init (rdg_reading_t *reading)
{
  *reading = (rdg_reading_t){
    .first_events
    = { .mean_tokens = PRIOR_TOKENS,
        .mean_ms = PRIOR_TOKENS / RATE_DEFAULT + PRIOR_FIXED_MS,
        .variance = PRIOR_TOKENS * PRIOR_TOKENS,
        .covariance = PRIOR_TOKENS * PRIOR_TOKENS / RATE_DEFAULT },
    .tokens_per_ms = RATE_DEFAULT,
  };
  pce_pace_init (&reading->pace);
}

double
rdg_cost (uint32_t prompt_tokens)
{
  double tokens = prompt_tokens;
  return tokens + tokens * tokens / SQUARE_TOKENS;
}

double
rdg_left (const rdg_reading_t *reading, uint64_t now_ms)
{
  double read = pce_part (&reading->pace) * reading->tokens_per_ms
                * (double)(now_ms - reading->given_ms);
  return read < reading->given_tokens ? reading->given_tokens - read : 0;
}

bool
rdg_fits (const rdg_reading_t *reading, double cost, uint64_t now_ms)
{
  double left = rdg_left (reading, now_ms);
  return left <= 0 || left + cost <= LIMIT_MS * reading->tokens_per_ms;
}

double
rdg_give (rdg_reading_t *reading, double cost, uint64_t now_ms)
{
  reading->given_tokens = rdg_left (reading, now_ms) + cost;
  reading->given_ms = now_ms;
  pce_note_reading (&reading->pace, cost / reading->tokens_per_ms, now_ms);
  return reading->given_tokens;
}

void
rdg_take_back (rdg_reading_t *reading, double cost)
{
  double left = reading->given_tokens - cost;
  reading->given_tokens = left > 0 ? left : 0;
}

void
rdg_learn (rdg_reading_t *reading, double tokens, double took_ms)
{
  rdg_line_t *line = &reading->first_events;
  double tokens_off = tokens - line->mean_tokens;
  double ms_off = took_ms - line->mean_ms;
  line->mean_tokens += RATE_WEIGHT * tokens_off;
  line->mean_ms += RATE_WEIGHT * ms_off;
  line->variance = (1 - RATE_WEIGHT)
                   * (line->variance + RATE_WEIGHT * tokens_off * tokens_off);
  line->covariance = (1 - RATE_WEIGHT)
                     * (line->covariance + RATE_WEIGHT * tokens_off * ms_off);
  double rate
      = line->covariance > 0 ? line->variance / line->covariance : RATE_MOST;
  if (rate < RATE_LEAST)
    rate = RATE_LEAST;
  if (rate > RATE_MOST)
    rate = RATE_MOST;
  reading->tokens_per_ms = rate;
}
