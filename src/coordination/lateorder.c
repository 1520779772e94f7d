#include "coordination/lateorder.h"

#include <string.h>

/// Put an order in the place of one that expects the same count, since only
/// one of them can be carried out, or else of the oldest.
static void
order_put (lto_order_t *orders, const lto_order_t *order)
{
  lto_order_t *place = &orders[0];
  for (int i = 0; i < LTO_MAX; i++)
    {
      bool is_same = orders[i].sent_ms > 0
                     && orders[i].expected == order->expected
                     && orders[i].engine == order->engine;
      if (is_same || orders[i].sent_ms < place->sent_ms)
        place = &orders[i];
      if (is_same)
        break;
    }
  *place = *order;
}

void
lto_note (lto_orders_t *orders, uint64_t engine, uint64_t expected,
          uint64_t now_ms)
{
  lto_order_t order
      = { .engine = engine, .expected = expected, .sent_ms = now_ms };
  order_put (orders->present, &order);
}

void
lto_restarted (lto_orders_t *orders)
{
  for (int i = 0; i < LTO_MAX; i++)
    if (orders->present[i].sent_ms > 0)
      order_put (orders->earlier, &orders->present[i]);
  memset (orders->present, 0, sizeof orders->present);
}

uint32_t
lto_reserved (const lto_orders_t *orders, uint64_t engine, uint64_t seq,
              uint64_t now_ms)
{
  uint32_t count = 0;
  for (int i = 0; i < LTO_MAX; i++)
    {
      const lto_order_t *order = &orders->earlier[i];
      bool may_come
          = order->sent_ms > 0 && now_ms - order->sent_ms < LTO_LATE_MS;
      bool is_for_it
          = order->engine == 0 || engine == 0 || order->engine == engine;
      count += may_come && is_for_it && order->expected >= seq;
    }
  return count;
}
