/// @file admit_defs.h
/// Internal declarations of the admission control (admit*.c).
#ifndef KB_COORDINATION_ADMIT_DEFS_H
#define KB_COORDINATION_ADMIT_DEFS_H

#include "coordination/admit.h"

/// @return  Requests for an adapter, decayed exponentially.
double adm_adapter_recent_requests (const adm_adapter_t *adapter,
                                    uint64_t now_ms);
/// @return  Benefit of loading an adapter, in requests: those that wait for
///          it, and those expected while it is held.
double adm_load_value (const adm_table_t *table, const adm_adapter_t *adapter,
                       uint64_t now_ms);
/// @return  Whether a load has to fetch from the weight store, rather than
///          from the engine's host memory.
bool adm_is_cold_load (const adm_adapter_t *adapter);
/// @return  Whether a request granted now can still meet its objective.
bool adm_is_timely (const adm_table_t *table, const adm_request_t *request,
                    uint64_t now_ms);
/// @return  Whether a load that starts now ends in time for the latest
///          objective of the requests that wait for the adapter.
bool adm_load_is_timely (const adm_table_t *table,
                         const adm_adapter_t *adapter, uint64_t now_ms);
/// @return  Whether `a` is served before `b`. Both wait; `a` arrived first.
bool adm_is_before (const adm_table_t *table, const adm_request_t *a,
                    const adm_request_t *b, uint64_t now_ms);
/// Update a saturation from the head of its queue.
/// @param is_timely  There is a head, and it is timely.
/// @param fits       There is capacity for it now.
void adm_saturation_update (adm_saturation_t *saturation, bool is_timely,
                            bool fits, uint64_t now_ms);
/// @return  Whether the saturation has lasted for MIN_SATURATION_MS.
bool adm_saturation_is_sustained (const adm_saturation_t *saturation,
                                  uint64_t now_ms);
/// When two priority classes both exceed the capacity, ratio of prompt cost
/// granted to the more urgent class to that of the less urgent one. Strict
/// priority starves the less urgent class: at three times the capacity, almost
/// none of its requests are in time.
#define ADM_URGENT_SHARE_RATIO 4.0
/// Fraction of the engine's KV memory that is granted. Estimates of output
/// length are off by half and more; a run that outgrows the remainder preempts
/// another one, whose prompt then has to be processed again.
#define ADM_MAX_KV_FRACTION 0.9
/// Unlink a request from the waiting ones.
void adm_waiting_remove (adm_table_t *table, adm_request_t *request);

#endif
