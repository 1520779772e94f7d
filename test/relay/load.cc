#include "load.h"

#include <algorithm>

namespace relay
{

using std::chrono::milliseconds;

Load::Load (Site *site, Call (*call_of) (const std::string &id),
            int callers_per_gateway, int pause_ms)
    : call_of_ (call_of), pause_ms_ (pause_ms)
{
  for (size_t g = 0; g < site->gateways.size (); g++)
    for (int i = 0; i < callers_per_gateway; i++)
      threads_.emplace_back ([this, site, g, i] {
        run_caller (site->gateways[g],
                    "l" + std::to_string (g) + "-" + std::to_string (i) + "-");
      });
}

void
Load::run_caller (const Gateway &gateway, const std::string &name)
{
  for (int n = 0; !is_stopped_; n++)
    {
      Moment began = std::chrono::steady_clock::now ();
      Message answer
          = send_call (gateway, call_of_ (name + std::to_string (n)));
      auto took = std::chrono::steady_clock::now () - began;
      record_answer (
          answer,
          (int)std::chrono::duration_cast<milliseconds> (took).count ());
      std::this_thread::sleep_for (milliseconds (pause_ms_));
    }
}

void
Load::record_answer (const Message &answer, int took_ms)
{
  std::lock_guard<std::mutex> lock (mutex_);
  bool is_refused = answer.status == 503 || answer.status == 429;
  if (answer.status == 200)
    counts_.answered++;
  else if (is_refused)
    {
      counts_.refused++;
      counts_.max_refusal_ms = std::max (counts_.max_refusal_ms, took_ms);
    }
  else
    counts_.other++;
  if (is_refused && atof (answer.header ("retry-after").c_str ()) <= 0)
    counts_.refused_without_retry_after++;
}

Load::Counts
Load::counts ()
{
  std::lock_guard<std::mutex> lock (mutex_);
  return counts_;
}

Load::Counts
Load::stop ()
{
  is_stopped_ = true;
  for (std::thread &thread : threads_)
    thread.join ();
  threads_.clear ();
  return counts ();
}

std::vector<Moment>
arrivals_at (Target &target)
{
  std::vector<Moment> arrivals;
  for (const Message &request : target.requests ())
    arrivals.push_back (request.received_at);
  std::sort (arrivals.begin (), arrivals.end ());
  return arrivals;
}

int
max_arrivals_in_window (const std::vector<Moment> &arrivals, Moment from,
                        int window_ms)
{
  size_t most = 0;
  auto first = std::lower_bound (arrivals.begin (), arrivals.end (), from);
  for (auto begin = first; begin != arrivals.end (); ++begin)
    {
      auto end = std::upper_bound (begin, arrivals.end (),
                                   *begin + milliseconds (window_ms));
      most = std::max (most, (size_t)(end - begin));
    }
  return (int)most;
}

} // namespace relay
