#include "quota_play.h"

#include <algorithm>

namespace lab
{

World::World (const QuotaOptions &options)
    : o (options), random (options.seed), limit (options.limit)
{
  limits.emplace_back (start, limit);
  for (uint32_t i = 0; i < o.sidecars; i++)
    {
      rank.push_back (i);
      sidecars.push_back (std::make_unique<Sidecar> ());
      Sidecar &s = *sidecars.back ();
      s.process.life = FIRST_LIFE * (i + 1);
      // The system is older than what is played.
      qln_init (&s.lender, &o.tolerance, s.process.life, 0);
      s.lender.is_capped_by_reach = o.is_capped_by_reach;
      qgw_init (&s.office, 0);
      s.heard.assign (o.gateways, 0);
      s.used.assign (o.gateways, 0);
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
      qgw_finish (&s->office);
    }
}

void
World::at (uint64_t when, std::function<void ()> fn)
{
  queue.emplace (Key (when, sequence++), std::move (fn));
}

void
World::on (Process &process, uint64_t when, std::function<void ()> fn)
{
  uint64_t life = process.life;
  at (when, [this, &process, life, fn] {
    if (process.life != life)
      return;
    if (now < process.frozen_until)
      on (process, process.frozen_until, fn);
    else
      fn ();
  });
}

bool
World::is_apart (const Gateway &g, uint32_t si, bool to_sidecar) const
{
  if (now < g.process.cut_until || now < sidecars[si]->process.cut_until)
    return true;
  if (now < halves_until && g.number % 2 != si % 2)
    return true;
  for (const PairCut &cut : pair_cuts)
    if (cut.gateway == g.number && cut.sidecar == si && now < cut.until
        && (!cut.is_one_way || !to_sidecar))
      return true;
  return false;
}

void
World::count_word (double bytes)
{
  out.words++;
  out.bytes += bytes;
}

void
World::send (Gateway &g, Sidecar &s, uint32_t si, bool to_sidecar,
             std::function<void ()> fn)
{
  if (is_apart (g, si, to_sidecar))
    return;
  uint64_t delay = 1 + (uint64_t)(draw () * 3);
  if (now < lossy_until)
    {
      if (draw () < kLost)
        return;
      if (draw () < kLate)
        delay += 200 + (uint64_t)(draw () * 200);
      // A word that comes again over a link that was made anew.
      if (draw () < kTwice)
        on (to_sidecar ? s.process : g.process, now + delay + 30, fn);
    }
  on (to_sidecar ? s.process : g.process, now + delay, std::move (fn));
}

uint32_t
World::ranked (const Gateway &g, uint32_t place) const
{
  for (uint32_t si : rank)
    {
      if (g.heard[si] == 0 || now - g.heard[si] >= HEARD_MS)
        continue;
      if (place-- == 0)
        return si;
    }
  return UINT32_MAX;
}

uint32_t
World::count_heard (const Gateway &g) const
{
  uint32_t count = 0;
  for (uint64_t heard_ms : g.heard)
    count += heard_ms > 0 && now - heard_ms < HEARD_MS;
  return count;
}

void
World::choose (Gateway &g)
{
  uint32_t first = ranked (g, 0);
  uint64_t before = g.purse.lender.id;
  qsp_lender_t lender = {};
  if (first == UINT32_MAX)
    g.alone_ms = now;
  else if (now - g.alone_ms >= SETTLE_MS)
    lender = { first + 1, g.lives[first] };
  qsp_set_reach (&g.purse, (double)count_heard (g) / o.sidecars);
  qsp_set_lender (&g.purse, &lender, now, g.peak.count, now);
  // Those that are not used any more learn it at once.
  if (g.purse.lender.id != before)
    state (g);
}

void
World::heartbeat (uint32_t si)
{
  Sidecar &s = *sidecars[si];
  for (uint32_t i = 0; i < o.gateways; i++)
    {
      if (s.heard[i] == 0 || now - s.heard[i] >= GONE_MS)
        continue;
      Gateway &g = *gateways[i];
      qgw_peak_t peak = s.office.peak;
      uint64_t age = now - peak.seen_ms;
      uint64_t life = s.process.life;
      send (g, s, si, false, [this, &g, si, peak, age, life] {
        g.heard[si] = now;
        g.lives[si] = life;
        qgw_peak_merge (&g.peak, peak.count, age, now);
        choose (g);
      });
    }
  on (s.process, now + HEARTBEAT_MS, [this, si] { heartbeat (si); });
}

/// As a gateway's heartbeat: to each sidecar, with the workspaces that another
/// one lends, for the one that would be next and for those that are not heard.
void
World::state (Gateway &g)
{
  uint32_t second = ranked (g, 1);
  bool is_used = g.purse.lender.id != 0 && now - g.purse.demand_ms < 2000;
  for (uint32_t si = 0; si < o.sidecars; si++)
    {
      Sidecar &s = *sidecars[si];
      bool is_silent = g.heard[si] == 0 || now - g.heard[si] >= HEARD_MS;
      bool names = is_used && (si == second || is_silent);
      if (names)
        out.bytes += 8;
      uint64_t life = g.process.life;
      qgw_peak_t peak = g.peak;
      uint64_t age = now - peak.seen_ms;
      send (g, s, si, true, [this, &g, &s, names, life, peak, age] {
        if (g.process.life != life)
          return;
        s.heard[g.number] = now;
        qgw_peak_merge (&s.office.peak, peak.count, age, now);
        uint64_t workspace = WORKSPACE;
        kb_slice_t packed = { (const char *)&workspace,
                              names ? (uint32_t)sizeof workspace : 0 };
        qgw_record_served_elsewhere (&s.office, g.number + 1, packed, now);
      });
    }
}

void
World::tick (Gateway &g)
{
  choose (g);
  if (o.way == QuotaWay::LOANS)
    qsp_tick (&g.purse, now);
  on (g.process, now + TICK_MS, [this, &g] { tick (g); });
}

static void
send_ask (qsp_spender_t *purse, uint64_t id, const qln_request_t *ask)
{
  Gateway &g = *(Gateway *)purse;
  World &w = *g.world;
  uint32_t si = (uint32_t)purse->lender.id - 1;
  Sidecar &s = *w.sidecars[si];
  qln_request_t sent = *ask;
  std::string told (ask->ledger.ptr, ask->ledger.len_bytes);
  if (w.o.planted == QuotaPlanted::NOTHING_IS_TOLD)
    told.clear ();
  w.count_word (ASK_BYTES + (double)told.size ());
  w.talked[{ g.number, si }]++;
  qgw_peak_t peak = g.peak;
  uint64_t age = w.now - peak.seen_ms;
  w.send (g, s, si, true,
          [&w, &g, &s, si, sent, told, id, peak, age] () mutable {
            sent.ledger = { told.data (), (uint32_t)told.size () };
            qgw_peak_merge (&s.office.peak, peak.count, age, w.now);
            sent.gateway_number
                = qgw_record_contact (&s.office, g.number + 1, w.now);
            sent.share = qgw_share (&s.office, WORKSPACE, g.number + 1, w.now);
            if (w.o.planted == QuotaPlanted::SECOND_LENDS_ALL)
              sent.share = { 1, 1, {}, false, sent.share.sole_lender_ms };
            kb_buf_t lines;
            kb_buf_init (&lines);
            qln_grant_t grant = qln_lend (&s.lender, &sent, &lines, w.now);
            std::string ledger (lines.ptr, lines.len_bytes);
            kb_buf_finish (&lines);
            w.count_word (GRANT_BYTES + (double)ledger.size ());
            uint64_t life = g.process.life;
            w.send (g, s, si, false, [&w, &g, grant, ledger, id, life] {
              if (g.process.life != life)
                return;
              if (w.o.planted == QuotaPlanted::GRANT_COUNTS_TWICE)
                g.purse.sent_requests[0] = { id, w.now };
              kb_slice_t slice = { ledger.data (), (uint32_t)ledger.size () };
              qsp_apply_grant (&g.purse, id, &grant, slice, w.now);
            });
          });
}

static void
decided (qsp_spender_t *purse, qsp_waiter_t *waiter, qsp_verdict_t verdict)
{
  Gateway &g = *(Gateway *)purse;
  Request *r = (Request *)waiter;
  if (verdict == QSP_ADMITTED)
    g.world->admit (g, r->amount, r->at);
  else if (verdict == QSP_OVER_QUOTA)
    g.world->out.refused++;
  else
    g.world->out.unknown++;
  delete r;
}

static const qsp_callbacks_t kEvents = { send_ask, decided };

void
World::start_gateway (Gateway &g)
{
  while (g.purse.first != nullptr)
    {
      qsp_waiter_t *waiter = g.purse.first;
      qsp_cancel (&g.purse, waiter);
      delete (Request *)waiter;
    }
  g.process.life++;
  // The system itself is new before the first requests come.
  g.born_ms = now == start ? 0 : now;
  uint64_t window_ms = quo_window_ms (&o.tolerance);
  bool is_lost
      = g.born_ms > 0 && o.planted != QuotaPlanted::START_ASSUMES_NOTHING;
  qln_prior_t past = is_lost ? QLN_PRIOR_LOST : QLN_PRIOR_NONE;
  qsp_options_t options
      = { WORKSPACE, o.tolerance, g.process.life << 32, g.born_ms, past };
  qsp_init (&g.purse, &kEvents, nullptr, &options, now);
  qsp_set_limit (&g.purse, &limit, revision);
  g.heard.assign (o.sidecars, 0);
  g.lives.assign (o.sidecars, 0);
  g.peak = {};
  g.alone_ms = now;
  qwn_init (&g.used, window_ms, now);
  g.others = 0;
  on (g.process, now + (uint64_t)(draw () * TICK_MS),
      [this, &g] { tick (g); });
  uint64_t phase = (uint64_t)(draw () * 100);
  std::function<void ()> *again = new std::function<void ()>;
  *again = [this, &g, again] {
    state (g);
    on (g.process, now + STATE_MS, *again);
  };
  on (g.process, now + phase, *again);
  if (o.way == QuotaWay::COUNTS)
    on (g.process, now + phase, [this, &g] { beat (g); });
}

void
World::run ()
{
  for (uint32_t si = 0; si < o.sidecars; si++)
    on (sidecars[si]->process, now + (uint64_t)(draw () * HEARTBEAT_MS),
        [this, si] { heartbeat (si); });
  for (auto &g : gateways)
    at (now + 1500, [this, &g] { arrive (*g); });
  for (const QuotaEvent &event : o.events)
    at (start + event.at_ms, [this, event] { begin (event); });
  uint64_t end = start + o.end_ms;
  while (!queue.empty () && queue.begin ()->first.first < end)
    {
      auto first = queue.begin ();
      now = first->first.first;
      std::function<void ()> fn = std::move (first->second);
      queue.erase (first);
      fn ();
    }
  for (auto &g : gateways)
    while (g->purse.first != nullptr)
      {
        qsp_waiter_t *waiter = g->purse.first;
        qsp_cancel (&g->purse, waiter);
        delete (Request *)waiter;
      }
  out.pair_seconds = (double)talked.size () * (double)o.end_ms / 1000;
  check (&out);
}

QuotaOutcome
play_quota (const QuotaOptions &options)
{
  World world (options);
  world.run ();
  return world.out;
}

} // namespace lab
