// Callers who check each event of their streams, over all tries.
#include "soak.h"

#include <algorithm>
#include <random>

namespace relay
{

using std::chrono::milliseconds;

namespace
{

constexpr int kEvents = 10;
constexpr int kAdapters = 3; ///< Whose versions are declared in series.
constexpr int kMaxTries = 8;
constexpr int kDeadlineMs = 6000; ///< Of a stream, over all tries.
constexpr int kAnswerMs = 4000;
constexpr int kRetryAfterMs = 60;
constexpr int kLeaverShare = 4; ///< One in so many streams is broken off.

/// The body of an answer that may end anywhere, without its framing.
/// @param status  Receives the answer's status; 0: its head isn't complete.
std::string
body_so_far (const std::string &answer, int *status)
{
  size_t head_end = answer.find ("\r\n\r\n");
  *status = 0;
  if (head_end == std::string::npos)
    return "";
  std::string head = answer.substr (0, head_end);
  *status = atoi (head.substr (head.find (' ') + 1).c_str ());
  std::transform (head.begin (), head.end (), head.begin (), ::tolower);
  std::string bytes = answer.substr (head_end + 4);
  if (head.find ("transfer-encoding: chunked") == std::string::npos)
    return bytes;
  std::string body;
  size_t at = 0;
  for (size_t line_end; (line_end = bytes.find ("\r\n", at)) != bytes.npos;)
    {
      size_t size = strtoul (bytes.c_str () + at, nullptr, 16);
      if (size == 0)
        break;
      body += bytes.substr (line_end + 2, size);
      at = line_end + 2 + size + 2;
    }
  return body;
}

} // namespace

int
OrderedStream::last_event () const
{
  int last = 0;
  for (const Piece &piece : pieces)
    for (int id : event_ids (piece.events))
      last = std::max (last, id);
  return last;
}

std::string
OrderedStream::first_id () const
{
  for (const Piece &piece : pieces)
    if (!piece.events.empty ())
      return piece.id;
  return "";
}

/// Read until the answer ends, or until it has so many events, when the caller
/// breaks it off.
static Piece
read_piece (std::unique_ptr<Connection> connection, int max_events,
            uint64_t random)
{
  Piece piece;
  if (max_events >= kEvents)
    {
      Message answer = connection->read_response (kAnswerMs);
      piece.status = answer.status;
      piece.is_complete = answer.is_complete;
      piece.rest = answer.body;
      return piece;
    }
  std::string bytes;
  auto end = std::chrono::steady_clock::now () + milliseconds (kAnswerMs);
  while (std::chrono::steady_clock::now () < end)
    {
      std::string more = connection->read_some (kAnswerMs);
      bytes += more;
      piece.rest = body_so_far (bytes, &piece.status);
      bool is_refused = piece.status != 0 && piece.status != 200;
      if (more.empty () || is_refused
          || event_ids (complete_events (piece.rest)).size ()
                 >= (size_t)max_events)
        break;
    }
  if (random % 2 == 0)
    connection->reset ();
  return piece;
}

/// @param left_ms  Until the caller's deadline.
Piece
Soak::try_stream (const OrderedStream &stream, uint64_t random, int max_events,
                  int left_ms)
{
  int last = stream.last_event ();
  std::string id
      = stream.request + "." + std::to_string (stream.pieces.size ());
  Call call = stream_call (id, stream.adapter);
  call.body = stream.request;
  call.deadline_ms = left_ms;
  call.headers += key_line_;
  if (last > 0)
    call = continued (call, id, last, stream.first_id ());
  const Gateway &gateway = site_.gateways[random % site_.gateways.size ()];
  Piece piece;
  auto connection = dial (gateway.address);
  if (connection != nullptr && connection->write (call.text ()))
    piece = read_piece (std::move (connection), max_events, random >> 32);
  piece.id = id;
  piece.gateway = gateway.daemon.name;
  if (piece.status == 200)
    piece.events = complete_events (piece.rest);
  piece.rest.erase (0, piece.events.size ());
  return piece;
}

void
Soak::ordered_loop (int caller)
{
  std::mt19937_64 random (seed_ * 1000 + 900 + (uint64_t)caller);
  for (int n = 0; !is_done_; n++)
    {
      OrderedStream stream;
      stream.request
          = "o" + std::to_string (caller) + "-" + std::to_string (n);
      if (random () % 4 != 0)
        stream.adapter = "a" + std::to_string (random () % kAdapters);
      int max_events = random () % kLeaverShare == 0
                           ? 1 + (int)(random () % (kEvents - 1))
                           : kEvents;
      auto end
          = std::chrono::steady_clock::now () + milliseconds (kDeadlineMs);
      while (!stream.is_complete && stream.pieces.size () < kMaxTries)
        {
          int left_ms = (int)std::chrono::duration_cast<milliseconds> (
                            end - std::chrono::steady_clock::now ())
                            .count ();
          if (left_ms <= 0)
            break;
          Piece piece = try_stream (stream, random (), max_events, left_ms);
          stream.is_complete = piece.status == 200 && piece.is_complete;
          if (!piece.events.empty ())
            max_events = kEvents;
          if (piece.status != 200)
            std::this_thread::sleep_for (milliseconds (kRetryAfterMs));
          stream.pieces.push_back (std::move (piece));
        }
      std::lock_guard<std::mutex> lock (mutex_);
      streams_.push_back (std::move (stream));
    }
}

std::vector<OrderFault>
order_faults_of (const OrderedStream &stream)
{
  std::set<OrderFault> faults;
  std::set<std::string> software;
  std::set<std::string> adapters;
  int next = 1;
  for (const Piece &piece : stream.pieces)
    {
      for (int id : event_ids (piece.events))
        {
          if (id > next)
            faults.insert (OrderFault::MISSING);
          if (id < next)
            faults.insert (OrderFault::REPEATED);
          next = id + 1;
        }
      software.merge (event_versions (piece.events));
      adapters.merge (event_adapter_versions (piece.events));
      for (const std::string &request : event_requests (piece.events))
        if (request != stream.request)
          faults.insert (OrderFault::FOREIGN);
      if (piece.status == 200 && piece.is_complete
          && (next != kEvents + 1 || !piece.rest.empty ()))
        faults.insert (OrderFault::EARLY_END);
    }
  if (software.size () > 1)
    faults.insert (OrderFault::JOINED_SOFTWARE);
  if (adapters.size () > 1)
    faults.insert (OrderFault::JOINED_ADAPTER);
  return { faults.begin (), faults.end () };
}

static std::string
describe (const OrderedStream &stream)
{
  std::string text = stream.request + " adapter " + stream.adapter + ":";
  for (const Piece &piece : stream.pieces)
    {
      text += " [" + piece.gateway + " " + std::to_string (piece.status)
              + (piece.is_complete ? " complete" : "") + " events";
      for (int id : event_ids (piece.events))
        text += " " + std::to_string (id);
      for (const std::string &version : event_versions (piece.events))
        text += " " + version;
      for (const std::string &version : event_adapter_versions (piece.events))
        text += " adapter@" + version;
      text += "]";
    }
  return text;
}

/// Each stream holds its events once and in order, of one software version and
/// one version of its adapter, and ends as complete after its last event only.
void
Soak::check_order ()
{
  static const char *const names[]
      = { "joined (software)", "joined (adapter)", "missing",
          "repeated",          "early end",        "foreign" };
  size_t counts[std::size (names)] = {};
  size_t begun = 0;
  size_t continued = 0;
  size_t complete = 0;
  for (const OrderedStream &stream : streams_)
    {
      size_t with_events = 0;
      for (const Piece &piece : stream.pieces)
        with_events += !piece.events.empty ();
      begun += with_events > 0;
      continued += with_events > 1;
      complete += stream.is_complete;
      for (OrderFault fault : order_faults_of (stream))
        {
          counts[(size_t)fault]++;
          order_faults_++;
          add_violation (stream.first_id (), std::string (names[(size_t)fault])
                                                 + ": " + describe (stream));
        }
    }
  printf ("order, seed %llu: streams %zu begun %zu continued %zu complete %zu",
          (unsigned long long)seed_, streams_.size (), begun, continued,
          complete);
  for (size_t i = 0; i < std::size (names); i++)
    printf (", %s %zu", names[i], counts[i]);
  printf ("\n");
}

} // namespace relay
