/// @file h1_head.c
/// Access to the fields of a message head, and checks that a request head is
/// unambiguous enough to be forwarded.
#include <ctype.h>
#include <stdlib.h>
#include <strings.h>

#include "transport/h1.h"

kb_slice_t
h1_field_name (const h1_head_t *head, uint32_t index)
{
  const h1_field_t *f = &head->fields[index];
  return (kb_slice_t){ head->bytes.ptr + f->name_offset, f->name_bytes };
}

kb_slice_t
h1_field_value (const h1_head_t *head, uint32_t index)
{
  const h1_field_t *f = &head->fields[index];
  return (kb_slice_t){ head->bytes.ptr + f->value_offset, f->value_bytes };
}

kb_slice_t
h1_head_target (const h1_head_t *head)
{
  return (kb_slice_t){ head->bytes.ptr, head->target_bytes };
}

bool
h1_name_is (kb_slice_t name, const char *text)
{
  return name.len_bytes == strlen (text)
         && strncasecmp (name.ptr, text, name.len_bytes) == 0;
}

kb_slice_t
h1_head_get (const h1_head_t *head, const char *name)
{
  for (uint32_t i = 0; i < head->field_count; i++)
    if (h1_name_is (h1_field_name (head, i), name))
      return h1_field_value (head, i);
  return (kb_slice_t){ NULL, 0 };
}

uint32_t
h1_head_count (const h1_head_t *head, const char *name)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < head->field_count; i++)
    if (h1_name_is (h1_field_name (head, i), name))
      count++;
  return count;
}

bool
h1_value_has_token (kb_slice_t value, const char *token)
{
  size_t token_bytes = strlen (token);
  uint32_t at = 0;
  while (at < value.len_bytes)
    {
      while (at < value.len_bytes
             && (value.ptr[at] == ' ' || value.ptr[at] == '\t'
                 || value.ptr[at] == ','))
        at++;
      uint32_t end = at;
      while (end < value.len_bytes && value.ptr[end] != ','
             && value.ptr[end] != ' ' && value.ptr[end] != '\t')
        end++;
      if (end - at == token_bytes
          && strncasecmp (value.ptr + at, token, token_bytes) == 0)
        return true;
      at = end;
      while (at < value.len_bytes && value.ptr[at] != ',')
        at++;
    }
  return false;
}

bool
h1_is_token_char (char c)
{
  static const char punctuation[] = "!#$%&'*+-.^_`|~";
  bool is_plain = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z')
                  || (c >= 'A' && c <= 'Z');
  return is_plain || (c != '\0' && strchr (punctuation, c) != NULL);
}

bool
h1_name_is_token (kb_slice_t name)
{
  for (uint32_t i = 0; i < name.len_bytes; i++)
    if (!h1_is_token_char (name.ptr[i]))
      return false;
  return name.len_bytes > 0;
}

bool
h1_request_is_well_formed (const h1_conn_t *conn)
{
  const h1_head_t *head = &conn->head;
  for (uint32_t i = 0; i < head->field_count; i++)
    if (!h1_name_is_token (h1_field_name (head, i)))
      return false;
  if (head->target_bytes == 0 || head->bytes.ptr[0] != '/')
    return false;
  if (conn->parser.http_major != 1 || h1_head_count (head, "host") != 1)
    return false;
  // Guards against request smuggling: two parsers that disagree on where a
  // body ends see different requests on one connection, and bytes after the
  // body would run as another caller's request. At most one Content-Length or
  // Transfer-Encoding field is accepted, and the latter only as "chunked".
  uint32_t lengths = h1_head_count (head, "content-length");
  uint32_t codings = h1_head_count (head, "transfer-encoding");
  if (lengths + codings > 1)
    return false;
  if (codings == 1)
    return conn->parser.http_minor >= 1
           && h1_name_is (h1_head_get (head, "transfer-encoding"), "chunked");
  return true;
}

bool
h1_body_is_close_delimited (const h1_conn_t *conn)
{
  return (conn->parser.flags & (F_CHUNKED | F_CONTENTLENGTH)) == 0;
}

kb_status_t
h1_parse_address (kb_slice_t text, struct sockaddr_in *out)
{
  char copy[64];
  kb_slice_copy (text, copy, sizeof copy);
  char *colon = strrchr (copy, ':');
  if (colon == NULL)
    return KB_EINVAL;
  *colon = '\0';
  char *end = NULL;
  long port = strtol (colon + 1, &end, 10);
  bool is_number = isdigit ((unsigned char)colon[1]) && *end == '\0';
  if (!is_number || port <= 0 || port > UINT16_MAX)
    return KB_EINVAL;
  return uv_ip4_addr (copy, (int)port, out) == 0 ? KB_OK : KB_EINVAL;
}
