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
  SLACK_MS = 600,
  /// A store that answers late but answers is followed too: all reads of a
  /// silence but the first may take longer, and all while it shows to be slow.
  /// Such a read bounds a change at 300 + 1,600 + 100 ms; the platform allows
  /// 3 s. A plain read that is answered meanwhile ends it sooner.
  SLOW_SLACK_MS = 1600,
  SILENCE_PAUSE_MS = 100,
  /// In a silence the direct reader reads without waiting for changes: that
  /// shows the store's return, also while reads that wait hear nothing.
  PLAIN_TIMEOUT_MS = 600,
  PLAIN_PAUSE_MS = 300,
  /// A read that ends without an answer after this long was not refused but
  /// cut, and is sent again soon.
  CUT_MS = 250,
  /// Answered or not, this reader promises nothing: long waits save calls.
  DIRECT_WAIT_MS = 30000,
  DIRECT_SLACK_MS = 1500,
  /// A store that refuses is asked again soon, and by all its readers at
  /// different times.
  RETRY_FIRST_MS = 150,
  RETRY_MOST_MS = 500,
  /// A gap this long may have let leases of live targets lapse. A waiting read
  /// that is cut while the store is well is made good within 225 ms.
  GAP_MS = 300,
  LOST_MS = 800, ///< The store counts as lost after this.
  /// Live targets whose entries lapsed in an outage are back within about 2 s.
  RETURN_MS = 2500,
  /// From the store's return, which was at the start of the last read that
  /// failed at the earliest, until a daemon must be up to date again.
  CONTACT_MS = 3000,
  /// A target that left is removed with the next sweep, and a request may be
  /// on its way to it by then.
  REMOVAL_MARGIN_MS = 100,
  /// While targets come back one by one, after a start or a gap, each pause is
  /// this short, and up to as much again: callers wait for the first ones, and
  /// after a loss of all power each engine is known 0.3 s earlier on average.
  /// It ends after as many batches without a new target, so that a fleet that
  /// starts together stays below the store's rate: 410 entries make 1,822
  /// calls a second for 0.7 s.
  RETURN_PAUSE_MS = 150,
  RETURN_IDLE_BATCHES = 3,
  /// A peer reads when what is known here is a pause old. It is waited for
  /// this part of a pause longer, which adds 175 ms to the age of what is
  /// known at a bound of 2 s; its answer takes some 10 ms, and more on a VM
  /// that has just started.
  SHARED_SLACK_PART = 4,
  SHARED_SLACK_LEAST_MS = 100,
  /// The direct reader waits for changes. An answer sooner than this without
  /// one is followed by a pause, or the reads would follow each other at once.
  HASTY_MS = 100,
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
flw_due_ms (const flw_follower_t *f, flw_which_t which)
{
  const flw_reader_t *r = &f->readers[which];
  return r->is_reading ? UINT64_MAX : r->due_ms;
}

static flw_read_t
read_of (const flw_follower_t *f, flw_which_t which)
{
  const flw_reader_t *r = &f->readers[which];
  if (r->as_of == 0)
    return (flw_read_t){ .timeout_ms = which == FLW_BATCH ? RANGE_TIMEOUT_MS
                                                          : PLAIN_TIMEOUT_MS };
  if (which == FLW_DIRECT)
    return (flw_read_t){ .after = r->as_of,
                         .wait_ms = DIRECT_WAIT_MS,
                         .timeout_ms = DIRECT_WAIT_MS + DIRECT_SLACK_MS };
  bool is_patient = r->is_slow || r->silent_reads > 0;
  uint64_t slack_ms = is_patient ? SLOW_SLACK_MS : SLACK_MS;
  return (flw_read_t){ .after = r->as_of,
                       .wait_ms = BATCH_WAIT_MS,
                       .timeout_ms = BATCH_WAIT_MS + slack_ms };
}

/// Peers are asked while the store is known to be well, and not when it is due
/// anyway.
static bool
may_share (const flw_follower_t *f, uint64_t now_ms)
{
  const flw_reader_t *batch = &f->readers[FLW_BATCH];
  return !batch->is_reading && batch->as_of > 0 && batch->failed_since_ms == 0
         && !f->is_store_due && now_ms < f->known_ms + f->next_pause_ms;
}

