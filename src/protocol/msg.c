#include "protocol/msg.h"

#include <msgpack.h>
#include <stddef.h>

/// Fields of one message type, as offsets into msg_t. A positive entry is an
/// integer field, a negative one a slice.
typedef struct
{
  const char *name;
  uint8_t len;
  int16_t fields[24];
} msg_layout_t;

#define N(member, field) (int16_t) offsetof (msg_t, member.field) // NOLINT
#define S(member, field)                           /* NOLINT */               \
  (int16_t) (-(int)offsetof (msg_t, member.field)) // NOLINT

static const msg_layout_t layouts[MSG_TYPE_END] = {
  [MSG_HELLO]
  = { "hello",
      13,
      { S (hello, name), N (hello, role), N (hello, incarnation),
        S (hello, failure_domain), S (hello, service), N (hello, is_plain),
        N (hello, slots), N (hello, max_batch), N (hello, revision),
        N (hello, state), N (hello, memory_since_wall_ms), N (hello, is_reply),
        S (hello, resident) } },
  [MSG_PING]
  = { "ping",
      3,
      { N (ping, stamp_us), N (ping, revision), N (ping, target_count) } },
  [MSG_PONG]
  = { "pong",
      8,
      { N (pong, stamp_us), N (pong, revision), N (pong, state),
        N (pong, queue_len), N (pong, running), N (pong, expected_wait_ms),
        N (pong, stall_us_total), N (pong, fill_permille) } },
  [MSG_DISPATCH]
  = { "dispatch",
      20,
      { N (dispatch, attempt),        N (dispatch, claim_key),
        N (dispatch, claim_digest),   N (dispatch, claim_epoch),
        N (dispatch, deadline_ms),    N (dispatch, flags),
        N (dispatch, priority_class), N (dispatch, weight),
        N (dispatch, revision),       N (dispatch, version),
        N (dispatch, max_tokens),     N (dispatch, incarnation),
        N (dispatch, fingerprint),    S (dispatch, workspace),
        S (dispatch, adapter),        S (dispatch, source),
        S (dispatch, method),         S (dispatch, path),
        S (dispatch, body),           S (dispatch, traceparent) } },
  [MSG_PART] = { "part",
                 5,
                 { N (part, attempt), N (part, seq), N (part, http_status),
                   S (part, content_type), S (part, data) } },
  [MSG_END]
  = { "end",
      18,
      { N (end, attempt), N (end, seq), N (end, outcome), N (end, http_status),
        N (end, retry_after_ms), N (end, queue_len), N (end, running),
        N (end, expected_wait_ms), N (end, demand_permille),
        N (end, is_resident), N (end, queue_us), N (end, load_us),
        N (end, run_us), N (end, revision), N (end, state), N (end, version),
        S (end, adapter), S (end, reason) } },
  [MSG_CANCEL] = { "cancel", 1, { N (cancel, attempt) } },
  [MSG_REVOKE] = { "revoke",
                   3,
                   { N (revoke, attempt), N (revoke, claim_key),
                     N (revoke, incarnation) } },
  [MSG_REVOKED]
  = { "revoked",
      3,
      { N (revoked, attempt), N (revoked, claim_key), N (revoked, state) } },
  [MSG_CLAIM] = { "claim",
                  7,
                  { N (claim, id), N (claim, claim_key), N (claim, digest),
                    N (claim, attempt), N (claim, voided_attempt),
                    N (claim, incarnation), N (claim, runner) } },
  [MSG_CLAIM_REPLY]
  = { "claim_reply",
      7,
      { N (claim_reply, id), N (claim_reply, verdict), N (claim_reply, epoch),
        N (claim_reply, attempt), N (claim_reply, incarnation),
        N (claim_reply, outcome), N (claim_reply, runner) } },
  [MSG_CLAIM_NOTE] = { "claim_note",
                       3,
                       { N (claim_note, claim_key), N (claim_note, attempt),
                         N (claim_note, outcome) } },
  [MSG_RECOVER] = { "recover", 2, { N (recover, id), S (recover, epochs) } },
  [MSG_RECORDS]
  = { "records",
      5,
      { N (records, id), N (records, is_last), N (records, purpose),
        N (records, memory_since_wall_ms), S (records, records) } },
  [MSG_GATE_ASK] = { "gate_ask",
                     3,
                     { N (gate_ask, id), N (gate_ask, waiting),
                       N (gate_ask, priority_class) } },
  [MSG_GATE_GRANT] = { "gate_grant", 1, { N (gate_grant, id) } },
  [MSG_GATE_DONE] = { "gate_done", 1, { N (gate_done, id) } },
  [MSG_ANNOUNCE]
  = { "announce", 2, { N (announce, revision), N (announce, map_revision) } },
  [MSG_CONFIG_PULL]
  = { "config_pull",
      2,
      { N (config_pull, have_revision), S (config_pull, digests) } },
  [MSG_CONFIG_PART] = { "config_part",
                        4,
                        { N (config_part, revision), N (config_part, is_head),
                          S (config_part, digest), S (config_part, data) } },
  [MSG_GATEWAY_STATE]
  = { "gateway_state",
      12,
      { N (gateway_state, incarnation), N (gateway_state, revision),
        N (gateway_state, versions_known), N (gateway_state, engine_count),
        N (gateway_state, list_stamp), N (gateway_state, quarantine_stamp),
        S (gateway_state, places), N (gateway_state, gateway_peak),
        N (gateway_state, gateway_peak_age_ms),
        S (gateway_state, lent_elsewhere), N (gateway_state, limit_milli),
        N (gateway_state, limit_age_ms) } },
  [MSG_ENGINE_STATE] = { "engine_state",
                         21,
                         { N (engine_state, incarnation),
                           N (engine_state, revision),
                           N (engine_state, versions_known),
                           N (engine_state, condition),
                           N (engine_state, slots),
                           N (engine_state, granted),
                           N (engine_state, waiting),
                           N (engine_state, gateway_count),
                           N (engine_state, backlog_us),
                           N (engine_state, tokens_per_s),
                           N (engine_state, load_wait_ms),
                           N (engine_state, held_for_ms),
                           S (engine_state, instance),
                           N (engine_state, born_ms),
                           N (engine_state, list_stamp),
                           N (engine_state, quarantine_stamp),
                           S (engine_state, adapters),
                           N (engine_state, gateway_peak),
                           N (engine_state, gateway_peak_age_ms),
                           N (engine_state, start_wait_ms),
                           N (engine_state, start_every_ms) } },
  [MSG_PLACE_ASK]
  = { "place_ask",
      12,
      { N (place_ask, id), N (place_ask, priority),
        N (place_ask, prompt_tokens), N (place_ask, output_tokens),
        N (place_ask, left_ms), N (place_ask, objective_ms),
        N (place_ask, version), N (place_ask, declined),
        N (place_ask, is_alone), S (place_ask, model), S (place_ask, adapter),
        S (place_ask, attempt) } },
  [MSG_PLACE_GRANT]
  = { "place_grant",
      6,
      { N (place_grant, id), N (place_grant, version),
        N (place_grant, load_us), S (place_grant, instance),
        N (place_grant, born_ms), N (place_grant, is_alone) } },
  [MSG_PLACE_DECLINE]
  = { "place_decline",
      3,
      { N (place_decline, id), N (place_decline, retry_after_ms),
        S (place_decline, reason) } },
  [MSG_PLACE_RELEASE] = { "place_release",
                          3,
                          { N (place_release, id), N (place_release, gaps),
                            N (place_release, gaps_ms) } },
  [MSG_PLACE_BEGUN] = { "place_begun", 1, { N (place_begun, id) } },
  [MSG_DOCUMENT]
  = { "document", 2, { N (document, revision), S (document, data) } },
  [MSG_ADAPTER_VERSION]
  = { "adapter_version",
      3,
      { N (adapter_version, version), S (adapter_version, model),
        S (adapter_version, adapter) } },
  [MSG_CHANGES_ASK]
  = { "changes_ask",
      5,
      { N (changes_ask, id), N (changes_ask, store), N (changes_ask, after),
        N (changes_ask, known_age_ms), N (changes_ask, pause_ms) } },
  [MSG_CHANGES]
  = { "changes",
      7,
      { N (changes, id), N (changes, status), N (changes, as_of),
        N (changes, began_before_ms), N (changes, began_after_ms),
        N (changes, config_revision), S (changes, changes) } },
  [MSG_QUARANTINE] = { "quarantine", 1, { S (quarantine, words) } },
  [MSG_QUOTA_ASK]
  = { "quota_ask",
      18,
      { N (quota_ask, id), N (quota_ask, subject), N (quota_ask, is_of_target),
        N (quota_ask, revision), N (quota_ask, rate_milli),
        N (quota_ask, burst_milli), N (quota_ask, least_milli),
        N (quota_ask, want_milli), N (quota_ask, unspent_milli),
        N (quota_ask, since_ms), N (quota_ask, life), N (quota_ask, uptime_ms),
        N (quota_ask, reach_milli), N (quota_ask, past),
        N (quota_ask, ledger_age_ms), S (quota_ask, ledger),
        N (quota_ask, gateway_peak), N (quota_ask, gateway_peak_age_ms) } },
  [MSG_QUOTA_GRANT]
  = { "quota_grant",
      8,
      { N (quota_grant, id), N (quota_grant, subject),
        N (quota_grant, granted_milli), N (quota_grant, lasts_ms),
        N (quota_grant, wait_ms), N (quota_grant, is_pause),
        N (quota_grant, is_refused), S (quota_grant, ledger) } },
};
#undef N
#undef S

