#include "protocol/cfgbuild.h"

#include <stdio.h>
#include <stdlib.h>

/// Context for building one item.
typedef struct
{
  const kb_map_t *origins;
  cfg_config_t *config;
  kb_error_t *error;
  const char *section;
  const char *item;
} build_t;

static const char *
item_file (const build_t *b)
{
  uint64_t key = kb_hash (b->item, strlen (b->item),
                          kb_hash (b->section, strlen (b->section), 0))
                 | 1;
  const char *file = kb_map_get (b->origins, key);
  return file == NULL ? "?" : file;
}

static kb_status_t
item_error (const build_t *b, const char *reason, const char *name)
{
  return kb_error_set (b->error, KB_EINVAL, "%s: %s.%s: %s%s%s%s",
                       item_file (b), b->section, b->item, reason,
                       name[0] ? " \"" : "", name, name[0] ? "\"" : "");
}

/// @param known_members  Names, ended by NULL.
static kb_status_t
check_members (const build_t *b, struct json_object *obj,
               const char *const *known_members)
{
  if (!json_object_is_type (obj, json_type_object))
    return item_error (b, "must be an object", "");
  json_object_object_foreach (obj, name, value)
  {
    (void)value;
    bool is_known = false;
    for (int i = 0; known_members[i] != NULL; i++)
      is_known |= strcmp (known_members[i], name) == 0;
    if (!is_known)
      return item_error (b, "unknown member", name);
  }
  return KB_OK;
}

/// @return  KB_EINVAL if the member is present but not an integer from min to
///          max.
static kb_status_t
read_int (const build_t *b, struct json_object *obj, const char *name,
          int64_t fallback, int64_t min, int64_t max, int64_t *out)
{
  struct json_object *value = jsn_get (obj, name);
  *out = fallback;
  if (value == NULL)
    return KB_OK;
  if (!json_object_is_type (value, json_type_int))
    return item_error (b, "must be a whole number:", name);
  *out = json_object_get_int64 (value);
  if (*out < min || *out > max)
    return item_error (b, "out of range:", name);
  return KB_OK;
}

static kb_status_t
build_service (build_t *b, struct json_object *obj)
{
  static const char *const known_members[]
      = { "kind", "base_model", "idempotent", NULL };
  kb_status_t status = check_members (b, obj, known_members);
  if (status != KB_OK)
    return status;
  const char *kind = jsn_str (obj, "kind", "engine");
  if (strcmp (kind, "engine") != 0 && strcmp (kind, "plain") != 0)
    return item_error (b, "\"kind\" must be engine or plain, not", kind);
  cfg_service_t *s = &b->config->services[b->config->service_count++];
  s->name = cfg_strdup (b->config, b->item);
  s->is_plain = strcmp (kind, "plain") == 0;
  s->base_model = cfg_strdup (b->config, jsn_str (obj, "base_model", "base"));
  s->is_idempotent = jsn_bool (obj, "idempotent", !s->is_plain);
  return KB_OK;
}

static int
version_compare (const void *a, const void *b)
{
  uint32_t na = ((const cfg_version_t *)a)->number;
  uint32_t nb = ((const cfg_version_t *)b)->number;
  return na < nb ? -1 : na > nb;
}

static kb_status_t
build_versions (build_t *b, struct json_object *versions, cfg_adapter_t *a)
{
  if (!json_object_is_type (versions, json_type_object)
      || json_object_object_length (versions) == 0)
    return item_error (b, "needs at least one version", "");
  a->versions
      = cfg_alloc (b->config, (size_t)json_object_object_length (versions)
                                  * sizeof *a->versions);
  json_object_object_foreach (versions, number, value)
  {
    char *end;
    unsigned long n = strtoul (number, &end, 10);
    if (*end != '\0' || n == 0 || n > UINT32_MAX)
      return item_error (b, "a version must be a number from 1, not", number);
    const char *source = json_object_is_type (value, json_type_string)
                             ? json_object_get_string (value)
                             : jsn_str (value, "source", NULL);
    if (source == NULL)
      return item_error (b, "no source for version", number);
    a->versions[a->version_count++]
        = (cfg_version_t){ (uint32_t)n, cfg_strdup (b->config, source) };
  }
  qsort (a->versions, a->version_count, sizeof *a->versions, version_compare);
  return KB_OK;
}

static kb_status_t
build_adapter (build_t *b, struct json_object *obj)
{
  static const char *const known_members[]
      = { "service", "current", "versions", NULL };
  kb_status_t status = check_members (b, obj, known_members);
  if (status != KB_OK)
    return status;
  if (strchr (b->item, '@') != NULL)
    return item_error (b, "a name must not contain \"@\"", "");
  cfg_adapter_t *a = &b->config->adapters[b->config->adapter_count++];
  a->name = cfg_strdup (b->config, b->item);
  const char *service = jsn_str (obj, "service", "");
  const cfg_service_t *s
      = cfg_service_find (b->config, kb_slice_str (service));
  if (s == NULL)
    return item_error (b, "unknown service", service);
  if (s->is_plain)
    return item_error (b, "a plain service has no adapters:", service);
  a->service = (uint32_t)(s - b->config->services);
  status = build_versions (b, jsn_get (obj, "versions"), a);
  if (status != KB_OK)
    return status;
  int64_t current;
  int64_t newest = a->versions[a->version_count - 1].number;
  status = read_int (b, obj, "current", newest, 1, UINT32_MAX, &current);
  if (status != KB_OK)
    return status;
  a->current = (uint32_t)current;
  if (cfg_version_find (a, a->current) == NULL)
    return item_error (b, "\"current\" names a version that does not exist",
                       "");
  kb_map_put (&b->config->adapter_by_name,
              kb_hash (a->name, strlen (a->name), 0) | 1, a);
  return KB_OK;
}

