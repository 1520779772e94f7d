// The operator's configuration for the cases, written as PROTOCOL.md and the
// bench's `wire` show it.
#pragma once

#include "site.hpp"

namespace rv
{
inline string
route (const string &name, const string &kind, const string &service,
       int attempts, bool is_resumable, int objective_ms)
{
  string out = "{\"Name\":\"r-" + name + "\",\"Host\":\"a.example\",\"Prefix\":\"/"
               + name + "/\",\"Kind\":\"" + kind
               + "\",\"TimeoutMs\":15000,\"TargetLatencyMs\":"
               + std::to_string (objective_ms)
               + ",\"Priority\":1,\"Service\":\"" + service
               + "\",\"MaxAttempts\":" + std::to_string (attempts);
  if (kind == "streaming")
    out += string (",\"Sticky\":true,\"Resumable\":")
           + (is_resumable ? "true" : "false") + ",\"GapTargetMs\":300";
  return out + "}";
}

/// Two services: "models" with engines, "maps" without.
inline string
config_of (const std::vector<string> &routes)
{
  string list;
  for (const string &r : routes)
    list += (list.empty () ? "" : ",") + r;
  return "{\"Version\":7,\"Routes\":[" + list
         + "],\"Services\":[{\"Name\":\"models\",\"HealthPath\":\"/health\","
           "\"MaxConns\":630,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{"
           "\"Slots\":128,\"KvCapacity\":192854,\"Models\":[{\"Name\":\"m\","
           "\"WeightsMb\":16100,\"LoadTimeS\":0.6,\"Adapters\":0,"
           "\"AdapterSizeMb\":14}],\"WeightsMb\":16900,\"AdapterSlots\":36,"
           "\"LoadsPerS\":4.4}},{\"Name\":\"maps\",\"HealthPath\":\"/health\","
           "\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}],\"Limits\":{"
           "\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
           "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
}

/// @param fields  More header lines, each with its line end.
inline string
request_of (const string &method, const string &path, const string &id,
            const string &body = "", const string &fields = "")
{
  string out = method + " " + path
               + " HTTP/1.1\r\nHost: a.example\r\nX-Knapweedbay-Attempt-Id: "
               + id + "\r\nX-Knapweedbay-Deadline-Ms: 15000\r\n" + fields;
  if (method != "GET")
    out += "Content-Length: " + std::to_string (body.size ()) + "\r\n";
  return out + "\r\n" + body;
}

inline const string model_fields
    = "X-Knapweedbay-Model: m\r\nX-Knapweedbay-Token-Counts: 400,60\r\n"
      "X-Knapweedbay-Prompt-Prefix: 5c1e07a2:200,91bd3f06:200\r\n";

inline string
event_of (int number, size_t bytes = 50)
{
  return "id: " + std::to_string (number) + "\ndata: " + string (bytes, 'x')
         + "\n\n";
}

inline string
stream_head (const Replica &replica, const Head &request)
{
  return "HTTP/1.1 200 OK\r\n" + replica.fields_of (request)
         + "Content-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
}

/// End the site and the process.
inline void
finish (Site &site, int code, const char *verdict)
{
  record.say ("%s", verdict);
  site.end ();
  _exit (code);
}
} // namespace rv
