#include "gateway.h"

extern "C"
{
#include "state/service.h"
}

namespace model
{

enum
{
  READ_PAUSE_MS = 700, ///< As platform/directory.c for a bound of 2 s.
  LEAVE_BOUND_MS = 2000,
  REVOKE_BOUND_MS = 5000,
  SIDECAR_BACKOFF_MS = 5000, ///< As in gateway_peers.c.
  OVERSTATED_AGE_MS = 60000, ///< Any reply is fresher than this.
};

static const char kTargets[] = "servers/";

static const uint8_t kDigest[WSP_DIGEST_BYTES] = { 1 };

/// A workspace with one key.
static wsp_table_t
one_workspace ()
{
  wsp_table_t table = {};
  table.is_key_required = true;
  wsp_add (&table, "red");
  wsp_add_key (&table, kDigest);
  wsp_seal (&table);
  return table;
}

static bool
is_target (const Item &item)
{
  return item.key.rfind (kTargets, 0) == 0;
}

static std::string
id_of (const Item &item)
{
  return item.key.substr (sizeof kTargets - 1);
}

Gateway::Gateway (uint32_t seed, PlantedFault planted_fault, size_t index,
                  uint64_t now_ms)
    : planted_fault_ (planted_fault), index_ (index), random_ (seed)
{
  init (now_ms);
}

Gateway::~Gateway () { finish (); }

void
Gateway::init (uint64_t now_ms)
{
  flw_init (&follower_, READ_PAUSE_MS, now_ms);
  ros_init (&roster_, LEAVE_BOUND_MS);
  versions_ = {};
  for (PendingRead &r : reads_)
    r = PendingRead ();
}

void
Gateway::finish ()
{
  ros_finish (&roster_);
  ver_table_finish (&versions_);
}

void
Gateway::restart (uint64_t now_ms)
{
  finish ();
  config = 0;
  config_revision_ = 0;
  confirmed_ms_ = 0;
  forwarded_config_ms_ = 0;
  sidecar_backoff_until_ms_ = 0;
  beliefs_.clear ();
  in_use_.clear ();
  init (now_ms);
}

void
Gateway::apply_config (uint64_t revision)
{
  if (planted_fault_ == PlantedFault::OLDER_CONFIG_IS_APPLIED
      || svc_revision_is_newer (config, revision))
    config = revision;
}

void
Gateway::apply_forwarded_config (uint64_t revision, uint64_t now_ms)
{
  forwarded_config_ms_ = now_ms;
  apply_config (revision);
}

bool
Gateway::admits_keys (uint64_t now_ms) const
{
  uint64_t known_ms = planted_fault_ == PlantedFault::COPY_IS_FRESH
                          ? follower_.known_ms
                          : confirmed_ms_;
  if (planted_fault_ == PlantedFault::FORWARDED_CONFIG_IS_FRESH)
    known_ms = std::max (known_ms, forwarded_config_ms_);
  acc_request_t request = { 1, kDigest, false };
  acc_freshness_t freshness
      = { known_ms == 0 ? UINT64_MAX : now_ms - known_ms, REVOKE_BOUND_MS };
  static const wsp_table_t table = one_workspace ();
  return acc_authorize (&table, &request, &freshness).outcome == ACC_ADMITTED;
}

void
Gateway::apply_version (uint32_t version)
{
  ver_table_update (&versions_, kb_slice_str ("m"), kb_slice_str ("a1"),
                    version);
}

uint32_t
Gateway::version () const
{
  char name[EGN_KEY_BYTES];
  return ver_newest (
      &versions_,
      ver_key (kb_slice_str ("m"), kb_slice_str ("a1"), name, sizeof name));
}

std::optional<uint64_t>
Gateway::used_born_ms (const std::string &id) const
{
  auto it = in_use_.find (id);
  if (it == in_use_.end () || !it->second)
    return std::nullopt;
  return beliefs_.at (id).born_ms;
}

uint64_t
Gateway::state_hash () const
{
  uint64_t hash = kb_hash (&config, sizeof config, version ());
  for (const auto &[id, is_used] : in_use_)
    {
      uint64_t parts[3] = { hash, is_used ? beliefs_.at (id).born_ms : 0,
                            beliefs_.at (id).older_report_count };
      hash = kb_hash (parts, sizeof parts, id.back ());
    }
  for (const flw_reader_t &r : follower_.readers)
    {
      uint64_t parts[4] = { hash, r.is_reading, r.failed_since_ms > 0,
                            r.consecutive_timeouts };
      hash = kb_hash (parts, sizeof parts, 0);
    }
  return hash;
}

bool
Gateway::apply_target (const Item &item, uint64_t now_ms)
{
  std::string id = id_of (item);
  if (item.value.is_malformed)
    return false;
  inc_t who = {};
  snprintf (who.id, sizeof who.id, "%s", id.c_str ());
  who.born_ms = item.value.born_ms;
  bool is_leaving = false;
  bool is_copy = item.revision <= follower_.copy_revision
                 && planted_fault_ != PlantedFault::COPY_IS_APPLIED;
  if (is_copy && !ros_accept_copy (&roster_, &who, now_ms, &is_leaving))
    return true;
  if (ros_list (&roster_, &who, is_leaving))
    flw_record_new_target (&follower_);
  inc_tracker_t &belief = beliefs_[id];
  inc_tracker_t before = belief;
  inc_verdict_t verdict = inc_observe_birth (&belief, item.value.born_ms);
  if (planted_fault_ == PlantedFault::NEW_INCARNATION_IS_IGNORED
      && before.born_ms > 0)
    belief = before;
  if (verdict != INC_STALE)
    in_use_[id] = true;
  return true;
}

/// @return  Whether the item could be parsed.
bool
Gateway::apply_item (const Item &item, uint64_t remove_at_ms, uint64_t now_ms)
{
  if (!is_target (item))
    {
      if (item.is_gone || item.value.is_malformed)
        return !item.value.is_malformed;
      if (item.value.config > 0)
        apply_config (item.value.config);
      if (item.value.version > 0)
        apply_version (item.value.version);
      return true;
    }
  if (item.is_gone)
    ros_unlist (&roster_, id_of (item).c_str (), remove_at_ms);
  else if (!apply_target (item, now_ms))
    {
      ros_unlist (&roster_, id_of (item).c_str (), now_ms);
      return false;
    }
  return true;
}

void
Gateway::remove_expired_targets (uint64_t now_ms)
{
  char id[INC_ID_BYTES];
  while (ros_pop_expired (&roster_, now_ms, id))
    in_use_[id] = false;
}

void
Gateway::apply_items (const std::vector<Item> &items, uint64_t now_ms)
{
  uint32_t vanished = 0;
  for (const Item &item : items)
    vanished += is_target (item) && item.is_gone;
  if (planted_fault_ == PlantedFault::EXPIRED_ENTRY_IS_REMOVED)
    follower_.retain_until_ms = 0;
  uint64_t remove_at_ms = ros_removal_ms (
      &roster_, vanished, flw_retain_until_ms (&follower_), now_ms);
  for (const Item &item : items)
    if (!apply_item (item, remove_at_ms, now_ms)
        && planted_fault_ == PlantedFault::MALFORMED_ENTRY_DROPS_BATCH)
      break;
}

/// @return  Revision of the operator's newest change, or zero.
static uint64_t
operator_revision (const std::vector<Item> &items)
{
  uint64_t newest = 0;
  for (const Item &item : items)
    if (!is_target (item))
      newest = std::max (newest, item.revision);
  return newest;
}

void
Gateway::record_answered ()
{
  if (flw_is_confirmed (&follower_))
    confirmed_ms_ = follower_.known_ms;
}

void
Gateway::apply_answer (flw_reader_id_t reader, const Answer &answer,
                       uint64_t now_ms)
{
  flw_answer_t read
      = { answer.as_of, answer.era, operator_revision (answer.items) };
  if (planted_fault_ == PlantedFault::RESTORE_IS_IGNORED)
    read.era = 0, follower_.readers[reader].sent_revision = 0;
  uint32_t restore_count = follower_.restore_count;
  flw_verdict_t verdict
      = flw_answered (&follower_, reader, now_ms, &read, (uint32_t)random_ ());
  if (restore_count != follower_.restore_count)
    config_revision_ = 0;
  if (verdict == FLW_DISCARD)
    return;
  for (const Item &item : answer.items)
    if (item.key == "op/config")
      config_revision_ = std::max (config_revision_, item.revision);
  record_answered ();
  bool is_list = answer.is_range && reader == FLW_BATCH;
  if (is_list)
    ros_range_begin (&roster_);
  apply_items (answer.items, now_ms);
  if (is_list)
    ros_range_end (&roster_, 0, flw_retain_until_ms (&follower_), now_ms);
}

/// @return  Whether the reply was applied.
bool
Gateway::apply_reply (const SidecarReply &reply, uint64_t now_ms)
{
  bool is_known = reply.status == SHR_CHANGES_KNOWN
                  && reply.era == follower_.era.era
                  && reply.config_revision <= config_revision_;
  uint64_t began_ms
      = reads_[FLW_BATCH].sent_ms + (uint64_t)reply.read_start_offset_ms;
  if (planted_fault_ == PlantedFault::SIDECAR_REPLY_IS_FRESH)
    began_ms = now_ms;
  if (!is_known)
    flw_shared_failed (&follower_, now_ms);
  else if (flw_shared_answered (&follower_, now_ms, began_ms, reply.as_of,
                                operator_revision (reply.items),
                                (uint32_t)random_ ()))
    {
      record_answered ();
      apply_items (reply.items, now_ms);
      shared_reads++;
      return true;
    }
  return false;
}

void
Gateway::step_shared_read (Sidecar *peer, uint64_t now_ms)
{
  std::deque<SidecarReply> &replies = peer->replies[index_];
  while (!replies.empty () && replies.front ().arrival_ms <= now_ms
         && !is_sidecar_unreachable)
    {
      SidecarReply reply = replies.front ();
      replies.pop_front ();
      PendingRead &r = reads_[FLW_BATCH];
      if (!r.is_open || !r.read.is_shared || reply.id != request_id_)
        continue;
      bool was_applied = apply_reply (reply, now_ms);
      r = PendingRead ();
      if (!was_applied && reply.status != SHR_TOO_OLD)
        sidecar_backoff_until_ms_ = now_ms + SIDECAR_BACKOFF_MS;
    }
  PendingRead &r = reads_[FLW_BATCH];
  bool has_timed_out = r.is_open && r.read.is_shared
                       && now_ms - r.sent_ms >= r.read.timeout_ms;
  if (!has_timed_out)
    return;
  r = PendingRead ();
  sidecar_backoff_until_ms_ = now_ms + SIDECAR_BACKOFF_MS;
  flw_shared_failed (&follower_, now_ms);
}

void
Gateway::send_shared_request (Sidecar *peer, const flw_read_t &read,
                              uint64_t now_ms)
{
  shr_request_t shared_request = {};
  shared_request.id = ++request_id_;
  shared_request.era = follower_.era.era;
  shared_request.after = read.after;
  shared_request.known_age_ms
      = planted_fault_ == PlantedFault::SIDECAR_REPLY_IS_FRESH
            ? (uint64_t)OVERSTATED_AGE_MS
            : read.known_age_ms;
  shared_request.pause_ms = read.pause_ms;
  peer->add_request (index_, shared_request, now_ms + 1);
}

/// Let the store process the read, unless the request is lost or the store is
/// silent; the answer takes time to return.
void
Gateway::serve_read (PendingRead &r, flw_reader_id_t reader,
                     const Store &store, uint64_t now_ms)
{
  if (store.fault == StoreFault::SILENT || is_store_unreachable)
    r.is_lost = true;
  if (r.is_lost || now_ms - r.sent_ms < one_way_delay_ms)
    return;
  bool is_operator_only = reader == FLW_DIRECT;
  bool has_wait_ended
      = now_ms - r.sent_ms >= r.read.wait_ms + one_way_delay_ms;
  if (store.fault == StoreFault::REFUSING)
    r.answer = Answer{ .kind = Answer::REFUSED };
  else if (has_wait_ended || store.has_answer (is_operator_only, r.read.after))
    r.answer = store.answer (is_operator_only, r.read.after);
  else
    return;
  uint64_t slow_factor = store.fault == StoreFault::SLOW ? 80 : 1;
  r.answer_ms = now_ms + one_way_delay_ms * slow_factor;
  r.is_lost = are_answers_lost;
}

void
Gateway::step_read (flw_reader_id_t reader, const Store &store,
                    uint64_t now_ms)
{
  PendingRead &r = reads_[reader];
  if (!r.is_open || r.read.is_shared)
    return;
  if (!r.answer)
    serve_read (r, reader, store, now_ms);
  bool is_answered = r.answer && !r.is_lost && now_ms >= r.answer_ms;
  bool has_timed_out = now_ms - r.sent_ms >= r.read.timeout_ms;
  if (!is_answered && !has_timed_out)
    return;
  PendingRead done = r;
  r = PendingRead ();
  if (is_answered && done.answer->kind == Answer::OK)
    apply_answer (reader, *done.answer, now_ms);
  else
    flw_failed (&follower_, reader, now_ms,
                is_answered && done.answer->kind == Answer::HISTORY_GONE
                    ? FLW_HISTORY_GONE
                    : FLW_NO_ANSWER,
                (uint32_t)random_ ());
}

void
Gateway::step (const Store &store, Sidecar *peer, uint64_t now_ms)
{
  if (is_frozen)
    return;
  step_shared_read (peer, now_ms);
  for (int i = 0; i < FLW_READERS; i++)
    step_read ((flw_reader_id_t)i, store, now_ms);
  remove_expired_targets (now_ms);
  for (int i = 0; i < FLW_READERS; i++)
    {
      flw_reader_id_t reader = (flw_reader_id_t)i;
      if (flw_take_cancellation (&follower_, reader))
        reads_[i] = PendingRead ();
      flw_read_t read;
      bool has_peer
          = !is_sidecar_unreachable && now_ms >= sidecar_backoff_until_ms_;
      if (!flw_begin (&follower_, reader, has_peer, now_ms, &read))
        continue;
      if (planted_fault_ == PlantedFault::LONG_WAIT_FOR_SILENT_STORE
          && read.after > 0 && !read.is_shared)
        read.wait_ms = 5000, read.timeout_ms = 6500;
      reads_[i] = PendingRead ();
      reads_[i].is_open = true;
      reads_[i].read = read;
      reads_[i].sent_ms = now_ms;
      if (read.is_shared)
        {
          send_shared_request (peer, read, now_ms);
          continue;
        }
      store_calls++;
    }
}

} // namespace model
