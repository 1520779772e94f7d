#include "transport/bulk.h"

#include <sys/epoll.h>

bool
blk_loop_has_events (const uv_loop_t *loop)
{
  struct epoll_event event;
  return epoll_wait (uv_backend_fd (loop), &event, 1, 0) > 0;
}

static void
poll_again (uv_idle_t *handle)
{
}

static void
queue_before_poll (uv_prepare_t *handle)
{
  blk_queue_t *queue = handle->data;
  if (queue->has_unpolled)
    {
      queue->has_unpolled = false;
      return;
    }
  uint64_t now_ms = uv_now (queue->loop);
  bool is_due = now_ms - queue->turn_ms >= BLK_MAX_WAIT_MS;
  if (!is_due && blk_loop_has_events (queue->loop))
    return;
  queue->turn_ms = now_ms;
  blk_reader_t *reader = queue->first;
  blk_reader_cancel (reader);
  reader->on_turn (reader);
}

void
blk_queue_init (blk_queue_t *queue, uv_loop_t *loop)
{
  *queue = (blk_queue_t){ .loop = loop };
  uv_prepare_init (loop, &queue->prepare);
  queue->prepare.data = queue;
  uv_unref ((uv_handle_t *)&queue->prepare);
  uv_idle_init (loop, &queue->poll_again);
  uv_unref ((uv_handle_t *)&queue->poll_again);
}

void
blk_reader_record (blk_reader_t *reader, size_t len_bytes, uint64_t now_ms)
{
  if (now_ms - reader->window_began_ms >= BLK_WINDOW_MS)
    {
      reader->window_began_ms = now_ms;
      reader->window_bytes = 0;
    }
  reader->window_bytes += len_bytes;
}

bool
blk_reader_must_wait (const blk_reader_t *reader, uint64_t now_ms)
{
  return reader->window_bytes >= BLK_SHARE_BYTES
         && now_ms - reader->window_began_ms < BLK_WINDOW_MS;
}

void
blk_reader_wait (blk_reader_t *reader, blk_queue_t *queue)
{
  if (queue->first == NULL)
    {
      queue->first = reader;
      uv_prepare_start (&queue->prepare, queue_before_poll);
      uv_idle_start (&queue->poll_again, poll_again);
    }
  else
    queue->last->next = reader;
  reader->queue = queue;
  reader->prev = queue->last;
  reader->next = NULL;
  queue->last = reader;
  queue->has_unpolled = true;
}

void
blk_reader_cancel (blk_reader_t *reader)
{
  blk_queue_t *queue = reader->queue;
  if (queue == NULL)
    return;
  reader->queue = NULL;
  *(reader->prev == NULL ? &queue->first : &reader->prev->next) = reader->next;
  *(reader->next == NULL ? &queue->last : &reader->next->prev) = reader->prev;
  if (queue->first != NULL)
    return;
  uv_prepare_stop (&queue->prepare);
  uv_idle_stop (&queue->poll_again);
}
