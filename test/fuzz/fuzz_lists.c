/// Fuzzes the decoders of lists that other writers add to: the list of VMs, a
/// range of the key-value service and the records in it. For any bytes,
/// decoding must end with a value or an error.
#include <stddef.h>
#include <stdlib.h>

#include "protocol/fence.h"
#include "protocol/shardmap.h"
#include "protocol/vmlist.h"
#include "transport/kv_decode.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/// Decode a list of VMs. Each VM has a valid name that stands once, and one
/// that can be read has an address.
static void
decode_vms (kb_slice_t text)
{
  kb_error_t error = { 0 };
  vml_list_t list;
  if (vml_list_decode (text, &list, &error) != KB_OK)
    {
      if (list.count != 0 || error.message[0] == '\0')
        abort ();
      return;
    }
  for (uint32_t i = 0; i < list.count; i++)
    {
      const vml_vm_t *vm = &list.vms[i];
      if (!set_name_is_valid (kb_slice_str (vm->name)))
        abort ();
      if (vm->is_readable && strncmp (vm->address, "tcp://", 6) != 0)
        abort ();
      for (uint32_t k = 0; k < i; k++)
        if (strcmp (vm->name, list.vms[k].name) == 0)
          abort ();
    }
  vml_list_finish (&list);
}

/// Decode a range. Each item has a key, and the answer a revision.
static void
decode_range (kb_slice_t text)
{
  kb_error_t error = { 0 };
  kvd_range_t range;
  if (kvd_range_decode (text, &range, &error) != KB_OK)
    return;
  for (uint32_t i = 0; i < range.count; i++)
    if (range.items[i].key[0] == '\0')
      abort ();
  if (range.revision == 0)
    abort ();
  kvd_range_finish (&range);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  enum
  {
    KINDS = 4,
  };
  if (size == 0)
    return 0;
  kb_slice_t text = { (const char *)data + 1, (uint32_t)size - 1 };
  fnc_record_t record;
  shm_shard_t shards[SHM_SHARDS];
  switch (data[0] % KINDS)
    {
    case 0:
      decode_vms (text);
      break;
    case 1:
      decode_range (text);
      break;
    case 2:
      if (fnc_record_parse (text, &record) && record.fence == 0)
        abort ();
      break;
    default:
      shm_parse (text, shards);
      break;
    }
  return 0;
}
