/// @file deployment.h
/// What a deployment provides to the relay roles: its conventions, its
/// configuration document, its store and its engines.
#ifndef KB_RELAY_DEPLOYMENT_H
#define KB_RELAY_DEPLOYMENT_H

#include "gateway/source.h"
#include "protocol/settings.h"
#include "relay/reader.h"
#include "sidecar/engine.h"
#include "transport/exchange.h"
#include "transport/relay.h"

typedef struct
{
  const rly_dialect_t *dialect;
  src_decode_t decode_config;
  /// The make functions return NULL with the reason in `error` on failure.
  src_source_t *(*make_source) (xch_pool_t *pool,
                                const set_settings_t *settings,
                                kb_error_t *error);
  /// Make a reader of the same store, for a sidecar that reads for several
  /// gateways.
  rdr_reader_t *(*make_reader) (xch_pool_t *pool,
                                const set_settings_t *settings,
                                kb_error_t *error);
  egn_engine_t *(*make_engine) (xch_pool_t *pool,
                                const set_settings_t *settings,
                                kb_error_t *error);
} dpl_deployment_t;

#endif
