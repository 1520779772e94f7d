/// @file admit_defs.h
/// What the files of the admission share.
#ifndef KB_COORDINATION_ADMIT_DEFS_H
#define KB_COORDINATION_ADMIT_DEFS_H

#include "coordination/admit.h"

/// @return  Recent requests for an adapter, halved every few seconds.
double adm_heat_at (const adm_adapter_t *adapter, uint64_t now_ms);
/// What a fetch of an adapter is worth: the requests that wait for it now, and
/// those that will come while it is held.
double adm_load_value (const adm_table_t *table, const adm_adapter_t *adapter,
                       uint64_t now_ms);
/// Whether its fetch takes a turn at the weight store.
bool adm_is_cold_load (const adm_adapter_t *adapter);
/// Take a request out of those that wait.
void adm_waiting_remove (adm_table_t *table, adm_ask_t *ask);

#endif
