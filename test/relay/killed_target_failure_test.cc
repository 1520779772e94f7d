// Targets that are processes of their own and end while they answer without a
// length: the kernel closes their connections in order.
#include <gtest/gtest.h>

#include "process_target.h"
#include "site.h"

namespace relay
{
namespace
{

void
put_entry (Site &site, const ProcessTarget &process, const std::string &id,
           const std::string &state)
{
  site.put ("servers/" + id,
            "{\"Service\":\"maps\",\"Address\":\"" + process.address ()
                + "\",\"Zone\":\"d1\",\"Version\":\"v1\",\"Slots\":6,"
                  "\"State\":\""
                + state + "\",\"ColdLeftMs\":0,\"Seq\":1,\"born\":"
                + std::to_string (site.plain[0]->born_ms ()) + "}");
}

/// List a process, and wait until the gateway knows.
void
list (Site &site, const ProcessTarget &process, const std::string &id)
{
  put_entry (site, process, id, "ready");
  ASSERT_TRUE (Site::wait_for ([&] {
    return !Site::log_lines (site.gateways[0].daemon, { "target_listed", id })
                .empty ();
  }));
}

Call
unsafe_call (const std::string &id, const std::string &path)
{
  Call call = plain_call (id, "/unsafe" + path);
  call.method = "POST";
  return call;
}

/// A site whose own plain target is not listed.
struct ProcessSite
{
  ProcessSite () : site (0, 1, 1)
  {
    EXPECT_TRUE (site.wait_ready ());
    std::string address = site.plain[0]->address ();
    ip = address.substr (0, address.find (':'));
    site.remove ("servers/" + site.plain[0]->id ());
  }
  Site site;
  std::string ip;
};

/// Kill a target within each of some answers.
/// @return  Answers that looked whole.
int
count_whole_of_killed (const std::string &path)
{
  constexpr int kRounds = 8;
  ProcessSite own;
  int whole = 0;
  for (int i = 0; i < kRounds; i++)
    {
      std::string n = std::to_string (i);
      ProcessTarget process (own.ip, true);
      list (own.site, process, "i-proc" + n);
      auto caller = dial (own.site.gateways[0].address);
      caller->write (unsafe_call ("k" + n, path + n).text ());
      std::this_thread::sleep_for (std::chrono::milliseconds (50));
      process.kill ();
      Message answer = caller->read_response ();
      whole += answer.status == 200 && answer.is_complete;
      EXPECT_NE (answer.status, 503) << answer.body;
      own.site.remove ("servers/i-proc" + n);
    }
  return whole;
}

// Guards against an answer that is served as whole though the process of its
// target was killed within it.
TEST (KilledTarget, AnswerWithoutALengthIsNotWhole)
{
  EXPECT_EQ (count_whole_of_killed ("/half"), 0);
}

// Guards against the same where bytes of the answer were relayed before.
TEST (KilledTarget, BegunAnswerWithoutALengthIsNotWhole)
{
  EXPECT_EQ (count_whole_of_killed ("/half-large"), 0);
}

// Guards against an answer that is withheld though its target lives on.
TEST (KilledTarget, AnswersOfALivingTargetAreServed)
{
  ProcessSite own;
  ProcessTarget process (own.ip, true);
  list (own.site, process, "i-proc");
  for (int i = 0; i < 20; i++)
    {
      Message answer
          = send_call (own.site.gateways[0],
                       unsafe_call ("l" + std::to_string (i), "/whole"));
      EXPECT_EQ (answer.status, 200);
      EXPECT_EQ (answer.body, ProcessTarget::body);
    }
}

// Guards against the last answer of a target that leaves, and listens no more,
// that is withheld.
TEST (KilledTarget, LastAnswerOfALeavingTargetIsServed)
{
  ProcessSite own;
  ProcessTarget process (own.ip, false);
  list (own.site, process, "i-proc");
  auto caller = dial (own.site.gateways[0].address);
  caller->write (unsafe_call ("last", "/slow").text ());
  std::this_thread::sleep_for (std::chrono::milliseconds (50));
  put_entry (own.site, process, "i-proc", "draining");
  EXPECT_EQ (caller->read_response ().body, ProcessTarget::body);
}

} // namespace
} // namespace relay
