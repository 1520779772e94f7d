// Decoding of the platform's list of VMs with odd entries in it.
#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "protocol/vmlist.h"
}

namespace
{

const std::string kGood = "{\"name\":\"good\",\"address\":\"10.1.2.3\","
                          "\"port\":4000,\"role\":\"entry\","
                          "\"failure_domain\":\"a\",\"state\":\"leaving\"}";

std::string
repeat (const std::string &text, int count)
{
  std::string out;
  for (int i = 0; i < count; i++)
    out += text;
  return out;
}

std::string
nested (int depth)
{
  return repeat ("[", depth) + repeat ("]", depth);
}

/// @return  An entry of the VM "odd" with this member.
std::string
odd_with (const std::string &member)
{
  return "{\"name\":\"odd\"," + member + "}";
}

class List
{
public:
  explicit List (const std::string &document)
  {
    kb_slice_t text = { document.data (), (uint32_t)document.size () };
    status = vml_list_decode (text, &list, &error);
  }
  /// A list of these entries.
  static List
  of (const std::string &entries)
  {
    return List ("{\"vms\":[" + entries + "]}");
  }
  List (const List &) = delete;
  ~List () { vml_list_finish (&list); }
  const vml_vm_t *
  find (const std::string &name) const
  {
    for (uint32_t i = 0; i < list.count; i++)
      if (name == list.vms[i].name)
        return &list.vms[i];
    return nullptr;
  }
  kb_status_t status;
  vml_list_t list;
  kb_error_t error = {};
};

void
expect_good (const List &list)
{
  ASSERT_EQ (list.status, KB_OK) << list.error.message;
  const vml_vm_t *good = list.find ("good");
  ASSERT_NE (good, nullptr);
  EXPECT_TRUE (good->is_readable);
  EXPECT_STREQ (good->address, "tcp://10.1.2.3:4000");
  EXPECT_STREQ (good->failure_domain, "a");
  EXPECT_TRUE (good->is_entry);
  EXPECT_TRUE (good->is_leaving);
}

// Guards against a list lost for one entry whose name can be read.
TEST (VmList, OddEntryWithANameCostsItselfAlone)
{
  const std::string port = "\"port\":1,";
  const std::string forms[] = {
    odd_with (port + "\"x\":" + nested (40)),
    odd_with (port + "\"x\":" + nested (300000)),
    "{\"x\":" + nested (300000) + ",\"name\":\"odd\"}",
    odd_with ("\"port\":1,\"port\":2"),
    odd_with ("\"port\":0"),
    odd_with ("\"port\":-1"),
    odd_with ("\"port\":65536"),
    odd_with ("\"port\":70000"),
    odd_with ("\"port\":4294967305"),
    odd_with ("\"port\":" + repeat ("9", 400)),
    odd_with ("\"port\":" + repeat ("9", 100000)),
    odd_with ("\"port\":1e400"),
    odd_with ("\"port\":1.5"),
    odd_with ("\"port\":NaN"),
    odd_with ("\"port\":\"9\""),
    odd_with ("\"port\":null"),
    odd_with ("\"port\":{}"),
    odd_with ("\"x\":1"),
    odd_with (port + "\"address\":\"localhost\""),
    odd_with (port + "\"address\":\"*\""),
    odd_with (port + "\"address\":\"\""),
    odd_with (port + "\"address\":\"1.2.3.4\\u0000\""),
    odd_with (port + "\"address\":\"1.2.3\""),
    odd_with (port + "\"address\":9"),
    odd_with (port + "\"address\":null"),
    odd_with (port + "\"address\":\"" + repeat ("a", 100000) + "\""),
    odd_with (port + "\"role\":\"other\""),
    odd_with (port + "\"role\":7"),
    odd_with (port + "\"state\":\"other\""),
    odd_with (port + "\"state\":null"),
    odd_with (port + "\"failure_domain\":[]"),
    odd_with (port + "\"failure_domain\":\"" + repeat ("d", 48) + "\""),
    "{\"name\":\"\\u006fdd\",\"port\":0}",
  };
  for (const std::string &form : forms)
    for (bool is_first : { false, true })
      {
        SCOPED_TRACE (form.substr (0, 60));
        List list
            = List::of (is_first ? form + "," + kGood : kGood + "," + form);
        expect_good (list);
        const vml_vm_t *odd = list.find ("odd");
        ASSERT_NE (odd, nullptr);
        EXPECT_FALSE (odd->is_readable);
        EXPECT_EQ (list.list.fault_count, 1u);
        EXPECT_STREQ (list.list.faults[0].name, "odd");
        EXPECT_STRNE (list.list.faults[0].reason, "");
        EXPECT_TRUE (list.list.is_complete);
      }
}

// Guards against a name that is cut to its buffer and then names another VM.
TEST (VmList, EntryWithoutAValidNameIsNoVm)
{
  const std::string forms[] = {
    "1",
    "null",
    "\"text\"",
    "[]",
    "{}",
    "99999999999999999999999999",
    "NaN",
    nested (300000),
    "{\"port\":1}",
    "{\"name\":1,\"port\":1}",
    "{\"name\":\"\",\"port\":1}",
    "{\"name\":\"a b\",\"port\":1}",
    "{\"name\":\"a\\u0000b\",\"port\":1}",
    "{\"name\":\"a\\nb\",\"port\":1}",
    "{\"name\":\"a\\\"b\",\"port\":1}",
    "{\"name\":\"" + repeat ("n", 48) + "\",\"port\":1}",
    "{\"name\":\"" + repeat ("n", 100000) + "\",\"port\":1}",
    "{\"x\":{\"name\":\"inner\"},\"port\":1}",
  };
  for (const std::string &form : forms)
    {
      SCOPED_TRACE (form.substr (0, 60));
      List list = List::of (form + "," + kGood);
      expect_good (list);
      EXPECT_EQ (list.list.count, 1u);
      EXPECT_EQ (list.list.fault_count, 1u);
      EXPECT_TRUE (list.list.is_complete);
    }
  List longest
      = List::of ("{\"name\":\"" + repeat ("n", 47) + "\",\"port\":1}");
  EXPECT_EQ (longest.list.count, 1u);
}

// Guards against a document without a list that is taken for an empty list.
TEST (VmList, DocumentWithoutAListIsNotAnEmptyList)
{
  for (const char *document :
       { "", "{}", "[]", "null", "1", "{\"vms\":null}", "{\"vms\":{}}",
         "{\"vms\":\"\"}", "{\"vms\":7}", "{\"VMs\":[]}",
         "{\"vms\":[],\"vms\":[]}", "{\"vms\":[]", "{\"vms\":[",
         "{\"vms\":[{\"name\":\"a\",\"port\":1}", "{\"vms\":[]}}",
         "{\"v\\u006ds\":[{\"name\":\"a\",\"port\":1}]}" })
    {
      List list (document);
      EXPECT_EQ (list.status, KB_EINVAL) << document;
      EXPECT_EQ (list.list.count, 0u);
      EXPECT_STRNE (list.error.message, "");
    }
  List empty ("{\"vms\":[]}");
  EXPECT_EQ (empty.status, KB_OK);
  EXPECT_TRUE (empty.list.is_complete);
}

// Guards against VMs taken for absent because an odd entry swallowed theirs.
TEST (VmList, ListThatIsNotJsonProvesNoAbsence)
{
  for (const std::string &form :
       { std::string ("{\"name\":\"odd\",\"x\":" + repeat ("[", 300) + "}"),
         std::string ("{\"name\":\"odd\",\"x\":\"}"),
         std::string ("{\"name\":\"odd\",\"x\":\"},{\"name\":\"b\",\"x\":\"}"),
         std::string ("{\"name\":\"odd\",\"port\":0x7}"),
         std::string ("{\"name\":\"odd\",\"x\":1]"), std::string ("}"),
         std::string ("]"), std::string ("{\"name\":\"odd\"} 7") })
    {
      List list = List::of (form + "," + kGood);
      EXPECT_TRUE (list.status != KB_OK || !list.list.is_complete) << form;
    }
}

// Guards against a connection that alternates between two addresses.
TEST (VmList, EntriesThatContradictEachOtherDoNotCount)
{
  const std::string first = odd_with ("\"port\":1");
  List equal = List::of (first + "," + first + "," + kGood);
  ASSERT_EQ (equal.status, KB_OK);
  EXPECT_EQ (equal.list.count, 2u);
  EXPECT_TRUE (equal.find ("odd")->is_readable);
  EXPECT_EQ (equal.list.fault_count, 0u);

  List other = List::of (first + "," + odd_with ("\"port\":2"));
  EXPECT_FALSE (other.find ("odd")->is_readable);
  EXPECT_FALSE (other.find ("odd")->is_leaving);
  EXPECT_EQ (other.list.fault_count, 1u);

  List leaving
      = List::of (first + "," + odd_with ("\"port\":1,\"state\":\"leaving\"")
                  + "," + first);
  EXPECT_FALSE (leaving.find ("odd")->is_readable);
  EXPECT_TRUE (leaving.find ("odd")->is_leaving);
}

// Guards against an odd entry that hides the true one under the same name.
TEST (VmList, ReadableEntryCountsBesideAnUnreadableOne)
{
  const std::string odd = "{\"name\":\"good\",\"port\":70000}";
  expect_good (List::of (odd + "," + kGood));
  expect_good (List::of (kGood + "," + odd));
}

// Guards against faults that grow with the list.
TEST (VmList, FaultsAreBounded)
{
  List list = List::of (repeat ("7,", 1000) + kGood);
  expect_good (list);
  EXPECT_EQ (list.list.fault_count, 1000u);
}

// Guards against requests to a VM whose odd entry says that it leaves.
TEST (VmList, AnOddEntryThatSaysSoMakesItsVmLeave)
{
  for (const char *odd :
       { "{\"name\":\"a\",\"port\":99999,\"state\":\"leaving\"}",
         "{\"name\":\"a\",\"port\":1,\"port\":2,\"state\": \"leaving\" }" })
    {
      List list = List::of (odd);
      ASSERT_NE (list.find ("a"), nullptr) << odd;
      EXPECT_FALSE (list.find ("a")->is_readable) << odd;
      EXPECT_TRUE (list.find ("a")->is_leaving) << odd;
    }
}

} // namespace
