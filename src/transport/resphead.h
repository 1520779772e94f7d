/// @file resphead.h
/// Check of the head of a response against the grammar of HTTP/1, ahead of
/// http_parser, which accepts status codes of other than three digits and
/// blanks in the names of fields. Clients read such heads in different ways.
/// No I/O.
#ifndef KB_TRANSPORT_RESPHEAD_H
#define KB_TRANSPORT_RESPHEAD_H

#include "state/buf.h"

/// What the next byte belongs to.
typedef enum
{
  RSH_AT_START, ///< Empty lines may precede a head.
  RSH_IN_VERSION,
  RSH_BEFORE_CODE,
  RSH_IN_CODE,
  RSH_IN_REASON,
  RSH_AT_LINE,
  RSH_IN_NAME,
  RSH_IN_VALUE,
  RSH_COMPLETE,
  RSH_INVALID,
} rsh_state_t;

/// A check of one response, with the interim responses before it. Starts
/// zero-initialized.
typedef struct
{
  rsh_state_t state;
  uint32_t version_bytes; ///< Of the version so far.
  uint32_t digit_count;   ///< Of the status code so far.
  uint32_t http_status;   ///< Of these digits.
} rsh_check_t;

/// Check the next bytes of a response, in any pieces. Those behind its head
/// are ignored.
/// @return  False when the head is invalid.
bool rsh_check_feed (rsh_check_t *check, kb_slice_t bytes);

#endif
