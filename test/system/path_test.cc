// Requests through entries, agents and targets without faults.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

#include "cluster.h"

using kb::Answer;
using kb::Cluster;
using kb::ClusterOptions;

class PathTest : public ::testing::Test
{
protected:
  static void
  SetUpTestSuite ()
  {
    cluster = new Cluster (ClusterOptions{});
    cluster->start ();
  }
  static void
  TearDownTestSuite ()
  {
    delete cluster;
    cluster = nullptr;
  }
  static Cluster *cluster;
};
Cluster *PathTest::cluster;

TEST_F (PathTest, CompleteAnswerFromRequestedVersion)
{
  Answer answer = cluster->complete (0, "a1@2", "hello");
  ASSERT_EQ (answer.status, 200) << answer.body;
  EXPECT_EQ (Cluster::text_of (answer),
             Cluster::expected_text ("a1@2", "hello", 8));
  EXPECT_EQ (answer.headers["x-knapweedbay-model"], "a1@2");
  EXPECT_EQ (answer.headers["x-knapweedbay-outcome"], "done");
}

TEST_F (PathTest, BareAdapterUsesCurrentVersion)
{
  Answer answer = cluster->complete (1, "a2", "bare");
  ASSERT_EQ (answer.status, 200) << answer.body;
  EXPECT_EQ (answer.headers["x-knapweedbay-model"], "a2@1");
}

TEST_F (PathTest, StreamEndsWithMark)
{
  Answer answer = cluster->complete (0, "a3@1", "streamed", {}, 12, true);
  ASSERT_EQ (answer.status, 200) << answer.body;
  EXPECT_TRUE (answer.is_complete);
  EXPECT_EQ (Cluster::text_of_stream (answer),
             Cluster::expected_text ("a3@1", "streamed", 12));
}

TEST_F (PathTest, PlainServiceIsRouted)
{
  Answer answer = kb::http_call ("POST", cluster->entries[0].process.http_port,
                                 "/v1/services/map-query/cells?x=1", "cell-7",
                                 { "Authorization: Bearer kavango-key" });
  ASSERT_EQ (answer.status, 200) << answer.body;
  EXPECT_NE (answer.body.find ("/cells?x=1"), std::string::npos);
  EXPECT_EQ (cluster->runs_of ("cell-7"), 1);
}

TEST_F (PathTest, UnknownNamesAreReported)
{
  Answer answer = cluster->complete (0, "nobody@1", "x");
  EXPECT_EQ (answer.status, 404);
  EXPECT_NE (answer.body.find ("nobody"), std::string::npos);
  answer = cluster->complete (0, "a1@9", "x");
  EXPECT_EQ (answer.status, 404);
  EXPECT_NE (answer.body.find ("no version 9"), std::string::npos);
  answer = cluster->complete (0, "a1@x", "x");
  EXPECT_EQ (answer.status, 400);
  answer = cluster->complete (0, "a1@1", "x", {}, 8, false, "wrong-key");
  EXPECT_EQ (answer.status, 401);
  EXPECT_EQ (answer.headers["x-knapweedbay-outcome"], "not_run");
}

TEST_F (PathTest, InvalidBodiesAreRefused)
{
  int port = cluster->entries[0].process.http_port;
  kb::Headers auth = { "Authorization: Bearer kavango-key" };
  Answer answer
      = kb::http_call ("POST", port, "/v1/completions", "{\"model\":", auth);
  EXPECT_EQ (answer.status, 400);
  EXPECT_NE (answer.body.find ("ends too early"), std::string::npos);
  std::string large (2 << 20, 'x');
  answer = kb::http_call ("POST", port, "/v1/completions", large, auth);
  EXPECT_EQ (answer.status, 413);
  kb::Headers twice = { "Authorization: Bearer kavango-key",
                        "Idempotency-Key: a", "Idempotency-Key: b" };
  answer = kb::http_call ("POST", port, "/v1/completions",
                          "{\"model\":\"a1\"}", twice);
  EXPECT_EQ (answer.status, 400);
  EXPECT_NE (answer.body.find ("more than once"), std::string::npos);
}

