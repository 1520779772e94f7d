/// @file store_standin.h
/// Stand-in of the platform's metadata store: ranges with pages and watches,
/// with switches for outages, a forgotten history and slow answers.
#ifndef KB_TEST_RELAY_STORE_STANDIN_H
#define KB_TEST_RELAY_STORE_STANDIN_H

#include <condition_variable>

#include "http_peer.h"

namespace relay
{

class Store : public Server
{
public:
  enum Mode
  {
    HEALTHY,
    BUSY,         ///< 503
    RESET,        ///< Connections are reset.
    SILENT,       ///< No answer.
    FOREIGN_BODY, ///< 200 with another service's body.
    NO_WAIT,      ///< Waits for no changes: says at once that there are none.
  };
  explicit Store (const std::string &ip) : Server (ip) { start (); }
  ~Store () override
  {
    set_mode (BUSY);
    stop ();
  }
  void put (const std::string &key, const std::string &value);
  void remove (const std::string &key);
  void set_mode (Mode mode);
  /// Forget the history: watches behind the present revision get 410, and
  /// those that wait are cut.
  void compact ();
  /// Take the reads on a prefix that wait now, and until end_read_stall those
  /// that come, and never answer them: their connections stay open and silent
  /// also when the store is well again.
  void stall_reads (const std::string &prefix);
  void end_read_stall ();
  /// Answers come by pieces, so many bytes a second; zero: at once.
  std::atomic<int> bytes_per_s{ 0 };
  /// What daemons write here stands in another store as well.
  void mirror_to (Store *other);
  /// Values that daemons have written under a prefix and that stand now.
  int count_written (const std::string &prefix);
  std::atomic<int> calls{ 0 };
  /// Of these, those that change something.
  std::atomic<int> writes{ 0 };
  std::atomic<int> page_items{ 3 };

private:
  struct Item
  {
    std::string value;
    int64_t revision = 0;
    bool is_gone = false;
  };
  bool serve (Connection &connection, const Message &request) override;
  bool serve_watch (Connection &connection,
                    const std::map<std::string, std::string> &query);
  bool serve_write (Connection &connection, const Message &request);
  std::string range (const std::map<std::string, std::string> &query);
  std::string changes (const std::string &prefix, int64_t after);
  bool has_stalled_prefix (const std::string &prefix) const;
  /// Write an answer at the pace that is set.
  bool deliver (Connection &connection, const std::string &bytes);
  /// Hold a connection without a word until its client closes it.
  bool hold_until_closed (Connection &connection);
  static std::string item_json (const std::string &key, const Item &item);
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_; ///< With those that are gone.
  std::vector<std::pair<std::string, Item>> history_; ///< In order.
  int64_t revision_ = 1;
  int64_t compacted_ = 0;
  int64_t disconnect_count_ = 0;
  int64_t stall_count_ = 0;
  std::string stalled_prefix_; ///< Of the last stall_reads.
  bool is_stalling_ = false;
  Mode mode_ = HEALTHY;
  Store *mirror_ = nullptr;
};

} // namespace relay

#endif
