// Records in the key-value service that decide who owns a target or a shard.
#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "protocol/fence.h"
#include "protocol/shardmap.h"
}

namespace
{

kb_slice_t
slice_of (const std::string &text)
{
  return { text.data (), (uint32_t)text.size () };
}

std::string
record_with (const std::string &fence,
             const std::string &incarnation = "\"0123456789abcdef\"",
             const std::string &state = "\"live\"",
             const std::string &since = "5")
{
  return "{\"fence\":" + fence + ",\"incarnation\":" + incarnation
         + ",\"state\":" + state + ",\"memory_since\":" + since + "}";
}

TEST (Fence, RecordIsReadAsItWasWritten)
{
  fnc_record_t written = { 7, 0x123456789abcdef, 5, true };
  kb_buf_t text = {};
  fnc_record_write (&written, &text);
  fnc_record_t read;
  ASSERT_TRUE (fnc_record_parse (kb_buf_slice (&text), &read));
  EXPECT_EQ (read.fence, 7u);
  EXPECT_EQ (read.incarnation, 0x123456789abcdefu);
  EXPECT_EQ (read.memory_since_wall_ms, 5u);
  EXPECT_TRUE (read.has_left);
  kb_buf_finish (&text);
  ASSERT_TRUE (fnc_record_parse (slice_of (record_with ("7")), &read));
  EXPECT_FALSE (read.has_left);
}

// Guards against a number that cannot be read and counts as zero or wraps.
TEST (Fence, OddRecordIsNoRecord)
{
  const std::string forms[] = {
    "",
    "{}",
    "7",
    "null",
    std::string (40, '[') + std::string (40, ']'),
    std::string (300000, '['),
    record_with ("0"),
    record_with ("-1"),
    record_with ("1.5"),
    record_with ("\"7\""),
    record_with ("null"),
    record_with ("NaN"),
    record_with ("1e400"),
    record_with ("9007199254740992"),
    record_with ("9223372036854775807"),
    record_with ("18446744073709551615"),
    record_with (std::string (400, '9')),
    record_with (std::string (100000, '9')),
    record_with ("7,\"fence\":8"),
    record_with ("7", "\"12\""),
    record_with ("7", "\"0123456789ABCDEF\""),
    record_with ("7", "7"),
    record_with ("7", "\"0123456789abcdef\"", "\"other\""),
    record_with ("7", "\"0123456789abcdef\"", "\"live\"", "-1"),
    record_with ("7", "\"0123456789abcdef\"", "\"live\"", "1e3"),
    record_with ("7") + record_with ("7"),
  };
  for (const std::string &form : forms)
    {
      fnc_record_t read;
      EXPECT_FALSE (fnc_record_parse (slice_of (form), &read))
          << form.substr (0, 80);
    }
}

/// @return  A map whose first shard is this element.
std::string
map_with (const std::string &element)
{
  std::string text = "{\"shards\":[" + element;
  for (int s = 1; s < SHM_SHARDS; s++)
    text += ",{\"o\":\"e\",\"i\":\"0123456789abcdef\",\"e\":3}";
  return text + "]}";
}

// Guards against an epoch that cannot be read and counts as zero.
TEST (ShardMap, OneOddElementSpoilsTheMap)
{
  shm_shard_t read[SHM_SHARDS];
  const std::string i = "\"i\":\"0123456789abcdef\"";
  ASSERT_TRUE (shm_parse (
      slice_of (map_with ("{\"o\":\"\"," + i + ",\"e\":0}")), read));
  EXPECT_EQ (read[1].epoch, 3u);
  EXPECT_EQ (read[1].incarnation, 0x123456789abcdefu);
  for (const std::string &form :
       { std::string ("7"), std::string ("{}"), "{\"o\":\"e\"," + i + "}",
         "{\"o\":\"e\"," + i + ",\"e\":-1}",
         "{\"o\":\"e\"," + i + ",\"e\":\"3\"}",
         "{\"o\":\"e\"," + i + ",\"e\":1e400}",
         "{\"o\":\"e\"," + i + ",\"e\":9223372036854775807}",
         "{\"o\":\"" + std::string (48, 'e') + "\"," + i + ",\"e\":3}",
         "{\"o\":7," + i + ",\"e\":3}",
         std::string ("{\"o\":\"e\",\"i\":\"x\",\"e\":3}"),
         std::string ("{\"o\":\"e\",\"e\":3}") })
    EXPECT_FALSE (shm_parse (slice_of (map_with (form)), read)) << form;
}

} // namespace
