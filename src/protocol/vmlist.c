#include "protocol/vmlist.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>

#include "protocol/json_scan.h"
#include "protocol/json_walk.h"

enum
{
  MAX_PORT = 65535,
  VALIDATE_DEPTH = 32, ///< Deeper values are taken to be JSON.
  MIN_CAP = 16,
};

/// State of decoding.
typedef struct
{
  vml_list_t *list;
  uint32_t cap;
  kb_map_t by_name; ///< Index in `vms` plus one, by hash of the name.
} decoder_t;

static void
record_fault (vml_list_t *list, kb_slice_t text, const char *name,
              const char *reason)
{
  uint32_t at = list->fault_count++;
  if (at >= VML_MAX_FAULTS)
    return;
  vml_fault_t *fault = &list->faults[at];
  fault->hash = kb_hash (text.ptr, text.len_bytes, 0) | 1;
  snprintf (fault->name, sizeof fault->name, "%s", name);
  snprintf (fault->reason, sizeof fault->reason, "%s", reason);
}

/// @return  The VM under this name, added if it is new.
static vml_vm_t *
find_or_add (decoder_t *d, const char *name, bool *is_new)
{
  vml_list_t *list = d->list;
  uint64_t key = kb_hash (name, strlen (name), 0) | 1;
  uintptr_t found = (uintptr_t)kb_map_get (&d->by_name, key);
  *is_new = found == 0;
  if (found != 0)
    return &list->vms[found - 1];
  if (list->count == d->cap)
    {
      d->cap = d->cap == 0 ? MIN_CAP : d->cap * 2;
      list->vms = kb_realloc (list->vms, d->cap * sizeof *list->vms);
    }
  vml_vm_t *vm = &list->vms[list->count++];
  *vm = (vml_vm_t){ 0 };
  snprintf (vm->name, sizeof vm->name, "%s", name);
  kb_map_put (&d->by_name, key, (void *)(uintptr_t)list->count);
  return vm;
}

static bool
is_same (const vml_vm_t *a, const vml_vm_t *b)
{
  return strcmp (a->address, b->address) == 0
         && strcmp (a->failure_domain, b->failure_domain) == 0
         && a->is_entry == b->is_entry && a->is_leaving == b->is_leaving;
}

/// Add a readable entry. Of two that contradict each other neither counts, but
/// a VM that one of them lists as leaving is leaving.
static void
add_vm (decoder_t *d, const vml_vm_t *vm, kb_slice_t text)
{
  bool is_new;
  vml_vm_t *known = find_or_add (d, vm->name, &is_new);
  bool is_contradicted
      = !is_new && known->address[0] != '\0' && !is_same (known, vm);
  if (is_contradicted)
    {
      record_fault (d->list, text, vm->name,
                    "another entry with this name differs");
      known->is_leaving = known->is_leaving || vm->is_leaving;
      known->is_readable = false;
    }
  else if (is_new || known->address[0] == '\0')
    *known = *vm;
}

/// Read the string literal at the cursor.
/// @return  False unless it is the valid name of a daemon.
static bool
read_name (jsc_cursor_t *c, char out[VML_NAME_BYTES])
{
  size_t start = c->at;
  if (jsc_byte (c) != '"')
    return false;
  jsc_read_string (c);
  kb_slice_t literal = { c->text.ptr + start, (uint32_t)(c->at - start) };
  struct json_object *value = NULL;
  bool is_valid = jsn_parse_text ("name", literal, &value, NULL) == KB_OK
                  && json_object_is_type (value, json_type_string);
  if (is_valid)
    {
      kb_slice_t name = { json_object_get_string (value),
                          (uint32_t)json_object_get_string_len (value) };
      is_valid = set_name_is_valid (name);
      if (is_valid)
        kb_slice_copy (name, out, VML_NAME_BYTES);
    }
  json_object_put (value);
  return is_valid;
}

/// Record that VMs are listed by an entry that cannot be read: each name that
/// the entry has as a member of its outermost object.
/// @param name  Receives the last one.
static void
add_unreadable (decoder_t *d, kb_slice_t text, char name[VML_NAME_BYTES])
{
  jsc_cursor_t c = { .text = text };
  jsc_skip_space (&c);
  if (jsc_byte (&c) != '{')
    return;
  do
    {
      c.at++;
      jsc_skip_space (&c);
      if (jsc_byte (&c) != '"')
        return;
      kb_slice_t key = jsc_read_string (&c);
      jsc_skip_space (&c);
      if (jsc_byte (&c) != ':')
        return;
      c.at++;
      jsc_skip_space (&c);
      bool is_new;
      if (kb_slice_equal (key, kb_slice_str ("name")) && read_name (&c, name))
        find_or_add (d, name, &is_new);
      jsc_skip_value (&c);
    }
  while (jsc_byte (&c) == ',');
}

/// @return  The member, which must be a string without a zero byte if there is
///          one; NULL if it is not.
static const char *
member_text (struct json_object *entry, const char *key, const char *fallback)
{
  if (!jsn_has (entry, key))
    return fallback;
  struct json_object *value = jsn_get (entry, key);
  if (!json_object_is_type (value, json_type_string))
    return NULL;
  const char *text = json_object_get_string (value);
  bool is_whole = strlen (text) == (size_t)json_object_get_string_len (value);
  return is_whole ? text : NULL;
}

