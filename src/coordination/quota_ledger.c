#include "coordination/quota_ledger.h"

#include <math.h>
#include <stddef.h>

void
qlg_init (qlg_ledger_t *ledger, uint64_t own, uint64_t window_ms,
          uint64_t now_ms)
{
  *ledger = (qlg_ledger_t){ .own = own, .window_ms = window_ms };
  ledger->entries[0] = (qlg_entry_t){ .lender = own, .reported_ms = now_ms };
  qwn_init (&ledger->entries[0].lent, window_ms, now_ms);
}

void
qlg_add_loan (qlg_ledger_t *ledger, double amount, uint64_t until_ms,
              uint64_t now_ms)
{
  qwn_add (&ledger->entries[0].lent, amount, until_ms, now_ms);
}

void
qlg_subtract (qlg_ledger_t *ledger, double amount, uint64_t now_ms)
{
  qwn_subtract (&ledger->entries[0].lent, amount, now_ms);
}

void
qlg_scale (qlg_ledger_t *ledger, double factor)
{
  for (int i = 0; i < QLG_MAX_LENDERS; i++)
    if (ledger->entries[i].lender != 0)
      qwn_scale (&ledger->entries[i].lent, factor);
}

double
qlg_sum (qlg_ledger_t *ledger, uint64_t now_ms)
{
  double sum = 0;
  for (int i = 0; i < QLG_MAX_LENDERS; i++)
    if (ledger->entries[i].lender != 0)
      sum += qwn_sum (&ledger->entries[i].lent, now_ms);
  return sum;
}

/// @return  The sum at a later time, if nothing more is lent.
static double
sum_at (qlg_ledger_t *ledger, uint64_t at_ms)
{
  double sum = 0;
  for (int i = 0; i < QLG_MAX_LENDERS; i++)
    if (ledger->entries[i].lender != 0)
      sum += qwn_sum_at (&ledger->entries[i].lent, at_ms);
  return sum;
}

uint64_t
qlg_time_to_ms (qlg_ledger_t *ledger, double sum, uint64_t now_ms)
{
  uint64_t step_ms = ledger->entries[0].lent.slot_ms;
  uint64_t max_ms = 2 * ledger->window_ms;
  uint64_t wait_ms = 0;
  while (wait_ms < max_ms && sum_at (ledger, now_ms + wait_ms) > sum)
    wait_ms += step_ms;
  return wait_ms;
}

/// @return  The entry of a lender; without one a free entry, or else the one
///          that was reported the longest ago.
static qlg_entry_t *
find_entry_or_oldest (qlg_ledger_t *ledger, uint64_t lender)
{
  qlg_entry_t *oldest = NULL;
  for (int i = 1; i < QLG_MAX_LENDERS; i++)
    {
      qlg_entry_t *entry = &ledger->entries[i];
      if (entry->lender == lender)
        return entry;
      if (oldest == NULL || entry->lender == 0
          || (oldest->lender != 0 && entry->reported_ms < oldest->reported_ms))
        oldest = entry;
    }
  return oldest;
}

static void
entry_set (qlg_entry_t *entry, const qlg_line_t *line, uint64_t window_ms,
           uint64_t reported_ms)
{
  quo_history_t history;
  for (int q = 0; q < QUO_QUARTERS; q++)
    history.quarters[q] = line->quarters[q];
  *entry = (qlg_entry_t){ .lender = line->lender,
                          .version = line->version,
                          .reported_ms = reported_ms };
  qwn_init (&entry->lent, window_ms, reported_ms);
  qwn_add_history (&entry->lent, &history, reported_ms);
}

/// @return  Whether the line was newer than what was known.
static bool
merge_line (qlg_ledger_t *ledger, const qlg_line_t *line, uint64_t now_ms)
{
  if (line->lender == ledger->own || line->age_ms >= ledger->window_ms
      || line->age_ms > now_ms)
    return false;
  uint64_t reported_ms = now_ms - line->age_ms;
  qlg_entry_t *entry = find_entry_or_oldest (ledger, line->lender);
  bool is_known = entry->lender == line->lender;
  bool is_newer = is_known ? line->version > entry->version
                           : reported_ms > entry->reported_ms;
  if (is_newer)
    entry_set (entry, line, ledger->window_ms, reported_ms);
  return is_newer;
}

static qlg_entry_t *
find_unknown (qlg_ledger_t *ledger)
{
  for (int i = 1; i < QLG_MAX_LENDERS; i++)
    if (ledger->entries[i].lender == QLG_UNKNOWN_LENDER)
      return &ledger->entries[i];
  return NULL;
}

/// @return  Recorded loans, without assumed ones, from before a time.
static double
sum_known_before (qlg_ledger_t *ledger, uint64_t before_ms, uint64_t now_ms)
{
  double sum = 0;
  for (int i = 0; i < QLG_MAX_LENDERS; i++)
    if (ledger->entries[i].lender > QLG_UNKNOWN_LENDER)
      sum += qwn_sum_before (&ledger->entries[i].lent, before_ms, now_ms);
  return sum;
}

