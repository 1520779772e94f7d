/// @file lateorder.h
/// Room to keep for orders that got no answer and may still be carried out.
///
/// Within one life of an engine such an order is void once another one was
/// accepted: the count of orders that it expects has passed. An engine that
/// starts again under its id counts anew, comes to the same count once more,
/// and takes the order then. Ordered to hold one adapter more than it can, it
/// crashes with all its streams. No I/O; time is an argument.
#ifndef KB_COORDINATION_LATEORDER_H
#define KB_COORDINATION_LATEORDER_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  LTO_MAX_ORDERS = 16,
  /// Orders without an answer are carried out up to 12 s later.
  LTO_MAX_DELAY_MS = 15000,
};

/// A load that got no answer.
typedef struct
{
  uint64_t engine;   ///< Hash of the id that it was for; zero: of any.
  uint64_t expected; ///< Count of orders at which it is carried out.
  uint64_t sent_ms;
} lto_order_t;

typedef struct
{
  lto_order_t current[LTO_MAX_ORDERS];  ///< To the engine as it lives now.
  lto_order_t previous[LTO_MAX_ORDERS]; ///< To its lives before.
} lto_orders_t;

/// A load got no answer.
/// @param engine  Hash of the id that it names; zero: it names none.
void lto_record (lto_orders_t *orders, uint64_t engine, uint64_t expected,
                 uint64_t now_ms);
/// The engine started again.
void lto_restarted (lto_orders_t *orders);
/// @param engine  Hash of the engine's id; zero: not known yet. An engine
/// turns
///                away orders that name another id.
/// @param seq     Orders that it has accepted since its start.
/// @return        Adapters that it may yet be made to fetch.
uint32_t lto_reserved (const lto_orders_t *orders, uint64_t engine,
                       uint64_t seq, uint64_t now_ms);

#endif
