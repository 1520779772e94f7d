#include "protocol/msg.h"

#include <msgpack.h>
#include <stddef.h>

/// Fields of one message type in wire order, as offsets into msg_t: positive
/// for an integer (UINT), negated for a slice (BYTES).
typedef struct
{
  const char *name;
  uint8_t len;
  int16_t fields[24];
  uint8_t optional; ///< Fields at the end that an older sender omits: zero.
} msg_layout_t;

#define UINT(member, field) (int16_t) offsetof (msg_t, member.field) // NOLINT
#define BYTES(member, field)                       /* NOLINT */               \
  (int16_t) (-(int)offsetof (msg_t, member.field)) // NOLINT

static const msg_layout_t layouts[MSG_TYPE_END] = {
  [MSG_HELLO]
  = { "hello",
      13,
      { BYTES (hello, name), UINT (hello, role), UINT (hello, incarnation),
        BYTES (hello, failure_domain), BYTES (hello, service),
        UINT (hello, is_plain), UINT (hello, slots), UINT (hello, max_batch),
        UINT (hello, revision), UINT (hello, state),
        UINT (hello, memory_since_wall_ms), UINT (hello, is_reply),
        BYTES (hello, resident) } },
  [MSG_PING] = { "ping",
                 3,
                 { UINT (ping, stamp_us), UINT (ping, revision),
                   UINT (ping, target_count) } },
  [MSG_PONG] = { "pong",
                 8,
                 { UINT (pong, stamp_us), UINT (pong, revision),
                   UINT (pong, state), UINT (pong, queue_len),
                   UINT (pong, running), UINT (pong, expected_wait_ms),
                   UINT (pong, stall_us_total), UINT (pong, fill_permille) } },
  [MSG_DISPATCH]
  = { "dispatch",
      21,
      { UINT (dispatch, attempt),        UINT (dispatch, claim_key),
        UINT (dispatch, claim_digest),   UINT (dispatch, claim_epoch),
        UINT (dispatch, deadline_ms),    UINT (dispatch, flags),
        UINT (dispatch, priority_class), UINT (dispatch, weight),
        UINT (dispatch, revision),       UINT (dispatch, version),
        UINT (dispatch, max_tokens),     UINT (dispatch, incarnation),
        UINT (dispatch, fingerprint),    BYTES (dispatch, workspace),
        BYTES (dispatch, adapter),       BYTES (dispatch, source),
        BYTES (dispatch, method),        BYTES (dispatch, path),
        BYTES (dispatch, body),          BYTES (dispatch, traceparent),
        BYTES (dispatch, parts) },
      1 },
  [MSG_PART]
  = { "part",
      5,
      { UINT (part, attempt), UINT (part, seq), UINT (part, http_status),
        BYTES (part, content_type), BYTES (part, data) } },
  [MSG_END]
  = { "end",
      19,
      { UINT (end, attempt), UINT (end, seq), UINT (end, outcome),
        UINT (end, http_status), UINT (end, retry_after_ms),
        UINT (end, queue_len), UINT (end, running),
        UINT (end, expected_wait_ms), UINT (end, demand_permille),
        UINT (end, is_resident), UINT (end, queue_us), UINT (end, load_us),
        UINT (end, run_us), UINT (end, revision), UINT (end, state),
        UINT (end, version), BYTES (end, adapter), BYTES (end, reason),
        UINT (end, is_unconfirmed) },
      1 },
  [MSG_CANCEL] = { "cancel", 1, { UINT (cancel, attempt) } },
  [MSG_REVOKE] = { "revoke",
                   3,
                   { UINT (revoke, attempt), UINT (revoke, claim_key),
                     UINT (revoke, incarnation) } },
  [MSG_REVOKED] = { "revoked",
                    3,
                    { UINT (revoked, attempt), UINT (revoked, claim_key),
                      UINT (revoked, state) } },
  [MSG_CLAIM]
  = { "claim",
      7,
      { UINT (claim, id), UINT (claim, claim_key), UINT (claim, digest),
        UINT (claim, attempt), UINT (claim, voided_attempt),
        UINT (claim, incarnation), UINT (claim, runner) } },
  [MSG_CLAIM_REPLY]
  = { "claim_reply",
      7,
      { UINT (claim_reply, id), UINT (claim_reply, verdict),
        UINT (claim_reply, epoch), UINT (claim_reply, attempt),
        UINT (claim_reply, incarnation), UINT (claim_reply, outcome),
        UINT (claim_reply, runner) } },
  [MSG_CLAIM_OUTCOME]
  = { "claim_note",
      3,
      { UINT (claim_outcome, claim_key), UINT (claim_outcome, attempt),
        UINT (claim_outcome, outcome) } },
  [MSG_RECOVER]
  = { "recover", 2, { UINT (recover, id), BYTES (recover, epochs) } },
  [MSG_RECORDS]
  = { "records",
      5,
      { UINT (records, id), UINT (records, is_last), UINT (records, purpose),
        UINT (records, memory_since_wall_ms), BYTES (records, records) } },
  [MSG_GATE_REQUEST]
  = { "gate_ask",
      3,
      { UINT (gate_request, id), UINT (gate_request, waiting),
        UINT (gate_request, priority_class) } },
  [MSG_GATE_GRANT] = { "gate_grant", 1, { UINT (gate_grant, id) } },
  [MSG_GATE_DONE] = { "gate_done", 1, { UINT (gate_done, id) } },
  [MSG_ANNOUNCE]
  = { "announce",
      2,
      { UINT (announce, revision), UINT (announce, map_revision) } },
  [MSG_CONFIG_PULL]
  = { "config_pull",
      2,
      { UINT (config_pull, have_revision), BYTES (config_pull, digests) } },
  [MSG_CONFIG_PART]
  = { "config_part",
      4,
      { UINT (config_part, revision), UINT (config_part, is_head),
        BYTES (config_part, digest), BYTES (config_part, data) } },
  [MSG_GATEWAY_STATE]
  = { "gateway_state",
      12,
      { UINT (gateway_state, incarnation), UINT (gateway_state, revision),
        UINT (gateway_state, versions_known),
        UINT (gateway_state, engine_count), UINT (gateway_state, list_stamp),
        UINT (gateway_state, quarantine_stamp), BYTES (gateway_state, places),
        UINT (gateway_state, gateway_peak),
        UINT (gateway_state, gateway_peak_age_ms),
        BYTES (gateway_state, served_elsewhere),
        UINT (gateway_state, limit_milli),
        UINT (gateway_state, limit_age_ms) } },
  [MSG_ENGINE_STATE] = { "engine_state",
                         21,
                         { UINT (engine_state, incarnation),
                           UINT (engine_state, revision),
                           UINT (engine_state, versions_known),
                           UINT (engine_state, condition),
                           UINT (engine_state, slots),
                           UINT (engine_state, granted),
                           UINT (engine_state, waiting),
                           UINT (engine_state, gateway_count),
                           UINT (engine_state, backlog_us),
                           UINT (engine_state, tokens_per_s),
                           UINT (engine_state, load_wait_ms),
                           UINT (engine_state, mean_hold_ms),
                           BYTES (engine_state, instance),
                           UINT (engine_state, born_ms),
                           UINT (engine_state, list_stamp),
                           UINT (engine_state, quarantine_stamp),
                           BYTES (engine_state, adapters),
                           UINT (engine_state, gateway_peak),
                           UINT (engine_state, gateway_peak_age_ms),
                           UINT (engine_state, start_wait_ms),
                           UINT (engine_state, start_every_ms) } },
  [MSG_PLACE_REQUEST]
  = { "place_ask",
      13,
      { UINT (place_request, id), UINT (place_request, priority),
        UINT (place_request, prompt_tokens),
        UINT (place_request, output_tokens), UINT (place_request, left_ms),
        UINT (place_request, objective_ms), UINT (place_request, version),
        UINT (place_request, decline_count), UINT (place_request, alone_level),
        BYTES (place_request, model), BYTES (place_request, adapter),
        BYTES (place_request, attempt), UINT (place_request, exact_version) },
      1 },
  [MSG_PLACE_GRANT]
  = { "place_grant",
      6,
      { UINT (place_grant, id), UINT (place_grant, version),
        UINT (place_grant, load_us), BYTES (place_grant, instance),
        UINT (place_grant, born_ms), UINT (place_grant, is_alone) } },
  [MSG_PLACE_DECLINE]
  = { "place_decline",
      3,
      { UINT (place_decline, id), UINT (place_decline, retry_after_ms),
        BYTES (place_decline, reason) } },
  [MSG_PLACE_RELEASE]
  = { "place_release",
      4,
      { UINT (place_release, id), UINT (place_release, gaps),
        UINT (place_release, gaps_ms), UINT (place_release, engine_doubt) },
      .optional = 1 },
  [MSG_PLACE_BEGUN] = { "place_begun", 1, { UINT (place_begun, id) } },
  [MSG_DOCUMENT]
  = { "document", 2, { UINT (document, revision), BYTES (document, data) } },
  [MSG_ADAPTER_VERSION]
  = { "adapter_version",
      3,
      { UINT (adapter_version, version), BYTES (adapter_version, model),
        BYTES (adapter_version, adapter) } },
  [MSG_CHANGES_REQUEST]
  = { "changes_ask",
      6,
      { UINT (changes_request, id), UINT (changes_request, store),
        UINT (changes_request, after), UINT (changes_request, known_age_ms),
        UINT (changes_request, pause_ms), UINT (changes_request, era) },
      1 },
  [MSG_CHANGES]
  = { "changes",
      8,
      { UINT (changes, id), UINT (changes, status), UINT (changes, as_of),
        UINT (changes, began_before_ms), UINT (changes, began_after_ms),
        UINT (changes, config_revision), BYTES (changes, changes),
        UINT (changes, era) },
      1 },
  [MSG_RUN_CONFIRMED]
  = { "run_confirmed", 1, { UINT (run_confirmed, request) } },
  [MSG_QUARANTINE] = { "quarantine", 1, { BYTES (quarantine, records) } },
  [MSG_QUOTA_REQUEST]
  = { "quota_ask",
      18,
      { UINT (quota_request, id), UINT (quota_request, subject),
        UINT (quota_request, is_of_target), UINT (quota_request, revision),
        UINT (quota_request, rate_milli), UINT (quota_request, burst_milli),
        UINT (quota_request, min_milli), UINT (quota_request, wanted_milli),
        UINT (quota_request, unspent_milli), UINT (quota_request, since_ms),
        UINT (quota_request, sidecar_incarnation),
        UINT (quota_request, uptime_ms), UINT (quota_request, reachable_milli),
        UINT (quota_request, prior), UINT (quota_request, ledger_age_ms),
        BYTES (quota_request, ledger), UINT (quota_request, gateway_peak),
        UINT (quota_request, gateway_peak_age_ms) } },
  [MSG_QUOTA_GRANT]
  = { "quota_grant",
      8,
      { UINT (quota_grant, id), UINT (quota_grant, subject),
        UINT (quota_grant, granted_milli), UINT (quota_grant, lasts_ms),
        UINT (quota_grant, wait_ms), UINT (quota_grant, is_pause),
        UINT (quota_grant, is_refused), BYTES (quota_grant, ledger) } },
  [MSG_PLACE_JOINED]
  = { "place_joined",
      2,
      { UINT (place_joined, id), UINT (place_joined, has_lived_on) },
      .optional = 1 },
  [MSG_ORIGINS]
  = { "origins",
      2,
      { BYTES (origins, records), BYTES (origins, adapter_versions) },
      1 },
  [MSG_ORIGIN_REQUEST]
  = { "origin_ask",
      2,
      { UINT (origin_request, id), UINT (origin_request, stream) } },
  [MSG_ORIGIN_REPLY]
  = { "origin",
      4,
      { UINT (origin_reply, id), UINT (origin_reply, stream),
        BYTES (origin_reply, records),
        BYTES (origin_reply, adapter_versions) },
      1 },
};
#undef UINT
#undef BYTES

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
  uint32_t sent = array->size - 2;
  if (sent + layout->optional < layout->len)
    return KB_EINVAL;
  out->type = (msg_type_t)type;
  for (uint8_t i = 0; i < layout->len && i < sent; i++)
    {
      kb_status_t status
          = field_read (&array->ptr[i + 2], layout->fields[i], out);
      if (status != KB_OK)
        return status;
    }
  return KB_OK;
}

/// A malicious array header can announce billions of elements, and the library
/// would allocate memory for them before reading them. The encoder only writes
/// small arrays with a header of 1 or 3 bytes, so any other one is rejected.
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

/// Fields are only integers and byte strings. A nested container is rejected,
/// since its element count would be unbounded.
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
  msgpack_unpack_return unpack_result
      = msgpack_unpack (bytes.ptr, bytes.len_bytes, &offset, &zone, &object);
  if (unpack_result == MSGPACK_UNPACK_SUCCESS && offset == bytes.len_bytes
      && object.type == MSGPACK_OBJECT_ARRAY)
    status = array_read (&object.via.array, out);
  msgpack_zone_destroy (&zone);
  return status;
}
