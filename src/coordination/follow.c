#include "coordination/follow.h"

enum
{
  RANGE_TIMEOUT_MS = 1500, ///< The store answers in milliseconds when well.
  /// Heartbeats of targets answer the batch reader long before this; with no
  /// target at all it costs a call a second.
  BATCH_WAIT_MS = 300,
  /// The batch reader bounds how late a change is taken after a silence: a
  /// read sent just before the store's return, its timeout, the pause before
  /// the next and that one's answer: 300 + 600 + 100 ms and an answer. With a
  /// timeout of 6.5 s it was up to 6.7 s, and routes that had been confirmed
  /// were refused for 3 s.
  BATCH_SLACK_MS = 600,
  /// A store that answers late but answers is followed too: all reads of a
  /// silence but the first may take longer, and all while it shows to be slow.
  /// Such a read bounds a change at 300 + 1,600 + 100 ms; the platform allows
  /// 3 s. A plain read that is answered meanwhile ends it sooner.
  BATCH_SLOW_SLACK_MS = 1600,
  TIMEOUT_PAUSE_MS = 100,
  /// In a silence the direct reader reads without waiting for changes: that
  /// shows the store's return, also while reads that wait hear nothing.
  DIRECT_RANGE_TIMEOUT_MS = 600,
  DIRECT_RANGE_PAUSE_MS = 300,
  /// A read that ends without an answer after this long was not refused but
  /// cut, and is sent again soon.
  INTERRUPTED_MS = 250,
  /// Answered or not, this reader promises nothing: long waits save calls.
  DIRECT_WAIT_MS = 30000,
  DIRECT_SLACK_MS = 1500,
  /// A store that refuses is asked again soon, and by all its readers at
  /// different times.
  RETRY_FIRST_MS = 150,
  RETRY_MAX_MS = 500,
  /// A gap this long may have let leases of live targets lapse. A waiting read
  /// that is cut while the store is well is made good within 225 ms.
  GAP_MS = 300,
  UNREACHABLE_MS = 800, ///< The store counts as lost after this.
  /// Live targets whose entries lapsed in an outage are back within about 2 s.
  RECOVERY_MS = 2500,
  /// From the store's return, which was at the start of the last read that
  /// failed at the earliest, until a daemon must be up to date again.
  RECOVERY_BOUND_MS = 3000,
  /// A target that left is removed with the next sweep, and a request may be
  /// on its way to it by then.
  REMOVAL_MARGIN_MS = 100,
  /// While targets come back one by one, after a start or a gap, each pause is
  /// this short, and up to as much again: callers wait for the first ones, and
  /// after a loss of all power each engine is known 0.3 s earlier on average.
  /// It ends after as many batches without a new target, so that a fleet that
  /// starts together stays below the store's rate: 410 entries make 1,822
  /// calls a second for 0.7 s.
  RECOVERY_PAUSE_MS = 150,
  RECOVERY_IDLE_BATCHES = 3,
  /// A peer reads when what is known here is a pause old. It is waited for
  /// this part of a pause longer, which adds 175 ms to the age of what is
  /// known at a bound of 2 s; its answer takes some 10 ms, and more on a VM
  /// that has just started.
  SHARED_SLACK_DIVISOR = 4,
  SHARED_SLACK_MIN_MS = 100,
  /// The direct reader waits for changes. An answer sooner than this without
  /// one is followed by a pause, or the reads would follow each other at once.
  EARLY_ANSWER_MS = 100,
};

void
flw_init (flw_follower_t *f, uint64_t pause_ms, uint64_t now_ms)
{
  *f = (flw_follower_t){ .pause_ms = pause_ms };
  for (int i = 0; i < FLW_READERS; i++)
    f->readers[i] = (flw_reader_t){ .answered_ms = now_ms,
                                    .due_ms = now_ms,
                                    .retry_ms = RETRY_FIRST_MS };
  // It goes on from where the first range ends.
  f->readers[FLW_DIRECT].due_ms = UINT64_MAX;
}

uint64_t
flw_due_ms (const flw_follower_t *f, flw_reader_id_t which)
{
  const flw_reader_t *r = &f->readers[which];
  return r->is_reading ? UINT64_MAX : r->due_ms;
}

