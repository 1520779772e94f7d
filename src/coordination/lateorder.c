#include "coordination/lateorder.h"

#include <string.h>

/// Store an order. It replaces one for the same engine that expects the same
/// count, since only one of the two can be executed, or else the oldest one.
static void
order_put (lto_order_t *orders, const lto_order_t *order)
{
  lto_order_t *slot = &orders[0];
  for (int i = 0; i < LTO_MAX_ORDERS; i++)
    {
      bool is_same = orders[i].sent_ms > 0
                     && orders[i].expected == order->expected
                     && orders[i].engine == order->engine;
      if (is_same || orders[i].sent_ms < slot->sent_ms)
        slot = &orders[i];
      if (is_same)
        break;
    }
  *slot = *order;
}

void
lto_record (lto_orders_t *orders, uint64_t engine, uint64_t expected,
            uint64_t now_ms)
{
  lto_order_t order
      = { .engine = engine, .expected = expected, .sent_ms = now_ms };
  order_put (orders->current, &order);
}

void
lto_start (lto_orders_t *orders, uint64_t now_ms)
{
  lto_record (orders, 0, UINT64_MAX, now_ms);
}

void
lto_restarted (lto_orders_t *orders)
{
  for (int i = 0; i < LTO_MAX_ORDERS; i++)
    if (orders->current[i].sent_ms > 0)
      order_put (orders->previous, &orders->current[i]);
  memset (orders->current, 0, sizeof orders->current);
}

uint32_t
lto_reserved (const lto_orders_t *orders, uint64_t engine, uint64_t seq,
              uint64_t now_ms)
{
  uint32_t count = 0;
  for (int i = 0; i < LTO_MAX_ORDERS; i++)
    {
      const lto_order_t *order = &orders->previous[i];
      bool is_pending
          = order->sent_ms > 0 && now_ms - order->sent_ms < LTO_MAX_DELAY_MS;
      bool is_same_engine
          = order->engine == 0 || engine == 0 || order->engine == engine;
      count += is_pending && is_same_engine && order->expected >= seq;
    }
  return count;
}
