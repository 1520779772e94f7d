/// @file cli_config.c
/// Subcommands for the configuration folder: check, apply, pull, diff.
///
/// A folder stores its base: the digest of each file as it was when the folder
/// and the store last agreed. A file changed since then in both the folder and
/// the store is a conflict; a file changed only in the store keeps the store's
/// version. So two operators who edit at the same time cannot silently undo
/// each other's changes.
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "cli/cli_defs.h"

enum
{
  MAX_APPLY_ATTEMPTS = 20,
  APPLY_RETRY_DELAY_MS = 250,
};

static const char head_key[] = "kb/w/head";
static const char base_name[] = ".knapweedbay-base";

/// The head read from the store, with its revision in the key-value service.
typedef struct
{
  doc_head_t head;
  uint64_t mod_revision;
} stored_head_t;

static void
print_override (void *arg, const char *section, const char *item,
                const char *overridden_file, const char *overriding_file)
{
  uint32_t *count = arg;
  ++*count;
  printf ("%s.%s: %s overrides %s\n", section, item, overriding_file,
          overridden_file);
}

static int
print_error (const kb_error_t *error, int code)
{
  fprintf (stderr, "knapweedbay: %s\n", error->message);
  return code;
}

static int
read_folder (cli_t *cli, doc_folder_t *out)
{
  kb_error_t error = { 0 };
  if (doc_folder_read (cli->folder, out, &error) != KB_OK)
    return print_error (&error, CLI_BAD_INPUT);
  return CLI_OK;
}

static int
check_folder (const doc_folder_t *folder, bool is_quiet)
{
  kb_error_t error = { 0 };
  cfg_config_t config;
  uint32_t overrides = 0;
  if (doc_build_config (folder, 0, is_quiet ? NULL : print_override,
                        &overrides, &config, &error)
      != KB_OK)
    return print_error (&error, CLI_BAD_INPUT);
  if (!is_quiet)
    printf ("ok: %u files, %u services, %u adapters, %u workspaces, %u rules, "
            "%u overrides\n",
            folder->len, config.service_count, config.adapter_count,
            config.workspace_count, config.rule_count, overrides);
  cfg_config_finish (&config);
  return CLI_OK;
}

int
cli_check (cli_t *cli)
{
  doc_folder_t folder;
  int code = read_folder (cli, &folder);
  if (code != CLI_OK)
    return code;
  code = check_folder (&folder, false);
  doc_folder_finish (&folder);
  return code;
}

static int
read_head (cli_t *cli, stored_head_t *out)
{
  *out = (stored_head_t){ 0 };
  cli_value_t value = cli_kv_get (cli, head_key);
  kb_error_t error = { 0 };
  int code = CLI_OK;
  if (value.status != KB_OK)
    {
      fprintf (stderr, "knapweedbay: the key-value service did not answer\n");
      code = CLI_UNAVAILABLE;
    }
  else if (value.exists
           && doc_head_parse (kb_buf_slice (&value.value), &out->head, &error)
                  != KB_OK)
    code = print_error (&error, CLI_BAD_INPUT);
  out->mod_revision = value.mod_revision;
  kb_buf_finish (&value.value);
  return code;
}

static void
chunk_key (const doc_digest_t *digest, char out[KVC_KEY_BYTES])
{
  char text[2 * DOC_DIGEST_BYTES + 1];
  doc_digest_text (*digest, text);
  snprintf (out, KVC_KEY_BYTES, "kb/c/%s", text);
}

/// Fetch the text of a stored file.
static int
fetch_file (cli_t *cli, doc_file_t *file)
{
  kb_buf_clear (&file->text);
  for (uint32_t i = 0; i < file->chunk_count; i++)
    {
      char key[KVC_KEY_BYTES];
      chunk_key (&file->chunks[i], key);
      cli_value_t value = cli_kv_get (cli, key);
      if (value.exists)
        kb_buf_append (&file->text, value.value.ptr, value.value.len_bytes);
      kb_buf_finish (&value.value);
      if (value.status != KB_OK || !value.exists)
        {
          fprintf (stderr, "knapweedbay: %s: cannot read chunk %u\n",
                   file->name, i);
          return CLI_UNAVAILABLE;
        }
    }
  return CLI_OK;
}

static void
base_path (const cli_t *cli, char *out, size_t out_bytes)
{
  snprintf (out, out_bytes, "%s/%s", cli->folder, base_name);
}