static flw_read_t
reader_next_read (const flw_follower_t *f, flw_reader_id_t which)
{
  const flw_reader_t *r = &f->readers[which];
  if (r->as_of == 0)
    return (flw_read_t){ .timeout_ms = which == FLW_BATCH
                                           ? RANGE_TIMEOUT_MS
                                           : DIRECT_RANGE_TIMEOUT_MS };
  if (which == FLW_DIRECT)
    return (flw_read_t){ .after = r->as_of,
                         .wait_ms = DIRECT_WAIT_MS,
                         .timeout_ms = DIRECT_WAIT_MS + DIRECT_SLACK_MS };
  bool is_store_slow = r->is_slow || r->consecutive_timeouts > 0;
  uint64_t slack_ms = is_store_slow ? BATCH_SLOW_SLACK_MS : BATCH_SLACK_MS;
  return (flw_read_t){ .after = r->as_of,
                       .wait_ms = BATCH_WAIT_MS,
                       .timeout_ms = BATCH_WAIT_MS + slack_ms };
}

/// Peers are asked while the store is known to be well, and not when it is due
/// anyway.
static bool
can_share (const flw_follower_t *f, uint64_t now_ms)
{
  const flw_reader_t *batch = &f->readers[FLW_BATCH];
  return !batch->is_reading && batch->as_of > 0 && batch->failed_since_ms == 0
         && !f->is_store_read_due && now_ms < f->known_ms + f->next_pause_ms;
}

static flw_read_t
next_shared_read (const flw_follower_t *f, uint64_t now_ms)
{
  uint64_t slack_ms = f->next_pause_ms / SHARED_SLACK_DIVISOR;
  if (slack_ms < SHARED_SLACK_MIN_MS)
    slack_ms = SHARED_SLACK_MIN_MS;
  uint64_t end_ms = f->known_ms + f->next_pause_ms + slack_ms;
  return (flw_read_t){ .after = f->readers[FLW_BATCH].as_of,
                       .timeout_ms = end_ms - now_ms,
                       .is_shared = true,
                       .known_age_ms = now_ms - f->known_ms,
                       .pause_ms = f->next_pause_ms };
}

bool
flw_begin (flw_follower_t *f, flw_reader_id_t which, bool has_peer,
           uint64_t now_ms, flw_read_t *out)
{
  flw_reader_t *r = &f->readers[which];
  if (which == FLW_BATCH && has_peer && can_share (f, now_ms))
    *out = next_shared_read (f, now_ms);
  else if (now_ms >= flw_due_ms (f, which))
    *out = reader_next_read (f, which);
  else
    return false;
  r->is_reading = true;
  r->began_ms = now_ms;
  r->timeout_ms = out->timeout_ms;
  return true;
}

bool
flw_take_cancellation (flw_follower_t *f, flw_reader_id_t which)
{
  flw_reader_t *r = &f->readers[which];
  bool is_cancel_due = r->is_cancel_due;
  r->is_cancel_due = false;
  return is_cancel_due;
}

/// Take a reader's read for lost, if one is under way; the next one is due.
static void
reader_restart (flw_reader_t *r, uint64_t now_ms)
{
  r->due_ms = now_ms;
  r->is_cancel_due = r->is_reading;
  r->is_reading = false;
}

/// The direct reader reads again from what the batch reader knows.
static void
direct_restart (flw_follower_t *f, uint64_t now_ms)
{
  flw_reader_t *direct = &f->readers[FLW_DIRECT];
  direct->as_of = f->readers[FLW_BATCH].as_of;
  reader_restart (direct, now_ms);
}

/// Whether the store answers the batch reader's reads with silence.
static bool
is_store_silent (const flw_follower_t *f)
{
  const flw_reader_t *batch = &f->readers[FLW_BATCH];
  return batch->failed_since_ms > 0 && batch->consecutive_timeouts > 0;
}

/// The direct reader reads the operator's keys as they are, unless it is doing
/// so already.
static void
direct_read_range (flw_follower_t *f, uint64_t now_ms)
{
  flw_reader_t *direct = &f->readers[FLW_DIRECT];
  if (direct->as_of == 0 && (direct->is_reading || direct->due_ms > now_ms))
    {
      if (direct->due_ms == UINT64_MAX)
        direct->due_ms = now_ms;
      return;
    }
  direct->as_of = 0;
  reader_restart (direct, now_ms);
}

