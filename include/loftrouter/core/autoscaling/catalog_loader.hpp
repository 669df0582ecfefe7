// Keeps the instance type catalog up to date from the cloud and the state service.
// The state service's copy lets a node validate jobs while the cloud is unreachable.
#pragma once

#include "loftrouter/core/autoscaling/autoscaling_context.hpp"
#include "loftrouter/core/runtime/token_bucket.hpp"

namespace loftrouter::core {

class CatalogLoader {
public:
  CatalogLoader(const AutoscalingContext &context, TokenBucket &call_limiter)
      : context_(context), call_limiter_(call_limiter) {}

  void tick();
  // Calls the cloud, at a limited rate, to find out whether this node can reach it.
  void probe();

private:
  void load();
  void load_from_state_service();
  void load_from_cloud();
  void on_cloud_types(const wire::CloudReply &reply);

  const AutoscalingContext &context_;
  TokenBucket &call_limiter_;
  bool loading_ = false;
  double next_load_ = 0;  // monotonic
  double next_probe_ = 0; // monotonic
};

} // namespace loftrouter::core
