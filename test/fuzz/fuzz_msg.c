/// @file fuzz_msg.c
/// libFuzzer target: the decoder of the inner protocol. An accepted message
/// must survive encoding, decoding and encoding again with identical bytes.
#include <stdlib.h>

#include "protocol/msg.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  kb_slice_t bytes = { (const char *)data, (uint32_t)size };
  msg_t msg;
  if (msg_decode (bytes, &msg) != KB_OK)
    return 0;
  kb_buf_t first = { 0 };
  kb_buf_t second = { 0 };
  msg_encode (&msg, &first);
  msg_t again;
  if (msg_decode (kb_buf_slice (&first), &again) != KB_OK)
    abort ();
  msg_encode (&again, &second);
  if (!kb_slice_equal (kb_buf_slice (&first), kb_buf_slice (&second)))
    abort ();
  kb_buf_finish (&first);
  kb_buf_finish (&second);
  return 0;
}