// A client uploads a body that is too large over a slow connection. The entry
// answers 413 after the head and ends the connection while the client is still
// sending. Data that arrives after the close must not be answered with a TCP
// reset: it would discard the 413 before the client reads it, and the client
// would keep sending the body again.
TEST_F (PathTest, ClientStillSendingReadsRefusal)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons ((uint16_t)cluster->entries[0].process.http_port);
  inet_pton (AF_INET, "127.0.0.1", &address.sin_addr);
  ASSERT_EQ (connect (fd, (sockaddr *)&address, sizeof address), 0);
  std::string head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                     "Content-Length: 2097152\r\n\r\n";
  send (fd, head.data (), head.size (), MSG_NOSIGNAL);
  std::string piece (1 << 16, 'x');
  for (int sent = 0; sent < 16; sent++)
    {
      std::this_thread::sleep_for (std::chrono::milliseconds (20));
      EXPECT_EQ (send (fd, piece.data (), piece.size (), MSG_NOSIGNAL),
                 (ssize_t)piece.size ());
    }
  std::string answer;
  char bytes[4096];
  ssize_t got;
  while ((got = recv (fd, bytes, sizeof bytes, 0)) > 0)
    answer.append (bytes, (size_t)got);
  EXPECT_EQ (got, 0) << strerror (errno);
  EXPECT_EQ (answer.rfind ("HTTP/1.1 413", 0), 0u) << answer;
  close (fd);
}

TEST_F (PathTest, DaemonPagesRespond)
{
  int port = cluster->entries[0].process.http_port;
  EXPECT_EQ (kb::http_call ("GET", port, "/healthz").status, 200);
  EXPECT_EQ (kb::http_call ("GET", port, "/v1/status").status, 401);
  EXPECT_EQ (kb::http_call ("POST", port, "/v1/drain").status, 401);
  Answer models = kb::http_call ("GET", port, "/v1/models");
  EXPECT_NE (models.body.find ("\"a39@2\""), std::string::npos);
  EXPECT_NE (kb::http_call ("GET", port, "/metrics")
                 .body.find ("knapweedbay_requests_total"),
             std::string::npos);
}

// A client resends a request with the same key because the first answer was
// slow. The resend must not run again, but get the first answer, through
// either entry. The same key with another body is refused.
TEST_F (PathTest, ResentKeyGetsStoredAnswer)
{
  kb::Headers key = { "Idempotency-Key: upload-17" };
  Answer first = cluster->complete (0, "a4@1", "upload-17", key);
  ASSERT_EQ (first.status, 200) << first.body;
  for (int entry = 0; entry < 2; entry++)
    {
      Answer again = cluster->complete (entry, "a4@1", "upload-17", key);
      EXPECT_EQ (again.status, 200) << again.body;
      EXPECT_EQ (again.body, first.body);
    }
  EXPECT_EQ (cluster->runs_of ("upload-17"), 1);
  Answer other = cluster->complete (0, "a4@1", "another body", key);
  EXPECT_EQ (other.status, 422);
  EXPECT_EQ (cluster->runs_of ("another body"), 0);
}

// Two requests with the same key race through both entries. Only one may run;
// the other is refused with 409 while the first runs, or gets its answer.
TEST_F (PathTest, RacingSendsRunOnce)
{
  Answer answers[2];
  std::thread threads[2];
  for (int i = 0; i < 2; i++)
    threads[i] = std::thread ([i, &answers] {
      answers[i] = cluster->complete (i, "a5@1", "race",
                                      { "Idempotency-Key: race" }, 100);
    });
  for (auto &thread : threads)
    thread.join ();
  int done = (answers[0].status == 200) + (answers[1].status == 200);
  EXPECT_GE (done, 1);
  for (auto &answer : answers)
    EXPECT_TRUE (answer.status == 200 || answer.status == 409)
        << answer.status << answer.body;
  EXPECT_EQ (cluster->runs_of ("race"), 1);
}
