/// @file quota_window.h
/// What was used in a sliding window, kept by slots of time. A slot counts
/// until all of it has left the window.
#ifndef KB_COORDINATION_QUOTA_WINDOW_H
#define KB_COORDINATION_QUOTA_WINDOW_H

#include "coordination/quota.h"

enum
{
  QWN_WINDOW_SLOTS = 64,
  /// Beyond those of the window: credit that may still be spent.
  QWN_SLOTS = 96,
};

typedef struct
{
  uint64_t slot_ms;
  uint64_t newest; ///< Number of the newest slot that holds anything.
  double slots[QWN_SLOTS];
} qwn_window_t;

void qwn_init (qwn_window_t *window, uint64_t window_ms, uint64_t now_ms);
/// Count a use at a moment: now, before, or soon.
void qwn_add (qwn_window_t *window, double amount, uint64_t at_ms,
              uint64_t now_ms);
/// Count a steady use in all of the window up to now.
void qwn_add_evenly (qwn_window_t *window, double rate_per_s, uint64_t now_ms);
/// Count all of it as a part of what it is.
void qwn_scale (qwn_window_t *window, double factor);
/// Take back what was counted last, as far as it still counts.
void qwn_subtract (qwn_window_t *window, double amount, uint64_t now_ms);
/// @return  Use that counts now.
double qwn_sum (qwn_window_t *window, uint64_t now_ms);
/// @return  What of it would count at another moment, now or later.
double qwn_sum_at (const qwn_window_t *window, uint64_t at_ms);
/// @return  What of it is from before another moment.
double qwn_sum_before (qwn_window_t *window, uint64_t before_ms,
                       uint64_t now_ms);
/// What counted at a moment, by quarters of the window; what was to come then
/// is in the newest.
void qwn_history_at (const qwn_window_t *window, uint64_t at_ms,
                     quo_history_t *out);
/// Count a history as of now.
void qwn_add_history (qwn_window_t *window, const quo_history_t *history,
                      uint64_t now_ms);

#endif
