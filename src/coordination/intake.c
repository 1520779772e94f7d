#include "coordination/intake.h"

enum
{
  /// Period over which the way to the targets is judged; longer if there are
  /// too few samples.
  RECENT_MS = 250,
  MAX_RECENT_MS = 1000,
  USUAL_MS = 30000,
  MIN_SAMPLES = 4,
  /// How much longer than usual the fastest connection takes on a way that is
  /// slow.
  SLOW_EXTRA_US = 100000,
  /// A way stays slow for this long without another sample.
  SLOW_MS = 500,
  /// Smallest interval between two reductions of the rate: the requests that
  /// were accepted before take some seconds to end.
  REDUCE_INTERVAL_MS = 2000,
  /// A limit without effect for this long is lifted.
  UNUSED_LIMIT_MS = 10000,
  /// New connections are refused for this long while the way is slow.
  REFUSE_MS = 100,
  MS_PER_S = 1000,
  /// Turning away at least this often is a series.
  SERIES_GAP_MS = 1000,
  /// A series of this length makes an entry short.
  SHORT_AFTER_MS = 1000,
  /// It is ready again after this time without turning connections away.
  READY_AFTER_MS = 2000,
};

/// Factor of the rate when the way is slow.
static const double reduction = 0.6;
/// Factors of the rate for each period in which it is not, up to
/// `careful_share` of the rate that made it slow, and beyond.
static const double growth = 1.25;
static const double careful_growth = 1.03;
static const double careful_share = 0.7;
static const double min_rate_per_s = (double)MS_PER_S / ITK_TRICKLE_MS;

void
itk_init (itk_intake_t *intake)
{
  *intake = (itk_intake_t){ .allowance = ITK_BATCH, .has_room = true };
}

void
itk_set_room (itk_intake_t *intake, bool has_room)
{
  intake->has_room = has_room;
}

static void
period_add (itk_period_t *period, uint64_t took_us)
{
  if (period->count == 0 || took_us < period->least_us)
    period->least_us = took_us;
  period->count++;
}

/// @return  The smallest time in the long periods, which is at most the one
///          given.
static uint64_t
usual_us (const itk_intake_t *intake, uint64_t least_us)
{
  for (int i = 0; i < 2; i++)
    if (intake->usual[i].count > 0 && intake->usual[i].least_us < least_us)
      least_us = intake->usual[i].least_us;
  return least_us;
}

/// Begin a new second if the present one is over.
static void
count_seconds (itk_intake_t *intake, uint64_t now_ms)
{
  uint64_t past_ms = now_ms - intake->second_began_ms;
  if (past_ms < MS_PER_S)
    return;
  intake->accepted_count[1]
      = past_ms < 2 * MS_PER_S ? intake->accepted_count[0] : 0;
  intake->accepted_count[0] = 0;
  intake->second_began_ms = now_ms;
}

static uint32_t
accepted_per_s (const itk_intake_t *intake)
{
  const uint32_t *count = intake->accepted_count;
  return count[0] > count[1] ? count[0] : count[1];
}

static bool
has_recovered (const itk_intake_t *intake)
{
  return intake->rate_per_s >= careful_share * intake->reduced_from_per_s;
}

static void
reduce_rate (itk_intake_t *intake, uint64_t now_ms)
{
  if (now_ms - intake->reduced_ms < REDUCE_INTERVAL_MS)
    return;
  // What was accepted under a limit may be little for other reasons.
  double rate_per_s
      = intake->rate_per_s > 0 ? intake->rate_per_s : accepted_per_s (intake);
  // A limit that had not recovered yet was not what made the way slow.
  if (intake->rate_per_s <= 0 || has_recovered (intake))
    intake->reduced_from_per_s = rate_per_s;
  rate_per_s *= reduction;
  intake->rate_per_s
      = rate_per_s > min_rate_per_s ? rate_per_s : min_rate_per_s;
  intake->reduced_ms = now_ms;
  intake->limited_ms = now_ms;
}

static void
raise_rate (itk_intake_t *intake, uint64_t now_ms)
{
  intake->rate_per_s *= has_recovered (intake) ? careful_growth : growth;
  if (now_ms - intake->limited_ms >= UNUSED_LIMIT_MS)
    intake->rate_per_s = 0;
}

