/// @file fatal.h
/// Requests that crash each target that begins to run them, and are sent
/// repeatedly.
#ifndef KB_TEST_RELAY_FATAL_H
#define KB_TEST_RELAY_FATAL_H

#include "site.h"

namespace relay
{

/// By then the records of a gateway are known to all that reach the platform.
constexpr int kPropagationMs = 3000;
/// Targets that may still end after the third end and kPropagationMs.
constexpr int kMaxEndsAfterThird = 3;

/// A stream and a request to a plain service that Site::crash_on_path
/// ("/fatal") makes fatal.
/// @param attempt  Number of the attempt, for its id.
Call fatal_stream (int attempt);
Call fatal_plain (int attempt);
/// Set what fatal requests get before their targets end.
void set_crash_answer (Site &site, CrashAnswer answer);
/// Send until a number of targets have ended.
/// @param call_of  The call for an attempt.
/// @return         The next attempt's number.
int send_until_ends (Site &site, Call (*call_of) (int), int ends);
/// Send through all gateways in turn.
/// @return  Number of targets that ended.
int send_more (Site &site, Call (*call_of) (int), int attempt, int count);
/// Send a request that has ended three targets, after all gateways have had
/// time to learn of it.
void expect_few_after_third (Site &site, Call (*call_of) (int), int sends);

} // namespace relay

#endif
