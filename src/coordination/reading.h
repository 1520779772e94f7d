/// @file reading.h
/// How an engine reads prompts: the rate as measured, and the pace at which
/// prompts are given out. No I/O; time is an argument.
#ifndef KB_COORDINATION_READING_H
#define KB_COORDINATION_READING_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/pace.h"

/// Weighted regression of the time to a first event on the tokens read before
/// it. The slope is the reading rate; the rest, which may be as long as the
/// reading, is the same for every prompt.
typedef struct
{
  double mean_tokens;
  double mean_ms;
  double variance;
  double covariance;
} rdg_line_t;

typedef struct
{
  rdg_line_t first_events;
  double tokens_per_ms; ///< As measured.
  double given_tokens;  ///< Given out and left to read at `given_ms`.
  uint64_t given_ms;
  pce_pace_t pace;
} rdg_reading_t;

void rdg_reading_init (rdg_reading_t *reading);
/// What reading a prompt costs, in tokens of a short one: attention grows with
/// the square of the length.
double rdg_cost (uint32_t prompt_tokens);
/// @return  Tokens given out that the engine has not read yet.
double rdg_left (const rdg_reading_t *reading, uint64_t now_ms);
/// @return  Whether a prompt can be given out now.
bool rdg_fits (const rdg_reading_t *reading, double cost, uint64_t now_ms);
/// Give a prompt out.
/// @return  Tokens to be read until its first event, its own included.
double rdg_give (rdg_reading_t *reading, double cost, uint64_t now_ms);
/// A run ended before its first event: its prompt is not read any further.
void rdg_take_back (rdg_reading_t *reading, double cost);
/// A first event came.
/// @param tokens   What was to be read when its prompt was given out.
/// @param took_ms  Since then.
void rdg_learn (rdg_reading_t *reading, double tokens, double took_ms);

#endif
