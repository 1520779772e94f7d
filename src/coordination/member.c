#include "coordination/member.h"

mem_state_t
mem_vm_state (const mem_vm_t *vm, const mem_options_t *options,
              uint64_t now_ms)
{
  bool is_silent = vm->reported == MEM_REPORTED_NONE
                   || (vm->pinged_ms != 0
                       && now_ms - vm->pinged_ms > options->silence_ms);
  if (is_silent)
    {
      bool is_gone = vm->listed == MEM_LISTED_ABSENT && vm->absent_ms != 0
                     && now_ms - vm->absent_ms > options->gone_after_ms
                     && now_ms - vm->last_message_ms > options->gone_after_ms;
      return is_gone ? MEM_GONE : MEM_DOWN;
    }
  // The list lags in both directions. A VM listed as leaving gets no new work
  // even while it answers. One that is not listed but answers is used, since
  // its own report is newer than the list.
  if (vm->listed == MEM_LISTED_LEAVING || vm->reported == MEM_REPORTED_LEAVING)
    return MEM_LEAVING;
  return MEM_UP;
}

void
mem_vm_set_listed (mem_vm_t *vm, mem_listed_t listed, uint64_t now_ms)
{
  vm->listed = listed;
  if (listed != MEM_LISTED_ABSENT)
    vm->absent_ms = 0;
  else if (vm->absent_ms == 0)
    vm->absent_ms = now_ms;
}

void
mem_vm_set_listed_unreadable (mem_vm_t *vm)
{
  vm->absent_ms = 0;
}

void
mem_vm_record_message (mem_vm_t *vm, mem_reported_t reported, uint64_t now_ms)
{
  vm->last_message_ms = now_ms;
  vm->pinged_ms = 0;
  if (reported != MEM_REPORTED_NONE)
    vm->reported = reported;
}

bool
mem_vm_record_hello (mem_vm_t *vm, uint64_t incarnation,
                     mem_reported_t reported, uint64_t now_ms)
{
  mem_vm_record_message (vm, reported, now_ms);
  bool is_new = vm->incarnation != incarnation;
  vm->incarnation = incarnation;
  return is_new;
}

void
mem_vm_record_disconnect (mem_vm_t *vm)
{
  vm->reported = MEM_REPORTED_NONE;
  vm->pinged_ms = 0;
}
