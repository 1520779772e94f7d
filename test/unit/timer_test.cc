// Timers of an event loop that is on time or late.
#include <gtest/gtest.h>

#include <unistd.h>

extern "C"
{
#include "transport/timer.h"
}

namespace
{

class Timer : public ::testing::Test
{
public:
  void
  SetUp () override
  {
    uv_loop_init (&loop);
    tmr_service_init (&timers, &loop);
    ASSERT_EQ (pipe (pipe_fds), 0);
    uv_poll_init (&loop, &input, pipe_fds[0]);
    input.data = this;
  }
  void
  TearDown () override
  {
    tmr_service_finish (&timers);
    uv_close ((uv_handle_t *)&input, nullptr);
    uv_run (&loop, UV_RUN_DEFAULT);
    EXPECT_EQ (uv_loop_close (&loop), 0);
    close (pipe_fds[0]);
    close (pipe_fds[1]);
  }
  static void
  on_input (uv_poll_t *input, int, int)
  {
    static_cast<Timer *> (input->data)->events += "input ";
    uv_poll_stop (input);
  }
  static void
  on_timer (void *arg)
  {
    static_cast<Timer *> (arg)->events += "timer ";
  }

  uv_loop_t loop;
  tmr_service_t timers;
  tmr_timer_t timer = {};
  uv_poll_t input;
  int pipe_fds[2];
  std::string events;
};

// Guards against a time limit that is enforced on what has arrived, by a loop
// that is late.
TEST_F (Timer, InputThatHasArrivedComesBeforeTimersThatAreDue)
{
  uv_poll_start (&input, UV_READABLE, on_input);
  tmr_start_once (&timers, &timer, 5, on_timer, this);
  ASSERT_EQ (write (pipe_fds[1], "x", 1), 1);
  usleep (20000);
  uv_run (&loop, UV_RUN_DEFAULT);
  EXPECT_EQ (events, "input timer ");
}

// Guards against a timer that fires though the input before it cancelled it.
TEST_F (Timer, InputCancelsATimerThatIsDue)
{
  uv_poll_start (&input, UV_READABLE, [] (uv_poll_t *handle, int, int) {
    Timer *self = static_cast<Timer *> (handle->data);
    tmr_cancel (&self->timers, &self->timer);
    uv_poll_stop (handle);
  });
  tmr_start_once (&timers, &timer, 5, on_timer, this);
  ASSERT_EQ (write (pipe_fds[1], "x", 1), 1);
  usleep (20000);
  uv_run (&loop, UV_RUN_DEFAULT);
  EXPECT_EQ (events, "");
}

// Guards against a loop that blocks, or ends, while timers are due.
TEST_F (Timer, TimersFireWithoutInput)
{
  uint64_t began_ms = tmr_now_ms ();
  tmr_start_once (&timers, &timer, 10, on_timer, this);
  uv_run (&loop, UV_RUN_DEFAULT);
  EXPECT_EQ (events, "timer ");
  EXPECT_GE (tmr_now_ms () - began_ms, 9U);
}

// Guards against a loop that doesn't rest between timers.
TEST_F (Timer, LoopBlocksBetweenPeriods)
{
  static int periods;
  periods = 0;
  uv_prepare_t turns;
  static int turn_count;
  turn_count = 0;
  uv_prepare_init (&loop, &turns);
  uv_prepare_start (&turns, [] (uv_prepare_t *) { turn_count++; });
  uv_unref ((uv_handle_t *)&turns);
  tmr_start_periodic (
      &timers, &timer, 5,
      [] (void *arg) {
        Timer *self = static_cast<Timer *> (arg);
        if (++periods == 10)
          tmr_cancel (&self->timers, &self->timer);
      },
      this);
  uv_run (&loop, UV_RUN_DEFAULT);
  EXPECT_EQ (periods, 10);
  EXPECT_LE (turn_count, 30);
  uv_close ((uv_handle_t *)&turns, nullptr);
  uv_run (&loop, UV_RUN_DEFAULT);
}

} // namespace
