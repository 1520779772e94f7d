// Clients that make an entry hold as much as it accepts.
#include <gtest/gtest.h>

#include <sys/resource.h>

#include "cluster.h"
#include "crowd.h"
#include "http_peer.h"

using kb::Cluster;
using kb::ClusterOptions;
using relay::Crowd;
using relay::Held;
using relay::Script;

namespace
{

constexpr int kCrowd = 128;
constexpr int kMaxBodyBytes = 2 << 20;
/// Memory of the entry's machine, with what its sockets have not read.
constexpr long kMachineKb = 64 << 10;
constexpr int kMaxDescriptors = 2 * kCrowd + 64;
constexpr int kPressMs = 2000;

std::string
start_line (const std::string &path)
{
  return "POST " + path;
}

std::string
fields (const std::string &more)
{
  return "Host: x\r\nAuthorization: Bearer kavango-key\r\n" + more;
}

std::string
chunked_head (const std::string &path = "/v1/completions")
{
  return relay::head_of (start_line (path),
                         fields ("Transfer-Encoding: chunked\r\n"));
}

std::string
head_with_length (size_t bytes, const std::string &path = "/v1/completions")
{
  return relay::head_of (
      start_line (path),
      fields ("Content-Length: " + std::to_string (bytes) + "\r\n"));
}

std::string
unfinished_body ()
{
  return relay::unfinished_chunks (kMaxBodyBytes - 65536, 65536);
}

std::string
with_length (const std::string &body,
             const std::string &path = "/v1/completions")
{
  return head_with_length (body.size (), path) + body;
}

/// @return  A completion request with one more member.
std::string
completion (const std::string &value)
{
  return "{\"model\":\"a1@1\",\"prompt\":\"t\",\"max_tokens\":3,\"more\":"
         + value + "}";
}

class CrowdOfCallers : public testing::Test
{
protected:
  static ClusterOptions
  options ()
  {
    ClusterOptions options;
    options.entries = 1;
    options.engines = 1;
    options.extra_agent
        = "\"memory_mb\":" + std::to_string (kMachineKb / 1024) + ",";
    options.extra_entry = options.extra_agent + "\"max_body_bytes\":"
                          + std::to_string (kMaxBodyBytes) + ",";
    return options;
  }

  void
  SetUp () override
  {
    cluster.start ();
    expect_served ("before the crowd");
  }

  const kb::Process &
  entry () const
  {
    return cluster.entries[0].process;
  }

  std::string
  address () const
  {
    return "127.0.0.1:" + std::to_string (entry ().http_port);
  }

  void
  expect_served (const char *when)
  {
    EXPECT_TRUE (Cluster::wait_until ([&] {
      return cluster.complete (0, "a1@1", "ordinary").status == 200;
    })) << "no ordinary request is answered "
        << when;
  }

  void
  expect_bounded (const Held &held)
  {
    printf ("held %ld kB, %d descriptors\n", held.memory_kb, held.descriptors);
    EXPECT_LE (held.memory_kb, kMachineKb);
    EXPECT_LE (held.descriptors, kMaxDescriptors);
    for (kb::EntryNode &node : cluster.entries)
      EXPECT_EQ (Cluster::wait_exit (node.process, 0), -1);
    for (kb::Target &target : cluster.targets)
      EXPECT_EQ (Cluster::wait_exit (target.agent, 0), -1);
  }

  Held
  press (Crowd *crowd)
  {
    return relay::press_and_watch (crowd, entry ().pid, address (), kPressMs);
  }

  void
  expect_borne (const Script &script, int count = kCrowd)
  {
    {
      Crowd crowd (address (), count, script);
      expect_bounded (press (&crowd));
      expect_served ("beside the crowd");
    }
    expect_served ("after the crowd");
  }

