// Decoding of the platform's documents and HTTP heads into internal types, and
// the directory that follows its store.
#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C"
{
#include "dialect.h"
#include "directory.h"
#include "document.h"
#include "engine.h"
}

namespace
{

kb_slice_t
slice (const std::string &text)
{
  return kb_slice_t{ text.data (), (uint32_t)text.size () };
}

const char kConfig[] = R"({"Version":7,"Routes":[
 {"Name":"r1","Host":"a.example","Prefix":"/x/","Kind":"streaming",
  "TimeoutMs":15000,"TargetLatencyMs":1000,"Priority":0,"Service":"s1",
  "MaxAttempts":1,"Resumable":false,"GapTargetMs":300},
 {"Name":"r2","Host":"a.example","Prefix":"/x/y/","Kind":"safe",
  "TimeoutMs":800,"TrafficSplit":[{"Service":"s1","Weight":90},
  {"Service":"s2","Weight":10}],"MaxAttempts":2}],
 "Services":[{"Name":"s1","HealthPath":"/health","MaxConns":630,
  "Engine":{"Slots":128,"KvCapacity":192854,"Models":[{"Name":"m",
  "WeightsMb":16100.0,"LoadTimeS":0.6,"AdapterSizeMb":14.0}],
  "WeightsMb":16900.0,"AdapterSlots":36,"LoadsPerS":4.4}},
  {"Name":"s2","HealthPath":"/health","MaxConns":110}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,
  "HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";

TEST (Document, ConfigurationIsDecoded)
{
  kb_error_t error = {};
  svc_config_t *config = doc_decode_platform_config (slice (kConfig), &error);
  ASSERT_NE (config, nullptr) << error.message;
  EXPECT_EQ (config->revision, 7u);
  const svc_route_t *route
      = svc_route_find (config, slice ("A.example:80"), slice ("/x/y/z?q=1"));
  ASSERT_NE (route, nullptr);
  EXPECT_STREQ (route->name, "r2");
  EXPECT_EQ (route->kind, SVC_KIND_SAFE);
  EXPECT_STREQ (svc_route_pick (route, 89), "s1");
  EXPECT_STREQ (svc_route_pick (route, 90), "s2");
  route = svc_route_find (config, slice ("a.example"), slice ("/x/z"));
  ASSERT_NE (route, nullptr);
  EXPECT_STREQ (route->name, "r1");
  EXPECT_EQ (svc_route_find (config, slice ("a.example"), slice ("/x")),
             nullptr);
  EXPECT_EQ (svc_route_find (config, slice ("b.example"), slice ("/x/")),
             nullptr);
  const svc_service_t *service = svc_service_find (config, "s1");
  ASSERT_NE (service, nullptr);
  EXPECT_TRUE (service->is_engine);
  EXPECT_EQ (service->adapter_slots, 36u);
  EXPECT_EQ (service->models[0].load_ms, 600u);
  EXPECT_EQ (config->limits.idle_timeout_ms, 15000u);
  svc_config_free (config);
}

TEST (Document, BadConfigurationReportsLocationAndReason)
{
  kb_error_t error = {};
  EXPECT_EQ (doc_decode_platform_config (slice ("{\"Version\":1"), &error),
             nullptr);
  EXPECT_NE (std::string (error.message).find ("configuration"),
             std::string::npos);
  std::string odd = kConfig;
  odd.replace (odd.find ("streaming"), 9, "something");
  EXPECT_EQ (doc_decode_platform_config (slice (odd), &error), nullptr);
  EXPECT_NE (std::string (error.message).find ("r1"), std::string::npos);
  EXPECT_NE (std::string (error.message).find ("something"),
             std::string::npos);
}

// The store returns a document with members of the wrong type or out of range.
// The process must neither crash nor substitute a default for what the
// operator meant: the document is rejected, and the last valid one stays in
// force.
TEST (Document, MembersOfWrongTypeAreRejected)
{
  const std::vector<std::pair<std::string, std::string>> bad = {
    { "\"Routes\":[", "\"Routes\":{},\"x\":[" },
    { "\"Version\":7", "\"Version\":0" },
    { "\"Version\":7", "\"Version\":-7" },
    { "\"Version\":7", "\"Version\":\"7\"" },
    { "\"Version\":7", "\"Version\":99999999999999999999" },
    { "\"TimeoutMs\":800", "\"TimeoutMs\":\"800\"" },
    { "\"TimeoutMs\":800", "\"TimeoutMs\":-1" },
    { "\"TimeoutMs\":800", "\"TimeoutMs\":1e30" },
    { "\"TimeoutMs\":800", "\"TimeoutMs\":0.5" },
    { "\"MaxAttempts\":2", "\"MaxAttempts\":[2]" },
    { "\"Resumable\":false", "\"Resumable\":\"no\"" },
    { "\"Prefix\":\"/x/\"", "\"Prefix\":\"x\"" },
    { "\"Prefix\":\"/x/\"", "\"Prefix\":\"\"" },
    { "\"Host\":\"a.example\"", "\"Host\":7" },
    { "\"Host\":\"a.example\"", "\"Host\":\"a\\u0000b\"" },
    { "\"TrafficSplit\":[{", "\"TrafficSplit\":7,\"x\":[{" },
    { "\"Weight\":90", "\"Weight\":\"90\"" },
    { "\"Models\":[{", "\"Models\":\"m\",\"x\":[{" },
    { "\"Slots\":128", "\"Slots\":{}" },
    { "\"LoadTimeS\":0.6", "\"LoadTimeS\":-1" },
    { "\"Limits\":{", "\"Limits\":[],\"x\":{" },
    { "\"IdleTimeoutMs\":15000", "\"IdleTimeoutMs\":true" },
  };
  for (const auto &[good, other] : bad)
    {
      kb_error_t error = {};
      std::string text = kConfig;
      size_t at = text.find (good);
      ASSERT_NE (at, std::string::npos) << good;
      text.replace (at, good.size (), other);
      svc_config_t *config = doc_decode_platform_config (slice (text), &error);
      EXPECT_EQ (config, nullptr) << other;
      EXPECT_NE (error.message[0], '\0') << other;
      svc_config_free (config);
    }
  kb_error_t error = {};
  auto report = std::make_unique<egn_report_t> ();
  EXPECT_EQ (plt_report_decode (
                 slice (R"({"Models":[{"Name":"m","Adapters":[null,1]}],
      "Coming":{},"AtHand":{"InMemory":[null]}})"),
                 report.get (), &error),
             KB_OK);
}

