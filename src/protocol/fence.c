#include "protocol/fence.h"

#include <inttypes.h>
#include <stdlib.h>

#include "protocol/json.h"

enum
{
  INCARNATION_DIGITS = 16,
};

static bool
read_incarnation (struct json_object *doc, uint64_t *out)
{
  const char *text = jsn_str (doc, "incarnation", "");
  if (strlen (text) != INCARNATION_DIGITS
      || strspn (text, "0123456789abcdef") != INCARNATION_DIGITS)
    return false;
  *out = strtoull (text, NULL, 16);
  return true;
}

bool
fnc_record_parse (kb_slice_t text, fnc_record_t *out)
{
  struct json_object *doc;
  if (jsn_parse_text ("roster", text, &doc, NULL) != KB_OK)
    return false;
  fnc_record_t record;
  int64_t fence = jsn_int (doc, "fence", 0);
  int64_t memory_since_ms = jsn_int (doc, "memory_since", -1);
  const char *state = jsn_str (doc, "state", "");
  record.has_left = strcmp (state, "left") == 0;
  bool is_valid = fence > 0 && fence < FNC_MAX_NUMBER && memory_since_ms >= 0
                  && memory_since_ms < FNC_MAX_NUMBER
                  && (record.has_left || strcmp (state, "live") == 0)
                  && read_incarnation (doc, &record.incarnation);
  json_object_put (doc);
  if (!is_valid)
    return false;
  record.fence = (uint64_t)fence;
  record.memory_since_wall_ms = (uint64_t)memory_since_ms;
  *out = record;
  return true;
}

void
fnc_record_write (const fnc_record_t *record, kb_buf_t *out)
{
  kb_buf_printf (out,
                 "{\"fence\":%" PRIu64 ",\"incarnation\":\"%016" PRIx64
                 "\",\"state\":\"%s\",\"memory_since\":%" PRIu64 "}",
                 record->fence, record->incarnation,
                 record->has_left ? "left" : "live",
                 record->memory_since_wall_ms);
}
