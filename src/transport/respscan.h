/// @file respscan.h
/// Search for the head of another response within the body of a response. A
/// server that answers twice on a connection makes its second response a part
/// of a body that has no length, or of one that broke off before its length.
/// No I/O.
#ifndef KB_TRANSPORT_RESPSCAN_H
#define KB_TRANSPORT_RESPSCAN_H

#include "state/buf.h"

/// Decides whether a field of an embedded head shows that it is not a part of
/// the body.
typedef bool (*rsc_is_own_t) (void *owner, kb_slice_t name, kb_slice_t value);

/// A search over the bytes of one body, in any pieces.
typedef struct
{
  rsc_is_own_t is_own;
  void *owner;
  kb_buf_t line;        ///< Bytes since the last line end.
  uint32_t head_bytes;  ///< Of the embedded head so far; zero: none is open.
  uint32_t field_count; ///< Of the embedded head so far.
  bool is_likely;       ///< The head begins as responses of targets do.
  bool is_odd;          ///< The head has a line that HTTP does not allow. It
                        ///< counts only by a field that is its own.
  bool is_line_cut;     ///< `line` lacks its beginning.
  bool is_found;
} rsc_scan_t;

/// @param account  Charged for buffered bytes; NULL: none is.
void rsc_scan_init (rsc_scan_t *scan, kb_account_t *account,
                    rsc_is_own_t is_own, void *owner);
void rsc_scan_finish (rsc_scan_t *scan);
/// Search the next bytes of the body.
/// @return  Whether another response begins in the body.
bool rsc_scan_feed (rsc_scan_t *scan, kb_slice_t bytes);
/// Search the bytes that were read behind the body, as far as they continue a
/// head that begins within it. One that begins behind the body is no part of
/// it.
/// @return  As rsc_scan_feed.
bool rsc_scan_feed_surplus (rsc_scan_t *scan, kb_slice_t bytes);
/// @return  Whether the body so far ends within what may be the head of
///          another response.
bool rsc_scan_is_open (const rsc_scan_t *scan);
/// @return  Whether bytes behind the body so far may continue a head that
///          begins within it. Fewer bytes of one are enough than for
///          rsc_scan_is_open.
bool rsc_scan_may_continue (const rsc_scan_t *scan);

#endif