static flw_read_t
shared_read_of (const flw_follower_t *f, uint64_t now_ms)
{
  uint64_t slack_ms = f->next_pause_ms / SHARED_SLACK_PART;
  if (slack_ms < SHARED_SLACK_LEAST_MS)
    slack_ms = SHARED_SLACK_LEAST_MS;
  uint64_t end_ms = f->known_ms + f->next_pause_ms + slack_ms;
  return (flw_read_t){ .after = f->readers[FLW_BATCH].as_of,
                       .timeout_ms = end_ms - now_ms,
                       .is_shared = true,
                       .known_age_ms = now_ms - f->known_ms,
                       .pause_ms = f->next_pause_ms };
}

bool
flw_begin (flw_follower_t *f, flw_which_t which, bool has_peer,
           uint64_t now_ms, flw_read_t *out)
{
  flw_reader_t *r = &f->readers[which];
  if (which == FLW_BATCH && has_peer && may_share (f, now_ms))
    *out = shared_read_of (f, now_ms);
  else if (now_ms >= flw_due_ms (f, which))
    *out = read_of (f, which);
  else
    return false;
  r->is_reading = true;
  r->began_ms = now_ms;
  r->timeout_ms = out->timeout_ms;
  return true;
}

bool
flw_take_lost (flw_follower_t *f, flw_which_t which)
{
  flw_reader_t *r = &f->readers[which];
  bool is_lost = r->is_lost;
  r->is_lost = false;
  return is_lost;
}

/// Take a reader's read for lost, if one is under way; the next one is due.
static void
reader_renew (flw_reader_t *r, uint64_t now_ms)
{
  r->due_ms = now_ms;
  r->is_lost = r->is_reading;
  r->is_reading = false;
}

/// The direct reader reads again from what the batch reader knows.
static void
direct_renew (flw_follower_t *f, uint64_t now_ms)
{
  flw_reader_t *direct = &f->readers[FLW_DIRECT];
  direct->as_of = f->readers[FLW_BATCH].as_of;
  reader_renew (direct, now_ms);
}

/// Whether the store answers the batch reader's reads with silence.
static bool
is_silence (const flw_follower_t *f)
{
  const flw_reader_t *batch = &f->readers[FLW_BATCH];
  return batch->failed_since_ms > 0 && batch->silent_reads > 0;
}

/// The direct reader reads the operator's keys as they are, unless it is doing
/// so already.
static void
direct_read_plain (flw_follower_t *f, uint64_t now_ms)
{
  flw_reader_t *direct = &f->readers[FLW_DIRECT];
  if (direct->as_of == 0 && (direct->is_reading || direct->due_ms > now_ms))
    {
      if (direct->due_ms == UINT64_MAX)
        direct->due_ms = now_ms;
      return;
    }
  direct->as_of = 0;
  reader_renew (direct, now_ms);
}

/// The store answers plain reads: a waiting read that was sent before is taken
/// for lost.
static void
batch_renew (flw_follower_t *f, uint64_t now_ms)
{
  flw_reader_t *batch = &f->readers[FLW_BATCH];
  if (batch->is_reading && batch->began_ms >= f->readers[FLW_DIRECT].began_ms)
    return;
  if (batch->is_reading && batch->began_ms > f->unanswered_ms)
    f->unanswered_ms = batch->began_ms;
  reader_renew (batch, now_ms);
}

/// @return  Pause until the batch reader's next read.
static uint64_t
batch_pause_ms (const flw_follower_t *f, uint64_t now_ms, uint32_t random)
{
  bool is_returning = now_ms < f->returning_until_ms
                      && f->idle_batches <= RETURN_IDLE_BATCHES;
  uint64_t short_ms = RETURN_PAUSE_MS + random % RETURN_PAUSE_MS;
  return is_returning && f->pause_ms > short_ms ? short_ms : f->pause_ms;
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
  f->is_store_due = false;
  if (is_gap)
    f->lapsed_until_ms = f->unanswered_ms + CONTACT_MS - REMOVAL_MARGIN_MS;
  if (is_gap || is_first)
    {
      f->returning_until_ms = now_ms + RETURN_MS;
      f->idle_batches = 0;
    }
  f->is_reachable = true;
  f->idle_batches++;
  f->next_pause_ms = batch_pause_ms (f, now_ms, random);
  batch->due_ms = now_ms + f->next_pause_ms;
  uint64_t direct_as_of = f->readers[FLW_DIRECT].as_of;
  bool was_overtaken = config_revision > direct_as_of;
  if (is_failure_over || was_overtaken || direct_as_of == 0)
    direct_renew (f, now_ms);
}

