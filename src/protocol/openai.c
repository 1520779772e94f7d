#include "protocol/openai.h"

#include <stdlib.h>

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

kb_status_t
oai_request_parse (kb_slice_t body, oai_request_t *out,
                   struct json_object **doc, kb_error_t *error)
{
  *out = (oai_request_t){ 0 };
  kb_status_t status = jsn_parse_text ("body", body, doc, error);
  if (status != KB_OK)
    return status;
  const char *model = jsn_str (*doc, "model", NULL);
  if (model == NULL)
    status
        = kb_error_set (error, KB_EINVAL, "body: \"model\" must be a string");
  else
    status = model_parse (model, out, error);
  out->is_stream = jsn_bool (*doc, "stream", false);
  int64_t tokens = jsn_int (*doc, "max_tokens", OAI_DEFAULT_TOKENS);
  if (status == KB_OK && (tokens < 1 || tokens > 1000000))
    status = kb_error_set (error, KB_EINVAL,
                           "body: \"max_tokens\" must be from 1 to 1000000");
  out->max_tokens = (uint32_t)tokens;
  if (status == KB_OK)
    return KB_OK;
  json_object_put (*doc);
  *doc = NULL;
  return status;
}

void
oai_request_rewrite (struct json_object *doc, const char *model,
                     uint64_t priority, kb_buf_t *out)
{
  json_object_object_add (doc, "model", json_object_new_string (model));
  json_object_object_add (doc, "priority",
                          json_object_new_int64 ((int64_t)priority));
  kb_buf_append_str (
      out, json_object_to_json_string_ext (doc, JSON_C_TO_STRING_PLAIN));
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
