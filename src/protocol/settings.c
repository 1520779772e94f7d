#include "protocol/settings.h"

#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include "protocol/json.h"

typedef enum
{
  KIND_TEXT,
  KIND_INT,
  KIND_NUM,
  KIND_BOOL,
} set_kind_t;

/// One row of the settings table.
typedef struct
{
  const char *name;
  set_kind_t kind;
  size_t offset;
  const char *text_default;
  double num_default;
  double min;
  double max;
  const char *help;
} set_row_t;

#define ROW_TEXT(field, fallback, help_text)                                  \
  {                                                                           \
#field, KIND_TEXT, offsetof(set_settings_t, field), fallback, 0, 0, 0,    \
        help_text                                                             \
  }
#define ROW_INT(field, fallback, low, high, help_text)                        \
  {                                                                           \
#field, KIND_INT, offsetof(set_settings_t, field), NULL, fallback, low,   \
        high, help_text                                                       \
  }
#define ROW_NUM(field, fallback, low, high, help_text)                        \
  {                                                                           \
#field, KIND_NUM, offsetof(set_settings_t, field), NULL, fallback, low,   \
        high, help_text                                                       \
  }

static const set_row_t rows[] = {
  { "role", KIND_TEXT, offsetof (set_settings_t, role_name), "", 0, 0, 0,
    "`entry` or `agent`; required" },
  ROW_TEXT (interface, "openai",
            "`openai`: the product's own; `relay`: requests are passed on as "
            "they are, by the conventions of the deployment"),
  ROW_TEXT (name, "", "unique name of this daemon or target; required"),
  ROW_TEXT (failure_domain, "", "failure domain of this VM; required"),
  ROW_TEXT (listen_address, "127.0.0.1", "IP number to listen on"),
  ROW_INT (http_port, 0, 0, 65535, "HTTP port; 0 lets the kernel choose"),
  ROW_INT (inner_port, 0, 0, 65535,
           "port of the inner protocol; 0 lets the kernel choose"),
  ROW_TEXT (log_level, "info", "`debug`, `info`, `warn` or `error`"),
  { "trace_stdout", KIND_BOOL, offsetof (set_settings_t, trace_stdout), NULL,
    0, 0, 1, "write spans as OTLP JSON lines to standard output" },
  ROW_TEXT (operator_key, "",
            "bearer key for /v1/status and /v1/drain; empty: both closed"),
  ROW_TEXT (curve_public_key, "",
            "own CURVE public key, Z85; empty: no CURVE"),
  ROW_TEXT (curve_secret_key, "", "own CURVE secret key, Z85"),
  ROW_TEXT (curve_agent_key, "", "public key that agents use, Z85"),
  ROW_TEXT (curve_entry_key, "", "public key that entries use, Z85"),
  ROW_TEXT (tls_certificate_file, "",
            "PEM certificate for callers; empty: plain HTTP"),
  ROW_TEXT (tls_key_file, "", "PEM key for callers"),
  ROW_INT (max_body_bytes, 1048576, 1024, 67108864,
           "largest request body, bytes"),
  ROW_INT (request_read_timeout_ms, 10000, 100, 600000,
           "time for a caller to send its request, ms"),
  ROW_INT (max_connections, 8192, 1, 1000000, "caller connections"),
  ROW_INT (memory_mb, 0, 0, 16777216,
           "memory of this VM for the daemon, MB; callers and peers may fill "
           "half of it; 0: what the system reports"),
  ROW_INT (max_inflight, 20000, 1, 1000000,
           "requests an entry holds at one time"),
  ROW_INT (default_deadline_ms, 60000, 1, 86400000,
           "deadline of a request that names none, ms"),
  ROW_INT (max_deadline_ms, 600000, 1, 86400000,
           "longest deadline; at most `claim_window_ms`, ms"),
  ROW_TEXT (kv_address, "127.0.0.1", "IP number of the key-value service"),
  ROW_INT (kv_port, 2379, 0, 65535, "port of the key-value service"),
  ROW_INT (kv_timeout_ms, 2000, 10, 60000, "time for one key-value call, ms"),
  ROW_TEXT (list_address, "127.0.0.1", "IP number of the platform list"),
  ROW_INT (list_port, 8500, 0, 65535, "port of the platform list"),
  ROW_INT (list_poll_ms, 1000, 50, 60000, "time between list reads, ms"),
  ROW_TEXT (service, "", "agent: name of the service its target offers"),
  ROW_TEXT (target_kind, "engine", "agent: `engine` or `plain`"),
  ROW_TEXT (target_address, "127.0.0.1", "agent: IP number of its target"),
  ROW_INT (target_port, 8000, 0, 65535, "agent: port of its target"),
  ROW_TEXT (target_order_token, "",
            "agent: bearer token for orders to its engine"),
  ROW_TEXT (base_model, "base", "agent: base model its engine runs"),
  ROW_INT (slots, 8, 1, 4096, "agent: adapter slots of its engine"),
  ROW_INT (max_batch, 16, 1, 4096, "agent: sequences in one engine step"),
  ROW_INT (queue_limit, 2000, 1, 1000000, "agent: requests that may wait"),
  ROW_INT (load_timeout_ms, 20000, 10, 600000,
           "agent: time for one adapter load, ms"),
  ROW_INT (engine_idle_timeout_ms, 30000, 50, 3600000,
           "agent: longest silence of an engine within a run, ms"),
  ROW_NUM (load_rate_per_s, 4, 0.01, 100000,
           "loads a second the weight store allows the region"),
  ROW_INT (load_concurrency, 1, 1, 10000,
           "loads at one time at full speed in the region"),
  ROW_NUM (stall_weight, 1, 0, 100, "weight of load stalls in scheduling"),
  ROW_NUM (efficiency_weight, 1, 0, 100,
           "weight of batch efficiency in scheduling"),
  ROW_INT (claim_window_ms, 600000, 1000, 86400000,
           "how long an idempotency key is remembered, ms"),
  ROW_INT (claim_limit, 200000, 16, 10000000,
           "idempotency keys remembered at one time"),
  ROW_INT (answer_cache_bytes, 8388608, 0, 1073741824,
           "agent: finished answers kept for re-sends, bytes"),
  ROW_INT (drain_limit_ms, 120000, 0, 86400000,
           "longest graceful shutdown, ms"),
  ROW_INT (silence_ms, 2000, 100, 600000,
           "a daemon whose ping is unanswered this long is down, ms"),
  ROW_NUM (kv_calls_per_s, 5, 0.01, 10000,
           "ceiling of this daemon's key-value calls a second"),
  ROW_TEXT (public_address, "",
            "relay entry: \"ip:port\" that callers connect to"),
  ROW_TEXT (ready_address, "", "relay entry: \"ip:port\" of the ready page"),
  ROW_TEXT (store_address, "",
            "relay entry: \"ip:port\" of the deployment's store"),
  ROW_TEXT (engine_address, "",
            "relay agent: \"ip:port\" of the engine beside it"),
  ROW_TEXT (advertised_address, "",
            "relay agent: IP number under which entries reach it; empty: "
            "`listen_address`"),
  ROW_INT (metrics_port, 0, 0, 65535,
           "relay: port of the metrics page; 0: none"),
  ROW_NUM (grace_s, 8, 0.5, 86400,
           "relay: time between SIGTERM and SIGKILL, s"),
  ROW_INT (leave_bound_ms, 2000, 500, 60000,
           "relay entry: a leaving target gets nothing new after this"),
  ROW_INT (revoke_bound_ms, 0, 0, 3600000,
           "relay entry: nothing runs with a key this long after it was taken "
           "away, also where the store can not be reached; 0: no bound"),
  ROW_INT (version_bound_ms, 5000, 500, 3600000,
           "relay entry: nothing begins on an older version of an adapter "
           "this long after a newer one was confirmed"),
  ROW_NUM (quota_window_s, 10, 0.1, 3600,
           "relay: window in which the use of a quota is judged, s"),
  ROW_NUM (quota_overshoot, 0.1, 0, 10,
           "relay: part of a quota by which a window may exceed it"),
  ROW_NUM (quota_slack, 0, 0, 1000000000,
           "relay: by how much more, in the unit of the quota"),
  ROW_NUM (retry_ratio, 0.2, 0, 10,
           "relay entry: repeats allowed for each request, all entries"),
  ROW_NUM (retry_window_s, 10, 1, 3600,
           "relay entry: window of the retry budget, s"),
  ROW_NUM (retry_slack, 50, 0, 100000,
           "relay entry: repeats allowed beyond the ratio, all entries"),
  ROW_INT (log_lines_per_s, 200, 1, 100000, "relay: most log lines a second"),
  ROW_INT (vm_gone_after_ms, 10000, 100, 3600000,
           "a VM absent from the list and silent this long is gone, ms"),
};

