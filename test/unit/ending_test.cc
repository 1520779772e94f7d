// The table of the ways in which an attempt ends, row by row.
#include <gtest/gtest.h>

#include <set>
#include <string>

extern "C"
{
#include "coordination/ending.h"
}

namespace
{

// Guards against a way to end that was added without a row.
TEST (Ending, EachKindHasARowWithANameOfItsOwn)
{
  std::set<std::string> names;
  for (int kind = 0; kind < END_COUNT; kind++)
    {
      const end_row_t *row = end_row ((end_kind_t)kind);
      ASSERT_NE (row->name, nullptr) << kind;
      EXPECT_TRUE (names.insert (row->name).second) << row->name;
    }
}

// Guards against an end after which the request may have run and that proves
// nothing, so that the target's end counts for nobody.
TEST (Ending, OnlyWhatHasNotRunProvesNothing)
{
  for (int kind = 0; kind < END_COUNT; kind++)
    {
      const end_row_t *row = end_row ((end_kind_t)kind);
      EXPECT_EQ (row->proof == END_PROVES_NOTHING, !row->may_have_run)
          << row->name;
    }
}

// Guards against an end that clears a request without a whole answer.
TEST (Ending, OnlyAWholeFramedAnswerProvesServed)
{
  for (int kind = 0; kind < END_COUNT; kind++)
    EXPECT_EQ (end_row ((end_kind_t)kind)->proof == END_PROVES_SERVED,
               kind == END_ANSWERED)
        << kind;
}

// Guards against a sign of life that clears a request which the target may
// still be working on, as its connection was not ended by the target.
TEST (Ending, WhatTheTargetDidNotEndStaysSuspect)
{
  for (end_kind_t kind :
       { END_SILENT, END_EXPIRED, END_CALLER_LEFT, END_REPLACED })
    EXPECT_EQ (end_row (kind)->proof, END_SUSPECT) << end_row (kind)->name;
}

} // namespace
