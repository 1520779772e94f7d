/// @file software.h
/// Software versions that the targets of each service run, or ran while a
/// stream that is still open may have begun.
///
/// Streams begin only through gateways, and each gateway has every version
/// that it lists recorded in the platform's store. So a gateway that reads
/// these records with its list knows all versions that may have begun a
/// stream, also when all daemons have lost their memory. A record is written
/// for a long time while its version is listed, and for the length of the
/// longest stream once it is not. Writes are conditional on the revision that
/// was read, so that one gateway's write suffices.
///
/// The absence of a record proves something only to those who know that it
/// would be there. A process is a witness of a service's history if it has
/// read the list for as long as a stream lasts, or found no record at all in a
/// store that was never restored, or a record of another witness; records
/// state whether their writer was one, and had all versions that it knew
/// recorded. No I/O; time and randomness are arguments.
#ifndef KB_COORDINATION_SOFTWARE_H
#define KB_COORDINATION_SOFTWARE_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  SFW_MAX_ITEMS = 256, ///< Versions of all services; the oldest makes room.
};

typedef enum
{
  SFW_RECORD_NONE,   ///< The store has no record of the version.
  SFW_RECORD_LISTED, ///< It says that the version is listed.
  SFW_RECORD_LEFT,   ///< It says that the version is listed no more.
} sfw_record_state_t;

/// Version that targets of a service run.
typedef struct
{
  uint64_t service;   ///< Hash of the service's name.
  uint64_t software;  ///< Hash of the version.
  uint64_t known_ms;  ///< When it may last have begun a stream.
  uint64_t listed_ms; ///< When a target of it was last listed; zero: never.
  sfw_record_state_t record; ///< What the store has, as far as known.
  uint64_t revision;         ///< Of that record; zero: it has none.
  uint64_t recorded_ms;      ///< When it was read or written.
  bool is_record_of_witness; ///< Its writer was one, and vouched for it.
  bool is_witness;  ///< This process is one, of the service's history.
  bool is_recorded; ///< Its records are to be kept.
  uint64_t due_ms;  ///< When to write the record; zero: not at all.
} sfw_item_t;

typedef struct
{
  sfw_item_t items[SFW_MAX_ITEMS];
  uint32_t count;
  /// No version of a service that has none in the table can have begun a
  /// stream.
  bool is_absence_proof;
} sfw_table_t;

/// Record of a version in the store, or to be written there.
typedef struct
{
  uint64_t service;
  uint64_t software;
  sfw_record_state_t state;
  bool is_of_witness;
  uint64_t revision; ///< That the store must have; zero: no record.
  uint64_t ttl_ms;   ///< Of a record to be written.
} sfw_record_t;

typedef enum
{
  SFW_WRITTEN,
  SFW_CONFLICT, ///< The store has another revision.
  SFW_FAILED,   ///< Not written, or not known.
} sfw_result_t;

void sfw_table_init (sfw_table_t *table);
/// A target of a version is listed.
/// @param is_recorded  Whether streams of the service may be continued, so
///                     that the store needs a record.
/// @return             Whether its service has several versions since then.
bool sfw_list (sfw_table_t *table, uint64_t service, uint64_t software,
               bool is_recorded, uint64_t now_ms);
/// All targets and records that the store has were reported, for the first
/// time.
/// @param was_restored  The store came back from a copy at some time, which
///                      may have lacked records.
void sfw_list_complete (sfw_table_t *table, bool was_restored);
/// This process has read the list for as long as a stream may last.
void sfw_has_seen_all (sfw_table_t *table);
/// A stream that a version began is continued; no list need name it.
void sfw_observe (sfw_table_t *table, uint64_t service, uint64_t software,
                  uint64_t now_ms);
/// Forget the versions that ended before any open stream began.
/// @param longest_ms  How long a stream that has begun may be continued.
void sfw_expire (sfw_table_t *table, uint64_t now_ms, uint64_t longest_ms);
/// @return  Whether targets of several versions may have begun streams.
bool sfw_is_mixed (const sfw_table_t *table, uint64_t service);
/// @return  The version of a service that has one; zero: it has none, or
///          several.
uint64_t sfw_only (const sfw_table_t *table, uint64_t service);
/// @return  Whether this process is a witness of a service's history.
bool sfw_is_witness (const sfw_table_t *table, uint64_t service);

/// A record was read.
/// @param is_current  It was written to this store; else to one from whose
///                    copy the store came back, and may lack later ones.
void sfw_record_read (sfw_table_t *table, const sfw_record_t *record,
                      bool is_current, uint64_t now_ms);
/// The store has no record of a version any more.
void sfw_record_removed (sfw_table_t *table, uint64_t service,
                         uint64_t software, uint64_t now_ms);
/// The store came back from an older copy, whose records are read next.
/// @param was_current  This process knew all until then; else it may have
///                     missed records that the copy lacks.
void sfw_restored (sfw_table_t *table, bool was_current, uint64_t now_ms);
/// Choose a record that is to be written now. It counts as being written until
/// sfw_write_done.
/// @param longest_ms  As for sfw_expire.
/// @param spread_ms   Time over which gateways spread the same write.
/// @param random      Any number, for jitter.
/// @return            False: none is.
bool sfw_next_write (sfw_table_t *table, uint64_t now_ms, uint64_t longest_ms,
                     uint64_t spread_ms, uint32_t random, sfw_record_t *out);
void sfw_write_done (sfw_table_t *table, const sfw_record_t *write,
                     sfw_result_t result, uint64_t now_ms);

#endif
