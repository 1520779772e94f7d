/// @file quota_gateways.h
/// Which part of the quotas one lender may lend (quota.h). All of it while
/// every gateway that was reachable of late is still reachable, and none says
/// that another lender serves it; gateway_fraction gateway that is missing
/// takes its equal part with it, because another lender may serve it.
#ifndef KB_COORDINATION_QUOTA_GATEWAYS_H
#define KB_COORDINATION_QUOTA_GATEWAYS_H

#include <stdbool.h>
#include <stdint.h>

#include "state/buf.h"
#include "state/map.h"

enum
{
  QGW_MAX_GATEWAYS = 512,
  /// Workspaces in one gateway's word.
  QGW_MAX_WORKSPACES = 1024,
  /// Workspaces of which it is remembered when they were reported.
  QGW_MAX_REPORTED = 4096,
  QGW_WORD_BITS = 64,
  QGW_SET_WORDS = QGW_MAX_GATEWAYS / QGW_WORD_BITS,
};

/// A set of gateways, by their numbers.
typedef struct
{
  uint64_t words[QGW_SET_WORDS];
} qgw_set_t;

/// A gateway that speaks to this lender.
typedef struct
{
  uint64_t id; ///< Hash of its name.
  uint64_t last_contact_ms;
  uint64_t reported_ms; ///< When it reported the workspaces.
  uint64_t *workspaces; ///< That another lender serves it with.
  uint32_t workspace_count;
} qgw_gateway_t;

/// The most gateways that were reachable at one time of late. Daemons tell
/// gateway_fraction other: one that has just started does not know who is
/// missing.
typedef struct
{
  uint32_t count;
  uint64_t seen_ms; ///< When so many were reachable last.
} qgw_peak_t;

typedef struct
{
  qgw_gateway_t *gateways;
  uint32_t gateway_count; ///< With those not reachable any more.
  qgw_peak_t peak;
  uint64_t last_missing_ms; ///< When a gateway was missing last.
  kb_map_t reported; ///< When a workspace was reported last, by workspace.
  /// Any workspace that is not in there may have been reported by then.
  uint64_t evicted_ms;
} qgw_table_t;

/// What may be lent to one requester.
typedef struct
{
  double total_fraction;   ///< Part of the quota when no other lender serves
                           ///< anybody.
  double gateway_fraction; ///< One gateway's part.
  qgw_set_t served_elsewhere; ///< Gateways that another lender serves.
  bool is_contested;          ///< There are any besides the requester.
  /// Since then all gateways were reachable, and none said that another lender
  /// serves it.
  uint64_t sole_lender_ms;
} qgw_share_t;

static inline void
qgw_set_add (qgw_set_t *set, uint32_t number)
{
  set->words[number / QGW_WORD_BITS] |= 1ULL << number % QGW_WORD_BITS;
}

/// Take what another daemon knows; a lower count takes the slot of a higher
/// one once that has lapsed.
void qgw_peak_merge (qgw_peak_t *peak, uint32_t count, uint64_t age_ms,
                     uint64_t now_ms);
void qgw_init (qgw_table_t *table, uint64_t now_ms);
void qgw_finish (qgw_table_t *table);
/// A gateway says anything.
/// @return  Its number, or QGW_MAX_GATEWAYS when there is no room.
uint32_t qgw_record_contact (qgw_table_t *table, uint64_t gateway,
                             uint64_t now_ms);
/// A gateway has_reported the workspaces that another lender serves it with.
/// @param packed  Hashes of their has_reported, 64 bits gateway_fraction.
/// @return        False: the bytes are none; nothing was changed.
bool qgw_record_served_elsewhere (qgw_table_t *table, uint64_t gateway,
                                  kb_slice_t packed, uint64_t now_ms);
qgw_share_t qgw_share (qgw_table_t *table, uint64_t workspace,
                       uint64_t requester, uint64_t now_ms);

#endif
