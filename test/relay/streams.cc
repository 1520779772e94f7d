#include "streams.h"

namespace relay
{

int
Stream::last_event () const
{
  auto ids = event_ids (events);
  return ids.empty () ? 0 : ids.back ();
}

std::string
Stream::version () const
{
  auto versions = event_versions (events);
  return versions.size () == 1 ? *versions.begin () : "";
}

void
set_version (Site &site, size_t engine, const std::string &version)
{
  site.engines[engine].target->set_software (version);
  site.list_engine (engine);
}

std::vector<Stream>
begin_streams (Site &site, size_t gateway, int count, const std::string &name,
               const std::string &adapter)
{
  std::vector<Stream> streams;
  for (int i = 0; i < count; i++)
    {
      Stream stream;
      stream.id = name + std::to_string (i);
      stream.connection = dial (site.gateways[gateway].address);
      if (stream.connection != nullptr)
        stream.connection->write (stream_call (stream.id, adapter).text ());
      streams.push_back (std::move (stream));
    }
  for (Stream &stream : streams)
    while (stream.connection != nullptr && stream.last_event () < 3)
      {
        std::string bytes = stream.connection->read_some (2000);
        if (bytes.empty ())
          break;
        stream.events += bytes;
      }
  return streams;
}

void
end_streams (std::vector<Stream> &streams)
{
  for (Stream &stream : streams)
    {
      stream.events = complete_events (stream.events);
      stream.connection.reset ();
    }
}

Continuations
continue_streams (Site &site, size_t gateway,
                  const std::vector<Stream> &streams, bool names_origin,
                  const std::string &again, const std::string &adapter)
{
  Continuations result;
  std::mutex mutex;
  std::vector<std::thread> threads;
  for (const Stream &stream : streams)
    threads.emplace_back ([&] {
      Moment began = std::chrono::steady_clock::now ();
      Message answer = send_call (
          site.gateways[gateway],
          continued (stream_call ("", adapter), again + stream.id,
                     stream.last_event (), names_origin ? stream.id : ""));
      int took_ms
          = (int)std::chrono::duration_cast<std::chrono::milliseconds> (
                std::chrono::steady_clock::now () - began)
                .count ();
      std::string events = stream.events + answer.body;
      bool is_mixed = event_versions (events).size () > 1
                      || event_adapter_versions (events).size () > 1;
      std::lock_guard<std::mutex> lock (mutex);
      result.begun += stream.last_event () > 0;
      result.mixed += is_mixed;
      result.continued += answer.status == 200 && answer.is_complete;
      result.refused += answer.status == 503;
      if (answer.status == 503)
        result.max_refusal_ms = std::max (result.max_refusal_ms, took_ms);
    });
  for (std::thread &thread : threads)
    thread.join ();
  printf ("%d begun, %d continued, %d refused, %d of two versions\n",
          result.begun, result.continued, result.refused, result.mixed);
  return result;
}

int
count_of_version (const std::vector<Stream> &streams,
                  const std::string &version)
{
  int count = 0;
  for (const Stream &stream : streams)
    count += stream.version () == version;
  return count;
}

} // namespace relay
