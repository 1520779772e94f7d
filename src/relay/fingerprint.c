#include "relay/fingerprint.h"

#include <assert.h>
#include <openssl/evp.h>
#include <stdio.h>

/// Hash a part with its length, so that moving bytes from one part to the next
/// changes the digest.
static void
add_part (EVP_MD_CTX *digest, kb_slice_t part)
{
  int status
      = EVP_DigestUpdate (digest, &part.len_bytes, sizeof part.len_bytes);
  if (part.len_bytes > 0)
    status &= EVP_DigestUpdate (digest, part.ptr, part.len_bytes);
  assert (status == 1);
}

uint64_t
fpr_compute (const fpr_request_t *request)
{
  EVP_MD_CTX *digest = EVP_MD_CTX_new ();
  assert (digest != NULL);
  int status = EVP_DigestInit_ex (digest, EVP_sha256 (), NULL);
  assert (status == 1);
  add_part (digest, request->host);
  add_part (digest, request->method);
  add_part (digest, request->path);
  add_part (digest, request->adapter);
  add_part (digest, request->body);
  unsigned char bytes[EVP_MAX_MD_SIZE];
  status = EVP_DigestFinal_ex (digest, bytes, NULL);
  assert (status == 1);
  EVP_MD_CTX_free (digest);
  uint64_t fingerprint;
  memcpy (&fingerprint, bytes, sizeof fingerprint);
  return fingerprint | 1;
}

void
fpr_format (uint64_t fingerprint, char out[FPR_TEXT_BYTES])
{
  snprintf (out, FPR_TEXT_BYTES, "%016llx", (unsigned long long)fingerprint);
}
