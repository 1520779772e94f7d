#include "relay/secret.h"

#include <openssl/sha.h>
#include <stdio.h>

_Static_assert(WSP_DIGEST_BYTES == SHA256_DIGEST_LENGTH, "digest of a key");

void
sct_digest_key (kb_slice_t key, uint8_t out[WSP_DIGEST_BYTES])
{
  SHA256 ((const unsigned char *)key.ptr, key.len_bytes, out);
}

void
sct_format (const uint8_t digest[WSP_DIGEST_BYTES], char out[SCT_TEXT_BYTES])
{
  snprintf (out, SCT_TEXT_BYTES, "%02x%02x%02x%02x", digest[0], digest[1],
            digest[2], digest[3]);
}
