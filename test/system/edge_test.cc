// TLS, traces, limits, unauthenticated and malformed peers, slow senders,
// drain limit.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>
#include <zmq.h>

#include <fstream>
#include <set>
#include <sstream>
#include <thread>

#include "cluster.h"

using kb::Answer;
using kb::Cluster;
using kb::ClusterOptions;

namespace
{

/// Write a self-signed certificate and its key.
void
make_certificate (const std::string &cert_path, const std::string &key_path)
{
  EVP_PKEY *key = EVP_RSA_gen (2048);
  X509 *cert = X509_new ();
  ASN1_INTEGER_set (X509_get_serialNumber (cert), 1);
  X509_gmtime_adj (X509_getm_notBefore (cert), 0);
  X509_gmtime_adj (X509_getm_notAfter (cert), 86400);
  X509_set_pubkey (cert, key);
  X509_NAME *name = X509_get_subject_name (cert);
  X509_NAME_add_entry_by_txt (name, "CN", MBSTRING_ASC,
                              (const unsigned char *)"127.0.0.1", -1, -1, 0);
  X509_set_issuer_name (cert, name);
  X509_sign (cert, key, EVP_sha256 ());
  FILE *file = fopen (cert_path.c_str (), "w");
  PEM_write_X509 (file, cert);
  fclose (file);
  file = fopen (key_path.c_str (), "w");
  PEM_write_PrivateKey (file, key, nullptr, nullptr, 0, nullptr, nullptr);
  fclose (file);
  X509_free (cert);
  EVP_PKEY_free (key);
}

int
connect_to_port (int port)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  sockaddr_in addr = {};
  addr.sin_family = AF_INET;
  addr.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, "127.0.0.1", &addr.sin_addr);
  EXPECT_EQ (connect (fd, (sockaddr *)&addr, sizeof addr), 0);
  return fd;
}

std::string
read_file (const std::string &path)
{
  std::ifstream in (path);
  std::stringstream text;
  text << in.rdbuf ();
  return text.str ();
}

} // namespace

// One entry serves TLS and refuses plain HTTP.
TEST (Edge, TlsForCallers)
{
  Cluster c (ClusterOptions{});
  c.start ();
  std::string cert = c.dir + "/cert.pem";
  std::string key = c.dir + "/key.pem";
  make_certificate (cert, key);
  c.options.extra_entry = "\"tls_certificate_file\":\"" + cert
                          + "\",\"tls_key_file\":\"" + key + "\",";
  kb::EntryNode tls;
  tls.name = "entry9";
  tls.domain = "rundu-a";
  c.start_entry (tls);
  c.entries.push_back (tls);
  c.publish ();
  std::string auth = "Authorization: Bearer kavango-key";
  Answer answer;
  EXPECT_TRUE (Cluster::wait_until ([&] {
    answer = kb::http_call ("POST", tls.process.http_port, "/v1/completions",
                            "{\"model\":\"a1@1\",\"prompt\":\"t\","
                            "\"max_tokens\":3}",
                            { auth }, 5000, true);
    return answer.status == 200;
  }));
  EXPECT_EQ (Cluster::text_of (answer),
             Cluster::expected_text ("a1@1", "t", 3));
  EXPECT_EQ (kb::http_call ("GET", tls.process.http_port, "/healthz").status,
             0);
}

// A request exports a span for each hop, all with the caller's trace id.
TEST (Edge, SpansForEveryHop)
{
  ClusterOptions o;
  o.extra_entry = "\"trace_stdout\":true,";
  o.extra_agent = "\"trace_stdout\":true,";
  Cluster c (o);
  c.start ();
  std::string trace = "4bf92f3577b34da6a3ce929d0e0e4736";
  Answer answer
      = c.complete (0, "a7@1", "traced",
                    { "traceparent: 00-" + trace + "-00f067aa0ba902b7-01" });
  ASSERT_EQ (answer.status, 200);
  EXPECT_NE (answer.headers["traceparent"].find (trace), std::string::npos);
  std::set<std::string> expected_spans
      = { "entry.receive", "entry.route", "agent.queue", "adapter.load",
          "engine.run" };
  EXPECT_TRUE (Cluster::wait_until (
      [&] {
        std::string all = read_file (c.dir + "/entry0.log");
        for (auto &t : c.targets)
          all += read_file (c.dir + "/" + t.name + ".log");
        std::istringstream lines (all);
        std::string line;
        std::set<std::string> found;
        while (std::getline (lines, line))
          for (auto &name : expected_spans)
            if (line.find (trace) != std::string::npos
                && line.find ("\"name\":\"" + name + "\"")
                       != std::string::npos)
              found.insert (name);
        return found == expected_spans;
      },
      3000));
}

