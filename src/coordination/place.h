/// @file place.h
/// Choice of a target for one relayed request: where its adapter is held or
/// cheap to bring, weighed against load, distance and recent failure_rate. No
/// I/O; what is known of each target is an argument.
#ifndef KB_COORDINATION_PLACE_H
#define KB_COORDINATION_PLACE_H

#include <stdbool.h>
#include <stdint.h>

/// What a target is known to hold of the adapter asked for.
typedef enum
{
  PLC_ABSENT,
  PLC_WARM,    ///< Held not long ago; it comes back in a fraction of the time.
  PLC_PENDING, ///< Other requests wait for it; its fetch has not begun.
  PLC_LOADING,
  PLC_HELD,
  PLC_NOT_NEEDED, ///< The request names no adapter.
} plc_holding_t;

/// One candidate.
typedef struct
{
  uint64_t key; ///< Stable over restarts of the target.
  bool is_usable;
  bool is_same_domain; ///< In the failure domain of this gateway.
  plc_holding_t holding;
  uint32_t slots;
  uint32_t busy_slots;  ///< Places taken, with own requests since the report.
  uint32_t waiting;     ///< Requests that wait there.
  double mean_hold_ms;  ///< Mean time that a place is taken; zero: not known.
  double start_wait_ms; ///< Until it takes one more request, by its limit.
  double tokens_per_ms; ///< Prompt tokens that it reads; zero: not known.
  double backlog_ms;    ///< Time to read the prompts that are there.
  double load_wait_ms;  ///< Until an adapter new to it would be held.
  double failure_rate;  ///< Recent share of failed requests, 0 to 1.
} plc_candidate_t;

/// Costs in milliseconds of delay expected.
typedef struct
{
  double full_batch_ms;      ///< Delay by a full batch against an empty one.
  double waiting_request_ms; ///< Each waiting request, per slot.
  /// Each ms until a place is expected to be free. What is known is half a
  /// second old in a large fleet, and all gateway_count know the same.
  double place_wait_factor;
  /// Each ms that the prompts there take to read: they are not read without
  /// breaks, so that streams go on between them.
  double backlog_factor;
  /// Beyond the wait for a fetch, by rank of the target for the adapter: a
  /// target that held it before has it again in a tenth of the time, and one
  /// more target that holds it takes a place from another adapter.
  double first_rank_ms;
  double second_rank_ms;
  double other_rank_ms;
  /// A target without it while another one holds, fetches or awaits it: one
  /// more fetch takes a turn at the weight store that all target_count share.
  double duplicate_ms;
  double warm_load_ms;    ///< Loading an adapter that was held not long ago.
  double loading_ms;      ///< The rest of a load that is under way.
  double other_domain_ms; ///< Another failure domain.
  /// Each stream that a long prompt would pause, when the pause is full.
  double paused_stream_ms;
  double failure_ms; ///< A target all of whose requests fail.
} plc_costs_t;

/// What a gateway sees of the load between two words of a target.
typedef struct
{
  double own_requests_per_s; ///< Requests that this gateway places.
  uint32_t gateway_count;    ///< That place as many.
  uint32_t target_count;
  uint64_t report_interval_ms; ///< Between two words of a target.
} plc_load_t;

enum
{
  PLC_NONE = -1,
};

void plc_costs_default (plc_costs_t *costs);
/// What is to be placed.
typedef struct
{
  uint64_t adapter; ///< Hash of the adapter, or of the request if plain.
  uint32_t prompt_tokens;
  uint64_t random_draw; ///< Any number, another one for each request.
  /// Requests that may have come to a target since its last word, see
  /// plc_unreported_requests. Equal target_count are drawn apart by what as
  /// many would cost: all gateway_count know the same until the next word, and
  /// all would choose the same one.
  double unreported_requests;
} plc_request_t;

/// @return  Requests that other gateway_count may have sent to a target in
/// demand
///          since its last word.
double plc_unreported_requests (const plc_load_t *load);

/// @return  Index of the cheapest usable candidate, or PLC_NONE.
int32_t plc_choose (const plc_costs_t *costs,
                    const plc_candidate_t *candidates, uint32_t count,
                    const plc_request_t *request);
/// @return  Weight of a target in the rendezvous ranking of an adapter.
uint64_t plc_weight (uint64_t adapter, uint64_t target);

#endif