enum
{
  ROW_COUNT = sizeof rows / sizeof rows[0],
  COMPARED_NAME_MAX_BYTES = 64, ///< Prefix compared for the nearest name.
};

static uint32_t
min3 (uint32_t a, uint32_t b, uint32_t c)
{
  uint32_t smallest = a < b ? a : b;
  return smallest < c ? smallest : c;
}

static uint32_t
edit_distance (const char *a, const char *b)
{
  uint32_t row[COMPARED_NAME_MAX_BYTES + 1];
  uint32_t a_len = (uint32_t)strnlen (a, COMPARED_NAME_MAX_BYTES);
  uint32_t b_len = (uint32_t)strnlen (b, COMPARED_NAME_MAX_BYTES);
  for (uint32_t j = 0; j <= b_len; j++)
    row[j] = j;
  for (uint32_t i = 1; i <= a_len; i++)
    {
      uint32_t diagonal = row[0];
      row[0] = i;
      for (uint32_t j = 1; j <= b_len; j++)
        {
          uint32_t above = row[j];
          uint32_t cost = a[i - 1] == b[j - 1] ? 0 : 1;
          row[j] = min3 (above + 1, row[j - 1] + 1, diagonal + cost);
          diagonal = above;
        }
    }
  return row[b_len];
}

