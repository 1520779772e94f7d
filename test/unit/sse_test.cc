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
  bool has_id = sse_event_id ({ event.data (), (uint32_t)event.size () }, &id);
  return has_id ? (int64_t)id : -1;
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
