// Keeps the instance type catalog up to date, from the cloud and from the state service.
//
// Owns when it is loaded next. The types are kept in the state service too, so that a node can judge jobs while the
// cloud does not answer.
#pragma once

#include "loftrouter/core/autoscaling/autoscaling_context.hpp"
#include "loftrouter/core/runtime/token_bucket.hpp"

namespace loftrouter::core {

class CatalogLoader {
public:
  // `calls`: the budget of calls to the cloud.
  CatalogLoader(const AutoscalingContext &context, TokenBucket &calls) : context_(context), calls_(calls) {}

  void tick();
  void probe(); // asks the cloud something, so that it is known whether it answers this node; seldom

private:
  void load();
  void load_from_state_service();
  void load_from_cloud();
  void take_from_cloud(const wire::CloudReply &reply);

  const AutoscalingContext &context_;
  TokenBucket &calls_;
  bool loading_ = false;
  double next_load_ = 0;  // monotonic
  double next_probe_ = 0; // monotonic
};

} // namespace loftrouter::core