TEST (Document, TargetsAndVersionsAreDecoded)
{
  kb_error_t error = {};
  src_target_t target;
  ASSERT_EQ (doc_decode_target ("i-1", slice (R"({"Service":"s1",
    "Address":"10.128.0.9:8080","Zone":"d1","Version":"v1","Slots":128,
    "State":"draining","ColdLeftMs":0,"Seq":4,"born":1785123800000})"),
                                &target, &error),
             KB_OK)
      << error.message;
  EXPECT_EQ (target.identity.born_ms, 1785123800000u);
  EXPECT_STREQ (target.domain, "d1");
  EXPECT_TRUE (target.is_leaving);
  EXPECT_NE (doc_decode_target ("i-1", slice (R"({"Service":"s1"})"), &target,
                                &error),
             KB_OK);
  doc_version_t version;
  ASSERT_EQ (doc_decode_version (
                 "op/version/m.a1",
                 slice (R"({"Model":"m","Adapter":"a1","Version":3})"),
                 &version, &error),
             KB_OK);
  EXPECT_EQ (version.version, 3u);
  EXPECT_NE (doc_decode_version ("k", slice ("{}"), &version, &error), KB_OK);
}

const char kEntry[] = R"({"Service":"s1","Address":"10.128.0.9:8080",
  "Zone":"d1","Version":"v1","Slots":6,"State":"ready","ColdLeftMs":0,
  "Seq":4,"born":1785123800000})";

