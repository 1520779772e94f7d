// Stand-ins for the cases of this review: the platform's store, replicas and
// clients, and the start of the project's daemons as processes of their own.
// Everything listens on loopback addresses and free ports. No dependency
// beyond the C++ library.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rv
{
using Clock = std::chrono::steady_clock;
using std::string;

inline Clock::time_point
epoch ()
{
  static Clock::time_point t = Clock::now ();
  return t;
}
inline long
now_ms ()
{
  return (long)std::chrono::duration_cast<std::chrono::milliseconds> (
             Clock::now () - epoch ())
      .count ();
}
inline void
sleep_ms (long ms)
{
  if (ms > 0)
    std::this_thread::sleep_for (std::chrono::milliseconds (ms));
}

// ---------------------------------------------------------------- the record

struct Record
{
  std::mutex mutex;
  FILE *file = nullptr;
  void
  open (const string &path)
  {
    file = fopen (path.c_str (), "w");
    if (!file)
      exit (2);
  }
  void
  say (const char *format, ...) __attribute__ ((format (printf, 2, 3)))
  {
    std::lock_guard<std::mutex> lock (mutex);
    va_list args;
    va_start (args, format);
    char text[1024];
    vsnprintf (text, sizeof text, format, args);
    va_end (args);
    fprintf (file, "%8.3f s  %s\n", now_ms () / 1000.0, text);
    fflush (file);
  }
};
inline Record record;

// ------------------------------------------------------------------- sockets

/// A /24 of loopback addresses that belongs to this process.
inline string
own_ip (int host)
{
  int pid = getpid ();
  return "127." + std::to_string (20 + pid / 250 % 200) + "."
         + std::to_string (pid % 250 + 1) + "." + std::to_string (host);
}

inline sockaddr_in
address_of (const string &ip, int port)
{
  sockaddr_in a = {};
  a.sin_family = AF_INET;
  a.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, ip.c_str (), &a.sin_addr);
  return a;
}

inline int
free_port (const string &ip)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  sockaddr_in a = address_of (ip, 0);
  socklen_t size = sizeof a;
  if (bind (fd, (sockaddr *)&a, sizeof a) != 0
      || getsockname (fd, (sockaddr *)&a, &size) != 0)
    {
      perror ("bind");
      exit (2);
    }
  close (fd);
  return ntohs (a.sin_port);
}

/// @param receive_bytes  Receive buffer; zero: the system's.
/// @param segment_bytes  Largest segment that it accepts; zero: the system's.
inline int
dial (const string &ip, int port, int receive_bytes = 0, int segment_bytes = 0)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_bytes > 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                sizeof receive_bytes);
  if (segment_bytes > 0)
    setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes,
                sizeof segment_bytes);
  sockaddr_in a = address_of (ip, port);
  if (connect (fd, (sockaddr *)&a, sizeof a) != 0)
    {
      close (fd);
      return -1;
    }
  int on = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool
