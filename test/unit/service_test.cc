// Values derived from the configuration of a service.
#include <gtest/gtest.h>

extern "C"
{
#include "state/service.h"
}

namespace
{

svc_service_t
engine_service (uint32_t slots, double memory_mb, double model_mb,
                double adapter_mb)
{
  svc_service_t service = {};
  service.is_engine = true;
  service.adapter_slots = slots;
  service.memory_mb = memory_mb;
  service.model_count = 1;
  service.models[0].size_mb = model_mb;
  service.models[0].adapter_size_mb = adapter_mb;
  return service;
}

// When only the slots are counted, an engine with 60 adapter slots but 900 MB
// beside its model is ordered to load a 46th adapter of 20 MB, runs out of
// memory and crashes; users see streams break off whenever many adapters are
// in demand.
TEST (Service, MemoryLimitsAdapters)
{
  svc_service_t service = engine_service (60, 17000, 16100, 20);
  EXPECT_EQ (svc_service_max_adapters (&service), 45u);
}

TEST (Service, SlotsLimitAdaptersWhenMemorySuffices)
{
  svc_service_t service = engine_service (6, 35200, 34300, 40);
  EXPECT_EQ (svc_service_max_adapters (&service), 6u);
}

TEST (Service, ModelLargerThanMemoryLeavesNoAdapters)
{
  svc_service_t service = engine_service (6, 34000, 34300, 40);
  EXPECT_EQ (svc_service_max_adapters (&service), 0u);
}

TEST (Service, SlotsLimitAdaptersWithoutSizes)
{
  svc_service_t service = engine_service (6, 0, 0, 0);
  EXPECT_EQ (svc_service_max_adapters (&service), 6u);
}

TEST (Service, GapTargetIsTheShortestOfAllRoutes)
{
  svc_route_t routes[3] = {};
  char engines[] = "engines";
  char plain[] = "plain";
  uint32_t targets_ms[] = { 400, 300, 0 };
  for (int i = 0; i < 3; i++)
    {
      routes[i].share_count = 1;
      routes[i].shares[0].service = engines;
      routes[i].gap_target_ms = targets_ms[i];
    }
  svc_config_t config = {};
  config.routes = routes;
  config.route_count = 3;
  EXPECT_EQ (svc_service_gap_target_ms (&config, engines), 300u);
  EXPECT_EQ (svc_service_gap_target_ms (&config, plain), 0u);
}

} // namespace