// Another writer puts an invalid entry beside those of the targets. It must be
// rejected with a reason: accepted, it would send requests to an address that
// no target of the fleet serves.
TEST (Document, EntriesOfOtherWritersAreRejected)
{
  const std::vector<std::pair<std::string, std::string>> bad = {
    { "\"Service\":\"s1\",", "" },
    { "\"Service\":\"s1\"", "\"Service\":\"\"" },
    { "\"Service\":\"s1\"", "\"Service\":[\"s1\"]" },
    { "\"Service\":\"s1\"", "\"Service\":\"s\\u00001\"" },
    { "\"Service\":\"s1\"", "\"Service\":\"" + std::string (200, 's') + "\"" },
    { "10.128.0.9:8080", "10.128.0.9" },
    { "10.128.0.9:8080", "10.128.0.9:0" },
    { "10.128.0.9:8080", "10.128.0.9:8080x" },
    { "10.128.0.9:8080", "10.128.0.9:99999" },
    { "10.128.0.9:8080", "0.0.0.0:8080" },
    { "10.128.0.9:8080", "target.example:8080" },
    { "\"Address\":\"10.128.0.9:8080\"", "\"Address\":8080" },
    { "\"Zone\":\"d1\"", "\"Zone\":1" },
    { "\"Version\":\"v1\"", "\"Version\":null" },
    { "\"Slots\":6", "\"Slots\":0" },
    { "\"Slots\":6", "\"Slots\":-6" },
    { "\"Slots\":6", "\"Slots\":\"6\"" },
    { "\"Slots\":6", "\"Slots\":1e9" },
    { "\"Slots\":6", "\"Slots\":99999999999" },
    { "\"State\":\"ready\"", "\"State\":\"warming\"" },
    { "\"State\":\"ready\",", "" },
    { "\"Seq\":4", "\"Seq\":\"4\"" },
    { "\"born\":1785123800000", "\"born\":\"1785123800000\"" },
    { "\"born\":1785123800000", "\"born\":1785123800.5" },
    { "\"born\":1785123800000", "\"born\":null" },
    { "\"born\":1785123800000", "\"born\":-1" },
    { "\"born\":1785123800000", "\"born\":0" },
    { "\"born\":1785123800000", "\"born\":99999999999999999999" },
    { "\"Seq\":4", "\"Seq\":4,\"Seq\":5" },
    { "{", "[" },
    { "\"Seq\":4", "\"Seq\":4,\"x\":" + std::string (5000, '[') },
  };
  kb_error_t error = {};
  src_target_t target;
  ASSERT_EQ (doc_decode_target ("i-1", slice (kEntry), &target, &error), KB_OK)
      << error.message;
  for (const auto &[good, other] : bad)
    {
      std::string text = kEntry;
      size_t at = text.find (good);
      ASSERT_NE (at, std::string::npos) << good;
      text.replace (at, good.size (), other);
      error = {};
      EXPECT_NE (doc_decode_target ("i-1", slice (text), &target, &error),
                 KB_OK)
          << other;
      EXPECT_NE (error.message[0], '\0') << other;
    }
  for (const std::string &text :
       { std::string (), std::string ("null"), std::string ("\xff\xfe\x00", 3),
         std::string (1 << 20, ' '), std::string (1 << 20, '[') })
    EXPECT_NE (doc_decode_target ("i-1", slice (text), &target, &error),
               KB_OK);
  for (const std::string &id :
       { std::string (), std::string (80, 'i'), std::string ("i 1"),
         std::string ("i\r\nX: y"), std::string ("a/b") })
    EXPECT_NE (
        doc_decode_target (id.c_str (), slice (kEntry), &target, &error),
        KB_OK)
        << id;
}

// The birth time is optional: an entry without one is about the incarnation
// already known.
TEST (Document, EntryWithoutBirthTimeIsAccepted)
{
  kb_error_t error = {};
  src_target_t target;
  std::string text = kEntry;
  std::string member = ",\"born\":1785123800000";
  text.erase (text.find (member), member.size ());
  ASSERT_EQ (doc_decode_target ("i-1", slice (text), &target, &error), KB_OK)
      << error.message;
  EXPECT_EQ (target.identity.born_ms, 0u);
}

TEST (Report, InvalidBirthTimeIsTreatedAsAbsent)
{
  auto report = std::make_unique<egn_report_t> ();
  kb_error_t error = {};
  ASSERT_EQ (plt_report_decode (slice (R"({"born":1785123800000,"Seq":1})"),
                                report.get (), &error),
             KB_OK);
  EXPECT_EQ (report->born_ms, 1785123800000u);
  for (const char *text :
       { R"({"Seq":1})", R"({"born":null})", R"({"born":"1785123800000"})",
         R"({"born":1.5})", R"({"born":-3})", R"({"born":0})",
         R"({"born":[1]})", R"({"born":999999999999999})" })
    {
      ASSERT_EQ (plt_report_decode (slice (text), report.get (), &error),
                 KB_OK);
      EXPECT_EQ (report->born_ms, 0u) << text;
    }
}

TEST (Report, ListsLoadedAndLoadingAdapters)
{
  kb_error_t error = {};
  auto report = std::make_unique<egn_report_t> ();
  ASSERT_EQ (plt_report_decode (slice (R"({"Models":[{"Name":"m","Version":1,
    "Adapters":["a1@2","a2@1"]}],"Coming":["m/a3@1"],"Busy":false,"Seq":9,
    "Queued":1,"Running":12,"KvUsed":41000,"KvTotal":90000,
    "State":"draining","RemainingMs":1500,
    "AtHand":{"InMemory":["m"],"OnDisk":[]}})"),
                                report.get (), &error),
             KB_OK);
  EXPECT_TRUE (report->is_leaving);
  EXPECT_EQ (report->leaves_in_ms, 1500u);
  EXPECT_EQ (report->seq, 9u);
  ASSERT_EQ (report->adapter_count, 3u);
  EXPECT_STREQ (report->adapters[0].name, "m/a1");
  EXPECT_EQ (report->adapters[0].version, 2u);
  EXPECT_STREQ (report->adapters[2].name, "m/a3");
  EXPECT_TRUE (report->adapters[2].is_loading);
  EXPECT_EQ (report->cached_model_count, 1u);
  EXPECT_NE (plt_report_decode (slice ("[1"), report.get (), &error), KB_OK);
}