const char *
msg_type_name (msg_type_t type)
{
  if (type < MSG_HELLO || type >= MSG_TYPE_END)
    return "?";
  return layouts[type].name;
}

static int
buf_write (void *data, const char *bytes, size_t len_bytes)
{
  kb_buf_append (data, bytes, len_bytes);
  return 0;
}

void
msg_encode (const msg_t *msg, kb_buf_t *out)
{
  const msg_layout_t *layout = &layouts[msg->type];
  msgpack_packer packer;
  msgpack_packer_init (&packer, out, buf_write);
  msgpack_pack_array (&packer, (size_t)layout->len + 2);
  msgpack_pack_uint8 (&packer, MSG_VERSION);
  msgpack_pack_uint8 (&packer, (uint8_t)msg->type);
  for (uint8_t i = 0; i < layout->len; i++)
    {
      int16_t field = layout->fields[i];
      if (field >= 0)
        {
          msgpack_pack_uint64 (&packer,
                               *(const uint64_t *)((const char *)msg + field));
          continue;
        }
      const kb_slice_t *slice
          = (const kb_slice_t *)((const char *)msg - field);
      msgpack_pack_bin (&packer, slice->len_bytes);
      msgpack_pack_bin_body (&packer, slice->ptr, slice->len_bytes);
    }
}

