// Order of the events of a stream: each verdict, and drawn streams against
// what their callers must have received.
#include <gtest/gtest.h>

#include <random>
#include <vector>

extern "C"
{
#include "coordination/eventseq.h"
}

namespace
{

constexpr uint64_t kNoId = UINT64_MAX;

class EventSeq : public testing::Test
{
protected:
  void
  SetUp () override
  {
    esq_stream_init (&stream);
    esq_answer_begin (&stream);
  }
  esq_verdict_t
  judge (uint64_t id)
  {
    return esq_event_judge (&stream, &steps, id == kNoId ? nullptr : &id);
  }
  void
  receive (uint64_t first, uint64_t last)
  {
    for (uint64_t id = first; id <= last; id++)
      ASSERT_EQ (judge (id), ESQ_NEW) << id;
  }
  void
  show_even_steps (uint64_t step)
  {
    steps = { step, ESQ_MIN_EVEN_STEPS };
  }
  esq_stream_t stream;
  esq_steps_t steps = {};
};

TEST_F (EventSeq, ConsecutiveEventsAreNew)
{
  receive (0, 1000);
  EXPECT_EQ (esq_end_judge (&stream), ESQ_NEW);
  EXPECT_TRUE (esq_stream_can_continue (&stream));
}

// Guards against an id that repeats or goes back within an answer and passes
// for a repetition of a continuation.
TEST_F (EventSeq, WithinAnAnswerIdsOnlyIncrease)
{
  for (uint64_t id : { 5, 4, 0 })
    {
      SetUp ();
      receive (1, 5);
      EXPECT_EQ (judge (id), ESQ_BACK) << id;
    }
  SetUp ();
  receive (1, 5);
  esq_answer_begin (&stream);
  EXPECT_EQ (judge (2), ESQ_REPEATED);
  EXPECT_EQ (judge (2), ESQ_BACK);
}

TEST_F (EventSeq, ContinuationMayBeginEarlier)
{
  receive (1, 5);
  esq_answer_begin (&stream);
  for (uint64_t id = 1; id <= 5; id++)
    EXPECT_EQ (judge (id), ESQ_REPEATED);
  receive (6, 9);
  EXPECT_EQ (esq_end_judge (&stream), ESQ_NEW);
}

// Guards against a continuation of another, shorter run, whose end passes for
// that of the stream.
TEST_F (EventSeq, ContinuationThatEndsBeforeWhatWasReceivedIsShort)
{
  receive (1, 5);
  esq_answer_begin (&stream);
  judge (1);
  judge (4);
  EXPECT_EQ (esq_end_judge (&stream), ESQ_SHORT);
  judge (5);
  EXPECT_EQ (esq_end_judge (&stream), ESQ_NEW);
  esq_answer_begin (&stream);
  EXPECT_EQ (esq_end_judge (&stream), ESQ_NEW);
}

// Guards against a missing piece between two answers.
TEST_F (EventSeq, GapBehindEvenStepsIsFound)
{
  for (uint64_t step : { 1, 10 })
    {
      show_even_steps (step);
      esq_stream_init_behind (&stream, 50);
      esq_answer_begin (&stream);
      EXPECT_EQ (judge (50 + 2 * step), ESQ_GAP);
      esq_answer_begin (&stream);
      EXPECT_EQ (judge (50 + step), ESQ_NEW);
    }
}

TEST_F (EventSeq, GapBehindRepeatedEventsIsFound)
{
  show_even_steps (1);
  receive (1, 5);
  esq_answer_begin (&stream);
  EXPECT_EQ (judge (3), ESQ_REPEATED);
  EXPECT_EQ (judge (8), ESQ_GAP);
}

// Guards against sound streams that are cut since their ids are not
// consecutive.
TEST_F (EventSeq, UnevenIdsHaveNoGaps)
{
  uint64_t id = 0;
  for (int answer = 0; answer < 2000; answer++)
    {
      esq_answer_begin (&stream);
      for (int i = 0; i < 3; i++)
        {
          id += i + 1;
          EXPECT_TRUE (esq_verdict_is_new (judge (id)));
        }
    }
}

TEST_F (EventSeq, JumpWithinAnAnswerIsNewAndEndsTheEvenSteps)
{
  show_even_steps (1);
  receive (1, 5);
  EXPECT_EQ (judge (8), ESQ_JUMP);
  esq_answer_begin (&stream);
  EXPECT_EQ (judge (20), ESQ_NEW);
}

TEST_F (EventSeq, StreamsWithoutIdsAreNewAndCannotContinue)
{
  for (int i = 0; i < 5; i++)
    EXPECT_EQ (judge (kNoId), ESQ_NO_ID);
  EXPECT_FALSE (esq_stream_can_continue (&stream));
  EXPECT_EQ (esq_end_judge (&stream), ESQ_NEW);
  receive (1, 2);
  EXPECT_TRUE (esq_stream_can_continue (&stream));
}

// Guards against an event without an id that a continuation repeats.
TEST_F (EventSeq, EventWithoutIdInFrontOfAContinuationIsUnplaced)
{
  receive (1, 5);
  esq_answer_begin (&stream);
  EXPECT_EQ (judge (kNoId), ESQ_UNPLACED);
  esq_answer_begin (&stream);
  EXPECT_EQ (judge (6), ESQ_NEW);
  EXPECT_EQ (judge (kNoId), ESQ_NO_ID);
  esq_stream_init_behind (&stream, 5);
  esq_answer_begin (&stream);
  EXPECT_EQ (judge (kNoId), ESQ_NO_ID);
  EXPECT_EQ (judge (5), ESQ_REPEATED);
  EXPECT_EQ (judge (kNoId), ESQ_UNPLACED);
}

TEST_F (EventSeq, LargestIdIsOrdered)
{
  receive (1, 1);
  EXPECT_EQ (judge (UINT64_MAX - 1), ESQ_NEW);
  esq_answer_begin (&stream);
  uint64_t largest = UINT64_MAX;
  EXPECT_EQ (esq_event_judge (&stream, &steps, &largest), ESQ_NEW);
  EXPECT_EQ (judge (0), ESQ_BACK);
}

TEST_F (EventSeq, EachVerdictHasAName)
{
  for (int verdict = 0; verdict < ESQ_VERDICT_COUNT; verdict++)
    EXPECT_NE (esq_verdict_name ((esq_verdict_t)verdict), nullptr);
}

/// Ids of an answer that goes on behind an event or begins again, half of them
/// with an event that is missing, doubled, out of place, or the last one.
std::vector<uint64_t>
draw_answer (std::mt19937 &random, uint64_t behind, uint64_t last,
             uint64_t step)
{
  std::vector<uint64_t> ids;
  bool begins_again = random () % 3 == 0;
  uint64_t first = begins_again ? step : behind + step;
  for (uint64_t id = first; id <= last; id += step)
    ids.push_back (id);
  if (ids.empty () || random () % 2 == 0)
    return ids;
  size_t one = random () % ids.size ();
  size_t other = random () % ids.size ();
  switch (random () % 4)
    {
    case 0:
      ids.erase (ids.begin ());
      break;
    case 1:
      ids.insert (ids.begin () + (long)one, uint64_t (ids[other]));
      break;
    case 2:
      std::swap (ids[one], ids[other]);
      break;
    default:
      ids.resize (one);
    }
  return ids;
}

/// What a caller has received, and how the answers for it ended.
struct Received
{
  std::vector<uint64_t> ids;
  int unsound = 0;
  int ends = 0;
};

/// Relay an answer as far as it is sound.
/// @param count  Events after which it breaks off.
void
relay (esq_stream_t *stream, esq_steps_t *steps,
       const std::vector<uint64_t> &answer, size_t count, Received *out)
{
  esq_answer_begin (stream);
  for (size_t i = 0; i < count; i++)
    {
      esq_verdict_t verdict = esq_event_judge (stream, steps, &answer[i]);
      if (esq_verdict_is_unsound (verdict))
        {
          out->unsound++;
          return;
        }
      if (esq_verdict_is_new (verdict))
        out->ids.push_back (answer[i]);
    }
  bool is_whole = count == answer.size ();
  out->ends += is_whole && esq_end_judge (stream) == ESQ_NEW;
}

// Guards against a drawn series of faulty answers by which a caller receives
// an event twice or out of order, or misses one between two answers.
TEST_F (EventSeq, DrawnAnswersLeaveReceivedEventsInOrder)
{
  constexpr int kSeeds = 20000;
  int unsound = 0;
  int ends = 0;
  for (int seed = 1; seed <= kSeeds; seed++)
    {
      std::mt19937 random ((uint32_t)seed);
      uint64_t step = 1 + random () % 3;
      uint64_t last = step * (1 + random () % 12);
      Received received;
      esq_stream_init (&stream);
      for (int answer = 0; answer < 4; answer++)
        {
          size_t had = received.ids.size ();
          uint64_t behind = had == 0 ? 0 : received.ids.back ();
          std::vector<uint64_t> ids = draw_answer (random, behind, last, step);
          show_even_steps (step);
          relay (&stream, &steps, ids, random () % (ids.size () + 1),
                 &received);
          bool goes_on
              = had > 0 && received.ids.size () > had && ids.front () > behind;
          ASSERT_TRUE (!goes_on || received.ids[had] == behind + step) << seed;
        }
      for (size_t i = 1; i < received.ids.size (); i++)
        ASSERT_GT (received.ids[i], received.ids[i - 1]) << seed;
      unsound += received.unsound;
      ends += received.ends;
    }
  printf ("%d unsound answers, %d ends\n", unsound, ends);
  EXPECT_GT (unsound, kSeeds / 10);
  EXPECT_GT (ends, kSeeds / 10);
}

} // namespace