/// Provides a parsed head without a socket.
class DialectTest : public ::testing::Test
{
protected:
  void
  parse (const std::string &text, bool is_answer = false)
  {
    conn = {};
    http_parser_init (&conn.parser, is_answer ? HTTP_RESPONSE : HTTP_REQUEST);
    size_t line_end = text.find ("\r\n");
    std::string line = text.substr (0, line_end);
    if (is_answer)
      conn.parser.status_code = (unsigned)atoi (line.c_str () + 9);
    else
      {
        size_t from = line.find (' ') + 1;
        std::string target = line.substr (from, line.rfind (' ') - from);
        kb_buf_append (&conn.head.bytes, target.data (), target.size ());
        conn.head.target_bytes = (uint32_t)target.size ();
        conn.parser.method = line[0] == 'P' ? HTTP_POST : HTTP_GET;
      }
    conn.parser.http_major = 1;
    conn.parser.http_minor = 1;
    size_t at = line_end + 2;
    while (at < text.size ())
      {
        size_t end = text.find ("\r\n", at);
        size_t colon = text.find (": ", at);
        h1_field_t field = {};
        field.name_offset = (uint32_t)conn.head.bytes.len_bytes;
        field.name_bytes = (uint32_t)(colon - at);
        kb_buf_append (&conn.head.bytes, text.data () + at, colon - at);
        field.value_offset = (uint32_t)conn.head.bytes.len_bytes;
        field.value_bytes = (uint32_t)(end - colon - 2);
        kb_buf_append (&conn.head.bytes, text.data () + colon + 2,
                       end - colon - 2);
        conn.head.fields[conn.head.field_count++] = field;
        at = end + 2;
      }
  }
  void
  TearDown () override
  {
    kb_buf_finish (&conn.head.bytes);
  }
  std::string
  forwarded_request (const rly_forward_t &forward)
  {
    kb_buf_t out = {};
    plt_dialect.write_request (&conn, &forward, &out);
    std::string text (out.ptr, out.len_bytes);
    kb_buf_finish (&out);
    return text;
  }
  h1_conn_t conn;
};

const char kRequest[] = "POST /p/2f HTTP/1.1\r\n"
                        "Host: a.example\r\n"
                        "X-Knapweedbay-Attempt-Id: 9c41\r\n"
                        "X-Knapweedbay-Model: m/a7\r\n"
                        "X-Knapweedbay-Token-Counts: 1460,80\r\n"
                        "X-Knapweedbay-Prompt-Prefix: 5c:800,91:410,e4:250\r\n"
                        "X-Knapweedbay-Deadline-Ms: 12000\r\n"
                        "X-Knapweedbay-Hold: h1\r\n"
                        "X-Knapweedbay-Pin-Ms: 900\r\n"
                        "X-Knapweedbay-Kv-Backup: 10.0.0.1:1\r\n"
                        "Kv-From: 10.0.0.1:1/x\r\n"
                        "X-Knapweedbay-Expect-Instance: i-9\r\n"
                        "X-Knapweedbay-Request-Priority: 0\r\n"
                        "Connection: keep-alive, X-Odd\r\n"
                        "X-Odd: 1\r\n"
                        "X-Kept: 2\r\n"
                        "Content-Length: 3\r\n";

TEST_F (DialectTest, RequestIsParsed)
{
  parse (kRequest);
  rly_request_t parsed_request;
  kb_error_t error = {};
  ASSERT_EQ (plt_dialect.read_request (&conn.head, &parsed_request, &error),
             KB_OK);
  EXPECT_EQ (std::string (parsed_request.attempt_id.ptr,
                          parsed_request.attempt_id.len_bytes),
             "9c41");
  EXPECT_EQ (std::string (parsed_request.prompt_parts.ptr,
                          parsed_request.prompt_parts.len_bytes),
             "5c:800,91:410");
  EXPECT_EQ (
      std::string (parsed_request.model.ptr, parsed_request.model.len_bytes),
      "m");
  EXPECT_EQ (std::string (parsed_request.adapter.ptr,
                          parsed_request.adapter.len_bytes),
             "a7");
  EXPECT_EQ (parsed_request.prompt_tokens, 1460u);
  EXPECT_EQ (parsed_request.output_tokens, 80u);
  EXPECT_EQ (parsed_request.deadline_ms, 12000u);
  EXPECT_FALSE (parsed_request.is_resume);
}

// With these fields a caller could refer to the engine memory of another
// caller's run, or pin memory for itself. Only the gateway may set them, so
// they are never forwarded from a caller to a target.
TEST_F (DialectTest, SystemFieldsFromCallersAreDropped)
{
  parse (kRequest);
  rly_forward_t forward = {};
  forward.deadline_ms = 500;
  forward.priority = -1;
  forward.body_bytes = 3;
  std::string text = forwarded_request (forward);
  for (const char *name :
       { "Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Expect-Instance",
         "Request-Priority", "X-Odd", "Connection", "12000" })
    EXPECT_EQ (text.find (name), std::string::npos) << name;
  EXPECT_NE (text.find ("X-Kept: 2\r\n"), std::string::npos);
  EXPECT_NE (text.find ("X-Knapweedbay-Attempt-Id: 9c41\r\n"),
             std::string::npos);
  EXPECT_NE (text.find ("X-Knapweedbay-Deadline-Ms: 500\r\n"),
             std::string::npos);
  EXPECT_NE (text.find ("Content-Length: 3\r\n\r\n"), std::string::npos);
  EXPECT_EQ (text.compare (0, 20, "POST /p/2f HTTP/1.1\r"), 0);
}

