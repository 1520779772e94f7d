#include "proxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>
#include <vector>

namespace relay
{

static sockaddr_in
make_address (const std::string &ip, int port)
{
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, ip.c_str (), &address.sin_addr);
  return address;
}

static void
set_nodelay (int fd)
{
  int on = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Proxy::Proxy (const std::string &listen_ip, int listen_port,
              const std::string &target_ip, int target_port)
    : target_ip_ (target_ip), target_port_ (target_port)
{
  listener_ = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;
  setsockopt (listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = make_address (listen_ip, listen_port);
  if (bind (listener_, (sockaddr *)&address, sizeof address) != 0
      || listen (listener_, 128) != 0)
    throw std::system_error (errno, std::generic_category (),
                             "proxy cannot listen on " + listen_ip + ":"
                                 + std::to_string (listen_port));
  socklen_t size = sizeof address;
  getsockname (listener_, (sockaddr *)&address, &size);
  port_ = ntohs (address.sin_port);
  thread_ = std::thread ([this] { loop (); });
}

Proxy::~Proxy ()
{
  is_stopping_ = true;
  thread_.join ();
  for (auto &pair : pairs_)
    close_pair (&pair, false);
  close (listener_);
}

void
Proxy::set_path (Path path)
{
  path_ = path;
  record_harm ();
}

void
Proxy::set_delay_ms (int delay_ms)
{
  delay_ms_ = delay_ms;
  record_harm ();
}

void
Proxy::record_harm ()
{
  constexpr auto kOpen = std::chrono::steady_clock::time_point::max ();
  std::lock_guard<std::mutex> lock (harms_mutex_);
  bool is_harmed = path_ != Path::OPEN || delay_ms_ > 0;
  bool was_harmed = !harms_.empty () && harms_.back ()[1] == kOpen;
  auto now = std::chrono::steady_clock::now ();
  if (is_harmed && !was_harmed)
    harms_.push_back ({ now, kOpen });
  else if (!is_harmed && was_harmed)
    harms_.back ()[1] = now;
}

bool
Proxy::was_harmed (std::chrono::steady_clock::time_point from,
                   std::chrono::steady_clock::time_point to)
{
  std::lock_guard<std::mutex> lock (harms_mutex_);
  for (const auto &harm : harms_)
    if (harm[0] <= to && harm[1] >= from)
      return true;
  return false;
}

void
Proxy::reset_all ()
{
  is_reset_requested_ = true;
}

void
Proxy::silence_existing ()
{
  is_silence_requested_ = true;
}

void
Proxy::close_pair (Pair *pair, bool is_reset)
{
  linger hard = { 1, 0 };
  for (int fd : { pair->client_fd, pair->upstream_fd })
    {
      if (is_reset)
        setsockopt (fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
      close (fd);
    }
}

void
Proxy::accept_one ()
{
  int client_fd = accept (listener_, nullptr, nullptr);
  if (client_fd < 0)
    return;
  int upstream_fd = socket (AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = make_address (target_ip_, target_port_);
  if (connect (upstream_fd, (sockaddr *)&address, sizeof address) != 0)
    {
      Pair failed = { client_fd, upstream_fd, false };
      close_pair (&failed, true);
      return;
    }
  set_nodelay (client_fd);
  set_nodelay (upstream_fd);
  pairs_.push_back ({ client_fd, upstream_fd, false });
}

/// Forward what one side has sent.
/// @return  False when the connection has ended; both sides are then closed.
bool
Proxy::pump (Pair *pair, bool is_forward)
{
  char bytes[16384];
  int from = is_forward ? pair->client_fd : pair->upstream_fd;
  int to = is_forward ? pair->upstream_fd : pair->client_fd;
  ssize_t n = recv (from, bytes, sizeof bytes, MSG_DONTWAIT);
  Path path = path_;
  bool is_lost = pair->is_silent || path == Path::SILENT
                 || (path == Path::ONE_WAY && !is_forward);
  // A connection that has lost bytes can neither go on nor end orderly.
  bool *has_lost_bytes = &pair->has_lost_bytes[is_forward];
  if (n <= 0 || (*has_lost_bytes && !is_lost))
    {
      close_pair (pair, n < 0 || *has_lost_bytes);
      return false;
    }
  *has_lost_bytes = is_lost;
  if (is_lost)
    return true;
  int delay_ms = delay_ms_;
  if (delay_ms > 0)
    usleep ((useconds_t)delay_ms * 1000);
  return send (to, bytes, (size_t)n, MSG_NOSIGNAL) == n
         || (close_pair (pair, true), false);
}

void
Proxy::loop ()
{
  while (!is_stopping_)
    {
      if (is_reset_requested_.exchange (false))
        {
          for (auto &pair : pairs_)
            close_pair (&pair, true);
          pairs_.clear ();
        }
      if (is_silence_requested_.exchange (false))
        for (auto &pair : pairs_)
          pair.is_silent = true;
      std::vector<pollfd> fds = { { listener_, POLLIN, 0 } };
      for (const auto &pair : pairs_)
        {
          fds.push_back ({ pair.client_fd, POLLIN, 0 });
          fds.push_back ({ pair.upstream_fd, POLLIN, 0 });
        }
      if (poll (fds.data (), fds.size (), 20) <= 0)
        continue;
      size_t at = 1;
      for (auto it = pairs_.begin (); it != pairs_.end (); at += 2)
        {
          bool is_alive = fds[at].revents == 0 || pump (&*it, true);
          is_alive
              = is_alive && (fds[at + 1].revents == 0 || pump (&*it, false));
          it = is_alive ? std::next (it) : pairs_.erase (it);
        }
      if (fds[0].revents != 0)
        accept_one ();
    }
}

} // namespace relay
