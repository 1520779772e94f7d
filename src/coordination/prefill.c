#include "coordination/prefill.h"

enum
{
  /// A prompt of this many tokens takes twice the time of as many tokens in
  /// short prompts. From the sheets of both sites' engines.
  QUADRATIC_TOKENS = 22000,
  /// Prompts being read delay every running stream: an event waits for several
  /// steps, each with a piece of a prompt. What is given out at one time is at
  /// most this much prefill, and no more than the engine reads meanwhile is
  /// added; without a limit 5 % of the streams of a calm day paused for over
  /// 300 ms. What was given out is counted as read with time. Counted until
  /// its first event it kept the engine idle for the fixed 40 ms of each first
  /// event: mean worth of the heavy days 0.560 and 0.726 on the two small
  /// sites, 0.593 and 0.736 so.
  MAX_OUTSTANDING_MS = 45,
};

/// Reading rate before anything was measured, and bounds of a measured one,
/// in tokens a millisecond.
static const double DEFAULT_RATE = 35;
static const double MIN_RATE = 4;
static const double MAX_RATE = 400;
/// Weight of the newest sample: about the last fifty count.
static const double SAMPLE_WEIGHT = 0.02;
/// The regression before any sample: prompts of 1,000 tokens, spread as
/// widely.
static const double PRIOR_TOKENS = 1000;
static const double PRIOR_FIXED_MS = 50;

void
pfl_prefill_init (pfl_prefill_t *prefill)
{
  *prefill = (pfl_prefill_t){
    .regression = { .mean_tokens = PRIOR_TOKENS,
                    .mean_ms = PRIOR_TOKENS / DEFAULT_RATE + PRIOR_FIXED_MS,
                    .variance = PRIOR_TOKENS * PRIOR_TOKENS,
                    .covariance = PRIOR_TOKENS * PRIOR_TOKENS / DEFAULT_RATE },
    .tokens_per_ms = DEFAULT_RATE,
  };
  pce_pace_init (&prefill->pace);
}

double
pfl_cost_tokens (uint32_t prompt_tokens)
{
  double tokens = prompt_tokens;
  return tokens + tokens * tokens / QUADRATIC_TOKENS;
}

double
pfl_outstanding_tokens (const pfl_prefill_t *prefill, uint64_t now_ms)
{
  double read = pce_fraction (&prefill->pace) * prefill->tokens_per_ms
                * (double)(now_ms - prefill->dispatched_ms);
  return read < prefill->dispatched_tokens ? prefill->dispatched_tokens - read
                                           : 0;
}

bool
pfl_can_dispatch (const pfl_prefill_t *prefill, double cost, uint64_t now_ms)
{
  double outstanding = pfl_outstanding_tokens (prefill, now_ms);
  return outstanding <= 0
         || outstanding + cost <= MAX_OUTSTANDING_MS * prefill->tokens_per_ms;
}

double
pfl_dispatch (pfl_prefill_t *prefill, double cost, uint64_t now_ms)
{
  prefill->dispatched_tokens = pfl_outstanding_tokens (prefill, now_ms) + cost;
  prefill->dispatched_ms = now_ms;
  pce_record_prefill (&prefill->pace, cost / prefill->tokens_per_ms, now_ms);
  return prefill->dispatched_tokens;
}

void
pfl_cancel (pfl_prefill_t *prefill, double cost)
{
  double outstanding = prefill->dispatched_tokens - cost;
  prefill->dispatched_tokens = outstanding > 0 ? outstanding : 0;
}

void
pfl_record_first_event (pfl_prefill_t *prefill, double tokens, double took_ms)
{
  pfl_regression_t *line = &prefill->regression;
  double tokens_deviation = tokens - line->mean_tokens;
  double ms_deviation = took_ms - line->mean_ms;
  line->mean_tokens += SAMPLE_WEIGHT * tokens_deviation;
  line->mean_ms += SAMPLE_WEIGHT * ms_deviation;
  line->variance = (1 - SAMPLE_WEIGHT)
                   * (line->variance
                      + SAMPLE_WEIGHT * tokens_deviation * tokens_deviation);
  line->covariance
      = (1 - SAMPLE_WEIGHT)
        * (line->covariance + SAMPLE_WEIGHT * tokens_deviation * ms_deviation);
  double rate
      = line->covariance > 0 ? line->variance / line->covariance : MAX_RATE;
  if (rate < MIN_RATE)
    rate = MIN_RATE;
  if (rate > MAX_RATE)
    rate = MAX_RATE;
  prefill->tokens_per_ms = rate;
}
