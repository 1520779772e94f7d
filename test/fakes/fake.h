/// @file fake.h
/// Small stand-ins for the systems around the product, with fault switches.
/// Each is one HTTP server; POST /fault sets its switches.
#ifndef KB_TEST_FAKES_FAKE_H
#define KB_TEST_FAKES_FAKE_H

#include "protocol/json.h"
#include "transport/httpd.h"
#include "transport/timer.h"

typedef struct
{
  void (*on_request) (hts_request_t *request);
  void (*on_abort) (hts_request_t *request);
  /// Fault switches as a JSON object.
  void (*on_fault) (struct json_object *faults);
} fk_role_t;

extern const fk_role_t fk_engine;
extern const fk_role_t fk_kv;
extern const fk_role_t fk_list;
extern const fk_role_t fk_plain;

extern uv_loop_t fk_loop;
extern tmr_service_t fk_timers;

void fk_reply (hts_request_t *request, int http_status, const kb_buf_t *body);
void fk_reply_text (hts_request_t *request, int http_status, const char *text);
/// Cut the handle_call: the effect took place, its word is lost.
void fk_reply_truncated (hts_request_t *request);
/// Turn a request away if the target asks for a pause.
/// @return  Whether it was.
bool fk_reject_if_paused (hts_request_t *request);
extern uint64_t fk_rejected_count; ///< How many were.
bool fk_path_is (const hts_request_t *request, const char *path);
struct json_object *fk_body (const hts_request_t *request);

#endif
