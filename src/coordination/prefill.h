/// @file prefill.h
/// How an engine reads prompts: the rate as measured, and the pace at which
/// prompts are given out. No I/O; time is an argument.
#ifndef KB_COORDINATION_PREFILL_H
#define KB_COORDINATION_PREFILL_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/pace.h"

/// Weighted regression of the time to a first event on the tokens read before
/// it. The slope is the prefill rate; the rest, which may be as long as the
/// prefill, is the same for every prompt.
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
  double tokens_per_ms;     ///< As measured.
  double dispatched_tokens; ///< Given out and outstanding to read at
                            ///< `dispatched_ms`.
  uint64_t dispatched_ms;
  pce_pace_t pace;
} pfl_prefill_t;

void pfl_prefill_init (pfl_prefill_t *prefill);
/// What prefill a prompt costs, in tokens of a short one: attention grows with
/// the square of the length.
double pfl_cost_tokens (uint32_t prompt_tokens);
/// @return  Tokens given out that the engine has not read yet.
double pfl_outstanding_tokens (const pfl_prefill_t *prefill, uint64_t now_ms);
/// @return  Whether a prompt can be given out now.
bool pfl_can_dispatch (const pfl_prefill_t *prefill, double cost,
                       uint64_t now_ms);
/// Give a prompt out.
/// @return  Tokens to be read until its first event, its own included.
double pfl_dispatch (pfl_prefill_t *prefill, double cost, uint64_t now_ms);
/// A run ended before its first event: its prompt is not read any further.
void pfl_cancel (pfl_prefill_t *prefill, double cost);
/// A first event came.
/// @param tokens   What was to be read when its prompt was given out.
/// @param took_ms  Since then.
void pfl_record_first_event (pfl_prefill_t *prefill, double tokens,
                             double took_ms);

#endif
