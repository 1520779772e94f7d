/// @file kv.h
/// Client of the platform's key-value service, over the etcd v3 JSON API.
/// Supports reads, single-key writes, single-key compare-and-swap and watches.
/// Calls are counted by kind, and the calls of the process are rate-limited. A
/// watch counts as one call, however long it stays open.
///
/// The service may come back from an older copy. Revisions then go back and
/// are given out again, so that those of before mean nothing any more.
#ifndef KB_TRANSPORT_KV_H
#define KB_TRANSPORT_KV_H

#include "state/limit.h"
#include "state/seen.h"
#include "transport/httpc.h"
#include "transport/kv_decode.h"

typedef struct
{
  htc_client_t *http;
  char address[64];
  uint16_t port;
  uint64_t timeout_ms;
  lim_bucket_t bucket;
  uint64_t revision;      ///< Highest that the service stated.
  uint64_t cluster_id;    ///< Changes with a restore; zero: not stated.
  sen_table_t seen;       ///< Faults of answers, to log each once.
  uint32_t restore_count; ///< Restores seen; counted before a call completes.
} kvc_client_t;

/// Completion callback of a call. A compare-and-swap completes with KB_OK,
/// KB_ECONFLICT, KB_EUNAVAIL (it was not executed) or KB_EUNKNOWN (the
/// response was lost, so that it may have been executed).
/// @param items  Items read; valid only during the callback.
typedef void (*kvc_done_t) (void *arg, kb_status_t status,
                            const kvc_item_t *items, uint32_t count);

typedef struct kvc_watch kvc_watch_t;

typedef struct
{
  /// An item was written, or deleted: the value is empty and mod_revision 0.
  void (*on_item) (void *arg, const kvc_item_t *item);
  /// The watch ended and is freed after this call. The owner should start a
  /// new one after a pause.
  void (*on_lost) (void *arg);
} kvc_watch_events_t;

/// @param max_calls_per_s  Limit of calls per second of this process. A call
///                         over the limit fails with KB_EUNAVAIL.
void kvc_client_init (kvc_client_t *client, htc_client_t *http,
                      const char *address, uint16_t port, uint64_t timeout_ms,
                      double max_calls_per_s);
/// Reads one key.
void kvc_get (kvc_client_t *client, const char *key, kvc_done_t done,
              void *arg);
/// Reads all keys that start with `prefix`.
void kvc_range (kvc_client_t *client, const char *prefix, kvc_done_t done,
                void *arg);
/// Writes one key unconditionally.
void kvc_put (kvc_client_t *client, const char *key, kb_slice_t value,
              kvc_done_t done, void *arg);
/// Writes one key if its mod_revision matches (compare-and-swap).
/// @param expected_revision  mod_revision that the key must have; 0: the key
///                           must be absent.
void kvc_cas (kvc_client_t *client, const char *key,
              uint64_t expected_revision, kb_slice_t value, kvc_done_t done,
              void *arg);
/// Watches all keys that start with `prefix`, from the current revision on.
kvc_watch_t *kvc_watch_start (kvc_client_t *client, const char *prefix,
                              const kvc_watch_events_t *events, void *arg);
/// Cancels and frees a watch; on_lost is not called.
void kvc_watch_stop (kvc_watch_t *watch);

#endif
