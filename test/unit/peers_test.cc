// Answers of sidecars to a gateway's query for changes of the store.
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

/// Records the calls of on_changes.
struct SourceRecorder
{
  src_source_t source; ///< First member.
  int calls = 0;
  bool has_changes = false;
  uint64_t began_ms = 0;
  uint32_t count = 0;
};

void
on_changes (src_source_t *source, const src_changes_t *changes)
{
  auto *recorder = reinterpret_cast<SourceRecorder *> (source);
  recorder->calls++;
  recorder->has_changes = changes != nullptr;
  if (changes == nullptr)
    return;
  recorder->began_ms = changes->began_ms;
  recorder->count = changes->change_count;
}

class Peers : public testing::Test
{
protected:
  Peers () : gateway (new gtw_gateway_t ())
  {
    vtable.on_changes = on_changes;
    recorder.source.vtable = &vtable;
    uv_loop_init (&gateway->host.loop);
    tmr_service_init (&gateway->host.timers, &gateway->host.loop);
    gateway->source = &recorder.source;
    gtw_peers_init (gateway.get ());
    snprintf (sidecar.link, sizeof sidecar.link, "10.0.0.1:7380");
    kb_map_put (&gateway->links, gtw_link_key (kb_slice_str (sidecar.link)),
                &sidecar);
    gateway->peers.id = 5;
    gateway->peers.requested_ms = 1000;
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
  make_answer ()
  {
    msg_changes_t answer = {};
    answer.id = 5;
    answer.status = MSG_CHANGES_AVAILABLE;
    answer.as_of = 20;
    return answer;
  }

  std::unique_ptr<gtw_gateway_t> gateway;
  src_vtable_t vtable = {};
  SourceRecorder recorder;
  gtw_target_t sidecar = {};
};

TEST_F (Peers, PassesTheAnswerToTheSource)
{
  kb_buf_t packed = {};
  src_change_t change
      = { 15, kb_slice_str ("key"), kb_slice_str ("value"), false };
  chg_pack (&packed, &change);
  msg_changes_t answer = make_answer ();
  answer.changes = kb_buf_slice (&packed);
  gtw_peers_receive_changes (gateway.get (), &sidecar, &answer);
  EXPECT_EQ (recorder.calls, 1);
  EXPECT_TRUE (recorder.has_changes);
  EXPECT_EQ (recorder.count, 1u);
  kb_buf_finish (&packed);
}

// The age of an answer counts from when the query was sent, never from when
// the answer arrived: a message that waited in a connection is old.
TEST_F (Peers, AgeCountsFromTheStartOfTheRead)
{
  msg_changes_t answer = make_answer ();
  answer.began_before_ms = 300;
  gtw_peers_receive_changes (gateway.get (), &sidecar, &answer);
  EXPECT_EQ (recorder.began_ms, 700u);
  gateway->peers.id = 5;
  answer.began_before_ms = 0;
  answer.began_after_ms = 40;
  gtw_peers_receive_changes (gateway.get (), &sidecar, &answer);
  EXPECT_EQ (recorder.began_ms, 1040u);
}

// Answers without an open query, to the process before this one, or from
// another sidecar than the one that was queried.
TEST_F (Peers, UnrequestedAnswersAreIgnored)
{
  msg_changes_t answer = make_answer ();
  answer.id = 4;
  gtw_peers_receive_changes (gateway.get (), &sidecar, &answer);
  answer.id = 5;
  gtw_target_t other = {};
  snprintf (other.link, sizeof other.link, "10.0.0.2:7380");
  gtw_peers_receive_changes (gateway.get (), &other, &answer);
  gateway->peers.id = 0;
  gtw_peers_receive_changes (gateway.get (), &sidecar, &answer);
  EXPECT_EQ (recorder.calls, 0);
}

TEST_F (Peers, MalformedAnswerFailsTheQuery)
{
  msg_changes_t answer = make_answer ();
  answer.changes = kb_slice_str ("not changes");
  gtw_peers_receive_changes (gateway.get (), &sidecar, &answer);
  EXPECT_EQ (recorder.calls, 1);
  EXPECT_FALSE (recorder.has_changes);
}

// The store gave the sidecar no answer: the gateway reads it directly at once.
TEST_F (Peers, StoreWithoutAnswerFailsTheQuery)
{
  msg_changes_t answer = make_answer ();
  answer.status = MSG_CHANGES_NO_ANSWER;
  gtw_peers_receive_changes (gateway.get (), &sidecar, &answer);
  EXPECT_EQ (recorder.calls, 1);
  EXPECT_FALSE (recorder.has_changes);
}

// A sidecar of the earlier release states no era: its changes may be of the
// store before a restore.
TEST_F (Peers, AnswerOfAnotherEraFailsTheQuery)
{
  gateway->peers.era = 4;
  msg_changes_t answer = make_answer ();
  for (uint64_t era : { 0, 3 })
    {
      gateway->peers.id = 5;
      recorder.calls = 0;
      answer.era = era;
      gtw_peers_receive_changes (gateway.get (), &sidecar, &answer);
      EXPECT_EQ (recorder.calls, 1);
      EXPECT_FALSE (recorder.has_changes);
    }
  gateway->peers.id = 5;
  answer.era = 4;
  gtw_peers_receive_changes (gateway.get (), &sidecar, &answer);
  EXPECT_TRUE (recorder.has_changes);
}

} // namespace
