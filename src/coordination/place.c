#include "coordination/place.h"

#include <math.h>

#include "coordination/prefill.h"
#include "state/buf.h"

/// Targets preferred for loading an adapter, by rendezvous weight. Using the
/// same few targets keeps the adapter in their host memory for the next load.
enum
{
  HOME_RANKS = 2,
  /// A prefill of MIN_PAUSING_PREFILL_MS pauses no stream noticeably; with
  /// FULL_PAUSE_PREFILL_MS, an event follows 300 ms after the previous one.
  MIN_PAUSING_PREFILL_MS = 90,
  FULL_PAUSE_PREFILL_MS = 220,
  MS_PER_S = 1000,
};

/// Load of the targets that hold an adapter in demand, relative to the mean.
/// With 68 gateways and 120 engines of 12 slots, this gives a spread
/// of 800 ms. With 300 ms (1.5 times the mean) fewer requests are in time.
/// 1,600 ms causes more fetches and worse peak seconds.
static const double IN_DEMAND_FACTOR = 4;

void
plc_costs_default (plc_costs_t *costs)
{
  *costs = (plc_costs_t){
    // A full batch slows each token by about a third and doubles the wait for
    // the first one.
    .full_batch_ms = 900,
    .waiting_request_ms = 2000,
    .place_wait_factor = 3,
    .backlog_factor = 2,
    .first_rank_ms = 0,
    .second_rank_ms = 300,
    .other_rank_ms = 600,
    // Without this cost, many fetches under heavy load are of an adapter that
    // another engine holds or waits for. About the time of one fetch prevents
    // that.
    .duplicate_ms = 300,
    // A tenth of a fetch, the order and the report.
    .warm_load_ms = 60,
    .loading_ms = 60,
    .other_domain_ms = 4,
    .paused_stream_ms = 80,
    .failure_ms = 1500,
  };
}

uint64_t
plc_weight (uint64_t adapter, uint64_t target)
{
  uint64_t pair[2] = { adapter, target };
  return kb_hash (pair, sizeof pair, 0);
}

/// @return  Candidates with a higher weight for this adapter, HOME_RANKS at
///          most.
static uint32_t
rank_of (const plc_candidate_t *candidates, uint32_t count, uint64_t adapter,
         uint32_t at)
{
  uint64_t weight = plc_weight (adapter, candidates[at].key);
  uint32_t rank = 0;
  for (uint32_t i = 0; i < count && rank < HOME_RANKS; i++)
    if (i != at && plc_weight (adapter, candidates[i].key) > weight)
      rank++;
  return rank;
}

/// Whether a usable target holds the adapter or is about to.
static bool
is_held_or_expected (const plc_candidate_t *candidates, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (candidates[i].is_usable && candidates[i].holding != PLC_ABSENT)
      return true;
  return false;
}

static double
absent_cost (const plc_costs_t *costs, const plc_candidate_t *candidates,
             uint32_t count, uint64_t adapter, uint32_t at, bool is_duplicate)
{
  double cost = candidates[at].load_wait_ms;
  if (is_duplicate)
    cost += costs->duplicate_ms;
  switch (rank_of (candidates, count, adapter, at))
    {
    case 0:
      return cost + costs->first_rank_ms;
    case 1:
      return cost + costs->second_rank_ms;
    default:
      return cost + costs->other_rank_ms;
    }
}

static double
holding_cost (const plc_costs_t *costs, const plc_candidate_t *candidates,
              uint32_t count, uint64_t adapter, uint32_t at, bool is_duplicate)
{
  switch (candidates[at].holding)
    {
    case PLC_HELD:
    case PLC_NOT_NEEDED:
      return 0;
    case PLC_LOADING:
      return costs->loading_ms;
    case PLC_WARM:
      return costs->warm_load_ms;
    case PLC_PENDING:
      return candidates[at].load_wait_ms;
    case PLC_ABSENT:
      break;
    }
  return absent_cost (costs, candidates, count, adapter, at, is_duplicate);
}

