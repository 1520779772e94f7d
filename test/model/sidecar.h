/// @file sidecar.h
/// A sidecar that reads the store for the gateways, in simulated time. What it
/// keeps and when it reads is the daemon's own code (share); the wiring of
/// sidecar_share.c is played here.
#ifndef KB_TEST_MODEL_SIDECAR_H
#define KB_TEST_MODEL_SIDECAR_H

#include <deque>
#include <map>
#include <optional>

extern "C"
{
#include "coordination/share.h"
}

#include "store.h"

namespace model
{

/// What a sidecar tells one gateway.
struct Word
{
  uint64_t id = 0;
  uint64_t at_ms = 0; ///< When it arrives.
  shr_status_t verdict = SHR_READ_FAILED;
  uint64_t as_of = 0;
  int64_t began_after_ms = 0; ///< From the question's arrival to the read.
  uint64_t config_revision = 0;
  std::vector<Item> items;
};

class Sidecar
{
public:
  Sidecar ();
  ~Sidecar ();
  Sidecar (const Sidecar &) = delete;
  Sidecar &operator= (const Sidecar &) = delete;
  /// Start again: everything that was learnt is gone.
  void restart ();
  /// A question on its way.
  void ask (size_t gateway, const shr_request_t &ask, uint64_t at_ms);
  void step (const Store &store, uint64_t now_ms);
  /// Words on their way to each gateway.
  std::deque<Word> words[2];

  bool is_frozen = false;
  bool is_cut = false; ///< Its calls to the store get no answer.
  uint64_t calls = 0;

private:
  void step_read (const Store &store, uint64_t now_ms);
  void take (const Answer &answer);
  void tell (const shr_request_t &ask, shr_status_t verdict, uint64_t now_ms);
  shr_cache_t cache_;
  std::map<std::string, Item> items_; ///< Values behind the cache's keys.
  std::deque<std::pair<uint64_t, shr_request_t>> asks_;
  bool is_open_ = false;
  bool is_lost_ = false;
  uint64_t after_ = 0;
  uint64_t sent_ms_ = 0;
  std::optional<Answer> answer_;
  uint64_t answer_ms_ = 0;
};

} // namespace model

#endif
