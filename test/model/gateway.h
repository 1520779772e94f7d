/// @file gateway.h
/// What a gateway knows of the store, in simulated time. Every decision is
/// made by the daemon's own code: when to read (follow), which targets are
/// listed (roster), which incarnation a message concerns (incarnation), and
/// which revision and version apply. Only the wiring of platform/directory.c
/// and gateway/ is simulated.
#ifndef KB_TEST_MODEL_GATEWAY_H
#define KB_TEST_MODEL_GATEWAY_H

#include <map>
#include <optional>
#include <random>

extern "C"
{
#include "coordination/access.h"
#include "coordination/follow.h"
#include "coordination/roster.h"
#include "relay/versions.h"
}

#include "sidecar.h"
#include "store.h"

namespace model
{

/// A fault planted in the rules, to check that the model detects it.
enum class PlantedFault
{
  NONE,
  LONG_WAIT_FOR_SILENT_STORE,
  OLDER_CONFIG_IS_APPLIED,
  NEW_INCARNATION_IS_IGNORED,
  MALFORMED_ENTRY_DROPS_BATCH,
  EXPIRED_ENTRY_IS_REMOVED,
  SIDECAR_REPLY_IS_FRESH, ///< A reply's data counts as read when it arrives.
  FORWARDED_CONFIG_IS_FRESH, ///< A forwarded configuration counts as just
                             ///< read.
  RESTORE_IS_IGNORED, ///< Eras and revisions that went back are ignored.
  COPY_IS_APPLIED,    ///< A copy counts as the current list.
  COPY_IS_FRESH,      ///< Reading a copy shows all that was confirmed.
};

class Gateway
{
public:
  /// @param index  Index among the gateways.
  Gateway (uint32_t seed, PlantedFault planted_fault, size_t index,
           uint64_t now_ms);
  ~Gateway ();
  Gateway (const Gateway &) = delete;
  Gateway &operator= (const Gateway &) = delete;
  /// Restart without any earlier state.
  void restart (uint64_t now_ms);
  /// @param peer  Sidecar that can serve reads in place of the store.
  void step (const Store &store, Sidecar *peer, uint64_t now_ms);
  /// Apply a configuration forwarded by another daemon.
  void apply_forwarded_config (uint64_t revision, uint64_t now_ms);
  /// @return  Whether a request with a key known here is admitted.
  bool admits_keys (uint64_t now_ms) const;
  /// @return  Whether the store has answered a read since the start.
  bool
  has_read () const
  {
    return follower_.known_ms > 0;
  }
  void apply_version (uint32_t version);
  uint32_t version () const;
  /// @return  Start time of the incarnation in use; empty: target unused.
  std::optional<uint64_t> used_born_ms (const std::string &id) const;
  /// @return  Hash of everything the gateway knows, to count distinct states.
  uint64_t state_hash () const;

  uint64_t config = 0;
  bool is_frozen = false;
  bool is_store_unreachable = false; ///< Requests to the store are lost.
  bool are_answers_lost
      = false; ///< Requests reach the store; answers are lost.
  bool is_sidecar_unreachable
      = false; ///< Messages to and from the sidecar are delayed.
  uint64_t one_way_delay_ms = 4; ///< Of requests and answers.
  uint64_t store_calls = 0;
  uint64_t shared_reads = 0; ///< Replies of the sidecar that were applied.

private:
  struct PendingRead
  {
    bool is_open = false;
    bool is_lost = false;
    flw_read_t read = {};
    uint64_t sent_ms = 0;
    std::optional<Answer> answer;
    uint64_t answer_ms = 0;
  };

  void init (uint64_t now_ms);
  void finish ();
  void apply_config (uint64_t revision);
  void step_read (flw_reader_id_t reader, const Store &store, uint64_t now_ms);
  void step_shared_read (Sidecar *peer, uint64_t now_ms);
  bool apply_reply (const SidecarReply &reply, uint64_t now_ms);
  void send_shared_request (Sidecar *peer, const flw_read_t &read,
                            uint64_t now_ms);
  void apply_items (const std::vector<Item> &items, uint64_t now_ms);
  void serve_read (PendingRead &r, flw_reader_id_t reader, const Store &store,
                   uint64_t now_ms);
  void record_answered ();
  void apply_answer (flw_reader_id_t reader, const Answer &answer,
                     uint64_t now_ms);
  bool apply_item (const Item &item, uint64_t remove_at_ms, uint64_t now_ms);
  bool apply_target (const Item &item, uint64_t now_ms);
  void remove_expired_targets (uint64_t now_ms);
  PlantedFault planted_fault_;
  size_t index_;
  uint64_t request_id_ = 0;
  uint64_t confirmed_ms_ = 0; ///< Start of the newest confirmed read.
  uint64_t sidecar_backoff_until_ms_ = 0; ///< Set when the sidecar fails.
  uint64_t config_revision_
      = 0; ///< The store's revision of the configuration, as read.
  uint64_t forwarded_config_ms_
      = 0; ///< When a configuration was last forwarded.
  std::mt19937 random_;
  flw_follower_t follower_;
  ros_roster_t roster_;
  ver_table_t versions_;
  PendingRead reads_[FLW_READERS];
  std::map<std::string, inc_tracker_t> beliefs_;
  std::map<std::string, bool> in_use_;
};

} // namespace model

#endif