/// Cost of the streams that a long prompt pauses beyond what their callers
/// accept. It favors engines with few streams, even if they have to load the
/// adapter.
static double
pause_cost (const plc_costs_t *costs, const plc_candidate_t *candidate,
            uint32_t prompt_tokens)
{
  if (candidate->tokens_per_ms <= 0)
    return 0;
  double prefill_ms
      = pfl_cost_tokens (prompt_tokens) / candidate->tokens_per_ms;
  double part = (prefill_ms - MIN_PAUSING_PREFILL_MS)
                / (FULL_PAUSE_PREFILL_MS - MIN_PAUSING_PREFILL_MS);
  if (part <= 0)
    return 0;
  return costs->paused_stream_ms * candidate->busy_slots
         * (part < 1 ? part : 1);
}

/// Milliseconds until a place is free for one more request, if places are
/// released at the present rate, and the target's rate limit allows it. With
/// 12 slots, twelve requests ahead cost a whole run. Without this cost,
/// requests queue at the engines that hold an adapter in demand until they
/// are late, while half of the others are nearly empty.
static double
place_wait_ms (const plc_candidate_t *candidate, double slots)
{
  double ahead
      = (double)candidate->busy_slots + candidate->waiting + 1 - slots;
  double slot_ms = ahead > 0 ? ahead * candidate->mean_hold_ms / slots : 0;
  return fmax (slot_ms, candidate->start_wait_ms);
}

/// Random cost that spreads requests over equal targets. Where the adapter is
/// present, each request draws its own. Where it has to be loaded, the draw
/// depends on the adapter alone, so that all gateways agree and one load
/// serves all requests. There at least half of the spread is added: the lowest
/// of a hundred draws is close to zero and would make a load look too cheap.
/// This saves fetches, and more requests are in time.
static double
spread_cost (const plc_costs_t *costs, const plc_candidate_t *candidate,
             const plc_request_t *request)
{
  bool is_there
      = candidate->holding != PLC_ABSENT && candidate->holding != PLC_WARM;
  uint64_t random_draw = plc_weight (
      is_there ? request->random_draw : request->adapter, candidate->key);
  double slots = candidate->slots > 0 ? candidate->slots : 1;
  double spread_ms
      = request->unreported_requests * costs->full_batch_ms / slots;
  double part = (double)(UINT64_MAX - random_draw) / (double)UINT64_MAX;
  return spread_ms * (is_there ? part : 0.5 + 0.5 * part);
}

double
plc_unreported_requests (const plc_load_t *load)
{
  if (load->target_count == 0 || load->gateway_count < 2)
    return 0;
  double other_requests_per_s
      = load->own_requests_per_s * (load->gateway_count - 1);
  return IN_DEMAND_FACTOR * other_requests_per_s
         * (double)load->report_interval_ms / MS_PER_S / load->target_count;
}

int32_t
plc_choose (const plc_costs_t *costs, const plc_candidate_t *candidates,
            uint32_t count, const plc_request_t *request)
{
  int32_t best = PLC_NONE;
  double best_cost = 0;
  // Computed once for all candidates: a choice among 600 targets takes 0.07
  // ms, against 0.34 ms when computed for each.
  bool is_duplicate = is_held_or_expected (candidates, count);
  for (uint32_t i = 0; i < count; i++)
    {
      const plc_candidate_t *candidate = &candidates[i];
      if (!candidate->is_usable)
        continue;
      double slots = candidate->slots > 0 ? candidate->slots : 1;
      double cost
          = costs->full_batch_ms * candidate->busy_slots / slots
            + costs->waiting_request_ms * candidate->waiting / slots
            + costs->place_wait_factor * place_wait_ms (candidate, slots)
            + costs->backlog_factor * candidate->backlog_ms
            + costs->failure_ms * candidate->failure_rate
            + (candidate->is_same_domain ? 0 : costs->other_domain_ms)
            + pause_cost (costs, candidate, request->prompt_tokens)
            + spread_cost (costs, candidate, request)
            + holding_cost (costs, candidates, count, request->adapter, i,
                            is_duplicate);
      if (best == PLC_NONE || cost < best_cost)
        {
          best = (int32_t)i;
          best_cost = cost;
        }
    }
  return best;
}