static bool
parse_hex (const char *text, uint8_t *out, size_t out_bytes)
{
  if (text == NULL || strlen (text) != 2 * out_bytes)
    return false;
  for (size_t i = 0; i < out_bytes; i++)
    {
      unsigned byte;
      if (sscanf (text + 2 * i, "%2x", &byte) != 1)
        return false;
      out[i] = (uint8_t)byte;
    }
  return true;
}

static kb_status_t
build_workspace (build_t *b, struct json_object *obj)
{
  static const char *const known_members[] = { "key_sha256", "class",
                                               "weight",     "max_inflight",
                                               "rate_per_s", NULL };
  kb_status_t status = check_members (b, obj, known_members);
  if (status != KB_OK)
    return status;
  cfg_workspace_t *w = &b->config->workspaces[b->config->workspace_count++];
  w->name = cfg_strdup (b->config, b->item);
  if (!parse_hex (jsn_str (obj, "key_sha256", NULL), w->key_digest,
                  CFG_KEY_DIGEST_BYTES))
    return item_error (b, "\"key_sha256\" must be 64 hex digits", "");
  int64_t priority_class;
  int64_t weight;
  int64_t max_inflight;
  if ((status = read_int (b, obj, "class", 4, 0, CFG_PRIORITY_CLASS_COUNT - 1,
                          &priority_class))
          != KB_OK
      || (status = read_int (b, obj, "weight", 1, 1, 1000, &weight)) != KB_OK
      || (status
          = read_int (b, obj, "max_inflight", 0, 0, 1000000, &max_inflight))
             != KB_OK)
    return status;
  w->priority_class = (uint8_t)priority_class;
  w->weight = (uint32_t)weight;
  w->max_inflight = (uint32_t)max_inflight;
  w->rate_per_s = jsn_num (obj, "rate_per_s", 0);
  if (w->rate_per_s < 0)
    return item_error (b, "out of range:", "rate_per_s");
  return KB_OK;
}

static bool
workspace_exists (const cfg_config_t *config, const char *name)
{
  for (uint32_t i = 0; i < config->workspace_count; i++)
    if (strcmp (config->workspaces[i].name, name) == 0)
      return true;
  return false;
}

static kb_status_t
build_rule (build_t *b, struct json_object *obj)
{
  static const char *const known_members[]
      = { "workspace", "service", "adapter_prefix", "class", NULL };
  kb_status_t status = check_members (b, obj, known_members);
  if (status != KB_OK)
    return status;
  cfg_rule_t *r = &b->config->rules[b->config->rule_count++];
  r->name = cfg_strdup (b->config, b->item);
  r->workspace = cfg_strdup (b->config, jsn_str (obj, "workspace", ""));
  r->service = cfg_strdup (b->config, jsn_str (obj, "service", ""));
  r->adapter_prefix
      = cfg_strdup (b->config, jsn_str (obj, "adapter_prefix", ""));
  if (r->workspace[0] != '\0' && !workspace_exists (b->config, r->workspace))
    return item_error (b, "unknown workspace", r->workspace);
  if (r->service[0] != '\0'
      && cfg_service_find (b->config, kb_slice_str (r->service)) == NULL)
    return item_error (b, "unknown service", r->service);
  int64_t priority_class;
  if (jsn_get (obj, "class") == NULL)
    return item_error (b, "needs a \"class\"", "");
  status = read_int (b, obj, "class", 0, 0, CFG_PRIORITY_CLASS_COUNT - 1,
                     &priority_class);
  r->priority_class = (uint8_t)priority_class;
  return status;
}

static int
rule_compare (const void *a, const void *b)
{
  return strcmp (((const cfg_rule_t *)a)->name, ((const cfg_rule_t *)b)->name);
}

typedef kb_status_t (*build_fn_t) (build_t *b, struct json_object *obj);

static kb_status_t
build_section (build_t *b, struct json_object *merged, const char *section,
               build_fn_t build)
{
  b->section = section;
  struct json_object *items = jsn_get (merged, section);
  json_object_object_foreach (items, name, value)
  {
    b->item = name;
    kb_status_t status = build (b, value);
    if (status != KB_OK)
      return status;
  }
  return KB_OK;
}

static size_t
section_len (struct json_object *merged, const char *section)
{
  return (size_t)json_object_object_length (jsn_get (merged, section));
}

kb_status_t
cfgb_build (struct json_object *merged, const kb_map_t *origins,
            uint64_t revision, cfg_config_t *out, kb_error_t *error)
{
  *out = (cfg_config_t){ .revision = revision };
  out->services = cfg_alloc (out, section_len (merged, "services")
                                      * sizeof *out->services);
  out->adapters = cfg_alloc (out, section_len (merged, "adapters")
                                      * sizeof *out->adapters);
  out->workspaces = cfg_alloc (out, section_len (merged, "workspaces")
                                        * sizeof *out->workspaces);
  out->rules
      = cfg_alloc (out, section_len (merged, "rules") * sizeof *out->rules);
  build_t b = { .origins = origins, .config = out, .error = error };
  kb_status_t status;
  if ((status = build_section (&b, merged, "services", build_service)) != KB_OK
      || (status = build_section (&b, merged, "adapters", build_adapter))
             != KB_OK
      || (status = build_section (&b, merged, "workspaces", build_workspace))
             != KB_OK
      || (status = build_section (&b, merged, "rules", build_rule)) != KB_OK)
    {
      cfg_config_finish (out);
      return status;
    }
  qsort (out->rules, out->rule_count, sizeof *out->rules, rule_compare);
  return KB_OK;
}
