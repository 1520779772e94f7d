#include "quota_simulation.h"

#include <algorithm>

namespace lab
{

World::World (const QuotaOptions &options)
    : o (options), random (options.seed), limit (options.limit)
{
  limits.emplace_back (start_ms, limit);
  for (uint32_t i = 0; i < o.sidecars; i++)
    {
      rank.push_back (i);
      sidecars.push_back (std::make_unique<Sidecar> ());
      Sidecar &s = *sidecars.back ();
      s.process.incarnation = FIRST_INCARNATION * (i + 1);
      // The sidecars started before the simulation.
      qln_init (&s.lender, &o.tolerance, s.process.incarnation, 0);
      s.lender.is_capped_by_reach = o.is_capped_by_reach;
      qgw_init (&s.gateway_table, 0);
      s.last_contact_ms.assign (o.gateways, 0);
      s.usage.assign (o.gateways, 0);
    }
  double sum = 0;
  for (uint32_t i = 0; i < o.gateways; i++)
    {
      gateways.push_back (std::make_unique<Gateway> ());
      Gateway &g = *gateways.back ();
      g.world = this;
      g.number = i;
      g.weight = std::exponential_distribution<> (1) (random);
      sum += g.weight;
      start_gateway (g);
    }
  for (auto &g : gateways)
    g->weight /= sum;
}

World::~World ()
{
  for (auto &s : sidecars)
    {
      qln_finish (&s->lender);
      qgw_finish (&s->gateway_table);
    }
}

void
World::schedule (uint64_t when, std::function<void ()> fn)
{
  queue.emplace (Key (when, sequence++), std::move (fn));
}

void
World::schedule_on (Process &process, uint64_t when, std::function<void ()> fn)
{
  uint64_t incarnation = process.incarnation;
  schedule (when, [this, &process, incarnation, fn] {
    if (process.incarnation != incarnation)
      return;
    if (now_ms < process.frozen_until_ms)
      schedule_on (process, process.frozen_until_ms, fn);
    else
      fn ();
  });
}

bool
World::is_disconnected (const Gateway &g, uint32_t si, bool to_sidecar) const
{
  if (now_ms < g.process.disconnected_until_ms
      || now_ms < sidecars[si]->process.disconnected_until_ms)
    return true;
  if (now_ms < partition_until_ms && g.number % 2 != si % 2)
    return true;
  for (const PairFault &pair_fault : pair_faults)
    if (pair_fault.gateway == g.number && pair_fault.sidecar == si
        && now_ms < pair_fault.fault_end_ms
        && (!pair_fault.is_one_way || !to_sidecar))
      return true;
  return false;
}

void
World::count_message (double bytes)
{
  out.messages++;
  out.bytes += bytes;
}

void
World::send (Gateway &g, Sidecar &s, uint32_t si, bool to_sidecar,
             std::function<void ()> fn)
{
  if (is_disconnected (g, si, to_sidecar))
    return;
  uint64_t delay = 1 + (uint64_t)(random_unit () * 3);
  if (now_ms < lossy_until_ms)
    {
      if (random_unit () < kLossProbability)
        return;
      if (random_unit () < kDelayProbability)
        delay += 200 + (uint64_t)(random_unit () * 200);
      // A reconnected link delivers the message again.
      if (random_unit () < kDuplicateProbability)
        schedule_on (to_sidecar ? s.process : g.process, now_ms + delay + 30,
                     fn);
    }
  schedule_on (to_sidecar ? s.process : g.process, now_ms + delay,
               std::move (fn));
}

uint32_t
World::ranked_sidecar (const Gateway &g, uint32_t place) const
{
  for (uint32_t si : rank)
    {
      if (g.last_contact_ms[si] == 0
          || now_ms - g.last_contact_ms[si] >= SIDECAR_SILENCE_MS)
        continue;
      if (place-- == 0)
        return si;
    }
  return UINT32_MAX;
}

uint32_t
World::count_reachable (const Gateway &g) const
{
  uint32_t count = 0;
  for (uint64_t contact_ms : g.last_contact_ms)
    count += contact_ms > 0 && now_ms - contact_ms < SIDECAR_SILENCE_MS;
  return count;
}

void
World::choose_lender (Gateway &g)
{
  uint32_t first = ranked_sidecar (g, 0);
  uint64_t before = g.spender.lender.id;
  qsp_lender_t lender = {};
  if (first == UINT32_MAX)
    g.isolated_ms = now_ms;
  else if (now_ms - g.isolated_ms >= LENDER_SETTLE_MS)
    lender = { first + 1, g.incarnations[first] };
  qsp_set_reach (&g.spender, (double)count_reachable (g) / o.sidecars);
  qsp_set_lender (&g.spender, &lender, now_ms, g.peak.count, now_ms);
  // Report a change of lender to the sidecars at once.
  if (g.spender.lender.id != before)
    send_state (g);
}

void
World::send_heartbeats (uint32_t si)
{
  Sidecar &s = *sidecars[si];
  for (uint32_t i = 0; i < o.gateways; i++)
    {
      if (s.last_contact_ms[i] == 0
          || now_ms - s.last_contact_ms[i] >= GATEWAY_SILENCE_MS)
        continue;
      Gateway &g = *gateways[i];
      qgw_peak_t peak = s.gateway_table.peak;
      uint64_t age = now_ms - peak.seen_ms;
      uint64_t incarnation = s.process.incarnation;
      send (g, s, si, false, [this, &g, si, peak, age, incarnation] {
        g.last_contact_ms[si] = now_ms;
        g.incarnations[si] = incarnation;
        qgw_peak_merge (&g.peak, peak.count, age, now_ms);
        choose_lender (g);
      });
    }
  schedule_on (s.process, now_ms + SIDECAR_HEARTBEAT_MS,
               [this, si] { send_heartbeats (si); });
}

/// Send the gateway state to each sidecar. The second in rank and unreachable
/// sidecars also get the workspaces that are served by another lender.
void
World::send_state (Gateway &g)
{
  uint32_t second_sidecar = ranked_sidecar (g, 1);
  bool is_used
      = g.spender.lender.id != 0 && now_ms - g.spender.demand_ms < 2000;
  for (uint32_t si = 0; si < o.sidecars; si++)
    {
      Sidecar &s = *sidecars[si];
      bool is_unreachable
          = g.last_contact_ms[si] == 0
            || now_ms - g.last_contact_ms[si] >= SIDECAR_SILENCE_MS;
      bool reports_workspace
          = is_used && (si == second_sidecar || is_unreachable);
      if (reports_workspace)
        out.bytes += 8;
      uint64_t incarnation = g.process.incarnation;
      qgw_peak_t peak = g.peak;
      uint64_t age = now_ms - peak.seen_ms;
      send (g, s, si, true,
            [this, &g, &s, reports_workspace, incarnation, peak, age] {
              if (g.process.incarnation != incarnation)
                return;
              s.last_contact_ms[g.number] = now_ms;
              qgw_peak_merge (&s.gateway_table.peak, peak.count, age, now_ms);
              uint64_t workspace = WORKSPACE_ID;
              kb_slice_t packed
                  = { (const char *)&workspace,
                      reports_workspace ? (uint32_t)sizeof workspace : 0 };
              qgw_record_served_elsewhere (&s.gateway_table, g.number + 1,
                                           packed, now_ms);
            });
    }
}

void
World::tick (Gateway &g)
{
  choose_lender (g);
  if (o.policy == QuotaPolicy::LENDER)
    qsp_tick (&g.spender, now_ms);
  schedule_on (g.process, now_ms + TICK_MS, [this, &g] { tick (g); });
}

static void
send_request (qsp_spender_t *spender, uint64_t id,
              const qln_request_t *lend_request)
{
  Gateway &g = *(Gateway *)spender;
  World &w = *g.world;
  uint32_t si = (uint32_t)spender->lender.id - 1;
  Sidecar &s = *w.sidecars[si];
  qln_request_t sent = *lend_request;
  std::string ledger_lines (lend_request->ledger.ptr,
                            lend_request->ledger.len_bytes);
  if (w.o.injected_bug == QuotaInjectedBug::NO_LEDGER_REPORTS)
    ledger_lines.clear ();
  w.count_message (REQUEST_BYTES + (double)ledger_lines.size ());
  w.pair_messages[{ g.number, si }]++;
  qgw_peak_t peak = g.peak;
  uint64_t age = w.now_ms - peak.seen_ms;
  w.send (
      g, s, si, true,
      [&w, &g, &s, si, sent, ledger_lines, id, peak, age] () mutable {
        sent.ledger = { ledger_lines.data (), (uint32_t)ledger_lines.size () };
        qgw_peak_merge (&s.gateway_table.peak, peak.count, age, w.now_ms);
        sent.gateway_number
            = qgw_record_contact (&s.gateway_table, g.number + 1, w.now_ms);
        sent.share = qgw_share (&s.gateway_table, WORKSPACE_ID, g.number + 1,
                                w.now_ms);
        if (w.o.injected_bug == QuotaInjectedBug::SECOND_LENDER_LENDS_ALL)
          sent.share = { 1, 1, {}, false, sent.share.sole_lender_ms };
        kb_buf_t lines;
        kb_buf_init (&lines);
        qln_grant_t grant = qln_lend (&s.lender, &sent, &lines, w.now_ms);
        std::string ledger (lines.ptr, lines.len_bytes);
        kb_buf_finish (&lines);
        w.count_message (GRANT_BYTES + (double)ledger.size ());
        uint64_t incarnation = g.process.incarnation;
        w.send (g, s, si, false, [&w, &g, grant, ledger, id, incarnation] {
          if (g.process.incarnation != incarnation)
            return;
          if (w.o.injected_bug == QuotaInjectedBug::GRANT_APPLIED_TWICE)
            g.spender.sent_requests[0] = { id, w.now_ms };
          kb_slice_t slice = { ledger.data (), (uint32_t)ledger.size () };
          qsp_apply_grant (&g.spender, id, &grant, slice, w.now_ms);
        });
      });
}

static void
on_decided (qsp_spender_t *spender, qsp_waiter_t *waiter,
            qsp_verdict_t verdict)
{
  Gateway &g = *(Gateway *)spender;
  Request *r = (Request *)waiter;
  if (verdict == QSP_ADMITTED)
    g.world->record_admitted (g, r->amount, r->arrived_ms);
  else if (verdict == QSP_OVER_QUOTA)
    g.world->out.refused++;
  else
    g.world->out.undecided++;
  delete r;
}

static const qsp_callbacks_t kCallbacks = { send_request, on_decided };

void
World::start_gateway (Gateway &g)
{
  while (g.spender.first != nullptr)
    {
      qsp_waiter_t *waiter = g.spender.first;
      qsp_cancel (&g.spender, waiter);
      delete (Request *)waiter;
    }
  g.process.incarnation++;
  // The initial start precedes all requests, so no credit was lent before it.
  g.started_ms = now_ms == start_ms ? 0 : now_ms;
  uint64_t window_ms = quo_window_ms (&o.tolerance);
  bool is_lost
      = g.started_ms > 0
        && o.injected_bug != QuotaInjectedBug::RESTART_IGNORES_LENT_CREDIT;
  qln_prior_t prior = is_lost ? QLN_PRIOR_LOST : QLN_PRIOR_NONE;
  qsp_options_t options = { WORKSPACE_ID, o.tolerance,
                            g.process.incarnation << 32, g.started_ms, prior };
  qsp_init (&g.spender, &kCallbacks, nullptr, &options, now_ms);
  qsp_set_limit (&g.spender, &limit, revision);
  g.last_contact_ms.assign (o.sidecars, 0);
  g.incarnations.assign (o.sidecars, 0);
  g.peak = {};
  g.isolated_ms = now_ms;
  qwn_init (&g.usage, window_ms, now_ms);
  g.others_usage = 0;
  schedule_on (g.process, now_ms + (uint64_t)(random_unit () * TICK_MS),
               [this, &g] { tick (g); });
  uint64_t phase = (uint64_t)(random_unit () * 100);
  std::function<void ()> *again = new std::function<void ()>;
  *again = [this, &g, again] {
    send_state (g);
    schedule_on (g.process, now_ms + GATEWAY_STATE_MS, *again);
  };
  schedule_on (g.process, now_ms + phase, *again);
  if (o.policy == QuotaPolicy::SHARED_COUNTS)
    schedule_on (g.process, now_ms + phase,
                 [this, &g] { exchange_counts (g); });
}

void
World::run ()
{
  for (uint32_t si = 0; si < o.sidecars; si++)
    schedule_on (sidecars[si]->process,
                 now_ms + (uint64_t)(random_unit () * SIDECAR_HEARTBEAT_MS),
                 [this, si] { send_heartbeats (si); });
  for (auto &g : gateways)
    schedule (now_ms + 1500, [this, &g] { schedule_arrival (*g); });
  for (const QuotaEvent &event : o.events)
    schedule (start_ms + event.at_ms, [this, event] { begin_fault (event); });
  uint64_t end = start_ms + o.simulated_ms;
  while (!queue.empty () && queue.begin ()->first.first < end)
    {
      auto first = queue.begin ();
      now_ms = first->first.first;
      std::function<void ()> fn = std::move (first->second);
      queue.erase (first);
      fn ();
    }
  for (auto &g : gateways)
    while (g->spender.first != nullptr)
      {
        qsp_waiter_t *waiter = g->spender.first;
        qsp_cancel (&g->spender, waiter);
        delete (Request *)waiter;
      }
  out.pair_seconds
      = (double)pair_messages.size () * (double)o.simulated_ms / 1000;
  check_windows (&out);
}

QuotaOutcome
simulate_quota (const QuotaOptions &options)
{
  World world (options);
  world.run ();
  return world.out;
}

} // namespace lab
