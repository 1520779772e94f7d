#include "relay/accept.h"

#include "transport/timer.h"

static void
accept_on_idle (lsn_policy_t *policy)
{
  acc_accept_t *accept = (acc_accept_t *)policy;
  if (accept->has_room != NULL)
    itk_set_room (&accept->intake, accept->has_room (accept->owner));
  itk_idle (&accept->intake);
}

static bool
accept_may_accept (lsn_policy_t *policy)
{
  return itk_accept (&((acc_accept_t *)policy)->intake, tmr_now_ms ());
}

static void
accept_on_deferred (lsn_policy_t *policy, uint32_t waiting)
{
  itk_count_waiting (&((acc_accept_t *)policy)->intake, waiting,
                     tmr_now_ms ());
}

static void
accept_on_none_waits (lsn_policy_t *policy)
{
  itk_none_waits (&((acc_accept_t *)policy)->intake);
}

static bool
accept_must_turn_away (const lsn_policy_t *policy)
{
  return itk_must_turn_away (&((const acc_accept_t *)policy)->intake,
                             tmr_now_ms ());
}

static uint64_t
accept_on_turned_away (lsn_policy_t *policy)
{
  acc_accept_t *accept = (acc_accept_t *)policy;
  accept->turned_away++;
  return itk_turned_away (&accept->intake, tmr_now_ms ());
}

static const lsn_policy_vtable_t accept_vtable
    = { .on_idle = accept_on_idle,
        .may_accept = accept_may_accept,
        .on_deferred = accept_on_deferred,
        .on_none_waits = accept_on_none_waits,
        .must_turn_away = accept_must_turn_away,
        .on_turned_away = accept_on_turned_away };

void
acc_init (acc_accept_t *accept)
{
  *accept = (acc_accept_t){ .policy.vtable = &accept_vtable };
  itk_init (&accept->intake);
}
