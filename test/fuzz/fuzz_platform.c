/// Documents of the platform: whatever bytes the store or an engine hands out,
/// decoding ends with a value or an error.
#include <stddef.h>
#include <stdlib.h>

#include "document.h"
#include "engine.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  enum
  {
    KINDS = 4,
  };
  if (size == 0)
    return 0;
  kb_error_t error = { 0 };
  kb_slice_t text = { (const char *)data + 1, (uint32_t)size - 1 };
  src_target_t target;
  doc_version_t version;
  static egn_report_t report;
  switch (data[0] % KINDS)
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
