// Turns of connections that bring many bytes.
#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <vector>

extern "C"
{
#include "transport/bulk.h"
}

namespace
{

class BulkQueue : public testing::Test
{
protected:
  struct Reader
  {
    blk_reader_t reader;
    BulkQueue *test;
    int id;
  };

  void
  SetUp () override
  {
    uv_loop_init (&loop_);
    blk_queue_init (&queue_, &loop_);
    // Keeps the loop alive.
    uv_timer_init (&loop_, &timer_);
    uv_timer_start (
        &timer_, [] (uv_timer_t *) {}, 60000, 0);
  }
  void
  TearDown () override
  {
    uv_close ((uv_handle_t *)&timer_, nullptr);
    uv_close ((uv_handle_t *)&queue_.prepare, nullptr);
    uv_close ((uv_handle_t *)&queue_.poll_again, nullptr);
    uv_run (&loop_, UV_RUN_DEFAULT);
    EXPECT_EQ (uv_loop_close (&loop_), 0);
  }
  void
  wait (int id)
  {
    Reader &reader = readers_[id];
    reader.test = this;
    reader.id = id;
    reader.reader.on_turn = [] (blk_reader_t *waiting) {
      Reader *done = (Reader *)waiting;
      EXPECT_EQ (waiting->queue, nullptr);
      done->test->turns_.push_back (done->id);
    };
    blk_reader_wait (&reader.reader, &queue_);
  }
  void
  run_rounds (int count)
  {
    for (int i = 0; i < count; i++)
      uv_run (&loop_, UV_RUN_NOWAIT);
  }

  uv_loop_t loop_;
  uv_timer_t timer_;
  blk_queue_t queue_;
  Reader readers_[3] = {};
  std::vector<int> turns_;
};

TEST (BulkReader, WaitsOnceItHadItsShareUntilTheWindowEnds)
{
  blk_reader_t reader = {};
  blk_reader_record (&reader, BLK_SHARE_BYTES - 1, 1000);
  EXPECT_FALSE (blk_reader_must_wait (&reader, 1000));
  blk_reader_record (&reader, 1, 1010);
  EXPECT_TRUE (blk_reader_must_wait (&reader, 1010));
  EXPECT_TRUE (blk_reader_must_wait (&reader, 1000 + BLK_WINDOW_MS - 1));
  EXPECT_FALSE (blk_reader_must_wait (&reader, 1000 + BLK_WINDOW_MS));
  blk_reader_record (&reader, 1, 1000 + BLK_WINDOW_MS);
  EXPECT_FALSE (blk_reader_must_wait (&reader, 1000 + BLK_WINDOW_MS));
}

TEST_F (BulkQueue, IdleLoopGivesTurnsInOrder)
{
  for (int id = 0; id < 3; id++)
    wait (id);
  run_rounds (1);
  EXPECT_TRUE (turns_.empty ()) << "stopped handles are still polled";
  run_rounds (5);
  EXPECT_EQ (turns_, (std::vector<int>{ 0, 1, 2 }));
}

TEST_F (BulkQueue, CancelledReaderGetsNoTurn)
{
  for (int id = 0; id < 3; id++)
    wait (id);
  blk_reader_cancel (&readers_[1].reader);
  blk_reader_cancel (&readers_[1].reader);
  run_rounds (6);
  EXPECT_EQ (turns_, (std::vector<int>{ 0, 2 }));
  wait (1);
  blk_reader_cancel (&readers_[1].reader);
  run_rounds (3);
  EXPECT_EQ (turns_.size (), 2u);
}

// Guards against bulk reads that delay other work, and against ones that a
// busy loop never gets to.
TEST_F (BulkQueue, BusyLoopGivesATurnOnceInAWhile)
{
  int ends[2];
  ASSERT_EQ (socketpair (AF_UNIX, SOCK_STREAM, 0, ends), 0);
  ASSERT_EQ (write (ends[1], "x", 1), 1);
  uv_poll_t busy;
  uv_poll_init (&loop_, &busy, ends[0]);
  uv_poll_start (&busy, UV_READABLE, [] (uv_poll_t *, int, int) {});
  uint64_t began_ms = uv_now (&loop_);
  queue_.turn_ms = began_ms;
  wait (0);
  while (turns_.empty () && uv_now (&loop_) - began_ms < 5000)
    run_rounds (1);
  EXPECT_EQ (turns_.size (), 1u);
  EXPECT_GE (queue_.turn_ms - began_ms, (uint64_t)BLK_MAX_WAIT_MS);
  uv_close ((uv_handle_t *)&busy, nullptr);
  run_rounds (2);
  close (ends[0]);
  close (ends[1]);
}

} // namespace
