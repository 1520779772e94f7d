/// @file fuzz_settings.c
/// libFuzzer target: the settings parser and the JSON parser that it uses.
#include "protocol/settings.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  set_settings_t settings;
  kb_error_t error = { 0 };
  set_load_text ("fuzz", (kb_slice_t){ (const char *)data, (uint32_t)size },
                 &settings, &error);
  return 0;
}
