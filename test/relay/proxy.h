/// @file proxy.h
/// A loopback proxy that delays, silences, cuts in one direction or resets the
/// connections through it.
#ifndef KB_TEST_RELAY_PROXY_H
#define KB_TEST_RELAY_PROXY_H

#include <array>
#include <atomic>
#include <chrono>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace relay
{

enum class Path
{
  OPEN,
  SILENT,  ///< Accepts bytes and forwards none in either direction.
  ONE_WAY, ///< Drops bytes from the upstream to the client.
};

class Proxy
{
public:
  Proxy (const std::string &listen_ip, int listen_port,
         const std::string &target_ip, int target_port);
  ~Proxy ();
  void set_path (Path path);
  /// Delay the forwarding of each read by this time.
  void set_delay_ms (int delay_ms);
  /// @return  Whether the path was not open, or delayed, at any time in a
  /// span.
  bool was_harmed (std::chrono::steady_clock::time_point from,
                   std::chrono::steady_clock::time_point to);
  /// @return  When the kernel had received the request with this attempt id
  /// that was forwarded last before a moment; the moment itself if that isn't
  /// known. The proxy may read, and forward, much later.
  std::chrono::steady_clock::time_point
  arrived_at (const std::string &attempt_id,
              std::chrono::steady_clock::time_point before);
  /// Reset every connection now.
  void reset_all ();
  /// Existing connections stay open and forward nothing more; new ones work.
  void silence_existing ();
  int
  port () const
  {
    return port_;
  }

private:
  struct Pair
  {
    int client_fd;
    int upstream_fd;
    bool is_silent;
    bool has_lost_bytes[2] = {}; ///< Sent by upstream, by the client.
  };
  void record_harm ();
  void loop ();
  void accept_one ();
  bool pump (Pair *pair, bool is_forward);
  void record_arrival (const char *bytes, size_t len_bytes,
                       std::chrono::steady_clock::time_point at);
  void close_pair (Pair *pair, bool is_reset);
  std::string target_ip_;
  int target_port_;
  int port_ = 0;
  int listener_;
  std::atomic<Path> path_{ Path::OPEN };
  std::atomic<int> delay_ms_{ 0 };
  std::atomic<bool> is_stopping_{ false };
  std::atomic<bool> is_reset_requested_{ false };
  std::atomic<bool> is_silence_requested_{ false };
  /// Spans in which it was harmed; the last one may be open.
  std::vector<std::array<std::chrono::steady_clock::time_point, 2>> harms_;
  std::mutex harms_mutex_;
  /// When requests arrived, by attempt id.
  std::multimap<std::string, std::chrono::steady_clock::time_point> arrivals_;
  std::mutex arrivals_mutex_;
  std::list<Pair> pairs_;
  std::thread thread_;
};

} // namespace relay

#endif
