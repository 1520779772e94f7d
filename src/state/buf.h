/// @file buf.h
/// Byte slices and a growing byte buffer.
#ifndef KB_STATE_BUF_H
#define KB_STATE_BUF_H

#include <stdbool.h>
#include <stdint.h>
#include <stddef.h>
#include <string.h>

/// A view of bytes owned by someone else.
typedef struct
{
  const char *ptr;
  uint32_t len_bytes;
} kb_slice_t;

/// Memory that peers make a process hold, and how much of it is allowed.
/// Charging does not fail: who lets peers fill buffers looks after each step
/// whether the limit is exceeded.
typedef struct
{
  uint64_t held_bytes;
  uint64_t limit_bytes;
} kb_account_t;

/// A growing byte buffer. After the first append, a zero byte not counted in
/// `len_bytes` follows the content.
typedef struct
{
  char *ptr;
  size_t len_bytes;
  size_t cap_bytes;
  kb_account_t *account; ///< Charged with `cap_bytes`; NULL: none is.
} kb_buf_t;

/// A buffer with several owners.
typedef struct
{
  kb_buf_t buf;
  uint32_t owner_count;
} kb_shared_t;

/// @return  A slice over a zero-terminated string.
static inline kb_slice_t
kb_slice_str (const char *text)
{
  return (kb_slice_t){ text, (uint32_t)strlen (text) };
}

/// Charge an account for memory that is not in a buffer of this module.
static inline void
kb_account_charge (kb_account_t *account, size_t bytes)
{
  account->held_bytes += bytes;
}
static inline void
kb_account_release (kb_account_t *account, size_t bytes)
{
  account->held_bytes -= bytes;
}

static inline bool
kb_slice_equal (kb_slice_t a, kb_slice_t b)
{
  return a.len_bytes == b.len_bytes
         && (a.len_bytes == 0 || memcmp (a.ptr, b.ptr, a.len_bytes) == 0);
}

/// @return  A slice without the spaces, tabs and line ends around it.
kb_slice_t kb_slice_trim (kb_slice_t slice);
/// Copy a slice into a fixed array, truncated to fit and zero-terminated.
void kb_slice_copy (kb_slice_t slice, char *out, size_t out_bytes);
/// Parse a decimal number without sign or exponent.
/// @return  False when the text is not such a number.
bool kb_slice_parse_decimal (kb_slice_t text, double *out);

void kb_buf_init (kb_buf_t *buf);
/// Release the content. The buffer may be filled again, for the same account.
void kb_buf_finish (kb_buf_t *buf);
/// Charge an account from now on.
/// @param account  NULL: none.
void kb_buf_set_account (kb_buf_t *buf, kb_account_t *account);
void kb_buf_clear (kb_buf_t *buf);
void kb_buf_append (kb_buf_t *buf, const void *bytes, size_t len_bytes);
void kb_buf_append_str (kb_buf_t *buf, const char *text);
void kb_buf_printf (kb_buf_t *buf, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/// Remove bytes from the front.
void kb_buf_consume (kb_buf_t *buf, size_t len_bytes);
/// Exchange the contents of two buffers, and their accounts.
void kb_buf_swap (kb_buf_t *a, kb_buf_t *b);
/// Move the content of a buffer to an empty one. Both charge the account of
/// the first.
void kb_buf_move (kb_buf_t *from, kb_buf_t *to);
/// @return  An empty buffer with one owner.
kb_shared_t *kb_shared_create (kb_account_t *account);
/// Add an owner.
/// @param shared  May be NULL.
kb_shared_t *kb_shared_ref (kb_shared_t *shared);
/// Remove an owner; the last one frees the buffer.
/// @param shared  May be NULL.
void kb_shared_unref (kb_shared_t *shared);
kb_slice_t kb_buf_slice (const kb_buf_t *buf);

/// Allocate zeroed memory. This and the three functions below abort the
/// process when memory is exhausted: a daemon that cannot allocate cannot meet
/// any of its guarantees, and its VM is replaceable.
void *kb_alloc (size_t bytes);
void *kb_realloc (void *ptr, size_t bytes);
char *kb_strdup (const char *text);
char *kb_slice_dup (kb_slice_t slice);

/// 64-bit non-cryptographic hash.
uint64_t kb_hash (const void *bytes, size_t len_bytes, uint64_t seed);

#endif
