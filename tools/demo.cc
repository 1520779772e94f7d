/// @file demo.cc
/// kbdemo: a small deployment of real processes under mixed load. Each answer
/// is checked for its adapter and version and for being complete, and a sample
/// of the requests for having run exactly once.
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstring>
#include <map>
#include <mutex>
#include <random>
#include <thread>

#include "cluster.h"

namespace
{

constexpr int kRequests = 1200;
constexpr int kWorkers = 24;

/// Results of one kind of request.
struct KindStats
{
  int sent = 0;
  int done = 0;
  int refused = 0;
  int differences = 0;
  std::vector<double> seconds;
};

/// A request of the load.
struct Job
{
  std::string kind;
  std::string workspace;
  std::string model;
  std::string prompt;
  int tokens;
  bool is_streamed;
  bool is_keyed;
  bool is_plain;
};

Job
make_job (int i, std::mt19937 &rng)
{
  static const char *const workspaces[] = { "kavango", "skjamynd", "officer" };
  Job job;
  job.workspace = workspaces[rng () % 3];
  // Three of four requests use one of five popular adapters.
  int adapter = rng () % 4 != 0 ? (int)(rng () % 5) : (int)(rng () % 40);
  job.model = "a" + std::to_string (adapter) + "@"
              + std::to_string (1 + (int)(rng () % 2));
  job.prompt = "demo-" + std::to_string (i);
  job.tokens = 4 + (int)(rng () % 24);
  int kind = (int)(rng () % 10);
  job.is_plain = kind == 0;
  job.is_streamed = kind >= 1 && kind <= 4;
  job.is_keyed = kind == 5 || kind == 6;
  job.kind = job.is_plain      ? "plain"
             : job.is_streamed ? "streamed"
             : job.is_keyed    ? "keyed, sent twice"
                               : "unary";
  return job;
}

bool
is_refused (kb::Answer &answer)
{
  return answer.headers["x-knapweedbay-outcome"] == "not_run";
}

/// Send a request and check the answer. A keyed request is sent again to the
/// other entry, which must return the same answer.
/// @return  0 done, 1 refused, 2 wrong answer.
int
run_job (kb::Cluster &c, const Job &job, int entry)
{
  std::string key = job.workspace + "-key";
  if (job.is_plain)
    {
      kb::Answer answer
          = kb::http_call ("POST", c.entries[(size_t)entry].process.http_port,
                           "/v1/services/map-query/cells", job.prompt,
                           { "Authorization: Bearer " + key });
      if (answer.status == 200 && answer.is_complete)
        return answer.body.find ("\"count\":1") != std::string::npos ? 0 : 2;
      return is_refused (answer) ? 1 : 2;
    }
  kb::Headers headers;
  if (job.is_keyed)
    headers.push_back ("Idempotency-Key: " + job.prompt);
  kb::Answer answer = c.complete (entry, job.model, job.prompt, headers,
                                  job.tokens, job.is_streamed, key);
  if (answer.status != 200)
    return is_refused (answer) ? 1 : 2;
  std::string text = job.is_streamed ? kb::Cluster::text_of_stream (answer)
                                     : kb::Cluster::text_of (answer);
  bool is_right = answer.is_complete
                  && text
                         == kb::Cluster::expected_text (job.model, job.prompt,
                                                        job.tokens)
                  && answer.headers["x-knapweedbay-model"] == job.model;
  if (is_right && job.is_keyed)
    {
      kb::Answer again = c.complete (1 - entry, job.model, job.prompt, headers,
                                     job.tokens, false, key);
      is_right = again.status == 200 && again.body == answer.body;
    }
  return is_right ? 0 : 2;
}

/// Run the load and print the results.
/// @return  The number of wrong answers, of sampled requests that completed
/// but did not run exactly once, and of adapters evicted in use.
int
run_load (kb::Cluster &c)
{
  std::map<std::string, KindStats> stats_by_kind;
  std::mutex mutex;
  std::mt19937 rng (7);
  std::vector<Job> jobs;
  for (int i = 0; i < kRequests; i++)
    jobs.push_back (make_job (i, rng));
  std::vector<int> results (jobs.size ());
  std::atomic<size_t> next{ 0 };
  std::vector<std::thread> workers;
  for (int w = 0; w < kWorkers; w++)
    workers.emplace_back ([&, w] {
      size_t i;
      while ((i = next++) < jobs.size ())
        {
          auto begin = std::chrono::steady_clock::now ();
          int result = run_job (c, jobs[i], w % 2);
          double elapsed_s = std::chrono::duration<double> (
                                 std::chrono::steady_clock::now () - begin)
                                 .count ();
          std::lock_guard<std::mutex> lock (mutex);
          KindStats &t = stats_by_kind[jobs[i].kind];
          results[i] = result;
          t.sent++;
          t.done += result == 0;
          t.refused += result == 1;
          t.differences += result == 2;
          t.seconds.push_back (elapsed_s);
        }
    });
  for (auto &worker : workers)
    worker.join ();
  int differences = 0;
  for (size_t i = 0; i < jobs.size (); i++)
    {
      int runs = i % 10 == 0 ? c.runs_of (jobs[i].prompt) : -1;
      if (runs >= 0 && runs != (results[i] == 0 ? 1 : runs))
        {
          printf ("%s ran %d times\n", jobs[i].prompt.c_str (), runs);
          differences++;
        }
    }
  printf ("%-18s %6s %6s %8s %12s %9s %9s\n", "kind", "sent", "done",
          "refused", "differences", "p50 ms", "p99 ms");
  for (auto &[kind, t] : stats_by_kind)
    {
      std::sort (t.seconds.begin (), t.seconds.end ());
      printf ("%-18s %6d %6d %8d %12d %9.1f %9.1f\n", kind.c_str (), t.sent,
              t.done, t.refused, t.differences,
              t.seconds[t.seconds.size () / 2] * 1000,
              t.seconds[t.seconds.size () * 99 / 100] * 1000);
      differences += t.differences;
    }
  int64_t evicted = c.stat_sum ("evicted_in_use");
  printf ("loads %lld, evicted in use %lld, differences %d\n",
          (long long)c.stat_sum ("loads"), (long long)evicted, differences);
  return differences + (int)evicted;
}

/// Print example commands and keep the deployment until a signal arrives.
void
serve_until_signal (kb::Cluster &c)
{
  for (auto &e : c.entries)
    printf ("%s http://127.0.0.1:%d\n", e.name.c_str (), e.process.http_port);
  printf ("\ncurl -s http://127.0.0.1:%d/v1/completions -H 'Authorization: "
          "Bearer kavango-key' -d '{\"model\":\"a1\",\"prompt\":\"hello\","
          "\"max_tokens\":4}'\n\n"
          "build/bin/knapweedbay status --daemon 127.0.0.1:%d --key "
          "operator-key\n\nPress Ctrl-C to stop.\n",
          c.entries[0].process.http_port, c.entries[0].process.http_port);
  fflush (stdout);
  sigset_t set;
  sigemptyset (&set);
  sigaddset (&set, SIGINT);
  sigaddset (&set, SIGTERM);
  int signal;
  sigwait (&set, &signal);
}

} // namespace

int
main (int argc, char **argv)
{
  bool stays_up = argc > 1 && strcmp (argv[1], "--stay") == 0;
  if (stays_up)
    {
      sigset_t set;
      sigemptyset (&set);
      sigaddset (&set, SIGINT);
      sigaddset (&set, SIGTERM);
      pthread_sigmask (SIG_BLOCK, &set, nullptr);
    }
  kb::ClusterOptions options;
  kb::Cluster c (options);
  c.start ();
  printf (
      "2 entries, 4 engines, 1 plain service, 40 adapters, 3 workspaces\n");
  if (stays_up)
    {
      serve_until_signal (c);
      return 0;
    }
  int differences = run_load (c);
  return differences == 0 ? 0 : 1;
}
