/// @file crowd.h
/// Clients that make a process hold as much as it accepts, and what it holds
/// meanwhile: memory, bytes that its sockets have not read, descriptors.
#ifndef KB_TEST_RELAY_CROWD_H
#define KB_TEST_RELAY_CROWD_H

#include <sys/types.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace relay
{

/// What each client sends, and whether it reads what it gets.
struct Script
{
  std::string first;   ///< Sent once.
  std::string endless; ///< Sent again and again after that; empty: nothing.
  std::string drip;    ///< Sent each `kDripMs` after `first`; empty: nothing.
  bool reads = true;
  bool returns = false;  ///< Connects again when it was closed.
  int receive_bytes = 0; ///< Receive buffer of a client; 0: as the system has.
};

constexpr int kDripMs = 50;

/// Clients of one address, driven by one thread. They stay connected until
/// the destruction.
class Crowd
{
public:
  /// @param address  As "ip:port".
  Crowd (const std::string &address, int count, const Script &script);
  ~Crowd ();
  Crowd (const Crowd &) = delete;
  Crowd &operator= (const Crowd &) = delete;
  /// Send and read for some time.
  void press (int ms);

private:
  struct Client
  {
    int fd = -1;
    size_t sent = 0;      ///< Of `first`, then of the present repetition.
    bool is_first = true; ///< `first` is not sent yet.
    bool is_ended = false;
  };
  void open (Client *client);
  void send (Client *client);
  void receive (Client *client);
  void end (Client *client);
  const std::string *next_text (const Client &client) const;
  std::string address_;
  Script script_;
  std::vector<Client> clients_;
  bool is_over_ = false;
  long dripped_ms_ = 0;
};

/// Largest values that were seen.
struct Held
{
  long memory_kb = 0; ///< Resident, and received but not read.
  int descriptors = 0;
};

int descriptor_count (pid_t pid);
/// @return  Bytes that the sockets of a process, and those that wait to be
///          accepted at `address`, have received and not read, in KiB.
long unread_kb (pid_t pid, const std::string &address);
/// Let a crowd press while a process is watched.
/// @param pid      The process that serves `address`.
Held press_and_watch (Crowd *crowd, pid_t pid, const std::string &address,
                      int ms);
/// The same for several crowds, one after the other in short turns.
Held press_and_watch (const std::vector<Crowd *> &crowds, pid_t pid,
                      const std::string &address, int ms);

// Bodies; a size is that of the content.

/// @return  A body in chunks that lacks its end.
std::string unfinished_chunks (size_t bytes, size_t chunk_bytes);
/// @return  A request head with its framing fields.
std::string head_of (const std::string &start, const std::string &fields);

} // namespace relay

#endif
