#include "plan.h"

#include <random>

namespace relay
{

namespace
{

struct KindInfo
{
  const char *name;
  int least_ms; ///< Shortest and longest time that it lasts.
  int most_ms;
};

constexpr KindInfo kKinds[] = {
  { "kill", 0, 0 },
  { "terminate", 0, 0 },
  { "pause", 50, 2500 },
  { "hangup", 0, 0 },
  { "reset_links", 0, 0 },
  { "silence_links", 0, 0 },
  { "cut", 100, 2500 },
  { "cut_one_way", 100, 2500 },
  { "delay", 100, 1500 },
  { "store_away", 100, 3000 },
  { "forget_history", 0, 0 },
  { "configuration", 0, 0 },
  { "adapter_version", 0, 0 },
  { "failing_target", 0, 0 },
  { "restart_engine", 0, 0 },
  { "target_born_again", 0, 0 },
  { "late_entry", 0, 0 },
  { "strange_entry", 50, 1500 },
  { "store_mute", 50, 2500 },
  { "stated_limit", 0, 0 },
  { "stated_leaving", 0, 0 },
  { "stated_pause", 200, 1500 },
};
constexpr int kFirstKinds = 15;
constexpr int kKindsWithoutStatements = 19;
constexpr int kLeastGapMs = 20;
constexpr int kMostGapMs = 350;

} // namespace

std::vector<Step>
draw_plan (uint64_t seed, int length_ms)
{
  std::mt19937_64 random (seed);
  auto draw = [&] (int low, int high) {
    return std::uniform_int_distribution<> (low, high) (random);
  };
  std::vector<Step> plan;
  int kinds = (int)std::size (kKinds);
  if (seed <= kLastSeedWithoutStatements)
    kinds = kKindsWithoutStatements;
  if (seed <= kLastSeedOfFirstKinds)
    kinds = kFirstKinds;
  int at_ms = 0;
  for (;;)
    {
      at_ms += draw (kLeastGapMs, kMostGapMs);
      Step step;
      step.at_ms = at_ms;
      int kind = draw (0, kinds - 1);
      step.kind = (Kind)kind;
      step.for_ms = draw (kKinds[kind].least_ms, kKinds[kind].most_ms);
      step.who = draw (0, 1 << 20);
      step.how = draw (0, 1 << 20);
      if (at_ms + step.for_ms > length_ms)
        return plan;
      plan.push_back (step);
    }
}

std::string
describe (const Step &step)
{
  std::string text = std::to_string (step.at_ms) + " ms "
                     + kKinds[(int)step.kind].name + " who "
                     + std::to_string (step.who) + " how "
                     + std::to_string (step.how);
  if (step.for_ms > 0)
    text += " for " + std::to_string (step.for_ms) + " ms";
  return text;
}

std::string
describe (const std::vector<Step> &plan)
{
  std::string text;
  for (const Step &step : plan)
    text += "  " + describe (step) + "\n";
  return text;
}

} // namespace relay
