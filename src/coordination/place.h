/// @file place.h
/// Choice of a target for one request: the candidate with the lowest expected
/// delay, from where the adapter is held or cheap to load, load, failure
/// domain and recent failures. No I/O; the state of each target is an
/// argument.
#ifndef KB_COORDINATION_PLACE_H
#define KB_COORDINATION_PLACE_H

#include <stdbool.h>
#include <stdint.h>

/// What a target is known to hold of the requested adapter.
typedef enum
{
  PLC_ABSENT,
  PLC_WARM,    ///< Held recently; reloads in a fraction of a fetch.
  PLC_PENDING, ///< Requests wait for it there; its load has not started.
  PLC_LOADING,
  PLC_HELD,
  PLC_NOT_NEEDED, ///< The request names no adapter.
} plc_holding_t;

typedef struct
{
  uint64_t key; ///< Stable over restarts of the target.
  bool is_usable;
  bool is_same_domain; ///< In the failure domain of this gateway.
  plc_holding_t holding;
  uint32_t slots;
  /// Places in use, with own requests sent since the target's last report.
  uint32_t busy_slots;
  uint32_t waiting;     ///< Requests that wait for a place there.
  double mean_hold_ms;  ///< Mean time that a place is in use; zero: unknown.
  double start_wait_ms; ///< Until its rate limit allows one more request.
  double tokens_per_ms; ///< Prefill rate; zero: unknown.
  double backlog_ms;    ///< Prefill time of the prompts queued there.
  double load_wait_ms;  ///< Until an adapter that is new there would be held.
  double failure_rate;  ///< Recent share of failed requests, 0 to 1.
} plc_candidate_t;

/// Costs, as expected delay in milliseconds; factors are without unit.
typedef struct
{
  double full_batch_ms;      ///< Delay of a full batch over an empty one.
  double waiting_request_ms; ///< Per waiting request and slot.
  /// Per millisecond of expected wait for a place. Above one, because in a
  /// large fleet the report is half a second old and all gateways act on the
  /// same one.
  double place_wait_factor;
  /// Per millisecond of prompt backlog. Above one, because the engine pauses
  /// between prompts so that its streams go on.
  double backlog_factor;
  /// Cost of a load beyond its wait, by rendezvous rank of the target for the
  /// adapter: a target that held it before reloads it in a tenth of the time,
  /// and each further target that holds it displaces another adapter.
  double first_rank_ms;
  double second_rank_ms;
  double other_rank_ms;
  /// A load at one target while another one holds, loads or waits for the
  /// adapter: the extra fetch uses the weight store, which all targets share.
  double duplicate_ms;
  double warm_load_ms;    ///< Reload of an adapter that was held recently.
  double loading_ms;      ///< Remainder of a load in progress.
  double other_domain_ms; ///< Target in another failure domain.
  /// Per stream that a long prompt pauses, at the full pause.
  double paused_stream_ms;
  double failure_ms; ///< At a failure rate of one.
} plc_costs_t;

/// Load that a target's report does not show yet.
typedef struct
{
  double own_requests_per_s; ///< Requests that this gateway sends.
  uint32_t gateway_count;    ///< Gateways, each assumed to send as many.
  uint32_t target_count;
  uint64_t report_interval_ms; ///< Between two reports of a target.
} plc_load_t;

enum
{
  PLC_NONE = -1,
};

void plc_costs_default (plc_costs_t *costs);
/// The request to place.
typedef struct
{
  uint64_t adapter; ///< Hash of the adapter, or of the request if plain.
  uint32_t prompt_tokens;
  uint64_t random_draw; ///< Random, new for each request.
  /// Requests that a target may have received since its last report, see
  /// plc_unreported_requests. A random cost of up to as many requests is added
  /// to each target: all gateways act on the same reports, and would otherwise
  /// choose the same one of equal targets.
  double unreported_requests;
} plc_request_t;

/// @return  Requests that other gateways may have sent to a target in demand
///          since its last report.
double plc_unreported_requests (const plc_load_t *load);

/// @return  Index of the cheapest usable candidate, or PLC_NONE.
int32_t plc_choose (const plc_costs_t *costs,
                    const plc_candidate_t *candidates, uint32_t count,
                    const plc_request_t *request);
/// @return  Rendezvous weight of a target for an adapter; the highest ranks
///          first.
uint64_t plc_weight (uint64_t adapter, uint64_t target);

#endif
