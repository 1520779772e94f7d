/// @file fingerprint.h
/// Fingerprints of requests, which are equal when a request is sent again: a
/// digest of host, method, path and body. Attempt ids differ for each send,
/// and other fields may. With the adapter included, a fingerprint is narrower:
/// the same prompt may end targets under one adapter and be served under
/// another.
#ifndef KB_RELAY_FINGERPRINT_H
#define KB_RELAY_FINGERPRINT_H

#include "state/buf.h"

typedef struct
{
  kb_slice_t host;
  kb_slice_t method;
  kb_slice_t path;    ///< Includes the query.
  kb_slice_t adapter; ///< "model/adapter"; empty: any.
  kb_slice_t body;
} fpr_request_t;

enum
{
  FPR_TEXT_BYTES = 17, ///< 16 hexadecimal digits and the terminator.
};

/// Compute a cryptographic digest, so that nobody can forge a request with the
/// fingerprint of another caller's.
/// @return  Never zero.
uint64_t fpr_compute (const fpr_request_t *request);
/// Write a fingerprint as it appears in log lines.
void fpr_format (uint64_t fingerprint, char out[FPR_TEXT_BYTES]);

#endif
