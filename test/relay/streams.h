/// @file streams.h
/// Callers' streams that break off and are continued, while targets of one or
/// several software versions serve.
#ifndef KB_TEST_RELAY_STREAMS_H
#define KB_TEST_RELAY_STREAMS_H

#include "load.h"

namespace relay
{

/// A stream as its caller knows it.
struct Stream
{
  std::string id;
  std::unique_ptr<Connection> connection;
  std::string events; ///< Complete events that were received.
  int last_event () const;
  /// @return  The version that its events name; empty: none, or several.
  std::string version () const;
};

/// Let an engine run a version, and list it so.
void set_version (Site &site, size_t engine, const std::string &version);

/// Begin streams at a gateway, and read their first events.
/// @param adapter  Empty: the base model.
std::vector<Stream> begin_streams (Site &site, size_t gateway, int count,
                                   const std::string &name,
                                   const std::string &adapter = "");

/// Close the connections, and drop what follows the last complete event.
void end_streams (std::vector<Stream> &streams);

/// @return  Number of streams that a version began.
int count_of_version (const std::vector<Stream> &streams,
                      const std::string &version);

struct Continuations
{
  int begun = 0;
  int continued = 0; ///< Complete.
  int refused = 0;
  int mixed = 0; ///< Hold events of two versions, software or adapter.
  int max_refusal_ms = 0;
};

/// Continue streams at a gateway, all at once.
/// @param names_origin  Whether callers name the attempt that brought the
///   first event.
/// @param again    Begin of the ids of these attempts.
/// @param adapter  Empty: the base model.
Continuations continue_streams (Site &site, size_t gateway,
                                const std::vector<Stream> &streams,
                                bool names_origin = true,
                                const std::string &again = "again-",
                                const std::string &adapter = "");

} // namespace relay

#endif
