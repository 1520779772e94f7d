#include "coordination/claim_runner.h"

#include <stdio.h>
#include <stdlib.h>

void
clm_runner_init (clm_runner_t *runner, uint32_t limit, uint64_t window_ms,
                 uint64_t answer_limit_bytes)
{
  *runner = (clm_runner_t){ .limit = limit,
                            .window_ms = window_ms,
                            .answer_limit_bytes = answer_limit_bytes };
}

static void
run_drop_answer (clm_runner_t *runner, clm_run_t *run)
{
  runner->answer_bytes -= run->answer_bytes;
  free (run->answer);
  run->answer = NULL;
  run->answer_bytes = 0;
}

static void
run_remove (clm_runner_t *runner, clm_run_t *run)
{
  run_drop_answer (runner, run);
  kb_map_remove (&runner->by_attempt, run->attempt);
  if (run->key != 0 && kb_map_get (&runner->by_key, run->key) == run)
    kb_map_remove (&runner->by_key, run->key);
  free (run);
}

void
clm_runner_finish (clm_runner_t *runner)
{
  uint32_t at = 0;
  clm_run_t *run;
  while ((run = kb_map_next (&runner->by_attempt, &at)) != NULL)
    {
      free (run->answer);
      free (run);
    }
  kb_map_finish (&runner->by_attempt);
  kb_map_finish (&runner->by_key);
}

clm_run_t *
clm_runner_find (clm_runner_t *runner, uint64_t attempt)
{
  return kb_map_get (&runner->by_attempt, attempt);
}

clm_run_t *
clm_runner_find_key (clm_runner_t *runner, uint64_t key)
{
  return kb_map_get (&runner->by_key, key);
}

static clm_run_t *
run_add (clm_runner_t *runner, uint64_t attempt, uint64_t now_ms)
{
  clm_run_t *run = kb_alloc (sizeof *run);
  run->attempt = attempt;
  run->changed_ms = now_ms;
  run->state = CLM_RUN_WAITING;
  kb_map_put (&runner->by_attempt, attempt, run);
  return run;
}

clm_admit_t
clm_runner_admit (clm_runner_t *runner, uint64_t attempt, uint64_t key,
                  uint64_t digest, uint64_t epoch, uint64_t now_ms)
{
  clm_run_t *known = clm_runner_find (runner, attempt);
  if (known != NULL)
    return known->state == CLM_RUN_VOIDED ? CLM_ADMIT_VOIDED
                                          : CLM_ADMIT_ALREADY;
  if (runner->by_attempt.len >= runner->limit)
    return CLM_ADMIT_FULL;
  if (key != 0)
    {
      uint64_t *newest = &runner->epochs[clm_shard (key)];
      // A former owner that was paused may resume and grant from an outdated
      // table. The new owner's rebuild has raised the epoch here, so such a
      // grant is refused.
      if (epoch < *newest)
        return CLM_ADMIT_STALE_EPOCH;
      *newest = epoch;
      clm_run_t *holder = clm_runner_find_key (runner, key);
      if (holder != NULL && holder->state != CLM_RUN_VOIDED)
        return CLM_ADMIT_ALREADY;
    }
  clm_run_t *run = run_add (runner, attempt, now_ms);
  run->key = key;
  run->digest = digest;
  if (key != 0)
    kb_map_put (&runner->by_key, key, run);
  return CLM_ADMIT_OK;
}

void
clm_runner_set_state (clm_runner_t *runner, uint64_t attempt,
                      clm_run_state_t state, uint64_t now_ms)
{
  clm_run_t *run = clm_runner_find (runner, attempt);
  if (run == NULL)
    return;
  run->state = state;
  run->changed_ms = now_ms;
}

clm_run_state_t
clm_runner_revoke (clm_runner_t *runner, uint64_t attempt, uint64_t now_ms)
{
  clm_run_t *run = clm_runner_find (runner, attempt);
  if (run == NULL)
    {
      run = run_add (runner, attempt, now_ms);
      run->state = CLM_RUN_VOIDED;
    }
  return run->state;
}

static clm_run_t *
oldest_answer (const clm_runner_t *runner)
{
  clm_run_t *oldest = NULL;
  uint32_t at = 0;
  clm_run_t *run;
  while ((run = kb_map_next (&runner->by_attempt, &at)) != NULL)
    if (run->answer != NULL
        && (oldest == NULL || run->answer_order < oldest->answer_order))
      oldest = run;
  return oldest;
}

void
clm_runner_cache_answer (clm_runner_t *runner, uint64_t attempt,
                         const char *content_type, kb_slice_t answer)
{
  clm_run_t *run = clm_runner_find (runner, attempt);
  if (run == NULL || run->key == 0
      || answer.len_bytes > runner->answer_limit_bytes / 4)
    return;
  while (runner->answer_bytes + answer.len_bytes > runner->answer_limit_bytes)
    {
      clm_run_t *oldest = oldest_answer (runner);
      if (oldest == NULL)
        return;
      run_drop_answer (runner, oldest);
    }
  run->answer = kb_slice_dup (answer);
  run->answer_bytes = answer.len_bytes;
  run->answer_order = ++runner->answer_order;
  runner->answer_bytes += answer.len_bytes;
  snprintf (run->content_type, sizeof run->content_type, "%s", content_type);
}

static clm_state_t
run_claim_state (clm_run_state_t state)
{
  switch (state)
    {
    case CLM_RUN_DONE:
      return CLM_DONE;
    case CLM_RUN_FAILED:
      return CLM_FAILED;
    default:
      return CLM_GRANTED;
    }
}

void
clm_runner_raise_epoch (clm_runner_t *runner, uint32_t shard, uint64_t epoch)
{
  if (epoch > runner->epochs[shard])
    runner->epochs[shard] = epoch;
}

void
clm_runner_recover (clm_runner_t *runner, const uint64_t *epochs,
                    uint64_t name, uint64_t incarnation, kb_buf_t *records)
{
  for (uint32_t s = 0; s < CLM_SHARDS; s++)
    clm_runner_raise_epoch (runner, s, epochs[s]);
  uint32_t at = 0;
  clm_run_t *run;
  while ((run = kb_map_next (&runner->by_key, &at)) != NULL)
    {
      if (epochs[clm_shard (run->key)] == 0 || run->state == CLM_RUN_VOIDED)
        continue;
      clm_record_t record = { .key = run->key,
                              .digest = run->digest,
                              .attempt = run->attempt,
                              .incarnation = incarnation,
                              .runner = name,
                              .state = run_claim_state (run->state) };
      clm_record_pack (&record, records);
    }
}

void
clm_runner_expire (clm_runner_t *runner, uint64_t now_ms)
{
  clm_run_t **old = NULL;
  uint32_t count = 0;
  uint32_t at = 0;
  clm_run_t *run;
  while ((run = kb_map_next (&runner->by_attempt, &at)) != NULL)
    if (run->state >= CLM_RUN_DONE
        && now_ms - run->changed_ms > runner->window_ms)
      {
        if ((count & 255) == 0)
          // An array of pointers is intended.
          // NOLINTNEXTLINE(bugprone-sizeof-expression)
          old = kb_realloc (old, (count + 256) * sizeof *old);
        old[count++] = run;
      }
  for (uint32_t i = 0; i < count; i++)
    run_remove (runner, old[i]);
  free (old);
}
