/// @file resume.h
/// Which version of its adapter may continue a stream that broke off. What two
/// versions write doesn't fit together; and once a newer one is confirmed, an
/// older one may begin nothing after a bound. No I/O.
#ifndef KB_COORDINATION_RESUME_H
#define KB_COORDINATION_RESUME_H

#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  RSM_ANY,     ///< No version is known that could differ.
  RSM_EXACT,   ///< One version.
  RSM_GONE,    ///< The one that began it may begin nothing any more.
  RSM_UNKNOWN, ///< Several versions may have begun it.
} rsm_verdict_t;

/// What is known of the adapter's versions.
typedef struct
{
  uint32_t newest;   ///< Zero: none was declared.
  uint32_t previous; ///< The newest one before; zero: none was known.
  /// A moment at which the newest version was not confirmed yet; zero: none is
  /// known.
  uint64_t unconfirmed_ms;
  uint64_t learned_ms; ///< When this process learned of the newest version.
} rsm_versions_t;

typedef struct
{
  /// An older version begins nothing later than this after the confirmation of
  /// a newer one.
  uint64_t version_bound_ms;
  uint64_t longest_stream_ms; ///< A stream can't be continued after this.
} rsm_bounds_t;

/// @param began  Version that began the stream; zero: not known.
/// @param out    Receives the version that may continue it; RSM_EXACT only.
rsm_verdict_t rsm_judge (const rsm_versions_t *versions,
                         const rsm_bounds_t *bounds, uint32_t began,
                         uint64_t now_ms, uint32_t *out);
/// @return  Whether the newest version was there when this process started,
///          and it has seen no other one. Its age isn't known then.
bool rsm_is_only_version (const rsm_versions_t *versions);

#endif
