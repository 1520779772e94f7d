/// @file bulk.h
/// Shares an event loop between the connections that it reads. A connection
/// that has brought much in a short time waits until the loop has nothing else
/// to do, in turn with others like it, so that peers which send at full speed
/// delay neither other connections nor the acceptance of new ones.
#ifndef KB_TRANSPORT_BULK_H
#define KB_TRANSPORT_BULK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

enum
{
  /// Bytes that a connection may bring in each window without waiting.
  BLK_SHARE_BYTES = 65536,
  BLK_WINDOW_MS = 100,
  /// One connection is read in this time even if the loop is never idle.
  BLK_MAX_WAIT_MS = 10,
};

typedef struct blk_queue blk_queue_t;
typedef struct blk_reader blk_reader_t;

/// One connection.
struct blk_reader
{
  blk_queue_t *queue; ///< NULL while it does not wait.
  blk_reader_t *prev;
  blk_reader_t *next;
  /// Called when its turn has come; it no longer waits then.
  void (*on_turn) (blk_reader_t *reader);
  uint64_t window_began_ms;
  size_t window_bytes; ///< Read in the window.
};

/// The connections of a loop that wait.
struct blk_queue
{
  uv_loop_t *loop;
  blk_reader_t *first;
  blk_reader_t *last;
  uv_prepare_t prepare;
  uv_idle_t poll_again; ///< While it is active, the loop polls without
                        ///< waiting.
  uint64_t turn_ms;     ///< Loop time of the last turn.
  bool has_unpolled;    ///< A connection began to wait since the last poll:
                        ///< its events are still reported.
};

void blk_queue_init (blk_queue_t *queue, uv_loop_t *loop);
/// Record that bytes of a connection were read.
void blk_reader_record (blk_reader_t *reader, size_t len_bytes,
                        uint64_t now_ms);
/// @return  Whether a connection has had its share of the present window.
bool blk_reader_must_wait (const blk_reader_t *reader, uint64_t now_ms);
/// Let a connection wait for its turn, after those that wait already. It is
/// not to be read until then.
void blk_reader_wait (blk_reader_t *reader, blk_queue_t *queue);
/// Take a connection out of the queue; does nothing if it does not wait.
void blk_reader_cancel (blk_reader_t *reader);
/// @return  Whether an event is ready on a loop. Events of a handle that was
///          stopped since the last poll are included.
bool blk_loop_has_events (const uv_loop_t *loop);

#endif
