/// @file repeating_peer.h
/// A peer on loopback that answers more often than it is asked.
#ifndef KB_TEST_UNIT_REPEATING_PEER_H
#define KB_TEST_UNIT_REPEATING_PEER_H

#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "loopback.h"

namespace unit
{

inline std::string
answer (const std::string &status, const std::string &body,
        const std::string &fields = "")
{
  return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: "
         + std::to_string (body.size ()) + "\r\n\r\n" + body;
}

/// Its answers are set by path. It repeats the latest answer on a connection
/// in front of the next one there.
class RepeatingPeer
{
public:
  RepeatingPeer ()
  {
    thread_ = std::thread ([this] { accept_all (); });
  }
  ~RepeatingPeer ()
  {
    listener_.end ();
    thread_.join ();
    for (int fd : accepted_)
      shutdown (fd, SHUT_RDWR);
    for (std::thread &connection : connections_)
      connection.join ();
    for (int fd : accepted_)
      close (fd);
  }
  void
  set_answer (const std::string &path, const std::string &bytes)
  {
    std::lock_guard<std::mutex> guard (mutex_);
    answers_[path] = bytes;
  }
  const sockaddr_in &
  address () const
  {
    return listener_.address;
  }

private:
  void
  accept_all ()
  {
    int fd;
    while ((fd = listener_.accept_one ()) >= 0)
      {
        accepted_.push_back (fd);
        connections_.emplace_back ([this, fd] { serve (fd); });
      }
  }
  /// @return  The path of the next request; empty at the connection's end.
  static std::string
  read_request (int fd)
  {
    std::string bytes;
    char c;
    while (bytes.find ("\r\n\r\n") == std::string::npos)
      {
        if (recv (fd, &c, 1, 0) != 1)
          return "";
        bytes += c;
      }
    size_t length_at = bytes.find ("Content-Length: ");
    if (length_at != std::string::npos)
      for (int left = atoi (bytes.c_str () + length_at + 16); left > 0; left--)
        if (recv (fd, &c, 1, 0) != 1)
          return "";
    size_t begin = bytes.find (' ') + 1;
    return bytes.substr (begin, bytes.find (' ', begin) - begin);
  }
  void
  serve (int fd)
  {
    std::string path;
    std::string latest;
    while (!(path = read_request (fd)).empty ())
      {
        std::string own;
        {
          std::lock_guard<std::mutex> guard (mutex_);
          own = answers_[path];
        }
        std::string bytes = latest + own;
        send (fd, bytes.data (), bytes.size (), MSG_NOSIGNAL);
        latest = own;
      }
  }
  std::mutex mutex_;
  std::map<std::string, std::string> answers_;
  std::vector<int> accepted_;
  std::vector<std::thread> connections_;
  Listener listener_{ 16 };
  std::thread thread_;
};

} // namespace unit

#endif
