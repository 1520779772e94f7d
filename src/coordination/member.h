/// @file member.h
/// What an entry believes of each VM: the platform's lagging list weighed
/// against direct evidence. No I/O.
#ifndef KB_COORDINATION_MEMBER_H
#define KB_COORDINATION_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

/// What the platform's list reported.
typedef enum
{
  MEM_LISTED_ABSENT,
  MEM_LISTED_LIVE,
  MEM_LISTED_LEAVING,
} mem_listed_t;

/// What the daemon itself reported on its messages.
typedef enum
{
  MEM_REPORTED_NONE, ///< Never heard, or disconnected since.
  MEM_REPORTED_LIVE,
  MEM_REPORTED_LEAVING,
} mem_reported_t;

/// The conclusion.
typedef enum
{
  MEM_DOWN,    ///< No evidence that it answers.
  MEM_LEAVING, ///< No new work.
  MEM_UP,
  MEM_GONE, ///< Absent from the list and silent; the VM no longer exists.
} mem_state_t;

typedef struct
{
  mem_listed_t listed;
  mem_reported_t reported;
  uint64_t incarnation;     ///< Zero before the first hello.
  uint64_t last_message_ms; ///< Last message.
  uint64_t pinged_ms;       ///< Oldest ping without an answer; zero: none.
  uint64_t absent_ms;       ///< Since when the list lacks it; zero: listed.
} mem_vm_t;

typedef struct
{
  uint64_t silence_ms;    ///< Unanswered ping that makes it suspect.
  uint64_t gone_after_ms; ///< Absent and silent this long: gone.
} mem_options_t;

/// Conclude from all evidence.
mem_state_t mem_vm_state (const mem_vm_t *vm, const mem_options_t *options,
                          uint64_t now_ms);
void mem_vm_set_listed (mem_vm_t *vm, mem_listed_t listed, uint64_t now_ms);
/// @return  True when the incarnation is another one than before.
bool mem_vm_record_hello (mem_vm_t *vm, uint64_t incarnation,
                          mem_reported_t reported, uint64_t now_ms);
void mem_vm_record_message (mem_vm_t *vm, mem_reported_t reported,
                            uint64_t now_ms);
void mem_vm_record_disconnect (mem_vm_t *vm);

#endif
