/// @file gateway.h
/// What a gateway believes, in simulated time. Every decision is the daemon's
/// own code: when to read (follow), which targets are listed (roster), which
/// incarnation a word is about (incarnation), which revision and version hold.
/// Only the wiring of platform/directory.c and gateway/ is played here.
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

/// A fault that is planted in the rules, to see that it is found.
enum class Planted
{
  NONE,
  SILENT_READ_IS_WAITED_FOR,
  OLDER_WORD_IS_TAKEN,
  BIRTH_IS_IGNORED,
  BATCH_IS_LOST_BY_ONE_BAD_ENTRY,
  LAPSED_ENTRY_IS_GONE,
  ARRIVAL_IS_TRUSTED, ///< A peer's word counts as fresh when it arrives.
  PASSED_ON_IS_FRESH, ///< A configuration passed on counts as just read.
};

class Gateway
{
public:
  /// @param at  Its number among the gateways.
  Gateway (uint32_t seed, Planted planted, size_t at, uint64_t now_ms);
  ~Gateway ();
  Gateway (const Gateway &) = delete;
  Gateway &operator= (const Gateway &) = delete;
  /// Start again: everything that was learnt is gone.
  void restart (uint64_t now_ms);
  /// @param peer  A sidecar that can be asked in place of the store.
  void step (const Store &store, Sidecar *peer, uint64_t now_ms);
  /// A configuration that another daemon passed on.
  void take_passed_config (uint64_t revision, uint64_t now_ms);
  /// Whether a request with a key that is known here is let in.
  bool admits_keys (uint64_t now_ms) const;
  void take_version (uint32_t version);
  uint32_t version () const;
  /// Whether a target is in use, and by which birth.
  std::optional<uint64_t> born_in_use (const std::string &id) const;
  /// A hash of all that is believed.
  uint64_t state () const;

  uint64_t config = 0;
  bool is_frozen = false;
  bool is_cut = false;   ///< Calls to the store get no answer.
  bool is_deaf = false;  ///< Calls arrive there, answers are lost.
  bool is_apart = false; ///< Words to and from the sidecar are held up.
  uint64_t delay_ms = 4; ///< Of an answer.
  uint64_t calls = 0;
  uint64_t shared = 0; ///< Words of the sidecar that were taken.

private:
  struct Read
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
  void take_config (uint64_t revision);
  void step_read (flw_reader_id_t which, const Store &store, uint64_t now_ms);
  void step_shared (Sidecar *peer, uint64_t now_ms);
  bool take_word (const Word &word, uint64_t now_ms);
  void send_ask (Sidecar *peer, const flw_read_t &read, uint64_t now_ms);
  void take_items (const std::vector<Item> &items, uint64_t now_ms);
  void fetch_answer (Read &r, flw_reader_id_t which, const Store &store,
                     uint64_t now_ms);
  void take (flw_reader_id_t which, const Answer &answer, uint64_t now_ms);
  bool take_item (const Item &item, uint64_t remove_at_ms, uint64_t now_ms);
  bool take_target (const Item &item);
  void sweep (uint64_t now_ms);
  Planted planted_;
  size_t at_;
  uint64_t ask_id_ = 0;
  uint64_t leave_alone_until_ms_ = 0; ///< The sidecar failed.
  uint64_t config_revision_ = 0;      ///< Of the store, as read there.
  uint64_t passed_ms_ = 0;            ///< When a configuration was passed on.
  std::mt19937 random_;
  flw_follower_t follower_;
  ros_roster_t roster_;
  ver_table_t versions_;
  Read reads_[FLW_READERS];
  std::map<std::string, inc_tracker_t> beliefs_;
  std::map<std::string, bool> in_use_;
};

} // namespace model

#endif
