/// @file timer.h
/// Periodic and one-shot timers of an event loop. They fire after the input
/// that had arrived when they were due. The caller owns the memory
/// of a timer, which must stay valid until the timer has fired for the last
/// time or tmr_cancel returned.
#ifndef KB_TRANSPORT_TIMER_H
#define KB_TRANSPORT_TIMER_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

typedef void (*tmr_fn_t) (void *arg);

/// Timers of one loop, served by a single uv timer.
typedef struct tmr_service tmr_service_t;

typedef struct tmr_timer
{
  tmr_fn_t fn;
  void *arg;
  uint64_t due_ms;        ///< In loop time (uv_now).
  uint64_t period_ms;     ///< 0 for a one-shot timer.
  uint32_t heap_position; ///< Index in the heap plus one; 0 when not armed.
} tmr_timer_t;

struct tmr_service
{
  uv_loop_t *loop;
  uv_timer_t uv_timer;
  uv_check_t check;   ///< Active while timers are due.
  uv_idle_t idle;     ///< Keeps the loop from blocking meanwhile.
  tmr_timer_t **heap; ///< Binary min-heap ordered by due time.
  uint32_t len;
  uint32_t cap;
};

void tmr_service_init (tmr_service_t *service, uv_loop_t *loop);
void tmr_service_finish (tmr_service_t *service);
/// Calls `fn` every `period_ms`, for the first time after one period. Re-arms
/// a timer that is already armed.
void tmr_start_periodic (tmr_service_t *service, tmr_timer_t *timer,
                         uint64_t period_ms, tmr_fn_t fn, void *arg);
/// Calls `fn` once after `delay_ms`. Re-arms a timer that is already armed.
void tmr_start_once (tmr_service_t *service, tmr_timer_t *timer,
                     uint64_t delay_ms, tmr_fn_t fn, void *arg);
/// Disarms the timer; does nothing if it is not armed.
void tmr_cancel (tmr_service_t *service, tmr_timer_t *timer);
/// Time for which the present turn of the loop has lasted, in milliseconds. To
/// be added to the delay of a timer whose time must not begin before the call.
uint64_t tmr_turn_ms (const tmr_service_t *service);
/// Monotonic time in microseconds.
uint64_t tmr_now_us (void);
/// Monotonic time in milliseconds.
uint64_t tmr_now_ms (void);
/// Monotonic time in milliseconds, including the time the VM was suspended.
uint64_t tmr_boottime_ms (void);
/// Wall-clock time in milliseconds since the Unix epoch.
uint64_t tmr_wall_ms (void);

#endif
