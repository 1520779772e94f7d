/// @file http_peer.h
/// Blocking HTTP/1.1 for stand-ins and test callers: one thread a connection,
/// raw enough to send what a faulty peer would send.
#ifndef KB_TEST_RELAY_HTTP_PEER_H
#define KB_TEST_RELAY_HTTP_PEER_H

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace relay
{

struct Message
{
  std::string start;                          ///< Request line or status line.
  std::map<std::string, std::string> headers; ///< Names in lower case.
  std::string body;
  int status = 0; ///< Of an answer; zero: none came.
  std::chrono::steady_clock::time_point received_at; ///< Of a request: when.
  /// The message ended where it said it would. An answer without a length is
  /// whole when its connection closed in order.
  bool is_whole = false;

  std::string method () const;
  std::string target () const;
  std::string header (const std::string &name) const;
};

class Connection
{
public:
  /// @param on_close  Called before the descriptor is closed, or empty.
  explicit Connection (int fd, std::function<void (int)> on_close = nullptr)
      : fd_ (fd), on_close_ (std::move (on_close))
  {
  }
  ~Connection ();
  Connection (const Connection &) = delete;
  Connection &operator= (const Connection &) = delete;
  /// @return  False at the end of the connection.
  bool read_request (Message *out);
  /// @param timeout_ms  For each read.
  Message read_response (int timeout_ms = 8000);
  /// Read what is there now, up to a time.
  std::string read_some (int timeout_ms);
  bool write (const std::string &bytes);
  /// Close with a reset.
  void reset ();
  void close ();
  /// Whether the peer closed or reset; waits up to a time for it.
  bool peer_has_closed (int timeout_ms);
  int
  fd () const
  {
    return fd_;
  }

private:
  bool receive_more ();
  bool read_head (Message *out);
  bool read_chunked (std::string *body);
  int fd_;
  std::function<void (int)> on_close_;
  bool was_reset_ = false;
  std::string buffer_;
};

/// Connect to "ip:port".
/// @param from  Own IP number, or empty.
std::unique_ptr<Connection> dial (const std::string &address,
                                  const std::string &from = "");

/// A server; ends when it goes out of scope.
class Server
{
public:
  explicit Server (const std::string &ip);
  virtual ~Server ();
  std::string
  address () const
  {
    return ip_ + ":" + std::to_string (port_);
  }
  void stop ();
  /// The process ends: all connections are reset, new ones refused. Harmless
  /// when it has ended.
  void simulate_exit ();
  /// Listen again at the same address.
  void listen_again ();
  bool
  has_exited () const
  {
    return has_exited_;
  }

protected:
  void start ();
  /// Serve one request.
  /// @return  False to end the connection.
  virtual bool serve (Connection &connection, const Message &request) = 0;
  std::atomic<bool> is_stopping_{ false };

private:
  void accept_loop ();
  void listen_at (int port);
  void reset_open_connections ();
  std::string ip_;
  int port_ = 0;
  std::atomic<bool> has_exited_{ false };
  std::mutex state_mutex_;
  int listener_ = -1;
  std::thread acceptor_;
  std::mutex threads_mutex_;
  std::vector<std::thread> threads_;
  std::set<int> open_fds_;
};

/// A complete answer with a length.
std::string make_response (int status, const std::string &headers,
                           const std::string &body);
std::string json_response (const std::string &body);
/// One chunk of a chunked body.
std::string chunk (const std::string &bytes);
int free_port (const std::string &ip);

} // namespace relay

#endif
