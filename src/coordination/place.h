/// @file place.h
/// Choice of a target for one relayed request: where its adapter is held or
/// cheap to bring, weighed against load, distance and recent failures. No
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
  PLC_AWAITED, ///< Other requests wait for it; its fetch has not begun.
  PLC_COMING,
  PLC_HELD,
  PLC_NOT_NEEDED, ///< The request names no adapter.
} plc_holding_t;

/// One candidate.
typedef struct
{
  uint64_t key; ///< Stable over restarts of the target.
  bool is_usable;
  bool is_near; ///< In the failure domain of this gateway.
  plc_holding_t holding;
  uint32_t slots;
  uint32_t busy;        ///< Places taken, with own requests since the report.
  uint32_t waiting;     ///< Requests that wait there.
  double held_for_ms;   ///< Mean time that a place is taken; zero: not known.
  double start_wait_ms; ///< Until it takes one more request, by its limit.
  double tokens_per_ms; ///< Prompt tokens that it reads; zero: not known.
  double backlog_ms;    ///< Time to read the prompts that are there.
  double load_wait_ms;  ///< Until an adapter new to it would be held.
  double failures;      ///< Recent share of failed requests, 0 to 1.
} plc_view_t;

/// Costs in milliseconds of delay expected.
typedef struct
{
  double full_ms; ///< Delay by a full batch against an empty one.
  double wait_ms; ///< Each waiting request, per slot.
  /// Each ms until a place is expected to be free. What is known is half a
  /// second old in a large fleet, and all gateways know the same.
  double place_wait;
  /// Each ms that the prompts there take to read: they are not read without
  /// breaks, so that streams go on between them.
  double backlog;
  /// Beyond the wait for a fetch, by rank of the target for the adapter: a
  /// target that held it before has it again in a tenth of the time, and one
  /// more target that holds it takes a place from another adapter.
  double first_rank_ms;
  double second_rank_ms;
  double other_rank_ms;
  /// A target without it while another one holds, fetches or awaits it: one
  /// more fetch takes a turn at the weight store that all targets share.
  double duplicate_ms;
  double warm_ms;   ///< Loading an adapter that was held not long ago.
  double coming_ms; ///< The rest of a load that is under way.
  double far_ms;    ///< Another failure domain.
  /// Each stream that a long prompt would pause, when the pause is full.
  double paused_stream_ms;
  double failure_ms; ///< A target all of whose requests fail.
} plc_costs_t;

/// What a gateway sees of the load between two words of a target.
typedef struct
{
  double own_per_s;  ///< Requests that this gateway places.
  uint32_t gateways; ///< That place as many.
  uint32_t targets;
  uint64_t word_ms; ///< Between two words of a target.
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
  uint64_t draw; ///< Any number, another one for each request.
  /// Requests that may have come to a target since its last word, see
  /// plc_unseen. Equal targets are drawn apart by what as many would cost: all
  /// gateways know the same until the next word, and all would choose the same
  /// one.
  double unseen;
} plc_request_t;

/// @return  Requests that other gateways may have sent to a target in demand
///          since its last word.
double plc_unseen (const plc_load_t *load);

/// @return  Index of the cheapest usable view, or PLC_NONE.
int32_t plc_choose (const plc_costs_t *costs, const plc_view_t *views,
                    uint32_t count, const plc_request_t *request);
/// @return  Weight of a target in the rendezvous ranking of an adapter.
uint64_t plc_weight (uint64_t adapter, uint64_t target);

#endif
