// Streams whose targets send events out of their order, twice, or without ids.
#include <gtest/gtest.h>

#include "site.h"

namespace relay
{
namespace
{

/// Number of events of a whole stream here.
constexpr int kEvents = 10;

long long
last_event_of (const Message &request)
{
  return atoll (request.header ("last-event-id").c_str ());
}

/// Events 1 to `last`, then a reset.
StreamScript
broken_off (int last)
{
  StreamScript script;
  script.pieces = numbered_events (1, last);
  script.end = StreamEnd::RESET;
  script.before_end_ms = 20;
  return script;
}

StreamScript
whole (std::vector<std::string> pieces)
{
  StreamScript script;
  script.pieces = std::move (pieces);
  return script;
}

/// Put events into a stream that has numbered ones around them.
StreamScript
around (int before, const std::vector<std::string> &odd, int from)
{
  StreamScript script = whole (numbered_events (1, before));
  for (const std::string &event : odd)
    script.pieces.push_back (event);
  for (const std::string &event : numbered_events (from, kEvents))
    script.pieces.push_back (event);
  return script;
}

/// Begin each stream so; answer its continuations as the target usually does
/// or, where `again` is given, so.
void
plan (Site &site, const StreamScript &first,
      const std::optional<StreamScript> &again = std::nullopt)
{
  for (Engine &engine : site.engines)
    engine.target->plan_streams ([first, again] (const Message &request) {
      return request.header ("last-event-id").empty ()
                 ? std::optional<StreamScript> (first)
                 : again;
    });
}

/// Let streams show that ids go up by one.
void
show_steps (Site &site)
{
  for (Engine &engine : site.engines)
    engine.target->plan_streams ([] (const Message &) {
      StreamScript script = whole (numbered_events (1, 100));
      script.piece_ms = 0;
      return std::optional<StreamScript> (script);
    });
  for (int i = 0; i < 4; i++)
    send_call (site.gateways[0],
               stream_call ("steps-" + std::to_string (i), ""));
}

/// Texts of the events in a body, in order.
std::vector<std::string>
texts_of (const std::string &body)
{
  static const std::string mark = "data: ";
  std::vector<std::string> texts;
  for (size_t at = body.find (mark); at != std::string::npos;
       at = body.find (mark, at + 1))
    {
      size_t from = at + mark.size ();
      texts.push_back (body.substr (from, body.find ('\n', from) - from));
    }
  return texts;
}

std::vector<std::string>
texts_between (int first, int last)
{
  std::vector<std::string> texts;
  for (int i = first; i <= last; i++)
    texts.push_back ("e" + std::to_string (i));
  return texts;
}

/// @return  Whether an answer holds the texts from `first` on, none of them
///          twice or missing, and is complete only with the last one.
testing::AssertionResult
is_sound (const Message &answer, int first = 1)
{
  std::vector<std::string> texts = texts_of (answer.body);
  int last = first + (int)texts.size () - 1;
  bool is_complete = answer.status == 200 && answer.is_complete;
  if (texts == texts_between (first, last)
      && (!is_complete || last == kEvents))
    return testing::AssertionSuccess ();
  auto result = testing::AssertionFailure ();
  result << (is_complete ? "complete:" : "incomplete:");
  for (const std::string &text : texts)
    result << ' ' << text;
  return result;
}

/// @return  Whether an answer is the whole stream.
testing::AssertionResult
is_whole (const Message &answer, int first = 1)
{
  if (answer.status == 200 && answer.is_complete)
    return is_sound (answer, first);
  return testing::AssertionFailure ()
         << "status " << answer.status << ", "
         << texts_of (answer.body).size () << " events";
}

class EventOrder : public testing::Test
{
protected:
  void
  SetUp () override
  {
    ASSERT_TRUE (site.wait_ready ());
    site.wait_for_retries (4);
  }
  Message
  stream (const std::string &id, bool is_resumable = true)
  {
    return send_call (site.gateways[0], stream_call (id, "", is_resumable));
  }
  /// Continue a stream as its caller.
  Message
  continue_after (const std::string &id, const std::string &last_event)
  {
    Call call = stream_call (id, "");
    call.headers
        += "Last-Event-Id: " + last_event + "\r\nResumes: s-begun\r\n";
    return send_call (site.gateways[0], call);
  }
  Site site{ 2, 1, 1 };
};

// Guards against a continuation that leaves events out, whose stream would
// lack a piece.
TEST_F (EventOrder, ContinuationWithAGapIsNotRelayed)
{
  show_steps (site);
  plan (site, broken_off (5), whole (numbered_events (8, kEvents)));
  EXPECT_TRUE (is_sound (stream ("s-gap")));
}

// Guards against the same where a caller continues its stream.
TEST_F (EventOrder, CallersContinuationWithAGapIsNotRelayed)
{
  show_steps (site);
  plan (site, broken_off (5), whole (numbered_events (8, kEvents)));
  stream ("s-begun", false);
  EXPECT_TRUE (is_sound (continue_after ("s-gap", "5"), 6));
}

// Guards against events that come twice, from a target that begins again.
TEST_F (EventOrder, ContinuationFromTheFirstEventRepeatsNothing)
{
  plan (site, broken_off (5), whole (numbered_events (1, kEvents)));
  EXPECT_TRUE (is_whole (stream ("s-again")));
}

// Guards against the same where a caller continues its stream.
TEST_F (EventOrder, CallersContinuationFromTheFirstEventRepeatsNothing)
{
  plan (site, broken_off (5), whole (numbered_events (1, kEvents)));
  stream ("s-begun", false);
  EXPECT_TRUE (is_whole (continue_after ("s-again", "5"), 6));
}

// Guards against a stream that is complete though its continuation, begun
// again, ends before the events that its caller already has.
TEST_F (EventOrder, ContinuationThatEndsTooEarlyIsNoEnd)
{
  plan (site, broken_off (5), whole (numbered_events (1, 3)));
  EXPECT_TRUE (is_sound (stream ("s-short")));
}

// Guards against an event whose number is not above the last one's, and that
// is left out without a trace: its text is missing at the caller.
TEST_F (EventOrder, StreamWhoseNumbersRepeatOrGoBackIsNotComplete)
{
  for (const char *id : { "5", "3", "1", "0" })
    {
      plan (site, around (5, { numbered_event (id, "lost") }, 6));
      Message answer = stream (std::string ("s-back-") + id, false);
      EXPECT_TRUE (is_sound (answer)) << id;
      EXPECT_FALSE (answer.is_complete) << id;
    }
}

// Guards against the loss of what a sound target would send, because the first
// one's numbers went back.
TEST_F (EventOrder, StreamWhoseNumbersGoBackIsContinuedElsewhere)
{
  plan (site, around (5, { numbered_event ("3", "lost") }, 6));
  EXPECT_TRUE (is_whole (stream ("s-back")));
}

// Guards against streams that are cut for numbers that increase, as they may,
// by more than one.
TEST_F (EventOrder, NumbersThatIncreaseUnevenlyAreRelayed)
{
  StreamScript uneven;
  StreamScript rest;
  for (int i = 1; i <= kEvents; i++)
    {
      std::string event
          = numbered_event (std::to_string (i * i), "e" + std::to_string (i));
      if (i <= 5)
        uneven.pieces.push_back (event);
      else
        rest.pieces.push_back (event);
    }
  uneven.end = StreamEnd::RESET;
  uneven.before_end_ms = 20;
  plan (site, uneven, rest);
  for (int i = 0; i < 3; i++)
    EXPECT_TRUE (is_whole (stream ("s-uneven-" + std::to_string (i))));
  // Also where all streams before had even ones.
  show_steps (site);
  StreamScript jump = whole (numbered_events (1, 5));
  for (int i = 6; i <= kEvents; i++)
    jump.pieces.push_back (
        numbered_event (std::to_string (i + 4), "e" + std::to_string (i)));
  plan (site, jump);
  EXPECT_TRUE (is_whole (stream ("s-jump", false)));
}

// Guards against a stream without ids that breaks off, is begun again and
// joined to what its caller already has.
TEST_F (EventOrder, BrokenStreamWithoutIdsIsNotBegunAgain)
{
  StreamScript first = whole (plain_events (1, 4));
  first.end = StreamEnd::RESET;
  first.before_end_ms = 20;
  int sent = 0;
  for (Engine &engine : site.engines)
    engine.target->plan_streams ([&] (const Message &) {
      return std::optional<StreamScript> (
          sent++ == 0 ? first : whole (plain_events (1, kEvents)));
    });
  EXPECT_TRUE (is_sound (stream ("s-plain")));
}

// Guards against work for a stream that can't go on: without the id of its
// last event no target knows where.
TEST_F (EventOrder, StreamBrokenBehindAnEventWithoutIdIsNotSentAgain)
{
  StreamScript first = whole (plain_events (1, 4));
  first.end = StreamEnd::RESET;
  first.before_end_ms = 20;
  plan (site, first);
  EXPECT_TRUE (is_sound (stream ("s-plain")));
  EXPECT_EQ (site.runs_of ("s-plain"), 1);
  first.pieces.insert (first.pieces.begin (), numbered_event ("1", "e0"));
  plan (site, first);
  EXPECT_TRUE (is_sound (stream ("s-mixed"), 0));
  EXPECT_EQ (site.runs_of ("s-mixed"), 1);
}

// Guards against a stream that is given up for a pause though no other target
// can continue it.
TEST_F (EventOrder, PausedStreamWithoutIdsIsNotCut)
{
  for (int numbered : { 0, 3 })
    {
      StreamScript paused = whole (numbered_events (1, numbered));
      for (const std::string &event : plain_events (numbered + 1, kEvents))
        paused.pieces.push_back (event);
      paused.before_end_ms = 2800;
      plan (site, paused);
      EXPECT_TRUE (is_whole (stream ("s-pause-" + std::to_string (numbered))));
    }
}

// Guards against streams without ids that are cut.
TEST_F (EventOrder, StreamWithoutIdsIsRelayed)
{
  plan (site, whole (plain_events (1, kEvents)));
  EXPECT_TRUE (is_whole (stream ("s-plain")));
  EXPECT_TRUE (is_whole (stream ("s-plain-once", false)));
  for (Engine &engine : site.engines)
    engine.target->plan_streams ([&] (const Message &) {
      return std::optional<StreamScript> (whole (plain_events (6, kEvents)));
    });
  EXPECT_TRUE (is_whole (continue_after ("s-plain-rest", "5"), 6));
}

// Guards against an event without an id that comes twice: a stream that is
// continued behind the last id has it again.
TEST_F (EventOrder, EventWithoutIdIsNotRepeatedByAContinuation)
{
  StreamScript first = broken_off (4);
  first.pieces.push_back ("data: e5\n\n");
  StreamScript again = whole (plain_events (5, 5));
  for (const std::string &event : numbered_events (6, kEvents))
    again.pieces.push_back (event);
  plan (site, first, again);
  EXPECT_TRUE (is_sound (stream ("s-mixed")));
}

// Guards against an event without an id in front of a continuation, which may
// be one that the caller already has.
TEST_F (EventOrder, ContinuationThatBeginsWithoutAnIdIsNotRelayed)
{
  StreamScript again = whole (plain_events (1, 1));
  for (const std::string &event : numbered_events (6, kEvents))
    again.pieces.push_back (event);
  plan (site, broken_off (5), again);
  EXPECT_TRUE (is_sound (stream ("s-front")));
}

// Guards against an id that is no number and is taken for one: the event, or
// all that follow it, would be missing.
TEST_F (EventOrder, IdsThatAreNoNumbersLeaveNothingOut)
{
  int round = 0;
  for (const char *id :
       { "", " ", "x", "-1", "+6", "6x", "0x6", "6.5", "18446744073709551616",
         "99999999999999999999999999" })
    {
      plan (site, around (5, { numbered_event (id, "e6") }, 7));
      Message answer = stream ("s-odd-" + std::to_string (round++), false);
      EXPECT_TRUE (is_whole (answer)) << '"' << id << '"';
    }
}

// Guards against a proper continuation that is refused, or altered, for the
// form of its last event id.
TEST_F (EventOrder, CallersOddLastEventIdsArePassedOn)
{
  int round = 0;
  for (const char *id : { "0", "x", "-1", "18446744073709551616",
                          "99999999999999999999999999", "1000000000000000" })
    {
      std::mutex mutex;
      std::string received;
      for (Engine &engine : site.engines)
        engine.target->plan_streams ([&] (const Message &request) {
          std::lock_guard<std::mutex> lock (mutex);
          received = request.header ("last-event-id");
          return std::optional<StreamScript> (whole (
              last_event_of (request) > 0 ? std::vector<std::string> ()
                                          : numbered_events (1, kEvents)));
        });
      Call call = stream_call ("s-own-" + std::to_string (round++), "");
      call.headers += std::string ("Last-Event-Id: ") + id + "\r\n";
      Message answer = send_call (site.gateways[0], call);
      EXPECT_EQ (answer.status, 200) << id;
      EXPECT_TRUE (answer.is_complete) << id;
      EXPECT_EQ (received, id);
    }
}

// Guards against a continuation that is not recognised as one, and whose
// stream may then be joined of two versions.
TEST_F (EventOrder, CallersLongOrSpacedLastEventIdsAreContinuations)
{
  stream ("s-begun");
  plan (site, whole ({}), whole ({}));
  int round = 0;
  for (const char *id : { "5 ", "5\t", "1000000000000000000" })
    {
      std::string attempt = "s-form-" + std::to_string (round++);
      EXPECT_EQ (continue_after (attempt, id).status, 200);
      EXPECT_TRUE (Site::wait_for (
          [&] {
            return !Site::log_lines (site.gateways[0].daemon,
                                     { "stream_continued", attempt })
                        .empty ();
          },
          1500))
          << '"' << id << '"';
    }
}

// Guards against a continuation behind the last event that is refused or never
// ends.
TEST_F (EventOrder, ContinuationBehindTheEndIsEmpty)
{
  stream ("s-begun");
  Message answer = continue_after ("s-end", std::to_string (kEvents));
  EXPECT_EQ (answer.status, 200);
  EXPECT_TRUE (answer.is_complete);
  EXPECT_EQ (answer.body, "");
  answer = continue_after ("s-beyond", "99");
  EXPECT_EQ (answer.status, 200);
  EXPECT_TRUE (answer.is_complete);
  EXPECT_EQ (answer.body, "");
}

} // namespace
} // namespace relay
