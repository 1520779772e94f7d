/// @file held.h
/// Whether a request was held in quarantine for good reason, by what targets
/// observed: ends of their processes, and the requests at work there.
#ifndef KB_TEST_SOAK_HELD_H
#define KB_TEST_SOAK_HELD_H

#include <set>
#include <string>
#include <vector>

#include "target_standin.h"

namespace relay
{

/// What one target observed.
struct TargetLife
{
  std::vector<Work> work;
  std::vector<Work::Moment> ends;
};

/// Ends of targets that a request may have caused.
struct CausableEnds
{
  int count = 0; ///< While it was starting there.
  int alone = 0; ///< Of these, while no other request was starting there, by
                 ///< the targets and by the daemons.
};

/// @param subject  Path and body of the request.
/// @param claimed  Attempts that daemons took for alone at an end.
CausableEnds causable_ends (const std::vector<TargetLife> &lives,
                            const std::string &subject,
                            const std::set<std::string> &claimed);
/// @return  Of the attempts that daemons took for alone at an end, those that
///          were alone at no end by what these targets observed; without those
///          that were at none of them.
std::set<std::string> wrong_claims (const std::vector<TargetLife> &lives,
                                    const std::set<std::string> &claimed);
/// @return  Whether targets ended often enough while a request was starting
///          there, alone at one of them, that it may be held, and daemons took
///          it for alone at no others.
bool is_hold_justified (const std::vector<TargetLife> &lives,
                        const std::string &subject,
                        const std::set<std::string> &claimed);

} // namespace relay

#endif
