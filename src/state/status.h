/// @file status.h
/// Status codes shared by all modules. A function that can fail returns a
/// kb_status_t and, where the reason is shown to a person, fills a kb_error_t.
#ifndef KB_STATE_STATUS_H
#define KB_STATE_STATUS_H

#include <stdarg.h>
#include <stddef.h>

typedef enum
{
  KB_OK = 0,
  KB_EINVAL,    ///< The input is malformed or refers to an unknown item.
  KB_ENOTFOUND, ///< The named item does not exist.
  KB_ECONFLICT, ///< Another writer changed the same item first.
  KB_ELIMIT,    ///< A size, count or rate limit was reached.
  KB_EUNAVAIL,  ///< A peer or service could not be reached; nothing was done.
  KB_EUNKNOWN,  ///< The effect of the operation is not known.
  KB_ESYS,      ///< A system call failed.
} kb_status_t;

enum
{
  KB_ERROR_MESSAGE_BYTES = 256
};

/// A status with a message that explains it.
typedef struct
{
  kb_status_t status;
  char message[KB_ERROR_MESSAGE_BYTES];
} kb_error_t;

/// Record a failure.
/// @param error  Receives the status and the message; may be NULL.
/// @return       `status`, so that a caller can return it directly.
kb_status_t kb_error_set (kb_error_t *error, kb_status_t status,
                          const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/// @return  A short constant name for the status.
const char *kb_status_name (kb_status_t status);

#endif
