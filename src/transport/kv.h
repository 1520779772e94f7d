/// @file kv.h
/// Client of the platform's key-value service by the etcd v3 JSON protocol,
/// limited to reads, writes of one key, compare-and-swap of one key, and
/// watches. Every call is counted by kind, a waiting watch as one, and a
/// daemon's calls stay below a ceiling.
#ifndef KB_TRANSPORT_KV_H
#define KB_TRANSPORT_KV_H

#include "state/limit.h"
#include "transport/httpc.h"

enum
{
  KVC_KEY_BYTES = 160,
};

typedef struct
{
  htc_client_t *http;
  char address[64];
  uint16_t port;
  uint64_t timeout_ms;
  lim_bucket_t bucket;
} kvc_client_t;

typedef struct
{
  char key[KVC_KEY_BYTES];
  kb_slice_t value;
  uint64_t mod_revision; ///< For compare-and-swap; zero: the key is absent.
} kvc_item_t;

/// Result of a call. A compare-and-swap ends with KB_OK, KB_ECONFLICT,
/// KB_EUNAVAIL (certainly not done) or KB_EUNKNOWN (the response was lost).
/// @param items  What was read; gone after the callback.
typedef void (*kvc_done_t) (void *arg, kb_status_t status,
                            const kvc_item_t *items, uint32_t count);

typedef struct kvc_watch kvc_watch_t;

typedef struct
{
  /// An item was written or, with an empty value and mod_revision zero,
  /// deleted.
  void (*on_item) (void *arg, const kvc_item_t *item);
  /// The watch ended; open another one after a pause.
  void (*on_lost) (void *arg);
} kvc_watch_events_t;

/// @param max_calls_per_s  Calls a second this process may make.
void kvc_client_init (kvc_client_t *client, htc_client_t *http,
                      const char *address, uint16_t port, uint64_t timeout_ms,
                      double max_calls_per_s);
void kvc_get (kvc_client_t *client, const char *key, kvc_done_t done,
              void *arg);
/// Read all keys that begin with a prefix.
void kvc_range (kvc_client_t *client, const char *prefix, kvc_done_t done,
                void *arg);
void kvc_put (kvc_client_t *client, const char *key, kb_slice_t value,
              kvc_done_t done, void *arg);
/// @param expected_revision  mod_revision the key must have; zero: must be
/// absent.
void kvc_cas (kvc_client_t *client, const char *key,
              uint64_t expected_revision, kb_slice_t value, kvc_done_t done,
              void *arg);
/// Watch all keys that begin with a prefix, from now on.
kvc_watch_t *kvc_watch_start (kvc_client_t *client, const char *prefix,
                              const kvc_watch_events_t *events, void *arg);
void kvc_watch_stop (kvc_watch_t *watch);

#endif
