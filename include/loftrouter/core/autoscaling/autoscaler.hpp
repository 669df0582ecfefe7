// Sizes the fleet: requests machines from the cloud, returns them, and reads the cloud's list of machines.
//
// Owns the rate limiter of cloud calls. Core thread only. Invariants: retried requests are idempotent, and a machine
// counts as gone only once the cloud has confirmed it (docs/safety.md "ran_twice").
#pragma once

#include <string>
#include <vector>

#include "loftrouter/core/autoscaling/autoscaling_context.hpp"
#include "loftrouter/core/autoscaling/capacity_planner.hpp"
#include "loftrouter/core/autoscaling/catalog_loader.hpp"
#include "loftrouter/core/autoscaling/scale_in.hpp"
#include "loftrouter/core/autoscaling/scale_out.hpp"
#include "loftrouter/core/runtime/token_bucket.hpp"

namespace loftrouter::core {

class Autoscaler {
public:
  explicit Autoscaler(const AutoscalingContext &context);
  Autoscaler(const Autoscaler &) = delete;
  Autoscaler &operator=(const Autoscaler &) = delete;

  void tick();
  // Calls the cloud, at a limited rate, to find out whether this node can reach it.
  void probe() { catalog_loader_.probe(); }
  // Returns whether the cloud recently reported no capacity for this kind of machine.
  bool lacks_capacity(const MachineKind &kind) const { return scale_out_.lacks_capacity(kind); }
  std::vector<MachineKind> kinds_without_capacity() const { return scale_out_.kinds_without_capacity(); }
  void on(const TermStarted &);
  void on(const TermEnded &);

private:
  void list_machines(const std::string &after_name);
  void update_listed_machine(const ListedMachine &listed);
  void scale();

  const AutoscalingContext context_;
  TokenBucket call_limiter_;
  CatalogLoader catalog_loader_;
  ScaleIn scale_in_;
  ScaleOut scale_out_;
  CapacityPlanner planner_;
  bool list_in_flight_ = false;
  double next_list_ = 0;        // monotonic
  double next_scale_ = 0;       // monotonic
  double first_listed_at_ = -1; // monotonic; first complete list of the term; -1: none yet
};

} // namespace loftrouter::core
