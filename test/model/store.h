/// @file store.h
/// A store in simulated time: items with revisions, a history that can be
/// compacted, and temporary faults.
#ifndef KB_TEST_MODEL_STORE_H
#define KB_TEST_MODEL_STORE_H

#include <cstdint>
#include <string>
#include <vector>

namespace model
{

/// Value of a key; the key determines which members apply.
struct Value
{
  uint64_t config = 0;       ///< Revision of a configuration document.
  uint64_t born_ms = 0;      ///< Start time of a target's incarnation.
  uint32_t version = 0;      ///< Version of an adapter.
  bool is_malformed = false; ///< Another writer's; can not be parsed.
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
  SILENT, ///< Accepts requests and answers neither them nor pending ones.
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
  uint64_t era = 0;
  std::vector<Item> items;
};

class Store
{
public:
  void put (const std::string &key, const Value &value);
  void remove (const std::string &key);
  bool contains (const std::string &key) const;
  const Item *find (const std::string &key) const;
  /// Drop the history of all changes so far.
  void compact ();
  /// The content at one moment.
  struct Copy
  {
    std::vector<Item> items;
    uint64_t revision = 1;
  };
  Copy
  copy () const
  {
    return { items_, revision };
  }
  /// Come back from a copy, in a new era.
  void restore (const Copy &copy);
  /// @return  Whether a read can be answered now.
  bool has_answer (bool is_operator_only, uint64_t after) const;
  Answer answer (bool is_operator_only, uint64_t after) const;
  uint64_t revision = 1;
  uint64_t era = 1;
  bool is_era_stated = true;
  StoreFault fault = StoreFault::NONE;
  bool are_watches_silent
      = false; ///< Watches receive nothing; a compaction follows.

private:
  static bool is_visible (const Item &item, bool is_operator_only);
  std::vector<Item> items_;
  std::vector<Item> history_;
  uint64_t compacted_revision_ = 0;
};

} // namespace model

#endif
