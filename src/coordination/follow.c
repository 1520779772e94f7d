#include "coordination/follow.h"

enum
{
  RANGE_TIMEOUT_MS = 1500, ///< A healthy store answers in milliseconds.
  /// Heartbeats of targets end these long polls much earlier. Without any
  /// target they cost about one call a second.
  BATCH_WAIT_MS = 300,
  /// The batch reader bounds how late a change is applied after an outage: a
  /// read sent just before the store recovers, its timeout, the pause and the
  /// answer of the next read, 300 + 600 + 100 ms and an answer. With a timeout
  /// of 6.5 s the delay would reach 6.7 s, and gateways would refuse requests
  /// for confirmed routes for 3 s.
  BATCH_SLACK_MS = 600,
  /// A slow store must be followed too: after a timeout, and while answers are
  /// late, reads may take longer. Such a read delays a change by at most
  /// 300 + 1,600 + 100 ms; the platform allows 3 s. A range read that is
  /// answered meanwhile cancels it earlier.
  BATCH_SLOW_SLACK_MS = 1600,
  TIMEOUT_PAUSE_MS = 100,
  /// During an outage the direct reader sends range reads, which detect the
  /// recovery of the store even while long polls get no answer.
  DIRECT_RANGE_TIMEOUT_MS = 600,
  DIRECT_RANGE_PAUSE_MS = 300,
  /// A read that fails after this long was interrupted rather than refused,
  /// and is retried soon.
  INTERRUPTED_MS = 250,
  /// No bound depends on the direct reader, so it waits long to save calls.
  DIRECT_WAIT_MS = 30000,
  DIRECT_SLACK_MS = 1500,
  /// Retries after a refusal are short and jittered, so that the clients of
  /// the store do not retry at the same time.
  RETRY_FIRST_MS = 150,
  RETRY_MAX_MS = 500,
  /// A gap this long may have let leases of live targets expire. A long poll
  /// that is interrupted while the store is well is replaced within 225 ms.
  GAP_MS = 300,
  UNREACHABLE_MS = 800, ///< The store counts as unreachable after this.
  /// Live targets whose leases expired in an outage are listed again within
  /// about 2 s.
  RECOVERY_MS = 2500,
  /// After a restore, what it has lost is written again within this time.
  REWRITE_MS = 2000,
  /// A daemon must be up to date this long after the store recovers, which
  /// happens at the start of the last failed read at the earliest.
  RECOVERY_BOUND_MS = 3000,
  /// Covers the delay until the next sweep removes a target, and a request
  /// that was sent to it just before.
  REMOVAL_MARGIN_MS = 100,
  /// While targets are listed again one by one, after a start or a gap, pauses
  /// are this long plus up to as much jitter: callers wait for the first
  /// targets, and after a power loss each engine is known 0.3 s earlier on
  /// average. Recovery ends early after RECOVERY_IDLE_BATCHES batches without
  /// a new target, so that a fleet that starts at once stays below the store's
  /// rate limit: 410 entry VMs make 1,822 calls/s for 0.7 s.
  RECOVERY_PAUSE_MS = 150,
  RECOVERY_IDLE_BATCHES = 3,
  /// A peer reads the store when the local state is one pause old. Its answer
  /// takes about 10 ms, more on a VM that has just started, and is waited for
  /// another 1 / SHARED_SLACK_DIVISOR of a pause. That adds 175 ms to the age
  /// of the state at a bound of 2 s.
  SHARED_SLACK_DIVISOR = 4,
  SHARED_SLACK_MIN_MS = 100,
  /// An answer to a long poll that is earlier than this and has no changes is
  /// followed by a pause, to avoid a busy loop.
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
  // Starts after the batch reader's first range read.
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

/// Peers are used while the store is known to be well, unless a read of the
/// store itself is due.
static bool
can_share (const flw_follower_t *f, uint64_t now_ms)
{
  const flw_reader_t *batch = &f->readers[FLW_BATCH];
  return !batch->is_reading && batch->as_of > 0 && batch->failed_since_ms == 0
         && !f->is_store_read_due && flw_is_confirmed (f)
         && now_ms < f->known_ms + f->next_pause_ms;
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
  r->sent_revision = f->era.revision;
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

/// Cancel the pending read of a reader, if any, and make the next one due.
static void
reader_restart (flw_reader_t *r, uint64_t now_ms)
{
  r->due_ms = now_ms;
  r->is_cancel_due = r->is_cancel_due || r->is_reading;
  r->is_reading = false;
}

/// Restart the direct reader at the batch reader's revision.
static void
direct_restart (flw_follower_t *f, uint64_t now_ms)
{
  flw_reader_t *direct = &f->readers[FLW_DIRECT];
  direct->as_of = f->readers[FLW_BATCH].as_of;
  reader_restart (direct, now_ms);
}

/// @return  Whether the batch reader's reads time out.
static bool
is_store_silent (const flw_follower_t *f)
{
  const flw_reader_t *batch = &f->readers[FLW_BATCH];
  return batch->failed_since_ms > 0 && batch->consecutive_timeouts > 0;
}

/// Extend the time for which missing targets are retained.
/// @param earliest_return_ms  The store was back at this time at the earliest.
static void
retain_after (flw_follower_t *f, uint64_t earliest_return_ms)
{
  uint64_t until_ms
      = earliest_return_ms + RECOVERY_BOUND_MS - REMOVAL_MARGIN_MS;
  if (until_ms > f->retain_until_ms)
    f->retain_until_ms = until_ms;
}

/// The store was restored after the newest answered batch read had begun, and
/// after the newest unanswered one.
static void
restart_after_restore (flw_follower_t *f, uint64_t now_ms)
{
  flw_reader_t *batch = &f->readers[FLW_BATCH];
  flw_reader_t *direct = &f->readers[FLW_DIRECT];
  f->restore_count++;
  f->is_copy_due = true;
  retain_after (f, f->known_ms > f->last_unanswered_ms
                       ? f->known_ms
                       : f->last_unanswered_ms);
  batch->as_of = 0;
  reader_restart (batch, now_ms);
  direct->as_of = 0;
  reader_restart (direct, now_ms);
  // Continues from the batch reader's range.
  direct->due_ms = UINT64_MAX;
}

/// Make the direct reader send a range read of the operator's keys, unless it
/// already does.
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

/// The store answers range reads: cancel the batch reader's long poll if it
/// was sent earlier.
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
  uint64_t pause_ms
      = is_recovering && f->pause_ms > short_ms ? short_ms : f->pause_ms;
  // The first read that counts as confirmed is not delayed by a pause.
  bool is_confirmed_in_pause
      = now_ms < f->rewritten_ms && f->rewritten_ms < now_ms + pause_ms;
  return is_confirmed_in_pause ? f->rewritten_ms - now_ms : pause_ms;
}

static void
batch_answered (flw_follower_t *f, uint64_t now_ms, bool is_first,
                uint64_t config_revision, uint32_t random)
{
  flw_reader_t *batch = &f->readers[FLW_BATCH];
  // Measured from the start of the unanswered read: the outage may have begun
  // then, even if the failure was only just detected.
  bool is_gap
      = batch->failed_since_ms > 0 && now_ms - batch->failed_since_ms > GAP_MS;
  bool is_failure_over = batch->failed_since_ms > 0;
  // The store's writers could not write again either.
  if (is_failure_over && batch->failed_since_ms < f->rewritten_ms)
    f->rewritten_ms = now_ms + REWRITE_MS;
  batch->failed_since_ms = 0;
  f->known_ms = batch->began_ms;
  f->is_store_read_due = false;
  if (is_gap)
    retain_after (f, f->last_unanswered_ms);
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

/// @return  Pause after a refusal or an early answer without changes; grows
///          exponentially up to RETRY_MAX_MS.
static uint64_t
backoff_ms (flw_reader_t *r, uint32_t random)
{
  uint64_t pause_ms = r->retry_ms / 2 + random % (r->retry_ms + 1);
  r->retry_ms *= 2;
  if (r->retry_ms > RETRY_MAX_MS)
    r->retry_ms = RETRY_MAX_MS;
  return pause_ms;
}

/// @return  Whether an answer is to be applied, by its era.
static flw_verdict_t
judge_answer (flw_follower_t *f, flw_reader_id_t which, uint64_t now_ms,
              const flw_answer_t *answer, uint32_t random)
{
  flw_reader_t *r = &f->readers[which];
  bool is_batch_range = which == FLW_BATCH && r->as_of == 0;
  era_answer_t observed = { .era = answer->era,
                            .as_of = answer->as_of,
                            .known_revision = r->sent_revision };
  switch (era_observe (&f->era, &observed))
    {
    case ERA_STALE:
      flw_failed (f, which, now_ms, FLW_NO_ANSWER, random);
      return FLW_DISCARD;
    case ERA_RESTORED:
      r->is_reading = false;
      restart_after_restore (f, now_ms);
      if (!is_batch_range)
        return FLW_DISCARD;
      break;
    case ERA_CURRENT:
      break;
    }
  if (is_batch_range && f->is_copy_due)
    {
      f->is_copy_due = false;
      f->copy_revision = answer->as_of;
      f->rewritten_ms = now_ms + REWRITE_MS;
    }
  return FLW_APPLY;
}

static void
apply_answer (flw_follower_t *f, flw_reader_id_t which, uint64_t now_ms,
              const flw_answer_t *answer, uint32_t random)
{
  flw_reader_t *r = &f->readers[which];
  uint64_t as_of = answer->as_of;
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
  // A late answer must not move the reader back to an older revision.
  if (as_of > r->as_of)
    r->as_of = as_of;
  r->due_ms = is_early ? now_ms + backoff_ms (r, random) : now_ms;
  if (which == FLW_BATCH)
    {
      batch_answered (f, now_ms, is_first, answer->config_revision, random);
      return;
    }
  r->failed_since_ms = 0;
  if (is_first && is_store_silent (f))
    batch_restart (f, now_ms);
}

flw_verdict_t
flw_answered (flw_follower_t *f, flw_reader_id_t which, uint64_t now_ms,
              const flw_answer_t *answer, uint32_t random)
{
  flw_verdict_t verdict = judge_answer (f, which, now_ms, answer, random);
  if (verdict != FLW_DISCARD)
    apply_answer (f, which, now_ms, answer, random);
  return verdict;
}

void
flw_hint_era (flw_follower_t *f, uint64_t era, uint64_t now_ms)
{
  flw_reader_t *batch = &f->readers[FLW_BATCH];
  if (era <= f->era.era || batch->as_of == 0)
    return;
  f->is_store_read_due = true;
  reader_restart (batch, now_ms);
}

bool
flw_is_confirmed (const flw_follower_t *f)
{
  return !f->is_copy_due && f->known_ms >= f->rewritten_ms;
}

/// @return  Pause after a failed read.
static uint64_t
failure_pause_ms (flw_reader_t *r, uint64_t duration_ms, bool is_timeout,
                  uint32_t random)
{
  // The timeout itself has already delayed the next read.
  if (is_timeout)
    return random % TIMEOUT_PAUSE_MS;
  return duration_ms >= INTERRUPTED_MS ? random % RETRY_FIRST_MS
                                       : backoff_ms (r, random);
}

/// While the store refuses, the direct reader stops until the batch reader is
/// answered. During an outage it continues with range reads.
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
      // The batch reader reads the range; the direct reader continues from
      // its answer, except during an outage.
      r->as_of = 0;
      r->due_ms
          = which == FLW_BATCH || is_store_silent (f) ? now_ms : UINT64_MAX;
      return;
    }
  uint64_t duration_ms = now_ms - r->began_ms;
  bool is_timeout = duration_ms >= r->timeout_ms;
  if (r->failed_since_ms == 0)
    r->failed_since_ms = is_timeout ? r->began_ms : now_ms;
  r->due_ms = now_ms + failure_pause_ms (r, duration_ms, is_timeout, random);
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
  // The peer's read may have begun later and yet returned an older revision;
  // newer knowledge is kept.
  if (as_of > batch->as_of)
    batch->as_of = as_of;
  if (as_of > f->era.revision)
    f->era.revision = as_of;
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