send_all (int fd, const string &bytes)
{
  size_t at = 0;
  while (at < bytes.size ())
    {
      ssize_t n = send (fd, bytes.data () + at, bytes.size () - at,
                        MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      at += (size_t)n;
    }
  return true;
}

// ---------------------------------------------------------------- HTTP/1.1

struct Head
{
  string start;
  std::map<string, string> fields; ///< Names in lower case.
  string
  get (const string &name) const
  {
    auto it = fields.find (name);
    return it == fields.end () ? "" : it->second;
  }
  string
  target () const
  {
    size_t a = start.find (' ');
    size_t b = start.rfind (' ');
    return start.substr (a + 1, b - a - 1);
  }
  string
  method () const
  {
    return start.substr (0, start.find (' '));
  }
};

inline Head
parse_head (const string &text)
{
  Head head;
  std::istringstream in (text);
  string line;
  std::getline (in, line);
  if (!line.empty () && line.back () == '\r')
    line.pop_back ();
  head.start = line;
  while (std::getline (in, line))
    {
      if (!line.empty () && line.back () == '\r')
        line.pop_back ();
      size_t colon = line.find (':');
      if (colon == string::npos)
        continue;
      string name = line.substr (0, colon);
      for (char &c : name)
        c = (char)tolower (c);
      size_t from = line.find_first_not_of (' ', colon + 1);
      head.fields[name] = from == string::npos ? "" : line.substr (from);
    }
  return head;
}

/// One connection with a buffer of what was read.
struct Conn
{
  int fd;
  string buffer;
  bool has_ended = false; ///< By an orderly close.
  bool was_reset = false;
  explicit Conn (int f) : fd (f) {}
  ~Conn ()
  {
    if (fd >= 0)
      close (fd);
  }
  Conn (const Conn &) = delete;
  /// @return  False at the end, a reset or the timeout.
  bool
  more (long timeout_ms, size_t most = 65536)
  {
    pollfd p = { fd, POLLIN, 0 };
    if (poll (&p, 1, (int)timeout_ms) <= 0)
      return false;
    string piece (most, '\0');
    ssize_t n = recv (fd, piece.data (), most, 0);
    if (n == 0)
      has_ended = true;
    if (n < 0)
      was_reset = true;
    if (n <= 0)
      return false;
    buffer.append (piece, 0, (size_t)n);
    return true;
  }
  bool
  read_head (Head *out, long timeout_ms)
  {
    size_t end;
    while ((end = buffer.find ("\r\n\r\n")) == string::npos)
      if (!more (timeout_ms))
        return false;
    *out = parse_head (buffer.substr (0, end));
    buffer.erase (0, end + 4);
    return true;
  }
  bool
  read_bytes (size_t count, string *out, long timeout_ms)
  {
    while (buffer.size () < count)
      if (!more (timeout_ms))
        return false;
    out->append (buffer, 0, count);
    buffer.erase (0, count);
    return true;
  }
  bool
  read_chunks (string *out, long timeout_ms)
  {
    for (;;)
      {
        size_t end;
        while ((end = buffer.find ("\r\n")) == string::npos)
          if (!more (timeout_ms))
            return false;
        size_t size = strtoul (buffer.c_str (), nullptr, 16);
        buffer.erase (0, end + 2);
        string crlf;
        if (!read_bytes (size, out, timeout_ms)
            || !read_bytes (2, &crlf, timeout_ms))
          return false;
        if (size == 0)
          return true;
      }
  }
};

struct Answer
{
  int status = 0; ///< Zero: none.
  Head head;
  string body;
  bool is_complete = false;
  string how = "nothing came"; ///< How it ended, if it is not complete.
};

inline string
end_of (const Conn &conn)
{
  return conn.was_reset   ? "the connection was reset"
         : conn.has_ended ? "the connection was closed"
                          : "silence";
}

/// Read one answer.
inline Answer
read_answer (Conn &conn, long timeout_ms)
{
  Answer a;
  if (!conn.read_head (&a.head, timeout_ms))
    {
      a.how = end_of (conn);
      return a;
    }
  a.status = atoi (a.head.start.c_str () + 9);
  if (a.head.get ("transfer-encoding") == "chunked")
    a.is_complete = conn.read_chunks (&a.body, timeout_ms);
  else
    a.is_complete = conn.read_bytes (
        (size_t)atol (a.head.get ("content-length").c_str ()), &a.body,
        timeout_ms);
  if (!a.is_complete)
    {
      a.body += conn.buffer;
      a.how = end_of (conn);
    }
  return a;
}

inline string
make_answer (int status, const string &fields, const string &body)
{
  return "HTTP/1.1 " + std::to_string (status) + " Status\r\n" + fields
         + "Content-Length: " + std::to_string (body.size ()) + "\r\n\r\n"
         + body;
}

inline string
chunk (const string &bytes)
{
  char size[24];
  snprintf (size, sizeof size, "%zx\r\n", bytes.size ());
  return size + bytes + "\r\n";
}

/// A server with one thread a connection.
struct Server
{
  string ip;
  int port;
  int listener = -1;
  std::atomic<bool> is_stopping{ false };
  std::function<void (Conn &)> serve;
  explicit Server (const string &its_ip) : ip (its_ip), port (0) {}
  void
  start (int receive_bytes = 0)
  {
    listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (receive_bytes > 0)
      setsockopt (listener, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                  sizeof receive_bytes);
    sockaddr_in a = address_of (ip, port);
    socklen_t size = sizeof a;
    if (bind (listener, (sockaddr *)&a, sizeof a) != 0
        || listen (listener, 256) != 0
        || getsockname (listener, (sockaddr *)&a, &size) != 0)
      {
        perror ("listen");
        exit (2);
      }
    port = ntohs (a.sin_port);
    std::thread ([this] {
      for (;;)
        {
          int fd = accept4 (listener, nullptr, nullptr, SOCK_CLOEXEC);
          if (fd < 0)
            return;
          int one = 1;
          setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
          std::thread ([this, fd] {
            Conn conn (fd);
            serve (conn);
          }).detach ();
        }
    }).detach ();
  }
  string
  address () const
  {
    return ip + ":" + std::to_string (port);
  }
};

// ----------------------------------------------------------------- the store

inline string
base64 (const string &in)
{
  static const char t[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  string out;
  for (size_t i = 0; i < in.size (); i += 3)
    {
      unsigned v = (unsigned char)in[i] << 16;
      if (i + 1 < in.size ())
        v |= (unsigned char)in[i + 1] << 8;
      if (i + 2 < in.size ())
        v |= (unsigned char)in[i + 2];
      out += t[v >> 18];
      out += t[v >> 12 & 63];
      out += i + 1 < in.size () ? t[v >> 6 & 63] : '=';
      out += i + 2 < in.size () ? t[v & 63] : '=';
    }
  return out;
}

/// The platform's store, as PROTOCOL.md tells it. What the daemons write
/// (leases, transactions) is acknowledged and kept as it was sent.
struct Store : Server
{
  struct Event
  {
    string key;
    string value; ///< In base64.
    long revision;
    bool is_gone;
  };
  std::mutex mutex;
  std::condition_variable changed;
  std::map<string, Event> items;
  std::vector<Event> history;
  long revision = 1;
  long lease = 100;
  std::atomic<long> writes_by_daemons{ 0 };
  explicit Store (const string &its_ip) : Server (its_ip)
  {
    serve = [this] (Conn &c) { serve_all (c); };
    start ();
  }
  void
  put_encoded (const string &key, const string &value)
  {
    std::lock_guard<std::mutex> lock (mutex);
    Event e = { key, value, ++revision, false };
    items[key] = e;
    history.push_back (e);
    changed.notify_all ();
  }
  void
  put (const string &key, const string &value)
  {
    put_encoded (key, base64 (value));
  }
  void
  remove (const string &key)
  {
    std::lock_guard<std::mutex> lock (mutex);
    if (items.erase (key) == 0)
      return;
    history.push_back ({ key, "", ++revision, true });
    changed.notify_all ();
  }
  static string
  json_of (const Event &e)
  {
    if (e.is_gone)
      return "{\"Key\":\"" + e.key + "\",\"Revision\":"
             + std::to_string (e.revision) + ",\"Tombstone\":true}";
    return "{\"Key\":\"" + e.key + "\",\"Value\":\"" + e.value
           + "\",\"Revision\":" + std::to_string (e.revision)
           + ",\"Created\":" + std::to_string (e.revision) + ",\"Lease\":0}";
  }
  static string
  query (const string &target, const string &name)
  {
    size_t at = target.find (name + "=");
    if (at == string::npos)
      return "";
    at += name.size () + 1;
    string out;
    for (size_t end = target.find ('&', at);
         at < target.size () && at != end; at++)
      if (target[at] == '%')
        {
          out += (char)strtol (target.substr (at + 1, 2).c_str (), nullptr,
                               16);
          at += 2;
        }
      else
        out += target[at];
    return out;
  }
  static bool
  has_prefix (const string &key, const string &prefix)
  {
    return key.compare (0, prefix.size (), prefix) == 0;
  }
  string
  range (const string &target)
  {
    std::lock_guard<std::mutex> lock (mutex);
    string prefix = query (target, "Prefix");
    string after = query (target, "after");
    string list;
    int count = 0;
    bool is_truncated = false;
    for (auto &[key, e] : items)
      {
        if (!has_prefix (key, prefix) || (!after.empty () && key <= after))
          continue;
        if (count++ == 500)
          {
            is_truncated = true;
            break;
          }
        list += (list.empty () ? "" : ",") + json_of (e);
      }
    return "{\"items\":[" + list + "],\"Truncated\":"
           + (is_truncated ? "true" : "false") + ",\"AsOf\":"
           + std::to_string (revision) + "}";
  }
  string
  watch (const string &target)
  {
    string prefix = query (target, "Prefix");
    long after = atol (query (target, "after").c_str ());
    long wait_ms = atol (query (target, "WaitMs").c_str ());
    std::unique_lock<std::mutex> lock (mutex);
    auto end = Clock::now () + std::chrono::milliseconds (wait_ms);
    string list;
    for (;;)
      {
        for (auto &e : history)
          if (e.revision > after && has_prefix (e.key, prefix))
            list += (list.empty () ? "" : ",") + json_of (e);
        if (!list.empty ()
            || changed.wait_until (lock, end) == std::cv_status::timeout)
          break;
      }
    return "{\"events\":[" + list + "],\"AsOf\":" + std::to_string (revision)
           + "}";
  }
  /// Strings that follow a member name, in order.
  static std::vector<string>
  strings_of (const string &text, const string &name)
  {
    std::vector<string> out;
    string mark = "\"" + name + "\":\"";
    for (size_t at = text.find (mark); at != string::npos;
         at = text.find (mark, at))
      {
        at += mark.size ();
        out.push_back (text.substr (at, text.find ('"', at) - at));
      }
    return out;
  }
  string
  write (const Head &head, const string &body)
  {
    writes_by_daemons++;
    if (has_prefix (head.target (), "/kv-lease"))
      return "{\"Lease\":" + std::to_string (++lease) + ",\"TtlMs\":600000}";
    if (!has_prefix (head.target (), "/kv-txn"))
      return "{}";
    string puts = body.substr (body.find ("\"Puts\""));
    auto keys = strings_of (puts, "Key");
    auto values = strings_of (puts, "Value");
    for (size_t i = 0; i < keys.size () && i < values.size (); i++)
      put_encoded (keys[i], values[i]);
    std::lock_guard<std::mutex> lock (mutex);
    return "{\"Revision\":" + std::to_string (revision) + "}";
  }
  void
  serve_all (Conn &conn)
  {
    Head head;
    while (conn.read_head (&head, 60000))
      {
        string body;
        if (!conn.read_bytes (
                (size_t)atol (head.get ("content-length").c_str ()), &body,
                5000))
          return;
        string target = head.target ();
        string out = has_prefix (target, "/kv-range")   ? range (target)
                     : has_prefix (target, "/kv-watch") ? watch (target)
                                                        : write (head, body);
        if (!send_all (conn.fd, make_answer (
                                    200, "Content-Type: application/json\r\n",
                                    out)))
          return;
      }
  }
};

// --------------------------------------------------------------- the replicas

/// A replica. Its reports and orders are those of an engine with one model and
/// no adapters; requests go to `handle`, which sends the whole answer and
/// returns whether the connection is kept.
struct Replica : Server
{
  string id;
  std::function<bool (Conn &, const Head &)> handle;
  std::mutex mutex;
  std::map<string, int> runs;
  /// Milliseconds that remain of a removal at short notice; negative: none.
  std::atomic<int> remaining_ms{ -1 };
  Replica (const string &its_ip, const string &its_id)
      : Server (its_ip), id (its_id)
  {
    serve = [this] (Conn &c) { serve_all (c); };
  }
  void
  count_run (const string &attempt)
  {
    std::lock_guard<std::mutex> lock (mutex);
    runs[attempt]++;
  }
  int
  runs_of (const string &attempt)
  {
    std::lock_guard<std::mutex> lock (mutex);
    return runs[attempt];
  }
  string
  fields_of (const Head &head) const
  {
    return "X-Knapweedbay-Attempt-Id: "
           + head.get ("x-knapweedbay-attempt-id")
           + "\r\nX-Knapweedbay-Server-Seal: seal." + id + "\r\n";
  }
  void
  serve_all (Conn &conn)
  {
    Head head;
    while (conn.read_head (&head, 60000))
      {
        string target = head.target ();
        string json = "Content-Type: application/json\r\n";
        if (target == "/health")
          {
            if (!send_all (conn.fd, make_answer (remaining_ms < 0 ? 200 : 503,
                                                 "X-Knapweedbay-Instance-Id: "
                                                     + id + "\r\n",
                                                 "")))
              return;
          }
        else if (target == "/report")
          {
            string report
                = "{\"Stage\":\"colocated\",\"Models\":[{\"Name\":\"m\","
                  "\"Version\":1,\"Adapters\":[]}],\"Coming\":[],\"Busy\":"
                  "false,\"Seq\":0,\"Queued\":0,\"Running\":0,\"KvUsed\":0,"
                  "\"KvTotal\":190000,\"Handles\":0,"
                  + string (remaining_ms < 0
                                ? "\"State\":\"ready\","
                                : "\"State\":\"draining\",\"RemainingMs\":"
                                      + std::to_string (remaining_ms) + ",")
                  + "\"Runs\":[],\"AtHand\":{\"InMemory\":[\"m\"],\"OnDisk\":"
                  "[\"m\"]}}";
            if (!send_all (conn.fd, make_answer (200, json, report)))
              return;
          }
        else if (target == "/order")
          {
            string body;
            if (!conn.read_bytes (
                    (size_t)atol (head.get ("content-length").c_str ()),
                    &body, 5000)
                || !send_all (conn.fd, make_answer (200, json, "{}")))
              return;
          }
        else
          {
            string expected = head.get ("x-knapweedbay-expect-instance");
            if (!expected.empty () && expected != id)
              {
                send_all (conn.fd,
                          make_answer (421, "Connection: close\r\n", ""));
                return;
              }
            if (!handle (conn, head))
              return;
          }
      }
  }
  /// Read the body of a request.
  static bool
  read_body (Conn &conn, const Head &head, string *body)
  {
    return conn.read_bytes (
        (size_t)atol (head.get ("content-length").c_str ()), body, 60000);
  }
};

inline string
entry_of (const Replica &r, const string &service, int slots,
          const string &state = "ready")
{
  return "{\"Service\":\"" + service + "\",\"Address\":\"" + r.address ()
         + "\",\"Zone\":\"zone-a\",\"Version\":\"v1\",\"Slots\":"
         + std::to_string (slots) + ",\"State\":\"" + state
         + "\",\"ColdLeftMs\":0,\"Seq\":1}";
}

// ---------------------------------------------------------------- the daemons

struct Daemon
{
  string name;
  string settings;
  string log;
  pid_t pid = 0;
};

/// A small deployment: one store, daemons, and whatever replicas a case makes.
struct Site
{
  string dir;
  Store store;
  int inner_port;
  std::vector<Daemon> daemons;
  string front_ip = own_ip (200);
  int front_port = 0;
  int ready_port = 0;
  Site () : store (own_ip (240))
  {
    char pattern[] = "/tmp/review-2-XXXXXX";
    if (!mkdtemp (pattern))
      exit (2);
    dir = pattern;
    inner_port = free_port (own_ip (1));
    signal (SIGPIPE, SIG_IGN);
  }
  ~Site () { end (); }
  void
  end ()
  {
    for (Daemon &d : daemons)
      stop (d, SIGKILL);
    daemons.clear ();
    if (!dir.empty () && !getenv ("KEEP_LOGS"))
      {
        string command = "rm -rf '" + dir + "'";
        if (system (command.c_str ()) != 0)
          fprintf (stderr, "cannot remove %s\n", dir.c_str ());
      }
    dir.clear ();
  }
  /// Settings as deploy/settings.template renders them for a small site.
  Daemon &
  add (const string &name, const string &ip, const string &members,
       int memory_mb)
  {
    Daemon d;
    d.name = name;
    d.settings = dir + "/" + name + ".json";
    d.log = dir + "/" + name + ".log";
    std::ofstream (d.settings)
        << "{\"interface\":\"relay\"," << members << ",\"name\":\"" << name
        << "\",\"failure_domain\":\"zone-a\",\"listen_address\":\"" << ip
        << "\",\"inner_port\":" << inner_port
        << ",\"metrics_port\":9464,\"memory_mb\":" << memory_mb
        << ",\"store_address\":\"" << store.address ()
        << "\",\"grace_s\":8,\"leave_bound_ms\":2000,\"version_bound_ms\":5000"
           ",\"retry_ratio\":0.2,\"retry_window_s\":10,\"retry_slack\":58}\n";
    start (d);
    daemons.push_back (d);
    return daemons.back ();
  }
  Daemon &
  add_front ()
  {
    front_port = free_port (front_ip);
    ready_port = free_port (front_ip);
    return add ("front-1", front_ip,
                "\"role\":\"entry\",\"public_address\":\"" + front_ip + ":"
                    + std::to_string (front_port) + "\",\"ready_address\":\""
                    + front_ip + ":" + std::to_string (ready_port) + "\"",
                260);
  }
  Daemon &
  add_side (const Replica &engine, const string &service)
  {
    return add ("side-" + engine.id, engine.ip,
                "\"role\":\"agent\",\"engine_address\":\"" + engine.address ()
                    + "\",\"service\":\"" + service + "\"",
                192);
  }
  void
  start (Daemon &d)
  {
    const char *binary = getenv ("DAEMON");
    string path = binary ? binary : "target/bin/knapweedbayd";
    d.pid = fork ();
    if (d.pid != 0)
      return;
    int log = open (d.log.c_str (), O_CREAT | O_WRONLY | O_APPEND, 0600);
    dup2 (log, 1);
    dup2 (log, 2);
    for (int fd = 3; fd < 1024; fd++)
      close (fd);
    execl (path.c_str (), "knapweedbayd", d.settings.c_str (), nullptr);
    _exit (127);
  }
  void
  stop (Daemon &d, int how)
  {
    if (d.pid <= 0)
      return;
    kill (d.pid, how);
    kill (d.pid, SIGCONT);
    waitpid (d.pid, nullptr, 0);
    d.pid = 0;
  }
  Daemon &
  named (const string &name)
  {
    for (Daemon &d : daemons)
      if (d.name == name)
        return d;
    exit (2);
  }
  int
  client (int receive_bytes = 0, int segment_bytes = 0)
  {
    return dial (front_ip, front_port, receive_bytes, segment_bytes);
  }
  int
  ready_status ()
  {
    int fd = dial (front_ip, ready_port);
    if (fd < 0)
      return 0;
    Conn conn (fd);
    send_all (fd, "GET /ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n");
    return read_answer (conn, 1000).status;
  }
  /// Wait until the front machine is ready and a request on a path is served.
  bool
  wait_served (const string &request)
  {
    long end = now_ms () + 20000;
    while (now_ms () < end)
      {
        int fd = ready_status () == 200 ? client () : -1;
        if (fd >= 0)
          {
            Conn conn (fd);
            send_all (fd, request);
            if (read_answer (conn, 5000).status == 200)
              return true;
          }
        sleep_ms (100);
      }
    return false;
  }
};

inline bool
has_trouble ()
{
  const char *text = getenv ("TROUBLE");
  return !text || strcmp (text, "0") != 0;
}

/// Set up the record and a limit on the whole run.
inline void
begin (const char *record_path)
{
  epoch ();
  record.open (record_path);
  alarm (115);
}
} // namespace rv
