#include "proxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <system_error>
#include <vector>

namespace relay
{

using Moment = std::chrono::steady_clock::time_point;

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

/// Receive without waiting.
/// @param arrived_at  Receives the moment at which the kernel had received the
///   last of the bytes, or now if that isn't known.
static ssize_t
receive (int fd, char *bytes, size_t cap_bytes, Moment *arrived_at)
{
  alignas (cmsghdr) char control[CMSG_SPACE (sizeof (timespec))];
  iovec into = { bytes, cap_bytes };
  msghdr message = {};
  message.msg_iov = &into;
  message.msg_iovlen = 1;
  message.msg_control = control;
  message.msg_controllen = sizeof control;
  ssize_t n = recvmsg (fd, &message, MSG_DONTWAIT);
  *arrived_at = std::chrono::steady_clock::now ();
  cmsghdr *stamp = n > 0 ? CMSG_FIRSTHDR (&message) : nullptr;
  if (stamp == nullptr || stamp->cmsg_level != SOL_SOCKET
      || stamp->cmsg_type != SO_TIMESTAMPNS)
    return n;
  timespec at;
  timespec now;
  memcpy (&at, CMSG_DATA (stamp), sizeof at);
  clock_gettime (CLOCK_REALTIME, &now);
  *arrived_at -= std::chrono::seconds (now.tv_sec - at.tv_sec)
                 + std::chrono::nanoseconds (now.tv_nsec - at.tv_nsec);
  return n;
}

Proxy::Proxy (const std::string &listen_ip, int listen_port,
              const std::string &target_ip, int target_port)
    : target_ip_ (target_ip), target_port_ (target_port)
{
  listener_ = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;
  setsockopt (listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  // Accepted connections inherit it.
  setsockopt (listener_, SOL_SOCKET, SO_TIMESTAMPNS, &on, sizeof on);
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

Moment
Proxy::arrived_at (const std::string &attempt_id, Moment before)
{
  std::lock_guard<std::mutex> lock (arrivals_mutex_);
  Moment latest = Moment::min ();
  auto [at, end] = arrivals_.equal_range (attempt_id);
  for (; at != end; ++at)
    if (at->second <= before)
      latest = std::max (latest, at->second);
  return latest == Moment::min () ? before : latest;
}

/// Record the request whose head begins in these bytes, if any.
void
Proxy::record_arrival (const char *bytes, size_t len_bytes, Moment at)
{
  static const char name[] = "X-Knapweedbay-Attempt-Id: ";
  const char *end = bytes + len_bytes;
  const char *field
      = (const char *)memmem (bytes, len_bytes, name, sizeof name - 1);
  if (field == nullptr)
    return;
  field += sizeof name - 1;
  const char *line_end = std::find (field, end, '\r');
  std::lock_guard<std::mutex> lock (arrivals_mutex_);
  arrivals_.emplace (std::string (field, line_end), at);
}

/// Forward what one side has sent.
/// @return  False when the connection has ended; both sides are then closed.
bool
Proxy::pump (Pair *pair, bool is_forward)
{
  char bytes[16384];
  int from = is_forward ? pair->client_fd : pair->upstream_fd;
  int to = is_forward ? pair->upstream_fd : pair->client_fd;
  Moment arrived_at;
  ssize_t n = receive (from, bytes, sizeof bytes, &arrived_at);
  if (is_forward && n > 0)
    record_arrival (bytes, (size_t)n, arrived_at);
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
