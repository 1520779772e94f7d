/// @file parts.h
/// Parts of prompts with which engines end, whatever else a request holds. No
/// I/O; time is an argument.
///
/// Requests with such a part differ in all else, and sound requests share
/// their other parts, so neither the request nor the number of ends shows the
/// cause. Nothing with the part is ever served, though. The end of an engine
/// is put down to the parts of the requests that were starting there, without
/// those that were served recently, and a part that is served is cleared. A
/// part with two ends is a suspect: requests with it start alone, one at a
/// time. It is held after three ends with proof: alone once with no other part
/// to blame, or twice with others.
///
/// The records are those of coordination/quarantine.h, and are exchanged in
/// the same messages.
#ifndef KB_COORDINATION_PARTS_H
#define KB_COORDINATION_PARTS_H

#include "coordination/quarantine.h"

enum
{
  PRT_MAX_PARTS = 16, ///< Of one request.
  /// A request ends its engine within this time after its first event; a part
  /// of one that goes on for longer is served.
  PRT_STARTUP_MS = 500,
  /// A part that was served this recently is no cause of an end.
  PRT_SERVED_MS = 10000,
  /// Suspects in one request are tried together when none of them has ended an
  /// engine for this long: no request with only one of them comes.
  PRT_QUIET_MS = 5000,
  /// Ends that hold a part without proof, and for how long; doubles with each
  /// further end.
  PRT_ENDS_HELD_UNPROVEN = 5,
  PRT_UNPROVEN_HOLD_MS = 10000,
  PRT_SERVED_SLOTS = 1024, ///< Power of two.
};

/// Parts of one request's prompt that other requests may share.
typedef struct
{
  uint64_t keys[PRT_MAX_PARTS]; ///< Subjects of quarantine records.
  uint32_t count;
} prt_list_t;

/// Parts that were served recently; a newer one may displace another.
typedef struct
{
  struct
  {
    uint64_t key;
    uint64_t served_ms;
  } slots[PRT_SERVED_SLOTS];
} prt_served_t;

typedef enum
{
  PRT_FREE,
  PRT_TRIAL, ///< It may start alone, at the engine that tries the suspect.
  PRT_WAIT,  ///< Its suspects are to be decided by other requests first.
  PRT_HELD,
} prt_verdict_t;

typedef struct
{
  prt_verdict_t verdict;
  uint64_t suspect; ///< The part to try; zero: none.
  uint64_t hold_ms; ///< Remaining hold time.
} prt_judgement_t;

/// Parses "ID:TOKENS,ID:TOKENS"; an item without an id is skipped.
void prt_list_parse (kb_slice_t text, prt_list_t *out);
/// Records that a part was served.
void prt_served_add (prt_served_t *served, uint64_t part, uint64_t now_ms);
/// @return  Whether it was served less than PRT_SERVED_MS before a moment, or
///          later.
bool prt_served_contains (const prt_served_t *served, uint64_t part,
                          uint64_t at_ms);
/// Removes the parts that are no cause of an end, because they were served.
void prt_list_remove_served (prt_list_t *list, const prt_served_t *served,
                             uint64_t at_ms);
/// Finds the records, learned from others, of parts that were served here.
/// @param out  Receives at most QRT_MAX_ENTRIES parts.
/// @return     Their number.
uint32_t prt_find_served (const qrt_table_t *table, const prt_served_t *served,
                          uint64_t now_ms, uint64_t *out);
/// @return  qrt_end_t.is_alone of an end with these parts to blame.
uint64_t prt_proof_of (const prt_list_t *blamed, bool is_alone);
/// Decides whether a request with these parts may start.
/// @param caller  Hash of its workspace; not zero.
prt_judgement_t prt_judge (const qrt_table_t *table, const prt_list_t *parts,
                           uint64_t caller, uint64_t now_ms);

#endif
