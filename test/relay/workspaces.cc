#include "workspaces.h"

#include <algorithm>

namespace relay
{

/// Tokens that a request counts as when it states none, in the workspaces that
/// workspace () writes.
static constexpr int kPlainTokens = 30;

std::string
workspace (const std::string &name, const std::vector<std::string> &keys,
           const std::string &members)
{
  std::string list;
  for (const std::string &key : keys)
    list += (list.empty () ? "\"" : ",\"") + key + "\"";
  return "{\"Name\":\"" + name + "\",\"ApiKeys\":[" + list
         + "],\"Unit\":\"token_stream\",\"PlainTokens\":"
         + std::to_string (kPlainTokens) + members + "}";
}

void
set_workspaces (Site *site, const std::vector<std::string> &workspaces)
{
  std::string list;
  for (const std::string &one : workspaces)
    list += (list.empty () ? "" : ",") + one;
  site->config_members = ",\"Tenants\":[" + list + "]";
}

std::string
key_line (const std::string &key)
{
  return "X-Knapweedbay-Key: " + key + "\r\n";
}

static int
tokens_in (const Message &request)
{
  std::string stated = request.header ("x-knapweedbay-token-counts");
  size_t comma = stated.find (',');
  if (comma == std::string::npos)
    return kPlainTokens;
  return atoi (stated.c_str ()) + atoi (stated.c_str () + comma + 1);
}

/// @param excluded  Requests of a target that do not count.
static std::vector<std::pair<std::chrono::steady_clock::time_point, int>>
tokens_except (Site &site, const std::string &workspace,
               std::vector<Message> (Target::*excluded) ())
{
  std::vector<std::pair<std::chrono::steady_clock::time_point, int>> found;
  auto add = [&] (Target &target) {
    std::set<std::chrono::steady_clock::time_point> excluded_moments;
    for (const Message &request : (target.*excluded) ())
      excluded_moments.insert (request.received_at);
    for (const Message &request : target.requests ())
      if (request.header ("x-knapweedbay-tenant") == workspace
          && excluded_moments.count (request.received_at) == 0)
        found.emplace_back (request.received_at, tokens_in (request));
  };
  for (Engine &engine : site.engines)
    add (*engine.target);
  for (auto &target : site.plain)
    add (*target);
  std::sort (found.begin (), found.end ());
  return found;
}

std::vector<std::pair<std::chrono::steady_clock::time_point, int>>
tokens_of (Site &site, const std::string &workspace)
{
  return tokens_except (site, workspace, &Target::refused_with_pause);
}

std::vector<std::pair<std::chrono::steady_clock::time_point, int>>
run_tokens_of (Site &site, const std::string &workspace)
{
  return tokens_except (site, workspace, &Target::refused);
}

int
max_tokens_in_window (
    const std::vector<std::pair<std::chrono::steady_clock::time_point, int>>
        &tokens,
    int window_s)
{
  int sum = 0;
  int most = 0;
  size_t from = 0;
  for (const auto &[came, count] : tokens)
    {
      sum += count;
      while (came - tokens[from].first >= std::chrono::seconds (window_s))
        sum -= tokens[from++].second;
      most = std::max (most, sum);
    }
  return most;
}

} // namespace relay
