/// @file intake.h
/// Decides how many new connections an entry accepts. A connection that waits
/// unread can still be served by another entry at once; one that was read and
/// then waits too long is lost for its caller. So work at hand goes first, and
/// new connections are accepted only
///
/// - when the event loop has nothing else to do, a few at a time,
/// - at a limited rate once the way to the targets was slower than usual:
///   packets that wait for the entry's link are seen there only,
/// - while there is room for them (descriptors, memory).
///
/// Connections that have waited for too long are turned away, all at once, so
/// that their callers turn to another entry. While the way is slow, new ones
/// are refused before they have sent anything, since their requests would wait
/// for the same link. An entry that has turned connections away for a while
/// says that it is not ready.
///
/// No I/O; time is an argument. Nothing here depends on the size of a machine.
#ifndef KB_COORDINATION_INTAKE_H
#define KB_COORDINATION_INTAKE_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  /// Connections accepted after a moment in which nothing else was to do.
  ITK_BATCH = 4,
  /// Connections are turned away once they may have waited for this long.
  /// Callers give up one that is not read within 0.5 to 1 s.
  ITK_MAX_WAIT_MS = 250,
  /// One connection is accepted in this time in any case, so that an entry
  /// which is short for long is not silent.
  ITK_TRICKLE_MS = 100,
};

/// Smallest times to reach a target in a period.
typedef struct
{
  uint64_t began_ms;
  uint64_t least_us;
  uint32_t count;
} itk_period_t;

typedef struct
{
  uint32_t allowance;        ///< Connections that may be accepted now.
  bool has_room;             ///< See itk_set_room.
  uint64_t accepted_ms;      ///< When one was accepted last.
  uint64_t waiting_since_ms; ///< Those that wait came no earlier; zero: none
                             ///< waits.
  uint64_t counted_ms;       ///< When those that waited were counted last.
  uint32_t counted_left;     ///< Of these, not accepted yet.
  itk_period_t recent;       ///< Of the way to the targets.
  itk_period_t usual[2];     ///< The same of two long periods, the present one
                             ///< first.
  uint64_t slow_until_ms;    ///< The way counts as slow.
  double rate_per_s;         ///< Limit; zero: none.
  double tokens;             ///< Connections that the limit permits now.
  uint64_t tokens_ms;        ///< When `tokens` was computed.
  uint64_t reduced_ms;       ///< When the limit was reduced last.
  double reduced_from_per_s; ///< Rate that made the way slow.
  uint64_t limited_ms;       ///< When the limit had an effect last.
  uint64_t second_began_ms;
  uint32_t accepted_count[2];    ///< In the present and in the last second.
  uint64_t turned_away_since_ms; ///< Begin of a series; zero: none.
  uint64_t turned_away_ms;       ///< When some were turned away last.
  bool is_short;
} itk_intake_t;

void itk_init (itk_intake_t *intake);
/// State whether there are descriptors and memory for more connections.
void itk_set_room (itk_intake_t *intake, bool has_room);
/// Record how long a connection to a target took to be established, or until
/// it was given up.
void itk_record_path (itk_intake_t *intake, uint64_t took_us, uint64_t now_ms);
/// The event loop has handled all that was ready, except new connections.
void itk_idle (itk_intake_t *intake);
/// Decide whether a connection that waits is accepted now.
bool itk_accept (itk_intake_t *intake, uint64_t now_ms);
/// State how many connections wait after one was not accepted. They are
/// accepted in the order in which they came.
void itk_count_waiting (itk_intake_t *intake, uint32_t waiting,
                        uint64_t now_ms);
/// No connection waits any more.
void itk_none_waits (itk_intake_t *intake);
/// @return  Whether those that wait are to be turned away now.
bool itk_must_turn_away (const itk_intake_t *intake, uint64_t now_ms);
/// They were.
/// @return  Time in ms for which new ones are to be refused.
uint64_t itk_turned_away (itk_intake_t *intake, uint64_t now_ms);
/// @return  Whether the entry is to say that it is not ready.
bool itk_is_short (itk_intake_t *intake, uint64_t now_ms);
/// @return  Whether the way to the targets is slower than usual.
bool itk_is_path_slow (const itk_intake_t *intake, uint64_t now_ms);

#endif
