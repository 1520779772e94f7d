/// @file presence.h
/// Whether the peer of a TCP connection is still there, by what the kernel has
/// received so far. Unlike the end of a read, the answer needs no turn of the
/// event loop and is not hidden by bytes that are not read yet.
#ifndef KB_TRANSPORT_PRESENCE_H
#define KB_TRANSPORT_PRESENCE_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  /// It has closed the connection or its sending side, or has reset it. A
  /// close of one side and of both look the same.
  bool has_left;
  /// Time since its last packet, which was the close unless it answered
  /// keep-alive probes after that; -1: not known.
  int64_t closed_ms;
} prs_presence_t;

/// @param fd  Descriptor of the connection; negative: it is closed here.
prs_presence_t prs_query (int fd);

#endif
