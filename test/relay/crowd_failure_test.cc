// Clients that make a gateway or a sidecar hold as much as it accepts.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include "crowd.h"
#include "site.h"
#include "stream_script.h"

namespace relay
{
namespace
{

constexpr int kCrowd = 128;
/// Limit of a body in the configuration.
constexpr int kMaxBodyBytes = 2 << 20;
/// Memory of a daemon's machine; it counts with what its sockets have not
/// read.
constexpr long kMachineKb = 48 << 10;
/// Descriptors of a daemon: a connection to a target for each client, and its
/// own.
constexpr int kMaxDescriptors = 2 * kCrowd + 64;
/// Limit of the process, for clients that open more connections than that.
constexpr int kDescriptorLimit = 512;
constexpr int kIdleCrowd = 600;
constexpr int kPressMs = 2000;
/// Clients that each keep the event loop busy.
constexpr int kFewClients = 8;

std::string
fields (const std::string &more)
{
  static int number = 0;
  return "Host: a.example\r\nX-Knapweedbay-Attempt-Id: c"
         + std::to_string (number++)
         + "\r\nX-Knapweedbay-Deadline-Ms: 6000\r\n" + more;
}

std::string
chunked_head (const std::string &path = "/unsafe/x")
{
  return head_of ("POST " + path, fields ("Transfer-Encoding: chunked\r\n"));
}

std::string
head_with_length (size_t bytes, const std::string &path = "/unsafe/x")
{
  return head_of ("POST " + path, fields ("Content-Length: "
                                          + std::to_string (bytes) + "\r\n"));
}

std::string
unfinished_body ()
{
  return unfinished_chunks (kMaxBodyBytes - 65536, 65536);
}

std::string
whole_request (const std::string &path)
{
  return head_with_length (kMaxBodyBytes, path)
         + std::string (kMaxBodyBytes, 'x');
}

class CrowdOfClients : public testing::Test
{
protected:
  CrowdOfClients ()
  {
    site.max_body_bytes = kMaxBodyBytes;
    site.write_config (2);
    site.limit_memory (kMachineKb / 1024);
  }

  Gateway &
  gateway ()
  {
    return site.gateways[0];
  }

  void
  start ()
  {
    ASSERT_TRUE (site.wait_ready ());
    ASSERT_TRUE (Site::wait_for ([&] {
      return !Site::log_lines (gateway ().daemon,
                               { "config_in_force", "\"revision\":2" })
                  .empty ();
    }));
  }

  void
  expect_served (const char *when)
  {
    int number = 0;
    EXPECT_TRUE (Site::wait_for ([&] {
      Call call = plain_call ("ordinary" + std::to_string (number++));
      return send_call (gateway (), call).status == 200;
    })) << "no ordinary request is answered "
        << when;
  }

  void
  expect_bounded (const Held &held)
  {
    RecordProperty ("memory_kb", (int)held.memory_kb);
    RecordProperty ("descriptors", held.descriptors);
    printf ("held %ld kB, %d descriptors\n", held.memory_kb, held.descriptors);
    EXPECT_TRUE (site.are_daemons_running ());
    EXPECT_LE (held.memory_kb, kMachineKb);
    EXPECT_LE (held.descriptors, kMaxDescriptors);
  }

  /// A crowd with such a script ends nothing.
  void
  expect_borne (const Script &script, int count = kCrowd)
  {
    {
      Crowd crowd (gateway ().address, count, script);
      expect_bounded (press_and_watch (&crowd, gateway ().daemon.pid,
                                       gateway ().address, kPressMs));
      expect_served ("beside the crowd");
    }
    expect_served ("after the crowd");
    EXPECT_TRUE (site.are_daemons_running ());
  }

