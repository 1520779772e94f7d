/// @file rewrite.h
/// Records of this system in the store, and which of them are to be written
/// again after the store came back from an older copy (era.h). Every gateway
/// reads all records and so knows what the store held. The one that wrote a
/// record writes it again first; the others do so later, if it is still
/// missing then. Writes are conditional on the revision that was read, so that
/// only one succeeds. No I/O; time and randomness are arguments.
#ifndef KB_COORDINATION_REWRITE_H
#define KB_COORDINATION_REWRITE_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  RWR_MAX_ITEMS = 512,
};

/// A record that the store holds, or held until it was restored.
typedef struct
{
  uint64_t key;        ///< Of the record; zero: unused.
  uint64_t revision;   ///< Of the store; zero: it has none.
  uint64_t stamp;      ///< Of the record's content there; zero: it has none.
  uint64_t lost_stamp; ///< Of what was there before the restore.
  uint64_t due_ms;     ///< When to write it again; zero: not at all.
  bool is_own;         ///< This process wrote it.
} rwr_item_t;

typedef struct
{
  rwr_item_t items[RWR_MAX_ITEMS];
  uint32_t next; ///< Next item to be replaced when all are used.
} rwr_table_t;

/// The store has a record.
/// @param stamp  Grows with the record's content.
void rwr_listed (rwr_table_t *table, uint64_t key, uint64_t revision,
                 uint64_t stamp);
/// This process wrote a record.
void rwr_written (rwr_table_t *table, uint64_t key, uint64_t stamp);
/// The store was restored. What its copy lists has yet to be reported.
/// @param gateways  How many gateways there are, over which writes are spread.
/// @param random    Any number, for jitter.
void rwr_restored (rwr_table_t *table, uint64_t now_ms, uint32_t gateways,
                   uint32_t random);
/// @return  When rwr_pop_due has a record next; UINT64_MAX: not at all.
uint64_t rwr_due_ms (const rwr_table_t *table);
/// Take one record that is to be written again now.
/// @param revision  Set to the revision that the store must have of it.
/// @return          False if there is none.
bool rwr_pop_due (rwr_table_t *table, uint64_t now_ms, uint64_t *key,
                  uint64_t *revision);
/// A write of a record failed, or another process was first.
void rwr_retry (rwr_table_t *table, uint64_t key, uint64_t now_ms);

#endif
