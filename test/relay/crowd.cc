#include "crowd.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <thread>

#include "http_peer.h"
#include "launcher.h"

namespace relay
{

namespace
{

using Clock = std::chrono::steady_clock;

constexpr int kWatchMs = 10;

sockaddr_in
parse (const std::string &address)
{
  sockaddr_in out{};
  size_t colon = address.find (':');
  out.sin_family = AF_INET;
  out.sin_port = htons ((uint16_t)atoi (address.c_str () + colon + 1));
  inet_pton (AF_INET, address.substr (0, colon).c_str (), &out.sin_addr);
  return out;
}

long
now_ms ()
{
  return std::chrono::duration_cast<std::chrono::milliseconds> (
             Clock::now ().time_since_epoch ())
      .count ();
}

} // namespace

Crowd::Crowd (const std::string &address, int count, const Script &script)
    : address_ (address), script_ (script), clients_ ((size_t)count)
{
  for (Client &client : clients_)
    open (&client);
}

Crowd::~Crowd ()
{
  is_over_ = true;
  for (Client &client : clients_)
    end (&client);
}

void
Crowd::open (Client *client)
{
  sockaddr_in to = parse (address_);
  *client = Client ();
  client->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  // A full queue of connections delays the next one by a second.
  fcntl (client->fd, F_SETFL, O_NONBLOCK);
  if (script_.receive_bytes > 0)
    setsockopt (client->fd, SOL_SOCKET, SO_RCVBUF, &script_.receive_bytes,
                sizeof script_.receive_bytes);
  connect (client->fd, (const sockaddr *)&to, sizeof to);
}

void
Crowd::end (Client *client)
{
  if (!client->is_ended)
    close (client->fd);
  client->is_ended = true;
  if (script_.returns && !is_over_)
    open (client);
}

/// @return  What a client sends now; NULL: nothing.
const std::string *
Crowd::next_text (const Client &client) const
{
  if (client.is_first)
    return &script_.first;
  return script_.endless.empty () ? nullptr : &script_.endless;
}

void
Crowd::send (Client *client)
{
  const std::string *text = next_text (*client);
  ssize_t sent
      = ::send (client->fd, text->data () + client->sent,
                text->size () - client->sent, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent < 0 && errno != EAGAIN && errno != ENOTCONN)
    end (client);
  if (sent <= 0)
    return;
  client->sent += (size_t)sent;
  if (client->sent < text->size ())
    return;
  client->sent = 0;
  client->is_first = false;
}

void
Crowd::receive (Client *client)
{
  static char bytes[65536];
  ssize_t got = recv (client->fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (got == 0 || (got < 0 && errno != EAGAIN))
    end (client);
}

void
Crowd::press (int ms)
{
  long until_ms = now_ms () + ms;
  do
    {
      bool drips = !script_.drip.empty () && now_ms () >= dripped_ms_;
      if (drips)
        dripped_ms_ = now_ms () + kDripMs;
      std::vector<pollfd> polls;
      std::vector<Client *> polled;
      for (Client &client : clients_)
        {
          if (client.is_ended)
            continue;
          if (drips && !client.is_first
              && ::send (client.fd, script_.drip.data (), script_.drip.size (),
                         MSG_NOSIGNAL | MSG_DONTWAIT)
                     < 0
              && errno != EAGAIN)
            {
              end (&client);
              continue;
            }
          short events = script_.reads ? POLLIN : 0;
          if (next_text (client) != nullptr)
            events |= POLLOUT;
          polls.push_back ({ client.fd, events, 0 });
          polled.push_back (&client);
        }
      int timeout_ms = (int)std::clamp (until_ms - now_ms (), 0L, 10L);
      poll (polls.data (), polls.size (), timeout_ms);
      for (size_t i = 0; i < polls.size (); i++)
        {
          if (polls[i].revents & (POLLERR | POLLHUP))
            end (polled[i]);
          if (!polled[i]->is_ended && (polls[i].revents & POLLIN))
            receive (polled[i]);
          if (!polled[i]->is_ended && (polls[i].revents & POLLOUT))
            send (polled[i]);
        }
    }
  while (now_ms () < until_ms);
}

int
descriptor_count (pid_t pid)
{
  std::error_code error;
  std::filesystem::directory_iterator all (
      "/proc/" + std::to_string (pid) + "/fd", error);
  int count = 0;
  for (const auto &entry : all)
    count += !entry.path ().empty ();
  return count;
}

/// @return  Inodes of the sockets of a process.
static std::set<std::string>
sockets_of (pid_t pid)
{
  std::set<std::string> inodes;
  std::error_code error;
  std::filesystem::directory_iterator all (
      "/proc/" + std::to_string (pid) + "/fd", error);
  for (const auto &entry : all)
    {
      std::string link
          = std::filesystem::read_symlink (entry.path (), error).string ();
      size_t open = link.find ("socket:[");
      if (open == 0)
        inodes.insert (link.substr (8, link.size () - 9));
    }
  return inodes;
}

long
unread_kb (pid_t pid, const std::string &address)
{
  constexpr int kListening = 0x0A;
  sockaddr_in local = parse (address);
  char wanted[32];
  snprintf (wanted, sizeof wanted, "%08X:%04X", local.sin_addr.s_addr,
            ntohs (local.sin_port));
  std::set<std::string> own = sockets_of (pid);
  std::ifstream table ("/proc/net/tcp");
  std::string line;
  long bytes = 0;
  while (std::getline (table, line))
    {
      std::istringstream in (line);
      std::string row, here, peer, state, queues, timer, retries, user,
          timeout, inode;
      in >> row >> here >> peer >> state >> queues >> timer >> retries >> user
          >> timeout >> inode;
      bool waits = here == wanted && inode == "0";
      if (row == "sl" || std::stol (state, nullptr, 16) == kListening
          || (!waits && own.count (inode) == 0))
        continue;
      bytes += std::stol (queues.substr (queues.find (':') + 1), nullptr, 16);
    }
  return bytes / 1024;
}

Held
press_and_watch (const std::vector<Crowd *> &crowds, pid_t pid,
                 const std::string &address, int ms)
{
  Held most;
  std::atomic<bool> is_over{ false };
  std::thread watch ([&] {
    while (!is_over)
      {
        most.memory_kb = std::max (
            most.memory_kb, resident_kb (pid) + unread_kb (pid, address));
        most.descriptors = std::max (most.descriptors, descriptor_count (pid));
        std::this_thread::sleep_for (std::chrono::milliseconds (kWatchMs));
      }
  });
  long until_ms = now_ms () + ms;
  do
    for (Crowd *crowd : crowds)
      crowd->press (crowds.size () == 1 ? ms : 1);
  while (now_ms () < until_ms);
  is_over = true;
  watch.join ();
  return most;
}

Held
press_and_watch (Crowd *crowd, pid_t pid, const std::string &address, int ms)
{
  return press_and_watch (std::vector<Crowd *>{ crowd }, pid, address, ms);
}

std::string
unfinished_chunks (size_t bytes, size_t chunk_bytes)
{
  std::string one = chunk (std::string (chunk_bytes, 'x'));
  std::string all;
  for (size_t done = 0; done + chunk_bytes <= bytes; done += chunk_bytes)
    all += one;
  return all;
}

std::string
head_of (const std::string &start, const std::string &fields)
{
  return start + " HTTP/1.1\r\n" + fields + "\r\n";
}

} // namespace relay
