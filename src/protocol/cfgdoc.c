#include "protocol/cfgdoc.h"

#include <dirent.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <xxhash.h>

#include "protocol/cfgbuild.h"

enum
{
  CHUNK_BOUNDARY_MASK = 127, ///< On average one line in 128 ends a chunk.
  DOC_FILE_MAX_BYTES = 16 << 20
};

doc_digest_t
doc_digest (kb_slice_t bytes)
{
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash (&canonical,
                            XXH3_128bits (bytes.ptr, bytes.len_bytes));
  doc_digest_t digest;
  memcpy (digest.bytes, canonical.digest, DOC_DIGEST_BYTES);
  return digest;
}

bool
doc_digest_equal (doc_digest_t a, doc_digest_t b)
{
  return memcmp (a.bytes, b.bytes, DOC_DIGEST_BYTES) == 0;
}

void
doc_digest_text (doc_digest_t digest, char out[2 * DOC_DIGEST_BYTES + 1])
{
  for (int i = 0; i < DOC_DIGEST_BYTES; i++)
    snprintf (out + 2 * i, 3, "%02x", digest.bytes[i]);
}

bool
doc_digest_parse (const char *text, doc_digest_t *out)
{
  if (strlen (text) != 2 * DOC_DIGEST_BYTES)
    return false;
  for (int i = 0; i < DOC_DIGEST_BYTES; i++)
    {
      unsigned byte;
      if (sscanf (text + 2 * i, "%2x", &byte) != 1)
        return false;
      out->bytes[i] = (uint8_t)byte;
    }
  return true;
}

size_t
doc_chunk_len (kb_slice_t text)
{
  size_t at = 0;
  while (at < text.len_bytes && at < DOC_CHUNK_MAX_BYTES)
    {
      const char *eol = memchr (text.ptr + at, '\n', text.len_bytes - at);
      size_t end = eol == NULL ? text.len_bytes : (size_t)(eol - text.ptr) + 1;
      if (end > DOC_CHUNK_MAX_BYTES)
        return DOC_CHUNK_MAX_BYTES;
      uint64_t hash = kb_hash (text.ptr + at, end - at, 0);
      at = end;
      if (at >= DOC_CHUNK_MIN_BYTES && (hash & CHUNK_BOUNDARY_MASK) == 0)
        return at;
    }
  return at;
}

static void
file_update_digests (doc_file_t *file)
{
  kb_slice_t rest = kb_buf_slice (&file->text);
  file->digest = doc_digest (rest);
  free (file->chunks);
  file->chunks = NULL;
  file->chunk_count = 0;
  while (rest.len_bytes > 0)
    {
      size_t len = doc_chunk_len (rest);
      file->chunks = kb_realloc (file->chunks, (file->chunk_count + 1)
                                                   * sizeof *file->chunks);
      file->chunks[file->chunk_count++]
          = doc_digest ((kb_slice_t){ rest.ptr, (uint32_t)len });
      rest.ptr += len;
      rest.len_bytes -= (uint32_t)len;
    }
}

static void
file_finish (doc_file_t *file)
{
  kb_buf_finish (&file->text);
  free (file->chunks);
}

void
doc_folder_finish (doc_folder_t *folder)
{
  for (uint32_t i = 0; i < folder->len; i++)
    file_finish (&folder->files[i]);
  free (folder->files);
  *folder = (doc_folder_t){ 0 };
}

doc_file_t *
doc_folder_find (const doc_folder_t *folder, const char *name)
{
  for (uint32_t i = 0; i < folder->len; i++)
    if (strcmp (folder->files[i].name, name) == 0)
      return &folder->files[i];
  return NULL;
}

static doc_file_t *
folder_insert (doc_folder_t *folder, const char *name)
{
  folder->files
      = kb_realloc (folder->files, (folder->len + 1) * sizeof *folder->files);
  uint32_t at = folder->len;
  while (at > 0 && strcmp (folder->files[at - 1].name, name) > 0)
    {
      folder->files[at] = folder->files[at - 1];
      at--;
    }
  folder->len++;
  folder->files[at] = (doc_file_t){ 0 };
  snprintf (folder->files[at].name, DOC_NAME_BYTES, "%s", name);
  return &folder->files[at];
}

doc_file_t *
doc_folder_put (doc_folder_t *folder, const char *name, kb_slice_t text)
{
  doc_file_t *file = doc_folder_find (folder, name);
  if (file == NULL)
    file = folder_insert (folder, name);
  kb_buf_clear (&file->text);
  kb_buf_append (&file->text, text.ptr, text.len_bytes);
  file_update_digests (file);
  return file;
}

