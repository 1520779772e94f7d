/// @file quota_simulation.h
/// State and events of the simulated gateways, sidecars and callers of
/// quota_world.h. The decisions are those of the daemon.
#ifndef KB_TOOLS_LAB_QUOTA_SIMULATION_H
#define KB_TOOLS_LAB_QUOTA_SIMULATION_H

#include "quota_world.h"

namespace lab
{

enum
{
  SIDECAR_HEARTBEAT_MS = 400, ///< Interval of sidecar heartbeats.
  GATEWAY_STATE_MS = 1000,    ///< Interval of gateway state messages.
  /// A sidecar that is silent for this time is unreachable.
  SIDECAR_SILENCE_MS = 900,
  /// A gateway that was isolated waits this long for contact with the other
  /// sidecars before it chooses a lender.
  LENDER_SETTLE_MS = 500,
  /// A sidecar drops a gateway that is silent for this time.
  GATEWAY_SILENCE_MS = 5000,
  TICK_MS = 50,
  ROTATION_MS = 400, ///< See QuotaOptions::rotation_size.
  /// Longest time between two draws of an arrival, because the demand changes
  /// over time.
  MAX_ARRIVAL_STEP_MS = 100,
  COUNT_EXCHANGE_MS = 200, ///< Interval of the SHARED_COUNTS policy.
  WORKSPACE_ID = 77,
  /// Incarnation of the first sidecar. The others get multiples of it.
  FIRST_INCARNATION = 1000,
  // Sizes on the wire, including frames, without ledgers.
  REQUEST_BYTES = 79,
  GRANT_BYTES = 34,
  COUNT_BYTES = 30,
};

// Link faults while QuotaFault::LOSSY is active.
constexpr double kLossProbability = 0.05;
constexpr double kDelayProbability = 0.15;
constexpr double kDuplicateProbability = 0.3;

struct World;

/// Fault state of a gateway or sidecar. The events of a frozen process are
/// deferred until it resumes.
struct Process
{
  uint64_t frozen_until_ms = 0;
  uint64_t disconnected_until_ms = 0;
  uint64_t incarnation = 0; ///< Incremented by each restart.
};

struct Request
{
  qsp_waiter_t waiter = {}; ///< Must be first: cast from qsp_waiter_t.
  double amount = 0;
  uint64_t arrived_ms = 0;
};

struct Gateway
{
  qsp_spender_t spender = {}; ///< Must be first: cast from qsp_spender_t.
  World *world = nullptr;
  uint32_t number = 0;
  Process process;
  double weight = 0;                     ///< Fraction of the total demand.
  std::vector<uint64_t> last_contact_ms; ///< By sidecar; zero: none.
  std::vector<uint64_t> incarnations;    ///< By sidecar, as last reported.
  qgw_peak_t peak = {};
  uint64_t started_ms = 0;  ///< Zero: before the simulation.
  uint64_t isolated_ms = 0; ///< Last time without a reachable sidecar.
  // Policies other than LENDER.
  qwn_window_t usage = {};
  double others_usage = 0;
};

struct Sidecar
{
  qln_lender_t lender = {};
  qgw_table_t gateway_table = {};
  Process process;
  std::vector<uint64_t> last_contact_ms; ///< By gateway; zero: none.
  std::vector<double> usage; ///< Reported usage, by gateway (SHARED_COUNTS).
};

struct World
{
  explicit World (const QuotaOptions &o);
  ~World ();
  void run ();
  /// Run `fn` at a time.
  void schedule (uint64_t when, std::function<void ()> fn);
  /// Run `fn` at a process, deferred while the process is frozen and dropped
  /// when it has restarted.
  void schedule_on (Process &process, uint64_t when,
                    std::function<void ()> fn);
  /// Deliver a message between gateway `g` and sidecar `s`, subject to faults.
  /// @param si  Index of `s`.
  /// @param fn  Runs at the receiver.
  void send (Gateway &g, Sidecar &s, uint32_t si, bool to_sidecar,
             std::function<void ()> fn);
  bool is_disconnected (const Gateway &g, uint32_t si, bool to_sidecar) const;
  void send_heartbeats (uint32_t si);
  void send_state (Gateway &g);
  void tick (Gateway &g);
  void issue_request (Gateway &g);
  /// Draw the next arrival of a request at a gateway.
  void schedule_arrival (Gateway &g);
  void record_admitted (Gateway &g, double amount, uint64_t since);
  void choose_lender (Gateway &g);
  /// @return  The sidecar at a position of the ranking of those reachable, or
  /// UINT32_MAX.
  uint32_t ranked_sidecar (const Gateway &g, uint32_t place) const;
  uint32_t count_reachable (const Gateway &g) const;
  void begin_fault (const QuotaEvent &event);
  void start_gateway (Gateway &g);
  /// Decide by the EQUAL_PARTS or SHARED_COUNTS policy.
  bool admit_without_lender (Gateway &g, double amount);
  void exchange_counts (Gateway &g);
  void count_message (double bytes);
  double
  random_unit ()
  {
    return std::uniform_real_distribution<> (0, 1) (random);
  }
  /// @return  The amount that a single shared account admits, or 0.
  double admit_ideal (double amount);
  void restart_sidecar (uint32_t si);
  /// Set `max_window_ratio` and `violation`.
  void check_windows (QuotaOutcome *out) const;

  const QuotaOptions &o;
  std::mt19937_64 random;
  uint64_t now_ms = 10000; ///< Not zero, as on a running machine.
  const uint64_t start_ms = 10000;
  typedef std::pair<uint64_t, uint64_t> Key;
  std::map<Key, std::function<void ()>> queue; ///< By time and sequence.
  uint64_t sequence = 0;
  std::vector<std::unique_ptr<Gateway>> gateways;
  std::vector<std::unique_ptr<Sidecar>> sidecars;
  std::vector<uint32_t>
      rank; ///< Sidecar indices in order of preference as lender.
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
  std::vector<std::pair<uint64_t, quo_limit_t>> limits; ///< Since when.
  std::vector<std::pair<uint64_t, double>> admissions;  ///< Time and amount.
  qlv_level_t ideal = {};
  QuotaOutcome out;
  /// Quota messages by gateway and sidecar.
  std::map<std::pair<uint32_t, uint32_t>, uint64_t> pair_messages;
};

} // namespace lab

#endif