/// @return  The base of the folder; empty when there is no valid base file.
static doc_head_t
read_base (const cli_t *cli)
{
  char path[600];
  base_path (cli, path, sizeof path);
  doc_head_t base = { 0 };
  kb_buf_t text = { 0 };
  if (jsn_read_file (path, 16 << 20, &text, NULL) == KB_OK
      && doc_head_parse (kb_buf_slice (&text), &base, NULL) != KB_OK)
    base = (doc_head_t){ 0 };
  kb_buf_finish (&text);
  return base;
}

static kb_status_t
write_file (const char *path, kb_slice_t text)
{
  char temp[700];
  snprintf (temp, sizeof temp, "%s.new", path);
  FILE *file = fopen (temp, "wb");
  if (file == NULL)
    return KB_ESYS;
  bool is_written
      = fwrite (text.ptr, 1, text.len_bytes, file) == text.len_bytes;
  is_written &= fclose (file) == 0;
  if (!is_written || rename (temp, path) != 0)
    return KB_ESYS;
  return KB_OK;
}

static int
write_base (const cli_t *cli, const doc_head_t *base)
{
  char path[600];
  base_path (cli, path, sizeof path);
  kb_buf_t text = { 0 };
  doc_head_write (base, &text);
  kb_status_t status = write_file (path, kb_buf_slice (&text));
  kb_buf_finish (&text);
  if (status == KB_OK)
    return CLI_OK;
  fprintf (stderr, "knapweedbay: %s: cannot write the file\n", path);
  return CLI_BAD_INPUT;
}

static bool
is_same_file (const doc_file_t *a, const doc_file_t *b)
{
  if (a == NULL || b == NULL)
    return a == b;
  return doc_digest_equal (a->digest, b->digest);
}

/// A file in the folder, the base and the store; NULL where it is absent.
typedef struct
{
  const doc_file_t *local;
  const doc_file_t *base;
  const doc_file_t *stored;
} file_versions_t;

static file_versions_t
find_file_versions (const char *name, const doc_folder_t *local,
                    const doc_head_t *base, const doc_head_t *stored)
{
  return (file_versions_t){ doc_folder_find (local, name),
                            doc_folder_find (&base->folder, name),
                            doc_folder_find (&stored->folder, name) };
}

static bool
has_conflict (const file_versions_t *s)
{
  return !is_same_file (s->local, s->base)
         && !is_same_file (s->stored, s->base)
         && !is_same_file (s->local, s->stored);
}

/// Add the names of all files of a folder to `names`.
static void
collect_names (const doc_folder_t *folder, doc_folder_t *names)
{
  for (uint32_t i = 0; i < folder->len; i++)
    if (doc_folder_find (names, folder->files[i].name) == NULL)
      doc_folder_put (names, folder->files[i].name, (kb_slice_t){ "", 0 });
}

static void
collect_all_names (const doc_folder_t *local, const doc_head_t *base,
                   const doc_head_t *stored, doc_folder_t *names)
{
  *names = (doc_folder_t){ 0 };
  collect_names (local, names);
  collect_names (&base->folder, names);
  collect_names (&stored->folder, names);
}

/// Merge the folder with the changes of other operators in the store.
/// @return  CLI_CONFLICT when a file changed in both; all such files are
///          reported.
static int
merge_with_store (cli_t *cli, const doc_folder_t *local,
                  const doc_head_t *base, stored_head_t *stored,
                  doc_folder_t *out)
{
  *out = (doc_folder_t){ 0 };
  doc_folder_t names;
  collect_all_names (local, base, &stored->head, &names);
  int code = CLI_OK;
  for (uint32_t i = 0; i < names.len && code != CLI_UNAVAILABLE; i++)
    {
      const char *name = names.files[i].name;
      file_versions_t s
          = find_file_versions (name, local, base, &stored->head);
      if (has_conflict (&s))
        {
          fprintf (stderr,
                   "knapweedbay: conflict: %s was %s by another operator "
                   "since revision %" PRIu64 "; pull, merge, apply again\n",
                   name, s.stored == NULL ? "removed" : "changed",
                   base->revision);
          code = CLI_CONFLICT;
          continue;
        }
      bool is_local_change = !is_same_file (s.local, s.base);
      if (is_local_change && s.local != NULL)
        doc_folder_put (out, name, kb_buf_slice (&s.local->text));
      else if (!is_local_change && s.stored != NULL)
        {
          if (is_same_file (s.local, s.stored))
            doc_folder_put (out, name, kb_buf_slice (&s.local->text));
          else
            {
              int result = fetch_file (cli, (doc_file_t *)s.stored);
              if (result != CLI_OK)
                code = result;
              else
                doc_folder_put (out, name, kb_buf_slice (&s.stored->text));
            }
        }
    }
  doc_folder_finish (&names);
  if (code != CLI_OK)
    doc_folder_finish (out);
  return code;
}