void
doc_folder_remove (doc_folder_t *folder, const char *name)
{
  doc_file_t *file = doc_folder_find (folder, name);
  if (file == NULL)
    return;
  file_finish (file);
  uint32_t at = (uint32_t)(file - folder->files);
  memmove (file, file + 1, (folder->len - at - 1) * sizeof *file);
  folder->len--;
}

static bool
name_is_config (const char *name)
{
  size_t len = strlen (name);
  return name[0] != '.' && len > 5 && len < DOC_NAME_BYTES
         && strcmp (name + len - 5, ".json") == 0;
}

kb_status_t
doc_folder_read (const char *path, doc_folder_t *out, kb_error_t *error)
{
  *out = (doc_folder_t){ 0 };
  DIR *dir = opendir (path);
  if (dir == NULL)
    return kb_error_set (error, KB_ENOTFOUND, "%s: %s", path,
                         strerror (errno));
  kb_status_t status = KB_OK;
  struct dirent *entry;
  while (status == KB_OK && (entry = readdir (dir)) != NULL)
    {
      if (!name_is_config (entry->d_name))
        continue;
      char full_path[1024];
      snprintf (full_path, sizeof full_path, "%s/%s", path, entry->d_name);
      kb_buf_t text;
      kb_buf_init (&text);
      status = jsn_read_file (full_path, DOC_FILE_MAX_BYTES, &text, error);
      if (status == KB_OK)
        doc_folder_put (out, entry->d_name, kb_buf_slice (&text));
      kb_buf_finish (&text);
    }
  closedir (dir);
  if (status != KB_OK)
    doc_folder_finish (out);
  return status;
}

void
doc_head_finish (doc_head_t *head)
{
  doc_folder_finish (&head->folder);
}

static void
head_write_file (const doc_file_t *file, kb_buf_t *out)
{
  char text[2 * DOC_DIGEST_BYTES + 1];
  jsn_append_quoted (out, kb_slice_str (file->name));
  doc_digest_text (file->digest, text);
  kb_buf_printf (out, ":{\"digest\":\"%s\",\"chunks\":[", text);
  for (uint32_t i = 0; i < file->chunk_count; i++)
    {
      doc_digest_text (file->chunks[i], text);
      kb_buf_printf (out, "%s\"%s\"", i > 0 ? "," : "", text);
    }
  kb_buf_append_str (out, "]}");
}

void
doc_head_write (const doc_head_t *head, kb_buf_t *out)
{
  kb_buf_printf (out, "{\"revision\":%llu,\"changes\":[",
                 (unsigned long long)head->revision);
  for (uint32_t i = 0; i < head->change_count; i++)
    kb_buf_printf (out, "%s\"%016llx\"", i > 0 ? "," : "",
                   (unsigned long long)head->changes[i]);
  kb_buf_append_str (out, "],\"files\":{");
  for (uint32_t i = 0; i < head->folder.len; i++)
    {
      if (i > 0)
        kb_buf_append_str (out, ",");
      head_write_file (&head->folder.files[i], out);
    }
  kb_buf_append_str (out, "}}");
}

static kb_status_t
head_parse_file (const char *name, struct json_object *obj, doc_head_t *out)
{
  if (!name_is_config (name))
    return KB_EINVAL;
  doc_file_t *file = folder_insert (&out->folder, name);
  struct json_object *chunks = jsn_get (obj, "chunks");
  if (!doc_digest_parse (jsn_str (obj, "digest", ""), &file->digest)
      || !json_object_is_type (chunks, json_type_array))
    return KB_EINVAL;
  size_t count = json_object_array_length (chunks);
  file->chunks = kb_alloc (count * sizeof *file->chunks);
  for (size_t i = 0; i < count; i++)
    {
      const char *text
          = json_object_get_string (json_object_array_get_idx (chunks, i));
      if (text == NULL || !doc_digest_parse (text, &file->chunks[i]))
        return KB_EINVAL;
      file->chunk_count++;
    }
  return KB_OK;
}

