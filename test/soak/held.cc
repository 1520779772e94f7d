#include "held.h"

#include <algorithm>

namespace relay
{

using std::chrono::milliseconds;

namespace
{

/// A request counts as starting until so long after its first event, and its
/// target may end so long after it closed the answer.
constexpr milliseconds kStartup (150);
/// A gateway sees events and ends of targets later than they happen.
constexpr milliseconds kDelay (100);
/// Ends during a request after which it may be held.
constexpr int kMinEndsHeld = 3;

bool
is_starting (const Work &work, Work::Moment end, milliseconds delay)
{
  if (work.from > end || (work.is_whole && end > work.to))
    return false;
  bool is_begun = work.first_event != Work::Moment::max ();
  if (is_begun
      && std::min (work.to, end) > work.first_event + kStartup + delay)
    return false;
  return work.to == Work::Moment::max () || end <= work.to + kStartup + delay;
}

bool
is_alone (const TargetLife &life, const Work &work, Work::Moment end)
{
  // Nothing starts alone at a target that has not answered since another start
  // was over.
  for (const Work &other : life.work)
    if (other.subject != work.subject && other.to >= work.from
        && is_starting (other, end, milliseconds (0)))
      return false;
  return true;
}

} // namespace

CausableEnds
causable_ends (const std::vector<TargetLife> &lives,
               const std::string &subject,
               const std::set<std::string> &claimed)
{
  CausableEnds sum;
  for (const TargetLife &life : lives)
    for (Work::Moment end : life.ends)
      {
        bool is_causable = false;
        bool was_alone = false;
        for (const Work &work : life.work)
          {
            if (work.subject != subject || !is_starting (work, end, kDelay))
              continue;
            is_causable = true;
            was_alone = was_alone
                        || (claimed.count (work.id) > 0
                            && is_alone (life, work, end));
          }
        sum.count += is_causable;
        sum.alone += was_alone;
      }
  return sum;
}

std::set<std::string>
wrong_claims (const std::vector<TargetLife> &lives,
              const std::set<std::string> &claimed)
{
  std::set<std::string> wrong;
  for (const TargetLife &life : lives)
    for (const Work &work : life.work)
      if (claimed.count (work.id) > 0
          && causable_ends (lives, work.subject, { work.id }).alone == 0)
        wrong.insert (work.id);
  return wrong;
}

bool
is_hold_justified (const std::vector<TargetLife> &lives,
                   const std::string &subject,
                   const std::set<std::string> &claimed)
{
  std::set<std::string> wrong = wrong_claims (lives, claimed);
  for (const TargetLife &life : lives)
    for (const Work &work : life.work)
      if (work.subject == subject && wrong.count (work.id) > 0)
        return false;
  CausableEnds ends = causable_ends (lives, subject, claimed);
  return ends.count >= kMinEndsHeld && ends.alone > 0;
}

} // namespace relay
