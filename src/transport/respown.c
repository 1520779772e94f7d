#include "transport/respown.h"

#include <ctype.h>

#include "transport/h1.h"

/// @return  Whether a field says nothing about the content of a response.
static bool
is_of_connection (kb_slice_t name)
{
  static const char *const names[]
      = { "connection", "keep-alive", "content-length", "transfer-encoding",
          "trailer" };
  for (size_t i = 0; i < sizeof names / sizeof *names; i++)
    if (h1_name_is (name, names[i]))
      return true;
  return false;
}

static uint64_t
field_hash (kb_slice_t name, kb_slice_t value)
{
  uint64_t hash = 0;
  for (uint32_t i = 0; i < name.len_bytes; i++)
    {
      char c = (char)tolower ((unsigned char)name.ptr[i]);
      hash = kb_hash (&c, 1, hash);
    }
  return kb_hash (value.ptr, value.len_bytes, hash);
}

static bool
has_field (const rso_search_t *search, uint64_t hash)
{
  for (uint32_t i = 0; i < search->field_count; i++)
    if (search->fields[i] == hash)
      return true;
  return false;
}

/// A server repeats most of its fields in a second response, though its date
/// or an id may differ. A response that is quoted has others.
static bool
is_own (void *owner, kb_slice_t name, kb_slice_t value)
{
  rso_search_t *search = owner;
  if (search->scan.field_count == 0)
    search->repeated_count = 0;
  if (search->field_count == 0)
    return !search->scan.is_odd;
  if (!is_of_connection (name) && has_field (search, field_hash (name, value)))
    search->repeated_count++;
  return search->repeated_count * 2 > search->field_count;
}

void
rso_search_init (rso_search_t *search)
{
  *search = (rso_search_t){ 0 };
  rsc_scan_init (&search->scan, NULL, is_own, search);
}

void
rso_search_finish (rso_search_t *search)
{
  rsc_scan_finish (&search->scan);
}

void
rso_search_add_field (rso_search_t *search, kb_slice_t name, kb_slice_t value)
{
  if (search->field_count < RSO_MAX_FIELDS && !is_of_connection (name))
    search->fields[search->field_count++]
        = field_hash (name, kb_slice_trim (value));
}

bool
rso_search_feed (rso_search_t *search, kb_slice_t bytes)
{
  return rsc_scan_feed (&search->scan, bytes);
}
