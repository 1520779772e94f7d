/// @file store_standin.h
/// Stand-in for the platform's metadata store: paged range reads and watches,
/// with outages, compaction and slow answers on request.
#ifndef KB_TEST_RELAY_STORE_STANDIN_H
#define KB_TEST_RELAY_STORE_STANDIN_H

#include <condition_variable>
#include <deque>
#include <map>

#include "http_peer.h"

namespace relay
{

class Store : public Server
{
  struct Item
  {
    std::string value;
    int64_t revision = 0;
    bool is_gone = false;
    std::string raw; ///< Its JSON as written; empty: made of the others.
  };

public:
  /// The content at one moment, from which a store can come back.
  struct Copy
  {
    std::map<std::string, Item> items;
    int64_t revision = 0;
  };
  enum Mode
  {
    HEALTHY,
    BUSY,           ///< Answers 503.
    RESET,          ///< Connections are reset.
    SILENT,         ///< No answer.
    FOREIGN_BODY,   ///< 200 with the body of another service.
    NO_WAIT,        ///< Watches return at once, even without changes.
    NO_LIST,        ///< Ranges: 200 without items.
    REPEATED_PAGES, ///< Each page of a range is the first one.
  };
  explicit Store (const std::string &ip) : Server (ip) { start (); }
  ~Store () override
  {
    set_mode (BUSY);
    stop ();
  }
  void put (const std::string &key, const std::string &value);
  void remove (const std::string &key);
  /// Write an item whose JSON in answers is this text.
  void put_raw (const std::string &key, const std::string &json);
  void set_mode (Mode mode);
  /// Drop the history: watches behind the present revision get 410, and the
  /// connections of waiting ones are closed.
  void compact ();
  Copy copy ();
  /// Come back from a copy: what was written since is lost, its revisions are
  /// given out again, and the era rises by one. The history begins at the
  /// copy.
  void restore (const Copy &copy);
  /// Come back from a copy that is about this old, if the store is.
  void restore_older (int age_ms);
  /// Keys under a prefix that exist now.
  std::vector<std::string> keys (const std::string &prefix);
  /// Header lines that state the era; empty: the store states none.
  std::string era_headers ();
  std::atomic<bool> is_era_stated{ true };
  /// Never answer the reads on a prefix that are waiting now, nor those that
  /// arrive until end_read_stall (): their connections stay open and silent,
  /// even after the stall has ended.
  void stall_reads (const std::string &prefix);
  void end_read_stall ();
  /// Rate at which answers are sent, in pieces; zero: all at once.
  std::atomic<int> bytes_per_s{ 0 };
  /// Copy what daemons write here to another store.
  void mirror_to (Store *other);
  /// Number of keys under a prefix that exist now.
  int count_written (const std::string &prefix);
  /// Number of writes of the key under a prefix that daemons wrote most often
  /// since the last restore.
  int max_writes (const std::string &prefix);
  std::atomic<int> calls{ 0 };
  /// Those of `calls` that are writes.
  std::atomic<int> writes{ 0 };
  std::atomic<int> page_items{ 3 };

private:
  bool serve (Connection &connection, const Message &request) override;
  bool serve_watch (Connection &connection,
                    const std::map<std::string, std::string> &query);
  /// @return  Whether the conditions of a transaction hold.
  bool is_expected (const std::string &body);
  bool serve_write (Connection &connection, const Message &request);
  std::string as_of ();
  void put_locked (const std::string &key, const std::string &value);
  /// Send an answer with the era.
  bool reply (Connection &connection, int status, const std::string &body);
  std::string range (const std::map<std::string, std::string> &query);
  std::string changes (const std::string &prefix, int64_t after);
  bool has_stalled_prefix (const std::string &prefix) const;
  /// Send an answer at `bytes_per_s`.
  bool deliver (Connection &connection, const std::string &bytes);
  /// Keep a connection open and silent until its client closes it.
  bool hold_until_closed (Connection &connection);
  static std::string item_json (const std::string &key, const Item &item);
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_; ///< Includes tombstones of removed keys.
  std::vector<std::pair<std::string, Item>> history_; ///< Ordered by revision.
  void keep_copy_locked ();
  /// Copies by time, at most one for each kCopyInterval.
  std::deque<std::pair<std::chrono::steady_clock::time_point, Copy>> copies_;
  std::map<std::string, int> writes_of_; ///< Of daemons since the restore.
  int64_t revision_ = 1;
  int64_t compacted_ = 0;
  int64_t era_ = 0;
  int64_t disconnect_count_ = 0;
  int64_t stall_count_ = 0;
  std::string stalled_prefix_; ///< Prefix of the last stall_reads ().
  bool is_stalling_ = false;
  Mode mode_ = HEALTHY;
  Store *mirror_ = nullptr;
};

} // namespace relay

#endif
