// An entry that is short of its processor while a balancer sends most new
// connections there.
#include <gtest/gtest.h>

#include "cluster.h"
#include "overload.h"

using kb::Cluster;
using kb::ClusterOptions;

namespace
{

std::string
call_text (const std::string &id)
{
  return "POST /v1/services/map-query/look HTTP/1.1\r\nHost: x\r\n"
         "Authorization: Bearer kavango-key\r\n"
         "X-Knapweedbay-Idempotent: true\r\nContent-Length: "
         + std::to_string (id.size ()) + "\r\n\r\n" + id;
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
  relay::Skew skew{ .first_second = 2,
                    .last_second = 9,
                    .seconds = 12,
                    .share = 0.9,
                    .usual_share = 0.1 };
  relay::expect_served_while_skewed (balancer, skew);
}

} // namespace
