/// @file quota_gateways.h
/// The gateways that are in contact with a lender, and from them the fraction
/// of the quotas that it may lend (quota.h): all of it while every gateway
/// that was reachable in the last minute is still reachable and none reports
/// that another lender serves it. Each missing gateway reduces the fraction by
/// its equal share, because another lender may serve it.
#ifndef KB_COORDINATION_QUOTA_GATEWAYS_H
#define KB_COORDINATION_QUOTA_GATEWAYS_H

#include <stdbool.h>
#include <stdint.h>

#include "state/buf.h"
#include "state/map.h"

enum
{
  QGW_MAX_GATEWAYS = 512,
  /// Workspaces in one gateway's report.
  QGW_MAX_WORKSPACES = 1024,
  /// Workspaces for which the time of the last report is kept.
  QGW_MAX_REPORTED = 4096,
  QGW_WORD_BITS = 64,
  QGW_SET_WORDS = QGW_MAX_GATEWAYS / QGW_WORD_BITS,
};

/// Bit set of gateway numbers.
typedef struct
{
  uint64_t words[QGW_SET_WORDS];
} qgw_set_t;

/// A gateway that has been in contact with this lender.
typedef struct
{
  uint64_t id; ///< Hash of its name.
  uint64_t last_contact_ms;
  uint64_t reported_ms; ///< When it reported `workspaces`.
  uint64_t *workspaces; ///< Those for which another lender serves it.
  uint32_t workspace_count;
} qgw_gateway_t;

/// The highest number of gateways that were reachable at the same time in the
/// last minute. Daemons exchange it, since one that has just started does not
/// know which gateways are missing.
typedef struct
{
  uint32_t count;
  uint64_t seen_ms; ///< When this many were last reachable.
} qgw_peak_t;

typedef struct
{
  qgw_gateway_t *gateways;
  uint32_t gateway_count; ///< Includes unreachable ones.
  qgw_peak_t peak;
  uint64_t last_missing_ms; ///< When a gateway was last missing.
  kb_map_t reported;        ///< Time of the last report, by workspace.
  /// A workspace without an entry in `reported` may have been reported up to
  /// this time.
  uint64_t evicted_ms;
} qgw_table_t;

/// What may be lent to one gateway.
typedef struct
{
  /// Of the quota, to all gateways together while no other lender serves any
  /// of them.
  double total_fraction;
  double gateway_fraction;    ///< Of the quota: one gateway's equal share.
  qgw_set_t served_elsewhere; ///< Gateways that another lender serves.
  bool is_contested; ///< Another lender serves a gateway other than this one.
  /// Time for which all gateways have been reachable and none has reported
  /// another lender of this workspace.
  uint64_t sole_lender_ms;
} qgw_share_t;

static inline void
qgw_set_add (qgw_set_t *set, uint32_t number)
{
  set->words[number / QGW_WORD_BITS] |= 1ULL << number % QGW_WORD_BITS;
}

/// Merges a peak that another daemon reports. A lower count replaces a higher
/// one only when the higher one has expired.
void qgw_peak_merge (qgw_peak_t *peak, uint32_t count, uint64_t age_ms,
                     uint64_t now_ms);
void qgw_init (qgw_table_t *table, uint64_t now_ms);
void qgw_finish (qgw_table_t *table);
/// Records that a message of a gateway arrived.
/// @return  The gateway's number, or QGW_MAX_GATEWAYS when the table is full.
uint32_t qgw_record_contact (qgw_table_t *table, uint64_t gateway_id,
                             uint64_t now_ms);
/// Records a gateway's report of the workspaces for which another lender
/// serves it.
/// @param packed  Hashes of the workspaces' names, 64 bits each.
/// @return        False when `packed` is malformed; nothing is changed then.
bool qgw_record_served_elsewhere (qgw_table_t *table, uint64_t gateway_id,
                                  kb_slice_t packed, uint64_t now_ms);
/// @param requester  Id of the gateway that requests credit.
qgw_share_t qgw_share (qgw_table_t *table, uint64_t workspace,
                       uint64_t requester, uint64_t now_ms);

#endif