void
qlg_assume_unknown (qlg_ledger_t *ledger, double rate_per_s, double excess,
                    uint64_t age_ms, uint64_t now_ms)
{
  uint64_t reported_ms = now_ms - age_ms;
  qlg_entry_t *entry = find_entry_or_oldest (ledger, QLG_UNKNOWN_LENDER);
  if (age_ms >= ledger->window_ms || entry->reported_ms >= reported_ms)
    return;
  double known = sum_known_before (ledger, reported_ms, now_ms);
  *entry = (qlg_entry_t){ .lender = QLG_UNKNOWN_LENDER,
                          .version = reported_ms,
                          .reported_ms = reported_ms };
  qwn_init (&entry->lent, ledger->window_ms, reported_ms);
  qwn_add_evenly (&entry->lent, rate_per_s, reported_ms);
  qwn_add (&entry->lent, excess, reported_ms, reported_ms);
  qwn_subtract (&entry->lent, known, now_ms);
}

void
qlg_forget_unknown (qlg_ledger_t *ledger, uint64_t before_ms)
{
  qlg_entry_t *unknown = find_unknown (ledger);
  if (unknown != NULL && unknown->reported_ms < before_ms)
    *unknown = (qlg_entry_t){ 0 };
}

double
qlg_unknown_sum (qlg_ledger_t *ledger, uint64_t now_ms)
{
  qlg_entry_t *unknown = find_unknown (ledger);
  return unknown == NULL ? 0 : qwn_sum (&unknown->lent, now_ms);
}

uint64_t
qlg_unknown_until_ms (qlg_ledger_t *ledger, uint64_t now_ms)
{
  qlg_entry_t *unknown = find_unknown (ledger);
  return unknown == NULL ? now_ms : unknown->reported_ms;
}

/// @return  Whether the entry holds loans that count.
static bool
make_line (qlg_entry_t *entry, uint64_t now_ms, qlg_line_t *line)
{
  if (entry->lender == 0 || qwn_sum (&entry->lent, now_ms) <= 0)
    return false;
  // The history as of the report; the receiver applies the age.
  quo_history_t history;
  qwn_history_at (&entry->lent, entry->reported_ms, &history);
  *line = (qlg_line_t){ .lender = entry->lender,
                        .version = entry->version,
                        .age_ms = now_ms - entry->reported_ms };
  for (int q = 0; q < QUO_QUARTERS; q++)
    line->quarters[q] = (float)history.quarters[q];
  return true;
}

void
qlg_pack (qlg_ledger_t *ledger, uint64_t now_ms, kb_buf_t *out)
{
  ledger->entries[0].reported_ms = now_ms;
  ledger->entries[0].version = now_ms;
  qlg_line_t line;
  for (int i = 0; i < QLG_MAX_LENDERS; i++)
    if (make_line (&ledger->entries[i], now_ms, &line))
      kb_buf_append (out, &line, sizeof line);
}

static bool
is_valid_line (const qlg_line_t *line)
{
  for (int q = 0; q < QUO_QUARTERS; q++)
    if (!isfinite (line->quarters[q]) || line->quarters[q] < 0)
      return false;
  return line->lender != 0;
}

static qlg_line_t
line_at (kb_slice_t lines, uint32_t at)
{
  qlg_line_t line;
  memcpy (&line, lines.ptr + at, sizeof line);
  return line;
}

bool
qlg_is_valid (kb_slice_t lines)
{
  if (lines.len_bytes % sizeof (qlg_line_t) != 0
      || lines.len_bytes > QLG_MAX_BYTES)
    return false;
  for (uint32_t at = 0; at < lines.len_bytes; at += sizeof (qlg_line_t))
    {
      qlg_line_t line = line_at (lines, at);
      if (!is_valid_line (&line))
        return false;
    }
  return true;
}

bool
qlg_has_unknown (kb_slice_t lines)
{
  for (uint32_t at = 0; at < lines.len_bytes; at += sizeof (qlg_line_t))
    if (line_at (lines, at).lender == QLG_UNKNOWN_LENDER)
      return true;
  return false;
}

static void
merge_lines (qlg_ledger_t *ledger, kb_slice_t lines, uint64_t age_ms,
             uint64_t known_until_ms, uint64_t now_ms)
{
  for (uint32_t at = 0; at < lines.len_bytes; at += sizeof (qlg_line_t))
    {
      qlg_line_t line = line_at (lines, at);
      line.age_ms = line.age_ms <= ledger->window_ms ? line.age_ms + age_ms
                                                     : ledger->window_ms;
      bool is_known_better = line.lender == QLG_UNKNOWN_LENDER
                             && known_until_ms + line.age_ms > now_ms;
      if (!is_known_better)
        (void)merge_line (ledger, &line, now_ms);
    }
}

void
qlg_merge (qlg_ledger_t *ledger, kb_slice_t lines, uint64_t age_ms,
           uint64_t known_until_ms, uint64_t now_ms)
{
  qlg_entry_t *unknown = find_unknown (ledger);
  if (unknown == NULL)
    {
      merge_lines (ledger, lines, age_ms, known_until_ms, now_ms);
      return;
    }
  uint64_t version = unknown->version;
  uint64_t before_ms = unknown->reported_ms;
  double known = sum_known_before (ledger, before_ms, now_ms);
  merge_lines (ledger, lines, age_ms, known_until_ms, now_ms);
  double learned = sum_known_before (ledger, before_ms, now_ms) - known;
  unknown = find_unknown (ledger);
  if (unknown != NULL && unknown->version == version && learned > 0)
    qwn_subtract (&unknown->lent, learned, now_ms);
}