static kb_status_t
field_read (const msgpack_object *object, int16_t field, msg_t *out)
{
  if (field >= 0)
    {
      if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
        return KB_EINVAL;
      *(uint64_t *)((char *)out + field) = object->via.u64;
      return KB_OK;
    }
  if (object->type != MSGPACK_OBJECT_BIN)
    return KB_EINVAL;
  *(kb_slice_t *)((char *)out - field)
      = (kb_slice_t){ object->via.bin.ptr, object->via.bin.size };
  return KB_OK;
}

static kb_status_t
array_read (const msgpack_object_array *array, msg_t *out)
{
  if (array->size < 2 || array->ptr[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || array->ptr[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return KB_EINVAL;
  if (array->ptr[0].via.u64 > MSG_VERSION)
    return KB_ELIMIT;
  uint64_t type = array->ptr[1].via.u64;
  if (array->ptr[0].via.u64 == 0 || type < MSG_HELLO || type >= MSG_TYPE_END)
    return KB_EINVAL;
  const msg_layout_t *layout = &layouts[type];
  if (array->size < (uint32_t)layout->len + 2)
    return KB_EINVAL;
  out->type = (msg_type_t)type;
  for (uint8_t i = 0; i < layout->len; i++)
    {
      kb_status_t status
          = field_read (&array->ptr[i + 2], layout->fields[i], out);
      if (status != KB_OK)
        return status;
    }
  return KB_OK;
}

/// A hostile array header can announce billions of elements, for which the
/// library would reserve memory before it reads them. Only small arrays with
/// a 1- or 3-byte header are ever written, so all others are refused.
static bool
header_is_plausible (kb_slice_t bytes)
{
  enum
  {
    FIXARRAY = 0x90,
    FIXARRAY_MASK = 0xF0,
    ARRAY16 = 0xDC,
    MAX_FIELDS = 64
  };
  if (bytes.len_bytes < 1)
    return false;
  uint8_t first = (uint8_t)bytes.ptr[0];
  if ((first & FIXARRAY_MASK) == FIXARRAY)
    return true;
  return first == ARRAY16 && bytes.len_bytes >= 3 && bytes.ptr[1] == 0
         && (uint8_t)bytes.ptr[2] <= MAX_FIELDS;
}

/// Fields are integers and byte strings only; a nested container would let
/// the inner element count grow without bound.
static bool
elements_are_flat (kb_slice_t bytes)
{
  enum
  {
    FIXMAP_FIRST = 0x80,
    FIXARRAY_LAST = 0x9F,
    ARRAY16 = 0xDC,
    MAP32 = 0xDF,
    BIN8 = 0xC4,
    BIN32 = 0xC6,
    UINT8 = 0xCC,
    UINT64 = 0xCF
  };
  const uint8_t *p = (const uint8_t *)bytes.ptr;
  size_t len = bytes.len_bytes;
  size_t at = (p[0] & 0xF0) == 0x90 ? 1 : 3;
  while (at < len)
    {
      uint8_t tag = p[at++];
      if (tag < FIXMAP_FIRST)
        continue;
      if (tag >= UINT8 && tag <= UINT64)
        {
          at += (size_t)1 << (tag - UINT8);
          continue;
        }
      if (tag < BIN8 || tag > BIN32)
        return false;
      size_t width = (size_t)1 << (tag - BIN8);
      if (at + width > len)
        return false;
      size_t size = 0;
      for (size_t i = 0; i < width; i++)
        size = size << 8 | p[at + i];
      at += width + size;
    }
  return at == len;
}

kb_status_t
msg_decode (kb_slice_t bytes, msg_t *out)
{
  *out = (msg_t){ 0 };
  if (!header_is_plausible (bytes) || !elements_are_flat (bytes))
    return KB_EINVAL;
  msgpack_zone zone;
  if (!msgpack_zone_init (&zone, 1024))
    return KB_ELIMIT;
  msgpack_object object;
  size_t offset = 0;
  kb_status_t status = KB_EINVAL;
  msgpack_unpack_return got
      = msgpack_unpack (bytes.ptr, bytes.len_bytes, &offset, &zone, &object);
  if (got == MSGPACK_UNPACK_SUCCESS && offset == bytes.len_bytes
      && object.type == MSGPACK_OBJECT_ARRAY)
    status = array_read (&object.via.array, out);
  msgpack_zone_destroy (&zone);
  return status;
}
