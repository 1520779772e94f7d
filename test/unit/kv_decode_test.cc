// Decoding of answers of the key-value service with odd items in them.
#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "transport/kv_decode.h"
}

namespace
{

// "kb/w/a" and "v" in base64.
const std::string kGood
    = "{\"key\":\"a2Ivdy9h\",\"value\":\"dg==\",\"mod_revision\":\"3\"}";

class Range
{
public:
  explicit Range (const std::string &document)
  {
    kb_slice_t text = { document.data (), (uint32_t)document.size () };
    status = kvd_range_decode (text, &range, &error);
  }
  static Range
  of (const std::string &items)
  {
    return Range ("{\"header\":{\"revision\":\"9\"},\"kvs\":[" + items + "]}");
  }
  Range (const Range &) = delete;
  ~Range () { kvd_range_finish (&range); }
  kb_status_t status;
  kvd_range_t range;
  kb_error_t error = {};
};

void
expect_good (const kvc_item_t &item)
{
  EXPECT_STREQ (item.key, "kb/w/a");
  EXPECT_EQ (std::string (item.value.ptr, item.value.len_bytes), "v");
  EXPECT_EQ (item.mod_revision, 3u);
}

// Guards against a range lost for one item, and keys cut to another's.
TEST (KvDecode, KeyThatCannotBeOursCostsItselfAlone)
{
  std::string long_key;
  for (int i = 0; i < 40; i++)
    long_key += "YWFhYWFh"; // 240 bytes
  for (const std::string &key : { long_key, std::string ("AAAA") })
    {
      Range range = Range::of ("{\"key\":\"" + key + "\",\"value\":\"dg==\"},"
                               + kGood);
      ASSERT_EQ (range.status, KB_OK) << range.error.message;
      ASSERT_EQ (range.range.count, 1u);
      expect_good (range.range.items[0]);
      EXPECT_EQ (range.range.ignored_count, 1u);
    }
}

// Guards against a range lost for one value.
TEST (KvDecode, ValueThatCannotBeDecodedIsEmpty)
{
  for (std::string member :
       { "\"value\":\"%%%%\"", "\"value\":\"abc\"", "\"value\":7",
         "\"value\":null", "\"value\":{}" })
    {
      Range range
          = Range::of ("{\"key\":\"a2Ivdy9h\"," + member + "}," + kGood);
      ASSERT_EQ (range.status, KB_OK) << range.error.message;
      ASSERT_EQ (range.range.count, 2u);
      EXPECT_STREQ (range.range.items[0].key, "kb/w/a");
      EXPECT_EQ (range.range.items[0].value.len_bytes, 0u);
      EXPECT_EQ (range.range.items[0].mod_revision, 0u);
      expect_good (range.range.items[1]);
    }
}

// Guards against keys taken for absent because the answer is none to a read.
TEST (KvDecode, AnswerThatIsNoneProvesNoAbsence)
{
  const std::string header = "\"header\":{\"revision\":\"9\"}";
  for (const std::string &document :
       { std::string (""), std::string ("{}"), std::string ("[]"),
         std::string ("{\"kvs\":[]}"), "{" + header + ",\"kvs\":{}}",
         "{" + header + ",\"kvs\":7}", "{" + header + ",\"kvs\":[]",
         "{" + header + ",\"kvs\":[7]}", "{" + header + ",\"kvs\":[{}]}",
         "{" + header + ",\"kvs\":[{\"key\":\"%%%%\"}]}",
         std::string ("{\"header\":{\"revision\":\"x\"},\"kvs\":[]}"),
         std::string ("{\"header\":{\"revision\":\"-1\"},\"kvs\":[]}"),
         std::string ("{\"header\":7,\"kvs\":[]}") })
    {
      Range range (document);
      EXPECT_NE (range.status, KB_OK) << document;
      EXPECT_EQ (range.range.count, 0u);
    }
  EXPECT_EQ (Range ("{" + header + "}").status, KB_OK);
  EXPECT_EQ (Range ("{" + header + ",\"kvs\":[]}").status, KB_OK);
}

// Guards against a revision that wraps.
TEST (KvDecode, NumberOutOfRangeIsNone)
{
  for (std::string revision :
       { "\"-3\"", "\"3x\"", "\"\"", "\"99999999999999999999999\"", "1e400",
         "null", "{}" })
    {
      Range range = Range::of (
          "{\"key\":\"a2Ivdy9h\",\"mod_revision\":" + revision + "}");
      ASSERT_EQ (range.status, KB_OK) << revision;
      EXPECT_EQ (range.range.items[0].mod_revision, 0u) << revision;
    }
}

} // namespace