static bool
is_same_folder (const doc_folder_t *a, const doc_folder_t *b)
{
  if (a->len != b->len)
    return false;
  for (uint32_t i = 0; i < a->len; i++)
    if (!is_same_file (&a->files[i], doc_folder_find (b, a->files[i].name)))
      return false;
  return true;
}

static bool
head_has_chunk (const doc_head_t *head, const doc_digest_t *digest)
{
  for (uint32_t i = 0; i < head->folder.len; i++)
    for (uint32_t k = 0; k < head->folder.files[i].chunk_count; k++)
      if (doc_digest_equal (head->folder.files[i].chunks[k], *digest))
        return true;
  return false;
}

/// Write the chunks that the store does not have. Their keys are digests of
/// their content, so writing one twice is harmless.
static kb_status_t
put_chunks (cli_t *cli, const doc_folder_t *folder, const doc_head_t *stored)
{
  for (uint32_t i = 0; i < folder->len; i++)
    {
      kb_slice_t rest = kb_buf_slice (&folder->files[i].text);
      while (rest.len_bytes > 0)
        {
          size_t len = doc_chunk_len (rest);
          kb_slice_t chunk = { rest.ptr, (uint32_t)len };
          doc_digest_t digest = doc_digest (chunk);
          char key[KVC_KEY_BYTES];
          chunk_key (&digest, key);
          if (!head_has_chunk (stored, &digest)
              && cli_kv_put (cli, key, chunk) != KB_OK)
            return KB_EUNAVAIL;
          rest.ptr += len;
          rest.len_bytes -= (uint32_t)len;
        }
    }
  return KB_OK;
}

static kb_status_t
swap_head (cli_t *cli, const stored_head_t *stored, doc_folder_t *merged,
           uint64_t change)
{
  doc_head_t next = { .revision = stored->head.revision + 1,
                      .folder = *merged,
                      .changes = { change },
                      .change_count = 1 };
  for (uint32_t i = 0;
       i < stored->head.change_count && next.change_count < DOC_CHANGES_KEPT;
       i++)
    next.changes[next.change_count++] = stored->head.changes[i];
  kb_buf_t text = { 0 };
  doc_head_write (&next, &text);
  kb_status_t status
      = cli_kv_cas (cli, head_key, stored->mod_revision, kb_buf_slice (&text));
  kb_buf_finish (&text);
  return status;
}

/// After an apply the base is what folder and store agree on. A file that
/// differs in the store keeps its previous base, so that the next pull fetches
/// it.
static int
update_base (cli_t *cli, const doc_folder_t *local, const doc_head_t *base,
             const doc_folder_t *merged, uint64_t revision)
{
  doc_head_t next = { .revision = revision };
  for (uint32_t i = 0; i < local->len; i++)
    {
      const doc_file_t *stored_file
          = doc_folder_find (merged, local->files[i].name);
      if (is_same_file (&local->files[i], stored_file))
        doc_folder_put (&next.folder, local->files[i].name,
                        kb_buf_slice (&local->files[i].text));
      else
        {
          const doc_file_t *previous
              = doc_folder_find (&base->folder, local->files[i].name);
          if (previous != NULL)
            {
              doc_file_t *base_entry
                  = doc_folder_put (&next.folder, previous->name,
                                    kb_buf_slice (&local->files[i].text));
              base_entry->digest = previous->digest;
            }
        }
    }
  int code = write_base (cli, &next);
  doc_head_finish (&next);
  return code;
}

static void
report_applied (const cli_t *cli, uint64_t revision, bool is_change)
{
  if (cli->is_json)
    printf ("{\"revision\":%" PRIu64 ",\"changed\":%s}\n", revision,
            is_change ? "true" : "false");
  else if (is_change)
    printf ("applied as revision %" PRIu64 "\n", revision);
  else
    printf ("nothing to apply; revision %" PRIu64 " is in force\n", revision);
}