TEST_F (DialectTest, ForwardedFieldsAreWritten)
{
  parse (kRequest);
  rly_forward_t forward = {};
  forward.deadline_ms = 500;
  forward.instance = kb_slice_str ("i-7");
  forward.adapter_version = 4;
  forward.priority = 2;
  forward.is_resume = true;
  forward.resume_after_event_id = 17;
  std::string text = forwarded_request (forward);
  EXPECT_NE (text.find ("Expect-Instance: i-7\r\n"), std::string::npos);
  EXPECT_NE (text.find ("Expect-Version: 4\r\n"), std::string::npos);
  EXPECT_NE (text.find ("Request-Priority: 2\r\n"), std::string::npos);
  EXPECT_NE (text.find ("Last-Event-Id: 17\r\n"), std::string::npos);
}

TEST_F (DialectTest, MalformedFieldsAreRejected)
{
  rly_request_t parsed_request;
  kb_error_t error = {};
  parse ("GET / HTTP/1.1\r\nHost: a\r\n");
  EXPECT_NE (plt_dialect.read_request (&conn.head, &parsed_request, &error),
             KB_OK);
  kb_buf_finish (&conn.head.bytes);
  parse ("GET / HTTP/1.1\r\nX-Knapweedbay-Attempt-Id: 1\r\n"
         "X-Knapweedbay-Deadline-Ms: 1e3\r\n");
  EXPECT_NE (plt_dialect.read_request (&conn.head, &parsed_request, &error),
             KB_OK);
  EXPECT_NE (std::string (error.message).find ("Deadline"), std::string::npos);
}

TEST_F (DialectTest, AnswersAreParsed)
{
  parse ("HTTP/1.1 503 X\r\nX-Knapweedbay-Not-Executed: 1\r\n"
         "Retry-After: 0.25\r\n",
         true);
  rly_response_t answer;
  plt_dialect.read_response (&conn, &answer);
  EXPECT_TRUE (answer.is_not_run);
  EXPECT_FALSE (answer.has_seal);
  EXPECT_EQ (answer.retry_after_ms, 250u);
  kb_buf_finish (&conn.head.bytes);
  parse ("HTTP/1.1 200 OK\r\nX-Knapweedbay-Server-Seal: s\r\n"
         "Content-Encoding: gzip\r\n",
         true);
  plt_dialect.read_response (&conn, &answer);
  EXPECT_TRUE (answer.has_seal);
  EXPECT_TRUE (answer.is_encoded);
  EXPECT_FALSE (answer.is_not_run);
}

TEST_F (DialectTest, LimitMustBeOneDecimalNumber)
{
  auto read = [this] (const std::string &fields) {
    kb_buf_finish (&conn.head.bytes);
    parse ("HTTP/1.1 200 OK\r\n" + fields, true);
    rly_response_t answer;
    plt_dialect.read_response (&conn, &answer);
    return answer;
  };
  EXPECT_FALSE (read ("X: 1\r\n").has_limit);
  EXPECT_EQ (read ("X: 1\r\n").malformed_field, nullptr);
  for (auto [text, per_s] : { std::pair ("4", 4.0),
                              { "4.9", 4.9 },
                              { " 0.25 ", 0.25 },
                              { "0", 0.0 },
                              { "7.", 7.0 },
                              { ".5", 0.5 } })
    {
      rly_response_t answer
          = read (std::string ("server-limit: ") + text + "\r\n");
      EXPECT_TRUE (answer.has_limit) << text;
      EXPECT_DOUBLE_EQ (answer.limit_per_s, per_s) << text;
    }
  for (const char *text :
       { "", "-4", "+4", "4x", "1e9", "0x4", "nan", "inf", ".", "4.5.6", "4,5",
         "4 5", "99999999999999999999999999999999999" })
    {
      rly_response_t answer
          = read (std::string ("Server-Limit: ") + text + "\r\n");
      EXPECT_FALSE (answer.has_limit) << text;
      EXPECT_STREQ (answer.malformed_field, "Server-Limit") << text;
    }
  EXPECT_FALSE (read ("Server-Limit: 4\r\nServer-Limit: 9\r\n").has_limit);
}