static kb_status_t
head_parse_object (struct json_object *doc, doc_head_t *out)
{
  int64_t revision = jsn_int (doc, "revision", -1);
  struct json_object *changes = jsn_get (doc, "changes");
  struct json_object *files = jsn_get (doc, "files");
  if (revision < 0 || !json_object_is_type (changes, json_type_array)
      || !json_object_is_type (files, json_type_object))
    return KB_EINVAL;
  out->revision = (uint64_t)revision;
  size_t count = json_object_array_length (changes);
  for (size_t i = 0; i < count && i < DOC_CHANGES_KEPT; i++)
    {
      const char *text
          = json_object_get_string (json_object_array_get_idx (changes, i));
      out->changes[out->change_count++] = strtoull (text, NULL, 16);
    }
  json_object_object_foreach (files, name, file)
  {
    if (head_parse_file (name, file, out) != KB_OK)
      return KB_EINVAL;
  }
  return KB_OK;
}

kb_status_t
doc_head_parse (kb_slice_t text, doc_head_t *out, kb_error_t *error)
{
  *out = (doc_head_t){ 0 };
  struct json_object *doc;
  kb_status_t status = jsn_parse_text ("head", text, &doc, error);
  if (status != KB_OK)
    return status;
  status = head_parse_object (doc, out);
  json_object_put (doc);
  if (status == KB_OK)
    return KB_OK;
  doc_head_finish (out);
  return kb_error_set (error, status, "head: not a configuration head");
}

bool
doc_head_has_change (const doc_head_t *head, uint64_t change)
{
  for (uint32_t i = 0; i < head->change_count; i++)
    if (head->changes[i] == change)
      return true;
  return false;
}

/// State of a merge.
typedef struct
{
  struct json_object *merged;
  kb_map_t origins; ///< From the hash of section and item to the file name.
  doc_override_fn_t on_override;
  void *arg;
} merge_t;

static const char *const known_sections[]
    = { "services", "adapters", "workspaces", "rules" };

static bool
section_is_known (const char *name)
{
  for (size_t i = 0; i < sizeof known_sections / sizeof known_sections[0]; i++)
    if (strcmp (known_sections[i], name) == 0)
      return true;
  return false;
}

/// @param value  NULL removes the item.
static void
merge_item (merge_t *m, struct json_object *merged_items, const char *section,
            const char *item, struct json_object *value, const char *file)
{
  uint64_t key
      = kb_hash (item, strlen (item), kb_hash (section, strlen (section), 0))
        | 1;
  const char *previous_file = kb_map_get (&m->origins, key);
  if (previous_file != NULL && m->on_override != NULL)
    m->on_override (m->arg, section, item, previous_file, file);
  kb_map_put (&m->origins, key, (void *)file);
  if (value == NULL)
    json_object_object_del (merged_items, item);
  else
    json_object_object_add (merged_items, item, json_object_get (value));
}

static kb_status_t
merge_file (merge_t *m, const doc_file_t *file, kb_error_t *error)
{
  struct json_object *doc;
  kb_status_t status
      = jsn_parse_text (file->name, kb_buf_slice (&file->text), &doc, error);
  if (status != KB_OK)
    return status;
  if (!json_object_is_type (doc, json_type_object))
    {
      json_object_put (doc);
      return kb_error_set (error, KB_EINVAL, "%s:1: must be an object",
                           file->name);
    }
  json_object_object_foreach (doc, section, items)
  {
    if (!section_is_known (section))
      status = kb_error_set (error, KB_EINVAL,
                             "%s: unknown section \"%s\"; known are services, "
                             "adapters, workspaces and rules",
                             file->name, section);
    else if (!json_object_is_type (items, json_type_object))
      status = kb_error_set (error, KB_EINVAL, "%s: \"%s\" must be an object",
                             file->name, section);
    if (status != KB_OK)
      break;
    struct json_object *merged_items = jsn_get (m->merged, section);
    json_object_object_foreach (items, item, value)
        merge_item (m, merged_items, section, item, value, file->name);
  }
  json_object_put (doc);
  return status;
}

kb_status_t
doc_build_config (const doc_folder_t *folder, uint64_t revision,
                  doc_override_fn_t on_override, void *arg, cfg_config_t *out,
                  kb_error_t *error)
{
  merge_t m = { .merged = json_object_new_object (),
                .on_override = on_override,
                .arg = arg };
  for (size_t i = 0; i < sizeof known_sections / sizeof known_sections[0]; i++)
    json_object_object_add (m.merged, known_sections[i],
                            json_object_new_object ());
  kb_status_t status = KB_OK;
  for (uint32_t i = 0; i < folder->len && status == KB_OK; i++)
    status = merge_file (&m, &folder->files[i], error);
  if (status == KB_OK)
    status = cfgb_build (m.merged, &m.origins, revision, out, error);
  kb_map_finish (&m.origins);
  json_object_put (m.merged);
  return status;
}
