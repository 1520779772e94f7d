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
  return sse_event_length ({ bytes.data (), (uint32_t)bytes.size () });
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

} // namespace
