// Tests of JSON with comments, settings, the configuration, completion bodies,
// the message codec, the shard map, and the hash map.
#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <random>
#include <sstream>
#include <string>
#include <vector>

extern "C"
{
#include "protocol/cfgdoc.h"
#include "protocol/msg.h"
#include "protocol/openai.h"
#include "protocol/settings.h"
#include "protocol/shardmap.h"
#include "state/map.h"
}

namespace
{

kb_slice_t
slice (const std::string &text)
{
  return { text.data (), (uint32_t)text.size () };
}

std::string
settings_error (const std::string &text)
{
  set_settings_t settings;
  kb_error_t error = {};
  if (set_load_text ("s.json", slice (text), &settings, &error) == KB_OK)
    return "ok";
  return error.message;
}

const char kAgent[] = "\"role\":\"agent\",\"name\":\"x\",\"failure_domain\":"
                      "\"d\",\"service\":\"s\"";

std::string
agent_with (const std::string &more)
{
  return "{" + std::string (kAgent) + more + "}";
}

TEST (Settings, CommentsAndDefaults)
{
  set_settings_t settings;
  kb_error_t error = {};
  std::string text
      = "{ // one\n " + std::string (kAgent) + ", /* two */ \"slots\": 3 }";
  ASSERT_EQ (set_load_text ("s", slice (text), &settings, &error), KB_OK)
      << error.message;
  EXPECT_EQ (settings.slots, 3);
  EXPECT_EQ (settings.max_batch, 16);
}

TEST (Settings, ErrorsReportLocationAndReason)
{
  EXPECT_EQ (settings_error ("{\n\"role\":,}").substr (0, 9), "s.json:2:");
  EXPECT_EQ (settings_error (agent_with (",\"slotz\":3")),
             "s.json: unknown setting \"slotz\"; did you mean \"slots\"?");
  EXPECT_EQ (settings_error (agent_with (",\"slots\":0")),
             "s.json: \"slots\" must be from 1 to 4096, not 0");
  EXPECT_EQ (settings_error (agent_with (",\"slots\":\"3\"")),
             "s.json: \"slots\" must be a whole number");
  EXPECT_EQ (settings_error (agent_with (",\"slots\":3,\n\"slots\":4")),
             "s.json:2: key \"slots\" stands twice");
  EXPECT_EQ (settings_error (agent_with (",\"max_deadline_ms\":900000")),
             "s.json: \"max_deadline_ms\" must not exceed "
             "\"claim_window_ms\"");
  EXPECT_NE (settings_error ("{\"role\":\"x\"}").find ("\"role\" must be"),
             std::string::npos);
  EXPECT_NE (
      settings_error (agent_with ("") + "x").find ("after the document"),
      std::string::npos);
  EXPECT_NE (settings_error ("[1]").find ("must be an object"),
             std::string::npos);
}

TEST (Settings, ReferencePageIsCurrent)
{
  std::ifstream in (std::string (KB_SOURCE_DIR)
                    + "/docs/operations/settings.md");
  std::stringstream page;
  page << in.rdbuf ();
  kb_buf_t out = {};
  set_write_reference (&out);
  EXPECT_NE (page.str ().find (out.ptr), std::string::npos)
      << "run knapweedbayd --settings-reference and update the page";
  kb_buf_finish (&out);
}

TEST (Json, DuplicateKeysAreRejectedWithinOneObject)
{
  json_object *doc;
  kb_error_t error = {};
  EXPECT_EQ (jsn_parse_text ("t", slice ("{\"a\":{\"k\":1},\"b\":{\"k\":1}}"),
                             &doc, &error),
             KB_OK);
  json_object_put (doc);
  EXPECT_EQ (jsn_parse_text ("t",
                             slice ("[{\"k\":1,\"j\":{\"k\":2},\"k\":3}]"),
                             &doc, &error),
             KB_EINVAL);
  EXPECT_EQ (jsn_parse_text ("t", slice ("{\"a\":\"\\\"k\\\":\",\"k\":1}"),
                             &doc, &error),
             KB_OK)
      << error.message;
  json_object_put (doc);
  EXPECT_EQ (jsn_parse_text ("t", slice ("{\"a\":"), &doc, &error), KB_EINVAL);
  EXPECT_STREQ (error.message, "t:1: the text ends too early");
  std::string deep (100, '[');
  EXPECT_EQ (jsn_parse_text ("t", slice (deep), &doc, &error), KB_EINVAL);
}

std::string
build_error (const std::vector<std::pair<std::string, std::string>> &files,
             cfg_config_t *out = nullptr)
{
  doc_folder_t folder = {};
  for (auto &file : files)
    doc_folder_put (&folder, file.first.c_str (), slice (file.second));
  cfg_config_t config = {};
  kb_error_t error = {};
  kb_status_t status
      = doc_build_config (&folder, 1, nullptr, nullptr, &config, &error);
  doc_folder_finish (&folder);
  if (status == KB_OK && out != nullptr)
    *out = config;
  else if (status == KB_OK)
    cfg_config_finish (&config);
  return status == KB_OK ? "ok" : error.message;
}

const char kService[] = "{\"services\":{\"s\":{},\"p\":{\"kind\":\"plain\"}}}";

TEST (Config, ReferencesAreChecked)
{
  EXPECT_EQ (build_error ({ { "1.json", kService } }), "ok");
  EXPECT_EQ (
      build_error ({ { "1.json", kService },
                     { "2.json", "{\"adapters\":{\"a\":{\"service\":"
                                 "\"t\",\"versions\":{\"1\":\"x\"}}}}" } }),
      "2.json: adapters.a: unknown service \"t\"");
  EXPECT_EQ (
      build_error ({ { "1.json", kService },
                     { "2.json", "{\"adapters\":{\"a\":{\"service\":"
                                 "\"p\",\"versions\":{\"1\":\"x\"}}}}" } }),
      "2.json: adapters.a: a plain service has no adapters: \"p\"");
  EXPECT_EQ (
      build_error (
          { { "1.json", kService },
            { "2.json", "{\"adapters\":{\"a\":{\"service\":\"s\","
                        "\"current\":3,\"versions\":{\"1\":\"x\"}}}}" } }),
      "2.json: adapters.a: \"current\" names a version that does not exist");
  EXPECT_EQ (build_error ({ { "1.json", "{\"servces\":{}}" } }).substr (0, 33),
             "1.json: unknown section \"servces\"");
  EXPECT_EQ (
      build_error ({ { "1.json", "{\"services\":{\"s\":{\"kint\":1}}}" } }),
      "1.json: services.s: unknown member \"kint\"");
  EXPECT_EQ (
      build_error ({ { "1.json", "{\"workspaces\":{\"p\":{\"key_sha256\":"
                                 "\"zz\"}}}" } }),
      "1.json: workspaces.p: \"key_sha256\" must be 64 hex digits");
}

TEST (Config, LaterFileOverridesAndNullRemoves)
{
  cfg_config_t config = {};
  std::string adapter
      = "{\"adapters\":{\"a\":{\"service\":\"s\",\"versions\":{\"1\":\"x\"}},"
        "\"b\":{\"service\":\"s\",\"versions\":{\"1\":\"x\"}}}}";
  ASSERT_EQ (
      build_error ({ { "30.json", "{\"adapters\":{\"b\":null}}" },
                     { "10.json", kService },
                     { "20.json", adapter },
                     { "25.json", "{\"adapters\":{\"a\":{\"service\":"
                                  "\"s\",\"versions\":{\"2\":\"y\"}}}}" } },
                   &config),
      "ok");
  const cfg_adapter_t *a = cfg_adapter_find (&config, kb_slice_str ("a"));
  ASSERT_NE (a, nullptr);
  EXPECT_EQ (a->current, 2u);
  EXPECT_EQ (cfg_adapter_find (&config, kb_slice_str ("b")), nullptr);
  cfg_config_finish (&config);
}

TEST (Config, RulesSetPriorityClass)
{
  cfg_config_t config = {};
  std::string key (64, '0');
  ASSERT_EQ (build_error (
                 { { "1.json", kService },
                   { "2.json",
                     "{\"workspaces\":{\"p\":{\"key_sha256\":\"" + key
                         + "\",\"class\":4}},\"rules\":{\"2\":{\"workspace\":"
                           "\"p\",\"class\":3},\"1\":{\"adapter_prefix\":"
                           "\"map-\",\"class\":1}}}" } },
                 &config),
             "ok");
  kb_slice_t s = kb_slice_str ("s");
  EXPECT_EQ (cfg_priority_class (&config, &config.workspaces[0], s,
                                 kb_slice_str ("map-1")),
             1);
  EXPECT_EQ (cfg_priority_class (&config, &config.workspaces[0], s,
                                 kb_slice_str ("other")),
             3);
  cfg_config_finish (&config);
}

// One line in the middle of a large file changes. All chunks but one or two
// must keep their digests, although the rest of the file shifts.
TEST (Config, SmallEditChangesFewChunks)
{
  std::string text;
  for (int i = 0; i < 20000; i++)
    text += "line " + std::to_string (i * 7919) + "\n";
  doc_folder_t a = {};
  doc_folder_t b = {};
  doc_folder_put (&a, "x.json", slice (text));
  text.insert (text.size () / 2, "inserted ");
  doc_folder_put (&b, "x.json", slice (text));
  int changed = 0;
  for (uint32_t i = 0; i < b.files[0].chunk_count; i++)
    {
      bool known = false;
      for (uint32_t j = 0; j < a.files[0].chunk_count; j++)
        known |= doc_digest_equal (a.files[0].chunks[j], b.files[0].chunks[i]);
      changed += !known;
    }
  EXPECT_GT (b.files[0].chunk_count, 50u);
  EXPECT_LE (changed, 2);
  doc_head_t head = {};
  head.revision = 7;
  head.folder = b;
  head.changes[0] = 99;
  head.change_count = 1;
  kb_buf_t out = {};
  doc_head_write (&head, &out);
  doc_head_t back;
  kb_error_t error = {};
  ASSERT_EQ (doc_head_parse (kb_buf_slice (&out), &back, &error), KB_OK)
      << error.message;
  EXPECT_EQ (back.revision, 7u);
  EXPECT_TRUE (doc_head_has_change (&back, 99));
  EXPECT_EQ (back.folder.files[0].chunk_count, b.files[0].chunk_count);
  doc_head_finish (&back);
  EXPECT_EQ (doc_head_parse (slice ("{\"revision\":1}"), &back, &error),
             KB_EINVAL);
  kb_buf_finish (&out);
  doc_folder_finish (&a);
  doc_folder_finish (&b);
}

TEST (OpenAi, ModelForms)
{
  oai_request_t r;
  kb_error_t error = {};
  kb_slice_t body = kb_slice_str ("{\"model\":\"a@b@12\",\"stream\":true}");
  ASSERT_EQ (oai_request_parse (body, &r, &error), KB_OK);
  EXPECT_STREQ (r.adapter, "a@b");
  EXPECT_EQ (r.version, 12u);
  EXPECT_TRUE (r.is_stream);
  kb_buf_t out = {};
  oai_request_rewrite (body, &r, "z@1", 3, &out);
  EXPECT_STREQ (out.ptr, "{\"model\":\"z@1\",\"priority\":3,\"stream\":true}");
  kb_buf_finish (&out);
  for (const char *bad :
       { "{}", "{\"model\":3}", "{\"model\":\"@1\"}", "{\"model\":\"a@0\"}",
         "{\"model\":\"a@\"}", "{\"model\":\"a\",\"max_tokens\":0}" })
    EXPECT_EQ (oai_request_parse (kb_slice_str (bad), &r, &error), KB_EINVAL)
        << bad;
  EXPECT_EQ (oai_answer_check (slice ("{\"model\":\"a@1\"}"), "a@1"), KB_OK);
  EXPECT_EQ (oai_answer_check (slice ("{\"model\":\"a@2\"}"), "a@1"),
             KB_ECONFLICT);
  EXPECT_EQ (oai_answer_check (slice ("{\"model\":"), "a@1"), KB_EINVAL);
}

TEST (OpenAi, RewritesNothingElse)
{
  struct
  {
    const char *before;
    const char *after;
  } cases[] = {
    { " { \"priority\" : 9 , \"x\":[1,{\"model\":\"n\"}], \"model\" : \"a\" "
      "} ",
      " { \"priority\" : 3 , \"x\":[1,{\"model\":\"n\"}], \"model\" : \"z@1\" "
      "} " },
    { "{\"mod\\u0065l\":\"a\",\"priority\":[1,2]}",
      "{\"mod\\u0065l\":\"z@1\",\"priority\":3}" },
    { "{\"a\":\"\\\"\\u00e9\\n\",\"model\":\"a\"}",
      "{\"a\":\"\\\"\\u00e9\\n\",\"model\":\"z@1\",\"priority\":3}" },
  };
  for (const auto &c : cases)
    {
      oai_request_t r;
      kb_error_t error = {};
      kb_slice_t body = kb_slice_str (c.before);
      ASSERT_EQ (oai_request_parse (body, &r, &error), KB_OK) << error.message;
      kb_buf_t out = {};
      oai_request_rewrite (body, &r, "z@1", 3, &out);
      EXPECT_STREQ (out.ptr, c.after);
      kb_buf_finish (&out);
    }
}

// Guards against a body of which the entry and the engine read different
// members.
TEST (OpenAi, RefusesNamesThatStandTwice)
{
  oai_request_t r;
  for (const char *bad :
       { "{\"model\":\"a\",\"model\":\"b\"}",
         "{\"model\":\"a\",\"mod\\u0065l\":\"b\"}",
         "{\"model\":\"a\",\"x\":1,\"x\":2}",
         "{\"model\":\"a\",\"priority\":1,\"\\u0070riority\":1}" })
    {
      kb_error_t error = {};
      EXPECT_EQ (oai_request_parse (kb_slice_str (bad), &r, &error), KB_EINVAL)
          << bad;
      EXPECT_NE (std::string (error.message).find ("stands twice"),
                 std::string::npos)
          << error.message;
    }
  std::string many = "{\"model\":\"a\"";
  for (int i = 0; i < OAI_MAX_MEMBERS; i++)
    many += ",\"" + std::to_string (i) + "\":0";
  many += "}";
  kb_error_t error = {};
  EXPECT_EQ (oai_request_parse (kb_slice_str (many.c_str ()), &r, &error),
             KB_EINVAL);
}

TEST (Message, EveryTypeRoundTrips)
{
  for (int type = MSG_HELLO; type < MSG_TYPE_END; type++)
    {
      msg_t msg = {};
      msg.type = (msg_type_t)type;
      kb_buf_t out = {};
      msg_encode (&msg, &out);
      msg_t back;
      EXPECT_EQ (msg_decode (kb_buf_slice (&out), &back), KB_OK) << type;
      EXPECT_EQ (back.type, type);
      // A message truncated at any byte must be rejected.
      for (size_t len = 0; len < out.len_bytes; len++)
        EXPECT_EQ (msg_decode ({ out.ptr, (uint32_t)len }, &back), KB_EINVAL);
      // A newer version must be distinguished from a malformed message.
      for (size_t i = 0; i < 4; i++)
        if (out.ptr[i] == (char)0xcc && out.ptr[i + 1] == MSG_VERSION)
          out.ptr[i + 1] = MSG_VERSION + 1;
      if ((uint8_t)out.ptr[1] == MSG_VERSION)
        out.ptr[1] = MSG_VERSION + 1;
      if ((uint8_t)out.ptr[3] == MSG_VERSION && (uint8_t)out.ptr[0] == 0xdc)
        out.ptr[3] = MSG_VERSION + 1;
      EXPECT_EQ (msg_decode (kb_buf_slice (&out), &back), KB_ELIMIT) << type;
      kb_buf_finish (&out);
    }
}

TEST (Message, DispatchFieldsRoundTrip)
{
  msg_t msg = {};
  msg.type = MSG_DISPATCH;
  msg.dispatch.attempt = 1ULL << 60;
  msg.dispatch.version = 3;
  msg.dispatch.adapter = kb_slice_str ("fish");
  msg.dispatch.body = kb_slice_str ("{}");
  msg.dispatch.traceparent = kb_slice_str ("00-x");
  kb_buf_t out = {};
  msg_encode (&msg, &out);
  msg_t back;
  ASSERT_EQ (msg_decode (kb_buf_slice (&out), &back), KB_OK);
  EXPECT_EQ (back.dispatch.attempt, 1ULL << 60);
  EXPECT_EQ (back.dispatch.version, 3u);
  EXPECT_TRUE (kb_slice_equal (back.dispatch.adapter, kb_slice_str ("fish")));
  EXPECT_TRUE (
      kb_slice_equal (back.dispatch.traceparent, kb_slice_str ("00-x")));
  kb_buf_finish (&out);
}

// Guards against attempts whose ends are dropped while agents of an earlier
// build, which send fewer fields, are still running.
TEST (Msg, FieldsThatAnOlderSenderOmitsAreZero)
{
  msg_t msg = {};
  msg.type = MSG_END;
  msg.end.attempt = 7;
  msg.end.adapter = kb_slice_str ("fish");
  kb_buf_t out = {};
  msg_encode (&msg, &out);
  // The header of an array of more than 15 elements has the count in its third
  // byte; the last field, zero, takes one byte.
  ASSERT_EQ ((uint8_t)out.ptr[0], 0xdc);
  out.ptr[2]--;
  out.len_bytes--;
  msg_t back;
  ASSERT_EQ (msg_decode (kb_buf_slice (&out), &back), KB_OK);
  EXPECT_EQ (back.end.attempt, 7u);
  EXPECT_TRUE (kb_slice_equal (back.end.adapter, kb_slice_str ("fish")));
  EXPECT_EQ (back.end.is_unconfirmed, 0u);
  kb_buf_finish (&out);
}

TEST (ShardMap, RoundTrip)
{
  static shm_shard_t shards[SHM_SHARDS];
  static shm_shard_t back[SHM_SHARDS];
  snprintf (shards[5].owner, sizeof shards[5].owner, "entry1");
  shards[5].incarnation = 0xfedcba9876543210ULL;
  shards[5].epoch = 12;
  kb_buf_t out = {};
  shm_write (shards, &out);
  ASSERT_TRUE (shm_parse (kb_buf_slice (&out), back));
  EXPECT_STREQ (back[5].owner, "entry1");
  EXPECT_EQ (back[5].incarnation, 0xfedcba9876543210ULL);
  EXPECT_EQ (back[5].epoch, 12u);
  EXPECT_FALSE (shm_parse (kb_slice_str ("{\"shards\":[]}"), back));
  kb_buf_finish (&out);
}

// Compares the map with std::map on random operations.
TEST (Map, MatchesStandardMap)
{
  std::mt19937_64 rng (11);
  kb_map_t map;
  kb_map_init (&map);
  std::map<uint64_t, void *> plain;
  for (int i = 0; i < 200000; i++)
    {
      uint64_t key = (rng () % 500 + 1) * 0x10000;
      void *value = reinterpret_cast<void *> (rng () | 1);
      if (rng () % 2)
        {
          kb_map_put (&map, key, value);
          plain[key] = value;
        }
      else
        {
          void *expected = plain.count (key) ? plain[key] : nullptr;
          ASSERT_EQ (kb_map_remove (&map, key), expected);
          plain.erase (key);
        }
      ASSERT_EQ (map.len, plain.size ());
    }
  for (auto &entry : plain)
    ASSERT_EQ (kb_map_get (&map, entry.first), entry.second);
  kb_map_finish (&map);
}

} // namespace