// A workspace exceeds its rate: it gets 429, outcome not_run and a Retry-After
// header, and another workspace isn't affected.
TEST (Edge, WorkspaceLimits)
{
  Cluster c (ClusterOptions{});
  c.start ();
  std::ofstream (c.config_dir + "/30-limit.json")
      << "{\"workspaces\":{\"reseller\":{\"key_sha256\":\""
      << kb::sha256_hex ("reseller-key")
      << "\",\"class\":5,\"rate_per_s\":1}}}";
  ASSERT_EQ (c.apply (), 0);
  ASSERT_TRUE (Cluster::wait_until (
      [&] { return c.status_int (c.entries[0].process, "revision") == 2; }));
  int limited_count = 0;
  for (int i = 0; i < 5; i++)
    {
      Answer answer
          = c.complete (0, "a1@1", "r", {}, 2, false, "reseller-key");
      if (answer.status != 429)
        continue;
      limited_count++;
      EXPECT_EQ (answer.headers["x-knapweedbay-outcome"], "not_run");
      EXPECT_NE (answer.headers["retry-after"], "");
    }
  EXPECT_GE (limited_count, 3);
  EXPECT_EQ (c.complete (0, "a1@1", "r").status, 200);
}

// A client with an unknown CURVE key and one that sends garbage connect to the
// inner port. They are counted, nothing crashes, and requests are served.
TEST (Edge, UnauthenticatedPeersOnInnerPort)
{
  Cluster c (ClusterOptions{});
  c.start ();
  kb::Target &t = c.targets[0];
  char public_key[41];
  char secret_key[41];
  zmq_curve_keypair (public_key, secret_key);
  std::string settings = read_file (c.dir + "/" + t.name + ".json");
  size_t at = settings.find ("\"curve_public_key\":\"") + 20;
  std::string server_key = settings.substr (at, 40);
  void *context = zmq_ctx_new ();
  void *socket = zmq_socket (context, ZMQ_DEALER);
  int zero = 0;
  zmq_setsockopt (socket, ZMQ_LINGER, &zero, sizeof zero);
  zmq_setsockopt (socket, ZMQ_CURVE_PUBLICKEY, public_key, 41);
  zmq_setsockopt (socket, ZMQ_CURVE_SECRETKEY, secret_key, 41);
  zmq_setsockopt (socket, ZMQ_CURVE_SERVERKEY, server_key.c_str (), 41);
  std::string address
      = "tcp://127.0.0.1:" + std::to_string (t.agent.inner_port);
  zmq_connect (socket, address.c_str ());
  zmq_send (socket, "hello", 5, ZMQ_DONTWAIT);
  int fd = connect_to_port (t.agent.inner_port);
  std::string garbage (300, '\xff');
  EXPECT_GT (write (fd, garbage.data (), garbage.size ()), 0);
  EXPECT_TRUE (Cluster::wait_until ([&] {
    return c.metric (t.agent, "knapweedbay_inner_strangers_total") > 0;
  }));
  close (fd);
  zmq_close (socket);
  zmq_ctx_term (context);
  for (int i = 0; i < 8; i++)
    EXPECT_EQ (c.complete (0, "a" + std::to_string (i) + "@1", "x").status,
               200);
}

