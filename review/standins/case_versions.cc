/// @file case_versions.cc
/// A replica of a new software version comes while the store turns one front
/// away, and is taken away again at short notice. The clients whose streams
/// end with it continue them at the front that knows of no second version.
#include <cstdio>
#include <set>
#include <thread>

#include "deployment.h"

using namespace review;

namespace
{

constexpr int kStreams = 16;
/// An entry that has run for as long as a stream may last has seen all
/// versions, as far as it knows.
constexpr int kLongestStreamMs = 15000;
/// More than so many streams with events of two versions break the rule.
constexpr int kMaxMixed = 2;
constexpr int kNoticeMs = 2000;
constexpr int kTurnedAwayMs = 8800;

struct Stream
{
  std::string id;
  std::string bytes;
  int last_event = 0;
  std::set<std::string> versions;
};

/// Note the events that have arrived: "id: N", then ": VERSION".
void
parse (Stream *stream)
{
  size_t at = 0;
  while ((at = stream->bytes.find ("id: ", at)) != std::string::npos)
    {
      size_t line_end = stream->bytes.find ('\n', at);
      size_t event_end = stream->bytes.find ("\n\n", at);
      if (line_end == std::string::npos || event_end == std::string::npos)
        return;
      stream->last_event = atoi (stream->bytes.c_str () + at + 4);
      size_t version_end = stream->bytes.find ('\n', line_end + 1);
      stream->versions.insert (
          stream->bytes.substr (line_end + 3, version_end - line_end - 3));
      at = event_end;
    }
}

Call
call_of (const std::string &id, const std::string &more = "")
{
  return { "POST",
           "/stream/x",
           id,
           "X-Knapweedbay-Model: m\r\nX-Knapweedbay-Token-Counts: 600,60\r\n"
           "X-Knapweedbay-Prompt-Prefix: 5c1e07a2:300,"
               + id.substr (id.size () - 4) + ":300\r\n" + more,
           "prompt",
           15000 };
}

/// Send a request and read its answer to the end.
void
read_all (const Front &front, const Call &call, Stream *stream)
{
  auto connection = relay::dial (front.address);
  if (connection == nullptr)
    return;
  connection->write (text_of (call));
  while (!connection->peer_has_closed (5000))
    {
      stream->bytes += connection->read_some (10);
      if (stream->bytes.find ("\r\n0\r\n\r\n") != std::string::npos
          || stream->bytes.compare (0, 12, "HTTP/1.1 503") == 0)
        break;
    }
  parse (stream);
}

/// A client: if its stream ends without its end, it continues at another
/// front.
void
call_and_continue (const Deployment &site, Stream *begun, Stream *continued)
{
  read_all (site.fronts[0], call_of (begun->id), begun);
  bool is_cut = begun->bytes.find ("\r\n0\r\n\r\n") == std::string::npos;
  if (!is_cut || begun->last_event == 0)
    return;
  continued->id = "again" + begun->id.substr (5);
  read_all (site.fronts[1],
            call_of (continued->id,
                     "Last-Event-Id: " + std::to_string (begun->last_event)
                         + "\r\nResumes: " + begun->id + "\r\n"),
            continued);
}

std::string
joined (const std::set<std::string> &texts)
{
  std::string out;
  for (const auto &text : texts)
    out += (out.empty () ? "" : " and ") + text;
  return out.empty () ? "none" : out;
}

} // namespace

int
main (int argc, char **argv)
{
  Record record (argc > 1 ? argv[1] : "record.txt");
  Deployment site (2, 3, true, 1);
  site.write_config (2);
  relay::Target &newer = *site.sides[2].engine;
  newer.set_software ("v2");
  for (auto &side : site.sides)
    {
      side.engine->events = 50;
      side.engine->event_ms = 100;
    }
  if (!site.wait_ready ())
    return 2;
  sleep_ms (kLongestStreamMs + 2000);
  int64_t turned_away_ms = 0;
  record.line ("both fronts have run for 17 s; two replicas of version v1");
  if (has_trouble ())
    {
      turned_away_ms = now_ms ();
      site.own_view.set_mode (relay::Store::BUSY);
      record.line ("the store turns the second front away (503), and serves "
                   "the other machines");
      sleep_ms (300);
    }
  site.list_engine (2);
  record.line ("a replica of version v2 comes: " + newer.id ());
  sleep_ms (2500);
  std::vector<Stream> begun (kStreams);
  std::vector<Stream> continued (kStreams);
  std::vector<std::thread> callers;
  for (int i = 0; i < kStreams; i++)
    {
      begun[(size_t)i].id = "begin-" + std::to_string (1000 + i);
      callers.emplace_back ([&, i] {
        call_and_continue (site, &begun[(size_t)i], &continued[(size_t)i]);
      });
    }
  sleep_ms (1200);
  site.list_engine (2, "draining");
  record.line (newer.id () + " leaves, with " + std::to_string (kNoticeMs)
               + " ms of notice");
  sleep_ms (kNoticeMs);
  newer.simulate_exit ();
  record.line (newer.id () + " is gone");
  if (has_trouble ())
    {
      sleep_ms ((int)(turned_away_ms + kTurnedAwayMs - now_ms ()));
      site.own_view.set_mode (relay::Store::HEALTHY);
      record.line ("the store serves the second front again");
    }
  for (auto &caller : callers)
    caller.join ();
  int at_newer = 0;
  int went_on = 0;
  int mixed = 0;
  for (int i = 0; i < kStreams; i++)
    {
      std::set<std::string> versions = begun[(size_t)i].versions;
      at_newer += versions.count ("v2") > 0;
      record.line (begun[(size_t)i].id + " brought events up to "
                   + std::to_string (begun[(size_t)i].last_event)
                   + " of version " + joined (versions));
      const Stream &next = continued[(size_t)i];
      if (next.id.empty ())
        continue;
      went_on += !next.versions.empty ();
      versions.insert (next.versions.begin (), next.versions.end ());
      record.line (next.id + " continues " + begun[(size_t)i].id
                   + " at the second front: "
                   + (next.versions.empty ()
                          ? next.bytes.substr (0, 12)
                          : "events of version " + joined (next.versions))
                   + (versions.size () > 1 ? ": ORDER" : ""));
      mixed += versions.size () > 1;
    }
  std::string summary = std::to_string (kStreams) + " streams began, "
                        + std::to_string (at_newer) + " at version v2; "
                        + std::to_string (went_on) + " were continued, "
                        + std::to_string (mixed)
                        + " hold events of two versions";
  record.line (summary);
  printf ("%s\n", summary.c_str ());
  if (at_newer <= kMaxMixed)
    return 2;
  return mixed > kMaxMixed ? 1 : 0;
}
