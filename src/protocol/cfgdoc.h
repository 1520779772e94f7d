/// @file cfgdoc.h
/// The configuration as documents: a folder of files, its merge, and its form
/// in the key-value service. Files are stored as text, so that comments
/// survive, and split at content-defined boundaries, so that a small edit
/// changes one chunk. The head lists the digest of every chunk.
#ifndef KB_PROTOCOL_CFGDOC_H
#define KB_PROTOCOL_CFGDOC_H

#include "protocol/json.h"
#include "state/config.h"

enum
{
  DOC_DIGEST_BYTES = 16,
  DOC_CHUNK_MAX_BYTES = 65536,
  DOC_CHUNK_MIN_BYTES = 1024,
  DOC_CHANGES_KEPT = 32, ///< Change ids kept in the head.
  DOC_NAME_BYTES = 128,
};

typedef struct
{
  uint8_t bytes[DOC_DIGEST_BYTES];
} doc_digest_t;

/// One file of the folder.
typedef struct
{
  char name[DOC_NAME_BYTES];
  kb_buf_t text;
  doc_digest_t digest;
  doc_digest_t *chunks;
  uint32_t chunk_count;
} doc_file_t;

/// All files, sorted by name.
typedef struct
{
  doc_file_t *files;
  uint32_t len;
} doc_folder_t;

/// The single value that is updated by compare-and-swap.
typedef struct
{
  uint64_t revision;
  doc_folder_t folder; ///< Names and digests; the texts may be empty.
  /// Ids of the last changes, newest first. They show whether a swap whose
  /// answer was lost has taken effect.
  uint64_t changes[DOC_CHANGES_KEPT];
  uint32_t change_count;
} doc_head_t;

void doc_folder_finish (doc_folder_t *folder);
/// @return  The file, or NULL.
doc_file_t *doc_folder_find (const doc_folder_t *folder, const char *name);
/// Add or replace a file; the order is preserved.
doc_file_t *doc_folder_put (doc_folder_t *folder, const char *name,
                            kb_slice_t text);
void doc_folder_remove (doc_folder_t *folder, const char *name);
/// Read every *.json file of a directory, except hidden ones.
/// @return  KB_ENOTFOUND or KB_ELIMIT, with `out` empty.
kb_status_t doc_folder_read (const char *path, doc_folder_t *out,
                             kb_error_t *error);
doc_digest_t doc_digest (kb_slice_t bytes);
bool doc_digest_equal (doc_digest_t a, doc_digest_t b);
/// Write the digest as hex digits.
void doc_digest_text (doc_digest_t digest, char out[2 * DOC_DIGEST_BYTES + 1]);
/// @return  False if the text is not a digest.
bool doc_digest_parse (const char *text, doc_digest_t *out);
/// @return  Length of the first chunk of a text, in bytes.
size_t doc_chunk_len (kb_slice_t text);

void doc_head_finish (doc_head_t *head);
/// Append the head as JSON.
void doc_head_write (const doc_head_t *head, kb_buf_t *out);
/// @return  KB_EINVAL if the text is not a head; `out` then has no files.
kb_status_t doc_head_parse (kb_slice_t text, doc_head_t *out,
                            kb_error_t *error);
/// @return  Whether the change is among those kept.
bool doc_head_has_change (const doc_head_t *head, uint64_t change);

/// Called for an item that a later file replaces.
typedef void (*doc_override_fn_t) (void *arg, const char *section,
                                   const char *item, const char *from_file,
                                   const char *by_file);
/// Merge the files in order of their names, check them and build the
/// configuration.
/// @param on_override  Called for each override; may be NULL.
/// @return  KB_EINVAL if a file or the merged configuration is invalid.
kb_status_t doc_build_config (const doc_folder_t *folder, uint64_t revision,
                              doc_override_fn_t on_override, void *arg,
                              cfg_config_t *out, kb_error_t *error);

#endif