TEST_F (DialectTest, LeavingFieldMustBeZeroOrOne)
{
  auto read = [this] (const std::string &value) {
    kb_buf_finish (&conn.head.bytes);
    parse ("HTTP/1.1 200 OK\r\nserver-leaving: " + value
               + "\r\nServer-Limit: 4\r\n",
           true);
    rly_response_t answer;
    plt_dialect.read_response (&conn, &answer);
    // A malformed field must not affect the others.
    EXPECT_TRUE (answer.has_limit) << value;
    return answer;
  };
  EXPECT_TRUE (read ("1").is_leaving);
  EXPECT_FALSE (read ("0").is_leaving);
  EXPECT_EQ (read ("0").malformed_field, nullptr);
  for (const char *value : { "", "yes", "11", "-1", "1.0" })
    {
      EXPECT_FALSE (read (value).is_leaving) << value;
      EXPECT_STREQ (read (value).malformed_field, "Server-Leaving") << value;
    }
}

TEST_F (DialectTest, RetryAfterIsInSeconds)
{
  auto read = [this] (const std::string &value) {
    kb_buf_finish (&conn.head.bytes);
    parse ("HTTP/1.1 503 X\r\nRetry-After: " + value + "\r\n", true);
    rly_response_t answer;
    plt_dialect.read_response (&conn, &answer);
    return answer;
  };
  EXPECT_EQ (read ("3").retry_after_ms, 3000u);
  EXPECT_EQ (read ("0").retry_after_ms, 0u);
  EXPECT_EQ (read ("0.05").retry_after_ms, 50u);
  EXPECT_EQ (read ("86400").retry_after_ms, 3600000u);
  EXPECT_EQ (read ("3").malformed_field, nullptr);
  for (const char *value : { "soon", "-3", "3s", "", "nan", "1e3",
                             "Wed, 21 Oct 2026 07:28:00 GMT" })
    {
      EXPECT_EQ (read (value).retry_after_ms, 0u) << value;
      EXPECT_STREQ (read (value).malformed_field, "retry-after") << value;
    }
}

TEST_F (DialectTest, AmbiguousRequestsAreRejected)
{
  parse ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
         "Transfer-Encoding: chunked\r\n");
  EXPECT_FALSE (h1_request_is_well_formed (&conn));
  kb_buf_finish (&conn.head.bytes);
  parse ("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n");
  EXPECT_FALSE (h1_request_is_well_formed (&conn));
  kb_buf_finish (&conn.head.bytes);
  parse ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 3\r\n");
  EXPECT_FALSE (h1_request_is_well_formed (&conn));
  kb_buf_finish (&conn.head.bytes);
  parse ("POST / HTTP/1.1\r\nHost: a\r\nHost: b\r\n");
  EXPECT_FALSE (h1_request_is_well_formed (&conn));
  kb_buf_finish (&conn.head.bytes);
  parse ("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n");
  EXPECT_TRUE (h1_request_is_well_formed (&conn));
}

// Guards against a pause that does not grow with the bound for leaving
// targets: each gateway of a large fleet then reads the list as often as a
// small site needs, although its bound is longer. The longer pause must still
// leave room in the bound for the other delays of a notification.
TEST (Directory, ReadPauseFollowsLeaveBound)
{
  EXPECT_EQ (dir_read_pause_ms (2000), 700u);
  EXPECT_EQ (dir_read_pause_ms (3000), 1050u);
  EXPECT_EQ (dir_read_pause_ms (60000), 1200u);
}

// Guards against an era that is taken from a header that other software has
// joined, repeated or cut.
TEST (Store, EraIsOnePositiveNumber)
{
  auto parse = [] (const char *text, uint32_t count = 1) {
    return sto_parse_era (kb_slice_str (text), count);
  };
  EXPECT_EQ (parse ("7"), 7u);
  EXPECT_EQ (parse ("007"), 7u);
  EXPECT_EQ (parse ("7", 2), 0u);
  EXPECT_EQ (parse ("7", 0), 0u);
  for (const char *text : { "", "0", "-7", "+7", "7, 8", "7 8", "0x7", "seven",
                            "7.5", "9999999999999999999" })
    EXPECT_EQ (parse (text), 0u) << text;
}

