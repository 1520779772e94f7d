#include "sidecar.h"

namespace model
{

enum
{
  /// As in platform/reader.c.
  WAIT_MS = 1,
  TIMEOUT_MS = 600,
  ONE_WAY_DELAY_MS = 4,
  SLOW_FACTOR = 80,
};

static const char kConfigKey[] = "op/config";

Sidecar::Sidecar () { shr_cache_init (&cache_); }

Sidecar::~Sidecar () { shr_cache_finish (&cache_); }

void
Sidecar::restart ()
{
  shr_cache_finish (&cache_);
  shr_cache_init (&cache_);
  items_.clear ();
  requests_.clear ();
  is_open_ = false;
}

void
Sidecar::add_request (size_t gateway, const shr_request_t &shared_request,
                      uint64_t arrival_ms)
{
  shr_request_t sent = shared_request;
  if (is_earlier_release)
    sent.era = 0;
  snprintf (sent.gateway, sizeof sent.gateway, "%zu", gateway);
  requests_.emplace_back (arrival_ms, sent);
}

/// Digest of the parts of an item that matter to a gateway.
static uint64_t
digest_of (const Value &value)
{
  uint64_t parts[3] = { value.born_ms, value.version, value.is_malformed };
  return kb_hash (parts, sizeof parts, 0);
}

void
Sidecar::apply_answer (const Answer &answer)
{
  std::vector<shr_change_t> changes;
  uint64_t config_revision = 0;
  for (const Item &item : answer.items)
    {
      if (item.key == kConfigKey)
        {
          config_revision = item.revision;
          continue;
        }
      shr_change_t change = {};
      change.key = kb_slice_str (item.key.c_str ());
      change.value = kb_slice_str ("");
      change.revision = item.revision;
      change.digest = digest_of (item.value);
      change.is_gone = item.is_gone;
      changes.push_back (change);
      items_[item.key] = item;
    }
  shr_answer_t read = {};
  read.changes = changes.data ();
  read.change_count = (uint32_t)changes.size ();
  read.era = is_earlier_release ? 0 : answer.era;
  read.as_of = answer.as_of;
  read.config_revision = config_revision;
  shr_read_answered (&cache_, &read);
}

void
Sidecar::step_read (const Store &store, uint64_t now_ms)
{
  bool is_unanswered
      = store.fault == StoreFault::SILENT || is_store_unreachable;
  is_lost_ = is_lost_ || is_unanswered;
  bool has_reached_store = now_ms - sent_ms_ >= ONE_WAY_DELAY_MS;
  if (!answer_ && !is_lost_ && has_reached_store)
    {
      bool has_wait_ended = now_ms - sent_ms_ >= WAIT_MS + ONE_WAY_DELAY_MS;
      if (store.fault == StoreFault::REFUSING)
        answer_ = Answer{ .kind = Answer::REFUSED };
      else if (has_wait_ended || store.has_answer (false, after_revision_))
        answer_ = store.answer (false, after_revision_);
      answer_ms_ = now_ms
                   + ONE_WAY_DELAY_MS
                         * (store.fault == StoreFault::SLOW ? SLOW_FACTOR : 1);
    }
  bool is_answered = answer_ && !is_lost_ && now_ms >= answer_ms_;
  if (!is_answered && now_ms - sent_ms_ < TIMEOUT_MS)
    return;
  is_open_ = false;
  if (is_answered && answer_->kind == Answer::OK)
    apply_answer (*answer_);
  else
    shr_read_failed (&cache_,
                     is_answered && answer_->kind == Answer::HISTORY_GONE);
}

void
Sidecar::send_reply (const shr_request_t &shared_request, shr_status_t status,
                     uint64_t now_ms)
{
  SidecarReply reply;
  reply.id = shared_request.id;
  reply.arrival_ms = now_ms + 1;
  reply.status = status;
  reply.era = cache_.era;
  reply.as_of = cache_.as_of;
  reply.read_start_offset_ms
      = (int64_t)cache_.read_began_ms - (int64_t)shared_request.arrived_ms;
  reply.config_revision = cache_.config_revision;
  uint32_t cursor = 0;
  for (const shr_item_t *i
       = shr_next_change (&cache_, shared_request.after, &cursor);
       i != nullptr;
       i = shr_next_change (&cache_, shared_request.after, &cursor))
    {
      Item item = items_.at (i->key);
      item.revision = i->revision;
      reply.items.push_back (item);
    }
  replies[atoi (shared_request.gateway)].push_back (reply);
}

void
Sidecar::step (const Store &store, uint64_t now_ms)
{
  if (is_frozen)
    return;
  while (!requests_.empty () && requests_.front ().first <= now_ms)
    {
      shr_request_t shared_request = requests_.front ().second;
      shared_request.arrived_ms = now_ms;
      requests_.pop_front ();
      shr_request_add (&cache_, &shared_request);
    }
  if (is_open_)
    step_read (store, now_ms);
  shr_request_t shared_request;
  shr_status_t status;
  while (shr_request_pop (&cache_, now_ms, &shared_request, &status))
    send_reply (shared_request, status, now_ms);
  if (!shr_read_begin (&cache_, now_ms, &after_revision_))
    return;
  is_open_ = true;
  is_lost_ = false;
  answer_.reset ();
  sent_ms_ = now_ms;
  store_calls++;
}

} // namespace model
