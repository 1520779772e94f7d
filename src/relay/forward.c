#include "relay/forward.h"

#include "transport/metrics.h"

/// A lost message needs no retry here: the receiver states what it has in each
/// of its reports, and is sent what it lacks again.
static void
send_or_count (hst_host_t *host, const char *peer, const msg_t *msg)
{
  if (hst_send (host, peer, msg) != KB_OK)
    MET_INC ("knapweedbay_passing_unsent_total", "");
}

void
fwd_send_document (hst_host_t *host, const char *peer, uint64_t revision,
                   const kb_buf_t *document)
{
  msg_t msg = { .type = MSG_DOCUMENT,
                .document
                = { .revision = revision, .data = kb_buf_slice (document) } };
  send_or_count (host, peer, &msg);
}

void
fwd_send_versions (hst_host_t *host, const char *peer,
                   const ver_table_t *versions)
{
  uint32_t at = 0;
  for (const ver_item_t *item = kb_map_next (&versions->items, &at);
       item != NULL; item = kb_map_next (&versions->items, &at))
    {
      msg_t msg
          = { .type = MSG_ADAPTER_VERSION,
              .adapter_version = { .version = item->version,
                                   .model = kb_slice_str (item->model),
                                   .adapter = kb_slice_str (item->adapter) } };
      send_or_count (host, peer, &msg);
    }
}

void
fwd_send_quarantine (hst_host_t *host, const char *peer,
                     const kb_buf_t *records)
{
  if (records->len_bytes == 0)
    return;
  msg_t msg = { .type = MSG_QUARANTINE,
                .quarantine = { .records = kb_buf_slice (records) } };
  send_or_count (host, peer, &msg);
}