const char *
set_nearest_name (const char *name)
{
  const char *best = NULL;
  uint32_t best_distance = 6;
  for (uint32_t i = 0; i < ROW_COUNT; i++)
    {
      uint32_t distance = edit_distance (name, rows[i].name);
      if (distance < best_distance)
        {
          best_distance = distance;
          best = rows[i].name;
        }
    }
  return best;
}

static const set_row_t *
row_find (const char *name)
{
  for (uint32_t i = 0; i < ROW_COUNT; i++)
    if (strcmp (rows[i].name, name) == 0)
      return &rows[i];
  return NULL;
}

static void
row_set_default (const set_row_t *row, set_settings_t *out)
{
  char *field_ptr = (char *)out + row->offset;
  switch (row->kind)
    {
    case KIND_TEXT:
      snprintf (field_ptr, SET_TEXT_BYTES, "%s", row->text_default);
      break;
    case KIND_INT:
      *(int64_t *)field_ptr = (int64_t)row->num_default;
      break;
    case KIND_NUM:
      *(double *)field_ptr = row->num_default;
      break;
    case KIND_BOOL:
      *(bool *)field_ptr = row->num_default != 0;
      break;
    }
}

static kb_status_t
row_check_range (const char *file, const set_row_t *row, double value,
                 kb_error_t *error)
{
  if (value >= row->min && value <= row->max)
    return KB_OK;
  return kb_error_set (error, KB_EINVAL,
                       "%s: \"%s\" must be from %g to %g, not %g", file,
                       row->name, row->min, row->max, value);
}

static kb_status_t
row_set_value (const char *file, const set_row_t *row,
               struct json_object *value, set_settings_t *out,
               kb_error_t *error)
{
  static const char *const kind_names[]
      = { "a string", "a whole number", "a number", "true or false" };
  char *field_ptr = (char *)out + row->offset;
  enum json_type type = json_object_get_type (value);
  bool has_expected_type
      = (row->kind == KIND_TEXT && type == json_type_string)
        || (row->kind == KIND_INT && type == json_type_int)
        || (row->kind == KIND_NUM
            && (type == json_type_int || type == json_type_double))
        || (row->kind == KIND_BOOL && type == json_type_boolean);
  if (!has_expected_type)
    return kb_error_set (error, KB_EINVAL, "%s: \"%s\" must be %s", file,
                         row->name, kind_names[row->kind]);
  if (row->kind == KIND_BOOL)
    {
      *(bool *)field_ptr = json_object_get_boolean (value);
      return KB_OK;
    }
  if (row->kind == KIND_TEXT)
    {
      const char *text = json_object_get_string (value);
      if (strlen (text) >= SET_TEXT_BYTES)
        return kb_error_set (error, KB_EINVAL,
                             "%s: \"%s\" is longer than %d bytes", file,
                             row->name, SET_TEXT_BYTES - 1);
      snprintf (field_ptr, SET_TEXT_BYTES, "%s", text);
      return KB_OK;
    }
  double number = json_object_get_double (value);
  kb_status_t status = row_check_range (file, row, number, error);
  if (status != KB_OK)
    return status;
  if (row->kind == KIND_INT)
    *(int64_t *)field_ptr = json_object_get_int64 (value);
  else
    *(double *)field_ptr = number;
  return KB_OK;
}

bool
set_name_is_valid (kb_slice_t name)
{
  if (name.len_bytes == 0 || name.len_bytes > SET_NAME_MAX_BYTES)
    return false;
  for (uint32_t i = 0; i < name.len_bytes; i++)
    {
      unsigned char c = (unsigned char)name.ptr[i];
      if (c <= ' ' || c == 0x7f || c == '"' || c == '\\' || c == '/')
        return false;
    }
  return true;
}

