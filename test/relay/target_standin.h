/// @file target_standin.h
/// Stand-in of the platform's targets: a model engine with adapters, orders
/// and streams, or a plain service; with switches for what goes wrong.
#ifndef KB_TEST_RELAY_TARGET_STANDIN_H
#define KB_TEST_RELAY_TARGET_STANDIN_H

#include <chrono>
#include <set>

#include "http_peer.h"

namespace relay
{

/// What a target does with a request, next time.
enum class Fault
{
  NONE,
  RESET_BEFORE_ANSWER, ///< It runs; the connection is reset.
  CUT_WITHIN_EVENT,    ///< Reset in the middle of the third event.
  CUT_UNFRAMED,        ///< No length; reset within the body.
  END_UNFRAMED,        ///< No length; closed in order at the end.
  NOT_RUN,             ///< 503 with the word that it did not run.
  BARE_503,            ///< 503 without it.
  ERROR_500,
  STRAY_FIRST, ///< Another request's answer comes before the right one.
  NO_SEAL,
  HANG,
  EXTRA_AFTER, ///< A second answer right after the right one.
};

/// A limit that a target stated for a while.
struct LimitSpan
{
  double per_s;
  std::chrono::steady_clock::time_point from;
  std::chrono::steady_clock::time_point to;
};

class Target : public Server
{
public:
  /// @param is_engine  Else a plain service.
  Target (const std::string &ip, const std::string &id, bool is_engine)
      : Server (ip), id_ (id), is_engine_ (is_engine), born_ms_ (wall_ms ())
  {
    start ();
  }
  ~Target () override { stop (); }
  std::string
  id ()
  {
    std::lock_guard<std::mutex> lock (mutex_);
    return id_;
  }
  /// Faults of the next requests, one each.
  void fail_next (std::vector<Fault> faults);
  /// Come back as another incarnation, empty, that states nothing; under the
  /// same id with a later birth.
  void restart (const std::string &id);
  /// Unix milliseconds of its start.
  int64_t born_ms ();
  /// Which of its lives it was in at a moment.
  size_t incarnation_at (std::chrono::steady_clock::time_point moment);
  /// The clock that stamps the births is set by this much.
  void step_clock (int64_t by_ms);
  void set_leaving (bool is_leaving);
  /// Requests whose path holds this text end the process a moment after they
  /// began; empty: none does.
  void crash_on_path (const std::string &text);
  /// Requests whose path holds this text are turned away with a pause.
  void pause_on_path (const std::string &text, double seconds);
  /// How often such a request ended it.
  std::atomic<int> crash_count{ 0 };
  /// They hang it instead: connections stay open, and nothing answers.
  std::atomic<bool> hangs_on_crash{ false };
  std::atomic<bool> is_hung{ false };
  /// How long after the beginning.
  std::atomic<int> crash_delay_ms{ 20 };
  /// Orders accepted so far, as it counts them.
  void set_seq (int64_t seq);
  /// How often a request ran here.
  int runs_of (const std::string &attempt_id);
  int runs ();
  std::vector<Message> requests ();
  /// Of these, those that were answered with a pause.
  std::vector<Message> refused_with_pause ();
  /// Adapter loads that were carried out, and the most held at one time.
  int loads ();
  size_t max_adapters_held ();
  /// Holder and fencing number of all orders.
  std::set<std::string> order_issuers ();
  /// Requests a second that it says it takes; negative: it says nothing.
  std::atomic<double> limit_per_s{ -1 };
  /// Set it, and remember from when to when it held; negative: none any more.
  void announce_limit (double per_s);
  std::vector<LimitSpan> announced_limits ();
  /// In place of it; NULL: nothing else is said.
  std::atomic<const char *> limit_text{ nullptr };
  /// Its answers say that it leaves; its report does not.
  std::atomic<bool> announces_leaving{ false };
  /// It turns all requests away and asks for a pause of so long; negative:
  /// not.
  std::atomic<double> pause_s{ -1 };
  /// How long a plain target works on a request.
  std::atomic<int> answer_ms{ 0 };
  std::atomic<int> event_ms{ 2 };
  std::atomic<int> events{ 10 };
  std::atomic<int> load_ms{ 20 };
  std::atomic<int> newest_version{ 1 };
  /// Orders get no answer and are carried out this much later; zero: not so.
  std::atomic<int> order_delay_ms{ 0 };
  /// Orders that were taken and are not carried out yet.
  std::atomic<int> pending_orders{ 0 };
  /// Streams whose caller went away before the end.
  std::atomic<int> abandoned_streams{ 0 };
  /// Streams go on for a while after their caller is gone.
  std::atomic<bool> ignores_close{ false };

private:
  struct Adapter
  {
    int version = 0;
    int users = 0;
    bool is_leaving = false; ///< Dropped when its last stream ends.
    std::chrono::steady_clock::time_point ready;
  };
  static int64_t wall_ms ();
  bool serve (Connection &connection, const Message &request) override;
  bool serve_order (Connection &connection, const Message &request);
  int execute_order (const std::string &body);
  std::string report ();
  bool run (Connection &connection, const Message &request, Fault fault);
  bool stream (Connection &connection, const Message &request, Fault fault);
  void count_adapter_stream (const Message &request, int change);
  std::string announcement_headers ();
  std::string head_of (const Message &request, bool has_seal);
  bool refuse (Connection &connection, const Message &request);
  bool is_fatal (const Message &request);
  double requested_pause_s (const Message &request);
  std::mutex mutex_;
  std::string id_;
  bool is_engine_;
  bool is_leaving_ = false;
  std::map<std::string, Adapter> adapters_;
  bool has_model_ = true;
  int64_t seq_ = 0;
  int64_t clock_step_ms_ = 0;
  int64_t born_ms_;
  int loads_ = 0;
  size_t max_adapters_held_ = 0;
  std::set<std::string> order_issuers_;
  std::vector<Fault> faults_;
  std::string crash_path_;
  void announce_limit_locked (double per_s);
  std::vector<LimitSpan> announced_limits_;
  std::vector<std::chrono::steady_clock::time_point> restarts_;
  std::string pause_path_;
  double pause_path_s_ = 0;
  std::map<std::string, int> runs_;
  std::vector<Message> requests_;
  std::vector<Message> refused_with_pause_;
};

} // namespace relay

#endif
