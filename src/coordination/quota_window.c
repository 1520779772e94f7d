#include "coordination/quota_window.h"

enum
{
  MS_PER_S = 1000,
};

static uint64_t
slot_of (const qwn_window_t *window, uint64_t at_ms)
{
  return at_ms / window->slot_ms;
}

/// @return  Number of the oldest slot in the window at a time.
static uint64_t
oldest_counted_slot (const qwn_window_t *window, uint64_t now_ms)
{
  uint64_t now = slot_of (window, now_ms);
  return now > QWN_WINDOW_SLOTS ? now - QWN_WINDOW_SLOTS : 0;
}

void
qwn_init (qwn_window_t *window, uint64_t window_ms, uint64_t now_ms)
{
  uint64_t slot_ms = window_ms / QWN_WINDOW_SLOTS;
  *window = (qwn_window_t){ .slot_ms = slot_ms > 0 ? slot_ms : 1 };
  window->newest = slot_of (window, now_ms);
}

/// Makes a later slot the newest one, and clears it and those in between.
static void
advance (qwn_window_t *window, uint64_t slot)
{
  uint64_t steps = slot - window->newest;
  if (steps > QWN_SLOTS)
    steps = QWN_SLOTS;
  for (uint64_t i = 1; i <= steps; i++)
    window->slots[(window->newest + i) % QWN_SLOTS] = 0;
  window->newest = slot;
}

static void
advance_to_now (qwn_window_t *window, uint64_t now_ms)
{
  uint64_t now = slot_of (window, now_ms);
  if (now > window->newest)
    advance (window, now);
}

/// @return  Number of the oldest slot in memory.
static uint64_t
oldest_kept_slot (const qwn_window_t *window)
{
  return window->newest >= QWN_SLOTS ? window->newest - QWN_SLOTS + 1 : 0;
}

void
qwn_add (qwn_window_t *window, double amount, uint64_t at_ms, uint64_t now_ms)
{
  advance_to_now (window, now_ms);
  uint64_t slot = slot_of (window, at_ms);
  uint64_t latest
      = slot_of (window, now_ms) + QWN_SLOTS - QWN_WINDOW_SLOTS - 2;
  if (slot > latest)
    slot = latest;
  if (slot > window->newest)
    advance (window, slot);
  if (slot < oldest_kept_slot (window))
    return;
  window->slots[slot % QWN_SLOTS] += amount;
}

void
qwn_scale (qwn_window_t *window, double factor)
{
  for (int i = 0; i < QWN_SLOTS; i++)
    window->slots[i] *= factor;
}

void
qwn_add_evenly (qwn_window_t *window, double rate_per_s, uint64_t now_ms)
{
  double amount = rate_per_s * (double)window->slot_ms / MS_PER_S;
  for (uint64_t i = 0; i < QWN_WINDOW_SLOTS; i++)
    if (now_ms >= i * window->slot_ms)
      qwn_add (window, amount, now_ms - i * window->slot_ms, now_ms);
}

/// @return  Number of the oldest slot that is in the window and in memory.
static uint64_t
first_counted_slot (const qwn_window_t *window, uint64_t now_ms)
{
  uint64_t oldest = oldest_counted_slot (window, now_ms);
  uint64_t kept = oldest_kept_slot (window);
  return oldest > kept ? oldest : kept;
}

double
qwn_sum (qwn_window_t *window, uint64_t now_ms)
{
  advance_to_now (window, now_ms);
  return qwn_sum_at (window, now_ms);
}

void
qwn_subtract (qwn_window_t *window, double amount, uint64_t now_ms)
{
  advance_to_now (window, now_ms);
  uint64_t first = first_counted_slot (window, now_ms);
  for (uint64_t slot = window->newest; amount > 0; slot--)
    {
      double *used = &window->slots[slot % QWN_SLOTS];
      double part = *used < amount ? *used : amount;
      *used -= part;
      amount -= part;
      if (slot == first)
        return;
    }
}

double
qwn_sum_at (const qwn_window_t *window, uint64_t at_ms)
{
  double sum = 0;
  for (uint64_t slot = first_counted_slot (window, at_ms);
       slot <= window->newest; slot++)
    sum += window->slots[slot % QWN_SLOTS];
  return sum;
}

double
qwn_sum_before (qwn_window_t *window, uint64_t before_ms, uint64_t now_ms)
{
  advance_to_now (window, now_ms);
  uint64_t end = slot_of (window, before_ms);
  double sum = 0;
  for (uint64_t slot = first_counted_slot (window, now_ms);
       slot <= window->newest && slot < end; slot++)
    sum += window->slots[slot % QWN_SLOTS];
  return sum;
}

void
qwn_history_at (const qwn_window_t *window, uint64_t at_ms, quo_history_t *out)
{
  *out = (quo_history_t){ 0 };
  uint64_t at = slot_of (window, at_ms);
  for (uint64_t slot = first_counted_slot (window, at_ms);
       slot <= window->newest; slot++)
    {
      uint64_t age = slot < at ? at - slot : 0;
      uint64_t quarter = age * QUO_QUARTERS / QWN_WINDOW_SLOTS;
      if (quarter >= QUO_QUARTERS)
        quarter = QUO_QUARTERS - 1;
      out->quarters[quarter] += window->slots[slot % QWN_SLOTS];
    }
}

void
qwn_add_history (qwn_window_t *window, const quo_history_t *history,
                 uint64_t now_ms)
{
  uint64_t quarter_ms = window->slot_ms * QWN_WINDOW_SLOTS / QUO_QUARTERS;
  for (uint64_t i = 0; i < QUO_QUARTERS; i++)
    if (now_ms > i * quarter_ms)
      qwn_add (window, history->quarters[i], now_ms - i * quarter_ms, now_ms);
}