class DirectoryTest : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    uv_loop_init (&loop);
    tmr_service_init (&timers, &loop);
    pool.loop = &loop;
    pool.timers = &timers;
    sockaddr_in address = {};
    dir_directory_init (&directory, &pool, &address, 2000);
    events.on_target = [] (void *owner, const src_target_t *target) {
      ((DirectoryTest *)owner)
          ->reported_events.push_back (std::string ("+")
                                       + target->identity.id);
    };
    events.on_target_removed = [] (void *owner, kb_slice_t id) {
      ((DirectoryTest *)owner)
          ->reported_events.push_back ("-"
                                       + std::string (id.ptr, id.len_bytes));
    };
    events.on_target_leaving = [] (void *owner, kb_slice_t id) {
      ((DirectoryTest *)owner)
          ->reported_events.push_back ("leaving "
                                       + std::string (id.ptr, id.len_bytes));
    };
    events.is_target_alive = [] (void *, kb_slice_t) { return false; };
    events.on_record = [] (void *owner, const src_record_t *record) {
      ((DirectoryTest *)owner)
          ->reported_events.push_back (
              std::string (record->key.ptr, record->key.len_bytes) + "="
              + std::string (record->value.ptr, record->value.len_bytes));
    };
    events.on_record_removed = [] (void *owner, kb_slice_t key) {
      ((DirectoryTest *)owner)
          ->reported_events.push_back ("no "
                                       + std::string (key.ptr, key.len_bytes));
    };
    directory.events = &events;
    directory.owner = this;
  }
  void
  TearDown () override
  {
    for (auto &item : items)
      kb_buf_finish (&item.value);
    directory.source.vtable->stop (&directory.source);
    sto_client_finish (&directory.store);
    tmr_service_finish (&timers);
    uv_run (&loop, UV_RUN_DEFAULT);
    EXPECT_EQ (uv_loop_close (&loop), 0);
  }
  void
  add_change (const char *id, bool is_gone)
  {
    sto_item_t item = {};
    snprintf (item.key, sizeof item.key, "servers/%s", id);
    item.is_gone = is_gone;
    if (!is_gone)
      kb_buf_append_str (&item.value,
                         "{\"Service\":\"s\",\"Address\":\"10.0.0.1:80\","
                         "\"Zone\":\"z\",\"Version\":\"v1\",\"Slots\":6,"
                         "\"State\":\"ready\",\"ColdLeftMs\":0,\"Seq\":1}");
    items.push_back (item);
  }
  void
  add_entry (const char *id, const char *text)
  {
    sto_item_t item = {};
    snprintf (item.key, sizeof item.key, "servers/%s", id);
    kb_buf_append_str (&item.value, text);
    items.push_back (item);
  }
  void
  apply_batch ()
  {
    sto_result_t changes = {};
    changes.items = items.data ();
    changes.item_count = (uint32_t)items.size ();
    dir_apply_target_changes (&directory, &changes);
  }
  void
  clear_batch ()
  {
    for (auto &item : items)
      kb_buf_finish (&item.value);
    items.clear ();
    reported_events.clear ();
  }
  uv_loop_t loop;
  tmr_service_t timers;
  xch_pool_t pool = {};
  dir_directory_t directory;
  src_events_t events = {};
  std::vector<sto_item_t> items;
  std::vector<std::string> reported_events;
};

// A target that restarts twice within one read pause is added and removed in
// one batch of changes. If removals were applied before entries, it would stay
// listed forever, and requests would go to an address that another service
// uses by now.
TEST_F (DirectoryTest, TargetAddedAndRemovedInOneBatchIsGone)
{
  add_change ("i-1", false);
  add_change ("i-1", true);
  apply_batch ();
  EXPECT_EQ (reported_events, (std::vector<std::string>{ "+i-1", "-i-1" }));
}

TEST_F (DirectoryTest, TargetRemovedAndAddedInOneBatchIsListed)
{
  add_change ("i-1", false);
  apply_batch ();
  items[0].is_gone = true;
  add_change ("i-1", false);
  apply_batch ();
  EXPECT_EQ (reported_events, (std::vector<std::string>{ "+i-1", "+i-1" }));
}

// A peer's changes are about another store, have a revision that is too far
// ahead, repeat known changes, or contradict themselves. Applying them would
// hide changes or restore old ones, so the state stays as it was and the store
// is read next.
TEST_F (DirectoryTest, InvalidPeerChangesAreRejected)
{
  struct InvalidChanges
  {
    uint64_t revision;
    uint64_t as_of;
    const char *key;
  };
  const InvalidChanges invalid_changes[] = {
    { 11, 2000000, "servers/i-1" }, // Too far ahead.
    { 10, 20, "servers/i-1" },      // Already known.
    { 21, 20, "servers/i-1" },      // Newer than the stated revision.
    { 11, 20, "" },
  };
  for (const InvalidChanges &test_case : invalid_changes)
    {
      flw_follower_t &f = directory.follower;
      flw_init (&f, 700, uv_now (&loop));
      f.readers[FLW_BATCH].as_of = 10;
      f.readers[FLW_BATCH].is_reading = true;
      src_change_t change = { test_case.revision, kb_slice_str (test_case.key),
                              kb_slice_str (kEntry), false };
      src_changes_t changes = {};
      changes.as_of = test_case.as_of;
      changes.began_ms = uv_now (&loop);
      changes.changes = &change;
      changes.change_count = 1;
      directory.source.vtable->on_changes (&directory.source, &changes);
      EXPECT_TRUE (reported_events.empty ())
          << test_case.key << test_case.revision;
      EXPECT_EQ (f.readers[FLW_BATCH].as_of, 10u);
      EXPECT_TRUE (f.is_store_read_due);
      directory.source.vtable->stop (&directory.source);
    }
}

