// Buffers and the accounts that they charge.
#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "state/buf.h"
}

namespace
{

std::string
text_of (const kb_buf_t &buf)
{
  return std::string (buf.ptr, buf.len_bytes);
}

TEST (Buf, ChargesItsCapacity)
{
  kb_account_t account = {};
  kb_buf_t buf = {};
  kb_buf_append_str (&buf, "before");
  kb_buf_set_account (&buf, &account);
  EXPECT_EQ (account.held_bytes, buf.cap_bytes);
  kb_buf_append (&buf, std::string (100000, 'x').data (), 100000);
  EXPECT_EQ (account.held_bytes, buf.cap_bytes);
  EXPECT_GE (account.held_bytes, 100000U);
  kb_buf_clear (&buf);
  EXPECT_EQ (account.held_bytes, buf.cap_bytes);
  kb_buf_finish (&buf);
  EXPECT_EQ (account.held_bytes, 0U);
  kb_buf_append_str (&buf, "again");
  EXPECT_EQ (account.held_bytes, buf.cap_bytes);
  kb_buf_set_account (&buf, nullptr);
  EXPECT_EQ (account.held_bytes, 0U);
  kb_buf_finish (&buf);
}

TEST (Buf, LargeOnesGrowByLessThanTheirSize)
{
  kb_buf_t buf = {};
  std::string block (65536, 'x');
  for (int i = 0; i < 32; i++)
    kb_buf_append (&buf, block.data (), block.size ());
  EXPECT_LE (buf.cap_bytes, buf.len_bytes / 2 * 3);
  EXPECT_EQ (buf.len_bytes, 32 * block.size ());
  kb_buf_finish (&buf);
}

TEST (Buf, MovesWithItsCharge)
{
  kb_account_t account = {};
  kb_buf_t from = {};
  kb_buf_t to = {};
  kb_buf_set_account (&from, &account);
  kb_buf_append_str (&from, "text");
  kb_buf_move (&from, &to);
  EXPECT_EQ (text_of (to), "text");
  EXPECT_EQ (account.held_bytes, to.cap_bytes);
  kb_buf_append_str (&from, "more");
  EXPECT_EQ (account.held_bytes, to.cap_bytes + from.cap_bytes);
  kb_buf_finish (&to);
  kb_buf_finish (&from);
  EXPECT_EQ (account.held_bytes, 0U);
}

TEST (Buf, SharedOneLivesUntilItsLastOwnerLeaves)
{
  kb_account_t account = {};
  kb_shared_t *shared = kb_shared_create (&account);
  kb_buf_append_str (&shared->buf, "text");
  EXPECT_EQ (kb_shared_ref (shared), shared);
  kb_shared_unref (shared);
  EXPECT_GT (account.held_bytes, 0U);
  EXPECT_EQ (text_of (shared->buf), "text");
  kb_shared_unref (shared);
  EXPECT_EQ (account.held_bytes, 0U);
  EXPECT_EQ (kb_shared_ref (nullptr), nullptr);
  kb_shared_unref (nullptr);
}

} // namespace
