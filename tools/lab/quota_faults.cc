#include "quota_play.h"

#include <algorithm>

namespace lab
{

void
World::restart_sidecar (uint32_t si)
{
  Sidecar &s = *sidecars[si];
  s.process.life++;
  qln_finish (&s.lender);
  qgw_finish (&s.office);
  qln_init (&s.lender, &o.tolerance, s.process.life, now);
  s.lender.is_capped_by_reach = o.is_capped_by_reach;
  qgw_init (&s.office, now);
  s.heard.assign (o.gateways, 0);
  s.used.assign (o.gateways, 0);
  on (s.process, now + 200, [this, si] { heartbeat (si); });
}

void
World::begin (const QuotaEvent &event)
{
  uint64_t end = now + event.for_ms;
  Gateway &g = *gateways[event.which % o.gateways];
  // The first few sidecars matter most.
  uint32_t si = rank[event.which % std::min<uint32_t> (3, o.sidecars)];
  Sidecar &s = *sidecars[si];
  switch (event.fault)
    {
    case QuotaFault::GATEWAY_FROZEN:
      g.process.frozen_until = end;
      break;
    case QuotaFault::GATEWAY_RESTARTS:
      start_gateway (g);
      break;
    case QuotaFault::GATEWAY_CUT:
      g.process.cut_until = end;
      break;
    case QuotaFault::SIDECAR_FROZEN:
      s.process.frozen_until = end;
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
    case QuotaFault::SIDECAR_CUT:
      s.process.cut_until = end;
      break;
    case QuotaFault::PAIR_CUT:
    case QuotaFault::PAIR_ONE_WAY:
      pair_cuts.push_back (
          { g.number, si, event.fault == QuotaFault::PAIR_ONE_WAY, end });
      break;
    case QuotaFault::HALVES_CUT:
      halves_until = end;
      break;
    case QuotaFault::LOSSY:
      lossy_until = end;
      break;
    case QuotaFault::LIMIT_FALLS:
      limit.rate_per_s *= 0.5;
      limit.burst *= 0.5;
      limits.emplace_back (now, limit);
      revision++;
      for (auto &gateway : gateways)
        on (gateway->process, now + (uint64_t)(draw () * 1500),
            [this, &gateway] {
              qsp_set_limit (&gateway->purse, &limit, revision);
            });
      break;
    default:
      break;
    }
}

const char *
name_of (QuotaFault fault)
{
  static const char *const names[]
      = { "gateway frozen",  "gateway restart", "gateways restart",
          "all restart",     "gateway cut",     "sidecar frozen",
          "sidecar restart", "sidecar cut",     "pair cut",
          "pair one way",    "halves cut",      "lossy",
          "limit falls" };
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
      at_ms = number (0, 1) == 0 ? number (3000, options.end_ms - 4000)
                                 : at_ms + number (0, 1000);
      events.push_back ({ at_ms,
                          (QuotaFault)number (0, (int)QuotaFault::FAULTS - 1),
                          number (200, 7000), (uint32_t)random () });
    }
  return events;
}

} // namespace lab
