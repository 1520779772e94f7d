// Decoding of the store's answers, of which any item may be odd.
#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

extern "C"
{
#include "page.h"
}

namespace
{

/// An answer with these items, decoded.
class Page
{
public:
  explicit Page (const std::string &items,
                 const std::string &members = ",\"AsOf\":9")
      : text_ ("{\"items\":[" + items + "]" + members + "}")
  {
    status = pag_decode (&page, { text_.data (), (uint32_t)text_.size () },
                         "items", &error);
  }
  ~Page () { pag_finish (&page); }
  /// @return  Each item as "key=value", "key!" if unreadable, "key-" if gone.
  std::vector<std::string>
  items () const
  {
    std::vector<std::string> out;
    for (uint32_t i = 0; i < page.item_count; i++)
      {
        const pag_item_t &item = page.items[i];
        std::string value (item.value.ptr == nullptr ? "" : item.value.ptr,
                           item.value.len_bytes);
        out.push_back (item.key
                       + (item.is_gone            ? "-"
                          : item.fault != nullptr ? "!"
                                                  : "=" + value));
      }
    return out;
  }
  kb_error_t error = {};
  kb_status_t status;
  pag_page_t page;

private:
  std::string text_;
};

std::string
repeated (const std::string &text, int count)
{
  std::string out;
  for (int i = 0; i < count; i++)
    out += text;
  return out;
}

std::string
nested (int depth)
{
  return repeated ("[", depth) + repeated ("]", depth);
}

const char kBefore[] = "{\"Key\":\"a\",\"Revision\":3,\"Value\":\"dg==\"},";
const char kAfter[] = ",{\"Key\":\"z\",\"Revision\":4,\"Tombstone\":true}";

// Guards against an odd item that costs the items beside it.
TEST (Page, OddItemCostsNoOther)
{
  const std::vector<std::pair<std::string, std::vector<std::string>>> cases = {
    { R"({"Key":"k","Revision":5,"Value":)" + nested (40) + "}", { "k!" } },
    { R"({"Key":"k","Revision":5,"Value":)" + nested (300000) + "}",
      { "k!" } },
    { R"({"x":{"y":)" + nested (300000) + R"(},"Key":"k","Value":"dg=="})",
      { "k=v" } },
    { R"({"Key":"k","Value":"","Value":"dg=="})", { "k!" } },
    { R"({"Key":"k","Key":"l","Value":"dg=="})", {} },
    { R"({"Key":"k","Value":7})", { "k!" } },
    { R"({"Key":"k","Value":null})", { "k!" } },
    { R"({"Key":"k"})", { "k!" } },
    { R"({"Key":"k","Value":"dg"})", { "k!" } },
    { R"({"Key":"k","Value":"dg==\u0000dg=="})", { "k!" } },
    { R"({"Key":"k","Tombstone":"yes"})", { "k!" } },
    { R"({"Key":"k","Tombstone":true,"x":)" + nested (40) + "}", { "k-" } },
    { R"({"Key":"k","Lease":)" + std::string (100000, '9')
          + R"(,"Value":"dg=="})",
      { "k=v" } },
    { R"({"Key":"k","Lease":1e400,"Value":"dg=="})", { "k=v" } },
    { R"({"Key":7,"Value":"dg=="})", {} },
    { R"({"Key":"","Value":"dg=="})", {} },
    { R"({"Key":"k\u0000l","Value":"dg=="})", {} },
    { R"({"Key":")" + std::string (256, 'k') + R"(","Value":"dg=="})", {} },
    { R"({"Value":"dg=="})", {} },
    { "null", {} },
    { "7", {} },
    { "\"Key\"", {} },
    { nested (300000), {} },
    { "{\"Key\"}", {} },
    { "{}", {} },
  };
  for (const auto &[odd, expected] : cases)
    {
      SCOPED_TRACE (odd.substr (0, 70));
      Page page (kBefore + odd + kAfter);
      ASSERT_EQ (page.status, KB_OK) << page.error.message;
      std::vector<std::string> all = { "a=v" };
      all.insert (all.end (), expected.begin (), expected.end ());
      all.push_back ("z-");
      EXPECT_EQ (page.items (), all);
      EXPECT_EQ (page.page.unnamed_count + page.page.invalid_key_count,
                 expected.empty () ? 1u : 0u);
    }
}

// Guards against an answer that is not a list and is taken for an empty one.
TEST (Page, AnswerWithoutItsListOrRevisionIsInvalid)
{
  for (const char *members :
       { "", ",\"AsOf\":0", ",\"AsOf\":-1", ",\"AsOf\":\"9\"",
         ",\"AsOf\":1e400", ",\"AsOf\":99999999999999999999", ",\"AsOf\":null",
         ",\"AsOf\":9,\"AsOf\":9", ",\"AsOf\":9,\"Truncated\":1",
         ",\"AsOf\":9,\"Truncated\":null", ",\"AsOf\":9,\"items\":[]",
         ",\"AsOf\":9}{" })
    {
      SCOPED_TRACE (members);
      Page page (kBefore + std::string ("null"), members);
      EXPECT_NE (page.status, KB_OK);
    }
  for (const char *text :
       { "", "{}", "[]", "null", "{\"AsOf\":9}", "{\"items\":{},\"AsOf\":9}",
         "{\"\\u0069tems\":[{\"Key\":\"k\"}],\"AsOf\":9}",
         "{\"items\":[{\"a\":]}],\"AsOf\":9}", "{\"items\":[\"],\"AsOf\":9}" })
    {
      SCOPED_TRACE (text);
      pag_page_t page;
      kb_error_t error = {};
      EXPECT_NE (pag_decode (&page, kb_slice_str (text), "items", &error),
                 KB_OK);
      EXPECT_NE (error.message[0], '\0');
      pag_finish (&page);
    }
}

// Guards against an odd revision that hides all later changes of its item.
TEST (Page, RevisionIsWithinThatOfTheAnswer)
{
  for (const char *revision :
       { "0", "-1", "10", "1e400", "\"7\"", "null", "[7]",
         "99999999999999999999", "9223372036854775807" })
    {
      SCOPED_TRACE (revision);
      Page page (R"({"Key":"k","Revision":)" + std::string (revision)
                 + R"(,"Value":"dg=="})");
      ASSERT_EQ (page.status, KB_OK);
      ASSERT_EQ (page.page.item_count, 1u);
      EXPECT_EQ (page.page.items[0].revision, 9u);
    }
  Page page (kBefore + std::string ("null"));
  EXPECT_EQ (page.page.items[0].revision, 3u);
}

// Guards against a page that goes on behind the wrong key.
TEST (Page, LastKeyIsTheLastThatCanBeRead)
{
  Page page (kBefore + std::string (R"({"Key":"long)") + std::string (300, 'k')
                 + R"(","Value":""},{"Key":7},{"Key":""},null)",
             ",\"AsOf\":9,\"Truncated\":true");
  ASSERT_EQ (page.status, KB_OK);
  EXPECT_TRUE (page.page.is_truncated);
  EXPECT_EQ (page.page.last_key.len_bytes, 304u);
  EXPECT_EQ (page.page.unnamed_count, 2u);
}

// Guards against time that grows with the square of the number of odd items.
TEST (Page, TimeGrowsWithTheSizeOfThePage)
{
  using std::chrono::steady_clock;
  auto seconds = [] (int count) {
    std::string odd = R"({"Key":"k","Value":)" + nested (100) + "}";
    std::string items = odd;
    for (int i = 1; i < count; i++)
      items += "," + odd;
    auto began = steady_clock::now ();
    Page page (items);
    EXPECT_EQ (page.page.item_count, (uint32_t)count);
    return std::chrono::duration<double> (steady_clock::now () - began)
        .count ();
  };
  seconds (500);
  // Eight times the items; a square would be 64 times the time.
  EXPECT_LT (seconds (4000), 32 * seconds (500) + 0.01);
}

} // namespace