/// @return  Whether the member is one of two words, or absent; `is_second`
///          then tells which, and is false if it is absent.
static bool
read_word (struct json_object *entry, const char *key, const char *first,
           const char *second, bool *is_second)
{
  const char *word = member_text (entry, key, first);
  if (word == NULL)
    return false;
  *is_second = strcmp (word, second) == 0;
  return *is_second || strcmp (word, first) == 0;
}

/// @return  The reason why the entry cannot be read, or NULL. `vm->name` is
///          set if the name can be read.
static const char *
decode_vm (struct json_object *entry, vml_vm_t *vm)
{
  if (!json_object_is_type (entry, json_type_object))
    return "not an object";
  const char *name = member_text (entry, "name", NULL);
  if (name == NULL || !set_name_is_valid (kb_slice_str (name)))
    return "no valid name";
  snprintf (vm->name, sizeof vm->name, "%s", name);
  int64_t port = jsn_int (entry, "port", 0);
  if (port <= 0 || port > MAX_PORT)
    return "the port is no number from 1 to 65535";
  // A host name would be resolved by the thread that serves requests.
  const char *address = member_text (entry, "address", "127.0.0.1");
  struct in_addr parsed;
  if (address == NULL || inet_pton (AF_INET, address, &parsed) != 1)
    return "the address is no IPv4 address";
  snprintf (vm->address, sizeof vm->address, "tcp://%s:%d", address,
            (int)port);
  const char *domain = member_text (entry, "failure_domain", "");
  if (domain == NULL || strlen (domain) >= sizeof vm->failure_domain)
    return "the failure domain is no text of at most 47 bytes";
  snprintf (vm->failure_domain, sizeof vm->failure_domain, "%s", domain);
  if (!read_word (entry, "role", "agent", "entry", &vm->is_entry))
    return "unknown role";
  if (!read_word (entry, "state", "live", "leaving", &vm->is_leaving))
    return "unknown state";
  vm->is_readable = true;
  return NULL;
}

/// @return  Whether the text is one JSON value, as far as the parser reaches.
static bool
is_json (kb_slice_t text)
{
  // A number ends with the byte after it.
  char *copy = kb_slice_dup (text);
  struct json_tokener *tok = json_tokener_new_ex (VALIDATE_DEPTH);
  struct json_object *value
      = json_tokener_parse_ex (tok, copy, (int)text.len_bytes + 1);
  enum json_tokener_error error = json_tokener_get_error (tok);
  jsc_cursor_t rest = { .text = text, .at = json_tokener_get_parse_end (tok) };
  json_tokener_free (tok);
  json_object_put (value);
  free (copy);
  jsc_skip_space (&rest);
  return error == json_tokener_error_depth
         || (error == json_tokener_success && jsc_is_at_end (&rest));
}

/// @return  Whether an entry that cannot be read says that its VM leaves.
static bool
says_leaving (kb_slice_t entry)
{
  static const char word[] = "\"leaving\"";
  kb_slice_t state;
  return jsn_find_member (entry, "state", &state)
         && state.len_bytes >= sizeof word - 1
         && memcmp (state.ptr, word, sizeof word - 1) == 0;
}

static kb_status_t
on_entry (void *arg, uint32_t position, kb_slice_t text, kb_error_t *error)
{
  decoder_t *d = arg;
  jsc_cursor_t start = { .text = text };
  jsc_skip_space (&start);
  if (jsc_is_at_end (&start))
    return KB_OK;
  vml_vm_t vm = { 0 };
  kb_error_t reason = { 0 };
  struct json_object *entry = NULL;
  const char *fault = NULL;
  bool is_parsed = jsn_parse_text ("entry", text, &entry, &reason) == KB_OK;
  if (is_parsed)
    fault = decode_vm (entry, &vm);
  else
    fault = jsc_byte (&start) == '{' ? reason.message : "not an object";
  json_object_put (entry);
  if (fault == NULL)
    {
      add_vm (d, &vm, text);
      return KB_OK;
    }
  if (!is_parsed)
    add_unreadable (d, text, vm.name);
  if (vm.name[0] != '\0')
    {
      bool is_new;
      vml_vm_t *listed = find_or_add (d, vm.name, &is_new);
      listed->is_leaving = listed->is_leaving || says_leaving (text);
    }
  if (!is_parsed && !is_json (text))
    d->list->is_complete = false;
  record_fault (d->list, text, vm.name, fault);
  return KB_OK;
}

kb_status_t
vml_list_decode (kb_slice_t text, vml_list_t *out, kb_error_t *error)
{
  *out = (vml_list_t){ .is_complete = true };
  decoder_t decoder = { .list = out };
  struct json_object *rest = NULL;
  kb_status_t status
      = jsn_walk_texts ("list", text, "vms", &rest, on_entry, &decoder, error);
  struct json_object *vms = jsn_list (rest, "vms");
  // A list that was found is empty in the rest of the document.
  if (status == KB_OK && (vms == NULL || jsn_list_len (vms) > 0))
    status = kb_error_set (error, KB_EINVAL, "list: no list \"vms\"");
  json_object_put (rest);
  kb_map_finish (&decoder.by_name);
  if (status != KB_OK)
    vml_list_finish (out);
  return status;
}

void
vml_list_finish (vml_list_t *list)
{
  free (list->vms);
  *list = (vml_list_t){ 0 };
}
