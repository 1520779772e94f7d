/// @file reader.h
/// Interface through which a sidecar reads the deployment's store for several
/// gateways: the changes after a revision, as bytes that only the gateways'
/// source interprets.
#ifndef KB_RELAY_READER_H
#define KB_RELAY_READER_H

#include "coordination/share.h"
#include "state/status.h"

typedef struct rdr_reader rdr_reader_t;

typedef struct
{
  /// KB_OK; KB_ENOTFOUND: the store no longer has the history after the
  /// revision; any other value: no answer.
  kb_status_t status;
  shr_answer_t answer; ///< Changes are valid during the callback.
} rdr_result_t;

typedef void (*rdr_done_t) (void *arg, const rdr_result_t *result);

typedef struct
{
  /// Read the changes after a revision; one read at a time.
  void (*read) (rdr_reader_t *reader, uint64_t after, rdr_done_t done,
                void *arg);
} rdr_vtable_t;

struct rdr_reader
{
  const rdr_vtable_t *vtable;
};

#endif
