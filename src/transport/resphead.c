#include "transport/resphead.h"

#include "transport/h1.h"

enum
{
  CODE_DIGITS = 3,
  MIN_HTTP_STATUS = 100,
  MAX_HTTP_STATUS = 599,
  /// Final responses have this status or a higher one.
  MIN_FINAL_HTTP_STATUS = 200,
};

/// A digit for the '#'.
static const char version_pattern[] = "HTTP/1.# ";

static bool
is_digit (char c)
{
  return c >= '0' && c <= '9';
}

static rsh_state_t
check_version (rsh_check_t *check, char c)
{
  char expected = version_pattern[check->version_bytes++];
  if (expected == '#' ? !is_digit (c) : c != expected)
    return RSH_INVALID;
  return version_pattern[check->version_bytes] == '\0' ? RSH_BEFORE_CODE
                                                       : RSH_IN_VERSION;
}

static rsh_state_t
check_start (rsh_check_t *check, char c)
{
  if (c == '\r' || c == '\n')
    return RSH_AT_START;
  *check = (rsh_check_t){ 0 };
  return check_version (check, c);
}

/// @param c  The byte behind a status code.
static bool
is_code_valid (const rsh_check_t *check, char c)
{
  return check->digit_count == CODE_DIGITS
         && check->http_status >= MIN_HTTP_STATUS
         && check->http_status <= MAX_HTTP_STATUS
         && (c == ' ' || c == '\r' || c == '\n');
}

/// Check a digit of the status code, or what follows it.
static rsh_state_t
check_code (rsh_check_t *check, char c)
{
  if (is_digit (c) && check->digit_count < CODE_DIGITS)
    {
      check->digit_count++;
      check->http_status = check->http_status * 10 + (uint32_t)(c - '0');
      return RSH_IN_CODE;
    }
  if (!is_code_valid (check, c))
    return RSH_INVALID;
  return c == '\n' ? RSH_AT_LINE : RSH_IN_REASON;
}

/// Check the first byte of a line behind the status line. A blank there folds
/// the field before it; this is obsolete, and gateways may reject it.
static rsh_state_t
check_line (const rsh_check_t *check, char c)
{
  if (c == '\r')
    return RSH_AT_LINE;
  if (c == '\n')
    return check->http_status < MIN_FINAL_HTTP_STATUS ? RSH_AT_START
                                                      : RSH_COMPLETE;
  return h1_is_token_char (c) ? RSH_IN_NAME : RSH_INVALID;
}

static rsh_state_t
check_name (char c)
{
  if (c == ':')
    return RSH_IN_VALUE;
  return h1_is_token_char (c) ? RSH_IN_NAME : RSH_INVALID;
}

static rsh_state_t
check_byte (rsh_check_t *check, char c)
{
  switch (check->state)
    {
    case RSH_AT_START:
      return check_start (check, c);
    case RSH_IN_VERSION:
      return check_version (check, c);
    case RSH_BEFORE_CODE:
      return c == ' ' ? RSH_BEFORE_CODE : check_code (check, c);
    case RSH_IN_CODE:
      return check_code (check, c);
    case RSH_AT_LINE:
      return check_line (check, c);
    case RSH_IN_NAME:
      return check_name (c);
    case RSH_IN_REASON:
    case RSH_IN_VALUE:
      return c == '\n' ? RSH_AT_LINE : check->state;
    case RSH_COMPLETE:
    case RSH_INVALID:
      break;
    }
  return check->state;
}

/// @return  Where the check goes on: values and reasons may hold any bytes.
static const char *
skip_rest_of_line (const rsh_check_t *check, const char *at, const char *end)
{
  if (check->state != RSH_IN_REASON && check->state != RSH_IN_VALUE)
    return at;
  const char *line_end = memchr (at, '\n', (size_t)(end - at));
  return line_end == NULL ? end : line_end;
}

bool
rsh_check_feed (rsh_check_t *check, kb_slice_t bytes)
{
  const char *at = bytes.ptr;
  const char *end = bytes.ptr + bytes.len_bytes;
  while (at < end && check->state < RSH_COMPLETE)
    {
      at = skip_rest_of_line (check, at, end);
      if (at < end)
        check->state = check_byte (check, *at++);
    }
  return check->state != RSH_INVALID;
}
