/// @file prefill.h
/// Prefill of an engine: its measured rate, and the limit on prompts that are
/// dispatched to it. No I/O; time is an argument.
#ifndef KB_COORDINATION_PREFILL_H
#define KB_COORDINATION_PREFILL_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/pace.h"

/// Weighted linear regression of the time to the first event on the tokens
/// processed before it. The slope gives the prefill rate; the intercept, which
/// may be as long as the prefill itself, is the same for every prompt.
typedef struct
{
  double mean_tokens;
  double mean_ms;
  double variance;
  double covariance;
} pfl_regression_t;

typedef struct
{
  pfl_regression_t regression;
  double tokens_per_ms;     ///< Measured prefill rate.
  double dispatched_tokens; ///< Outstanding at `dispatched_ms`.
  uint64_t dispatched_ms;
  pce_pace_t pace;
} pfl_prefill_t;

void pfl_prefill_init (pfl_prefill_t *prefill);
/// @return  Prefill cost of a prompt, in tokens of a short one: attention
///          grows with the square of the length.
double pfl_cost_tokens (uint32_t prompt_tokens);
/// @return  Dispatched tokens that the engine has not processed yet.
double pfl_outstanding_tokens (const pfl_prefill_t *prefill, uint64_t now_ms);
/// @return  Whether a prompt can be dispatched now.
bool pfl_can_dispatch (const pfl_prefill_t *prefill, double cost,
                       uint64_t now_ms);
/// Dispatch a prompt.
/// @return  Tokens to be processed until its first event, its own included.
double pfl_dispatch (pfl_prefill_t *prefill, double cost, uint64_t now_ms);
/// A run ended before its first event: its prompt is not processed further.
void pfl_cancel (pfl_prefill_t *prefill, double cost);
/// The first event of a run arrived.
/// @param tokens       Returned by pfl_dispatch for its prompt.
/// @param duration_ms  Time since the dispatch.
void pfl_record_first_event (pfl_prefill_t *prefill, double tokens,
                             double duration_ms);

#endif
