/// @file cfgdoc.h
/// The configuration as documents: the folder of files, its merge, and the
/// form in which it is kept in the key-value service. Files are kept as text,
/// cut into chunks at content-defined places, so that comments survive and a
/// small edit changes one chunk. The head names every chunk by its digest.
#ifndef KB_PROTOCOL_CFGDOC_H
#define KB_PROTOCOL_CFGDOC_H

#include "protocol/json.h"
#include "state/config.h"

enum
{
  DOC_DIGEST_BYTES = 16,
  DOC_CHUNK_MAX_BYTES = 65536,
  DOC_CHUNK_MIN_BYTES = 1024,
  DOC_CHANGES_KEPT = 32,
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

/// All files, ordered by name.
typedef struct
{
  doc_file_t *files;
  uint32_t len;
} doc_folder_t;

/// The one value that is swapped by compare-and-swap.
typedef struct
{
  uint64_t revision;
  doc_folder_t folder; ///< Names, digests and chunks; texts may be empty.
  /// Ids of the last changes, newest first: a swap whose answer was lost is
  /// recognised by its id.
  uint64_t changes[DOC_CHANGES_KEPT];
  uint32_t change_count;
} doc_head_t;

void doc_folder_finish (doc_folder_t *folder);
doc_file_t *doc_folder_find (const doc_folder_t *folder, const char *name);
/// Add or replace a file; keeps the order.
doc_file_t *doc_folder_put (doc_folder_t *folder, const char *name,
                            kb_slice_t text);
void doc_folder_remove (doc_folder_t *folder, const char *name);
/// Read every *.json file of a directory.
kb_status_t doc_folder_read (const char *path, doc_folder_t *out,
                             kb_error_t *error);
doc_digest_t doc_digest (kb_slice_t bytes);
bool doc_digest_equal (doc_digest_t a, doc_digest_t b);
void doc_digest_text (doc_digest_t digest, char out[2 * DOC_DIGEST_BYTES + 1]);
bool doc_digest_parse (const char *text, doc_digest_t *out);
/// Length of the first chunk of a text.
size_t doc_chunk_len (kb_slice_t text);

void doc_head_finish (doc_head_t *head);
/// Append the head as JSON.
void doc_head_write (const doc_head_t *head, kb_buf_t *out);
kb_status_t doc_head_parse (kb_slice_t text, doc_head_t *out,
                            kb_error_t *error);
bool doc_head_has_change (const doc_head_t *head, uint64_t change);

/// One item that a later file replaced.
typedef void (*doc_override_fn_t) (void *arg, const char *section,
                                   const char *item, const char *from_file,
                                   const char *by_file);
/// Merge the files by name, check everything and build the configuration.
/// @param on_override  Told of each override; may be NULL.
kb_status_t doc_build_config (const doc_folder_t *folder, uint64_t revision,
                              doc_override_fn_t on_override, void *arg,
                              cfg_config_t *out, kb_error_t *error);

#endif
