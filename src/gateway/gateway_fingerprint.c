/// @file gateway_fingerprint.c
/// Fingerprints of requests (relay/fingerprint.h).
#include "gateway/gateway_defs.h"
#include "relay/fingerprint.h"

uint64_t
gtw_request_fingerprint (gtw_request_t *r, int scope)
{
  if (r->fingerprints[scope] != 0)
    return r->fingerprints[scope];
  const h1_conn_t *conn = &r->client->conn;
  const char *adapter = scope == GTW_SCOPE_ONE_ADAPTER ? r->adapter_name : "";
  fpr_request_t parts
      = { .host = h1_head_get (&conn->head, "host"),
          .method = kb_slice_str (http_method_str (conn->parser.method)),
          .path = h1_head_target (&conn->head),
          .adapter = kb_slice_str (adapter),
          .body = kb_buf_slice (&r->body->buf) };
  r->fingerprints[scope] = fpr_compute (&parts);
  return r->fingerprints[scope];
}
