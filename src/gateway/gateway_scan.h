/// @file gateway_scan.h
/// Recognizes bytes in the body of an answer that belong to another answer.
#ifndef KB_GATEWAY_GATEWAY_SCAN_H
#define KB_GATEWAY_GATEWAY_SCAN_H

#include "gateway/gateway_defs.h"

/// @return  What identifies a request on its connection, not zero.
uint64_t gtw_scan_tag (const gtw_request_t *r);
/// Begin with the answer of a new attempt.
void gtw_scan_begin (gtw_request_t *r);
/// Search the next bytes of the answer's body, before they are relayed.
/// @return  Whether another answer begins in the body.
bool gtw_scan_body (gtw_request_t *r, kb_slice_t bytes);
/// @return  Whether bytes behind the body so far may show that its last ones
///          belong to another answer.
bool gtw_scan_may_continue (const gtw_request_t *r);
/// Search the end of the body.
/// @param surplus  Bytes that were read behind it.
/// @return         As gtw_scan_body; also whether a body without a length
///                 ends within what may be the head of another answer.
bool gtw_scan_end (gtw_request_t *r, kb_slice_t surplus);

#endif
