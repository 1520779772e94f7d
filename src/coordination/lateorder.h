/// @file lateorder.h
/// Adapter slots to reserve for load orders that got no answer and may still
/// be executed.
///
/// Within one incarnation of an engine such an order is rejected once another
/// one was accepted, because the count of orders that it expects has passed.
/// An engine that restarts under the same id counts from zero, reaches that
/// count again, and then accepts the order. If it thereby has to hold more
/// adapters than it has room for, it crashes with all its streams. The process
/// that sent it may have ended as well: a process that has just started
/// reserves one slot, for an order of its predecessor. No I/O; time is an
/// argument.
#ifndef KB_COORDINATION_LATEORDER_H
#define KB_COORDINATION_LATEORDER_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  LTO_MAX_ORDERS = 16,
  /// Orders without an answer are executed up to 12 s later.
  LTO_MAX_DELAY_MS = 15000,
};

/// A load order that got no answer.
typedef struct
{
  uint64_t engine;   ///< Hash of the addressed id; zero: any engine.
  uint64_t expected; ///< Count of orders at which it is executed.
  uint64_t sent_ms;
} lto_order_t;

typedef struct
{
  lto_order_t current[LTO_MAX_ORDERS];  ///< Sent to the current incarnation.
  lto_order_t previous[LTO_MAX_ORDERS]; ///< Sent to earlier incarnations.
} lto_orders_t;

/// The process has started; another one may have sent orders before it.
void lto_start (lto_orders_t *orders, uint64_t now_ms);
/// Record a load order that got no answer.
/// @param engine    Hash of the addressed id; zero: none.
/// @param expected  Count of orders that it expects.
void lto_record (lto_orders_t *orders, uint64_t engine, uint64_t expected,
                 uint64_t now_ms);
/// The engine restarted.
void lto_restarted (lto_orders_t *orders);
/// @param engine  Hash of the engine's id; zero: not known yet. An engine
///                rejects orders that address another id.
/// @param seq     Orders that it has accepted since its start.
/// @return        Adapters that earlier orders may still make it load.
uint32_t lto_reserved (const lto_orders_t *orders, uint64_t engine,
                       uint64_t seq, uint64_t now_ms);

#endif