/// The store answers plain reads: a waiting read that was sent before is taken
/// for lost.
static void
batch_restart (flw_follower_t *f, uint64_t now_ms)
{
  flw_reader_t *batch = &f->readers[FLW_BATCH];
  if (batch->is_reading && batch->began_ms >= f->readers[FLW_DIRECT].began_ms)
    return;
  if (batch->is_reading && batch->began_ms > f->last_unanswered_ms)
    f->last_unanswered_ms = batch->began_ms;
  reader_restart (batch, now_ms);
}

/// @return  Pause until the batch reader's next read.
static uint64_t
batch_pause_ms (const flw_follower_t *f, uint64_t now_ms, uint32_t random)
{
  bool is_recovering = now_ms < f->recovery_until_ms
                       && f->idle_batches <= RECOVERY_IDLE_BATCHES;
  uint64_t short_ms = RECOVERY_PAUSE_MS + random % RECOVERY_PAUSE_MS;
  return is_recovering && f->pause_ms > short_ms ? short_ms : f->pause_ms;
}

static void
batch_answered (flw_follower_t *f, uint64_t now_ms, bool is_first,
                uint64_t config_revision, uint32_t random)
{
  flw_reader_t *batch = &f->readers[FLW_BATCH];
  // Measured from the start of a read that got no answer: the store may have
  // been silent since then, also when the failure was noticed just now.
  bool is_gap
      = batch->failed_since_ms > 0 && now_ms - batch->failed_since_ms > GAP_MS;
  bool is_failure_over = batch->failed_since_ms > 0;
  batch->failed_since_ms = 0;
  f->known_ms = batch->began_ms;
  f->is_store_read_due = false;
  if (is_gap)
    f->retain_until_ms
        = f->last_unanswered_ms + RECOVERY_BOUND_MS - REMOVAL_MARGIN_MS;
  if (is_gap || is_first)
    {
      f->recovery_until_ms = now_ms + RECOVERY_MS;
      f->idle_batches = 0;
    }
  f->is_reachable = true;
  f->idle_batches++;
  f->next_pause_ms = batch_pause_ms (f, now_ms, random);
  batch->due_ms = now_ms + f->next_pause_ms;
  uint64_t direct_as_of = f->readers[FLW_DIRECT].as_of;
  bool was_overtaken = config_revision > direct_as_of;
  if (is_failure_over || was_overtaken || direct_as_of == 0)
    direct_restart (f, now_ms);
}

/// @return  Pause before a store that refused, or had nothing to say, is asked
///          again.
static uint64_t
backoff_ms (flw_reader_t *r, uint32_t random)
{
  uint64_t pause_ms = r->retry_ms / 2 + random % (r->retry_ms + 1);
  r->retry_ms *= 2;
  if (r->retry_ms > RETRY_MAX_MS)
    r->retry_ms = RETRY_MAX_MS;
  return pause_ms;
}

void
flw_answered (flw_follower_t *f, flw_reader_id_t which, uint64_t now_ms,
              uint64_t as_of, uint64_t config_revision, uint32_t random)
{
  flw_reader_t *r = &f->readers[which];
  bool is_first = r->as_of == 0;
  // The batch reader pauses after each answer in any case.
  bool is_early = which == FLW_DIRECT && as_of <= r->as_of
                  && now_ms - r->began_ms < EARLY_ANSWER_MS;
  r->is_reading = false;
  r->answered_ms = now_ms;
  if (!is_early)
    r->retry_ms = RETRY_FIRST_MS;
  r->is_slow = now_ms - r->began_ms > BATCH_WAIT_MS + BATCH_SLACK_MS;
  r->consecutive_timeouts = 0;
  // A read that is answered late must not take the reader back.
  if (as_of > r->as_of)
    r->as_of = as_of;
  r->due_ms = is_early ? now_ms + backoff_ms (r, random) : now_ms;
  if (which == FLW_BATCH)
    {
      batch_answered (f, now_ms, is_first, config_revision, random);
      return;
    }
  r->failed_since_ms = 0;
  if (is_first && is_store_silent (f))
    batch_restart (f, now_ms);
}