/// @return  Whether the limit of the rate permits one more connection.
static bool
has_token (itk_intake_t *intake, uint64_t now_ms)
{
  uint64_t past_ms = now_ms - intake->tokens_ms;
  intake->tokens_ms = now_ms;
  intake->tokens += intake->rate_per_s * (double)past_ms / MS_PER_S;
  double most = intake->rate_per_s * ITK_MAX_WAIT_MS / MS_PER_S + 1;
  if (intake->tokens > most)
    intake->tokens = most;
  if (intake->rate_per_s <= 0 || intake->tokens >= 1)
    return true;
  intake->limited_ms = now_ms;
  return false;
}

static void
judge_path (itk_intake_t *intake, uint64_t now_ms)
{
  const itk_period_t *recent = &intake->recent;
  if (recent->count < MIN_SAMPLES)
    return;
  bool is_slow
      = recent->least_us > usual_us (intake, recent->least_us) + SLOW_EXTRA_US;
  intake->slow_until_ms = is_slow ? now_ms + SLOW_MS : 0;
  if (is_slow)
    reduce_rate (intake, now_ms);
  else
    raise_rate (intake, now_ms);
}

void
itk_record_path (itk_intake_t *intake, uint64_t took_us, uint64_t now_ms)
{
  if (now_ms - intake->recent.began_ms >= RECENT_MS
      && (intake->recent.count >= MIN_SAMPLES
          || now_ms - intake->recent.began_ms >= MAX_RECENT_MS))
    {
      judge_path (intake, now_ms);
      intake->recent = (itk_period_t){ .began_ms = now_ms };
    }
  if (now_ms - intake->usual[0].began_ms >= USUAL_MS)
    {
      intake->usual[1] = intake->usual[0];
      intake->usual[0] = (itk_period_t){ .began_ms = now_ms };
    }
  period_add (&intake->recent, took_us);
  period_add (&intake->usual[0], took_us);
}

bool
itk_is_path_slow (const itk_intake_t *intake, uint64_t now_ms)
{
  return now_ms < intake->slow_until_ms;
}

void
itk_idle (itk_intake_t *intake)
{
  if (intake->has_room)
    intake->allowance = ITK_BATCH;
}

bool
itk_accept (itk_intake_t *intake, uint64_t now_ms)
{
  count_seconds (intake, now_ms);
  bool is_trickle = now_ms - intake->accepted_ms >= ITK_TRICKLE_MS;
  bool is_permitted = has_token (intake, now_ms) && intake->allowance > 0;
  if (!is_permitted && !is_trickle)
    {
      if (intake->waiting_since_ms == 0)
        intake->waiting_since_ms = now_ms;
      return false;
    }
  if (intake->allowance > 0)
    intake->allowance--;
  if (intake->tokens >= 1)
    intake->tokens--;
  // All that waited when they were counted have been accepted.
  if (intake->counted_left > 0 && --intake->counted_left == 0)
    intake->waiting_since_ms = intake->counted_ms;
  intake->accepted_count[0]++;
  intake->accepted_ms = now_ms;
  return true;
}

void
itk_count_waiting (itk_intake_t *intake, uint32_t waiting, uint64_t now_ms)
{
  if (intake->counted_left > 0)
    return;
  intake->counted_ms = now_ms;
  intake->counted_left = waiting;
}

void
itk_none_waits (itk_intake_t *intake)
{
  intake->waiting_since_ms = 0;
  intake->counted_left = 0;
}

bool
itk_must_turn_away (const itk_intake_t *intake, uint64_t now_ms)
{
  uint64_t max_wait_ms
      = itk_is_path_slow (intake, now_ms) ? 0 : ITK_MAX_WAIT_MS;
  return intake->waiting_since_ms > 0
         && now_ms - intake->waiting_since_ms >= max_wait_ms;
}

uint64_t
itk_turned_away (itk_intake_t *intake, uint64_t now_ms)
{
  bool is_series = intake->turned_away_since_ms > 0
                   && now_ms - intake->turned_away_ms < SERIES_GAP_MS;
  if (!is_series)
    intake->turned_away_since_ms = now_ms;
  intake->turned_away_ms = now_ms;
  itk_none_waits (intake);
  return itk_is_path_slow (intake, now_ms) ? REFUSE_MS : 0;
}

bool
itk_is_short (itk_intake_t *intake, uint64_t now_ms)
{
  uint64_t since_ms = intake->turned_away_since_ms;
  if (since_ms == 0 || now_ms - intake->turned_away_ms >= READY_AFTER_MS)
    intake->is_short = false;
  else if (intake->turned_away_ms - since_ms >= SHORT_AFTER_MS)
    intake->is_short = true;
  return intake->is_short;
}
