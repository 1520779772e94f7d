/// @file answer_script.h
/// Answers whose bytes, writes and end a test writes out, heads included.
#ifndef KB_TEST_RELAY_ANSWER_SCRIPT_H
#define KB_TEST_RELAY_ANSWER_SCRIPT_H

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace relay
{

/// How a scripted answer leaves its connection.
enum class AnswerEnd
{
  KEEP,
  CLOSE, ///< Orderly.
  RESET,
};

/// Bytes in one write, and the pause behind it.
struct AnswerWrite
{
  std::string bytes;
  int pause_ms = 0;
};

struct AnswerScript
{
  std::vector<AnswerWrite> writes;
  AnswerEnd end = AnswerEnd::CLOSE;
};

} // namespace relay

#endif
