/// @file quota_window.h
/// Use in a sliding window, counted in time slots. A slot counts until all of
/// it has left the window.
#ifndef KB_COORDINATION_QUOTA_WINDOW_H
#define KB_COORDINATION_QUOTA_WINDOW_H

#include "coordination/quota.h"

enum
{
  QWN_WINDOW_SLOTS = 64,
  /// Includes slots in the future, for credit that has not expired yet.
  QWN_SLOTS = 96,
};

typedef struct
{
  uint64_t slot_ms;
  uint64_t newest; ///< Number of the newest slot in use.
  double slots[QWN_SLOTS];
} qwn_window_t;

void qwn_init (qwn_window_t *window, uint64_t window_ms, uint64_t now_ms);
/// Adds use at a time in the past, the present or the near future. Use further
/// ahead than there are slots is counted in the last one.
void qwn_add (qwn_window_t *window, double amount, uint64_t at_ms,
              uint64_t now_ms);
/// Adds use at a constant rate over the whole window up to now.
void qwn_add_evenly (qwn_window_t *window, double rate_per_s, uint64_t now_ms);
/// Multiplies all use by a factor.
void qwn_scale (qwn_window_t *window, double factor);
/// Subtracts from the newest use first, down to zero.
void qwn_subtract (qwn_window_t *window, double amount, uint64_t now_ms);
/// @return  Use that counts now, including future use.
double qwn_sum (qwn_window_t *window, uint64_t now_ms);
/// @return  Use that counts at a time now or later, if nothing is added.
double qwn_sum_at (const qwn_window_t *window, uint64_t at_ms);
/// @return  Use that counts now and is older than `before_ms`.
double qwn_sum_before (qwn_window_t *window, uint64_t before_ms,
                       uint64_t now_ms);
/// Splits the use that counts at a time into quarters of the window. Use later
/// than that time goes into the newest quarter.
void qwn_history_at (const qwn_window_t *window, uint64_t at_ms,
                     quo_history_t *out);
/// Adds a history that ends now.
void qwn_add_history (qwn_window_t *window, const quo_history_t *history,
                      uint64_t now_ms);

#endif