  Cluster cluster{ options () };
};

// Guards against bodies in chunks that stay short of their end and add up.
TEST_F (CrowdOfCallers, UnfinishedChunks)
{
  expect_borne ({ .first = chunked_head () + unfinished_body () });
}

// Guards against the same of callers that come back when they are refused.
TEST_F (CrowdOfCallers, UnfinishedChunksOfCallersThatReturn)
{
  Crowd crowd (
      address (), kCrowd,
      { .first = chunked_head () + unfinished_body (), .returns = true });
  expect_bounded (press (&crowd));
  std::atomic<bool> is_over{ false };
  std::thread ordinary ([&] {
    expect_served ("beside the crowd");
    is_over = true;
  });
  while (!is_over)
    crowd.press (kPressMs / 20);
  ordinary.join ();
}

// Guards against unfinished bodies whose callers stay active.
TEST_F (CrowdOfCallers, DrippingChunks)
{
  expect_borne ({ .first = chunked_head () + unfinished_body (),
                  .drip = relay::chunk ("x") });
}

// Guards against bodies with a length that lack their last byte.
TEST_F (CrowdOfCallers, BodiesShortOfTheirLength)
{
  std::string request = with_length (std::string (kMaxBodyBytes, 'x'));
  request.pop_back ();
  expect_borne ({ .first = request });
}

// Guards against bodies without end.
TEST_F (CrowdOfCallers, EndlessChunks)
{
  expect_borne ({ .first = chunked_head (),
                  .endless = relay::chunk (std::string (65536, 'x')) });
}

// Guards against bodies in chunks of one byte.
TEST_F (CrowdOfCallers, ChunksOfOneByte)
{
  expect_borne (
      { .first = chunked_head () + relay::unfinished_chunks (1000000, 1) });
}

// Guards against bodies that are announced far over the limit and sent.
TEST_F (CrowdOfCallers, BodiesAnnouncedOverTheLimit)
{
  expect_borne ({ .first = head_with_length (4UL << 30),
                  .endless = std::string (65536, 'x') });
}

// Guards against an extension of a chunk without end.
TEST_F (CrowdOfCallers, EndlessExtension)
{
  expect_borne ({ .first = chunked_head () + "1;",
                  .endless = std::string (65536, 'x') });
}

// Guards against trailer fields without end.
TEST_F (CrowdOfCallers, EndlessTrailer)
{
  expect_borne ({ .first = chunked_head () + "0\r\n",
                  .endless = "x: " + std::string (65536, 'x') + "\r\n" });
}

// Guards against heads without end.
TEST_F (CrowdOfCallers, EndlessHeads)
{
  expect_borne ({ .first = "POST /v1/completions HTTP/1.1\r\nx: ",
                  .endless = std::string (65536, 'x') });
}

// Guards against a body with many values that takes many times its size.
TEST_F (CrowdOfCallers, BodyOfManyValues)
{
  std::string values = "[{}";
  while (values.size () < kMaxBodyBytes - 1000)
    values += ",{}";
  expect_borne ({ .first = with_length (completion (values + "]")) }, 1);
}

// Guards against a body whose values are nested deep.
TEST_F (CrowdOfCallers, BodyOfNestedValues)
{
  std::string values ((kMaxBodyBytes - 1000) / 2, '[');
  expect_borne ({ .first = with_length (completion (
                      values + std::string (values.size (), ']'))) },
                1);
}

// Guards against a body of many members with names of their own.
TEST_F (CrowdOfCallers, BodyOfManyMembers)
{
  std::string values = "{\"a\":0";
  for (int i = 0; values.size () < kMaxBodyBytes - 1000; i++)
    values += ",\"" + std::to_string (i) + "\":0";
  expect_borne ({ .first = with_length (completion (values + "}")) }, 1);
}

// Guards against whole bodies that add up while their target hangs.
TEST_F (CrowdOfCallers, WholeBodiesWhileTheTargetHangs)
{
  kb::Target *plain = cluster.find_target (true);
  cluster.fault (plain->fake, "{\"latency_ms\":4000}");
  Held agent;
  expect_bounded ([&] {
    Crowd crowd (address (), kCrowd,
                 { .first = with_length (std::string (kMaxBodyBytes, 'x'),
                                         "/v1/services/map-query/look") });
    Held held = press (&crowd);
    agent = relay::press_and_watch (&crowd, plain->agent.pid, address (), 500);
    return held;
  }());
  expect_bounded (agent);
  cluster.fault (plain->fake, "{\"latency_ms\":0}");
  expect_served ("after the crowd");
}

/// A plain service with one large answer.
class LargeService : public relay::Server
{
public:
  LargeService () : Server ("127.0.0.1") { start (); }
  ~LargeService () override { stop (); }

private:
  bool
  serve (relay::Connection &connection, const relay::Message &request) override
  {
    bool is_call = request.target ().find ("/look") != std::string::npos;
    return connection.write (relay::make_response (
        200, "", std::string (is_call ? 4 * kMaxBodyBytes : 2, 'x')));
  }
};

// Guards against answers that add up for callers who do not read them.
TEST_F (CrowdOfCallers, UnreadAnswers)
{
  LargeService service;
  cluster.use_stand_in (*cluster.find_target (true), service.address ());
  cluster.publish ();
  ASSERT_TRUE (cluster.wait_ready ());
  std::string path = "/v1/services/map-query/look";
  ASSERT_TRUE (Cluster::wait_until ([&] {
    return kb::http_call ("POST", entry ().http_port, path, "before",
                          { "Authorization: Bearer kavango-key" })
               .status
           == 200;
  }));
  expect_borne ({ .first = with_length ("x", path),
                  .reads = false,
                  .receive_bytes = 4096 });
}

// Guards against bodies that entries with more memory send on to an agent.
TEST (CrowdBehindALargeEntry, WholeBodiesWhileTheTargetHangs)
{
  ClusterOptions options;
  options.entries = 1;
  options.engines = 1;
  options.extra_entry
      = "\"max_body_bytes\":" + std::to_string (kMaxBodyBytes) + ",";
  options.extra_agent
      = "\"memory_mb\":" + std::to_string (kMachineKb / 1024) + ",";
  Cluster cluster (options);
  cluster.start ();
  ASSERT_TRUE (Cluster::wait_until (
      [&] { return cluster.complete (0, "a1@1", "ordinary").status == 200; }));
  kb::Target *plain = cluster.find_target (true);
  cluster.fault (plain->fake, "{\"latency_ms\":4000}");
  std::string address
      = "127.0.0.1:" + std::to_string (cluster.entries[0].process.http_port);
  {
    Crowd crowd (address, kCrowd,
                 { .first = with_length (std::string (kMaxBodyBytes, 'x'),
                                         "/v1/services/map-query/look") });
    Held held
        = relay::press_and_watch (&crowd, plain->agent.pid, address, kPressMs);
    printf ("held %ld kB, %d descriptors\n", held.memory_kb, held.descriptors);
    EXPECT_LE (held.memory_kb, kMachineKb);
    EXPECT_LE (held.descriptors, kMaxDescriptors);
  }
  cluster.fault (plain->fake, "{\"latency_ms\":0}");
  EXPECT_TRUE (Cluster::wait_until ([&] {
    return kb::http_call ("POST", cluster.entries[0].process.http_port,
                          "/v1/services/map-query/look", "after",
                          { "Authorization: Bearer kavango-key" })
               .status
           == 200;
  })) << "no ordinary call is answered after the crowd";
  EXPECT_EQ (Cluster::wait_exit (plain->agent, 0), -1);
}

/// @return  A frame of HTTP/2.
std::string
h2_frame (char type, char flags, uint32_t stream, const std::string &payload)
{
  std::string out;
  for (int shift : { 16, 8, 0 })
    out += (char)(payload.size () >> shift & 0xFF);
  out += type;
  out += flags;
  for (int shift : { 24, 16, 8, 0 })
    out += (char)(stream >> shift & 0xFF);
  return out + payload;
}

/// @return  Streams of one connection, each with a part of a body.
std::string
h2_streams (int count, size_t body_bytes)
{
  constexpr char kData = 0;
  constexpr char kHeaders = 1;
  constexpr char kSettings = 4;
  constexpr char kWindowUpdate = 8;
  constexpr char kEndHeaders = 4;
  std::string out
      = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + h2_frame (kSettings, 0, 0, "")
        + h2_frame (kWindowUpdate, 0, 0, std::string ("\x3f\xff\x00\x00", 4));
  // ":method: POST", ":scheme: http", ":path: /", ":authority: x".
  const std::string head ("\x83\x86\x84\x41\x01x", 6);
  for (int i = 0; i < count; i++)
    {
      uint32_t stream = (uint32_t)(2 * i + 1);
      out += h2_frame (kHeaders, kEndHeaders, stream, head);
      for (size_t sent = 0; sent < body_bytes; sent += 16000)
        out += h2_frame (kData, 0, stream, std::string (16000, 'x'));
    }
  return out;
}

// Guards against a connection of HTTP/2 that holds as many bodies as it opens
// streams.
TEST_F (CrowdOfCallers, BodiesOfMultiplexedStreams)
{
  for (int round = 0; round < 2; round++)
    expect_borne ({ .first = h2_streams (60, 64000) });
}

// Guards against answers that add up for callers who pipeline requests and
// read nothing.
TEST_F (CrowdOfCallers, UnreadRefusalsOfPipelinedRequests)
{
  std::string request = relay::head_of ("GET /nowhere", fields (""));
  std::string many;
  while (many.size () < 65536)
    many += request;
  expect_borne ({ .first = many, .endless = many, .reads = false });
}

} // namespace
