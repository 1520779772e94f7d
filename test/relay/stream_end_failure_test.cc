// The ends of streams: in chunks, with the connection, cut, late, repeated,
// and split anywhere.
#include <gtest/gtest.h>

#include <signal.h>

#include "site.h"

namespace relay
{
namespace
{

using std::chrono::milliseconds;

constexpr int kEvents = 10;

/// Answer all requests for streams by a script, from behind the event that
/// they name.
void
plan (Site &site, StreamScript script, int events = kEvents)
{
  for (Engine &engine : site.engines)
    engine.target->plan_streams ([script, events] (const Message &request) {
      StreamScript rest = script;
      int last = atoi (request.header ("last-event-id").c_str ());
      rest.pieces = numbered_events (last + 1, events);
      return std::optional<StreamScript> (rest);
    });
}

Message
stream (Site &site, const std::string &id, bool is_resumable)
{
  return send_call (site.gateways[0], stream_call (id, "", is_resumable));
}

bool
is_whole (const Message &answer)
{
  return answer.status == 200 && answer.is_complete
         && event_ids (answer.body) == ids_up_to (kEvents);
}

bool
is_begin_of_stream (const std::string &body)
{
  std::vector<int> ids = event_ids (body);
  return ids == ids_up_to ((int)ids.size ());
}

// Guards against fields behind the last chunk that are taken for events, for a
// cut, or for the head of the answer.
TEST (StreamEnd, TrailerEndsAStream)
{
  Site site (1, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  StreamScript script;
  script.end = StreamEnd::TRAILER;
  plan (site, script);
  for (int i = 0; i < 4; i++)
    EXPECT_TRUE (is_whole (stream (site, "t" + std::to_string (i), i % 2)));
}

// Guards against a stream in chunks that is complete though its last chunk
// never came, whatever the pause before the close.
TEST (StreamEnd, CloseBetweenEventsIsNoEnd)
{
  Site site (2, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  site.wait_for_retries (6);
  for (StreamEnd end : { StreamEnd::CLOSE, StreamEnd::RESET })
    for (int pause_ms : { 0, 30, 400 })
      {
        StreamScript script;
        script.end = end;
        script.before_end_ms = pause_ms;
        std::string id
            = std::to_string ((int)end) + "-" + std::to_string (pause_ms);
        plan (site, script, 6);
        Message answer = stream (site, "once-" + id, false);
        EXPECT_FALSE (answer.is_complete) << id;
        EXPECT_TRUE (is_begin_of_stream (answer.body)) << id;
        answer = stream (site, "resume-" + id, true);
        EXPECT_FALSE (answer.is_complete) << id;
        EXPECT_TRUE (is_begin_of_stream (answer.body)) << id;
      }
}

// Guards against a stream without chunks that is cut at its proper end, or
// complete after a reset.
TEST (StreamEnd, UnframedStreamEndsWithAnOrderlyClose)
{
  Site site (2, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  StreamScript script;
  script.has_chunks = false;
  plan (site, script);
  EXPECT_TRUE (is_whole (stream (site, "whole", false)));
  script.end = StreamEnd::RESET;
  for (int pause_ms : { 0, 30 })
    {
      script.before_end_ms = pause_ms;
      plan (site, script, 6);
      Message answer
          = stream (site, "reset" + std::to_string (pause_ms), false);
      EXPECT_FALSE (answer.is_complete) << pause_ms;
      EXPECT_TRUE (is_begin_of_stream (answer.body)) << pause_ms;
    }
}

// Guards against an event that is lost, doubled or torn by the place at which
// the kernel splits the bytes of an answer.
TEST (StreamEnd, AnswersSplitAnywhereAreWhole)
{
  Site site (1, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  StreamScript script;
  script.piece_ms = 2;
  int failed = 0;
  constexpr size_t kMaxBytes = 450;
  auto play = [&] (const std::vector<size_t> &splits, const std::string &id) {
    script.splits = splits;
    plan (site, script);
    bool is_good = is_whole (stream (site, "x-" + id, false));
    failed += !is_good;
    if (!is_good)
      printf ("split at %s\n", id.c_str ());
  };
  play ({ 0 }, "none");
  for (size_t at = 1; at < kMaxBytes; at++)
    play ({ at }, std::to_string (1000 + at));
  for (size_t step : { 1, 2, 3, 7 })
    {
      std::vector<size_t> splits;
      for (size_t at = step; at < kMaxBytes; at += step)
        splits.push_back (at);
      play (splits, "step" + std::to_string (step));
    }
  EXPECT_EQ (failed, 0);
}

// Guards against a stream that is cut, or complete too early, since its caller
// reads slowly and reading from its target pauses while the end arrives.
TEST (StreamEnd, SlowCallersGetTheWholeStreamAndNoFalseEnd)
{
  constexpr int kLargeEvents = 120;
  const std::string filler (100000, 'f');
  Site site (1, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  for (StreamEnd end : { StreamEnd::WHOLE, StreamEnd::CLOSE })
    {
      site.engines[0].target->plan_streams ([&] (const Message &) {
        StreamScript script;
        script.end = end;
        script.piece_ms = 0;
        for (int i = 1; i <= kLargeEvents; i++)
          script.pieces.push_back (
              numbered_event (std::to_string (i), filler));
        return std::optional<StreamScript> (script);
      });
      auto connection = dial (site.gateways[0].address);
      std::string id = "slow-" + std::to_string ((int)end);
      connection->write (stream_call (id, "", false).text ());
      std::this_thread::sleep_for (milliseconds (700));
      Message answer = connection->read_response ();
      EXPECT_EQ (answer.is_complete, end == StreamEnd::WHOLE);
      EXPECT_TRUE (is_begin_of_stream (answer.body));
      bool has_all = event_ids (answer.body) == ids_up_to (kLargeEvents);
      EXPECT_TRUE (has_all || end != StreamEnd::WHOLE);
    }
}

// Guards against a gateway that stops within the last event of a stream, or
// between it and the last chunk, and cuts it.
TEST (StreamEnd, StopDuringTheLastEventCutsNothing)
{
  for (bool is_within_event : { true, false })
    {
      Site site (1, 1, 1);
      ASSERT_TRUE (site.wait_ready ());
      StreamScript script;
      script.pieces = numbered_events (1, kEvents);
      if (is_within_event)
        {
          script.pieces.back () = "id: 10\nda";
          script.pieces.push_back ("ta: e10\n\n");
        }
      script.piece_ms = 100;
      script.before_end_ms = 500;
      site.engines[0].target->plan_streams ([&] (const Message &) {
        return std::optional<StreamScript> (script);
      });
      auto connection = dial (site.gateways[0].address);
      connection->write (stream_call ("stop", "", false).text ());
      std::this_thread::sleep_for (
          milliseconds (is_within_event ? 950 : 1250));
      kill (site.gateways[0].daemon.pid, SIGTERM);
      EXPECT_TRUE (is_whole (connection->read_response ())) << is_within_event;
    }
}

// Guards against an answer to HEAD that waits for events, or counts as cut.
TEST (StreamEnd, HeadHasNoEvents)
{
  Site site (1, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  plan (site, StreamScript ());
  Call call = stream_call ("head", "", false);
  call.method = "HEAD";
  auto connection = dial (site.gateways[0].address);
  connection->write (call.text ());
  std::string bytes = connection->read_some (2000);
  EXPECT_NE (bytes.find ("HTTP/1.1 200"), std::string::npos);
  EXPECT_EQ (bytes.substr (bytes.size () - 4), "\r\n\r\n");
  connection->write (stream_call ("behind", "", false).text ());
  EXPECT_TRUE (is_whole (connection->read_response ()));
}

// Guards against a second answer, at once or late on the kept connection, that
// is taken for events of the next stream or for more events of its own.
TEST (StreamEnd, SecondAnswersBelongToNoStream)
{
  constexpr int kStreams = 12;
  Site site (1, 1, 1);
  ASSERT_TRUE (site.wait_ready ());
  for (StreamEnd end : { StreamEnd::TWICE, StreamEnd::LATE_TWICE })
    {
      site.engines[0].target->plan_streams ([&] (const Message &request) {
        StreamScript script;
        script.end = end;
        std::string id = request.header ("x-knapweedbay-attempt-id");
        for (int i = 1; i <= kEvents; i++)
          script.pieces.push_back (numbered_event (std::to_string (i), id));
        return std::optional<StreamScript> (script);
      });
      for (int i = 0; i < kStreams; i++)
        {
          std::string id = "own-" + std::to_string ((int)end) + "-"
                           + std::to_string (100 + i);
          Message answer = stream (site, id, i % 2);
          std::string expected;
          for (int k = 1; k <= kEvents; k++)
            expected += numbered_event (std::to_string (k), id);
          EXPECT_EQ (answer.body, expected);
          EXPECT_TRUE (answer.is_complete);
        }
    }
  EXPECT_GE (site.engines[0].target->late_answer_count, kStreams / 2);
}

// Guards against a stream that returns to a target which ran it before, where
// an answer to the earlier send would have the right id.
TEST (StreamEnd, StreamsDoNotReturnToATargetThatRanThem)
{
  Site site (2, 1, 1);
  site.write_config (
      2, ",{\"Name\":\"many\",\"Host\":\"a.example\",\"Prefix\":\"/many/\","
         "\"Kind\":\"streaming\",\"TimeoutMs\":4000,\"TargetLatencyMs\":800,"
         "\"Priority\":1,\"Service\":\"models\",\"MaxAttempts\":6,"
         "\"Resumable\":true,\"GapTargetMs\":300}");
  ASSERT_TRUE (site.wait_ready ());
  site.wait_for_retries (6);
  StreamScript script;
  script.end = StreamEnd::RESET;
  script.before_end_ms = 20;
  plan (site, script, 4);
  for (int i = 0; i < 4; i++)
    {
      Call call = stream_call ("many-" + std::to_string (i), "");
      call.path = "/many/x";
      Message answer = send_call (site.gateways[0], call);
      EXPECT_FALSE (answer.is_complete);
      EXPECT_TRUE (is_begin_of_stream (answer.body));
      for (Engine &engine : site.engines)
        EXPECT_LE (engine.target->runs_of (call.id), 1);
    }
}

} // namespace
} // namespace relay
