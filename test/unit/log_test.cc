// Structured log: valid JSON lines, rate limits and non-blocking output.
// Metrics: histograms in the Prometheus text format.
#include <gtest/gtest.h>

#include <json-c/json.h>
#include <unistd.h>

#include <string>

extern "C"
{
#include "transport/log.h"
#include "transport/metrics.h"
}

namespace
{

/// Redirects standard output to a pipe for the duration of a test.
class LogTest : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    ASSERT_EQ (pipe (pipe_fds_), 0);
    fflush (stdout);
    saved_stdout_ = dup (STDOUT_FILENO);
    dup2 (pipe_fds_[1], STDOUT_FILENO);
    log_level_set (LOG_INFO);
  }
  void
  TearDown () override
  {
    log_flush ();
    dup2 (saved_stdout_, STDOUT_FILENO);
    close (saved_stdout_);
    close (pipe_fds_[0]);
    close (pipe_fds_[1]);
  }
  std::string
  written ()
  {
    log_flush ();
    char bytes[65536];
    ssize_t nread = read (pipe_fds_[0], bytes, sizeof bytes);
    return nread > 0 ? std::string (bytes, (size_t)nread) : "";
  }
  int pipe_fds_[2];
  int saved_stdout_;
};

TEST_F (LogTest, LinesAreJsonWithAFixedFieldOrder)
{
  log_configure ("node\"1", 1000);
  log_line_t line;
  ASSERT_TRUE (log_begin (&line, LOG_INFO, "part", "event"));
  log_text (&line, "id", "a\"b\\c\n\x01");
  log_int (&line, "n", -5);
  log_end (&line);
  log_configure ("node", 1000);
  std::string text = written ();
  EXPECT_EQ (text.find ("{\"ts\":"), 0u);
  EXPECT_LT (text.find ("\"part\""), text.find ("\"event\""));
  ASSERT_TRUE (log_begin (&line, LOG_INFO, "part", "event"));
  log_text (&line, "id", "a\"b\\c\n\x01");
  log_int (&line, "n", -5);
  log_end (&line);
  json_object *doc = json_tokener_parse (written ().c_str ());
  ASSERT_NE (doc, nullptr);
  json_object *value = nullptr;
  ASSERT_TRUE (json_object_object_get_ex (doc, "id", &value));
  EXPECT_STREQ (json_object_get_string (value), "a\"b\\c\n\x01");
  ASSERT_TRUE (json_object_object_get_ex (doc, "n", &value));
  EXPECT_EQ (json_object_get_int (value), -5);
  json_object_put (doc);
}

TEST_F (LogTest, ATruncatedLineIsValidJson)
{
  log_configure ("node", 1000);
  log_line_t line;
  ASSERT_TRUE (log_begin (&line, LOG_INFO, "part", "long"));
  for (int i = 0; i < 40; i++)
    log_text (&line, ("f" + std::to_string (i)).c_str (),
              std::string (200, 'x').c_str ());
  log_end (&line);
  json_object *doc = json_tokener_parse (written ().c_str ());
  ASSERT_NE (doc, nullptr);
  json_object *value = nullptr;
  EXPECT_TRUE (json_object_object_get_ex (doc, "cut", &value));
  json_object_put (doc);
}

// Guards against a burst of informational lines that uses up the rate limit,
// so that a warning in the same second is dropped.
TEST_F (LogTest, WarningsHaveTheirOwnRate)
{
  log_configure ("node", 20);
  uint64_t dropped_before = log_dropped_count ();
  log_line_t line;
  for (int i = 0; i < 200; i++)
    if (log_begin (&line, LOG_INFO, "part", "success"))
      log_end (&line);
  ASSERT_TRUE (log_begin (&line, LOG_WARN, "part", "failure"));
  log_end (&line);
  EXPECT_GT (log_dropped_count (), dropped_before);
  EXPECT_NE (written ().find ("failure"), std::string::npos);
}

// Nobody reads the pipe: the writer must not block, and the dropped lines are
// counted.
TEST_F (LogTest, AFullPipeDoesNotBlock)
{
  log_configure ("node", 100000);
  uint64_t dropped_before = log_dropped_count ();
  log_line_t line;
  for (int i = 0; i < 5000; i++)
    if (log_begin (&line, LOG_INFO, "part", "flood"))
      {
        log_text (&line, "text", std::string (100, 'x').c_str ());
        log_end (&line);
      }
  EXPECT_GT (log_dropped_count (), dropped_before);
}

TEST (Metrics, HistogramsAreCumulative)
{
  met_histogram_t *h = met_histogram ("test_ms", "kind=\"a\"");
  EXPECT_EQ (h, met_histogram ("test_ms", "kind=\"a\""));
  for (uint64_t ms : { 1, 3, 90, 100000 })
    met_observe (h, ms);
  kb_buf_t out = {};
  met_write (&out);
  std::string text (out.ptr, out.len_bytes);
  kb_buf_finish (&out);
  EXPECT_NE (text.find ("test_ms_bucket{kind=\"a\",le=\"1\"} 1\n"),
             std::string::npos)
      << text;
  EXPECT_NE (text.find ("test_ms_bucket{kind=\"a\",le=\"3\"} 2\n"),
             std::string::npos);
  EXPECT_NE (text.find ("test_ms_bucket{kind=\"a\",le=\"96\"} 3\n"),
             std::string::npos);
  EXPECT_NE (text.find ("le=\"+Inf\"} 4\n"), std::string::npos);
  EXPECT_NE (text.find ("test_ms_count{kind=\"a\"} 4\n"), std::string::npos);
}

} // namespace
