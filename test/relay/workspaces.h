/// @file workspaces.h
/// Workspaces of a configuration, as the operator writes them, and what ran
/// for them.
#ifndef KB_TEST_RELAY_WORKSPACES_H
#define KB_TEST_RELAY_WORKSPACES_H

#include "site.h"

namespace relay
{

/// @param members  More of them, each after a comma.
std::string workspace (const std::string &name,
                       const std::vector<std::string> &keys,
                       const std::string &members = "");
/// Of the next configurations.
void set_workspaces (Site *site, const std::vector<std::string> &workspaces);
/// The header line of a key.
std::string key_line (const std::string &key);
/// Tokens that ran for a workspace, by the time at which they came.
std::vector<std::pair<std::chrono::steady_clock::time_point, int>>
tokens_of (Site &site, const std::string &workspace);
/// The most of them in any span of so many seconds.
int max_tokens_in_window (
    const std::vector<std::pair<std::chrono::steady_clock::time_point, int>>
        &tokens,
    int window_s);

} // namespace relay

#endif
