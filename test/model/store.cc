#include "store.h"

#include <algorithm>

namespace model
{

static bool
has_prefix (const std::string &key, const char *prefix)
{
  return key.rfind (prefix, 0) == 0;
}

void
Store::put (const std::string &key, const Value &value)
{
  Item item{ key, value, ++revision, false };
  auto it = std::find_if (items_.begin (), items_.end (),
                          [&] (const Item &i) { return i.key == key; });
  if (it == items_.end ())
    items_.push_back (item);
  else
    *it = item;
  history_.push_back (item);
}

void
Store::remove (const std::string &key)
{
  auto it = std::find_if (items_.begin (), items_.end (),
                          [&] (const Item &i) { return i.key == key; });
  if (it == items_.end ())
    return;
  items_.erase (it);
  history_.push_back ({ key, Value (), ++revision, true });
}

const Item *
Store::find (const std::string &key) const
{
  for (const Item &item : items_)
    if (item.key == key)
      return &item;
  return nullptr;
}

bool
Store::contains (const std::string &key) const
{
  return find (key) != nullptr;
}

void
Store::compact ()
{
  compacted_revision_ = revision;
  history_.clear ();
}

void
Store::restore (const Copy &copy)
{
  items_ = copy.items;
  revision = compacted_revision_ = copy.revision;
  history_.clear ();
  era++;
}

bool
Store::is_visible (const Item &item, bool is_operator_only)
{
  return !is_operator_only || has_prefix (item.key, "op/");
}

bool
Store::has_answer (bool is_operator_only, uint64_t after) const
{
  if (after == 0)
    return true;
  if (are_watches_silent)
    return false;
  if (after < compacted_revision_ || after > revision)
    return true;
  for (auto it = history_.rbegin ();
       it != history_.rend () && it->revision > after; ++it)
    if (is_visible (*it, is_operator_only))
      return true;
  return false;
}

Answer
Store::answer (bool is_operator_only, uint64_t after) const
{
  Answer out;
  out.as_of = revision;
  out.era = is_era_stated ? era : 0;
  out.is_range = after == 0;
  if (after > 0 && (after < compacted_revision_ || after > revision))
    {
      out.kind = Answer::HISTORY_GONE;
      return out;
    }
  for (const Item &item : after == 0 ? items_ : history_)
    if (item.revision > after && is_visible (item, is_operator_only))
      out.items.push_back (item);
  return out;
}

} // namespace model
