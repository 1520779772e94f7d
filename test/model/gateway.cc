#include "gateway.h"

extern "C"
{
#include "state/service.h"
}

namespace model
{

enum
{
  PAUSE_MS = 700, ///< As platform/directory.c for a bound of 2 s.
  LEAVE_BOUND_MS = 2000,
  REVOKE_BOUND_MS = 5000,
  LEAVE_ALONE_MS = 5000, ///< As gateway_peers.c.
  ANY_AGE_MS = 60000,    ///< Whatever is told is fresher.
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

Gateway::Gateway (uint32_t seed, Planted planted, size_t at, uint64_t now_ms)
    : planted_ (planted), at_ (at), random_ (seed)
{
  init (now_ms);
}

Gateway::~Gateway () { finish (); }

void
Gateway::init (uint64_t now_ms)
{
  flw_init (&follower_, PAUSE_MS, now_ms);
  ros_init (&roster_, LEAVE_BOUND_MS);
  versions_ = {};
  for (Read &r : reads_)
    r = Read ();
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
  passed_ms_ = 0;
  leave_alone_until_ms_ = 0;
  beliefs_.clear ();
  in_use_.clear ();
  init (now_ms);
}

void
Gateway::take_config (uint64_t revision)
{
  if (planted_ == Planted::OLDER_WORD_IS_TAKEN
      || svc_revision_is_newer (config, revision))
    config = revision;
}

void
Gateway::take_passed_config (uint64_t revision, uint64_t now_ms)
{
  passed_ms_ = now_ms;
  take_config (revision);
}

bool
Gateway::admits_keys (uint64_t now_ms) const
{
  uint64_t known_ms = follower_.known_ms;
  if (planted_ == Planted::PASSED_ON_IS_FRESH)
    known_ms = std::max (known_ms, passed_ms_);
  acc_request_t request = { 1, kDigest, false };
  acc_freshness_t freshness
      = { known_ms == 0 ? UINT64_MAX : now_ms - known_ms, REVOKE_BOUND_MS };
  static const wsp_table_t table = one_workspace ();
  return acc_authorize (&table, &request, &freshness).outcome == ACC_ADMITTED;
}

void
Gateway::take_version (uint32_t version)
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
Gateway::born_in_use (const std::string &id) const
{
  auto it = in_use_.find (id);
  if (it == in_use_.end () || !it->second)
    return std::nullopt;
  return beliefs_.at (id).born_ms;
}

uint64_t
Gateway::state () const
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
Gateway::take_target (const Item &item)
{
  std::string id = id_of (item);
  if (item.value.is_bad)
    return false;
  inc_t who = {};
  snprintf (who.id, sizeof who.id, "%s", id.c_str ());
  who.born_ms = item.value.born_ms;
  if (ros_list (&roster_, &who))
    flw_record_new_target (&follower_);
  inc_tracker_t &belief = beliefs_[id];
  inc_tracker_t before = belief;
  inc_verdict_t verdict = inc_observe_birth (&belief, item.value.born_ms);
  if (planted_ == Planted::BIRTH_IS_IGNORED && before.born_ms > 0)
    belief = before;
  if (verdict != INC_STALE)
    in_use_[id] = true;
  return true;
}

/// @return  Whether the item could be read.
bool
Gateway::take_item (const Item &item, uint64_t remove_at_ms, uint64_t now_ms)
{
  if (!is_target (item))
    {
      if (item.is_gone || item.value.is_bad)
        return !item.value.is_bad;
      if (item.value.config > 0)
        take_config (item.value.config);
      if (item.value.version > 0)
        take_version (item.value.version);
      return true;
    }
  if (item.is_gone)
    ros_unlist (&roster_, id_of (item).c_str (), remove_at_ms);
  else if (!take_target (item))
    {
      ros_unlist (&roster_, id_of (item).c_str (), now_ms);
      return false;
    }
  return true;
}

void
Gateway::sweep (uint64_t now_ms)
{
  char id[INC_ID_BYTES];
  while (ros_pop_expired (&roster_, now_ms, id))
    in_use_[id] = false;
}

void
Gateway::take_items (const std::vector<Item> &items, uint64_t now_ms)
{
  uint32_t vanished = 0;
  for (const Item &item : items)
    vanished += is_target (item) && item.is_gone;
  if (planted_ == Planted::LAPSED_ENTRY_IS_GONE)
    follower_.retain_until_ms = 0;
  uint64_t remove_at_ms = ros_removal_ms (
      &roster_, vanished, flw_retain_until_ms (&follower_), now_ms);
  for (const Item &item : items)
    if (!take_item (item, remove_at_ms, now_ms)
        && planted_ == Planted::BATCH_IS_LOST_BY_ONE_BAD_ENTRY)
      break;
}

/// @return  Revision of the newest change of the operator's, or zero.
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
Gateway::take (flw_reader_id_t which, const Answer &answer, uint64_t now_ms)
{
  flw_answered (&follower_, which, now_ms, answer.as_of,
                operator_revision (answer.items), (uint32_t)random_ ());
  for (const Item &item : answer.items)
    if (item.key == "op/config")
      config_revision_ = std::max (config_revision_, item.revision);
  bool is_list = answer.is_range && which == FLW_BATCH;
  if (is_list)
    ros_range_begin (&roster_);
  take_items (answer.items, now_ms);
  if (is_list)
    ros_range_end (&roster_, flw_retain_until_ms (&follower_), now_ms);
}

/// @return  Whether the word was of use.
bool
Gateway::take_word (const Word &word, uint64_t now_ms)
{
  bool is_known = word.verdict == SHR_CHANGES_KNOWN
                  && word.config_revision <= config_revision_;
  uint64_t began_ms
      = reads_[FLW_BATCH].sent_ms + (uint64_t)word.began_after_ms;
  if (planted_ == Planted::ARRIVAL_IS_TRUSTED)
    began_ms = now_ms;
  if (!is_known)
    flw_shared_failed (&follower_, now_ms);
  else if (flw_shared_answered (&follower_, now_ms, began_ms, word.as_of,
                                operator_revision (word.items),
                                (uint32_t)random_ ()))
    {
      take_items (word.items, now_ms);
      shared++;
      return true;
    }
  return false;
}

void
Gateway::step_shared (Sidecar *peer, uint64_t now_ms)
{
  std::deque<Word> &words = peer->words[at_];
  while (!words.empty () && words.front ().at_ms <= now_ms && !is_apart)
    {
      Word word = words.front ();
      words.pop_front ();
      Read &r = reads_[FLW_BATCH];
      if (!r.is_open || !r.read.is_shared || word.id != ask_id_)
        continue;
      bool is_of_use = take_word (word, now_ms);
      r = Read ();
      if (!is_of_use && word.verdict != SHR_TOO_OLD)
        leave_alone_until_ms_ = now_ms + LEAVE_ALONE_MS;
    }
  Read &r = reads_[FLW_BATCH];
  bool is_late = r.is_open && r.read.is_shared
                 && now_ms - r.sent_ms >= r.read.timeout_ms;
  if (!is_late)
    return;
  r = Read ();
  leave_alone_until_ms_ = now_ms + LEAVE_ALONE_MS;
  flw_shared_failed (&follower_, now_ms);
}

void
Gateway::send_ask (Sidecar *peer, const flw_read_t &read, uint64_t now_ms)
{
  shr_request_t ask = {};
  ask.id = ++ask_id_;
  ask.after = read.after;
  ask.known_age_ms = planted_ == Planted::ARRIVAL_IS_TRUSTED
                         ? (uint64_t)ANY_AGE_MS
                         : read.known_age_ms;
  ask.pause_ms = read.pause_ms;
  peer->ask (at_, ask, now_ms + 1);
}

/// The store takes the read up, unless it never reaches it or the store is
/// silent; its answer takes its way back.
void
Gateway::fetch_answer (Read &r, flw_reader_id_t which, const Store &store,
                       uint64_t now_ms)
{
  if (store.trouble == Trouble::SILENT || is_cut)
    r.is_lost = true;
  if (r.is_lost || now_ms - r.sent_ms < delay_ms)
    return;
  bool is_operator_only = which == FLW_DIRECT;
  bool is_waited_out = now_ms - r.sent_ms >= r.read.wait_ms + delay_ms;
  if (store.trouble == Trouble::REFUSING)
    r.answer = Answer{ .kind = Answer::REFUSED };
  else if (is_waited_out || store.has_answer (is_operator_only, r.read.after))
    r.answer = store.answer (is_operator_only, r.read.after);
  else
    return;
  uint64_t slowness = store.trouble == Trouble::SLOW ? 80 : 1;
  r.answer_ms = now_ms + delay_ms * slowness;
  r.is_lost = is_deaf;
}

void
Gateway::step_read (flw_reader_id_t which, const Store &store, uint64_t now_ms)
{
  Read &r = reads_[which];
  if (!r.is_open || r.read.is_shared)
    return;
  if (!r.answer)
    fetch_answer (r, which, store, now_ms);
  bool is_answered = r.answer && !r.is_lost && now_ms >= r.answer_ms;
  bool is_late = now_ms - r.sent_ms >= r.read.timeout_ms;
  if (!is_answered && !is_late)
    return;
  Read done = r;
  r = Read ();
  if (is_answered && done.answer->kind == Answer::OK)
    take (which, *done.answer, now_ms);
  else
    flw_failed (&follower_, which, now_ms,
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
  step_shared (peer, now_ms);
  for (int i = 0; i < FLW_READERS; i++)
    step_read ((flw_reader_id_t)i, store, now_ms);
  sweep (now_ms);
  for (int i = 0; i < FLW_READERS; i++)
    {
      flw_reader_id_t which = (flw_reader_id_t)i;
      if (flw_take_cancellation (&follower_, which))
        reads_[i] = Read ();
      flw_read_t read;
      bool has_peer = !is_apart && now_ms >= leave_alone_until_ms_;
      if (!flw_begin (&follower_, which, has_peer, now_ms, &read))
        continue;
      if (planted_ == Planted::SILENT_READ_IS_WAITED_FOR && read.after > 0
          && !read.is_shared)
        read.wait_ms = 5000, read.timeout_ms = 6500;
      reads_[i] = Read ();
      reads_[i].is_open = true;
      reads_[i].read = read;
      reads_[i].sent_ms = now_ms;
      if (read.is_shared)
        {
          send_ask (peer, read, now_ms);
          continue;
        }
      calls++;
    }
}

} // namespace model