// Records that gateways keep in the store are read together with the target
// list. Keys of other writers and expired records are not reported.
TEST_F (DirectoryTest, SystemRecordsAreReported)
{
  flw_follower_t &f = directory.follower;
  flw_init (&f, 700, uv_now (&loop));
  f.readers[FLW_BATCH].as_of = 10;
  f.readers[FLW_BATCH].is_reading = true;
  src_change_t list[] = {
    { 11, kb_slice_str ("knapweedbay/ends/1"), kb_slice_str ("v"), false },
    { 12, kb_slice_str ("knapweedbay/ends/2"), kb_slice_str (""), true },
    { 13, kb_slice_str ("other/ends/3"), kb_slice_str ("v"), false },
  };
  src_changes_t changes = {};
  changes.as_of = 20;
  changes.began_ms = uv_now (&loop);
  changes.changes = list;
  changes.change_count = 3;
  directory.source.vtable->on_changes (&directory.source, &changes);
  EXPECT_EQ (reported_events,
             (std::vector<std::string>{ "ends/1=v", "no ends/2" }));
}

// Several targets are removed at once, and the bound for leaving targets is
// short. The time for which their removal is delayed must fit into the bound
// together with the read pause before it.
TEST_F (DirectoryTest, MassRemovalStaysWithinLeaveBound)
{
  EXPECT_EQ (ros_mass_loss_retain_ms (3000), 800u);
  EXPECT_EQ (ros_mass_loss_retain_ms (2000), 800u);
  for (uint64_t bound_ms : { 500, 1000, 1500, 2000 })
    EXPECT_LE (ros_mass_loss_retain_ms (bound_ms)
                   + dir_read_pause_ms (bound_ms),
               bound_ms * 3 / 4);
}

// Some entries of a batch are invalid, because another writer made them. The
// valid entries on the same page must still be applied.
TEST_F (DirectoryTest, InvalidEntryDoesNotAffectOthers)
{
  add_change ("i-1", false);
  add_entry ("i-2", "{\"Service\":");
  add_entry ("i-3", "");
  add_entry ("i 4", "{}");
  add_change ("i-5", false);
  apply_batch ();
  EXPECT_EQ (reported_events, (std::vector<std::string>{ "+i-1", "+i-5" }));
}

// Guards against a live target that vanishes because an invalid entry replaces
// its valid one, and against its deletion that is then missed.
TEST_F (DirectoryTest, InvalidEntryHoldsTargetUntilItsDeletion)
{
  add_change ("i-1", false);
  apply_batch ();
  clear_batch ();
  add_entry ("i-1", "{\"Service\":7}");
  apply_batch ();
  EXPECT_EQ (reported_events, (std::vector<std::string>{}));
  clear_batch ();
  add_entry ("i-1", "");
  items.back ().fault = "the value is not valid base64";
  apply_batch ();
  EXPECT_EQ (reported_events, (std::vector<std::string>{}));
  clear_batch ();
  add_change ("i-1", true);
  apply_batch ();
  EXPECT_EQ (reported_events, (std::vector<std::string>{ "-i-1" }));
}

// Guards against requests to a target whose invalid entry says that it leaves.
TEST_F (DirectoryTest, InvalidEntryThatSaysSoMakesTargetLeave)
{
  add_change ("i-1", false);
  apply_batch ();
  clear_batch ();
  add_entry ("i-1", "{\"State\":\"draining\",\"Slots\":1e400}");
  apply_batch ();
  EXPECT_EQ (reported_events, (std::vector<std::string>{ "leaving i-1" }));
}

// A target that writes its birth time always does so. An entry that lacks it
// comes from another writer and is invalid: it must not count as confirming
// the target for ever.
TEST_F (DirectoryTest, EntryWithoutKnownBirthTimeOnlyHoldsTarget)
{
  add_entry ("i-1", kEntry);
  apply_batch ();
  EXPECT_EQ (reported_events, (std::vector<std::string>{ "+i-1" }));
  EXPECT_EQ (ros_held_count (&directory.roster), 0u);
  clear_batch ();
  add_change ("i-1", false);
  apply_batch ();
  EXPECT_EQ (reported_events, (std::vector<std::string>{}));
  EXPECT_EQ (ros_held_count (&directory.roster), 1u);
  clear_batch ();
  add_change ("i-1", true);
  apply_batch ();
  EXPECT_EQ (reported_events, (std::vector<std::string>{ "-i-1" }));
}

// Entries may expire together although their targets are running; those
// targets write them again within 2 s. Removing them at once would lose the
// targets.
TEST_F (DirectoryTest, MassRemovalIsDelayed)
{
  for (const char *id : { "i-1", "i-2", "i-3" })
    add_change (id, false);
  apply_batch ();
  reported_events.clear ();
  for (auto &item : items)
    item.is_gone = true;
  apply_batch ();
  EXPECT_TRUE (reported_events.empty ());
}

} // namespace
