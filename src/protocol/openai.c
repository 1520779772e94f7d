#include "protocol/openai.h"

#include <stdlib.h>

#include "protocol/json_members.h"

static kb_status_t
model_parse (const char *model, oai_request_t *out, kb_error_t *error)
{
  const char *at = strrchr (model, '@');
  size_t len = at == NULL ? strlen (model) : (size_t)(at - model);
  if (len == 0 || len >= OAI_MODEL_BYTES)
    return kb_error_set (error, KB_EINVAL, "\"model\" is empty or too long");
  memcpy (out->adapter, model, len);
  out->adapter[len] = '\0';
  if (at == NULL)
    return KB_OK;
  char *end;
  unsigned long version = strtoul (at + 1, &end, 10);
  if (at[1] == '\0' || *end != '\0' || version == 0 || version > UINT32_MAX)
    return kb_error_set (error, KB_EINVAL,
                         "\"model\": \"%s\" is not a version", at + 1);
  out->version = (uint32_t)version;
  return KB_OK;
}

/// Members of a request that are interpreted.
typedef enum
{
  MEMBER_MODEL,
  MEMBER_STREAM,
  MEMBER_MAX_TOKENS,
  MEMBER_PRIORITY,
  MEMBER_COUNT,
} member_t;

static const char *const member_names[MEMBER_COUNT]
    = { "model", "stream", "max_tokens", "priority" };

enum
{
  /// Text of a member that is decoded. A byte of a model takes up to six.
  MAX_VALUE_BYTES = 6 * OAI_MODEL_BYTES + 2,
  MAX_NAME_BYTES = 64,
};

typedef struct
{
  kb_slice_t values[MEMBER_COUNT];
  uint64_t names[OAI_MAX_MEMBERS]; ///< Hashes of all names.
  uint32_t count;
} members_t;

/// @return  Whether a name with escapes is this one.
static bool
name_decodes_to (kb_slice_t name, const char *wanted)
{
  kb_buf_t quoted = { 0 };
  struct json_object *decoded;
  if (name.len_bytes > MAX_NAME_BYTES)
    return false;
  // The quotes stand around it in the body.
  kb_buf_append (&quoted, name.ptr - 1, name.len_bytes + 2);
  bool is_equal
      = jsn_parse_text ("name", kb_buf_slice (&quoted), &decoded, NULL)
            == KB_OK
        && strcmp (json_object_get_string (decoded), wanted) == 0;
  json_object_put (decoded);
  kb_buf_finish (&quoted);
  return is_equal;
}

static bool
name_is (kb_slice_t name, const char *wanted)
{
  if (memchr (name.ptr, '\\', name.len_bytes) != NULL)
    return name_decodes_to (name, wanted);
  return kb_slice_equal (name, kb_slice_str (wanted));
}

static kb_status_t
name_twice (kb_slice_t name, kb_error_t *error)
{
  return kb_error_set (error, KB_EINVAL, "body: key \"%.*s\" stands twice",
                       (int)name.len_bytes, name.ptr);
}

static kb_status_t
on_member (void *arg, kb_slice_t name, kb_slice_t value, kb_error_t *error)
{
  members_t *members = arg;
  if (members->count == OAI_MAX_MEMBERS)
    return kb_error_set (error, KB_EINVAL, "body: more than %d members",
                         OAI_MAX_MEMBERS);
  uint64_t hash = kb_hash (name.ptr, name.len_bytes, 0);
  for (uint32_t i = 0; i < members->count; i++)
    if (members->names[i] == hash)
      return name_twice (name, error);
  members->names[members->count++] = hash;
  for (int i = 0; i < MEMBER_COUNT; i++)
    {
      if (!name_is (name, member_names[i]))
        continue;
      if (members->values[i].ptr != NULL)
        return name_twice (name, error);
      members->values[i] = value;
    }
  return KB_OK;
}

