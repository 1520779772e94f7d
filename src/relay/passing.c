#include "relay/passing.h"

#include "transport/metrics.h"

/// The receiver says what it knows in each of its words, and gets it again.
static void
give (hst_host_t *host, const char *peer, const msg_t *msg)
{
  if (hst_send (host, peer, msg) != KB_OK)
    MET_INC ("knapweedbay_passing_unsent_total", "");
}

void
psn_give_document (hst_host_t *host, const char *peer, uint64_t revision,
                   const kb_buf_t *document)
{
  msg_t msg = { .type = MSG_DOCUMENT,
                .document
                = { .revision = revision, .data = kb_buf_slice (document) } };
  give (host, peer, &msg);
}

void
psn_give_versions (hst_host_t *host, const char *peer,
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
      give (host, peer, &msg);
    }
}

void
psn_give_quarantine (hst_host_t *host, const char *peer, const kb_buf_t *words)
{
  if (words->len_bytes == 0)
    return;
  msg_t msg = { .type = MSG_QUARANTINE,
                .quarantine = { .records = kb_buf_slice (words) } };
  give (host, peer, &msg);
}
