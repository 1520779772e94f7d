// Fingerprints that tell whether a request was sent before.
#include <gtest/gtest.h>

#include <set>
#include <string>

extern "C"
{
#include "relay/fingerprint.h"
}

namespace
{

fpr_request_t
request ()
{
  return { kb_slice_str ("a.example"), kb_slice_str ("POST"),
           kb_slice_str ("/x/y"), kb_slice_str ("m/a1"),
           kb_slice_str ("a prompt") };
}

TEST (Fingerprint, EqualRequestsHaveEqualFingerprints)
{
  fpr_request_t first = request ();
  std::string body = "a prompt";
  fpr_request_t again = request ();
  again.body = { body.data (), (uint32_t)body.size () };
  EXPECT_EQ (fpr_compute (&first), fpr_compute (&again));
  EXPECT_NE (fpr_compute (&first), 0u);
}

TEST (Fingerprint, EachPartChangesTheFingerprint)
{
  fpr_request_t plain = request ();
  std::set<uint64_t> seen = { fpr_compute (&plain) };
  for (kb_slice_t fpr_request_t::*part :
       { &fpr_request_t::host, &fpr_request_t::method, &fpr_request_t::path,
         &fpr_request_t::adapter, &fpr_request_t::body })
    {
      fpr_request_t other = request ();
      other.*part = kb_slice_str ("other");
      EXPECT_TRUE (seen.insert (fpr_compute (&other)).second);
    }
}

// A request with bytes moved from the path into the body is another one.
TEST (Fingerprint, BoundariesBetweenPartsMatter)
{
  fpr_request_t first = request ();
  first.path = kb_slice_str ("/x");
  first.body = kb_slice_str ("yz");
  fpr_request_t second = request ();
  second.path = kb_slice_str ("/xy");
  second.body = kb_slice_str ("z");
  EXPECT_NE (fpr_compute (&first), fpr_compute (&second));
}

TEST (Fingerprint, EmptyPartsAreAllowed)
{
  fpr_request_t empty = {};
  EXPECT_NE (fpr_compute (&empty), 0u);
}

TEST (Fingerprint, FormatsAsHexadecimal)
{
  char text[FPR_TEXT_BYTES];
  fpr_format (0x1f, text);
  EXPECT_STREQ (text, "000000000000001f");
}

} // namespace
