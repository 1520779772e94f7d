// A request that ends each target that begins to run it, where the clock of a
// target's VM is set back before its next incarnation starts.
#include <gtest/gtest.h>

#include "fatal.h"

namespace relay
{
namespace
{

struct Case
{
  const char *name;
  int engines;
  int plain;
  bool has_proxies;
  int64_t step_ms;
};

std::ostream &
operator<< (std::ostream &out, const Case &c)
{
  return out << c.name;
}

class SetBack : public testing::TestWithParam<Case>
{
};

// Guards against ends that count for nobody because the next incarnation looks
// earlier than the one that ended.
TEST_P (SetBack, FatalRequestReachesFewTargets)
{
  const Case &c = GetParam ();
  Proxies proxies;
  Site site (c.engines, c.plain, 1, c.has_proxies ? &proxies : nullptr);
  ASSERT_TRUE (site.wait_ready ());
  site.crash_on_path ("/fatal");
  for (int i = 0; i < 20; i++)
    {
      send_call (site.gateways[0],
                 c.plain > 0 ? fatal_plain (i) : fatal_stream (i));
      for (const auto &target : site.plain)
        if (target->has_exited ())
          target->step_clock (c.step_ms);
      for (const Engine &engine : site.engines)
        if (engine.target->has_exited ())
          engine.target->step_clock (c.step_ms);
      site.restart_ended_targets ();
      std::this_thread::sleep_for (std::chrono::milliseconds (400));
    }
  printf ("%s: %d ends\n", c.name, site.crash_count ());
  EXPECT_LE (site.crash_count (), 3 + kMaxEndsAfterThird);
}

INSTANTIATE_TEST_SUITE_P (
    Kinds, SetBack,
    testing::Values (Case{ "PlainProxy", 1, 6, true, 0 },
                     Case{ "PlainProxyBack", 1, 6, true, -60000 },
                     Case{ "Plain", 1, 6, false, 0 },
                     Case{ "PlainBack", 1, 6, false, -60000 },
                     Case{ "EngineProxy", 6, 0, true, 0 },
                     Case{ "EngineProxyBack", 6, 0, true, -60000 },
                     Case{ "Engine", 6, 0, false, 0 },
                     Case{ "EngineBack", 6, 0, false, -60000 }),
    [] (const testing::TestParamInfo<Case> &info) {
      return std::string (info.param.name);
    });

} // namespace
} // namespace relay