/// @return  Pause before a store that refused, or had nothing to say, is asked
///          again.
static uint64_t
backoff_ms (flw_reader_t *r, uint32_t random)
{
  uint64_t pause_ms = r->retry_ms / 2 + random % (r->retry_ms + 1);
  r->retry_ms *= 2;
  if (r->retry_ms > RETRY_MOST_MS)
    r->retry_ms = RETRY_MOST_MS;
  return pause_ms;
}

void
flw_answered (flw_follower_t *f, flw_which_t which, uint64_t now_ms,
              uint64_t as_of, uint64_t config_revision, uint32_t random)
{
  flw_reader_t *r = &f->readers[which];
  bool is_first = r->as_of == 0;
  // The batch reader pauses after each answer in any case.
  bool is_hasty = which == FLW_DIRECT && as_of <= r->as_of
                  && now_ms - r->began_ms < HASTY_MS;
  r->is_reading = false;
  r->answered_ms = now_ms;
  if (!is_hasty)
    r->retry_ms = RETRY_FIRST_MS;
  r->is_slow = now_ms - r->began_ms > BATCH_WAIT_MS + SLACK_MS;
  r->silent_reads = 0;
  // A read that is answered late must not take the reader back.
  if (as_of > r->as_of)
    r->as_of = as_of;
  r->due_ms = is_hasty ? now_ms + backoff_ms (r, random) : now_ms;
  if (which == FLW_BATCH)
    {
      batch_answered (f, now_ms, is_first, config_revision, random);
      return;
    }
  r->failed_since_ms = 0;
  if (is_first && is_silence (f))
    batch_renew (f, now_ms);
}

/// @return  Pause after a read of this reader that got no answer.
static uint64_t
failure_pause_ms (flw_reader_t *r, uint64_t took_ms, bool is_silent,
                  uint32_t random)
{
  // It has waited long enough already.
  if (is_silent)
    return random % SILENCE_PAUSE_MS;
  return took_ms >= CUT_MS ? random % RETRY_FIRST_MS : backoff_ms (r, random);
}

/// The direct reader leaves a store that refuses to the other one, and is
/// renewed with its next answer. In a silence it goes on by itself.
static void
direct_failed (flw_follower_t *f, uint64_t now_ms, bool is_silent)
{
  flw_reader_t *direct = &f->readers[FLW_DIRECT];
  if (f->readers[FLW_BATCH].failed_since_ms == 0)
    return;
  if (!is_silence (f))
    direct->due_ms = UINT64_MAX;
  else if (direct->as_of > 0)
    direct_read_plain (f, now_ms);
  else if (is_silent)
    {
      direct->due_ms += PLAIN_PAUSE_MS;
      if (direct->began_ms > f->unanswered_ms)
        f->unanswered_ms = direct->began_ms;
    }
}

void
flw_failed (flw_follower_t *f, flw_which_t which, uint64_t now_ms,
            flw_failure_t failure, uint32_t random)
{
  flw_reader_t *r = &f->readers[which];
  r->is_reading = false;
  if (failure == FLW_HISTORY_GONE)
    {
      // The direct reader leaves the range to the other one, and goes on from
      // its next answer.
      r->as_of = 0;
      r->due_ms = which == FLW_BATCH || is_silence (f) ? now_ms : UINT64_MAX;
      return;
    }
  uint64_t took_ms = now_ms - r->began_ms;
  bool is_silent = took_ms >= r->timeout_ms;
  if (r->failed_since_ms == 0)
    r->failed_since_ms = is_silent ? r->began_ms : now_ms;
  r->due_ms = now_ms + failure_pause_ms (r, took_ms, is_silent, random);
  r->silent_reads = is_silent ? r->silent_reads + 1 : 0;
  if (which == FLW_DIRECT)
    {
      direct_failed (f, now_ms, is_silent);
      return;
    }
  if (r->began_ms > f->unanswered_ms)
    f->unanswered_ms = r->began_ms;
  if (is_silent)
    direct_read_plain (f, now_ms);
  if (now_ms - r->failed_since_ms > LOST_MS)
    f->is_reachable = false;
}

void
flw_shared_failed (flw_follower_t *f, uint64_t now_ms)
{
  flw_reader_t *batch = &f->readers[FLW_BATCH];
  batch->is_reading = false;
  batch->due_ms = now_ms;
  f->is_store_due = true;
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
    direct_renew (f, now_ms);
  return true;
}

void
flw_note_new_target (flw_follower_t *f)
{
  f->idle_batches = 0;
}

uint64_t
flw_lapsed_until_ms (const flw_follower_t *f)
{
  return f->lapsed_until_ms;
}
