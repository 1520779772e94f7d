// The stand-in for the store keeps the store's promise: an answer that states
// a revision contains all changes up to it.
#include "store_standin.h"

#include <gtest/gtest.h>

#include <thread>

namespace relay
{
namespace
{

constexpr int kWatches = 4000;

int
count_events (const std::string &body)
{
  int count = 0;
  for (size_t at = body.find ("\"Key\""); at != std::string::npos;
       at = body.find ("\"Key\"", at + 1))
    count++;
  return count;
}

int64_t
revision_of (const std::string &body)
{
  const std::string name = "\"AsOf\":";
  return atoll (body.c_str () + body.rfind (name) + name.size ());
}

// Guards against a change that a reader never learns of, because it was made
// at the moment at which a watch without changes ended.
TEST (StoreStandin, NoChangeIsLostWhenAWatchTimesOut)
{
  Store store ("127.0.0.1");
  std::atomic<bool> is_done{ false };
  std::thread writer ([&] {
    while (!is_done)
      {
        store.put ("servers/a", "1");
        std::this_thread::sleep_for (std::chrono::microseconds (900));
      }
  });
  auto connection = dial (store.address ());
  ASSERT_NE (connection, nullptr);
  int64_t after = 1; // The revision of an empty store.
  int lost = 0;
  for (int i = 0; i < kWatches; i++)
    {
      connection->write ("GET /kv-watch?Prefix=servers&WaitMs=1&after="
                         + std::to_string (after)
                         + " HTTP/1.1\r\nHost: x\r\n\r\n");
      Message answer = connection->read_response (1000);
      ASSERT_EQ (answer.status, 200);
      int64_t as_of = revision_of (answer.body);
      lost += (int)(as_of - after) - count_events (answer.body);
      after = as_of;
    }
  is_done = true;
  writer.join ();
  EXPECT_EQ (lost, 0);
}

} // namespace
} // namespace relay
