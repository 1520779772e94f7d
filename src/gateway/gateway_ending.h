/// @file gateway_ending.h
/// Decides whether the end of an answer is its own.
#ifndef KB_GATEWAY_GATEWAY_ENDING_H
#define KB_GATEWAY_GATEWAY_ENDING_H

#include "gateway/gateway_defs.h"

/// Called once with the result, unless the request ends before.
typedef void (*gtw_ending_done_t) (gtw_request_t *r, bool is_whole);

/// Ask whether the target still listens. A process that has ended within an
/// answer without a length closes its connection as if the answer were whole,
/// but listens no more.
/// @return  False when there is nothing to ask; `done` is not called then.
bool gtw_ending_check (gtw_request_t *r, gtw_ending_done_t done);

/// Begin to withhold the end of an answer whose last bytes may begin another
/// one, unless it has no length.
/// @return  For how long, in ms; zero: nothing shows that they may.
uint64_t gtw_ending_begin_watch (gtw_request_t *r);

#endif
