// Lingering close.
#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <iterator>
#include <vector>

extern "C"
{
#include "transport/linger.h"
}

namespace
{

int
open_descriptors ()
{
  std::filesystem::directory_iterator all ("/proc/self/fd");
  return (int)std::distance (begin (all), end (all));
}

// Guards against refused callers who take all descriptors by sending on.
TEST (Linger, KeepsFewConnections)
{
  constexpr int kCallers = 200;
  constexpr int kMostLingering = 64;
  uv_loop_t loop;
  tmr_service_t timers;
  uv_loop_init (&loop);
  tmr_service_init (&timers, &loop);
  uv_run (&loop, UV_RUN_NOWAIT);
  std::vector<int> callers;
  int before = open_descriptors ();
  for (int i = 0; i < kCallers; i++)
    {
      int pair[2];
      ASSERT_EQ (socketpair (AF_UNIX, SOCK_STREAM, 0, pair), 0);
      lng_start (&loop, &timers, pair[0]);
      close (pair[0]);
      callers.push_back (pair[1]);
    }
  uv_run (&loop, UV_RUN_NOWAIT);
  EXPECT_EQ (open_descriptors (), before + kCallers + kMostLingering);
  // Those that have begun first are closed first.
  char byte;
  EXPECT_EQ (send (callers.front (), "x", 1, MSG_NOSIGNAL), -1);
  EXPECT_EQ (send (callers.back (), "x", 1, MSG_NOSIGNAL), 1);
  EXPECT_EQ (recv (callers.back (), &byte, 1, 0), 0);
  for (int caller : callers)
    close (caller);
  for (int i = 0; i < 3; i++)
    uv_run (&loop, UV_RUN_NOWAIT);
  EXPECT_EQ (open_descriptors (), before);
}

} // namespace
