#include "state/buf.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <xxhash.h>

enum
{
  BUF_MIN_BYTES = 256,
  /// Buffers from this size on grow by a quarter: the system moves their pages
  /// instead of copying them.
  BUF_LARGE_BYTES = 65536,
  BUF_LARGE_GROWTH = 4,
};

void *
kb_alloc (size_t bytes)
{
  void *ptr = calloc (1, bytes == 0 ? 1 : bytes);
  if (ptr == NULL)
    abort ();
  return ptr;
}

void *
kb_realloc (void *ptr, size_t bytes)
{
  void *grown = realloc (ptr, bytes);
  if (grown == NULL)
    abort ();
  return grown;
}

char *
kb_strdup (const char *text)
{
  return kb_slice_dup (kb_slice_str (text));
}

char *
kb_slice_dup (kb_slice_t slice)
{
  char *copy = kb_alloc ((size_t)slice.len_bytes + 1);
  if (slice.len_bytes > 0)
    memcpy (copy, slice.ptr, slice.len_bytes);
  return copy;
}

static bool
is_blank (char c)
{
  return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

kb_slice_t
kb_slice_trim (kb_slice_t slice)
{
  while (slice.len_bytes > 0 && is_blank (*slice.ptr))
    {
      slice.ptr++;
      slice.len_bytes--;
    }
  while (slice.len_bytes > 0 && is_blank (slice.ptr[slice.len_bytes - 1]))
    slice.len_bytes--;
  return slice;
}

void
kb_slice_copy (kb_slice_t slice, char *out, size_t out_bytes)
{
  size_t len = slice.len_bytes;
  if (len >= out_bytes)
    len = out_bytes - 1;
  if (len > 0)
    memcpy (out, slice.ptr, len);
  out[len] = '\0';
}

void
kb_buf_init (kb_buf_t *buf)
{
  *buf = (kb_buf_t){ 0 };
}

static void
account_change (kb_account_t *account, size_t from_bytes, size_t to_bytes)
{
  if (account != NULL)
    account->held_bytes += to_bytes - from_bytes;
}

void
kb_buf_finish (kb_buf_t *buf)
{
  account_change (buf->account, buf->cap_bytes, 0);
  free (buf->ptr);
  *buf = (kb_buf_t){ .account = buf->account };
}

void
kb_buf_set_account (kb_buf_t *buf, kb_account_t *account)
{
  account_change (buf->account, buf->cap_bytes, 0);
  account_change (account, 0, buf->cap_bytes);
  buf->account = account;
}

void
kb_buf_clear (kb_buf_t *buf)
{
  buf->len_bytes = 0;
}

static void
buf_reserve (kb_buf_t *buf, size_t need_bytes)
{
  if (need_bytes <= buf->cap_bytes)
    return;
  size_t cap = buf->cap_bytes == 0 ? BUF_MIN_BYTES : buf->cap_bytes;
  while (cap < need_bytes)
    cap += cap < BUF_LARGE_BYTES ? cap : cap / BUF_LARGE_GROWTH;
  buf->ptr = kb_realloc (buf->ptr, cap);
  account_change (buf->account, buf->cap_bytes, cap);
  buf->cap_bytes = cap;
}

void
kb_buf_append (kb_buf_t *buf, const void *bytes, size_t len_bytes)
{
  buf_reserve (buf, buf->len_bytes + len_bytes + 1);
  if (len_bytes > 0)
    memcpy (buf->ptr + buf->len_bytes, bytes, len_bytes);
  buf->len_bytes += len_bytes;
  buf->ptr[buf->len_bytes] = '\0';
}

void
kb_buf_append_str (kb_buf_t *buf, const char *text)
{
  kb_buf_append (buf, text, strlen (text));
}

void
kb_buf_printf (kb_buf_t *buf, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  va_list args_copy;
  va_copy (args_copy, args);
  int need = vsnprintf (NULL, 0, format, args);
  va_end (args);
  buf_reserve (buf, buf->len_bytes + (size_t)need + 1);
  vsnprintf (buf->ptr + buf->len_bytes, (size_t)need + 1, format, args_copy);
  va_end (args_copy);
  buf->len_bytes += (size_t)need;
}

void
kb_buf_consume (kb_buf_t *buf, size_t len_bytes)
{
  if (len_bytes >= buf->len_bytes)
    {
      buf->len_bytes = 0;
      return;
    }
  memmove (buf->ptr, buf->ptr + len_bytes, buf->len_bytes - len_bytes);
  buf->len_bytes -= len_bytes;
  buf->ptr[buf->len_bytes] = '\0';
}

void
kb_buf_swap (kb_buf_t *a, kb_buf_t *b)
{
  kb_buf_t saved = *a;
  *a = *b;
  *b = saved;
}

void
kb_buf_move (kb_buf_t *from, kb_buf_t *to)
{
  *to = *from;
  *from = (kb_buf_t){ .account = to->account };
}

kb_shared_t *
kb_shared_create (kb_account_t *account)
{
  kb_shared_t *shared = kb_alloc (sizeof *shared);
  *shared = (kb_shared_t){ .buf.account = account, .owner_count = 1 };
  return shared;
}

kb_shared_t *
kb_shared_ref (kb_shared_t *shared)
{
  if (shared != NULL)
    shared->owner_count++;
  return shared;
}

void
kb_shared_unref (kb_shared_t *shared)
{
  if (shared == NULL || --shared->owner_count > 0)
    return;
  kb_buf_finish (&shared->buf);
  free (shared);
}

kb_slice_t
kb_buf_slice (const kb_buf_t *buf)
{
  return (kb_slice_t){ buf->ptr, (uint32_t)buf->len_bytes };
}

uint64_t
kb_hash (const void *bytes, size_t len_bytes, uint64_t seed)
{
  return XXH3_64bits_withSeed (bytes, len_bytes, seed);
}

bool
kb_slice_parse_decimal (kb_slice_t text, double *out)
{
  char digits[32];
  if (text.len_bytes == 0 || text.len_bytes >= sizeof digits)
    return false;
  kb_slice_copy (text, digits, sizeof digits);
  size_t integer_len = strspn (digits, "0123456789");
  size_t point_len = digits[integer_len] == '.';
  size_t fraction_len
      = strspn (digits + integer_len + point_len, "0123456789");
  if (integer_len + fraction_len == 0
      || integer_len + point_len + fraction_len != text.len_bytes)
    return false;
  *out = strtod (digits, NULL);
  return true;
}