  Site site{ 1, 1, 1 };
};

// Guards against bodies in chunks that stay short of their end and add up.
TEST_F (CrowdOfClients, UnfinishedChunks)
{
  ASSERT_NO_FATAL_FAILURE (start ());
  expect_borne ({ .first = chunked_head () + unfinished_body () });
}

// Guards against the same of clients that come back when they are refused.
TEST_F (CrowdOfClients, UnfinishedChunksOfClientsThatReturn)
{
  ASSERT_NO_FATAL_FAILURE (start ());
  Crowd crowd (
      gateway ().address, kCrowd,
      { .first = chunked_head () + unfinished_body (), .returns = true });
  expect_bounded (press_and_watch (&crowd, gateway ().daemon.pid,
                                   gateway ().address, kPressMs));
  std::atomic<bool> is_over{ false };
  std::thread ordinary ([&] {
    expect_served ("beside the crowd");
    is_over = true;
  });
  while (!is_over)
    crowd.press (kDripMs);
  ordinary.join ();
}

// Guards against the same on a route whose streams are resumed.
TEST_F (CrowdOfClients, UnfinishedChunksOfStreams)
{
  ASSERT_NO_FATAL_FAILURE (start ());
  expect_borne ({ .first = chunked_head ("/resume/x") + unfinished_body () });
}

// Guards against unfinished bodies whose clients stay active.
TEST_F (CrowdOfClients, DrippingChunks)
{
  ASSERT_NO_FATAL_FAILURE (start ());
  expect_borne (
      { .first = chunked_head () + unfinished_body (), .drip = chunk ("x") });
}

// Guards against a body that never ends because its client stays active.
TEST_F (CrowdOfClients, DrippingBodyIsGivenUpAtItsDeadline)
{
  ASSERT_NO_FATAL_FAILURE (start ());
  Call call = plain_call ("drip", "/unsafe/x");
  call.method = "POST";
  call.deadline_ms = 1000;
  call.headers = "Transfer-Encoding: chunked\r\n";
  auto connection = dial (gateway ().address);
  ASSERT_NE (connection, nullptr);
  connection->write (call.text ());
  std::string answer;
  EXPECT_TRUE (Site::wait_for ([&] {
    connection->write (chunk ("x"));
    answer = connection->read_some (kDripMs);
    return !answer.empty ();
  })) << "the body is still read";
  EXPECT_EQ (answer.find ("HTTP/1.1 408"), 0U) << answer;
  EXPECT_EQ (site.runs_of ("drip"), 0);
}

// Guards against bodies with a length that lack their last byte.
TEST_F (CrowdOfClients, BodiesShortOfTheirLength)
{
  ASSERT_NO_FATAL_FAILURE (start ());
  std::string request = whole_request ("/unsafe/x");
  request.pop_back ();
  expect_borne ({ .first = request });
}

// Guards against bodies without end.
TEST_F (CrowdOfClients, EndlessChunks)
{
  ASSERT_NO_FATAL_FAILURE (start ());
  expect_borne ({ .first = chunked_head (),
                  .endless = chunk (std::string (65536, 'x')) });
}

// Guards against bodies in chunks of one byte.
TEST_F (CrowdOfClients, ChunksOfOneByte)
{
  ASSERT_NO_FATAL_FAILURE (start ());
  expect_borne ({ .first = chunked_head () + unfinished_chunks (1000000, 1) });
}

// Guards against bodies that are announced far over the limit and sent.
TEST_F (CrowdOfClients, BodiesAnnouncedOverTheLimit)
{
  ASSERT_NO_FATAL_FAILURE (start ());
  expect_borne ({ .first = head_with_length (4UL << 30),
                  .endless = std::string (65536, 'x') });
}

// Guards against an extension of a chunk without end.
TEST_F (CrowdOfClients, EndlessExtension)
{
  ASSERT_NO_FATAL_FAILURE (start ());
  expect_borne ({ .first = chunked_head () + "1;",
                  .endless = std::string (65536, 'x') });
}

// Guards against trailer fields without end.
TEST_F (CrowdOfClients, EndlessTrailer)
{
  ASSERT_NO_FATAL_FAILURE (start ());
  expect_borne ({ .first = chunked_head () + "0\r\n",
                  .endless = "x: " + std::string (65536, 'x') + "\r\n" });
}

// Guards against heads that stay short of their end.
TEST_F (CrowdOfClients, UnfinishedHeads)
{
  ASSERT_NO_FATAL_FAILURE (start ());
  expect_borne (
      { .first = "GET /plain/x HTTP/1.1\r\nx: " + std::string (4000, 'x') });
}

// Guards against whole bodies that add up while their target hangs.
TEST_F (CrowdOfClients, WholeBodiesWhileTheTargetHangs)
{
  ASSERT_NO_FATAL_FAILURE (start ());
  site.plain[0]->answer_ms = 4000;
  expect_bounded ([&] {
    Crowd crowd (gateway ().address, kCrowd,
                 { .first = whole_request ("/unsafe/x") });
    return press_and_watch (&crowd, gateway ().daemon.pid, gateway ().address,
                            kPressMs);
  }());
  site.plain[0]->answer_ms = 0;
  expect_served ("after the crowd");
}

// Guards against whole bodies that add up while no target is up.
TEST_F (CrowdOfClients, WholeBodiesWhileNoTargetIsUp)
{
  ASSERT_NO_FATAL_FAILURE (start ());
  site.engines[0].target->simulate_exit ();
  expect_borne ({ .first = whole_request ("/resume/x") });
}

/// A plain target whose process hangs: it accepts no connection, so nothing
/// that is sent to it is read.
class HungTarget
{
public:
  explicit HungTarget (Site *site) : site_ (site)
  {
    std::string other = site->plain[0]->address ();
    std::string ip = other.substr (0, other.find (':'));
    int port = free_port (ip);
    fd_ = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons ((uint16_t)port);
    inet_pton (AF_INET, ip.c_str (), &address.sin_addr);
    EXPECT_EQ (bind (fd_, (sockaddr *)&address, sizeof address), 0);
    EXPECT_EQ (listen (fd_, 2 * kCrowd), 0);
    site->remove ("servers/" + site->plain[0]->id ());
    site->put ("servers/i-hung",
               "{\"Service\":\"maps\",\"Address\":\"" + ip + ":"
                   + std::to_string (port)
                   + "\",\"Zone\":\"d1\",\"Version\":\"v1\",\"Slots\":6,"
                     "\"State\":\"ready\",\"ColdLeftMs\":0,\"Seq\":1,"
                     "\"born\":"
                   + std::to_string (site->plain[0]->born_ms ()) + "}");
  }
  ~HungTarget ()
  {
    site_->remove ("servers/i-hung");
    site_->list_plain (0);
    close (fd_);
  }
  bool
  is_listed () const
  {
    return !Site::log_lines (site_->gateways[0].daemon,
                             { "target_listed", "i-hung" })
                .empty ();
  }

private:
  Site *site_;
  int fd_ = -1;
};

// Guards against copies of whole bodies for a target that reads nothing.
TEST_F (CrowdOfClients, WholeBodiesForATargetThatReadsNothing)
{
  ASSERT_NO_FATAL_FAILURE (start ());
  {
    HungTarget target (&site);
    ASSERT_TRUE (Site::wait_for ([&] { return target.is_listed (); }));
    Crowd crowd (gateway ().address, kCrowd,
                 { .first = whole_request ("/unsafe/x") });
    expect_bounded (press_and_watch (&crowd, gateway ().daemon.pid,
                                     gateway ().address, kPressMs));
  }
  expect_served ("after the crowd");
}

// Guards against bodies that add up before the first configuration.
TEST_F (CrowdOfClients, UnfinishedChunksBeforeTheConfiguration)
{
  ASSERT_NO_FATAL_FAILURE (start ());
  site.remove ("op/config");
  site.restart (&gateway ().daemon, SIGKILL);
  ASSERT_TRUE (
      Site::wait_for ([&] { return dial (gateway ().address) != nullptr; }));
  expect_bounded ([&] {
    Crowd crowd (gateway ().address, kCrowd,
                 { .first = chunked_head () + unfinished_body () });
    return press_and_watch (&crowd, gateway ().daemon.pid, gateway ().address,
                            kPressMs);
  }());
  site.write_config (3);
  expect_served ("after the crowd");
}

// Guards against answers that add up for clients who pipeline requests and
// read nothing.
TEST_F (CrowdOfClients, UnreadRefusalsOfPipelinedRequests)
{
  ASSERT_NO_FATAL_FAILURE (start ());
  std::string request = head_of ("GET /nowhere/", fields (""));
  std::string many;
  while (many.size () < 65536)
    many += request;
  expect_borne ({ .first = many, .endless = many, .reads = false },
                kFewClients);
}

// Guards against pipelined requests behind one that is at work.
TEST_F (CrowdOfClients, RequestsPipelinedBehindOneAtWork)
{
  ASSERT_NO_FATAL_FAILURE (start ());
  site.plain[0]->answer_ms = 1500;
  std::string request = head_of ("GET /unsafe/x", fields (""));
  std::string many;
  while (many.size () < 65000)
    many += request;
  Crowd crowd (gateway ().address, kCrowd, { .first = many, .reads = false });
  expect_bounded (press_and_watch (&crowd, gateway ().daemon.pid,
                                   gateway ().address, kPressMs));
  site.plain[0]->answer_ms = 0;
  expect_served ("beside the crowd");
}

// Guards against answers that add up for clients who do not read them.
TEST_F (CrowdOfClients, UnreadAnswers)
{
  ASSERT_NO_FATAL_FAILURE (start ());
  site.plain[0]->endless_ms = 20000;
  std::string path = "/unsafe/endless-" + std::to_string ((int)Endless::BODY);
  expect_borne (
      { .first = head_of ("GET " + path, fields ("")), .reads = false });
}

// Guards against unread answers of connections that close behind them.
TEST_F (CrowdOfClients, UnreadAnswersOfConnectionsThatClose)
{
  ASSERT_NO_FATAL_FAILURE (start ());
  StreamScript answer;
  for (int i = 1; i <= 5; i++)
    answer.pieces.push_back (
        numbered_event (std::to_string (i), std::string (60000, 'x')));
  answer.piece_ms = 0;
  site.engines[0].target->plan_streams (
      [&] (const Message &request) -> std::optional<StreamScript> {
        if (request.header ("x-large").empty ())
          return std::nullopt;
        return answer;
      });
  Call call = stream_call ("large", "", false);
  call.headers += "X-Large: 1\r\nConnection: close\r\n";
  std::vector<std::unique_ptr<Crowd>> clients;
  std::vector<Crowd *> all;
  for (int i = 0; i < kIdleCrowd; i++)
    {
      call.id = "large" + std::to_string (i);
      clients.push_back (std::make_unique<Crowd> (
          gateway ().address, 1,
          Script{
              .first = call.text (), .reads = false, .receive_bytes = 4096 }));
      all.push_back (clients.back ().get ());
    }
  Held held = press_and_watch (all, gateway ().daemon.pid, gateway ().address,
                               kPressMs);
  printf ("held %ld kB, %d descriptors\n", held.memory_kb, held.descriptors);
  EXPECT_LE (held.memory_kb, kMachineKb);
  expect_served ("beside the crowd");
  EXPECT_TRUE (site.are_daemons_running ());
}

// Guards against unfinished bodies that take all descriptors and stay active.
TEST_F (CrowdOfClients, UnfinishedBodiesThatTakeAllDescriptors)
{
  gateway ().daemon.max_descriptors = kDescriptorLimit;
  site.restart (&gateway ().daemon, SIGKILL);
  ASSERT_NO_FATAL_FAILURE (start ());
  Crowd crowd (
      gateway ().address, kIdleCrowd,
      { .first = chunked_head () + chunk ("x"), .drip = chunk ("x") });
  Held held = press_and_watch (&crowd, gateway ().daemon.pid,
                               gateway ().address, kPressMs);
  printf ("held %ld kB, %d descriptors\n", held.memory_kb, held.descriptors);
  EXPECT_LE (held.memory_kb, kMachineKb);
  std::atomic<bool> is_served{ false };
  std::thread ordinary ([&] {
    expect_served ("beside the crowd");
    is_served = true;
  });
  while (!is_served)
    crowd.press (kDripMs);
  ordinary.join ();
  EXPECT_TRUE (site.are_daemons_running ());
}

// Guards against idle connections to the page of readiness that take all
// descriptors.
TEST_F (CrowdOfClients, IdleConnectionsToThePageOfReadiness)
{
  gateway ().daemon.max_descriptors = kDescriptorLimit;
  site.restart (&gateway ().daemon, SIGKILL);
  ASSERT_NO_FATAL_FAILURE (start ());
  Crowd crowd (gateway ().ready, kIdleCrowd, { .first = "G" });
  expect_bounded (press_and_watch (&crowd, gateway ().daemon.pid,
                                   gateway ().ready, kPressMs));
  expect_served ("beside the crowd");
  EXPECT_EQ (site.ready_status (), 200);
}

// Guards against pages that add up for clients who do not read them.
TEST_F (CrowdOfClients, UnreadPages)
{
  ASSERT_NO_FATAL_FAILURE (start ());
  std::string request = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
  std::string many;
  while (many.size () < 65536)
    many += request;
  Engine &engine = site.engines[0];
  Crowd crowd (engine.metrics, kCrowd,
               { .first = many, .endless = many, .reads = false });
  expect_bounded (
      press_and_watch (&crowd, engine.sidecar.pid, engine.metrics, kPressMs));
  expect_served ("beside the crowd");
}

// Guards against connections that take all descriptors and never ask.
TEST_F (CrowdOfClients, IdleConnectionsToTheSidecar)
{
  site.engines[0].sidecar.max_descriptors = kDescriptorLimit;
  site.restart (&site.engines[0].sidecar, SIGKILL);
  ASSERT_NO_FATAL_FAILURE (start ());
  Engine &engine = site.engines[0];
  std::string inner = engine.ip + ":" + std::to_string (site.inner_port ());
  Crowd pages (engine.metrics, kIdleCrowd, { .first = "G" });
  Crowd links (inner, kIdleCrowd, { .first = std::string (3, '\0') });
  expect_bounded (press_and_watch ({ &pages, &links }, engine.sidecar.pid,
                                   inner, kPressMs));
  EXPECT_TRUE (Site::wait_for ([&] {
    return send_call (gateway (), stream_call ("after", "")).status == 200;
  })) << "no stream is served beside the crowd";
}

/// @return  Bytes of a frame of the inner links, which begins with its length.
std::string
frame_start (size_t announced, const std::string &bytes)
{
  std::string out;
  for (int i = 0; i < 4; i++)
    out += (char)(announced >> (8 * i) & 0xFF);
  return out + bytes;
}

// Guards against frames of the inner links that stay short of their end.
TEST_F (CrowdOfClients, UnfinishedFramesOfTheInnerLinks)
{
  ASSERT_NO_FATAL_FAILURE (start ());
  Engine &engine = site.engines[0];
  std::string inner = engine.ip + ":" + std::to_string (site.inner_port ());
  std::string body = frame_start (8 << 20, std::string (kMaxBodyBytes, 'x'));
  Crowd strangers (inner, kCrowd, { .first = body });
  expect_bounded (
      press_and_watch (&strangers, engine.sidecar.pid, inner, kPressMs));
  EXPECT_TRUE (Site::wait_for ([&] {
    return send_call (gateway (), stream_call ("after", "")).status == 200;
  })) << "no stream is served beside the crowd";
}

// Guards against the same of peers that have said who they are.
TEST_F (CrowdOfClients, UnfinishedFramesOfNamedPeers)
{
  ASSERT_NO_FATAL_FAILURE (start ());
  Engine &engine = site.engines[0];
  std::string inner = engine.ip + ":" + std::to_string (site.inner_port ());
  std::vector<std::unique_ptr<Crowd>> peers;
  std::vector<Crowd *> all;
  for (int i = 0; i < kCrowd; i++)
    {
      std::string hello = "knapweedbay-peer/1 peer" + std::to_string (i);
      peers.push_back (std::make_unique<Crowd> (
          inner, 1,
          Script{ .first = frame_start (hello.size (), hello)
                           + frame_start (
                               8 << 20, std::string (kMaxBodyBytes, 'x')) }));
      all.push_back (peers.back ().get ());
    }
  expect_bounded (press_and_watch (all, engine.sidecar.pid, inner, kPressMs));
  EXPECT_TRUE (Site::wait_for ([&] {
    return send_call (gateway (), stream_call ("after", "")).status == 200;
  })) << "no stream is served beside the crowd";
}

// Guards against a sum of frames that no open connection holds: a peer takes
// the name of one that is being closed.
TEST_F (CrowdOfClients, UnfinishedFramesOfPeersThatShareAName)
{
  ASSERT_NO_FATAL_FAILURE (start ());
  Engine &engine = site.engines[0];
  std::string inner = engine.ip + ":" + std::to_string (site.inner_port ());
  std::string hello = "knapweedbay-peer/1 peer";
  Crowd peers (inner, kCrowd,
               { .first = frame_start (hello.size (), hello)
                          + frame_start (8 << 20, std::string (8 << 20, 'x')),
                 .returns = true });
  expect_bounded (
      press_and_watch (&peers, engine.sidecar.pid, inner, kPressMs));
  EXPECT_TRUE (Site::wait_for ([&] {
    return send_call (gateway (), stream_call ("after", "")).status == 200;
  })) << "no stream is served beside the crowd";
}

} // namespace
} // namespace relay
