// Answers that cannot be assigned to a request, and answers whose end is not
// what it looks like.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "site.h"

namespace relay
{
namespace
{

const std::string kBody = "the body of the right answer";
const std::string kForeignBody = "a body for another caller";

Call
unsafe_call (const std::string &id)
{
  Call call = plain_call (id, "/unsafe/" + id);
  call.method = "POST";
  return call;
}

// Guards against an answer without an id, behind others on its connection,
// that is taken for the answer to the next request.
TEST (AnswerOwner, AnswerWithoutAnIdOnAKeptConnectionBelongsToNoRequest)
{
  Site site (0, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.plain[0]->plan_answers ([&] (const Message &request,
                                    const std::string &fields) {
    std::string right = answer_of (Framing::LENGTH, fields, kBody);
    std::string foreign = answer_of (
        Framing::LENGTH, "X-Knapweedbay-Server-Seal: s\r\n", kForeignBody);
    bool is_second = request.target ().find ("second") != std::string::npos;
    return AnswerScript{ { { is_second ? foreign + right : right } },
                         AnswerEnd::KEEP };
  });
  int foreign = 0;
  for (int i = 0; i < 10; i++)
    {
      std::string n = std::to_string (i);
      EXPECT_EQ (send_call (site.gateways[0], unsafe_call ("first" + n)).body,
                 kBody);
      Message answer
          = send_call (site.gateways[0], unsafe_call ("second" + n));
      foreign += answer.body == kForeignBody;
    }
  EXPECT_EQ (foreign, 0);
}

// Guards against a request that waits for its answer until its time is up,
// though none can follow on its connection.
TEST (AnswerOwner, NoAnswerIsAwaitedBehindOneThatEndsWithItsConnection)
{
  Site site (0, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.plain[0]->plan_answers ([&] (const Message &, const std::string &) {
    return AnswerScript{ { { answer_of (Framing::NONE,
                                        "X-Knapweedbay-Attempt-Id: other\r\n"
                                        "X-Knapweedbay-Server-Seal: s\r\n",
                                        kForeignBody),
                             4000 } },
                         AnswerEnd::KEEP };
  });
  for (int i = 0; i < 4; i++)
    {
      Call call = unsafe_call ("awaits" + std::to_string (i));
      call.deadline_ms = 2000;
      EXPECT_EQ (send_call (site.gateways[0], call).status, 502);
    }
}

// Guards against a target whose answers bear no ids and is not served from
// because of that.
TEST (AnswerOwner, TargetWithoutIdsIsServedFrom)
{
  Site site (0, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.plain[0]->plan_answers ([&] (const Message &, const std::string &) {
    return AnswerScript{ { { answer_of (Framing::LENGTH,
                                        "X-Knapweedbay-Server-Seal: s\r\n",
                                        kBody) } },
                         AnswerEnd::KEEP };
  });
  for (int i = 0; i < 10; i++)
    EXPECT_EQ (
        send_call (site.gateways[0], unsafe_call ("u" + std::to_string (i)))
            .body,
        kBody);
}

// Guards against a body in another transfer coding that is passed on as if it
// had none.
TEST (AnswerOwner, EncodedTransferIsNoAnswer)
{
  Site site (0, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  for (const char *coding : { "gzip", "gzip, chunked" })
    {
      site.plain[0]->plan_answers (
          [&] (const Message &, const std::string &fields) {
            bool has_chunks = std::string (coding).size () > 4;
            return AnswerScript{
              { { "HTTP/1.1 200 OK\r\n" + fields
                  + "Transfer-Encoding: " + coding + "\r\n\r\n"
                  + (has_chunks ? chunk (kBody) + "0\r\n\r\n" : kBody) } },
              AnswerEnd::CLOSE
            };
          });
      std::string id = "e" + std::to_string (strlen (coding));
      Message answer = send_call (site.gateways[0], unsafe_call (id));
      EXPECT_EQ (answer.status, 502) << coding;
    }
}

// Guards against bytes behind the head of an interim answer that count as the
// begin of the body.
TEST (AnswerOwner, InterimAnswerHasNoBody)
{
  Site site (0, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  int served = 0;
  for (const char *behind : { "", "hello" })
    for (const char *framing :
         { "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n" })
      {
        site.plain[0]->plan_answers ([&] (const Message &,
                                          const std::string &fields) {
          return AnswerScript{
            { { std::string ("HTTP/1.1 103 Early Hints\r\n") + framing + "\r\n"
                + behind + answer_of (Framing::LENGTH, fields, kBody) } },
            AnswerEnd::CLOSE
          };
        });
        std::string id
            = "i" + std::to_string (strlen (behind) * 100 + strlen (framing));
        Message answer = send_call (site.gateways[0], unsafe_call (id));
        bool is_whole = answer.status == 200 && answer.is_complete;
        EXPECT_TRUE (!is_whole || answer.body == kBody) << answer.body;
        served += is_whole;
      }
  EXPECT_EQ (served, 2);
}

// Guards against the answer to a request with a long id that is taken for the
// answer to another one.
TEST (AnswerOwner, AnswerWithALongIdIsTheRequestsOwn)
{
  Site site (0, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  for (size_t size : { 16, 63, 64, 65, 200 })
    {
      Message answer = send_call (site.gateways[0],
                                  unsafe_call (std::string (size, 'a')));
      EXPECT_EQ (answer.status, 200) << size << answer.body;
    }
}

// Guards against spaces behind an id that make it another one.
TEST (AnswerOwner, SpacesBehindAnIdAreNoPartOfIt)
{
  Site site (0, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.plain[0]->plan_answers ([&] (const Message &, const std::string &) {
    return AnswerScript{ { { answer_of (Framing::LENGTH,
                                        "X-Knapweedbay-Attempt-Id: spaces\r\n"
                                        "X-Knapweedbay-Server-Seal: s\r\n",
                                        kBody) } },
                         AnswerEnd::KEEP };
  });
  Call call = unsafe_call ("spaces \t");
  call.path = "/unsafe/spaces";
  EXPECT_EQ (send_call (site.gateways[0], call).body, kBody);
}

// Guards against a body that ends with its connection and counts as framed,
// because it has a transfer coding other than chunks.
TEST (AnswerOwner, BodyWithAnotherTransferCodingEndsWithItsConnection)
{
  Site site (0, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.plain[0]->plan_answers (
      [&] (const Message &request, const std::string &fields) {
        std::string answer = "HTTP/1.1 200 OK\r\n" + fields
                             + "Transfer-Encoding: identity\r\n\r\n" + kBody;
        bool resets = request.target ().find ("reset") != std::string::npos;
        return AnswerScript{ { { answer, 5 } },
                             resets ? AnswerEnd::RESET : AnswerEnd::CLOSE };
      });
  Message whole = send_call (site.gateways[0], unsafe_call ("whole"));
  Message reset = send_call (site.gateways[0], unsafe_call ("reset"));
  EXPECT_FALSE (reset.status == 200 && reset.is_complete);
  EXPECT_TRUE (whole.status == 502 || whole.body == kBody);
  std::this_thread::sleep_for (std::chrono::milliseconds (500));
  auto lines = Site::log_lines (site.gateways[0].daemon,
                                { "request_end", "\"id\":\"whole\"" });
  ASSERT_EQ (lines.size (), 1u);
  EXPECT_EQ (lines[0].find ("\"close_delimited\":0,\"framing\":\"chunked\""),
             std::string::npos)
      << lines[0];
}

/// Accepts connections and resets each at once.
class Resetter
{
public:
  explicit Resetter (const std::string &ip)
      : fd_ (socket (AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    inet_pton (AF_INET, ip.c_str (), &address.sin_addr);
    bind (fd_, (sockaddr *)&address, sizeof address);
    listen (fd_, 128);
    socklen_t length = sizeof address;
    getsockname (fd_, (sockaddr *)&address, &length);
    address_ = ip + ":" + std::to_string (ntohs (address.sin_port));
    thread_ = std::thread ([this] { run (); });
  }
  ~Resetter ()
  {
    is_stopping_ = true;
    thread_.join ();
    close (fd_);
  }
  std::string
  address () const
  {
    return address_;
  }

private:
  void
  run ()
  {
    while (!is_stopping_)
      {
        pollfd in = { fd_, POLLIN, 0 };
        if (poll (&in, 1, 50) != 1)
          continue;
        int fd = accept (fd_, nullptr, nullptr);
        linger on = { 1, 0 };
        setsockopt (fd, SOL_SOCKET, SO_LINGER, &on, sizeof on);
        close (fd);
      }
  }
  int fd_;
  std::string address_;
  std::atomic<bool> is_stopping_{ false };
  std::thread thread_;
};

/// Send a request on a connection whose gateway stands still, after one whose
/// answer has left the gateway a kept connection.
/// @param meanwhile  What happens to that connection before the gateway goes
///                   on.
void
send_while_stopped (Site &site, const std::string &number,
                    const std::function<void ()> &meanwhile, Message *answer)
{
  auto caller = dial (site.gateways[0].address);
  ASSERT_TRUE (caller->write (unsafe_call ("kept" + number).text ()));
  ASSERT_EQ (caller->read_response ().status, 200);
  pid_t gateway = site.gateways[0].daemon.pid;
  kill (gateway, SIGSTOP);
  caller->write (unsafe_call ("next" + number).text ());
  meanwhile ();
  kill (gateway, SIGCONT);
  *answer = caller->read_response ();
  printf ("%d %s\n", answer->status, answer->body.c_str ());
}

// Guards against a request that is lost because the kept connection that it
// was to be written to had been reset: not a byte of it has left.
TEST (AnswerOwner, RequestForAConnectionThatWasResetIsSentOnAnother)
{
  Site site (0, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  Target &target = *site.plain[0];
  int served = 0;
  constexpr int kRounds = 5;
  for (int i = 0; i < kRounds; i++)
    {
      auto meanwhile = [&] {
        std::this_thread::sleep_for (std::chrono::milliseconds (30));
        target.simulate_exit ();
        target.listen_again ();
        std::this_thread::sleep_for (std::chrono::milliseconds (30));
      };
      Message answer;
      ASSERT_NO_FATAL_FAILURE (
          send_while_stopped (site, std::to_string (i), meanwhile, &answer));
      served += answer.status == 200;
      EXPECT_NE (answer.status, 504);
    }
  EXPECT_EQ (served, kRounds);
}

// Guards against a request that is written to a kept connection which its
// target has closed: whether it ran would be open.
TEST (AnswerOwner, RequestForAConnectionThatWasClosedIsSentOnAnother)
{
  Site site (0, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  constexpr int kRounds = 5;
  constexpr int kStepMs = 30;
  site.plain[0]->plan_answers (
      [&] (const Message &, const std::string &fields) {
        return AnswerScript{ { { answer_of (Framing::LENGTH, fields, kBody),
                                 2 * kStepMs } },
                             AnswerEnd::CLOSE };
      });
  int served = 0;
  for (int i = 0; i < kRounds; i++)
    {
      auto meanwhile = [&] {
        std::this_thread::sleep_for (std::chrono::milliseconds (4 * kStepMs));
      };
      Message answer;
      ASSERT_NO_FATAL_FAILURE (
          send_while_stopped (site, std::to_string (i), meanwhile, &answer));
      served += answer.status == 200;
      // Until the connection of this answer is closed as well.
      std::this_thread::sleep_for (std::chrono::milliseconds (4 * kStepMs));
    }
  EXPECT_EQ (served, kRounds);
}

// Guards against a request that waits for its timeout because its connection
// was reset before it could be written.
TEST (AnswerOwner, RequestThatCannotBeWrittenEndsAtOnce)
{
  Site site (0, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  Target &target = *site.plain[0];
  std::string ip = target.address ().substr (0, target.address ().find (':'));
  Resetter resetter (ip);
  site.remove ("servers/" + target.id ());
  site.put ("servers/i-resets",
            "{\"Service\":\"maps\",\"Address\":\"" + resetter.address ()
                + "\",\"Zone\":\"d1\",\"Version\":\"v1\",\"Slots\":6,"
                  "\"State\":\"ready\",\"ColdLeftMs\":0,\"Seq\":1,\"born\":"
                + std::to_string (target.born_ms ()) + "}");
  ASSERT_TRUE (Site::wait_for ([&] {
    return !Site::log_lines (site.gateways[0].daemon,
                             { "target_listed", "i-resets" })
                .empty ();
  }));
  int timed_out = 0;
  int failed = 0;
  for (int i = 0; i < 200; i++)
    {
      Message answer = send_call (site.gateways[0],
                                  unsafe_call ("w" + std::to_string (i)));
      timed_out += answer.status == 504;
      failed += answer.status == 502;
    }
  printf ("%d failed, %d timed out\n", failed, timed_out);
  EXPECT_EQ (timed_out, 0);
}

// Guards against a refusal of a request whose head is not complete, or is
// malformed, that bears the id of the request before on its connection.
TEST (AnswerOwner, RefusalBearsNoIdOfAnEarlierRequest)
{
  Site site (0, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  const std::vector<std::pair<std::string, int>> heads
      = { { "GET /plain/x HTTP/1.1\r\nHost: a.exa", 408 },
          { "GET /plain/x HTTP/1.1\r\nHo st: a.example\r\n\r\n", 400 },
          { "GET /plain/x HTTP/1.1\r\nHost: a.example\r\nX-Long: "
                + std::string (8192, 'x') + "\r\n\r\n",
            431 } };
  for (const auto &[head, status] : heads)
    {
      auto connection = dial (site.gateways[0].address);
      ASSERT_NE (connection, nullptr);
      connection->write (plain_call ("earlier").text ());
      ASSERT_EQ (connection->read_response ().status, 200);
      connection->write (head);
      Message refusal = connection->read_response ();
      EXPECT_EQ (refusal.status, status);
      EXPECT_EQ (refusal.header ("x-knapweedbay-attempt-id"), "");
    }
}

} // namespace
} // namespace relay
