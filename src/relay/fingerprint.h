/// @file fingerprint.h
/// Which requests are the same one, sent again: those with the same host,
/// method, path and body. Attempt ids differ each time, and other fields may.
/// With the adapter as well a request is narrower: the same prompt may end
/// targets under one adapter and be served under another.
#ifndef KB_RELAY_FINGERPRINT_H
#define KB_RELAY_FINGERPRINT_H

#include "state/buf.h"

typedef struct
{
  kb_slice_t host;
  kb_slice_t method;
  kb_slice_t path;    ///< With its query.
  kb_slice_t adapter; ///< "model/adapter"; empty: whatever it is.
  kb_slice_t body;
} fpr_request_t;

enum
{
  FPR_TEXT_BYTES = 17, ///< Hexadecimal digits and the end.
};

/// A cryptographic digest, so that nobody can make a request that passes for
/// another caller's.
/// @return  Never zero.
uint64_t fpr_compute (const fpr_request_t *request);
/// Write it as in log lines.
void fpr_format (uint64_t fingerprint, char out[FPR_TEXT_BYTES]);

#endif
