/// @file workspaces.h
/// Workspaces in the operator's configuration, and the tokens that targets ran
/// for them.
#ifndef KB_TEST_RELAY_WORKSPACES_H
#define KB_TEST_RELAY_WORKSPACES_H

#include "site.h"

namespace relay
{

/// Configuration document of a workspace.
/// @param members  Additional members, each after a comma.
std::string workspace (const std::string &name,
                       const std::vector<std::string> &keys,
                       const std::string &members = "");
/// Set the workspaces of the configurations that are written from now on.
void set_workspaces (Site *site, const std::vector<std::string> &workspaces);
/// The header line that carries a key.
std::string key_line (const std::string &key);
/// Tokens of the requests of a workspace that reached targets, without those
/// refused with a pause, ordered by arrival time.
std::vector<std::pair<std::chrono::steady_clock::time_point, int>>
tokens_of (Site &site, const std::string &workspace);
/// Tokens that targets ran for a workspace, each attempt counted, ordered by
/// the arrival time of their requests.
std::vector<std::pair<std::chrono::steady_clock::time_point, int>>
run_tokens_of (Site &site, const std::string &workspace);
/// Largest number of tokens in any window of `window_s`.
int max_tokens_in_window (
    const std::vector<std::pair<std::chrono::steady_clock::time_point, int>>
        &tokens,
    int window_s);

} // namespace relay

#endif
