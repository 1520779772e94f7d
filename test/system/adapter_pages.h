/// @file adapter_pages.h
/// The pages of an engine that holds each adapter that it was asked to load.
/// Header only, for programs that link the stand-ins of the relay tests.
#ifndef KB_TEST_SYSTEM_ADAPTER_PAGES_H
#define KB_TEST_SYSTEM_ADAPTER_PAGES_H

#include <mutex>
#include <set>
#include <string>

#include "http_peer.h"

namespace kb
{

/// Value of a text member of a flat JSON object.
inline std::string
text_member (const std::string &json, const std::string &name)
{
  std::string mark = "\"" + name + "\":\"";
  size_t at = json.find (mark);
  if (at == std::string::npos)
    return "";
  at += mark.size ();
  return json.substr (at, json.find ('"', at) - at);
}

class AdapterPages
{
public:
  /// @return  Whether the connection can go on.
  bool
  serve (relay::Connection &connection, const relay::Message &request)
  {
    std::lock_guard<std::mutex> lock (mutex_);
    std::string loaded = text_member (request.body, "lora_name");
    if (!loaded.empty ())
      adapters_.insert (loaded);
    std::string list;
    for (const std::string &name : adapters_)
      list += (list.empty () ? "" : ",") + ("{\"id\":\"" + name + "\"}");
    return connection.write (relay::json_response (
        request.method () == "GET"
            ? "{\"incarnation\":\"i1\",\"data\":[" + list + "]}"
            : "{}"));
  }

private:
  std::mutex mutex_;
  std::set<std::string> adapters_;
};

} // namespace kb

#endif
