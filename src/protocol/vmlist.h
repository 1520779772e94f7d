/// @file vmlist.h
/// Decoder of the platform's list of VMs. An entry that cannot be read costs
/// that entry alone: its VM is known to be listed if its name can be read.
#ifndef KB_PROTOCOL_VMLIST_H
#define KB_PROTOCOL_VMLIST_H

#include <stdbool.h>
#include <stdint.h>

#include "protocol/settings.h"
#include "state/buf.h"
#include "state/map.h"
#include "state/status.h"

enum
{
  VML_NAME_BYTES = SET_NAME_MAX_BYTES + 1,
  VML_ADDRESS_BYTES = 64,
  VML_REASON_BYTES = 128,
  VML_MAX_FAULTS = 16,
};

/// One VM of the list.
typedef struct
{
  char name[VML_NAME_BYTES];
  char address[VML_ADDRESS_BYTES]; ///< "tcp://ip:port".
  char failure_domain[VML_NAME_BYTES];
  bool is_entry; ///< Otherwise an agent.
  bool is_leaving;
  bool is_readable; ///< False: only name and is_leaving are known.
} vml_vm_t;

/// An entry that was ignored, in whole or but for its name.
typedef struct
{
  uint64_t hash;             ///< Of the entry's text; not zero.
  char name[VML_NAME_BYTES]; ///< Empty: it has none.
  char reason[VML_REASON_BYTES];
} vml_fault_t;

typedef struct
{
  vml_vm_t *vms; ///< No name stands twice.
  uint32_t count;
  /// False: a VM that is not in `vms` may still be listed, because a part of
  /// the list is not JSON.
  bool is_complete;
  vml_fault_t faults[VML_MAX_FAULTS];
  uint32_t fault_count; ///< Faults found; the first ones are in `faults`.
} vml_list_t;

/// Decode the document {"vms": [...]}.
/// @param out  Receives the list, which the caller releases with
///             vml_list_finish; empty on error.
/// @return     KB_EINVAL if the document has no list of VMs.
kb_status_t vml_list_decode (kb_slice_t text, vml_list_t *out,
                             kb_error_t *error);
void vml_list_finish (vml_list_t *list);

#endif
