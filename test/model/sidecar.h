/// @file sidecar.h
/// A sidecar that reads the store for the gateways, in simulated time. Caching
/// and read scheduling are the daemon's own code (share); the wiring of
/// sidecar_share.c is simulated.
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

/// Reply of a sidecar to one gateway's read request.
struct SidecarReply
{
  uint64_t id = 0;
  uint64_t arrival_ms = 0;
  shr_status_t status = SHR_READ_FAILED;
  uint64_t era = 0;
  uint64_t as_of = 0;
  int64_t read_start_offset_ms
      = 0; ///< From the request's arrival to the start of the read.
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
  /// Restart without any earlier state.
  void restart ();
  /// Queue a request that arrives at the given time.
  void add_request (size_t gateway, const shr_request_t &shared_request,
                    uint64_t arrival_ms);
  void step (const Store &store, uint64_t now_ms);
  /// Replies in transit, by gateway.
  std::deque<SidecarReply> replies[2];

  bool is_frozen = false;
  bool is_earlier_release = false; ///< It knows no era.
  bool is_store_unreachable
      = false; ///< Its requests to the store get no answer.
  uint64_t store_calls = 0;

private:
  void step_read (const Store &store, uint64_t now_ms);
  void apply_answer (const Answer &answer);
  void send_reply (const shr_request_t &shared_request, shr_status_t status,
                   uint64_t now_ms);
  shr_cache_t cache_;
  std::map<std::string, Item> items_; ///< Values of the keys in the cache.
  std::deque<std::pair<uint64_t, shr_request_t>> requests_;
  bool is_open_ = false;
  bool is_lost_ = false;
  uint64_t after_revision_ = 0;
  uint64_t sent_ms_ = 0;
  std::optional<Answer> answer_;
  uint64_t answer_ms_ = 0;
};

} // namespace model

#endif
