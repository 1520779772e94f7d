#include "http_peer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <memory>
#include <mutex>
#include <set>
#include <stdexcept>

namespace relay
{

std::string
Message::method () const
{
  return start.substr (0, start.find (' '));
}

std::string
Message::target () const
{
  size_t from = start.find (' ') + 1;
  return start.substr (from, start.rfind (' ') - from);
}

std::string
Message::header (const std::string &name) const
{
  auto it = headers.find (name);
  return it == headers.end () ? "" : it->second;
}

Connection::~Connection () { close (); }

void
Connection::close ()
{
  if (fd_ < 0)
    return;
  if (on_close_)
    on_close_ (fd_);
  ::close (fd_);
  fd_ = -1;
}

void
Connection::reset ()
{
  if (fd_ < 0)
    return;
  linger on = { 1, 0 };
  setsockopt (fd_, SOL_SOCKET, SO_LINGER, &on, sizeof on);
  close ();
}

bool
Connection::write (const std::string &bytes)
{
  size_t done = 0;
  while (fd_ >= 0 && done < bytes.size ())
    {
      ssize_t n = send (fd_, bytes.data () + done, bytes.size () - done,
                        MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      done += (size_t)n;
    }
  return fd_ >= 0;
}

bool
Connection::receive_more ()
{
  char bytes[16384];
  ssize_t n = fd_ < 0 ? -1 : recv (fd_, bytes, sizeof bytes, 0);
  if (n < 0)
    was_reset_ = true;
  if (n <= 0)
    return false;
  buffer_.append (bytes, (size_t)n);
  return true;
}

bool
Connection::read_head (Message *out)
{
  size_t end;
  while ((end = buffer_.find ("\r\n\r\n")) == std::string::npos)
    if (!receive_more ())
      return false;
  std::string head = buffer_.substr (0, end + 2);
  buffer_.erase (0, end + 4);
  size_t at = head.find ("\r\n");
  out->start = head.substr (0, at);
  at += 2;
  while (at < head.size ())
    {
      size_t line_end = head.find ("\r\n", at);
      size_t colon = head.find (':', at);
      std::string name = head.substr (at, colon - at);
      std::transform (name.begin (), name.end (), name.begin (), ::tolower);
      size_t value = head.find_first_not_of (' ', colon + 1);
      out->headers[name] = head.substr (value, line_end - value);
      at = line_end + 2;
    }
  return true;
}

bool
Connection::read_chunked (std::string *body)
{
  for (;;)
    {
      size_t line_end;
      while ((line_end = buffer_.find ("\r\n")) == std::string::npos)
        if (!receive_more ())
          return false;
      size_t size = strtoul (buffer_.c_str (), nullptr, 16);
      while (buffer_.size () < line_end + 2 + size + 2)
        if (!receive_more ())
          {
            body->append (buffer_, std::min (buffer_.size (), line_end + 2));
            return false;
          }
      body->append (buffer_, line_end + 2, size);
      buffer_.erase (0, line_end + 2 + size + 2);
      if (size == 0)
        return true;
    }
}

bool
Connection::read_request (Message *out)
{
  *out = Message ();
  if (!read_head (out))
    return false;
  size_t length
      = strtoul (out->header ("content-length").c_str (), nullptr, 10);
  while (buffer_.size () < length)
    if (!receive_more ())
      return false;
  out->body = buffer_.substr (0, length);
  buffer_.erase (0, length);
  out->is_complete = true;
  out->received_at = std::chrono::steady_clock::now ();
  return true;
}

Message
Connection::read_response (int timeout_ms)
{
  timeval limit = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };
  setsockopt (fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  Message message;
  if (!read_head (&message))
    return message;
  message.status = atoi (message.start.c_str () + 9);
  if (message.header ("transfer-encoding") == "chunked")
    {
      message.is_complete = read_chunked (&message.body);
      return message;
    }
  if (message.headers.count ("content-length") == 0)
    {
      while (receive_more ())
        ;
      message.body.swap (buffer_);
      message.is_complete = !was_reset_;
      return message;
    }
  size_t length
      = strtoul (message.header ("content-length").c_str (), nullptr, 10);
  while (buffer_.size () < length)
    if (!receive_more ())
      return message;
  message.body = buffer_.substr (0, length);
  buffer_.erase (0, length);
  message.is_complete = true;
  return message;
}

std::string
Connection::read_some (int timeout_ms)
{
  pollfd in = { fd_, POLLIN, 0 };
  if (buffer_.empty () && poll (&in, 1, timeout_ms) == 1)
    receive_more ();
  std::string bytes;
  bytes.swap (buffer_);
  return bytes;
}

bool
Connection::peer_has_closed (int timeout_ms)
{
  pollfd in = { fd_, POLLIN, 0 };
  if (fd_ < 0 || poll (&in, 1, timeout_ms) != 1)
    return fd_ < 0;
  char byte;
  return recv (fd_, &byte, 1, MSG_PEEK) <= 0;
}

bool
Connection::wait_for_close (std::chrono::nanoseconds timeout)
{
  constexpr int64_t kPerSecond = 1000000000;
  int64_t count = std::max<int64_t> (timeout.count (), 0);
  timespec limit = { count / kPerSecond, count % kPerSecond };
  pollfd hang_up = { fd_, POLLRDHUP, 0 };
  return ppoll (&hang_up, 1, &limit, nullptr) == 1;
}

static sockaddr_in
parse_address (const std::string &ip, int port)
{
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, ip.c_str (), &address.sin_addr);
  return address;
}

std::unique_ptr<Connection>
dial (const std::string &text, const std::string &from)
{
  size_t colon = text.find (':');
  sockaddr_in address = parse_address (text.substr (0, colon),
                                       atoi (text.c_str () + colon + 1));
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  sockaddr_in own = parse_address (from.empty () ? "0.0.0.0" : from, 0);
  if (!from.empty () && bind (fd, (sockaddr *)&own, sizeof own) != 0)
    throw std::runtime_error ("cannot bind to " + from);
  if (connect (fd, (sockaddr *)&address, sizeof address) != 0)
    {
      close (fd);
      return nullptr;
    }
  int on = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return std::make_unique<Connection> (fd);
}

Server::Server (const std::string &ip) : ip_ (ip) { listen_at (0); }

void
Server::listen_at (int port)
{
  listener_ = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;
  setsockopt (listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = parse_address (ip_, port);
  if (bind (listener_, (sockaddr *)&address, sizeof address) != 0
      || listen (listener_, 128) != 0)
    throw std::runtime_error ("cannot listen on " + ip_);
  socklen_t size = sizeof address;
  getsockname (listener_, (sockaddr *)&address, &size);
  port_ = ntohs (address.sin_port);
}

void
Server::start ()
{
  acceptor_ = std::thread ([this] { accept_loop (); });
}

void
Server::accept_loop ()
{
  for (;;)
    {
      int fd = accept (listener_, nullptr, nullptr);
      if (fd < 0 || is_stopping_)
        {
          if (fd >= 0)
            close (fd);
          return;
        }
      int on = 1;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::lock_guard<std::mutex> lock (threads_mutex_);
      open_fds_.insert (fd);
      threads_.emplace_back ([this, fd] {
        Connection connection (fd, [this] (int closing) {
          std::lock_guard<std::mutex> guard (threads_mutex_);
          open_fds_.erase (closing);
        });
        Message request;
        while (connection.read_request (&request)
               && serve (connection, request))
          ;
      });
    }
}

void
Server::reset_open_connections ()
{
  std::lock_guard<std::mutex> lock (threads_mutex_);
  for (int fd : open_fds_)
    {
      linger at_once = { 1, 0 };
      setsockopt (fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
      shutdown (fd, SHUT_RD);
    }
}

void
Server::simulate_exit ()
{
  std::lock_guard<std::mutex> lock (state_mutex_);
  if (has_exited_.exchange (true))
    return;
  exit_count_++;
  exits_.push_back (std::chrono::steady_clock::now ());
  shutdown (listener_, SHUT_RDWR);
  acceptor_.join ();
  close (listener_);
  reset_open_connections ();
}

std::vector<std::chrono::steady_clock::time_point>
Server::exits ()
{
  std::lock_guard<std::mutex> lock (state_mutex_);
  return exits_;
}

void
Server::listen_again ()
{
  std::lock_guard<std::mutex> lock (state_mutex_);
  if (!has_exited_)
    return;
  listen_at (port_);
  has_exited_ = false;
  start ();
}

void
Server::stop ()
{
  if (is_stopping_.exchange (true))
    return;
  std::lock_guard<std::mutex> life (state_mutex_);
  if (!has_exited_)
    {
      shutdown (listener_, SHUT_RDWR);
      if (acceptor_.joinable ())
        acceptor_.join ();
      close (listener_);
    }
  {
    std::lock_guard<std::mutex> lock (threads_mutex_);
    for (int fd : open_fds_)
      shutdown (fd, SHUT_RDWR);
  }
  for (auto &thread : threads_)
    thread.join ();
}

Server::~Server () { stop (); }

std::string
make_response (int status, const std::string &headers, const std::string &body)
{
  return "HTTP/1.1 " + std::to_string (status) + " X\r\n" + headers
         + "Content-Length: " + std::to_string (body.size ()) + "\r\n\r\n"
         + body;
}

std::string
json_response (const std::string &body)
{
  return make_response (200, "Content-Type: application/json\r\n", body);
}

std::string
chunk (const std::string &bytes)
{
  char size[24];
  snprintf (size, sizeof size, "%zx\r\n", bytes.size ());
  return size + bytes + "\r\n";
}

/// A port that a socket doesn't hold may be chosen again, and the daemons of a
/// site would share it.
static bool
claim_port (int port)
{
  static std::mutex mutex;
  static std::set<int> claimed;
  std::lock_guard<std::mutex> lock (mutex);
  return claimed.insert (port).second;
}

int
free_port (const std::string &ip)
{
  for (;;)
    {
      int fd = socket (AF_INET, SOCK_STREAM, 0);
      sockaddr_in address = parse_address (ip, 0);
      bind (fd, (sockaddr *)&address, sizeof address);
      socklen_t size = sizeof address;
      getsockname (fd, (sockaddr *)&address, &size);
      close (fd);
      if (claim_port (ntohs (address.sin_port)))
        return ntohs (address.sin_port);
    }
}

} // namespace relay
