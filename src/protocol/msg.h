/// @file msg.h
/// MessagePack codec of the inner protocol. A message is one array:
/// version, type, then the fields in the order of the layout table in msg.c.
/// A reader accepts more fields than it knows, so a field can be appended
/// without a new version.
#ifndef KB_PROTOCOL_MSG_H
#define KB_PROTOCOL_MSG_H

#include "protocol/msg_defs.h"
#include "state/status.h"

enum
{
  MSG_VERSION = 1,
  MSG_MAX_BYTES = 68 << 20
};

/// Append the encoded message to `out`.
void msg_encode (const msg_t *msg, kb_buf_t *out);
/// Decode one message; its slices point into `bytes`.
/// @return  KB_EINVAL for truncated or malformed input or an unknown type,
///          KB_ELIMIT for a newer version.
kb_status_t msg_decode (kb_slice_t bytes, msg_t *out);
/// @return  The constant name of the type, "?" for an unknown one.
const char *msg_type_name (msg_type_t type);

#endif
