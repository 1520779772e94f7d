/// @file fleet.cc
/// kbfleet: measurements that need real processes: memory, control traffic,
/// processor time and key-value calls by fleet size, and the latency that the
/// gateway and the sidecar add.
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <sstream>
#include <thread>

#include "cluster.h"

namespace
{

FILE *json;
bool has_row;

void
write_row (const std::string &name, double value)
{
  printf ("%-48s %14.2f\n", name.c_str (), value);
  fflush (stdout);
  if (json != nullptr)
    fprintf (json, "%s\n \"%s\": %.4f", has_row ? "," : "", name.c_str (),
             value);
  has_row = true;
}

/// @return  User and system time of a process.
double
cpu_seconds (const kb::Process &p)
{
  std::ifstream in ("/proc/" + std::to_string (p.pid) + "/stat");
  std::string text ((std::istreambuf_iterator<char> (in)),
                    std::istreambuf_iterator<char> ());
  std::istringstream fields (text.substr (text.rfind (')') + 2));
  std::string ignored;
  for (int i = 0; i < 11; i++)
    fields >> ignored;
  double user;
  double system;
  fields >> user >> system;
  return (user + system) / (double)sysconf (_SC_CLK_TCK);
}

double
rss_mb (kb::Cluster &c, const kb::Process &p)
{
  return (double)c.metric (p, "knapweedbay_resident_bytes") / (1 << 20);
}

/// @return  Bytes of the inner protocol, in both directions.
double
inner_bytes (kb::Cluster &c, const kb::Process &p)
{
  return (
      double)(c.metric (p, "knapweedbay_inner_bytes_total{way=\"in\"}")
              + c.metric (p, "knapweedbay_inner_bytes_total{way=\"out\"}"));
}

double
kv_counter (kb::Cluster &c, const char *name)
{
  json_object *doc = c.stats (c.kv);
  json_object *value = nullptr;
  json_object_object_get_ex (doc, name, &value);
  double number = (double)json_object_get_int64 (value);
  json_object_put (doc);
  return number;
}

void
sleep_s (double seconds)
{
  std::this_thread::sleep_for (
      std::chrono::milliseconds ((int)(seconds * 1000)));
}

/// @param share  From 0 to 1.
double
percentile (std::vector<double> values, double share)
{
  std::sort (values.begin (), values.end ());
  return values[(size_t)(share * (double)(values.size () - 1))];
}

/// Measure the cost of an idle fleet.
void
measure_idle (int entries, int engines, int adapters)
{
  kb::ClusterOptions o;
  o.entries = entries;
  o.engines = engines;
  o.plains = 0;
  o.adapters = adapters;
  kb::Cluster c (o);
  c.start ();
  sleep_s (2);
  constexpr double kSeconds = 16; // A little more than one idle ping period.
  const kb::Process &e = c.entries[0].process;
  const kb::Process &a = c.targets[0].agent;
  double e_bytes = inner_bytes (c, e);
  double a_bytes = inner_bytes (c, a);
  double e_cpu = cpu_seconds (e);
  double a_cpu = cpu_seconds (a);
  double reads = kv_counter (c, "reads");
  double writes = kv_counter (c, "writes");
  sleep_s (kSeconds);
  std::string name_suffix
      = "_" + std::to_string (entries) + "e_" + std::to_string (engines) + "a"
        + (adapters > 1000 ? "_" + std::to_string (adapters) : "");
  write_row ("idle_entry_rss_mb" + name_suffix, rss_mb (c, e));
  write_row ("idle_agent_rss_mb" + name_suffix, rss_mb (c, a));
  write_row ("idle_entry_bytes_per_s" + name_suffix,
             (inner_bytes (c, e) - e_bytes) / kSeconds);
  write_row ("idle_agent_bytes_per_s" + name_suffix,
             (inner_bytes (c, a) - a_bytes) / kSeconds);
  write_row ("idle_entry_cpu_percent" + name_suffix,
             (cpu_seconds (e) - e_cpu) / kSeconds * 100);
  write_row ("idle_agent_cpu_percent" + name_suffix,
             (cpu_seconds (a) - a_cpu) / kSeconds * 100);
  write_row ("idle_kv_reads_per_s" + name_suffix,
             (kv_counter (c, "reads") - reads) / kSeconds);
  write_row ("idle_kv_writes_per_s" + name_suffix,
             (kv_counter (c, "writes") - writes) / kSeconds);
  write_row ("idle_kv_watches" + name_suffix, kv_counter (c, "open_watches"));
}

/// Measure the latency to a plain service, directly and through the gateway.
/// Calls alternate within one run.
void
measure_latency (kb::Cluster &c)
{
  std::vector<double> direct;
  std::vector<double> via_gateway;
  kb::Headers auth = { "Authorization: Bearer kavango-key" };
  for (int i = 0; i < 1500; i++)
    {
      std::string body = "lat" + std::to_string (i);
      direct.push_back (
          kb::http_call ("POST", c.targets.back ().fake.http_port, "/x", body)
              .seconds);
      via_gateway.push_back (
          kb::http_call ("POST", c.entries[0].process.http_port,
                         "/v1/services/map-query/x", body + "p", auth)
              .seconds);
    }
  write_row ("latency_direct_p50_ms", percentile (direct, 0.5) * 1000);
  write_row ("latency_direct_p99_ms", percentile (direct, 0.99) * 1000);
  write_row ("latency_path_p50_ms", percentile (via_gateway, 0.5) * 1000);
  write_row ("latency_path_p99_ms", percentile (via_gateway, 0.99) * 1000);
}

/// Measure throughput, and processor time of entry and agent per request.
void
measure_throughput (kb::Cluster &c)
{
  std::atomic<int> completed{ 0 };
  std::atomic<bool> is_stopped{ false };
  double e_cpu = cpu_seconds (c.entries[0].process);
  double a_cpu = cpu_seconds (c.targets.back ().agent);
  std::vector<std::thread> threads;
  for (int w = 0; w < 32; w++)
    threads.emplace_back ([&] {
      kb::Headers auth = { "Authorization: Bearer kavango-key" };
      while (!is_stopped)
        completed += kb::http_call ("POST", c.entries[0].process.http_port,
                                    "/v1/services/map-query/x", "t", auth)
                         .status
                     == 200;
    });
  sleep_s (3);
  is_stopped = true;
  for (auto &t : threads)
    t.join ();
  write_row ("throughput_requests_per_s", completed / 3.0);
  write_row ("entry_cpu_us_per_request",
             (cpu_seconds (c.entries[0].process) - e_cpu) / completed * 1e6);
  write_row ("agent_cpu_us_per_request",
             (cpu_seconds (c.targets.back ().agent) - a_cpu) / completed
                 * 1e6);
}

/// Measure processor time per streamed token.
void
measure_stream (kb::Cluster &c)
{
  for (auto &t : c.targets)
    if (!t.is_plain)
      c.fault (t.fake, "{\"step_ms\":4}");
  double e_cpu = cpu_seconds (c.entries[0].process);
  double a_cpu = 0;
  for (auto &t : c.targets)
    a_cpu -= cpu_seconds (t.agent);
  std::vector<std::thread> threads;
  std::atomic<int> tokens{ 0 };
  for (int w = 0; w < 24; w++)
    threads.emplace_back ([&c, &tokens, w] {
      for (int i = 0; i < 4; i++)
        {
          kb::Answer answer = c.complete (
              0, "a" + std::to_string (w % 8) + "@1", "s", {}, 300, true);
          tokens += answer.is_complete ? 300 : 0;
        }
    });
  for (auto &t : threads)
    t.join ();
  for (auto &t : c.targets)
    a_cpu += cpu_seconds (t.agent);
  write_row ("stream_tokens", tokens);
  write_row ("entry_cpu_us_per_token",
             (cpu_seconds (c.entries[0].process) - e_cpu) / tokens * 1e6);
  write_row ("agent_cpu_us_per_token", a_cpu / tokens * 1e6);
}

/// Measure the growth of resident memory of an entry and an agent over many
/// requests.
void
measure_soak (kb::Cluster &c)
{
  double e_before = rss_mb (c, c.entries[0].process);
  double a_before = rss_mb (c, c.targets.back ().agent);
  std::vector<std::thread> threads;
  for (int w = 0; w < 16; w++)
    threads.emplace_back ([&c] {
      kb::Headers auth = { "Authorization: Bearer kavango-key" };
      for (int i = 0; i < 1000; i++)
        kb::http_call ("POST", c.entries[0].process.http_port,
                       "/v1/services/map-query/x", "s", auth);
    });
  for (auto &t : threads)
    t.join ();
  write_row ("soak_requests", 16000);
  write_row ("soak_entry_growth_mb",
             rss_mb (c, c.entries[0].process) - e_before);
  write_row ("soak_agent_growth_mb",
             rss_mb (c, c.targets.back ().agent) - a_before);
}

/// Measure how a change of one adapter propagates to many entries.
void
measure_propagation (int entries)
{
  kb::ClusterOptions o;
  o.entries = entries;
  o.engines = 1;
  o.plains = 0;
  o.adapters = 1300;
  kb::Cluster c (o);
  c.start ();
  sleep_s (3);
  auto config_bytes = [&c] {
    double total = 0;
    for (auto &e : c.entries)
      total += (double)c.metric (e.process, "knapweedbay_config_bytes_total");
    return total;
  };
  double bytes = config_bytes ();
  double reads = kv_counter (c, "reads");
  double writes = kv_counter (c, "writes");
  std::ofstream (c.config_dir + "/30-x.json")
      << "{\"adapters\":{\"x\":{\"service\":\"report\",\"versions\":{"
         "\"1\":\"ws://x\"}}}}";
  if (c.apply () != 0)
    return;
  auto begin = std::chrono::steady_clock::now ();
  bool is_applied = kb::Cluster::wait_until (
      [&c] {
        for (auto &e : c.entries)
          if (c.metric (e.process, "knapweedbay_config_revision") != 2)
            return false;
        return true;
      },
      10000);
  double elapsed_s = std::chrono::duration<double> (
                         std::chrono::steady_clock::now () - begin)
                         .count ();
  std::string name_suffix = "_" + std::to_string (entries);
  write_row ("spread_ms" + name_suffix, is_applied ? elapsed_s * 1000 : -1);
  write_row ("spread_bytes_per_entry" + name_suffix,
             (config_bytes () - bytes) / entries);
  write_row ("spread_kv_reads" + name_suffix, kv_counter (c, "reads") - reads);
  write_row ("spread_kv_writes" + name_suffix,
             kv_counter (c, "writes") - writes);
  write_row ("spread_kv_watches" + name_suffix,
             kv_counter (c, "open_watches"));
}

} // namespace

