/// @file member.h
/// State of each VM as seen by an entry, from the platform's list, which lags,
/// and from the VM's own messages. No I/O.
#ifndef KB_COORDINATION_MEMBER_H
#define KB_COORDINATION_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

/// State in the platform's list.
typedef enum
{
  MEM_LISTED_ABSENT,
  MEM_LISTED_LIVE,
  MEM_LISTED_LEAVING,
} mem_listed_t;

/// State that the daemon on the VM reports in its messages.
typedef enum
{
  MEM_REPORTED_NONE, ///< No message yet, or none since a disconnect.
  MEM_REPORTED_LIVE,
  MEM_REPORTED_LEAVING,
} mem_reported_t;

/// State derived from both.
typedef enum
{
  MEM_DOWN,    ///< It does not answer.
  MEM_LEAVING, ///< It gets no new work.
  MEM_UP,
  MEM_GONE, ///< Not listed and silent; the VM no longer exists.
} mem_state_t;

typedef struct
{
  mem_listed_t listed;
  mem_reported_t reported;
  uint64_t incarnation; ///< Zero before the first hello.
  uint64_t last_message_ms;
  uint64_t pinged_ms; ///< Oldest ping without an answer; zero: none.
  uint64_t absent_ms; ///< Since when it is not listed; zero: listed.
} mem_vm_t;

typedef struct
{
  uint64_t silence_ms;    ///< A ping unanswered for longer makes it silent.
  uint64_t gone_after_ms; ///< Absent and silent for longer: gone.
} mem_options_t;

/// @return  The state derived from all that is known of the VM.
mem_state_t mem_vm_state (const mem_vm_t *vm, const mem_options_t *options,
                          uint64_t now_ms);
void mem_vm_set_listed (mem_vm_t *vm, mem_listed_t listed, uint64_t now_ms);
/// The list has an entry of the VM that cannot be read: it is not absent, and
/// what was known of it stays.
void mem_vm_set_listed_unreadable (mem_vm_t *vm);
/// @return  Whether the incarnation differs from the previous one.
bool mem_vm_record_hello (mem_vm_t *vm, uint64_t incarnation,
                          mem_reported_t reported, uint64_t now_ms);
void mem_vm_record_message (mem_vm_t *vm, mem_reported_t reported,
                            uint64_t now_ms);
void mem_vm_record_disconnect (mem_vm_t *vm);

#endif