/// State of one apply over its attempts.
typedef struct
{
  doc_folder_t local;
  doc_head_t base;
  uint64_t change; ///< Id that identifies this apply in the head.
  bool may_have_swapped;
  bool is_finished;
} apply_t;

static int
apply_once (cli_t *cli, apply_t *a)
{
  stored_head_t stored;
  int code = read_head (cli, &stored);
  if (code != CLI_OK)
    {
      a->is_finished = code == CLI_BAD_INPUT;
      doc_head_finish (&stored.head);
      return a->may_have_swapped ? CLI_UNKNOWN : code;
    }
  // An earlier swap took effect, but its answer was lost.
  if (doc_head_has_change (&stored.head, a->change))
    {
      a->is_finished = true;
      report_applied (cli, stored.head.revision, true);
      code = update_base (cli, &a->local, &a->base, &stored.head.folder,
                          stored.head.revision);
      doc_head_finish (&stored.head);
      return code;
    }
  if (stored.head.revision < a->base.revision)
    {
      // When the store has lost its content, every file seems to have been
      // removed by others, and a merge would apply an empty configuration.
      fprintf (stderr,
               "knapweedbay: the store is at revision %" PRIu64
               ", older than this folder's base %" PRIu64
               "; remove %s to apply the folder anew\n",
               stored.head.revision, a->base.revision, base_name);
      a->is_finished = true;
      doc_head_finish (&stored.head);
      return CLI_CONFLICT;
    }
  doc_folder_t merged;
  code = merge_with_store (cli, &a->local, &a->base, &stored, &merged);
  if (code != CLI_OK)
    {
      a->is_finished = code == CLI_CONFLICT;
      doc_head_finish (&stored.head);
      return code;
    }
  code = check_folder (&merged, true);
  kb_status_t status = KB_OK;
  if (code != CLI_OK)
    a->is_finished = true;
  else if (is_same_folder (&merged, &stored.head.folder))
    {
      a->is_finished = true;
      report_applied (cli, stored.head.revision, false);
      code = update_base (cli, &a->local, &a->base, &merged,
                          stored.head.revision);
    }
  else
    {
      status = put_chunks (cli, &merged, &stored.head);
      if (status == KB_OK)
        {
          status = swap_head (cli, &stored, &merged, a->change);
          a->may_have_swapped |= status == KB_OK || status == KB_EUNKNOWN;
        }
      code = a->may_have_swapped ? CLI_UNKNOWN : CLI_UNAVAILABLE;
      if (status == KB_OK)
        {
          a->is_finished = true;
          report_applied (cli, stored.head.revision + 1, true);
          code = update_base (cli, &a->local, &a->base, &merged,
                              stored.head.revision + 1);
        }
    }
  doc_folder_finish (&merged);
  doc_head_finish (&stored.head);
  return code;
}

int
cli_apply (cli_t *cli)
{
  apply_t a = { 0 };
  int code = read_folder (cli, &a.local);
  if (code != CLI_OK)
    return code;
  code = check_folder (&a.local, true);
  if (code == CLI_OK)
    {
      a.base = read_base (cli);
      uv_random (NULL, NULL, &a.change, sizeof a.change, 0, NULL);
      for (int i = 0; i < MAX_APPLY_ATTEMPTS && !a.is_finished; i++)
        {
          if (i > 0)
            cli_sleep_ms (APPLY_RETRY_DELAY_MS);
          code = apply_once (cli, &a);
        }
    }
  if (code == CLI_UNKNOWN)
    fprintf (stderr, "knapweedbay: the change may have taken effect; run "
                     "apply again, which is safe\n");
  doc_head_finish (&a.base);
  doc_folder_finish (&a.local);
  return code;
}

static int
pull_file (cli_t *cli, const char *name, const file_versions_t *s,
           doc_head_t *new_base)
{
  char path[700];
  snprintf (path, sizeof path, "%s/%s", cli->folder, name);
  if (has_conflict (s))
    {
      fprintf (stderr,
               "knapweedbay: conflict: %s was changed in the folder and in "
               "the store; it was not updated\n",
               name);
      if (s->base != NULL)
        {
          doc_file_t *base_entry = doc_folder_put (&new_base->folder, name,
                                                   (kb_slice_t){ "", 0 });
          base_entry->digest = s->base->digest;
        }
      return CLI_CONFLICT;
    }
  bool is_local_change = !is_same_file (s->local, s->base);
  if (s->stored != NULL)
    {
      int code = fetch_file (cli, (doc_file_t *)s->stored);
      if (code != CLI_OK)
        return code;
      doc_folder_put (&new_base->folder, name,
                      kb_buf_slice (&s->stored->text));
      if (!is_local_change && !is_same_file (s->local, s->stored))
        {
          printf ("%s: updated\n", name);
          if (write_file (path, kb_buf_slice (&s->stored->text)) != KB_OK)
            return CLI_BAD_INPUT;
        }
    }
  else if (!is_local_change && s->local != NULL)
    {
      printf ("%s: removed\n", name);
      unlink (path);
    }
  return CLI_OK;
}

