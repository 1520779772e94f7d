#include "sidecar.h"

namespace model
{

enum
{
  /// As platform/reader.c.
  WAIT_MS = 1,
  TIMEOUT_MS = 600,
  DELAY_MS = 4,
  SLOWNESS = 80,
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
  asks_.clear ();
  is_open_ = false;
}

void
Sidecar::ask (size_t gateway, const shr_request_t &ask, uint64_t at_ms)
{
  shr_request_t sent = ask;
  snprintf (sent.gateway, sizeof sent.gateway, "%zu", gateway);
  asks_.emplace_back (at_ms, sent);
}

/// What an item means.
static uint64_t
digest_of (const Value &value)
{
  uint64_t parts[3] = { value.born_ms, value.version, value.is_bad };
  return kb_hash (parts, sizeof parts, 0);
}

void
Sidecar::take (const Answer &answer)
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
  shr_read_answered (&cache_, changes.data (), (uint32_t)changes.size (),
                     answer.as_of, config_revision);
}

void
Sidecar::step_read (const Store &store, uint64_t now_ms)
{
  bool is_deaf = store.trouble == Trouble::SILENT || is_cut;
  is_lost_ = is_lost_ || is_deaf;
  bool has_reached = now_ms - sent_ms_ >= DELAY_MS;
  if (!answer_ && !is_lost_ && has_reached)
    {
      bool is_waited_out = now_ms - sent_ms_ >= WAIT_MS + DELAY_MS;
      if (store.trouble == Trouble::REFUSING)
        answer_ = Answer{ .kind = Answer::REFUSED };
      else if (is_waited_out || store.has_answer (false, after_))
        answer_ = store.answer (false, after_);
      answer_ms_
          = now_ms
            + DELAY_MS * (store.trouble == Trouble::SLOW ? SLOWNESS : 1);
    }
  bool is_answered = answer_ && !is_lost_ && now_ms >= answer_ms_;
  if (!is_answered && now_ms - sent_ms_ < TIMEOUT_MS)
    return;
  is_open_ = false;
  if (is_answered && answer_->kind == Answer::OK)
    take (*answer_);
  else
    shr_read_failed (&cache_,
                     is_answered && answer_->kind == Answer::HISTORY_GONE);
}

void
Sidecar::tell (const shr_request_t &ask, shr_status_t verdict, uint64_t now_ms)
{
  Word word;
  word.id = ask.id;
  word.at_ms = now_ms + 1;
  word.verdict = verdict;
  word.as_of = cache_.as_of;
  word.began_after_ms
      = (int64_t)cache_.read_began_ms - (int64_t)ask.arrived_ms;
  word.config_revision = cache_.config_revision;
  uint32_t at = 0;
  for (const shr_item_t *i = shr_next_change (&cache_, ask.after, &at);
       i != nullptr; i = shr_next_change (&cache_, ask.after, &at))
    {
      Item item = items_.at (i->key);
      item.revision = i->revision;
      word.items.push_back (item);
    }
  words[atoi (ask.gateway)].push_back (word);
}

void
Sidecar::step (const Store &store, uint64_t now_ms)
{
  if (is_frozen)
    return;
  while (!asks_.empty () && asks_.front ().first <= now_ms)
    {
      shr_request_t ask = asks_.front ().second;
      ask.arrived_ms = now_ms;
      asks_.pop_front ();
      shr_request_add (&cache_, &ask);
    }
  if (is_open_)
    step_read (store, now_ms);
  shr_request_t ask;
  shr_status_t verdict;
  while (shr_request_pop (&cache_, now_ms, &ask, &verdict))
    tell (ask, verdict, now_ms);
  if (!shr_read_begin (&cache_, now_ms, &after_))
    return;
  is_open_ = true;
  is_lost_ = false;
  answer_.reset ();
  sent_ms_ = now_ms;
  calls++;
}

} // namespace model
