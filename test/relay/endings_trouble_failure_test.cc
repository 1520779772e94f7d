// A request that ends each target after it got bytes that are no answer, while
// other things fail: the store, the list of targets, an entry.
#include <gtest/gtest.h>

#include <signal.h>

#include "fatal.h"

namespace relay
{
namespace
{

struct Trouble
{
  const char *name;
  bool is_store_away;
  int relist_delay_ms;
  bool restarts_entry; ///< Once three targets have ended.
};

std::ostream &
operator<< (std::ostream &out, const Trouble &trouble)
{
  return out << trouble.name;
}

class EndingsInTrouble : public testing::TestWithParam<Trouble>
{
protected:
  void
  expect_few_ends (Site &site, Call (*call_of) (int))
  {
    const Trouble &trouble = GetParam ();
    set_crash_answer (site, CrashAnswer::NOT_HTTP);
    ASSERT_TRUE (site.wait_ready ());
    site.relist_delay_ms = trouble.relist_delay_ms;
    site.crash_on_path ("/fatal");
    if (trouble.is_store_away)
      {
        site.store.set_mode (Store::RESET);
        site.mirror_store.set_mode (Store::RESET);
      }
    int attempt = send_until_ends (site, call_of, 3);
    ASSERT_GE (site.crash_count (), 3);
    std::this_thread::sleep_for (std::chrono::milliseconds (kPropagationMs));
    if (trouble.restarts_entry)
      {
        site.restart (&site.gateways[0].daemon, SIGKILL);
        ASSERT_TRUE (site.wait_ready ());
      }
    EXPECT_LE (send_more (site, call_of, attempt, 12), kMaxEndsAfterThird);
  }
};

// Guards against ends that count for nobody, because what proves them comes
// late or from elsewhere.
TEST_P (EndingsInTrouble, FatalRequestReachesFewEngines)
{
  Site site (6, 0, 2);
  expect_few_ends (site, fatal_stream);
}

// Guards against the same at plain targets.
TEST_P (EndingsInTrouble, FatalRequestReachesFewPlainTargets)
{
  Site site (1, 6, 2);
  expect_few_ends (site, fatal_plain);
}

INSTANTIATE_TEST_SUITE_P (
    Kinds, EndingsInTrouble,
    testing::Values (Trouble{ "StoreAway", true, 0, false },
                     Trouble{ "ListedLate", false, 600, false },
                     Trouble{ "EntryRestarted", false, 0, true },
                     Trouble{ "ListedLateEntryRestarted", false, 600, true }),
    [] (const testing::TestParamInfo<Trouble> &info) {
      return std::string (info.param.name);
    });

} // namespace
} // namespace relay
