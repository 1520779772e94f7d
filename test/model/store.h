/// @file store.h
/// A store in simulated time: items with revisions, a history that can be
/// forgotten, and troubles that come and go.
#ifndef KB_TEST_MODEL_STORE_H
#define KB_TEST_MODEL_STORE_H

#include <cstdint>
#include <string>
#include <vector>

namespace model
{

/// What stands under a key; which members apply follows from the key.
struct Value
{
  uint64_t config = 0;       ///< Revision of a configuration document.
  uint64_t born_ms = 0;      ///< Of a target.
  uint32_t version = 0;      ///< Of an adapter.
  bool is_malformed = false; ///< Another writer's: it can not be read.
};

struct Item
{
  std::string key;
  Value value;
  uint64_t revision = 0;
  bool is_gone = false;
};

enum class StoreFault
{
  NONE,
  SILENT, ///< Takes store_calls and never answers them, nor those that wait.
  REFUSING,
  SLOW,
};

struct Answer
{
  enum Kind
  {
    OK,
    REFUSED,
    HISTORY_GONE,
  } kind
      = OK;
  bool is_range = false;
  uint64_t as_of = 0;
  std::vector<Item> items;
};

class Store
{
public:
  void put (const std::string &key, const Value &value);
  void remove (const std::string &key);
  bool contains (const std::string &key) const;
  const Item *find (const std::string &key) const;
  /// Forget all changes so far.
  void compact ();
  /// @return  Whether a read has something to answer.
  bool has_answer (bool is_operator_only, uint64_t after) const;
  Answer answer (bool is_operator_only, uint64_t after) const;
  uint64_t revision = 1;
  StoreFault fault = StoreFault::NONE;
  bool are_watches_silent
      = false; ///< Watches hear nothing; a forgotten history follows.

private:
  static bool is_visible (const Item &item, bool is_operator_only);
  std::vector<Item> items_;
  std::vector<Item> history_;
  uint64_t compacted_revision_ = 0;
};

} // namespace model

#endif
