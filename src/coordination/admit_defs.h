/// @file admit_defs.h
/// What the files of the admission share.
#ifndef KB_COORDINATION_ADMIT_DEFS_H
#define KB_COORDINATION_ADMIT_DEFS_H

#include "coordination/admit.h"

/// @return  Recent requests for an adapter, halved every few seconds.
double adm_adapter_recent_requests (const adm_adapter_t *adapter,
                                    uint64_t now_ms);
/// What a fetch of an adapter is worth: the requests that wait for it now, and
/// those that will come while it is adapters_held.
double adm_load_value (const adm_table_t *table, const adm_adapter_t *adapter,
                       uint64_t now_ms);
/// Whether its fetch takes a turn at the weight store.
bool adm_is_cold_load (const adm_adapter_t *adapter);
/// Whether a first event can still come in time when it is granted now.
bool adm_is_timely (const adm_table_t *table, const adm_request_t *request,
                    uint64_t now_ms);
/// The same for an adapter that is fetched now, and the last of the requests
/// that wait for it.
bool adm_load_is_timely (const adm_table_t *table,
                         const adm_adapter_t *adapter, uint64_t now_ms);
/// Whether `a` is to be served before `b`; both wait, `a` longer.
bool adm_is_before (const adm_table_t *table, const adm_request_t *a,
                    const adm_request_t *b, uint64_t now_ms);
/// Note the first in a queue.
/// @param is_timely  There is one, and it can be in time.
/// @param fits       There is capacity for it now.
void adm_saturation_update (adm_saturation_t *saturation, bool is_timely,
                            bool fits, uint64_t now_ms);
/// @return  Whether requests in time have min_version more than there is for a
///          while.
bool adm_saturation_is_sustained (const adm_saturation_t *saturation,
                                  uint64_t now_ms);
/// Of two classes that both want more than there is, the less urgent one gets
/// one part of the reading for this many of the more urgent one's. With strict
/// classes a heavy urgent class took everything: at three times the capacity
/// of a drawn deployment 25 of 2,657 requests of the other class were in time.
#define ADM_URGENT_SHARE_RATIO 4.0
/// Part of the engine's memory that is given out. Output lengths are guesses
/// that are off by half and more; a run that outgrows the rest preempts
/// another one, which is then read anew.
#define ADM_MAX_KV_FRACTION 0.9
/// Take a request out of those that wait.
void adm_waiting_remove (adm_table_t *table, adm_request_t *request);

#endif
