/// @file http_peer.h
/// Blocking HTTP/1.1 clients and servers for tests, with one thread per
/// connection. Messages are sent as raw bytes, so that tests can send
/// malformed ones as a faulty peer would.
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

/// A request or a response.
struct Message
{
  std::string start;                          ///< Request line or status line.
  std::map<std::string, std::string> headers; ///< Names in lower case.
  std::string body;
  int status = 0; ///< Of a response; zero: none arrived.
  std::chrono::steady_clock::time_point received_at; ///< Requests only.
  /// The message is complete by its framing. A close-delimited response is
  /// complete when its connection was closed without a reset.
  bool is_complete = false;

  std::string method () const;
  std::string target () const;
  std::string header (const std::string &name) const;
};

/// A TCP connection; closed on destruction.
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
  /// Read one request.
  /// @return  False when the connection has ended.
  bool read_request (Message *out);
  /// Read one response.
  /// @param timeout_ms  Limit for each read from the socket.
  Message read_response (int timeout_ms = 8000);
  /// @return  Buffered bytes, or those that arrive first within the timeout.
  std::string read_some (int timeout_ms);
  bool write (const std::string &bytes);
  /// Close with a TCP reset.
  void reset ();
  void close ();
  /// @return  Whether the peer closes or resets within the timeout.
  bool peer_has_closed (int timeout_ms);
  /// Wait for the close or reset of the peer, also behind bytes that were not
  /// read, or for a local shutdown.
  /// @return  False after the timeout.
  bool wait_for_close (std::chrono::nanoseconds timeout);
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
/// @param from  Local IP address to bind to, or empty.
/// @return      NULL when the connection is refused.
std::unique_ptr<Connection> dial (const std::string &address,
                                  const std::string &from = "");

/// A server with one thread per connection; stopped on destruction.
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
  /// Close all connections and join all threads.
  void stop ();
  /// Simulate the exit of the server process: reset all connections and refuse
  /// new ones. No effect if already done.
  void simulate_exit ();
  /// Moments of simulate_exit.
  std::vector<std::chrono::steady_clock::time_point> exits ();
  /// Listen again on the same address after simulate_exit.
  void listen_again ();
  bool
  has_exited () const
  {
    return has_exited_;
  }
  /// Number of simulated exits.
  int
  exit_count () const
  {
    return exit_count_;
  }

protected:
  /// Start accepting connections.
  void start ();
  /// Handle one request.
  /// @return  False to close the connection.
  virtual bool serve (Connection &connection, const Message &request) = 0;
  std::atomic<bool> is_stopping_{ false };

private:
  void accept_loop ();
  void listen_at (int port);
  void reset_open_connections ();
  std::string ip_;
  int port_ = 0;
  std::atomic<bool> has_exited_{ false };
  std::atomic<int> exit_count_{ 0 };
  std::mutex state_mutex_;
  std::vector<std::chrono::steady_clock::time_point> exits_;
  int listener_ = -1;
  std::thread acceptor_;
  std::mutex threads_mutex_;
  std::vector<std::thread> threads_;
  std::set<int> open_fds_;
};

/// @return  A complete response with Content-Length.
std::string make_response (int status, const std::string &headers,
                           const std::string &body);
std::string json_response (const std::string &body);
/// @return  One chunk of a chunked body.
std::string chunk (const std::string &bytes);
/// @return  A TCP port that is unused on this address and was not returned by
///          an earlier call.
int free_port (const std::string &ip);

} // namespace relay

#endif