// A peer sends messages that are truncated, of a newer version or not a
// message at all. They are counted and dropped, and requests are served.
TEST (Edge, MalformedInnerMessages)
{
  ClusterOptions o;
  o.has_curve = false;
  Cluster c (o);
  c.start ();
  kb::Target &t = c.targets[0];
  void *context = zmq_ctx_new ();
  void *socket = zmq_socket (context, ZMQ_DEALER);
  int zero = 0;
  zmq_setsockopt (socket, ZMQ_LINGER, &zero, sizeof zero);
  zmq_setsockopt (socket, ZMQ_ROUTING_ID, "odd", 3);
  std::string address
      = "tcp://127.0.0.1:" + std::to_string (t.agent.inner_port);
  zmq_connect (socket, address.c_str ());
  const std::string bad[]
      = { "", "x", std::string ("\x93\x01\x07", 3),
          std::string ("\x93\x02\x07\x01", 4),
          std::string ("\xdd\xff\xff\xff\xff\x01\x01", 7) };
  for (auto &message : bad)
    zmq_send (socket, message.data (), message.size (), 0);
  std::string malformed
      = "knapweedbay_inner_dropped_total{reason=\"malformed\"}";
  std::string newer
      = "knapweedbay_inner_dropped_total{reason=\"newer_version\"}";
  EXPECT_TRUE (Cluster::wait_until ([&] {
    return c.metric (t.agent, malformed) == 4
           && c.metric (t.agent, newer) == 1;
  }));
  zmq_close (socket);
  zmq_ctx_term (context);
  EXPECT_EQ (c.complete (0, "a1@1", "x").status, 200);
}

// A caller sends part of a body and nothing more. The read timeout closes its
// connection; other requests aren't delayed.
TEST (Edge, SlowSenderIsClosed)
{
  ClusterOptions o;
  o.extra_entry = "\"request_read_timeout_ms\":400,";
  Cluster c (o);
  c.start ();
  int fd = connect_to_port (c.entries[0].process.http_port);
  std::string partial_request = "POST /v1/completions HTTP/1.1\r\nhost: x\r\n"
                                "content-length: 1000\r\n\r\n{\"model\"";
  ASSERT_GT (write (fd, partial_request.data (), partial_request.size ()), 0);
  timeval read_timeout = { 5, 0 };
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &read_timeout, sizeof read_timeout);
  char buffer[256];
  ssize_t received;
  while ((received = read (fd, buffer, sizeof buffer)) > 0)
    ;
  EXPECT_EQ (received, 0) << "the connection was not closed";
  close (fd);
  EXPECT_EQ (c.complete (0, "a1@1", "x").status, 200);
}

// A request doesn't end during a drain. At the drain limit the daemon stops
// and reports this in its log and by its exit code.
TEST (Edge, DrainLimitIsReported)
{
  ClusterOptions o;
  o.extra_agent = "\"drain_limit_ms\":500,";
  o.engines = 1;
  Cluster c (o);
  c.start ();
  c.fault (c.targets[0].fake, "{\"hung\":true}");
  std::thread t ([&] {
    c.complete (0, "a1@1", "h", { "X-Knapweedbay-Idempotent: false" });
  });
  ASSERT_TRUE (
      Cluster::wait_until ([&] { return c.stat_sum ("running") == 1; }));
  Cluster::kill_process (c.targets[0].agent, SIGTERM);
  EXPECT_EQ (Cluster::wait_exit (c.targets[0].agent), 4);
  EXPECT_NE (
      read_file (c.targets[0].agent.log_path).find ("drain limit is reached"),
      std::string::npos);
  t.join ();
}

// The tool shows the status of a daemon and drains it; with a wrong operator
// key it fails.
TEST (Edge, ToolDrainsAndShowsStatus)
{
  Cluster c (ClusterOptions{});
  c.start ();
  std::string daemon
      = "127.0.0.1:" + std::to_string (c.targets[0].agent.http_port);
  std::string entry
      = "127.0.0.1:" + std::to_string (c.entries[0].process.http_port);
  std::string output;
  EXPECT_EQ (c.cli ({ "drain", "--daemon", daemon, "--key", "wrong" }), 3);
  EXPECT_EQ (c.cli ({ "status", "--daemon", entry, "--key", "operator-key" },
                    &output),
             0);
  EXPECT_NE (output.find ("engine0"), std::string::npos) << output;
  EXPECT_EQ (output.find ("\033["), std::string::npos);
  EXPECT_EQ (c.cli ({ "drain", "--daemon", daemon, "--key", "operator-key" }),
             0);
  EXPECT_EQ (Cluster::wait_exit (c.targets[0].agent), 0);
}