static kb_status_t
settings_validate (const char *file, set_settings_t *s, kb_error_t *error)
{
  if (strcmp (s->role_name, "entry") == 0)
    s->role = SET_ROLE_ENTRY;
  else if (strcmp (s->role_name, "agent") == 0)
    s->role = SET_ROLE_AGENT;
  else
    return kb_error_set (error, KB_EINVAL,
                         "%s: \"role\" must be \"entry\" or \"agent\"", file);
  if (s->name[0] == '\0')
    return kb_error_set (error, KB_EINVAL, "%s: \"name\" is required", file);
  if (!set_name_is_valid (kb_slice_str (s->name)))
    return kb_error_set (error, KB_EINVAL,
                         "%s: \"name\" must be at most %d bytes without "
                         "quotes, slashes, blanks or control characters",
                         file, SET_NAME_MAX_BYTES);
  if (s->failure_domain[0] == '\0')
    return kb_error_set (error, KB_EINVAL,
                         "%s: \"failure_domain\" is required", file);
  if (strcmp (s->interface, "openai") != 0
      && strcmp (s->interface, "relay") != 0)
    return kb_error_set (error, KB_EINVAL,
                         "%s: \"interface\" must be \"openai\" or \"relay\"",
                         file);
  if (s->role == SET_ROLE_AGENT && s->service[0] == '\0')
    return kb_error_set (error, KB_EINVAL,
                         "%s: \"service\" is required for an agent", file);
  if (strcmp (s->target_kind, "engine") != 0
      && strcmp (s->target_kind, "plain") != 0)
    return kb_error_set (error, KB_EINVAL,
                         "%s: \"target_kind\" must be \"engine\" or \"plain\"",
                         file);
  // Agents must remember an attempt for as long as a peer can query it.
  if (s->max_deadline_ms > s->claim_window_ms)
    return kb_error_set (error, KB_EINVAL,
                         "%s: \"max_deadline_ms\" must not exceed "
                         "\"claim_window_ms\"",
                         file);
  if ((s->curve_public_key[0] == '\0') != (s->curve_secret_key[0] == '\0'))
    return kb_error_set (error, KB_EINVAL,
                         "%s: \"curve_public_key\" and \"curve_secret_key\" "
                         "must be set together",
                         file);
  return KB_OK;
}

kb_status_t
set_load_text (const char *name, kb_slice_t text, set_settings_t *out,
               kb_error_t *error)
{
  *out = (set_settings_t){ 0 };
  for (uint32_t i = 0; i < ROW_COUNT; i++)
    row_set_default (&rows[i], out);
  struct json_object *doc;
  kb_status_t status = jsn_parse_text (name, text, &doc, error);
  if (status != KB_OK)
    return status;
  if (!json_object_is_type (doc, json_type_object))
    status = kb_error_set (error, KB_EINVAL, "%s:1: must be an object", name);
  else
    {
      json_object_object_foreach (doc, key, value)
      {
        const set_row_t *row = row_find (key);
        if (row == NULL)
          {
            const char *suggestion = set_nearest_name (key);
            status = kb_error_set (
                error, KB_EINVAL, "%s: unknown setting \"%s\"%s%s%s", name,
                key, suggestion ? "; did you mean \"" : "",
                suggestion ? suggestion : "", suggestion ? "\"?" : "");
          }
        else
          status = row_set_value (name, row, value, out, error);
        if (status != KB_OK)
          break;
      }
    }
  json_object_put (doc);
  if (status != KB_OK)
    return status;
  return settings_validate (name, out, error);
}

kb_status_t
set_load_file (const char *path, set_settings_t *out, kb_error_t *error)
{
  enum
  {
    SETTINGS_MAX_BYTES = 65536
  };
  kb_buf_t text;
  kb_buf_init (&text);
  kb_status_t status = jsn_read_file (path, SETTINGS_MAX_BYTES, &text, error);
  if (status == KB_OK)
    status = set_load_text (path, kb_buf_slice (&text), out, error);
  kb_buf_finish (&text);
  return status;
}

void
set_write_reference (kb_buf_t *out)
{
  kb_buf_append_str (out, "| setting | default | range | meaning |\n");
  kb_buf_append_str (out, "| --- | --- | --- | --- |\n");
  for (uint32_t i = 0; i < ROW_COUNT; i++)
    {
      const set_row_t *row = &rows[i];
      if (row->kind == KIND_TEXT)
        kb_buf_printf (out, "| `%s` | `\"%s\"` | text | %s |\n", row->name,
                       row->text_default, row->help);
      else if (row->kind == KIND_BOOL)
        kb_buf_printf (out, "| `%s` | `false` | true or false | %s |\n",
                       row->name, row->help);
      else
        kb_buf_printf (out, "| `%s` | `%g` | %g to %.10g | %s |\n", row->name,
                       row->num_default, row->min, row->max, row->help);
    }
}
