#include "store_standin.h"

#include <openssl/evp.h>
#include <string.h>

namespace relay
{

static std::string
base64 (const std::string &bytes)
{
  std::string out (4 * ((bytes.size () + 2) / 3) + 1, '\0');
  int len = EVP_EncodeBlock ((unsigned char *)out.data (),
                             (const unsigned char *)bytes.data (),
                             (int)bytes.size ());
  out.resize ((size_t)len);
  return out;
}

static std::string
unbase64 (const std::string &text)
{
  std::string out (text.size (), '\0');
  int len = EVP_DecodeBlock ((unsigned char *)out.data (),
                             (const unsigned char *)text.data (),
                             (int)text.size ());
  size_t padding = text.size () - text.find_last_not_of ('=') - 1;
  out.resize ((size_t)len - padding);
  return out;
}

/// @return  The string value of a member, in JSON without escapes; empty if
///   absent.
static std::string
text_member (const std::string &json, const std::string &name)
{
  std::string start = "\"" + name + "\":\"";
  size_t at = json.find (start);
  if (at == std::string::npos)
    return "";
  at += start.size ();
  return json.substr (at, json.find ('"', at) - at);
}

static std::string
percent_decoded (const std::string &text)
{
  std::string out;
  for (size_t i = 0; i < text.size (); i++)
    if (text[i] == '%' && i + 2 < text.size ())
      {
        out += (char)strtol (text.substr (i + 1, 2).c_str (), nullptr, 16);
        i += 2;
      }
    else
      out += text[i];
  return out;
}

static std::map<std::string, std::string>
parse_query (const std::string &target)
{
  std::map<std::string, std::string> query;
  size_t at = target.find ('?');
  while (at != std::string::npos)
    {
      size_t end = target.find ('&', at + 1);
      std::string pair = target.substr (
          at + 1, end == std::string::npos ? end : end - at - 1);
      size_t equals = pair.find ('=');
      query[pair.substr (0, equals)]
          = percent_decoded (pair.substr (equals + 1));
      at = end;
    }
  return query;
}

void
Store::put (const std::string &key, const std::string &value)
{
  std::lock_guard<std::mutex> lock (mutex_);
  put_locked (key, value);
}

void
Store::keep_copy_locked ()
{
  constexpr auto kCopyInterval = std::chrono::milliseconds (100);
  constexpr size_t kMaxCopies = 100;
  auto now = std::chrono::steady_clock::now ();
  if (!copies_.empty () && now - copies_.back ().first < kCopyInterval)
    return;
  copies_.emplace_back (now, Copy{ items_, revision_ });
  if (copies_.size () > kMaxCopies)
    copies_.pop_front ();
}

std::vector<std::string>
Store::keys (const std::string &prefix)
{
  std::lock_guard<std::mutex> lock (mutex_);
  std::vector<std::string> found;
  for (const auto &[key, item] : items_)
    if (key.compare (0, prefix.size (), prefix) == 0 && !item.is_gone)
      found.push_back (key);
  return found;
}

void
Store::restore_older (int age_ms)
{
  Copy older;
  {
    std::lock_guard<std::mutex> lock (mutex_);
    auto at = std::chrono::steady_clock::now ()
              - std::chrono::milliseconds (age_ms);
    if (copies_.empty ())
      return;
    older = copies_.front ().second;
    for (const auto &[time, kept] : copies_)
      if (time <= at)
        older = kept;
  }
  restore (older);
}

void
Store::put_locked (const std::string &key, const std::string &value)
{
  keep_copy_locked ();
  items_[key] = { value, ++revision_, false, "" };
  history_.emplace_back (key, items_[key]);
  changed_.notify_all ();
}

void
Store::mirror_to (Store *other)
{
  mirror_ = other;
}

int
Store::count_written (const std::string &prefix)
{
  std::lock_guard<std::mutex> lock (mutex_);
  int count = 0;
  for (const auto &[key, item] : items_)
    count += key.compare (0, prefix.size (), prefix) == 0 && !item.is_gone;
  return count;
}

int
Store::max_writes (const std::string &prefix)
{
  std::lock_guard<std::mutex> lock (mutex_);
  int most = 0;
  for (const auto &[key, count] : writes_of_)
    if (key.compare (0, prefix.size (), prefix) == 0)
      most = std::max (most, count);
  return most;
}

bool
Store::is_expected (const std::string &body)
{
  const std::string start = "\"Expected\":[";
  size_t at = body.find (start);
  if (at == std::string::npos || body[at + start.size ()] == ']')
    return true;
  std::string row = body.substr (at, body.find (']', at) - at);
  auto item = items_.find (text_member (row, "Key"));
  bool exists = item != items_.end () && !item->second.is_gone;
  size_t revision = row.find ("\"Revision\":") + strlen ("\"Revision\":");
  return atoll (row.c_str () + revision)
         == (exists ? item->second.revision : 0);
}

/// Leases never expire here; a transaction writes one value.
bool
Store::serve_write (Connection &connection, const Message &request)
{
  writes++;
  if (request.target () == "/kv-lease")
    return reply (connection, 200, "{\"Lease\":7,\"TtlMs\":600000}");
  std::string puts = request.body.substr (request.body.find ("\"Puts\""));
  std::string key = text_member (puts, "Key");
  std::string value = unbase64 (text_member (puts, "Value"));
  bool is_written;
  {
    std::lock_guard<std::mutex> lock (mutex_);
    is_written = is_expected (request.body);
    if (is_written)
      {
        writes_of_[key]++;
        put_locked (key, value);
      }
  }
  if (!is_written)
    return reply (connection, 412, "{\"items\":[]}");
  if (mirror_ != nullptr)
    mirror_->put (key, value);
  return reply (connection, 200, "{\"Revision\":2}");
}

void
Store::remove (const std::string &key)
{
  std::lock_guard<std::mutex> lock (mutex_);
  items_[key] = { "", ++revision_, true, "" };
  history_.emplace_back (key, items_[key]);
  changed_.notify_all ();
}

void
Store::put_raw (const std::string &key, const std::string &json)
{
  std::lock_guard<std::mutex> lock (mutex_);
  keep_copy_locked ();
  items_[key] = { "", ++revision_, false, json };
  history_.emplace_back (key, items_[key]);
  changed_.notify_all ();
}

void
Store::set_mode (Mode mode)
{
  std::lock_guard<std::mutex> lock (mutex_);
  mode_ = mode;
  disconnect_count_++;
  changed_.notify_all ();
}

void
Store::compact ()
{
  std::lock_guard<std::mutex> lock (mutex_);
  compacted_ = ++revision_;
  disconnect_count_++;
  changed_.notify_all ();
}

Store::Copy
Store::copy ()
{
  std::lock_guard<std::mutex> lock (mutex_);
  return { items_, revision_ };
}

void
Store::restore (const Copy &copy)
{
  std::lock_guard<std::mutex> lock (mutex_);
  items_ = copy.items;
  revision_ = compacted_ = copy.revision;
  history_.clear ();
  writes_of_.clear ();
  era_++;
  disconnect_count_++;
  changed_.notify_all ();
}

std::string
Store::as_of ()
{
  std::lock_guard<std::mutex> lock (mutex_);
  return std::to_string (revision_);
}

std::string
Store::era_headers ()
{
  std::lock_guard<std::mutex> lock (mutex_);
  return is_era_stated ? "Store-Era: " + std::to_string (era_) + "\r\n" : "";
}

bool
Store::reply (Connection &connection, int status, const std::string &body)
{
  std::string headers = "Content-Type: application/json\r\n" + era_headers ();
  return deliver (connection, make_response (status, headers, body));
}

void
Store::stall_reads (const std::string &prefix)
{
  std::lock_guard<std::mutex> lock (mutex_);
  stalled_prefix_ = prefix;
  is_stalling_ = true;
  stall_count_++;
  changed_.notify_all ();
}

void
Store::end_read_stall ()
{
  std::lock_guard<std::mutex> lock (mutex_);
  is_stalling_ = false;
}

bool
Store::has_stalled_prefix (const std::string &prefix) const
{
  return prefix.compare (0, stalled_prefix_.size (), stalled_prefix_) == 0;
}

bool
Store::hold_until_closed (Connection &connection)
{
  while (!is_stopping_ && !connection.peer_has_closed (50))
    ;
  return false;
}

bool
Store::deliver (Connection &connection, const std::string &bytes)
{
  const int pieces_per_s = 20;
  size_t at = bytes.find ("\r\n\r\n") + 4;
  if (!connection.write (bytes.substr (0, at)))
    return false;
  while (at < bytes.size () && !is_stopping_)
    {
      int pace = bytes_per_s;
      size_t piece
          = pace > 0 ? (size_t)(pace / pieces_per_s + 1) : bytes.size ();
      if (!connection.write (bytes.substr (at, piece)))
        return false;
      at += piece;
      if (at < bytes.size ())
        std::this_thread::sleep_for (
            std::chrono::milliseconds (1000 / pieces_per_s));
    }
  return true;
}

std::string
Store::item_json (const std::string &key, const Item &item)
{
  if (!item.raw.empty ())
    return item.raw;
  std::string head = "{\"Key\":\"" + key
                     + "\",\"Revision\":" + std::to_string (item.revision);
  if (item.is_gone)
    return head + ",\"Tombstone\":true}";
  return head + ",\"Value\":\"" + base64 (item.value) + "\",\"Lease\":0}";
}

std::string
Store::range (const std::map<std::string, std::string> &query)
{
  const std::string &prefix = query.at ("Prefix");
  bool is_later_page = query.count ("after") > 0 && mode_ != REPEATED_PAGES;
  std::string after = is_later_page ? query.at ("after") : "";
  std::string list;
  int count = 0;
  bool is_truncated = false;
  for (const auto &[key, item] : items_)
    {
      if (key.compare (0, prefix.size (), prefix) != 0 || key <= after
          || item.is_gone)
        continue;
      if (count == page_items)
        {
          is_truncated = true;
          break;
        }
      list += (count++ > 0 ? "," : "") + item_json (key, item);
    }
  return "{\"items\":[" + list
         + "],\"Truncated\":" + (is_truncated ? "true" : "false")
         + ",\"AsOf\":" + std::to_string (revision_) + "}";
}

std::string
Store::changes (const std::string &prefix, int64_t after)
{
  std::string list;
  for (const auto &[key, item] : history_)
    if (item.revision > after && key.compare (0, prefix.size (), prefix) == 0)
      list += (list.empty () ? "" : ",") + item_json (key, item);
  return list;
}

bool
Store::serve_watch (Connection &connection,
                    const std::map<std::string, std::string> &query)
{
  std::unique_lock<std::mutex> lock (mutex_);
  int64_t after = atoll (query.at ("after").c_str ());
  int64_t disconnect_count_before = disconnect_count_;
  int64_t stall_count_before = stall_count_;
  auto end = std::chrono::steady_clock::now ()
             + std::chrono::milliseconds (atoi (query.at ("WaitMs").c_str ()));
  if (mode_ == NO_WAIT)
    end = std::chrono::steady_clock::now ();
  while (after <= revision_ && changes (query.at ("Prefix"), after).empty ()
         && disconnect_count_before == disconnect_count_
         && stall_count_before == stall_count_ && !is_stopping_
         && changed_.wait_until (lock, end) != std::cv_status::timeout)
    ;
  if (stall_count_before != stall_count_
      && has_stalled_prefix (query.at ("Prefix")))
    {
      lock.unlock ();
      return hold_until_closed (connection);
    }
  if (after < compacted_ || after > revision_)
    {
      lock.unlock ();
      return reply (connection, 410, "{}");
    }
  if (disconnect_count_before != disconnect_count_)
    return false;
  // A change may have been made after the wait had timed out.
  std::string reply_body = "{\"events\":["
                           + changes (query.at ("Prefix"), after)
                           + "],\"AsOf\":" + std::to_string (revision_) + "}";
  lock.unlock ();
  return reply (connection, 200, reply_body);
}

bool
Store::serve (Connection &connection, const Message &request)
{
  calls++;
  Mode mode;
  {
    std::unique_lock<std::mutex> lock (mutex_);
    mode = mode_;
    int64_t disconnect_count_before = disconnect_count_;
    while (mode_ == SILENT && disconnect_count_before == disconnect_count_
           && !is_stopping_)
      changed_.wait (lock);
  }
  if (mode == SILENT)
    return false;
  if (mode == RESET)
    {
      connection.reset ();
      return false;
    }
  if (mode == BUSY)
    return reply (connection, 503, "{}");
  if (mode == FOREIGN_BODY)
    return connection.write (json_response ("{\"map\":\"a body\"}"));
  if (request.method () == "POST")
    return serve_write (connection, request);
  auto query = parse_query (request.target ());
  {
    std::unique_lock<std::mutex> lock (mutex_);
    if (is_stalling_ && has_stalled_prefix (query.at ("Prefix")))
      {
        lock.unlock ();
        return hold_until_closed (connection);
      }
  }
  if (request.target ().compare (0, 9, "/kv-watch") == 0)
    return serve_watch (connection, query);
  if (mode == NO_LIST)
    return reply (connection, 200, "{\"AsOf\":" + as_of () + "}");
  std::string body;
  {
    std::lock_guard<std::mutex> lock (mutex_);
    body = range (query);
  }
  return reply (connection, 200, body);
}

} // namespace relay
