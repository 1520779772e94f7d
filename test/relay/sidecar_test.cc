// A real sidecar with a fake engine and this test as its gateway: messages in
// an order that real gateways rarely produce.
#include <gtest/gtest.h>

#include "site.h"

extern "C"
{
#include "transport/peerlink.h"
}

namespace relay
{
namespace
{

kb_slice_t
slice (const std::string &text)
{
  return kb_slice_t{ text.data (), (uint32_t)text.size () };
}

class SidecarTest : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    peer = site.engines[0].ip + ":" + std::to_string (site.inner_port ());
    uv_loop_init (&loop);
    tmr_service_init (&timers, &loop);
    events.on_message
        = [] (plk_link_t *link_arg, kb_slice_t, const msg_t *msg) {
            auto *test = (SidecarTest *)link_arg->owner;
            test->grants += msg->type == MSG_PLACE_GRANT;
            test->has_state = test->has_state || msg->type == MSG_ENGINE_STATE;
            test->documents += msg->type == MSG_DOCUMENT;
          };
    plk_link_init (&link, &loop, &timers, &events, this, "gateway");
    ASSERT_EQ (plk_link_connect (&link, peer.c_str ()), KB_OK);
    ASSERT_TRUE (run_until ([&] {
      if (!has_state)
        send_state ();
      return has_state;
    }));
  }
  /// Send the state of a gateway without a configuration.
  void
  send_state ()
  {
    msg_t hello = {};
    hello.type = MSG_GATEWAY_STATE;
    hello.gateway_state.incarnation = 1;
    hello.gateway_state.engine_count = 1;
    plk_link_send (&link, slice (peer), &hello);
  }
  void
  send_document (const std::string &text)
  {
    msg_t document = {};
    document.type = MSG_DOCUMENT;
    document.document.revision = 1;
    document.document.data = slice (text);
    plk_link_send (&link, slice (peer), &document);
  }
  void
  TearDown () override
  {
    plk_link_finish (&link);
    tmr_service_finish (&timers);
    uv_run (&loop, UV_RUN_DEFAULT);
    EXPECT_EQ (uv_loop_close (&loop), 0);
  }
  bool
  run_until (const std::function<bool ()> &condition, int timeout_ms = 5000)
  {
    return Site::wait_for (
        [&] {
          uv_run (&loop, UV_RUN_NOWAIT);
          return condition ();
        },
        timeout_ms);
  }
  void
  request_place (uint64_t id, const std::string &adapter)
  {
    msg_t msg = {};
    msg.type = MSG_PLACE_REQUEST;
    msg.place_request.id = id;
    msg.place_request.prompt_tokens = 50;
    msg.place_request.output_tokens = 10;
    msg.place_request.left_ms = 5000;
    msg.place_request.objective_ms = 4000;
    msg.place_request.model = kb_slice_str ("m");
    msg.place_request.adapter = slice (adapter);
    msg.place_request.attempt = kb_slice_str ("x");
    plk_link_send (&link, slice (peer), &msg);
  }
  Site site{ 1, 0, 0 };
  std::string peer;
  uv_loop_t loop;
  tmr_service_t timers;
  plk_events_t events = {};
  plk_link_t link = {};
  bool has_state = false;
  int grants = 0;
  int documents = 0;
};

// A sidecar restarts while requests wait, and a request for a place arrives
// before the configuration. The sidecar does not know yet how many adapters
// fit; an engine that is ordered to hold more crashes with all its streams.
TEST_F (SidecarTest, LoadsNothingBeforeTheConfiguration)
{
  // Until the engine's first report every request is declined.
  ASSERT_TRUE (run_until ([&] {
    return !Site::log_lines (site.engines[0].sidecar,
                             { "engine_condition", "\"to\":\"ready\"" })
                .empty ();
  }));
  for (uint64_t id = 1; id <= 8; id++)
    request_place (id, "a" + std::to_string (id));
  run_until ([] { return false; }, 600);
  EXPECT_EQ (site.engines[0].target->loads (), 0);
  send_document (site.config);
  EXPECT_TRUE (run_until ([&] { return grants >= 4; }));
  EXPECT_LE (site.engines[0].target->max_adapters_held (), 4u);
}

// Guards against copies that compete with the gateway's own read.
TEST_F (SidecarTest, LargeConfigurationIsForwardedAfterItsTransferTime)
{
  std::string large = site.config;
  large.insert (large.rfind ('}'), std::string (400000, ' '));
  send_document (large);
  auto has_document = [&] {
    send_state ();
    return documents > 0;
  };
  EXPECT_FALSE (run_until (has_document, 1500));
  EXPECT_TRUE (run_until (has_document));
}

} // namespace
} // namespace relay
