/// @file secret.h
/// Digests of API keys. A key itself is never stored or logged.
#ifndef KB_RELAY_SECRET_H
#define KB_RELAY_SECRET_H

#include "state/buf.h"
#include "state/workspace.h"

enum
{
  SCT_TEXT_BYTES = 9, ///< 8 hexadecimal digits and the terminator.
};

void sct_digest_key (kb_slice_t key, uint8_t out[WSP_DIGEST_BYTES]);
/// Write the short form of a digest that identifies a key in log lines. The
/// key cannot be derived from it.
void sct_format (const uint8_t digest[WSP_DIGEST_BYTES],
                 char out[SCT_TEXT_BYTES]);

#endif