/// @return  A document with the members that are decoded.
static struct json_object *
decode_members (const members_t *members)
{
  kb_buf_t text = { 0 };
  struct json_object *doc = NULL;
  kb_buf_append_str (&text, "{");
  for (int i = 0; i < MEMBER_PRIORITY; i++)
    {
      kb_slice_t value = members->values[i];
      bool is_scalar = value.ptr != NULL && value.ptr[0] != '{'
                       && value.ptr[0] != '['
                       && value.len_bytes <= MAX_VALUE_BYTES;
      if (is_scalar)
        kb_buf_printf (&text, "%s\"%s\":%.*s", text.len_bytes > 1 ? "," : "",
                       member_names[i], (int)value.len_bytes, value.ptr);
    }
  kb_buf_append_str (&text, "}");
  jsn_parse_text ("body", kb_buf_slice (&text), &doc, NULL);
  kb_buf_finish (&text);
  return doc;
}

static kb_status_t
request_decode (const members_t *members, oai_request_t *out,
                kb_error_t *error)
{
  struct json_object *doc = decode_members (members);
  kb_status_t status;
  const char *model = jsn_str (doc, "model", NULL);
  if (model != NULL)
    status = model_parse (model, out, error);
  else if (members->values[MEMBER_MODEL].len_bytes > MAX_VALUE_BYTES)
    status = kb_error_set (error, KB_EINVAL, "\"model\" is empty or too long");
  else
    status
        = kb_error_set (error, KB_EINVAL, "body: \"model\" must be a string");
  out->is_stream = jsn_bool (doc, "stream", false);
  int64_t tokens = jsn_int (doc, "max_tokens", OAI_DEFAULT_TOKENS);
  if (status == KB_OK && (tokens < 1 || tokens > 1000000))
    status = kb_error_set (error, KB_EINVAL,
                           "body: \"max_tokens\" must be from 1 to 1000000");
  out->max_tokens = (uint32_t)tokens;
  json_object_put (doc);
  return status;
}

kb_status_t
oai_request_parse (kb_slice_t body, oai_request_t *out, kb_error_t *error)
{
  members_t members = { .count = 0 };
  *out = (oai_request_t){ 0 };
  kb_status_t status
      = jsn_walk_members ("body", body, on_member, &members, error);
  if (status == KB_OK)
    status = request_decode (&members, out, error);
  out->model_text = members.values[MEMBER_MODEL];
  out->priority_text = members.values[MEMBER_PRIORITY];
  return status;
}

void
oai_request_rewrite (kb_slice_t body, const oai_request_t *parsed,
                     const char *model, uint64_t priority, kb_buf_t *out)
{
  kb_buf_t values[2] = { { 0 }, { 0 } };
  jsn_append_quoted (&values[0], kb_slice_str (model));
  kb_buf_printf (&values[1], "%llu", (unsigned long long)priority);
  kb_slice_t olds[2] = { parsed->model_text, parsed->priority_text };
  int first = olds[1].ptr != NULL && olds[1].ptr < olds[0].ptr;
  const char *at = body.ptr;
  for (int i = 0; i < 2; i++)
    {
      int which = i ^ first;
      if (olds[which].ptr == NULL)
        continue;
      kb_buf_append (out, at, (size_t)(olds[which].ptr - at));
      kb_buf_append (out, values[which].ptr, values[which].len_bytes);
      at = olds[which].ptr + olds[which].len_bytes;
      // A request has a model, so there is a member to stand behind.
      if (which == 0 && olds[1].ptr == NULL)
        kb_buf_printf (out, ",\"priority\":%s", values[1].ptr);
    }
  kb_buf_append (out, at, (size_t)(body.ptr + body.len_bytes - at));
  kb_buf_finish (&values[0]);
  kb_buf_finish (&values[1]);
}

kb_status_t
oai_answer_check (kb_slice_t json, const char *model)
{
  struct json_object *doc;
  if (jsn_parse_text ("answer", json, &doc, NULL) != KB_OK)
    return KB_EINVAL;
  const char *answer_model = jsn_str (doc, "model", "");
  kb_status_t status
      = strcmp (answer_model, model) == 0 ? KB_OK : KB_ECONFLICT;
  json_object_put (doc);
  return status;
}

void
oai_error_write (kb_buf_t *out, const char *type, const char *message)
{
  kb_buf_append_str (out, "{\"error\":{\"type\":");
  jsn_append_quoted (out, kb_slice_str (type));
  kb_buf_append_str (out, ",\"message\":");
  jsn_append_quoted (out, kb_slice_str (message));
  kb_buf_append_str (out, "}}\n");
}
