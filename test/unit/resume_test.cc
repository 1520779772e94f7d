// Which version of its adapter may continue a stream that broke off.
#include <gtest/gtest.h>

extern "C"
{
#include "coordination/resume.h"
}

namespace
{

constexpr rsm_bounds_t kBounds = { 5000, 8000 };
/// Version 2 was read by 100,700; a read that began at 100,000 lacked it.
constexpr rsm_versions_t kVersions = { 2, 0, 100000, 100700 };
constexpr rsm_versions_t kUndeclared = { 0, 0, 0, 0 };

struct Judgement
{
  rsm_verdict_t verdict;
  uint32_t version;
};

Judgement
judge (const rsm_versions_t &versions, uint32_t began, uint64_t now_ms)
{
  Judgement result{};
  result.verdict
      = rsm_judge (&versions, &kBounds, began, now_ms, &result.version);
  return result;
}

// Guards against a stream that goes on at another version than its own.
TEST (Resume, AStreamGoesOnAtItsVersion)
{
  for (uint32_t began : { 1u, 2u, 3u })
    {
      Judgement result = judge (kVersions, began, 101000);
      EXPECT_EQ (result.verdict, RSM_EXACT);
      EXPECT_EQ (result.version, began);
    }
  EXPECT_EQ (judge (kUndeclared, 1, 1).verdict, RSM_EXACT);
}

// Guards against an older version that begins to serve after the bound.
TEST (Resume, AnOlderVersionIsGoneWellBeforeItsBound)
{
  uint64_t last_ms = 0;
  for (uint64_t now_ms = 100000; now_ms < 110000; now_ms++)
    if (judge (kVersions, 1, now_ms).verdict == RSM_EXACT)
      last_ms = now_ms;
    else
      EXPECT_EQ (judge (kVersions, 1, now_ms).verdict, RSM_GONE);
  EXPECT_GE (last_ms, 102000u);
  EXPECT_LE (last_ms, 103000u);
  EXPECT_EQ (judge (kVersions, 2, 200000).verdict, RSM_EXACT);
}

// Guards against an older version that is resumed by a process that can't tell
// since when there is a newer one.
TEST (Resume, AnOlderVersionIsGoneIfTheNewerOneHasNoKnownAge)
{
  rsm_versions_t versions = { 2, 0, 0, 100700 };
  EXPECT_EQ (judge (versions, 1, 100700).verdict, RSM_GONE);
}

// Guards against a version that two newer ones replaced, the first of them
// longer ago than the bound.
TEST (Resume, OnlyTheVersionBeforeTheNewestOneIsResumed)
{
  rsm_versions_t versions = { 3, 2, 100000, 100700 };
  EXPECT_EQ (judge (versions, 2, 101000).verdict, RSM_EXACT);
  EXPECT_EQ (judge (versions, 1, 101000).verdict, RSM_GONE);
}

// Guards against what isn't known and is taken for proof.
TEST (Resume, AnUnknownVersionIsTheNewestOnlyOnceAllOlderStreamsHaveEnded)
{
  EXPECT_EQ (judge (kVersions, 0, 100700).verdict, RSM_UNKNOWN);
  EXPECT_EQ (judge (kVersions, 0, 113700).verdict, RSM_UNKNOWN);
  Judgement result = judge (kVersions, 0, 113701);
  EXPECT_EQ (result.verdict, RSM_EXACT);
  EXPECT_EQ (result.version, 2u);
}

// Guards against a version that was declared while this process ran and is
// taken for the only one.
TEST (Resume, AVersionThatWasThereAtTheStartIsTheOnlyOneUntilAnotherIsSeen)
{
  rsm_versions_t at_start = { 2, 0, 0, 100700 };
  rsm_versions_t second = { 3, 2, 0, 100700 };
  EXPECT_TRUE (rsm_is_only_version (&at_start));
  EXPECT_FALSE (rsm_is_only_version (&second));
  EXPECT_FALSE (rsm_is_only_version (&kVersions));
  EXPECT_FALSE (rsm_is_only_version (&kUndeclared));
  EXPECT_EQ (judge (at_start, 0, 100700).verdict, RSM_UNKNOWN);
}

// Guards against refusals for adapters of which no version was declared.
TEST (Resume, AnUnknownVersionOfAnUndeclaredAdapterIsAny)
{
  EXPECT_EQ (judge (kUndeclared, 0, 1).verdict, RSM_ANY);
}

} // namespace
