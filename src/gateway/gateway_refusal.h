/// @file gateway_refusal.h
/// Decides whether a refusal without an id belongs to a request.
#ifndef KB_GATEWAY_GATEWAY_REFUSAL_H
#define KB_GATEWAY_GATEWAY_REFUSAL_H

#include "gateway/gateway_defs.h"

/// Called once if the refusal counts, with its status in `http_status`.
/// @param retry_after_ms  That of the refusal.
typedef void (*gtw_refusal_done_t) (gtw_request_t *r, uint64_t retry_after_ms);

/// Withhold a refusal that is on a connection with other answers. It counts
/// unless another answer follows it at once. Call it within on_head.
/// @return  False when it counts; `done` is not called then.
bool gtw_refusal_hold (gtw_request_t *r, const rly_response_t *refusal,
                       gtw_refusal_done_t done);
/// Judge a withheld refusal by the head of an answer to the request that
/// follows it.
/// @return  Whether it counts, and `done` was called.
bool gtw_refusal_judge_next (gtw_request_t *r, const rly_response_t *next);
/// The same by the end of their connection.
bool gtw_refusal_judge_end (gtw_request_t *r);

#endif
