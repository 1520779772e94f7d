/// @file fake.h
/// Fakes of the external systems, with fault switches. Each is one HTTP
/// server; POST /fault sets its switches.
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
/// Truncate the response: the request took effect, but its answer is lost.
void fk_reply_truncated (hts_request_t *request);
/// Refuse a request with 503 and retry-after while a pause is requested.
/// @return  Whether the request was refused.
bool fk_reject_if_paused (hts_request_t *request);
extern uint64_t fk_rejected_count; ///< Requests refused so far.
bool fk_path_is (const hts_request_t *request, const char *path);
struct json_object *fk_body (const hts_request_t *request);

#endif
