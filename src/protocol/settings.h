/// @file settings.h
/// The settings file of a daemon: JSON with comments, checked against a table
/// from which the reference page is also generated.
#ifndef KB_PROTOCOL_SETTINGS_H
#define KB_PROTOCOL_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "state/buf.h"
#include "state/status.h"

enum
{
  SET_TEXT_BYTES = 160,
  SET_NAME_MAX_BYTES = 47, ///< Length of a daemon's name.
};

typedef enum
{
  SET_ROLE_ENTRY,
  SET_ROLE_AGENT,
} set_role_t;

typedef char set_text_t[SET_TEXT_BYTES];

/// All settings. Which of them apply depends on the role. The reference table
/// describes each one.
typedef struct
{
  set_text_t role_name;
  set_text_t interface; ///< Protocol towards callers and targets.
  set_role_t role;
  set_text_t name;
  set_text_t failure_domain;
  set_text_t listen_address;
  int64_t http_port;
  int64_t inner_port;
  set_text_t log_level;
  bool trace_stdout;
  set_text_t operator_key;

  set_text_t curve_public_key;
  set_text_t curve_secret_key;
  set_text_t curve_agent_key;
  set_text_t curve_entry_key;

  set_text_t tls_certificate_file;
  set_text_t tls_key_file;
  int64_t max_body_bytes;
  int64_t request_read_timeout_ms;
  int64_t max_connections;
  int64_t memory_mb;
  int64_t max_inflight;
  int64_t default_deadline_ms;
  int64_t max_deadline_ms;

  set_text_t kv_address;
  int64_t kv_port;
  int64_t kv_timeout_ms;
  set_text_t list_address;
  int64_t list_port;
  int64_t list_poll_ms;

  set_text_t service;
  set_text_t target_kind;
  set_text_t target_address;
  int64_t target_port;
  set_text_t target_order_token;
  set_text_t base_model;
  int64_t slots;
  int64_t max_batch;
  int64_t queue_limit;
  int64_t load_timeout_ms;
  int64_t engine_idle_timeout_ms;
  double load_rate_per_s;
  int64_t load_concurrency;
  double stall_weight;
  double efficiency_weight;

  int64_t claim_window_ms;
  int64_t claim_limit;
  int64_t answer_cache_bytes;
  int64_t drain_limit_ms;
  set_text_t public_address;
  set_text_t ready_address;
  set_text_t store_address;
  set_text_t engine_address;
  set_text_t advertised_address;
  int64_t metrics_port;
  double grace_s;
  int64_t leave_bound_ms;
  int64_t revoke_bound_ms;
  int64_t version_bound_ms;
  double quota_window_s;
  double quota_overshoot;
  double quota_slack;
  double retry_ratio;
  double retry_window_s;
  double retry_slack;
  int64_t log_lines_per_s;

  int64_t vm_gone_after_ms;
  int64_t silence_ms;
  double kv_calls_per_s;
} set_settings_t;

/// Read and check a settings file; absent settings get their defaults.
/// @return  KB_ENOTFOUND, KB_ELIMIT above 64 KiB, or KB_EINVAL if a setting is
///          invalid.
kb_status_t set_load_file (const char *path, set_settings_t *out,
                           kb_error_t *error);
/// The same from a text.
/// @param name  Name of the source, used in messages.
kb_status_t set_load_text (const char *name, kb_slice_t text,
                           set_settings_t *out, kb_error_t *error);
/// @return  Whether a daemon may have this name.
bool set_name_is_valid (kb_slice_t name);
/// Append the settings reference as a Markdown table.
void set_write_reference (kb_buf_t *out);
/// @return  The known name nearest to `name` by edit distance, or NULL.
const char *set_nearest_name (const char *name);

#endif
