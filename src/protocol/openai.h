/// @file openai.h
/// The parts of the OpenAI-style completion protocol that are interpreted: the
/// model, stream flag and token limit of a request, and the model of an
/// answer.
#ifndef KB_PROTOCOL_OPENAI_H
#define KB_PROTOCOL_OPENAI_H

#include "protocol/json.h"

enum
{
  OAI_MODEL_BYTES = 256,
  OAI_MAX_MEMBERS = 1000,   ///< Of a request.
  OAI_DEFAULT_TOKENS = 128, ///< If a request has no "max_tokens".
};

typedef struct
{
  char adapter[OAI_MODEL_BYTES];
  uint32_t version; ///< Zero: the version configured as current.
  bool is_stream;
  uint32_t max_tokens;
  kb_slice_t model_text;    ///< Of the member in the body.
  kb_slice_t priority_text; ///< The same; a NULL pointer: it has none.
} oai_request_t;

/// Parse a completion request. Its model is "NAME" or "NAME@VERSION". Only
/// the members that are needed are decoded; the others are checked.
/// @param out  Refers to the body.
/// @return  KB_EINVAL if the body is invalid.
kb_status_t oai_request_parse (kb_slice_t body, oai_request_t *out,
                               kb_error_t *error);
/// Append the body with its model replaced and its priority set.
/// @param parsed  Of this body.
void oai_request_rewrite (kb_slice_t body, const oai_request_t *parsed,
                          const char *model, uint64_t priority, kb_buf_t *out);
/// Check that an answer, or one event of a stream, is from this model.
/// @return  KB_EINVAL if it is not JSON, KB_ECONFLICT if it names another
///          model.
kb_status_t oai_answer_check (kb_slice_t json, const char *model);
/// Append an error body in the format of the protocol.
void oai_error_write (kb_buf_t *out, const char *type, const char *message);

#endif
