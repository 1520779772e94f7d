// Parsing a document element by element must give the same result as parsing
// it as one tree, and must reject whatever that rejects.
#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

extern "C"
{
#include "protocol/json_scan.h"
#include "protocol/json_walk.h"
}

namespace
{

kb_slice_t
slice_of (const std::string &text)
{
  return { text.data (), (uint32_t)text.size () };
}

kb_status_t
collect (void *arg, struct json_object *element, kb_error_t *)
{
  static_cast<std::vector<std::string> *> (arg)->push_back (
      json_object_to_json_string_ext (element, JSON_C_TO_STRING_PLAIN));
  return KB_OK;
}

/// @return  The text parsed as one tree and serialized, or "refused".
std::string
parse_tree (const std::string &text)
{
  struct json_object *doc = nullptr;
  kb_error_t error = {};
  if (jsn_parse_text ("t", slice_of (text), &doc, &error) != KB_OK)
    return "refused";
  std::string out
      = json_object_to_json_string_ext (doc, JSON_C_TO_STRING_PLAIN);
  json_object_put (doc);
  return out;
}

/// @return  The same with the list "Routes" parsed element by element.
std::string
parse_by_walk (const std::string &text)
{
  struct json_object *doc = nullptr;
  kb_error_t error = {};
  std::vector<std::string> elements;
  if (jsn_walk_list ("t", slice_of (text), "Routes", &doc, collect, &elements,
                     &error)
      != KB_OK)
    {
      EXPECT_EQ (doc, nullptr);
      EXPECT_NE (std::string (error.message), "");
      return "refused";
    }
  // Restore the list from its elements.
  struct json_object *list = jsn_list (doc, "Routes");
  for (const std::string &element : elements)
    json_object_array_add (list, json_tokener_parse (element.c_str ()));
  std::string out
      = json_object_to_json_string_ext (doc, JSON_C_TO_STRING_PLAIN);
  json_object_put (doc);
  return out;
}

const std::string kSample
    = "{\"Version\":7, // a comment, with ] and \"\n"
      " \"Services\":[{\"Name\":\"s\",\"Routes\":[1,2]}],"
      " \"Routes\" : [ {\"a\":\"x]\\\"},\",\"b\":[1,{}]} , /* [ */ "
      "{\"c\":{\"d\":[]}}, {} ] , \"Limits\":{} }";

TEST (JsonWalk, MatchesTreeParse)
{
  const std::string texts[] = {
    kSample,
    "{\"Routes\":[]}",
    "{\"Routes\":[ ]}",
    "{\"Routes\":[{\"a\":1}]}",
    "{\"Routes\":{}}",
    "{\"Routes\":null}",
    "{}",
    "[]",
    "{\"a\":{\"Routes\":[1]},\"b\":2}",
  };
  for (const std::string &text : texts)
    EXPECT_EQ (parse_by_walk (text), parse_tree (text)) << text;
}

TEST (JsonWalk, RejectsWhatTreeParseRejects)
{
  const std::string texts[] = {
    "",
    "{",
    "{\"Routes\":[",
    "{\"Routes\":[,{}]}",
    "{\"Routes\":[{},,{}]}",
    "{\"Routes\":[{} {}]}",
    "{\"Routes\":[{}}]",
    "{\"Routes\":[{\"a\":1,\"a\":2}]}",
    "{\"Routes\":[{}],\"Routes\":[{}]}",
    "{\"Routes\":[{}]} x",
    "{\"Routes\":[\"open]}",
  };
  for (const std::string &text : texts)
    {
      EXPECT_EQ (parse_tree (text), "refused") << text;
      EXPECT_EQ (parse_by_walk (text), "refused") << text;
    }
}

TEST (JsonWalk, RejectsElementsThatAreNotObjects)
{
  for (const char *text :
       { "{\"Routes\":[1]}", "{\"Routes\":[\"one\"]}", "{\"Routes\":[{},]}" })
    EXPECT_EQ (parse_by_walk (text), "refused") << text;
}

// Random bytes of a document are removed, inserted and changed.
TEST (JsonWalk, MatchesTreeParseOnDamagedText)
{
  int accepted = 0;
  std::mt19937 random (1);
  const std::string bytes = "{}[],:\"\\/* \n1a";
  for (int i = 0; i < 20000; i++)
    {
      std::string text = kSample;
      int changes = 1 + (int)(random () % 3);
      for (int c = 0; c < changes; c++)
        {
          size_t at = random () % text.size ();
          switch (random () % 3)
            {
            case 0:
              text.erase (at, 1 + random () % 3);
              break;
            case 1:
              text.insert (at, 1, bytes[random () % bytes.size ()]);
              break;
            default:
              text[at] = bytes[random () % bytes.size ()];
              break;
            }
        }
      std::string got = parse_by_walk (text);
      if (got == "refused")
        continue;
      accepted++;
      ASSERT_EQ (got, parse_tree (text)) << text;
    }
  EXPECT_GT (accepted, 1000);
}

// A text can end within an escape, a literal or a comment. If the cursor moved
// past the end, its user would read beyond the text.
TEST (JsonWalk, CursorStaysWithinText)
{
  const std::string texts[] = { kSample, "\"a\\", "\"", "/*", "/* *", "//" };
  for (const std::string &full_text : texts)
    for (size_t len = 0; len <= full_text.size (); len++)
      for (size_t at = 0; at < len; at++)
        {
          jsc_cursor_t c = { { full_text.data (), (uint32_t)len }, at };
          jsc_cursor_t string = c;
          jsc_read_string (&string);
          EXPECT_LE (string.at, len);
          if (jsc_is_comment (&c))
            jsc_skip_comment (&c);
          EXPECT_LE (c.at, len);
        }
}

// The message of an error states which element is invalid.
TEST (JsonWalk, ErrorNamesTheElement)
{
  struct json_object *doc = nullptr;
  kb_error_t error = {};
  std::vector<std::string> elements;
  std::string text = "{\"Routes\":[{\"a\":1},{\"a\" 2}]}";
  EXPECT_EQ (jsn_walk_list ("configuration", slice_of (text), "Routes", &doc,
                            collect, &elements, &error),
             KB_EINVAL);
  EXPECT_NE (std::string (error.message).find ("configuration, Routes 2"),
             std::string::npos)
      << error.message;
}

kb_status_t
collect_text (void *arg, uint32_t, kb_slice_t text, kb_error_t *)
{
  static_cast<std::vector<std::string> *> (arg)->emplace_back (text.ptr,
                                                               text.len_bytes);
  return KB_OK;
}

// Guards against a walk that ends at an element that cannot be parsed.
TEST (JsonWalk, TextsGoOnAfterAnElementThatCannotBeParsed)
{
  std::string text = "{\"a\":1,\"Routes\":[{\"x\":[}],7e,{\"y\":2}]}";
  struct json_object *rest = nullptr;
  kb_error_t error = {};
  std::vector<std::string> texts;
  EXPECT_EQ (jsn_walk_texts ("t", slice_of (text), "Routes", &rest,
                             collect_text, &texts, &error),
             KB_OK)
      << error.message;
  EXPECT_EQ (texts,
             (std::vector<std::string>{ "{\"x\":[}]", "7e", "{\"y\":2}" }));
  EXPECT_NE (rest, nullptr);
  json_object_put (rest);
}

// Guards against elements that a bracket left open swallows without a word.
TEST (JsonWalk, TextsEndWithAnErrorWithinAnElement)
{
  std::string text = "{\"Routes\":[{\"x\":[[},{\"y\":2}]}";
  struct json_object *rest = nullptr;
  kb_error_t error = {};
  std::vector<std::string> texts;
  EXPECT_EQ (jsn_walk_texts ("t", slice_of (text), "Routes", &rest,
                             collect_text, &texts, &error),
             KB_EINVAL);
  EXPECT_EQ (rest, nullptr);
}

} // namespace