int
cli_pull (cli_t *cli)
{
  doc_folder_t local;
  int code = read_folder (cli, &local);
  if (code != CLI_OK)
    return code;
  stored_head_t stored;
  code = read_head (cli, &stored);
  doc_head_t base = read_base (cli);
  doc_head_t new_base = { .revision = stored.head.revision };
  if (code == CLI_OK)
    {
      doc_folder_t names;
      collect_all_names (&local, &base, &stored.head, &names);
      for (uint32_t i = 0; i < names.len; i++)
        {
          file_versions_t s = find_file_versions (names.files[i].name, &local,
                                                  &base, &stored.head);
          int result = pull_file (cli, names.files[i].name, &s, &new_base);
          if (result != CLI_OK)
            code = result;
        }
      doc_folder_finish (&names);
      if (code != CLI_UNAVAILABLE)
        write_base (cli, &new_base);
      printf ("revision %" PRIu64 "\n", stored.head.revision);
    }
  doc_head_finish (&new_base);
  doc_head_finish (&base);
  doc_head_finish (&stored.head);
  doc_folder_finish (&local);
  return code;
}

/// Print the lines of `from` that `other` does not have.
static void
diff_lines (const char *prefix, kb_slice_t from, kb_slice_t other)
{
  kb_map_t lines = { 0 };
  static char present;
  for (int pass = 0; pass < 2; pass++)
    {
      kb_slice_t rest = pass == 0 ? other : from;
      while (rest.len_bytes > 0)
        {
          const char *eol = memchr (rest.ptr, '\n', rest.len_bytes);
          uint32_t len
              = eol == NULL ? rest.len_bytes : (uint32_t)(eol - rest.ptr);
          uint64_t key = kb_hash (rest.ptr, len, 0) | 1;
          if (pass == 0)
            kb_map_put (&lines, key, &present);
          else if (len > 0 && kb_map_get (&lines, key) == NULL)
            printf ("%s %.*s\n", prefix, (int)len, rest.ptr);
          uint32_t step = eol == NULL ? len : len + 1;
          rest.ptr += step;
          rest.len_bytes -= step;
        }
    }
  kb_map_finish (&lines);
}

int
cli_diff (cli_t *cli)
{
  doc_folder_t local;
  int code = read_folder (cli, &local);
  if (code != CLI_OK)
    return code;
  stored_head_t stored;
  code = read_head (cli, &stored);
  doc_head_t empty_base = { 0 };
  doc_folder_t names = { 0 };
  if (code == CLI_OK)
    collect_all_names (&local, &empty_base, &stored.head, &names);
  bool has_difference = false;
  for (uint32_t i = 0; i < names.len && code == CLI_OK; i++)
    {
      file_versions_t s = find_file_versions (names.files[i].name, &local,
                                              &empty_base, &stored.head);
      if (is_same_file (s.local, s.stored))
        continue;
      has_difference = true;
      printf ("%s: %s\n", names.files[i].name,
              s.stored == NULL  ? "only in the folder"
              : s.local == NULL ? "only in the store"
                                : "differs");
      kb_slice_t empty_text = { "", 0 };
      if (s.stored != NULL)
        code = fetch_file (cli, (doc_file_t *)s.stored);
      kb_slice_t local_text
          = s.local ? kb_buf_slice (&s.local->text) : empty_text;
      kb_slice_t stored_text
          = s.stored ? kb_buf_slice (&s.stored->text) : empty_text;
      diff_lines ("-", stored_text, local_text);
      diff_lines ("+", local_text, stored_text);
    }
  if (code == CLI_OK && has_difference)
    code = CLI_CONFLICT;
  doc_folder_finish (&names);
  doc_head_finish (&stored.head);
  doc_folder_finish (&local);
  return code;
}
