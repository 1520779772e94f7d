/// @file gateway_suspects.h
/// Requests that may end targets: which are suspected and why, and how they
/// are started.
#ifndef KB_GATEWAY_GATEWAY_SUSPECTS_H
#define KB_GATEWAY_GATEWAY_SUSPECTS_H

#include "coordination/ending.h"
#include "gateway/gateway_defs.h"

// gateway_alone.c
/// @return  Whether a request may use a target now: no other request starts
///          alone there or has reserved it.
bool gtw_alone_can_use (const gtw_request_t *r, const gtw_target_t *target);
/// @return  Whether that excludes it from some target of its service.
bool gtw_alone_is_blocking_any (const gtw_request_t *r);
/// Start at the current target, which is plain.
/// @return  False: it has to start alone and must wait; the target is reserved
///          for it.
bool gtw_alone_start (gtw_request_t *r);
/// @return  Whether it has waited too long and has to use another target.
bool gtw_alone_has_timed_out (const gtw_request_t *r);
/// End the use of the current target.
void gtw_alone_leave (gtw_request_t *r);

// gateway_liveness.c
typedef enum
{
  GTW_LIVENESS_PROVED,    ///< The target is alive, or no proof is needed.
  GTW_LIVENESS_REQUESTED, ///< The request is resumed when the result is known.
  GTW_LIVENESS_FAILED,    ///< The target did not answer.
  GTW_LIVENESS_REPLACED,  ///< Another incarnation answered: it has ended.
} gtw_liveness_t;
/// Check whether the plain target of a suspected request is proved to be
/// alive, and request a proof if not.
gtw_liveness_t gtw_liveness_check (gtw_request_t *r);
/// Ask plain targets whether they lived on after they closed the connection of
/// an answer without a length.
void gtw_liveness_tick (gtw_gateway_t *gateway);

// gateway_quarantine.c
/// @param hold_ms  Receives the remaining time for which it is held.
qrt_verdict_t gtw_quarantine_check (gtw_request_t *r, uint64_t *hold_ms);
/// @return  For a request that has to start alone: aln_request_t.patience.
uint32_t gtw_quarantine_patience (gtw_request_t *r);
/// Decide whether a request of a caller may start at a kind of target.
/// @param hold_ms  Receives the remaining time for which it is held.
qrt_verdict_t gtw_quarantine_judge (const gtw_gateway_t *gateway,
                                    uint64_t request, uint64_t caller,
                                    bool is_plain, uint64_t *hold_ms);
/// @return  Hash of its workspace, or without one of its connection's address.
uint64_t gtw_quarantine_caller (const gtw_request_t *r);
/// Share a record that has changed. Most requests are suspected once and never
/// again; the platform keeps only those that may be held, unless there is no
/// sidecar to inform the other gateways.
void gtw_quarantine_publish (gtw_gateway_t *gateway, uint64_t request,
                             bool may_be_held);
/// Clear the record of a request that was served.
void gtw_quarantine_mark_served (gtw_gateway_t *gateway, uint64_t request);
/// Merge quarantine entries received from a sidecar.
void gtw_quarantine_merge_records (gtw_gateway_t *gateway, kb_slice_t records);
/// Send a sidecar the quarantine entries that it lacks.
void gtw_quarantine_sync_sidecar (gtw_gateway_t *gateway,
                                  const gtw_target_t *target);

// gateway_breaks.c
/// @return  Whether an earlier attempt broke off while it was starting at a
///          target, as far as this gateway knows.
bool gtw_quarantine_has_earlier_break (gtw_request_t *r);
/// @return  Whether a target has ended a moment ago, or may have, with an
///          earlier attempt of a request that started alone there, for the
///          same caller.
bool gtw_quarantine_has_unsettled_trial (gtw_request_t *r);
/// @return  Whether a request that has to start alone is starting at its
///          target.
bool gtw_quarantine_is_suspect_starting (const gtw_request_t *r);
/// Record what the end of an attempt proves. Call it at each end, while the
/// request still has its target.
void gtw_quarantine_record_end (gtw_request_t *r, end_kind_t kind);
/// Another request has joined the one that started alone with this place.
void gtw_quarantine_record_joined (gtw_gateway_t *gateway, uint64_t place_id);
/// Whether requests at an engine are alone is not known any more: its sidecar
/// has restarted or cannot be reached.
void gtw_quarantine_forget_alone (gtw_gateway_t *gateway,
                                  const gtw_target_t *target);
/// Move the breaks of requests that were sent to an incarnation before the
/// list named it, or to one that is later still.
/// @param is_from_alive  The listed incarnation of `from` has not ended.
void gtw_quarantine_move_breaks (gtw_gateway_t *gateway,
                                 const gtw_target_t *from, gtw_target_t *to,
                                 bool is_from_alive);
/// @return  Whether attempts broke off at a target that may have ended, which
///          is not proved yet.
bool gtw_quarantine_awaits_evidence (const gtw_gateway_t *gateway,
                                     const gtw_target_t *target);
/// Record that the process of a target has ended.
/// @param evidence  How that was detected, for the log.
void gtw_quarantine_record_target_end (gtw_gateway_t *gateway,
                                       gtw_target_t *target,
                                       const char *evidence);
/// Settle the attempts that are suspects unless their target has lived on, at
/// the target of a request, which has sent that one an answer's head or an
/// event.
/// @param alive_ms  A moment not later than when it was sent.
void gtw_quarantine_confirm_recipient (const gtw_request_t *r,
                                       uint64_t alive_ms);
/// The same for the listed incarnation of a target.
void gtw_quarantine_confirm_listed (gtw_gateway_t *gateway,
                                    gtw_target_t *target, uint64_t alive_ms);
/// The same of the engine that its sidecar reports.
void gtw_quarantine_confirm_reported (gtw_gateway_t *gateway,
                                      gtw_target_t *target,
                                      const inc_t *engine, uint64_t alive_ms);
/// The same for the attempt that had a place at an engine.
void gtw_quarantine_confirm_place (gtw_gateway_t *gateway, uint64_t place_id);
/// @param at  Position of the search; zero for the first call.
/// @return    A plain target with attempts that are suspects unless it has
///            lived on; NULL: no more.
gtw_target_t *gtw_quarantine_next_unconfirmed (const gtw_gateway_t *gateway,
                                               uint32_t *at);

// gateway_parts.c
/// @return  Whether a part of its prompt may end its engine now.
bool gtw_parts_are_starting (gtw_request_t *r);
/// Add its parts to the description of an attempt.
void gtw_parts_describe (gtw_request_t *r, gtw_broken_attempt_t *attempt);
/// Put the end of a target down to the parts of an attempt.
/// @param is_alone  No other request was starting there.
void gtw_parts_blame (gtw_gateway_t *gateway, const gtw_target_t *target,
                      const gtw_broken_attempt_t *attempt, bool is_alone);
/// Record that parts were served, and clear their records.
void gtw_parts_record_served (gtw_gateway_t *gateway, const prt_list_t *parts);
/// The same for those of a request, once it has received events for long
/// enough or its whole answer.
void gtw_parts_record_progress (gtw_request_t *r);
/// Clear the records, learned from others, of parts that were served here.
void gtw_parts_clear_served (gtw_gateway_t *gateway);
/// Decide whether a request may start, and set the target of a trial.
prt_judgement_t gtw_parts_judge (gtw_request_t *r);

// gateway_probe.c
/// Open a test connection to a target, to find out whether its process has
/// ended.
void gtw_probe_start (gtw_gateway_t *gateway, gtw_target_t *target);

#endif
