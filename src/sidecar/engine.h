/// @file engine.h
/// The engine beside a sidecar, behind a vtable: its report and the orders to
/// load and unload. Only the sidecar orders its engine.
#ifndef KB_SIDECAR_ENGINE_H
#define KB_SIDECAR_ENGINE_H

#include <stdbool.h>
#include <stdint.h>

#include "state/buf.h"
#include "state/status.h"

enum
{
  EGN_NAME_BYTES = 64,
  EGN_KEY_BYTES = 160, ///< "model/adapter".
  EGN_MAX_MODELS = 8,
  EGN_MAX_ADAPTERS = 256,
};

typedef struct
{
  char name[EGN_NAME_BYTES];
  uint32_t version;
} egn_model_t;

/// An adapter that an engine holds or is loading.
typedef struct
{
  uint64_t key; ///< egn_adapter_key
  char name[EGN_KEY_BYTES];
  uint32_t version;
  bool is_loading; ///< Being fetched from the weight store.
} egn_adapter_t;

/// The state that an engine reports.
typedef struct
{
  bool is_leaving;
  uint64_t leaves_in_ms; ///< Zero: not reported.
  uint64_t born_ms;      ///< Unix time of its start; zero: not reported.
  uint64_t seq;          ///< Orders accepted since its start.
  bool is_busy;          ///< A model is being loaded or unloaded.
  uint32_t running;
  uint32_t waiting;
  uint64_t memory_used_tokens; ///< That cannot be evicted.
  uint64_t memory_total_tokens;
  egn_model_t models[EGN_MAX_MODELS];
  uint32_t model_count;
  egn_adapter_t adapters[EGN_MAX_ADAPTERS];
  uint32_t adapter_count;
  /// Models whose weights are in the engine's memory or on its disk and need
  /// no fetch from the weight store.
  char cached_models[EGN_MAX_MODELS][EGN_NAME_BYTES];
  uint32_t cached_model_count;
} egn_report_t;

typedef struct
{
  bool is_load;
  const char *model;
  const char *adapter;   ///< NULL: the model itself.
  uint32_t version;      ///< Of the adapter; zero: the newest.
  uint64_t expected_seq; ///< The engine rejects the order at any other seq.
  const char *instance;  ///< Incarnation of the addressed engine, or "".
  uint32_t timeout_ms;   ///< The outcome is unknown without an answer by then.
} egn_order_t;

typedef enum
{
  EGN_ORDER_ACCEPTED,  ///< Being carried out.
  EGN_ORDER_SATISFIED, ///< Nothing to do: already in that state.
  EGN_ORDER_CONFLICT,  ///< Another order is pending, or the seq differs.
  EGN_ORDER_REFUSED,
  EGN_ORDER_NOT_SENT,
  EGN_ORDER_UNKNOWN, ///< No answer: it may still be executed later.
} egn_order_outcome_t;

/// @param report  NULL unless status is KB_OK; valid during the callback only.
typedef void (*egn_report_done_t) (void *arg, kb_status_t status,
                                   const egn_report_t *report);
typedef void (*egn_order_done_t) (void *arg, egn_order_outcome_t outcome);

/// @param instance  Incarnation of the engine; empty if it did not report one.
typedef void (*egn_identity_done_t) (void *arg, kb_slice_t instance);

typedef struct egn_engine egn_engine_t;

typedef struct
{
  /// One report at a time.
  void (*report) (egn_engine_t *engine, egn_report_done_t done, void *arg);
  /// One order at a time.
  void (*order) (egn_engine_t *engine, const egn_order_t *order,
                 egn_order_done_t done, void *arg);
  /// Request the incarnation of the engine, which reports may lack.
  void (*identify) (egn_engine_t *engine, egn_identity_done_t done, void *arg);
} egn_vtable_t;

struct egn_engine
{
  const egn_vtable_t *vtable;
};

/// @param name  "model/adapter".
static inline uint64_t
egn_adapter_key (kb_slice_t name)
{
  return kb_hash (name.ptr, name.len_bytes, 0) | 1;
}

#endif
