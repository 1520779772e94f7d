/// @file respown.h
/// Tells whether the head of another response within a body is of the server
/// that sent the body, by the fields of both heads, where no id does. No I/O.
#ifndef KB_TRANSPORT_RESPOWN_H
#define KB_TRANSPORT_RESPOWN_H

#include "transport/respscan.h"

enum
{
  RSO_MAX_FIELDS = 64, ///< Further ones are not compared.
};

/// A search over the body of one response.
typedef struct
{
  rsc_scan_t scan;
  uint64_t fields[RSO_MAX_FIELDS]; ///< Hashes of the accepted head's lines.
  uint32_t field_count;
  uint32_t repeated_count; ///< Of them, in the embedded head so far.
} rso_search_t;

void rso_search_init (rso_search_t *search);
void rso_search_finish (rso_search_t *search);
/// Add a field of the head of the response, before its body is searched.
/// Fields of the connection and of the framing are left out.
void rso_search_add_field (rso_search_t *search, kb_slice_t name,
                           kb_slice_t value);
/// @return  As rsc_scan_feed.
bool rso_search_feed (rso_search_t *search, kb_slice_t bytes);

#endif
