// What an entry concludes about a VM from the list of VMs.
#include <gtest/gtest.h>

extern "C"
{
#include "coordination/member.h"
}

namespace
{

const mem_options_t kOptions = { .silence_ms = 800, .gone_after_ms = 1000 };

// Guards against a silent VM taken for gone while the list has an entry of it.
TEST (Listed, UnreadableEntryIsNotAbsence)
{
  mem_vm_t vm = {};
  mem_vm_set_listed (&vm, MEM_LISTED_LEAVING, 1);
  mem_vm_set_listed_unreadable (&vm);
  EXPECT_EQ (vm.listed, MEM_LISTED_LEAVING);
  EXPECT_EQ (mem_vm_state (&vm, &kOptions, 9000), MEM_DOWN);
  mem_vm_set_listed (&vm, MEM_LISTED_ABSENT, 9000);
  mem_vm_set_listed_unreadable (&vm);
  EXPECT_EQ (mem_vm_state (&vm, &kOptions, 20000), MEM_DOWN);
  mem_vm_set_listed (&vm, MEM_LISTED_ABSENT, 20000);
  EXPECT_EQ (mem_vm_state (&vm, &kOptions, 21000), MEM_DOWN);
  EXPECT_EQ (mem_vm_state (&vm, &kOptions, 21001), MEM_GONE);
}

} // namespace
