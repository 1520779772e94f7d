// Targets that answer twice, or break off, in the own interface: callers must
// get the bytes of one answer of one run, whole, or none that look whole.
#include <gtest/gtest.h>

#include "scripted_site.h"

using kb::Case;
using kb::completion_of;
using kb::events_of;
using kb::expect_none_wrong;
using kb::kBody;
using kb::kCommonFramings;
using kb::kFields;
using kb::Site;
using kb::Sums;
using relay::AnswerEnd;
using relay::AnswerScript;
using relay::Framing;

namespace
{

std::string
name_of (Framing first, Framing second, int n)
{
  return std::to_string ((int)first) + "-" + std::to_string ((int)second) + "-"
         + std::to_string (n);
}

/// @param missing  Bytes that the first answer lacks.
/// @param fields   Of the second answer.
std::vector<Case>
pauses (const std::vector<Framing> &firsts, size_t missing,
        const std::string &fields = kFields)
{
  std::vector<Case> cases;
  for (Framing first : firsts)
    for (Framing second : kCommonFramings)
      for (int pause_ms : { 0, 1, 15 })
        {
          std::string answer = relay::answer_of (first, kFields, kBody);
          answer.resize (answer.size () - missing);
          cases.push_back (
              { name_of (first, second, pause_ms),
                { { { answer, pause_ms },
                    { relay::answer_of (second, fields, kBody) } },
                  AnswerEnd::CLOSE },
                kBody });
        }
  return cases;
}

// Guards against a second answer that is read as the rest of a body which
// ends with its connection.
TEST (SecondAnswerOwn, BehindABodyWithoutALengthIsNoPartOfIt)
{
  Site site (true);
  expect_none_wrong ("behind a body without a length",
                     site.look_at (pauses ({ Framing::NONE }, 0)));
  std::string later = kFields;
  later.replace (later.find ("10:00:00"), 8, "10:00:01");
  expect_none_wrong ("the same, a second later",
                     site.look_at (pauses ({ Framing::NONE }, 0, later)));
}

// Guards against a second answer that fills up a body which broke off.
TEST (SecondAnswerOwn, WithinABodyIsNoPartOfIt)
{
  Site site (true);
  expect_none_wrong (
      "within a body",
      site.look_at (pauses (kCommonFramings, kBody.size () / 2)));
}

// Guards against a head of a second answer that is missed because it comes in
// two reads, or breaks off.
TEST (SecondAnswerOwn, WithASplitOrCutHeadIsNoPartOfABody)
{
  constexpr size_t kStatusBytes = sizeof "HTTP/1.1 2" - 1;
  Site site (true);
  std::string first = relay::answer_of (Framing::NONE, kFields, kBody);
  std::string second = relay::answer_of (Framing::LENGTH, kFields, kBody);
  std::vector<Case> split;
  std::vector<Case> cut;
  for (size_t n = 1; n <= relay::head_bytes (second); n++)
    {
      std::string begin = first + second.substr (0, n);
      split.push_back (
          { std::to_string (n),
            { { { begin, 2 }, { second.substr (n) } }, AnswerEnd::CLOSE },
            kBody });
      if (n >= kStatusBytes)
        cut.push_back ({ std::to_string (n),
                         { { { begin } }, AnswerEnd::CLOSE },
                         kBody });
    }
  expect_none_wrong ("split head", site.look_at (split));
  expect_none_wrong ("cut head", site.look_at (cut));
}

// Guards against a body that lacks its last bytes and is filled up with the
// first ones of a second answer.
TEST (SecondAnswerOwn, ThatFillsUpTheLastBytesIsNoPartOfABody)
{
  Site site (true);
  std::string first = relay::answer_of (Framing::LENGTH, kFields, kBody);
  std::string second = relay::answer_of (Framing::LENGTH, kFields, kBody);
  std::vector<Case> cases;
  for (size_t missing = 1; missing <= relay::head_bytes (second) + 8;
       missing++)
    for (int pause_ms : { 0, 2 })
      cases.push_back (
          { std::to_string (missing),
            { { { first.substr (0, first.size () - missing), pause_ms },
                { second } },
              AnswerEnd::CLOSE },
            kBody });
  expect_none_wrong ("last bytes", site.look_at (cases));
}

// Guards against a whole answer that is withheld because a second one follows.
TEST (SecondAnswerOwn, BehindAFramedAnswerCostsNothing)
{
  Site site (true);
  Sums sums = site.look_at (pauses ({ Framing::LENGTH, Framing::CHUNKS }, 0));
  expect_none_wrong ("behind a framed answer", sums);
  EXPECT_EQ (sums.served, sums.calls);
}

// Guards against a body that is withheld because it quotes a response.
TEST (SecondAnswerOwn, QuotedInABodyIsAPartOfIt)
{
  Site site (true);
  std::string quoted = kBody
                       + "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                         "Content-Length: 5\r\n\r\nquote\n"
                         "HTTP/1.1 404 Not Found\r\nServer: other\r\n\r\n";
  std::vector<Case> cases;
  for (Framing framing : kCommonFramings)
    cases.push_back ({ std::to_string ((int)framing),
                       { { { relay::answer_of (framing, kFields, quoted) } },
                         AnswerEnd::CLOSE },
                       quoted });
  Sums sums = site.look_at (cases);
  expect_none_wrong ("quoted", sums);
  EXPECT_EQ (sums.served, sums.calls);
}

// Guards against the same in completions.
TEST (SecondAnswerOwn, IsNoPartOfACompletion)
{
  Site site (false);
  std::string body = completion_of ("a1@1", std::string (200, 'x'));
  Sums sums;
  for (Framing first : kCommonFramings)
    for (Framing second : kCommonFramings)
      for (size_t missing :
           { (size_t)0, (size_t)1, (size_t)2, (size_t)20, (size_t)100 })
        for (int pause_ms : { 0, 15 })
          {
            site.target.answer ([&] (const std::string &, int) {
              std::string answer = relay::answer_of (first, kFields, body);
              answer.resize (answer.size () - missing);
              return AnswerScript{
                { { answer, pause_ms },
                  { relay::answer_of (second, kFields, body) } },
                AnswerEnd::CLOSE
              };
            });
            sums.add (site.complete (false), body,
                      name_of (first, second, (int)missing));
          }
  expect_none_wrong ("completions", sums);
  EXPECT_GE (site.target.runs, sums.calls);
}

// Guards against a second stream whose head is relayed as an event of the
// first one.
TEST (SecondAnswerOwn, IsNoPartOfAStream)
{
  Site site (false);
  std::string fields = "Content-Type: text/event-stream\r\n";
  std::string events = events_of ("a1@1");
  Sums sums;
  int foreign = 0;
  for (Framing first : kCommonFramings)
    for (Framing second : kCommonFramings)
      for (size_t missing : { 0, 1, 2, 3, 8, 12, 14, 15, 16, 20, 40, 200 })
        {
          site.target.answer ([&] (const std::string &, int) {
            std::string answer = relay::answer_of (first, fields, events);
            answer.resize (answer.size () - missing);
            return AnswerScript{
              { { answer, 2 }, { relay::answer_of (second, fields, events) } },
              AnswerEnd::CLOSE
            };
          });
          kb::Answer answer = site.complete (true);
          sums.add (answer, events, name_of (first, second, (int)missing));
          foreign += answer.body.find ("HTTP/1.1") != std::string::npos;
        }
  expect_none_wrong ("streams", sums);
  EXPECT_GE (site.target.runs, sums.calls);
  EXPECT_EQ (foreign, 0);
}

} // namespace
