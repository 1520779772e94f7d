// Whether the peer of a connection is still there.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <thread>

extern "C"
{
#include "transport/presence.h"
}

namespace
{

/// Both ends of a connection on loopback.
class Pair
{
public:
  Pair ()
  {
    int listener = socket (AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    bind (listener, (sockaddr *)&address, size);
    listen (listener, 1);
    getsockname (listener, (sockaddr *)&address, &size);
    peer = socket (AF_INET, SOCK_STREAM, 0);
    connect (peer, (sockaddr *)&address, size);
    own = accept (listener, nullptr, nullptr);
    close (listener);
  }
  ~Pair ()
  {
    close (own);
    if (peer >= 0)
      close (peer);
  }
  void
  close_peer ()
  {
    close (peer);
    peer = -1;
  }
  int own;
  int peer;
};

TEST (Presence, PeerWithOpenConnectionIsPresent)
{
  Pair pair;
  EXPECT_FALSE (prs_query (pair.own).has_left);
  ASSERT_EQ (send (pair.peer, "bytes", 5, 0), 5);
  EXPECT_FALSE (prs_query (pair.own).has_left);
}

// Guards against a close that unread bytes hide.
TEST (Presence, CloseBehindUnreadBytesIsSeen)
{
  Pair pair;
  ASSERT_EQ (send (pair.peer, "bytes", 5, 0), 5);
  pair.close_peer ();
  EXPECT_TRUE (prs_query (pair.own).has_left);
  char bytes[8];
  EXPECT_EQ (recv (pair.own, bytes, sizeof bytes, 0), 5);
  EXPECT_TRUE (prs_query (pair.own).has_left);
}

TEST (Presence, ResetIsSeen)
{
  Pair pair;
  linger at_once = { 1, 0 };
  setsockopt (pair.peer, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  pair.close_peer ();
  EXPECT_TRUE (prs_query (pair.own).has_left);
}

TEST (Presence, CloseOfTheSendingSideCountsAsLeft)
{
  Pair pair;
  shutdown (pair.peer, SHUT_WR);
  EXPECT_TRUE (prs_query (pair.own).has_left);
}

TEST (Presence, AgeOfTheCloseIsThatOfTheLastPacket)
{
  Pair pair;
  ASSERT_EQ (send (pair.peer, "bytes", 5, 0), 5);
  EXPECT_EQ (prs_query (pair.own).closed_ms, -1);
  std::this_thread::sleep_for (std::chrono::milliseconds (60));
  pair.close_peer ();
  std::this_thread::sleep_for (std::chrono::milliseconds (40));
  EXPECT_GE (prs_query (pair.own).closed_ms, 30);
}

TEST (Presence, ConnectionThatIsClosedHereHasNoPeer)
{
  EXPECT_TRUE (prs_query (-1).has_left);
}

} // namespace
