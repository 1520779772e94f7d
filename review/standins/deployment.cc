#include "deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <thread>

#include "launcher.h"

namespace review
{

namespace
{

const auto started = Clock::now ();

constexpr int kFrontHost = 100;
constexpr int kStoreHost = 240;
constexpr int kOwnViewHost = 241;

std::string
process_ip (int host)
{
  int pid = getpid ();
  return "127." + std::to_string (20 + pid / 256 % 200) + "."
         + std::to_string (pid % 256) + "." + std::to_string (host);
}

} // namespace

void
sleep_ms (int ms)
{
  std::this_thread::sleep_for (std::chrono::milliseconds (ms));
}

int64_t
now_ms ()
{
  return std::chrono::duration_cast<std::chrono::milliseconds> (Clock::now ()
                                                                - started)
      .count ();
}

bool
has_trouble ()
{
  const char *value = getenv ("TROUBLE");
  return value == nullptr || std::string (value) != "0";
}

bool
wait_for (const std::function<bool ()> &condition, int timeout_ms)
{
  auto end = Clock::now () + std::chrono::milliseconds (timeout_ms);
  while (!condition ())
    {
      if (Clock::now () > end)
        return false;
      sleep_ms (20);
    }
  return true;
}

void
Record::line (const std::string &text)
{
  std::lock_guard<std::mutex> lock (mutex_);
  out_ << now_ms () << " ms  " << text << std::endl;
}

PlainReplica::PlainReplica (const std::string &ip, const std::string &id,
                            int slots, int queue, Record *record)
    : Server (ip), id_ (id),
      born_ms_ (std::chrono::duration_cast<std::chrono::milliseconds> (
                    std::chrono::system_clock::now ().time_since_epoch ())
                    .count ()),
      slots_ (slots), queue_ (queue), record_ (record)
{
  start ();
}

int
PlainReplica::runs_of (const std::string &attempt)
{
  std::lock_guard<std::mutex> lock (mutex_);
  auto it = runs_.find (attempt);
  return it == runs_.end () ? 0 : it->second;
}

std::map<std::string, int>
PlainReplica::runs ()
{
  std::lock_guard<std::mutex> lock (mutex_);
  return runs_;
}

bool
PlainReplica::enter ()
{
  std::unique_lock<std::mutex> lock (mutex_);
  if (running_ >= slots_ && waiting_ >= queue_)
    return false;
  waiting_++;
  freed_.wait (lock, [this] { return running_ < slots_ || is_stopping_; });
  waiting_--;
  running_++;
  return true;
}

void
PlainReplica::leave ()
{
  std::lock_guard<std::mutex> lock (mutex_);
  running_--;
  freed_.notify_one ();
}

bool
PlainReplica::serve (relay::Connection &connection,
                     const relay::Message &request)
{
  std::string extra;
  {
    std::lock_guard<std::mutex> lock (mutex_);
    auto held = held_answers_.find (&connection);
    if (held != held_answers_.end ())
      {
        extra = held->second;
        held_answers_.erase (held);
      }
  }
  if (!extra.empty ())
    {
      extra_answers++;
      record_->line (id_
                     + " sends its answer to the health check once more, "
                       "where the response to "
                     + request.header ("x-knapweedbay-attempt-id")
                     + " is expected");
      connection.write (extra);
    }
  answers++;
  bool is_health = request.target () == "/health";
  std::string attempt = request.header ("x-knapweedbay-attempt-id");
  std::string echo
      = is_health ? "" : "X-Knapweedbay-Attempt-Id: " + attempt + "\r\n";
  std::string expected = request.header ("x-knapweedbay-expect-instance");
  if (!expected.empty () && expected != id_)
    return connection.write (relay::make_response (421, echo, ""));
  if (!enter ())
    {
      std::string refusal = relay::make_response (
          503, echo + "X-Knapweedbay-Not-Executed: 1\r\n", "");
      if (is_health)
        {
          rejected_checks++;
          record_->line (id_
                         + " is full and rejects a health check (503, "
                           "not executed)");
          if (sends_extra_answers)
            {
              std::lock_guard<std::mutex> lock (mutex_);
              held_answers_[&connection] = refusal;
            }
        }
      return connection.write (refusal);
    }
  if (is_health)
    {
      leave ();
      return connection.write (relay::make_response (
          200, "X-Knapweedbay-Instance-Id: " + id_ + "\r\n", ""));
    }
  {
    std::lock_guard<std::mutex> lock (mutex_);
    runs_[attempt]++;
  }
  bool fails = request.target ().find ("/fails") != std::string::npos;
  if (request.target ().find ("/once/") == 0 || fails)
    record_->line (id_ + " runs " + attempt);
  sleep_ms (fails ? 5 : work_ms.load ());
  leave ();
  return connection.write (relay::make_response (
      fails ? 500 : 200, echo + "X-Knapweedbay-Server-Seal: " + id_ + "\r\n",
      "answer of " + id_ + " to " + attempt));
}

Deployment::Deployment (int front_count, int side_count, bool has_own_view,
                        int unlisted_sides)
    : store (process_ip (kStoreHost)), own_view (process_ip (kOwnViewHost))
{
  char pattern[] = "/tmp/kb-review-XXXXXX";
  dir = mkdtemp (pattern);
  store.mirror_to (&own_view);
  own_view.mirror_to (&store);
  inner_port_ = relay::free_port (process_ip (1));
  write_config (1);
  for (int i = 0; i < side_count; i++)
    {
      std::string address = ip (i + 1);
      Side side;
      side.engine = std::make_unique<relay::Target> (
          address, "i-e" + std::to_string (i), true);
      side.process.name = "side-a-" + std::to_string (i + 1);
      sides.push_back (std::move (side));
      Process &process = sides.back ().process;
      process.settings_path = dir + "/" + process.name + ".json";
      process.log_path = dir + "/" + process.name + ".log";
      std::ofstream (process.settings_path)
          << settings_of (process, "a", address, store,
                          "\"role\": \"agent\",\n  \"engine_address\": \""
                              + sides.back ().engine->address ()
                              + "\",\n  \"service\": \"models\"");
      if (i < side_count - unlisted_sides)
        list_engine ((size_t)i);
      start (&process);
    }
  for (int i = 0; i < front_count; i++)
    {
      std::string address = ip (kFrontHost + i);
      Front front;
      front.address
          = address + ":" + std::to_string (relay::free_port (address));
      front.ready
          = address + ":" + std::to_string (relay::free_port (address));
      front.process.name = "front-a-" + std::to_string (i + 1);
      front.process.settings_path = dir + "/" + front.process.name + ".json";
      front.process.log_path = dir + "/" + front.process.name + ".log";
      std::ofstream (front.process.settings_path) << settings_of (
          front.process, "a", address,
          has_own_view && i == front_count - 1 ? own_view : store,
          "\"role\": \"entry\",\n  \"public_address\": \"" + front.address
              + "\",\n  \"ready_address\": \"" + front.ready + "\"");
      fronts.push_back (front);
      start (&fronts.back ().process);
    }
}

Deployment::~Deployment ()
{
  for (auto &front : fronts)
    stop (&front.process, SIGKILL);
  for (auto &side : sides)
    stop (&side.process, SIGKILL);
  if (getenv ("KEEP_LOGS") == nullptr)
    std::filesystem::remove_all (dir);
}

void
Deployment::put (const std::string &key, const std::string &value)
{
  store.put (key, value);
  own_view.put (key, value);
}

std::string
Deployment::ip (int host) const
{
  return process_ip (host);
}

std::string
Deployment::settings_of (const Process &process, const std::string &zone,
                         const std::string &address,
                         const relay::Store &its_store,
                         const std::string &members) const
{
  return "{\n  \"interface\": \"relay\",\n  " + members + ",\n  \"name\": \""
         + process.name + "\",\n  \"failure_domain\": \"" + zone
         + "\",\n  \"listen_address\": \"" + address
         + "\",\n  \"inner_port\": " + std::to_string (inner_port_)
         + ",\n  \"metrics_port\": "
         + std::to_string (relay::free_port (address))
         + ",\n  \"store_address\": \"" + its_store.address ()
         + "\",\n  \"grace_s\": 8,\n  \"leave_bound_ms\": 2000,\n"
           "  \"retry_ratio\": 0.2,\n  \"retry_window_s\": 10,\n"
           "  \"retry_slack\": 58\n}\n";
}

void
Deployment::write_config (int version, const std::string &members)
{
  auto stream = [] (const char *name, bool is_resumable, int attempts,
                    int priority, int timeout_ms) {
    return std::string ("{\"Name\":\"") + name
           + "\",\"Host\":\"a.example\",\"Prefix\":\"/" + name
           + "/\",\"Kind\":\"streaming\",\"TimeoutMs\":"
           + std::to_string (timeout_ms)
           + ",\"TargetLatencyMs\":800,\"Priority\":"
           + std::to_string (priority)
           + ",\"Service\":\"models\",\"MaxAttempts\":"
           + std::to_string (attempts) + ",\"Resumable\":"
           + (is_resumable ? "true" : "false") + ",\"GapTargetMs\":300}";
  };
  auto plain = [] (const char *name, const char *kind, int attempts) {
    return std::string ("{\"Name\":\"") + name
           + "\",\"Host\":\"a.example\",\"Prefix\":\"/" + name
           + "/\",\"Kind\":\"" + kind
           + "\",\"TimeoutMs\":800,\"TargetLatencyMs\":100,\"Priority\":2,"
             "\"Service\":\"map-api\",\"MaxAttempts\":"
           + std::to_string (attempts) + "}";
  };
  put (
      "op/config",
      "{\"Version\":" + std::to_string (version) + ",\"Routes\":["
          + stream ("stream", true, 2, 1, 15000) + ","
          + stream ("stream-once", false, 1, 0, 15000) + ","
          + plain ("lookup", "safe", 2) + "," + plain ("once", "unsafe", 1)
          + "],\"Services\":[{\"Name\":\"models\",\"HealthPath\":\"/health\","
            "\"MaxConns\":630,\"Engine\":{\"Slots\":"
          + std::to_string (engine_slots)
          + ",\"KvCapacity\":192854,"
            "\"Models\":[{\"Name\":\"m\",\"WeightsMb\":16100,\"LoadTimeS\":0.6"
            ",\"Adapters\":3000,\"AdapterSizeMb\":14}],\"WeightsMb\":17000,"
            "\"AdapterSlots\":"
          + std::to_string (adapter_slots)
          + ",\"LoadsPerS\":4.4}},{\"Name\":\"map-api\","
            "\"HealthPath\":\"/health\",\"MaxConns\":110}],\"Limits\":"
            "{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
            "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}"
          + members + "}");
}

static std::string
entry_of (const std::string &service, const std::string &address, int slots,
          const std::string &state, int64_t born_ms,
          const std::string &version = "v1")
{
  return "{\"Service\":\"" + service + "\",\"Address\":\"" + address
         + "\",\"Zone\":\"a\",\"Version\":\"" + version
         + "\",\"Slots\":" + std::to_string (slots) + ",\"State\":\"" + state
         + "\",\"ColdLeftMs\":0,"
         + (state == "draining" ? "\"RemainingMs\":2000," : "")
         + "\"Seq\":1,\"born\":" + std::to_string (born_ms) + "}";
}

void
Deployment::list_plain (const PlainReplica &replica, const std::string &state)
{
  put ("servers/" + replica.id (),
       entry_of ("map-api", replica.address (), 6, state, replica.born_ms ()));
}

void
Deployment::list_engine (size_t at, const std::string &state)
{
  relay::Target &engine = *sides[at].engine;
  put ("servers/" + engine.id (),
       entry_of ("models", engine.address (), 128, state, engine.born_ms (),
                 engine.software ()));
}

void
Deployment::start (Process *process)
{
  const char *dir_name = getenv ("KB_BIN_DIR");
  std::string binary
      = std::string (dir_name == nullptr ? "target/bin" : dir_name)
        + "/knapweedbayd";
  process->pid = launch_process ([process, binary] {
    int log = open (process->log_path.c_str (), O_CREAT | O_WRONLY | O_APPEND,
                    0600);
    dup2 (log, STDOUT_FILENO);
    dup2 (log, STDERR_FILENO);
    for (int fd = 3; fd < 512; fd++)
      close (fd);
    execl (binary.c_str (), "knapweedbayd", process->settings_path.c_str (),
           nullptr);
  });
}

void
Deployment::stop (Process *process, int signal)
{
  if (process->pid == 0)
    return;
  kill (process->pid, signal);
  kill (process->pid, SIGCONT);
  waitpid (process->pid, nullptr, 0);
  process->pid = 0;
}

bool
Deployment::is_ready (const Front &front)
{
  auto connection = relay::dial (front.ready);
  if (connection == nullptr)
    return false;
  connection->write ("GET /ready HTTP/1.1\r\nHost: x\r\n"
                     "Connection: close\r\n\r\n");
  return connection->read_response (1000).status == 200;
}

bool
Deployment::wait_ready (int timeout_ms)
{
  for (const Front &front : fronts)
    if (!wait_for ([&] { return is_ready (front); }, timeout_ms))
      return false;
  return true;
}

std::string
text_of (const Call &call)
{
  return call.method + " " + call.path
         + " HTTP/1.1\r\nHost: a.example\r\nX-Knapweedbay-Attempt-Id: "
         + call.id + "\r\nX-Knapweedbay-Deadline-Ms: "
         + std::to_string (call.deadline_ms) + "\r\n" + call.headers
         + (call.method == "GET"
                ? ""
                : "Content-Length: " + std::to_string (call.body.size ())
                      + "\r\n")
         + "\r\n" + call.body;
}

relay::Message
send (const Front &front, const Call &call, int timeout_ms)
{
  auto connection = relay::dial (front.address);
  if (connection == nullptr)
    return {};
  connection->write (text_of (call));
  return connection->read_response (timeout_ms);
}

} // namespace review