int
main (int argc, char **argv)
{
  json = argc > 2 && strcmp (argv[1], "--json") == 0 ? fopen (argv[2], "w")
                                                     : nullptr;
  if (json != nullptr)
    fprintf (json, "{");
  if (argc > 1 && strcmp (argv[1], "--stream") == 0)
    {
      kb::ClusterOptions o;
      o.entries = 1;
      kb::Cluster c (o);
      c.start ();
      measure_stream (c);
      return 0;
    }
  if (argc > 1 && strcmp (argv[1], "--spread") == 0)
    {
      for (int entries : { 10, 50, 200 })
        measure_propagation (entries);
      return 0;
    }
  {
    kb::ClusterOptions o;
    o.entries = 1;
    kb::Cluster c (o);
    c.start ();
    measure_latency (c);
    measure_throughput (c);
    measure_stream (c);
    measure_soak (c);
  }
  measure_idle (1, 10, 40);
  measure_idle (1, 60, 40);
  measure_idle (2, 10, 40);
  measure_idle (8, 10, 40);
  measure_idle (1, 10, 13000);
  for (int entries : { 10, 50, 200 })
    measure_propagation (entries);
  if (json != nullptr)
    {
      fprintf (json, "\n}\n");
      fclose (json);
    }
  return 0;
}
