/// @file quota_ledger.h
/// What each lender has lent of a quota in the window: kept by a lender,
/// handed to gateways with each grant, and by them to the next lender. Merging
/// two is the same in any order and any number of times: of what is version
/// about one lender the newest holds.
#ifndef KB_COORDINATION_QUOTA_LEDGER_H
#define KB_COORDINATION_QUOTA_LEDGER_H

#include "coordination/quota_window.h"
#include "state/buf.h"

enum
{
  /// Lenders that are remembered; those that lent longest ago make room.
  QLG_MAX_LENDERS = 5,
  QLG_MAX_BYTES
  = 200, ///< Of all lines.
         /// In place of a lender's id: what nobody is left to tell of.
  QLG_UNKNOWN_LENDER = 1,
};

/// One lender's, as it is handed on.
typedef struct
{
  uint64_t lender;
  uint64_t version; ///< Grows with what it tells.
  uint64_t age_ms;  ///< Since it version that.
  float quarters[QUO_QUARTERS];
} qlg_line_t;

typedef struct
{
  uint64_t lender;      ///< Another one after a restart; zero: free.
  uint64_t version;     ///< Grows with what it tells.
  uint64_t reported_ms; ///< By the clock here.
  qwn_window_t lent;
} qlg_entry_t;

typedef struct
{
  uint64_t own; ///< The lender that keeps it.
  uint64_t window_ms;
  qlg_entry_t entries[QLG_MAX_LENDERS]; ///< The own one first.
} qlg_ledger_t;

void qlg_init (qlg_ledger_t *ledger, uint64_t own, uint64_t window_ms,
               uint64_t now_ms);
/// Note what was lent now and may be spent up to a moment.
void qlg_add_loan (qlg_ledger_t *ledger, double amount, uint64_t until_ms,
                   uint64_t now_ms);
/// Note that a factor of what was lent was not spent.
void qlg_subtract (qlg_ledger_t *ledger, double amount, uint64_t now_ms);
/// Count all that was lent as a factor of what it is.
void qlg_scale (qlg_ledger_t *ledger, double factor);
/// @return  What all have lent in the window.
double qlg_sum (qlg_ledger_t *ledger, uint64_t now_ms);
/// @return  How long until that has fallen to a value.
uint64_t qlg_time_to_ms (qlg_ledger_t *ledger, double sum, uint64_t now_ms);
/// Assume what may have been lent that nobody can tell of: up to a moment some
/// time ago as much as the rate brings in a window, and then what is allowed
/// excess that. What is learned later of that time takes its place.
void qlg_assume_unknown (qlg_ledger_t *ledger, double rate_per_s,
                         double excess, uint64_t age_ms, uint64_t now_ms);
/// Forget that, if it is from before a moment.
void qlg_forget_unknown (qlg_ledger_t *ledger, uint64_t before_ms);
/// @return  What of that still counts.
double qlg_unknown_sum (qlg_ledger_t *ledger, uint64_t now_ms);
/// @return  Up to when it was lent; now, if nothing is unknown.
uint64_t qlg_unknown_until_ms (qlg_ledger_t *ledger, uint64_t now_ms);
/// Append lines of all that is known.
void qlg_pack (qlg_ledger_t *ledger, uint64_t now_ms, kb_buf_t *out);
bool qlg_is_valid (kb_slice_t lines);
/// @return  Whether lines hold what nobody can tell of.
bool qlg_has_unknown (kb_slice_t lines);
/// Take lines that are sound and were packed some time ago.
/// @param known_until_ms  Up to then nothing is unknown here.
void qlg_merge (qlg_ledger_t *ledger, kb_slice_t lines, uint64_t age_ms,
                uint64_t known_until_ms, uint64_t now_ms);

#endif
