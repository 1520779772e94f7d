/// @file openai.h
/// The parts of the OpenAI-style completion protocol that the system reads:
/// the request's model, stream and length, and the model an answer names.
#ifndef KB_PROTOCOL_OPENAI_H
#define KB_PROTOCOL_OPENAI_H

#include "protocol/json.h"

enum
{
  OAI_MODEL_BYTES = 256,
  OAI_DEFAULT_TOKENS = 128,
};

typedef struct
{
  char adapter[OAI_MODEL_BYTES];
  uint32_t version; ///< Zero: the configured current one.
  bool is_stream;
  uint32_t max_tokens;
} oai_request_t;

/// Read a completion request.
/// @param doc  Receives the parsed body for oai_request_rewrite.
kb_status_t oai_request_parse (kb_slice_t body, oai_request_t *out,
                               struct json_object **doc, kb_error_t *error);
/// Append the body with its model replaced.
void oai_request_rewrite (struct json_object *doc, const char *model,
                          uint64_t priority, kb_buf_t *out);
/// Whether an answer or one event of a stream names this model.
/// @return  KB_OK; KB_EINVAL: not JSON; KB_ECONFLICT: another model.
kb_status_t oai_answer_check (kb_slice_t json, const char *model);
/// Append an error body in the protocol's form.
void oai_error_write (kb_buf_t *out, const char *type, const char *message);

#endif
