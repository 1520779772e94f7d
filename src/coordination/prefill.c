#include "coordination/prefill.h"

enum
{
  /// A prompt of this many tokens takes twice the time of as many tokens in
  /// short prompts, according to the engines' data sheets.
  QUADRATIC_TOKENS = 22000,
  /// Prefill delays every running stream: an event waits for several steps,
  /// each with a chunk of a prompt. At most this much prefill is outstanding,
  /// and it is refilled as the engine processes it; without a limit streams
  /// pause for over 300 ms even at low load. Dispatched tokens count as
  /// processed with time rather than at the first event: that would leave the
  /// engine idle for the fixed 40 ms of each first event, a loss at high load.
  MAX_OUTSTANDING_MS = 45,
};

/// Prefill rate before the first sample, and bounds of the measured rate, in
/// tokens per millisecond.
static const double DEFAULT_RATE = 35;
static const double MIN_RATE = 4;
static const double MAX_RATE = 400;
/// Weight of the newest sample; about the last 50 samples count.
static const double SAMPLE_WEIGHT = 0.02;
/// Initial regression: mean and deviation of the tokens, and the intercept.
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
  double processed = pce_fraction (&prefill->pace) * prefill->tokens_per_ms
                     * (double)(now_ms - prefill->dispatched_ms);
  return processed < prefill->dispatched_tokens
             ? prefill->dispatched_tokens - processed
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
pfl_record_first_event (pfl_prefill_t *prefill, double tokens,
                        double duration_ms)
{
  pfl_regression_t *regression = &prefill->regression;
  double tokens_deviation = tokens - regression->mean_tokens;
  double ms_deviation = duration_ms - regression->mean_ms;
  regression->mean_tokens += SAMPLE_WEIGHT * tokens_deviation;
  regression->mean_ms += SAMPLE_WEIGHT * ms_deviation;
  regression->variance
      = (1 - SAMPLE_WEIGHT)
        * (regression->variance
           + SAMPLE_WEIGHT * tokens_deviation * tokens_deviation);
  regression->covariance
      = (1 - SAMPLE_WEIGHT)
        * (regression->covariance
           + SAMPLE_WEIGHT * tokens_deviation * ms_deviation);
  double rate = regression->covariance > 0
                    ? regression->variance / regression->covariance
                    : MAX_RATE;
  if (rate < MIN_RATE)
    rate = MIN_RATE;
  if (rate > MAX_RATE)
    rate = MAX_RATE;
  prefill->tokens_per_ms = rate;
}
