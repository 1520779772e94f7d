#include "quota_simulation.h"

#include <algorithm>

namespace lab
{

void
World::restart_sidecar (uint32_t si)
{
  Sidecar &s = *sidecars[si];
  s.process.incarnation++;
  qln_finish (&s.lender);
  qgw_finish (&s.gateway_table);
  qln_init (&s.lender, &o.tolerance, s.process.incarnation, now_ms);
  s.lender.is_capped_by_reach = o.is_capped_by_reach;
  qgw_init (&s.gateway_table, now_ms);
  s.last_contact_ms.assign (o.gateways, 0);
  s.usage.assign (o.gateways, 0);
  schedule_on (s.process, now_ms + 200, [this, si] { send_heartbeats (si); });
}

void
World::begin_fault (const QuotaEvent &event)
{
  uint64_t end = now_ms + event.duration_ms;
  Gateway &g = *gateways[event.process_index % o.gateways];
  // Only the first sidecars in rank become lenders.
  uint32_t si = rank[event.process_index % std::min<uint32_t> (3, o.sidecars)];
  Sidecar &s = *sidecars[si];
  switch (event.fault)
    {
    case QuotaFault::GATEWAY_FROZEN:
      g.process.frozen_until_ms = end;
      break;
    case QuotaFault::GATEWAY_RESTARTS:
      start_gateway (g);
      break;
    case QuotaFault::GATEWAY_DISCONNECTED:
      g.process.disconnected_until_ms = end;
      break;
    case QuotaFault::SIDECAR_FROZEN:
      s.process.frozen_until_ms = end;
      break;
    case QuotaFault::SIDECAR_RESTARTS:
      restart_sidecar (si);
      break;
    case QuotaFault::ALL_RESTART:
      for (uint32_t i = 0; i < o.sidecars; i++)
        restart_sidecar (i);
      [[fallthrough]];
    case QuotaFault::GATEWAYS_RESTART:
      for (auto &gateway : gateways)
        start_gateway (*gateway);
      break;
    case QuotaFault::SIDECAR_DISCONNECTED:
      s.process.disconnected_until_ms = end;
      break;
    case QuotaFault::PAIR_DISCONNECTED:
    case QuotaFault::PAIR_ONE_WAY:
      pair_faults.push_back (
          { g.number, si, event.fault == QuotaFault::PAIR_ONE_WAY, end });
      break;
    case QuotaFault::HALVES_PARTITIONED:
      partition_until_ms = end;
      break;
    case QuotaFault::LOSSY:
      lossy_until_ms = end;
      break;
    case QuotaFault::LIMIT_LOWERED:
      limit.rate_per_s *= 0.5;
      limit.burst *= 0.5;
      limits.emplace_back (now_ms, limit);
      revision++;
      for (auto &gateway : gateways)
        schedule_on (gateway->process,
                     now_ms + (uint64_t)(random_unit () * 1500),
                     [this, &gateway] {
                       qsp_set_limit (&gateway->spender, &limit, revision);
                     });
      break;
    default:
      break;
    }
}

const char *
fault_name (QuotaFault fault)
{
  static const char *const names[]
      = { "gateway frozen",  "gateway restart",      "gateways restart",
          "all restart",     "gateway disconnected", "sidecar frozen",
          "sidecar restart", "sidecar disconnected", "pair disconnected",
          "pair one way",    "halves partitioned",   "lossy",
          "limit lowered" };
  return names[(int)fault];
}

std::vector<QuotaEvent>
draw_quota_events (uint64_t seed, const QuotaOptions &options)
{
  std::mt19937_64 random (seed * 7919 + 1);
  auto number = [&random] (uint64_t from, uint64_t to) {
    return from + random () % (to - from + 1);
  };
  std::vector<QuotaEvent> events;
  uint64_t at_ms = 3000;
  uint64_t count = number (2, 14);
  for (uint64_t i = 0; i < count; i++)
    {
      at_ms = number (0, 1) == 0 ? number (3000, options.simulated_ms - 4000)
                                 : at_ms + number (0, 1000);
      events.push_back (
          { at_ms, (QuotaFault)number (0, (int)QuotaFault::FAULT_COUNT - 1),
            number (200, 7000), (uint32_t)random () });
    }
  return events;
}

} // namespace lab