/// @return  Pause after a read of this reader that got no answer.
static uint64_t
failure_pause_ms (flw_reader_t *r, uint64_t took_ms, bool is_timeout,
                  uint32_t random)
{
  // It has waited long enough already.
  if (is_timeout)
    return random % TIMEOUT_PAUSE_MS;
  return took_ms >= INTERRUPTED_MS ? random % RETRY_FIRST_MS
                                   : backoff_ms (r, random);
}

/// The direct reader leaves a store that refuses to the other one, and is
/// renewed with its next answer. In a silence it goes on by itself.
static void
direct_failed (flw_follower_t *f, uint64_t now_ms, bool is_timeout)
{
  flw_reader_t *direct = &f->readers[FLW_DIRECT];
  if (f->readers[FLW_BATCH].failed_since_ms == 0)
    return;
  if (!is_store_silent (f))
    direct->due_ms = UINT64_MAX;
  else if (direct->as_of > 0)
    direct_read_range (f, now_ms);
  else if (is_timeout)
    {
      direct->due_ms += DIRECT_RANGE_PAUSE_MS;
      if (direct->began_ms > f->last_unanswered_ms)
        f->last_unanswered_ms = direct->began_ms;
    }
}

void
flw_failed (flw_follower_t *f, flw_reader_id_t which, uint64_t now_ms,
            flw_failure_t failure, uint32_t random)
{
  flw_reader_t *r = &f->readers[which];
  r->is_reading = false;
  if (failure == FLW_HISTORY_GONE)
    {
      // The direct reader leaves the range to the other one, and goes on from
      // its next answer.
      r->as_of = 0;
      r->due_ms
          = which == FLW_BATCH || is_store_silent (f) ? now_ms : UINT64_MAX;
      return;
    }
  uint64_t took_ms = now_ms - r->began_ms;
  bool is_timeout = took_ms >= r->timeout_ms;
  if (r->failed_since_ms == 0)
    r->failed_since_ms = is_timeout ? r->began_ms : now_ms;
  r->due_ms = now_ms + failure_pause_ms (r, took_ms, is_timeout, random);
  r->consecutive_timeouts = is_timeout ? r->consecutive_timeouts + 1 : 0;
  if (which == FLW_DIRECT)
    {
      direct_failed (f, now_ms, is_timeout);
      return;
    }
  if (r->began_ms > f->last_unanswered_ms)
    f->last_unanswered_ms = r->began_ms;
  if (is_timeout)
    direct_read_range (f, now_ms);
  if (now_ms - r->failed_since_ms > UNREACHABLE_MS)
    f->is_reachable = false;
}

void
flw_shared_failed (flw_follower_t *f, uint64_t now_ms)
{
  flw_reader_t *batch = &f->readers[FLW_BATCH];
  batch->is_reading = false;
  batch->due_ms = now_ms;
  f->is_store_read_due = true;
}

bool
flw_shared_answered (flw_follower_t *f, uint64_t now_ms, uint64_t began_ms,
                     uint64_t as_of, uint64_t config_revision, uint32_t random)
{
  flw_reader_t *batch = &f->readers[FLW_BATCH];
  bool is_fresher = began_ms > f->known_ms && began_ms <= now_ms;
  if (!is_fresher)
    {
      flw_shared_failed (f, now_ms);
      return false;
    }
  batch->is_reading = false;
  batch->answered_ms = now_ms;
  f->known_ms = began_ms;
  f->idle_batches++;
  f->next_pause_ms = batch_pause_ms (f, now_ms, random);
  batch->due_ms = began_ms + f->next_pause_ms;
  // Its read may have begun later and been answered earlier than the last one
  // here: nothing is known less for it.
  if (as_of > batch->as_of)
    batch->as_of = as_of;
  const flw_reader_t *direct = &f->readers[FLW_DIRECT];
  if (direct->as_of == 0 || config_revision > direct->as_of)
    direct_restart (f, now_ms);
  return true;
}

void
flw_record_new_target (flw_follower_t *f)
{
  f->idle_batches = 0;
}

uint64_t
flw_retain_until_ms (const flw_follower_t *f)
{
  return f->retain_until_ms;
}
