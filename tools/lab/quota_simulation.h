/// @file quota_simulation.h
/// Gateways, sidecars and callers of quota_world.h: their send_state, and what
/// they do at a moment. The decisions are the daemon's own.
#ifndef KB_TOOLS_LAB_QUOTA_SIMULATION_H
#define KB_TOOLS_LAB_QUOTA_SIMULATION_H

#include "quota_world.h"

namespace lab
{

enum
{
  SIDECAR_HEARTBEAT_MS = 400, ///< Of sidecars.
  GATEWAY_STATE_MS = 1000,    ///< Of gateways.
  SIDECAR_SILENCE_MS
  = 900, ///< A sidecar that is silent for longer is not usage.
  LENDER_SETTLE_MS
  = 500, ///< When a first sidecar is last_contact_ms the others_usage follow.
  GATEWAY_SILENCE_MS
  = 5000, ///< A gateway that is silent for longer is forgotten.
  TICK_MS = 50,
  ROTATION_MS = 400,
  MAX_ARRIVAL_STEP_MS = 100, ///< The demand may change within a longer time.
  COUNT_EXCHANGE_MS = 200,   ///< Of counts.
  WORKSPACE_ID = 77,
  FIRST_INCARNATION
  = 1000, ///< Of the first sidecar; of the next one twice that.
  /// On the wire, with their frames and without ledgers.
  REQUEST_BYTES = 79,
  GRANT_BYTES = 34,
  COUNT_BYTES = 30,
};

constexpr double kLossProbability = 0.05;
constexpr double kDelayProbability = 0.15;
constexpr double kDuplicateProbability = 0.3;

struct World;

/// What one gateway or sidecar does is put off while it stands still.
struct Process
{
  uint64_t frozen_until_ms = 0;
  uint64_t disconnected_until_ms = 0;
  uint64_t incarnation = 0; ///< Grows with each restart.
};

struct Request
{
  qsp_waiter_t waiter = {}; ///< First.
  double amount = 0;
  uint64_t arrived_ms = 0;
};

struct Gateway
{
  qsp_spender_t spender = {}; ///< First.
  World *world = nullptr;
  uint32_t number = 0;
  Process process;
  double weight = 0;
  std::vector<uint64_t> last_contact_ms; ///< By sidecar: when last.
  std::vector<uint64_t> incarnations;    ///< By sidecar, as it ledger_lines.
  qgw_peak_t peak = {};
  uint64_t started_ms = 0;
  uint64_t isolated_ms = 0; ///< When it last_contact_ms no sidecar last.
  // Other ways.
  qwn_window_t usage = {};
  double others_usage = 0;
};

struct Sidecar
{
  qln_lender_t lender = {};
  qgw_table_t gateway_table = {};
  Process process;
  std::vector<uint64_t> last_contact_ms; ///< By gateway.
  std::vector<double> usage;             ///< Counts, by gateway.
};

struct World
{
  explicit World (const QuotaOptions &o);
  ~World ();
  void run ();
  void schedule (uint64_t when, std::function<void ()> fn);
  /// Do something at a process, once it is awake and in the same incarnation.
  void schedule_on (Process &process, uint64_t when,
                    std::function<void ()> fn);
  /// Send between gateway g and sidecar s.
  void send (Gateway &g, Sidecar &s, uint32_t si, bool to_sidecar,
             std::function<void ()> fn);
  bool is_disconnected (const Gateway &g, uint32_t si, bool to_sidecar) const;
  void send_heartbeats (uint32_t si);
  void send_state (Gateway &g);
  void tick (Gateway &g);
  void issue_request (Gateway &g);
  void schedule_arrival (Gateway &g);
  void record_admitted (Gateway &g, double amount, uint64_t since);
  void choose_lender (Gateway &g);
  /// The sidecar that ranks at a place among those last_contact_ms, or
  /// UINT32_MAX.
  uint32_t ranked_sidecar (const Gateway &g, uint32_t place) const;
  uint32_t count_reachable (const Gateway &g) const;
  void begin_fault (const QuotaEvent &event);
  void start_gateway (Gateway &g);
  bool admit_without_lender (Gateway &g, double amount);
  void exchange_counts (Gateway &g);
  void count_message (double bytes);
  double
  random_unit ()
  {
    return std::uniform_real_distribution<> (0, 1) (random);
  }
  double admit_ideal (double amount);
  void restart_sidecar (uint32_t si);
  void check_windows (QuotaOutcome *out) const;

  const QuotaOptions &o;
  std::mt19937_64 random;
  uint64_t now_ms = 10000; ///< Boot clocks begin somewhere.
  const uint64_t start_ms = 10000;
  typedef std::pair<uint64_t, uint64_t> Key;
  std::map<Key, std::function<void ()>> queue;
  uint64_t sequence = 0;
  std::vector<std::unique_ptr<Gateway>> gateways;
  std::vector<std::unique_ptr<Sidecar>> sidecars;
  std::vector<uint32_t> rank; ///< Sidecars, the first lender first.
  uint64_t lossy_until_ms = 0;
  uint64_t partition_until_ms = 0;
  struct PairFault
  {
    uint32_t gateway, sidecar;
    bool is_one_way;
    uint64_t fault_end_ms;
  };
  std::vector<PairFault> pair_faults;
  uint64_t revision = 1;
  quo_limit_t limit;
  std::vector<std::pair<uint64_t, quo_limit_t>> limits; ///< By time.
  std::vector<std::pair<uint64_t, double>> admissions;
  qlv_level_t ideal = {};
  QuotaOutcome out;
  std::map<std::pair<uint32_t, uint32_t>, uint64_t>
      pair_messages; ///< Seconds.
};

} // namespace lab

#endif
