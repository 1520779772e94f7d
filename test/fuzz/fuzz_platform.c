/// Fuzzes the decoders of the platform's documents: for any bytes from the
/// store or an engine, decoding must end with a value or an error.
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "document.h"
#include "engine.h"
#include "store.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/// Decode a target entry under an arbitrary id, which is the text's first
/// line. On success the decoded id must be the given one.
static void
decode_target_with_id (kb_slice_t text, size_t max_id_bytes)
{
  char id[256];
  const char *end = memchr (text.ptr, '\n', text.len_bytes);
  size_t len = end == NULL ? 0 : (size_t)(end - text.ptr);
  if (end == NULL || len > max_id_bytes)
    return;
  kb_slice_copy ((kb_slice_t){ text.ptr, (uint32_t)len }, id, sizeof id);
  kb_slice_t document = { end + 1, (uint32_t)(text.len_bytes - len - 1) };
  kb_error_t error = { 0 };
  src_target_t target;
  if (doc_decode_target (id, document, &target, &error) == KB_OK
      && strcmp (id, target.identity.id) != 0)
    abort ();
}

/// Parse the header that states the store's era. Its decimal form must be the
/// header's, without leading zeros.
static void
parse_era (kb_slice_t text)
{
  uint64_t era = sto_parse_era (text, 1);
  if (sto_parse_era (text, 0) != 0 || sto_parse_era (text, 2) != 0)
    abort ();
  if (era == 0)
    return;
  while (*text.ptr == '0')
    {
      text.ptr++;
      text.len_bytes--;
    }
  char digits[24];
  snprintf (digits, sizeof digits, "%llu", (unsigned long long)era);
  if (!kb_slice_equal (text, kb_slice_str (digits)))
    abort ();
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  enum
  {
    DOCUMENT_KINDS = 4,
    HAS_ID = 0x80,
    IS_ERA = 0x40,
    MAX_ID_BYTES = 200,
  };
  if (size == 0)
    return 0;
  kb_error_t error = { 0 };
  kb_slice_t text = { (const char *)data + 1, (uint32_t)size - 1 };
  src_target_t target;
  doc_version_t version;
  static egn_report_t report;
  if (data[0] >= HAS_ID)
    {
      decode_target_with_id (text, MAX_ID_BYTES);
      return 0;
    }
  if (data[0] >= IS_ERA)
    {
      parse_era (text);
      return 0;
    }
  switch (data[0] % DOCUMENT_KINDS)
    {
    case 0:
      svc_config_free (doc_decode_platform_config (text, &error));
      break;
    case 1:
      doc_decode_target ("id", text, &target, &error);
      break;
    case 2:
      doc_decode_version ("key", text, &version, &error);
      break;
    default:
      plt_report_decode (text, &report, &error);
      break;
    }
  return 0;
}
