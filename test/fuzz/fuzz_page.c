/// Fuzzes the decoder of the store's answers: for any bytes, decoding ends
/// with a page or an error, and its items are within what the store allows.
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "page.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
check_item (const pag_item_t *item)
{
  size_t len = strnlen (item->key, sizeof item->key);
  bool is_value_unread = item->is_gone || item->fault != NULL;
  if (len == 0 || len == sizeof item->key
      || (is_value_unread && item->value.len_bytes > 0))
    abort ();
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  pag_page_t page;
  kb_error_t error = { 0 };
  kb_slice_t text = { (const char *)data, (uint32_t)size };
  kb_status_t status = pag_decode (&page, text, "items", &error);
  if (status == KB_OK ? page.as_of == 0 : error.message[0] == '\0')
    abort ();
  for (uint32_t i = 0; i < page.item_count; i++)
    check_item (&page.items[i]);
  pag_finish (&page);
  return 0;
}
