// What a gateway makes of words about the store that sidecars tell it.
#include <gtest/gtest.h>

#include <memory>

extern "C"
{
#include "gateway/gateway_defs.h"
#include "relay/changes.h"
#include "transport/metrics.h"
}

namespace
{

/// What the source was handed.
struct Handed
{
  src_source_t source; ///< First.
  int calls = 0;
  bool has_changes = false;
  uint64_t began_ms = 0;
  uint32_t count = 0;
};

void
on_changes (src_source_t *source, const src_changes_t *changes)
{
  auto *handed = reinterpret_cast<Handed *> (source);
  handed->calls++;
  handed->has_changes = changes != nullptr;
  if (changes == nullptr)
    return;
  handed->began_ms = changes->began_ms;
  handed->count = changes->change_count;
}

class Peers : public testing::Test
{
protected:
  Peers () : gateway (new gtw_gateway_t ())
  {
    vtable.on_changes = on_changes;
    handed.source.vtable = &vtable;
    uv_loop_init (&gateway->host.loop);
    tmr_service_init (&gateway->host.timers, &gateway->host.loop);
    gateway->source = &handed.source;
    gtw_peers_init (gateway.get ());
    snprintf (sidecar.link, sizeof sidecar.link, "10.0.0.1:7380");
    kb_map_put (&gateway->links, gtw_link_key (kb_slice_str (sidecar.link)),
                &sidecar);
    gateway->peers.id = 5;
    gateway->peers.asked_ms = 1000;
    gateway->peers.link_key = gtw_link_key (kb_slice_str (sidecar.link));
  }

  ~Peers () override
  {
    kb_map_finish (&gateway->links);
    tmr_service_finish (&gateway->host.timers);
    uv_run (&gateway->host.loop, UV_RUN_DEFAULT);
    uv_loop_close (&gateway->host.loop);
  }

  msg_changes_t
  word ()
  {
    msg_changes_t told = {};
    told.id = 5;
    told.status = MSG_CHANGES_AVAILABLE;
    told.as_of = 20;
    return told;
  }

  std::unique_ptr<gtw_gateway_t> gateway;
  src_vtable_t vtable = {};
  Handed handed;
  gtw_target_t sidecar = {};
};

TEST_F (Peers, AnAnswerIsHandedOver)
{
  kb_buf_t packed = {};
  src_change_t change
      = { 15, kb_slice_str ("key"), kb_slice_str ("value"), false };
  chg_pack (&packed, &change);
  msg_changes_t told = word ();
  told.changes = kb_buf_slice (&packed);
  gtw_peers_answered (gateway.get (), &sidecar, &told);
  EXPECT_EQ (handed.calls, 1);
  EXPECT_TRUE (handed.has_changes);
  EXPECT_EQ (handed.count, 1u);
  kb_buf_finish (&packed);
}

// The age of an answer is counted from when the question was sent, never from
// when the answer came: a word that waited in a connection is old.
TEST_F (Peers, TheAgeIsThatOfTheRead)
{
  msg_changes_t told = word ();
  told.began_before_ms = 300;
  gtw_peers_answered (gateway.get (), &sidecar, &told);
  EXPECT_EQ (handed.began_ms, 700u);
  gateway->peers.id = 5;
  told.began_before_ms = 0;
  told.began_after_ms = 40;
  gtw_peers_answered (gateway.get (), &sidecar, &told);
  EXPECT_EQ (handed.began_ms, 1040u);
}

// Words that nobody asked for, from the process before this one, or from
// another sidecar than the one that was asked.
TEST_F (Peers, AWordThatWasNotAskedForChangesNothing)
{
  msg_changes_t told = word ();
  told.id = 4;
  gtw_peers_answered (gateway.get (), &sidecar, &told);
  told.id = 5;
  gtw_target_t other = {};
  snprintf (other.link, sizeof other.link, "10.0.0.2:7380");
  gtw_peers_answered (gateway.get (), &other, &told);
  gateway->peers.id = 0;
  gtw_peers_answered (gateway.get (), &sidecar, &told);
  EXPECT_EQ (handed.calls, 0);
}

TEST_F (Peers, AWordThatCanNotBeReadIsNone)
{
  msg_changes_t told = word ();
  told.changes = kb_slice_str ("not changes");
  gtw_peers_answered (gateway.get (), &sidecar, &told);
  EXPECT_EQ (handed.calls, 1);
  EXPECT_FALSE (handed.has_changes);
}

// The store gave the sidecar no answer: the gateway goes there itself at once.
TEST_F (Peers, AStoreThatIsSilentIsSaidSo)
{
  msg_changes_t told = word ();
  told.status = MSG_CHANGES_NO_ANSWER;
  gtw_peers_answered (gateway.get (), &sidecar, &told);
  EXPECT_EQ (handed.calls, 1);
  EXPECT_FALSE (handed.has_changes);
}

} // namespace
