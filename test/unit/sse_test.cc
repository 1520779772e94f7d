// Parsing of server-sent events: end of an event, and its id.
#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "transport/sse.h"
}

namespace
{

uint32_t
length (const std::string &bytes)
{
  return sse_event_length ({ bytes.data (), (uint32_t)bytes.size () }, 0);
}

int64_t
id_of (const std::string &event)
{
  uint64_t id = 0;
  sse_id_t kind
      = sse_event_id ({ event.data (), (uint32_t)event.size () }, &id);
  return kind == SSE_ID_NUMBER ? (int64_t)id : -1;
}

sse_id_t
kind_of (const std::string &event)
{
  uint64_t id = 0;
  return sse_event_id ({ event.data (), (uint32_t)event.size () }, &id);
}

TEST (Sse, EventEndsWithEmptyLine)
{
  EXPECT_EQ (length ("id: 1\ndata: a\n\nid: 2"), 15u);
  EXPECT_EQ (length ("id: 1\r\ndata: a\r\n\r\nid"), 18u);
}

TEST (Sse, IncompleteEventHasNoLength)
{
  EXPECT_EQ (length (""), 0u);
  EXPECT_EQ (length ("\n"), 0u);
  EXPECT_EQ (length ("id: 1\ndata: a\n"), 0u);
  EXPECT_EQ (length ("id: 1\r\ndata: a\r\n\r"), 0u);
}

TEST (Sse, IdIsFoundOnAnyLine)
{
  EXPECT_EQ (id_of ("id: 7\ndata: a\n\n"), 7);
  EXPECT_EQ (id_of ("data: id: 9\nid:8\n\n"), 8);
  EXPECT_EQ (id_of ("id: 7\r\ndata: a\r\n\r\n"), 7);
  EXPECT_EQ (id_of ("data: a\n\n"), -1);
  EXPECT_EQ (id_of ("id:\n\n"), -1);
}

// Guards against an id that is no number, or too large for one, and is taken
// for a number: the event would count as one that was relayed before.
TEST (Sse, IdsThatAreNoNumbersAreInvalid)
{
  for (const char *id :
       { "", " ", "x", "-1", "+1", "1x", "0x1", "1.5", "1 2", "\t", "/", ":",
         "18446744073709551616", "99999999999999999999999999" })
    EXPECT_EQ (kind_of ("id:" + std::string (id) + "\ndata: a\n\n"),
               SSE_ID_INVALID)
        << id;
  EXPECT_EQ (kind_of ("id\ndata: a\n\n"), SSE_ID_INVALID);
  EXPECT_EQ (kind_of ("id:\r\ndata: a\r\n\r\n"), SSE_ID_INVALID);
  EXPECT_EQ (kind_of ("data: a\n\n"), SSE_ID_NONE);
  EXPECT_EQ (kind_of ("idx: 1\ndata: a\n\n"), SSE_ID_NONE);
  EXPECT_EQ (kind_of ("data: a\n id: 1\n\n"), SSE_ID_NONE);
}

TEST (Sse, NumbersOfAllSizesAreRead)
{
  EXPECT_EQ (id_of ("id:0\n\n"), 0);
  EXPECT_EQ (id_of ("id: 007 \n\n"), 7);
  EXPECT_EQ (id_of ("id: 9223372036854775807\n\n"), INT64_MAX);
  EXPECT_EQ (kind_of ("id: 18446744073709551615\n\n"), SSE_ID_NUMBER);
}

TEST (Sse, LastIdOfAnEventCounts)
{
  EXPECT_EQ (id_of ("id: 1\nid: 2\n\n"), 2);
  EXPECT_EQ (kind_of ("id: 1\nid: x\n\n"), SSE_ID_INVALID);
}

// More digits of the id may still arrive.
TEST (Sse, UnterminatedLineHasNoId) { EXPECT_EQ (id_of ("id: 7"), -1); }

// Guards against an end that is missed because it stands across the place up
// to which the bytes had been searched.
TEST (Sse, SearchGoesOnWhereItStopped)
{
  for (const std::string &event : { std::string ("id: 1\ndata: a\n\n"),
                                    std::string ("id: 1\r\ndata: a\r\n\r\n") })
    for (uint32_t scanned = 0; scanned < event.size (); scanned++)
      EXPECT_EQ (sse_event_length ({ event.data (), (uint32_t)event.size () },
                                   scanned),
                 event.size ())
          << scanned;
}

TEST (Sse, CommentsAreToldFromEvents)
{
  auto is_comment = [] (const std::string &event) {
    return sse_event_is_comment ({ event.data (), (uint32_t)event.size () });
  };
  EXPECT_TRUE (is_comment (": a\n\n"));
  EXPECT_TRUE (is_comment (": a\r\n: b\r\n\r\n"));
  EXPECT_FALSE (is_comment (": a\ndata: b\n\n"));
  EXPECT_FALSE (is_comment ("data: b\n\n"));
}

} // namespace
