/// @file entry_parts.c
/// Parts of prompts with which engines end (coordination/parts.h). Agents
/// report the ends; an entry clears the parts that it has served.
#include "daemon/entry_defs.h"

static const prt_list_t *
parts_of (ent_request_t *r)
{
  if (!r->are_parts_known && r->http != NULL)
    {
      r->are_parts_known = true;
      prt_list_parse (hts_request_header (r->http, "x-prompt-parts"),
                      &r->parts);
    }
  return &r->parts;
}

prt_judgement_t
ent_parts_judge (ent_request_t *r)
{
  uint64_t caller = kb_hash (r->workspace, strlen (r->workspace), 0) | 1;
  return prt_judge (&r->entry->quarantine, parts_of (r), caller,
                    tmr_now_ms ());
}

uint16_t
ent_parts_trial_route (const ent_request_t *r, uint64_t part)
{
  const rt_table_t *routes = &r->entry->routes;
  uint16_t best = RT_NONE;
  uint64_t best_weight = 0;
  for (uint16_t i = 0; i < routes->target_count; i++)
    {
      const rt_target_t *t = &routes->targets[i];
      uint64_t pair[2] = { part, t->id };
      uint64_t weight = kb_hash (pair, sizeof pair, 0);
      if (!t->is_used || t->state != RT_UP || t->service != r->service_id
          || (best != RT_NONE && weight <= best_weight))
        continue;
      best = i;
      best_weight = weight;
    }
  return best;
}

void
ent_parts_record_served (ent_request_t *r)
{
  ent_entry_t *entry = r->entry;
  uint64_t now_ms = tmr_now_ms ();
  const prt_list_t *parts = parts_of (r);
  for (uint32_t i = 0; i < parts->count; i++)
    {
      prt_served_add (&entry->served_parts, parts->keys[i], now_ms);
      qrt_mark_served (&entry->quarantine, parts->keys[i], now_ms);
    }
}

void
ent_parts_record_progress (ent_request_t *r)
{
  uint64_t now_ms = tmr_now_ms ();
  if (r->first_part_ms == 0)
    r->first_part_ms = now_ms;
  else if (!r->are_parts_served && now_ms - r->first_part_ms > PRT_STARTUP_MS)
    {
      r->are_parts_served = true;
      ent_parts_record_served (r);
    }
}

void
ent_parts_clear_served (ent_entry_t *entry)
{
  uint64_t now_ms = tmr_now_ms ();
  uint64_t served[QRT_MAX_ENTRIES];
  uint32_t count = prt_find_served (&entry->quarantine, &entry->served_parts,
                                    now_ms, served);
  for (uint32_t i = 0; i < count; i++)
    qrt_mark_served (&entry->quarantine, served[i], now_ms);
}
