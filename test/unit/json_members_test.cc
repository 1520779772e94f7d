// Members of an object that are read without a tree.
#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C"
{
#include "protocol/json_members.h"
}

namespace
{

kb_status_t
collect (void *arg, kb_slice_t name, kb_slice_t value, kb_error_t *)
{
  ((std::vector<std::string> *)arg)
      ->push_back (std::string (name.ptr, name.len_bytes) + "="
                   + std::string (value.ptr, value.len_bytes));
  return KB_OK;
}

kb_status_t
walk (const std::string &text, std::vector<std::string> *found,
      std::string *message = nullptr)
{
  kb_error_t error = {};
  kb_slice_t slice = { text.data (), (uint32_t)text.size () };
  kb_status_t status
      = jsn_walk_members ("body", slice, collect, found, &error);
  if (message != nullptr)
    *message = error.message;
  return status;
}

TEST (JsonMembers, PassesThemOnAsText)
{
  std::vector<std::string> found;
  ASSERT_EQ (walk (" {\"a\" : [1, {\"b\":[]}] , \"c\\\"\":\"}\",\n"
                   "\"d\":{ },\"e\":-0.5e+3,\"f\":null}\n",
                   &found),
             KB_OK);
  std::vector<std::string> wanted
      = { "a=[1, {\"b\":[]}]", "c\\\"=\"}\"", "d={ }", "e=-0.5e+3", "f=null" };
  EXPECT_EQ (found, wanted);
  found.clear ();
  EXPECT_EQ (walk ("{}", &found), KB_OK);
  EXPECT_TRUE (found.empty ());
}

TEST (JsonMembers, NamesPlaceAndReason)
{
  std::vector<std::string> found;
  std::string message;
  EXPECT_EQ (walk ("{\"a\":1,\n\n\"b\":tru}", &found, &message), KB_EINVAL);
  EXPECT_EQ (message, "body:3: a value is wrong");
  EXPECT_EQ (walk ("{\"a\":[1", &found, &message), KB_EINVAL);
  EXPECT_EQ (message, "body:1: the text ends too early");
}

TEST (JsonMembers, RefusesWhatIsNoJson)
{
  for (const char *bad : { "",
                           " ",
                           "[]",
                           "1",
                           "{",
                           "{\"a\"}",
                           "{\"a\":}",
                           "{\"a\":1,}",
                           "{\"a\":1 \"b\":2}",
                           "{a:1}",
                           "{'a':1}",
                           "{\"a\":01}",
                           "{\"a\":1.}",
                           "{\"a\":1e}",
                           "{\"a\":-}",
                           "{\"a\":[1,]}",
                           "{\"a\":[1}",
                           "{\"a\":{\"b\":1]}",
                           "{\"a\":\"\\x\"}",
                           "{\"a\":\"\\u12g4\"}",
                           "{\"a\":\"\n\"}",
                           "{\"a\":\"",
                           "{\"a\":1}}",
                           "{\"a\":1} x",
                           "{\"a\":1/**/}",
                           "{\"a\":NaN}",
                           "{\"a\":{1:2}}",
                           "{\"a\":[,1]}" })
    {
      std::vector<std::string> found;
      EXPECT_EQ (walk (bad, &found), KB_EINVAL) << bad;
    }
}

TEST (JsonMembers, RefusesEachTruncatedText)
{
  std::string text = "{\"a\":[1,{\"b\":\"\\u00e9\"}],\"c\":true,\"d\":{}}";
  std::vector<std::string> found;
  ASSERT_EQ (walk (text, &found), KB_OK);
  for (size_t len = 0; len < text.size (); len++)
    EXPECT_EQ (walk (text.substr (0, len), &found), KB_EINVAL) << len;
}

TEST (JsonMembers, LimitsTheDepth)
{
  std::vector<std::string> found;
  auto nested = [] (int depth) {
    return "{\"a\":" + std::string (depth, '[') + std::string (depth, ']')
           + "}";
  };
  EXPECT_EQ (walk (nested (31), &found), KB_OK);
  EXPECT_EQ (walk (nested (32), &found), KB_EINVAL);
}

} // namespace
