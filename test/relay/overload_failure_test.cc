// A gateway that is short of its machine while a balancer sends most new
// connections there.
#include <gtest/gtest.h>

#include <signal.h>

#include "overload.h"

namespace relay
{
namespace
{

std::string
mixed_call (const std::string &id)
{
  bool is_plain = atoi (id.c_str () + 1) % 3 == 0;
  Call call = is_plain ? plain_call (id) : stream_call (id, "");
  call.deadline_ms = 3000;
  return call.text ();
}

/// A balancer prefers an entry whose processor is slow.
void
expect_slow_entry_serves (Site &site)
{
  Throttle throttle (site.gateways[0].daemon.pid, 1);
  Balancer balancer (balanced_entries (site), mixed_call, 400);
  Skew skew{ .first_second = 3,
             .last_second = 11,
             .seconds = 15,
             .share = 0.9,
             .usual_share = 0.05 };
  expect_served_while_skewed (balancer, skew);
}

// Guards against an entry that reads more than its processor can serve, so
// that almost nothing is served in time.
TEST (Overload, EntryShortOfProcessorServesWhatItReads)
{
  Site site (8, 4, 4);
  ASSERT_TRUE (site.wait_ready ());
  expect_slow_entry_serves (site);
}

// Guards against the same while its requests to the store fail.
TEST (Overload, EntryShortOfProcessorServesWhileTheStoreIsAway)
{
  Site site (8, 4, 4);
  ASSERT_TRUE (site.wait_ready ());
  site.store.set_mode (Store::RESET);
  site.mirror_store.set_mode (Store::RESET);
  expect_slow_entry_serves (site);
}

// Guards against an entry that accepts callers until it has no descriptor left
// for the targets of their requests.
TEST (Overload, EntryShortOfDescriptorsServesWhatItAccepts)
{
  Site site (4, 2, 2);
  site.gateways[0].daemon.max_descriptors = 400;
  site.restart (&site.gateways[0].daemon, SIGKILL);
  ASSERT_TRUE (site.wait_ready ());
  for (const auto &target : site.plain)
    target->answer_ms = 300;
  std::vector<std::unique_ptr<Connection>> kept;
  for (int i = 0; i < 400; i++)
    if (auto connection = dial (site.gateways[0].address))
      kept.push_back (std::move (connection));
  std::this_thread::sleep_for (std::chrono::milliseconds (800));
  for (size_t i = 0; i < kept.size (); i++)
    kept[i]->write (
        plain_call ("k" + std::to_string (i), "/unsafe/x").text ());
  std::map<int, int> statuses;
  for (auto &connection : kept)
    statuses[connection->read_response (3000).status]++;
  for (const auto &[status, count] : statuses)
    printf ("status %d: %d\n", status, count);
  EXPECT_GT (statuses[200], 50);
  EXPECT_EQ (statuses[200] + statuses[0], (int)kept.size ())
      << "what it accepted was not served";
}

// Guards against a caller that shuts out all others with connections that it
// does not use.
TEST (Overload, IdleConnectionsMakeRoomForOthers)
{
  Site site (4, 2, 2);
  site.gateways[0].daemon.max_descriptors = 400;
  site.restart (&site.gateways[0].daemon, SIGKILL);
  ASSERT_TRUE (site.wait_ready ());
  std::vector<std::unique_ptr<Connection>> idle;
  for (int i = 0; i < 400; i++)
    if (auto connection = dial (site.gateways[0].address))
      idle.push_back (std::move (connection));
  int served = 0;
  for (int i = 0; i < 50; i++)
    {
      Message answer = send_call (site.gateways[0],
                                  plain_call ("o" + std::to_string (i)));
      served += answer.status == 200;
      std::this_thread::sleep_for (std::chrono::milliseconds (60));
    }
  printf ("served %d of 50\n", served);
  EXPECT_GE (served, 25);
}

} // namespace
} // namespace relay
