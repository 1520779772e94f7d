/// @file engine.h
/// The engine beside a sidecar, behind a vtable: its report and the orders to
/// load and unload. A sidecar is the only one that orders its engine.
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

/// An adapter that an engine holds or fetches.
typedef struct
{
  uint64_t key; ///< egn_adapter_key
  char name[EGN_KEY_BYTES];
  uint32_t version;
  bool is_loading; ///< On its way from the weight store.
} egn_adapter_t;

/// What an engine says of itself.
typedef struct
{
  bool is_leaving;
  uint64_t leaves_in_ms; ///< Zero: not said.
  uint64_t born_ms;      ///< Unix time of its start; zero: not said.
  uint64_t seq;          ///< Orders accepted since its start.
  bool is_busy;          ///< A model is being loaded or unloaded.
  uint32_t running;
  uint32_t waiting;
  uint64_t memory_used_tokens; ///< That can not yield.
  uint64_t memory_total_tokens;
  egn_model_t models[EGN_MAX_MODELS];
  uint32_t model_count;
  egn_adapter_t adapters[EGN_MAX_ADAPTERS];
  uint32_t adapter_count;
  /// Models whose weights lie in the engine's memory or on its disk; loading
  /// them takes nothing from the weight store.
  char cached_models[EGN_MAX_MODELS][EGN_NAME_BYTES];
  uint32_t cached_model_count;
} egn_report_t;

typedef struct
{
  bool is_load;
  const char *model;
  const char *adapter;   ///< NULL: the model itself.
  uint32_t version;      ///< Of the adapter; zero: the newest.
  uint64_t expected_seq; ///< The order is void at any other.
  const char *instance;  ///< Incarnation that it is for, or "".
  uint32_t timeout_ms;   ///< Without an answer by then its end is unknown.
} egn_order_t;

typedef enum
{
  EGN_ORDER_ACCEPTED,  ///< Being carried out.
  EGN_ORDER_SATISFIED, ///< It is so already.
  EGN_ORDER_CONFLICT,  ///< Another order is under way, or the count differs.
  EGN_ORDER_REFUSED,
  EGN_ORDER_NOT_SENT,
  EGN_ORDER_UNKNOWN, ///< No answer: it may still be carried out later.
} egn_order_outcome_t;

/// @param report  NULL unless status is KB_OK; gone after the callback.
typedef void (*egn_report_done_t) (void *arg, kb_status_t status,
                                   const egn_report_t *report);
typedef void (*egn_order_done_t) (void *arg, egn_order_outcome_t end);

/// @param instance  Incarnation of the engine, or empty when it did not say.
typedef void (*egn_identity_done_t) (void *arg, kb_slice_t instance);

typedef struct egn_engine egn_engine_t;

typedef struct
{
  /// One report at a time.
  void (*report) (egn_engine_t *engine, egn_report_done_t done, void *arg);
  /// One order at a time.
  void (*order) (egn_engine_t *engine, const egn_order_t *order,
                 egn_order_done_t done, void *arg);
  /// Ask which incarnation answers; reports may not say.
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
