/// @file quota_ledger.h
/// What each lender has lent of a quota in the window. A lender keeps the
/// ledger and sends it with each grant; gateways pass it on to the next
/// lender. Merging is commutative and idempotent: of several lines about one
/// lender the newest wins.
#ifndef KB_COORDINATION_QUOTA_LEDGER_H
#define KB_COORDINATION_QUOTA_LEDGER_H

#include "coordination/quota_window.h"
#include "state/buf.h"

enum
{
  /// The lender whose entry is the oldest makes room for another one.
  QLG_MAX_LENDERS = 5,
  /// Of all packed lines.
  QLG_MAX_BYTES = 200,
  /// In place of a lender's id: loans of which no record is left.
  QLG_UNKNOWN_LENDER = 1,
};

/// Loans of one lender, as packed in a message.
typedef struct
{
  uint64_t lender;
  uint64_t version; ///< Grows whenever the lender packs its ledger.
  uint64_t age_ms;  ///< Since the lender packed this version.
  float quarters[QUO_QUARTERS];
} qlg_line_t;

typedef struct
{
  uint64_t lender; ///< Differs after a restart; zero: the entry is free.
  uint64_t version;
  uint64_t reported_ms; ///< When the version was packed, by the local clock.
  qwn_window_t lent;
} qlg_entry_t;

typedef struct
{
  uint64_t own; ///< The lender that keeps this ledger.
  uint64_t window_ms;
  qlg_entry_t entries[QLG_MAX_LENDERS]; ///< The own one first.
} qlg_ledger_t;

void qlg_init (qlg_ledger_t *ledger, uint64_t own, uint64_t window_ms,
               uint64_t now_ms);
/// Adds an own loan.
/// @param until_ms  Expiry of the credit; the loan counts from now until a
///                  window after it.
void qlg_add_loan (qlg_ledger_t *ledger, double amount, uint64_t until_ms,
                   uint64_t now_ms);
/// Subtracts lent credit that was not spent.
void qlg_subtract (qlg_ledger_t *ledger, double amount, uint64_t now_ms);
/// Multiplies all loans by a factor.
void qlg_scale (qlg_ledger_t *ledger, double factor);
/// @return  What all lenders have lent in the window.
double qlg_sum (qlg_ledger_t *ledger, uint64_t now_ms);
/// @return  Time in ms until the sum has fallen to `sum`, if nothing more is
///          lent; two windows at most.
uint64_t qlg_time_to_ms (qlg_ledger_t *ledger, double sum, uint64_t now_ms);
/// Assumes loans of which no record is left: up to `age_ms` ago as much as the
/// rate brings in a window, and at that moment `excess` on top. Records that
/// arrive later for that time replace the assumption.
void qlg_assume_unknown (qlg_ledger_t *ledger, double rate_per_s,
                         double excess, uint64_t age_ms, uint64_t now_ms);
/// Drops the assumed loans if they end before a time.
void qlg_forget_unknown (qlg_ledger_t *ledger, uint64_t before_ms);
/// @return  Assumed loans that still count.
double qlg_unknown_sum (qlg_ledger_t *ledger, uint64_t now_ms);
/// @return  The time at which the assumed loans end; now, without any.
uint64_t qlg_unknown_until_ms (qlg_ledger_t *ledger, uint64_t now_ms);
/// Appends a line for each lender with loans that count.
void qlg_pack (qlg_ledger_t *ledger, uint64_t now_ms, kb_buf_t *out);
bool qlg_is_valid (kb_slice_t lines);
/// @return  Whether packed lines include assumed loans.
bool qlg_has_unknown (kb_slice_t lines);
/// Merges valid lines.
/// @param age_ms          Time since they were packed.
/// @param known_until_ms  All loans up to this time are known here; assumed
///                        loans from before it are ignored.
void qlg_merge (qlg_ledger_t *ledger, kb_slice_t lines, uint64_t age_ms,
                uint64_t known_until_ms, uint64_t now_ms);

#endif
