// An entry that is short of its processor while a balancer sends most new
// connections there.
#include <gtest/gtest.h>

#include "cluster.h"
#include "overload.h"

using kb::Cluster;
using kb::ClusterOptions;

namespace
{

/// Share of the requests that is served at the first try that was read.
constexpr double kMinServedFirstRead = 0.75;
/// Share that is served once the connections are spread again.
constexpr double kMinServedAfterwards = 0.98;
/// Share that gets no answer at all, of whatever try.
constexpr double kMaxUnanswered = 0.01;
constexpr int kFirstSecond = 2;
constexpr int kLastSecond = 9;

std::string
call_text (const std::string &id)
{
  return "POST /v1/services/map-query/look HTTP/1.1\r\nHost: x\r\n"
         "Authorization: Bearer kavango-key\r\n"
         "X-Knapweedbay-Idempotent: true\r\nContent-Length: "
         + std::to_string (id.size ()) + "\r\n\r\n" + id;
}

double
share_of_first (int second)
{
  return second >= kFirstSecond && second < kLastSecond ? 0.9 : 0.1;
}

// Guards against an entry that reads more than its processor can serve, so
// that almost nothing is served in time.
TEST (Overload, EntryShortOfProcessorServesWhatItReads)
{
  ClusterOptions options;
  options.engines = 1;
  options.plains = 4;
  Cluster cluster (options);
  cluster.start ();
  ASSERT_GE (cluster.entries.size (), 2U);
  std::vector<relay::BalancedEntry> entries;
  for (const kb::EntryNode &entry : cluster.entries)
    {
      std::string address
          = "127.0.0.1:" + std::to_string (entry.process.http_port);
      entries.push_back ({ address, address, "/readyz" });
    }
  relay::Throttle throttle (cluster.entries[0].process.pid, 1);
  relay::Balancer balancer (entries, call_text, 400);
  balancer.run (12, share_of_first);
  balancer.print ();
  relay::Shares before = balancer.shares (0, kFirstSecond);
  relay::Shares during = balancer.shares (kFirstSecond, kLastSecond);
  relay::Shares after = balancer.shares (kLastSecond + 1, 12);
  printf ("served before %.3f, during %.3f (first read %.3f), after %.3f\n",
          before.served, during.served, during.served_first_read,
          after.served);
  EXPECT_GE (before.served, kMinServedAfterwards);
  EXPECT_GE (during.served_first_read, kMinServedFirstRead);
  EXPECT_LE (during.unanswered, kMaxUnanswered);
  EXPECT_GE (after.served, kMinServedAfterwards);
}

} // namespace
