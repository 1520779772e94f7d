// Lookup of a configuration's workspaces by key.
#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "state/workspace.h"
}

namespace
{

/// Digest number n. All start their search at the same slot of the index, so
/// that lookups have to probe.
struct Digest
{
  explicit Digest (uint32_t n)
  {
    bytes[0] = 7;
    for (int i = 0; i < 4; i++)
      bytes[8 + i] = (uint8_t)(n >> 8 * i);
  }
  uint8_t bytes[WSP_DIGEST_BYTES] = { 0 };
};

TEST (WorkspaceTable, EmptyTableFindsNoKey)
{
  wsp_table_t table = {};
  wsp_seal (&table);
  EXPECT_EQ (wsp_find (&table, Digest (1).bytes), nullptr);
  wsp_finish (&table);
}

TEST (WorkspaceTable, FindsEachOfThousandWorkspacesByKey)
{
  wsp_table_t table = {};
  for (uint32_t w = 0; w < 1000; w++)
    {
      wsp_add (&table, ("w" + std::to_string (w)).c_str ());
      wsp_add_key (&table, Digest (2 * w).bytes);
      wsp_add_key (&table, Digest (2 * w + 1).bytes);
    }
  wsp_seal (&table);
  for (uint32_t k = 0; k < 2000; k++)
    {
      const wsp_workspace_t *found = wsp_find (&table, Digest (k).bytes);
      ASSERT_NE (found, nullptr);
      EXPECT_EQ (found->name, "w" + std::to_string (k / 2));
    }
  EXPECT_EQ (wsp_find (&table, Digest (2000).bytes), nullptr);
  wsp_finish (&table);
}

TEST (WorkspaceTable, FirstWorkspaceKeepsDuplicateKey)
{
  wsp_table_t table = {};
  wsp_add (&table, "red");
  wsp_add_key (&table, Digest (1).bytes);
  wsp_add (&table, "blue");
  wsp_add_key (&table, Digest (1).bytes);
  wsp_seal (&table);
  EXPECT_STREQ (wsp_find (&table, Digest (1).bytes)->name, "red");
  wsp_finish (&table);
}

} // namespace
