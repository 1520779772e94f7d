// Another writer's entries among those of the targets.
#include "soak.h"

namespace relay
{

static std::string
entry_with (const std::string &member)
{
  return "{\"Service\":\"maps\",\"Address\":\"127.0.0.1:9\",\"Zone\":\"d1\","
         "\"Version\":\"v1\",\"Slots\":6,\"State\":\"ready\",\"ColdLeftMs\":0,"
         "\"Seq\":1,\"born\":1,"
         + member + "}";
}

static std::string
nested (size_t depth)
{
  return entry_with ("\"Extra\":" + std::string (depth, '[')
                     + std::string (depth, ']'));
}

static std::string
with_address (const std::string &port)
{
  return "{\"Service\":\"maps\",\"Address\":\"127.0.0.1:" + port
         + "\",\"Zone\":\"d1\",\"Version\":\"v1\",\"Slots\":6,\"State\":"
           "\"ready\",\"ColdLeftMs\":0,\"Seq\":1,\"born\":1}";
}

static std::vector<std::string>
odd_texts ()
{
  return { nested (40),
           nested (100000),
           entry_with ("\"Seq\":" + std::string (400, '9')),
           entry_with ("\"Extra\":" + std::string (400, '9')),
           entry_with ("\"Extra\":1e400"),
           entry_with ("\"Slots\":1e400"),
           entry_with ("\"Slots\":NaN"),
           with_address ("70000"),
           with_address ("-1"),
           with_address ("4294967305"),
           entry_with ("\"Slots\":\"6\""),
           entry_with ("\"Address\":7"),
           entry_with ("\"State\":[]"),
           "[1,2,3]",
           "null",
           "\"text\"" };
}

static std::string
stranger_key (size_t number)
{
  // The store allows keys of 200 bytes.
  constexpr size_t kKeyBytes = 190;
  std::string key = "servers/stranger" + std::to_string (number);
  if (number % 2 == 0)
    key.resize (kKeyBytes, 'x');
  return key;
}

/// Write three strange entries, and maybe one in place of a live target's.
void
Soak::write_odd_entries (const FaultStep &fault_step)
{
  constexpr size_t kStrangers = 3;
  auto texts = odd_texts ();
  size_t first = (size_t)fault_step.variant / 2;
  for (size_t i = 0; i < kStrangers; i++)
    site_.put (stranger_key (i), texts[(first + i) % texts.size ()]);
  if (fault_step.variant % 2 == 0)
    site_.put ("servers/" + target_at (fault_step.subject).id (),
               texts[(first + kStrangers) % texts.size ()]);
}

/// Leave all odd entries in the list, for the checks after the faults.
void
Soak::keep_odd_entries ()
{
  auto texts = odd_texts ();
  for (size_t i = 0; i < texts.size (); i++)
    site_.put (stranger_key (i), texts[i]);
}

} // namespace relay
