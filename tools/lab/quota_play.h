/// @file quota_play.h
/// Gateways, sidecars and callers of quota_world.h: their state, and what they
/// do at a moment. The decisions are the daemon's own.
#ifndef KB_TOOLS_LAB_QUOTA_PLAY_H
#define KB_TOOLS_LAB_QUOTA_PLAY_H

#include "quota_world.h"

namespace lab
{

enum
{
  HEARTBEAT_MS = 400, ///< Of sidecars.
  STATE_MS = 1000,    ///< Of gateways.
  HEARD_MS = 900,     ///< A sidecar that is silent for longer is not used.
  SETTLE_MS = 500,    ///< When a first sidecar is heard the others follow.
  GONE_MS = 5000,     ///< A gateway that is silent for longer is forgotten.
  TICK_MS = 50,
  TURN_MS = 400,
  LOOK_MS = 100, ///< The demand may change within a longer time.
  BEAT_MS = 200, ///< Of counts.
  WORKSPACE = 77,
  FIRST_LIFE = 1000, ///< Of the first sidecar; of the next one twice that.
  /// On the wire, with their frames and without ledgers.
  ASK_BYTES = 79,
  GRANT_BYTES = 34,
  COUNT_BYTES = 30,
};

constexpr double kLost = 0.05;
constexpr double kLate = 0.15;
constexpr double kTwice = 0.3;

struct World;

/// What one gateway or sidecar does is put off while it stands still.
struct Process
{
  uint64_t frozen_until = 0;
  uint64_t cut_until = 0;
  uint64_t life = 0; ///< Grows with each restart.
};

struct Request
{
  qsp_waiter_t waiter = {}; ///< First.
  double amount = 0;
  uint64_t at = 0;
};

struct Gateway
{
  qsp_spender_t purse = {}; ///< First.
  World *world = nullptr;
  uint32_t number = 0;
  Process process;
  double weight = 0;
  std::vector<uint64_t> heard; ///< By sidecar: when last.
  std::vector<uint64_t> lives; ///< By sidecar, as it told.
  qgw_peak_t peak = {};
  uint64_t born_ms = 0;
  uint64_t alone_ms = 0; ///< When it heard no sidecar last.
  // Other ways.
  qwn_window_t used = {};
  double others = 0;
};

struct Sidecar
{
  qln_lender_t lender = {};
  qgw_table_t office = {};
  Process process;
  std::vector<uint64_t> heard; ///< By gateway.
  std::vector<double> used;    ///< Counts, by gateway.
};

struct World
{
  explicit World (const QuotaOptions &o);
  ~World ();
  void run ();
  void at (uint64_t when, std::function<void ()> fn);
  /// Do something at a process, once it is awake and in the same life.
  void on (Process &process, uint64_t when, std::function<void ()> fn);
  /// Send between gateway g and sidecar s.
  void send (Gateway &g, Sidecar &s, uint32_t si, bool to_sidecar,
             std::function<void ()> fn);
  bool is_apart (const Gateway &g, uint32_t si, bool to_sidecar) const;
  void heartbeat (uint32_t si);
  void state (Gateway &g);
  void tick (Gateway &g);
  void request (Gateway &g);
  void arrive (Gateway &g);
  void admit (Gateway &g, double amount, uint64_t since);
  void choose (Gateway &g);
  /// The sidecar that ranks at a place among those heard, or UINT32_MAX.
  uint32_t ranked (const Gateway &g, uint32_t place) const;
  uint32_t count_heard (const Gateway &g) const;
  void begin (const QuotaEvent &event);
  void start_gateway (Gateway &g);
  bool take_other_way (Gateway &g, double amount);
  void beat (Gateway &g);
  void count_word (double bytes);
  double
  draw ()
  {
    return std::uniform_real_distribution<> (0, 1) (random);
  }
  double ideal_take (double amount);
  void restart_sidecar (uint32_t si);
  void check (QuotaOutcome *out) const;

  const QuotaOptions &o;
  std::mt19937_64 random;
  uint64_t now = 10000; ///< Boot clocks begin somewhere.
  const uint64_t start = 10000;
  typedef std::pair<uint64_t, uint64_t> Key;
  std::map<Key, std::function<void ()>> queue;
  uint64_t sequence = 0;
  std::vector<std::unique_ptr<Gateway>> gateways;
  std::vector<std::unique_ptr<Sidecar>> sidecars;
  std::vector<uint32_t> rank; ///< Sidecars, the first lender first.
  uint64_t lossy_until = 0;
  uint64_t halves_until = 0;
  struct PairCut
  {
    uint32_t gateway, sidecar;
    bool is_one_way;
    uint64_t until;
  };
  std::vector<PairCut> pair_cuts;
  uint64_t revision = 1;
  quo_limit_t limit;
  std::vector<std::pair<uint64_t, quo_limit_t>> limits; ///< By time.
  std::vector<std::pair<uint64_t, double>> runs;
  qlv_level_t ideal = {};
  QuotaOutcome out;
  std::map<std::pair<uint32_t, uint32_t>, uint64_t> talked; ///< Seconds.
};

} // namespace lab

#endif
