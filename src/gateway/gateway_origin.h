/// @file gateway_origin.h
/// Streams go on only at the software version that began them.
#ifndef KB_GATEWAY_GATEWAY_ORIGIN_H
#define KB_GATEWAY_GATEWAY_ORIGIN_H

#include "gateway/gateway_defs.h"

// gateway_software.c
/// Set what identifies the incarnation and the software of a target, from its
/// list entry.
void gtw_software_identify (gtw_target_t *target);
/// Record the version of a listed target.
/// @return  Whether its service has several versions since then.
bool gtw_software_record (gtw_gateway_t *gateway, const gtw_target_t *target);
/// Record the versions of all listed targets, and forget those that were last
/// listed before any open stream began.
/// @return  Whether some service has several versions since then.
bool gtw_software_tick (gtw_gateway_t *gateway);
/// Record which services have streams that may be continued.
void gtw_software_apply_config (gtw_gateway_t *gateway);
/// @return  How long a stream that has begun may be continued.
uint64_t gtw_software_longest_stream_ms (const gtw_gateway_t *gateway);
/// The store came back from an older copy, whose records are read next.
void gtw_software_handle_restore (gtw_gateway_t *gateway);
/// @return  Whether the list names the incarnation that a target runs, and its
///          version.
bool gtw_software_is_listed (const gtw_target_t *target);
/// @return  Whether a gateway that doesn't know a stream of this origin can't
///          tell the version that may continue it.
bool gtw_software_is_ambiguous (const gtw_gateway_t *gateway,
                                const org_origin_t *origin);
/// Record the version that began a stream; the list need not name it.
void gtw_software_observe (gtw_gateway_t *gateway, const org_origin_t *origin);
typedef enum
{
  GTW_SOFTWARE_PROVEN,
  GTW_SOFTWARE_UNPROVEN,
  GTW_SOFTWARE_LIST_AWAITED, ///< A read of the list is to show it.
} gtw_software_proof_t;
/// Find out whether the one version that is known of a service must have begun
/// its streams that were open at a time: no other can have served unnoticed.
/// @param since_boot_ms  That time, by the clock of tmr_boottime_ms. A list
///                       that was read earlier may lack a version.
gtw_software_proof_t gtw_software_prove (const gtw_gateway_t *gateway,
                                         uint64_t service,
                                         uint64_t since_boot_ms);

// gateway_software_records.c
/// Write the next record of a version that is due, if no other record is
/// being written.
void gtw_software_write_records (gtw_gateway_t *gateway);
void gtw_software_receive_record (gtw_gateway_t *gateway,
                                  const src_record_t *stored);
/// The store has a record no more, of a version or of something else.
void gtw_software_remove_record (gtw_gateway_t *gateway, kb_slice_t key);

// gateway_origin_peers.c
/// Have a few sidecars remember what began a stream.
void gtw_origin_share (gtw_gateway_t *gateway, uint64_t stream,
                       const org_origin_t *origin, uint64_t ttl_ms);
/// Have sidecars remember all streams of ambiguous versions.
void gtw_origin_share_all (gtw_gateway_t *gateway);
/// Have a sidecar that has just started remember its part of the streams.
void gtw_origin_share_with (gtw_gateway_t *gateway, gtw_target_t *target);
/// Ask sidecars what began the stream that a request continues.
/// @return  Whether a reply is awaited.
bool gtw_origin_ask (gtw_request_t *r, uint64_t stream);
void gtw_origin_receive_reply (gtw_gateway_t *gateway,
                               const msg_origin_reply_t *reply);

// gateway_resume.c
/// Record when a version of an adapter was learned.
void gtw_resume_record_version (gtw_gateway_t *gateway, ver_item_t *item);
/// Record which read of the store was answered last. Call it each tick.
void gtw_resume_tick (gtw_gateway_t *gateway);
/// Find out which version of its adapter may continue the stream of a request
/// whose origin has been sought.
/// @return  Whether one may: false if several may have begun it.
bool gtw_resume_settle_version (gtw_request_t *r);
/// @return  The version of its adapter that has to continue the stream of a
///          request; zero: the newest.
uint32_t gtw_resume_version (const gtw_request_t *r);
/// @return  Whether the version of the adapter that began the stream of a
///          request may begin nothing any more.
bool gtw_resume_is_late (const gtw_request_t *r);
/// @return  Whether a target may serve a request as far as the version of its
///          adapter goes: it is new, or the target holds the version that
///          began its stream, or can load it.
bool gtw_resume_allows (const gtw_request_t *r, const gtw_target_t *target);
/// Spare one engine for the newest version if all hold the older one that a
/// request continues at: they can't replace it while it is in use. The last
/// usable one is not spared.
/// @param views  Of the targets, in the same order.
void gtw_resume_spare_one (const gtw_request_t *r,
                           gtw_target_t *const *targets,
                           plc_candidate_t *views, uint32_t count);
/// Log and count a stream whose target has sent the first event, if it began
/// elsewhere: at which version of its adapter, and at which one it goes on.
void gtw_resume_record (const gtw_request_t *r);

// gateway_origin.c
typedef enum
{
  GTW_ORIGIN_RESOLVED,
  GTW_ORIGIN_NO_LIST, ///< Which versions serve is not known yet.
  GTW_ORIGIN_AWAITED, ///< The request is resumed when a reply arrives.
  GTW_ORIGIN_UNKNOWN, ///< Several versions may have begun it.
} gtw_origin_verdict_t;
/// Find out whether a request continues a stream, once it is routed.
void gtw_origin_seek (gtw_request_t *r);
/// Find out what began the stream that a request continues.
gtw_origin_verdict_t gtw_origin_resolve (gtw_request_t *r);
/// Record what began the stream that a request receives: its target has sent
/// the first event.
void gtw_origin_record (gtw_request_t *r);
/// @return  Whether a request may be sent to a target: it is new, or the
///          target runs the version that began its stream.
bool gtw_origin_allows (const gtw_request_t *r, const gtw_target_t *target);
/// @return  Whether a target may continue the stream of a request, now or once
///          the list names its incarnation.
bool gtw_origin_can_become_allowed (const gtw_request_t *r,
                                    const gtw_target_t *target);
/// @return  Whether the incarnation that granted a place to a request may run
///          it. It may have restarted since it was chosen.
bool gtw_origin_allows_recipient (const gtw_request_t *r);
/// @return  Whether the version that began the stream of a request has left:
///          no target of it is listed any more, but others are.
bool gtw_origin_is_gone (const gtw_request_t *r);

#endif
