/// @file ending.h
/// The ways in which an attempt of a request at a target ends, and what each
/// of them proves. A request that ends its target has to be found by its
/// attempts there, whatever it received before; one that merely failed must
/// not be taken for one. No I/O.
#ifndef KB_COORDINATION_ENDING_H
#define KB_COORDINATION_ENDING_H

#include <stdbool.h>

enum
{
  /// How long after the end of an answer that ended with its connection its
  /// target is asked whether it still listens: a process that ends closes its
  /// sockets one after the other.
  END_SETTLE_MS = 5,
};

/// How an attempt ended.
typedef enum
{
  END_NOT_SENT,     ///< No byte of the request was sent.
  END_REFUSED,      ///< The target says that it did not run the request.
  END_MISDIRECTED,  ///< The same, and it is another incarnation.
  END_ANSWERED,     ///< A whole answer with a length or chunks.
  END_CLOSED,       ///< An answer that ended with its connection.
  END_FAILED,       ///< A whole answer with a server error.
  END_UNSOUND,      ///< An answer that is not the target's own, by its head.
  END_MALFORMED,    ///< Bytes that are no HTTP.
  END_OVERSIZED,    ///< An answer or event above the limit.
  END_WRONG_ANSWER, ///< A whole answer of another model or version, or one
                    ///< that does not continue the stream.
  END_SECOND,       ///< Another answer begins within the answer's body.
  END_DISORDERED,   ///< Events, or an end, that break the stream's order.
  END_CUT,          ///< Orderly closed before the answer was complete.
  END_RESET,        ///< The connection broke.
  END_SILENT,       ///< No byte in time.
  END_EXPIRED,      ///< The deadline or the route's timeout passed.
  END_CALLER_LEFT,  ///< The caller closed its connection or cancelled.
  END_REPLACED,     ///< Another incarnation is known to live in its place.
  END_COUNT,
} end_kind_t;

/// What an end proves, as far as the target's process may have ended with it.
typedef enum
{
  END_PROVES_NOTHING, ///< The target has not begun the request.
  /// The target lived on and has done the request.
  END_PROVES_SERVED,
  /// The same once the target is known to have lived on; until then the
  /// request is a suspect.
  END_SERVED_IF_ALIVE,
  /// The request is a suspect until the target is known to have lived on,
  /// which does not prove that it was served.
  END_SUSPECT_UNLESS_ALIVE,
  /// The target may go on with the request or may have ended with it, so a
  /// sign of life soon after it clears nothing.
  END_SUSPECT,
} end_proof_t;

typedef struct
{
  const char *name; ///< For logs.
  end_proof_t proof;
  bool may_have_run; ///< The request may have been executed.
} end_row_t;

/// @return  The row of an end, constant.
const end_row_t *end_row (end_kind_t kind);
/// @return  Name of a proof, for logs.
const char *end_proof_name (end_proof_t proof);

#endif
