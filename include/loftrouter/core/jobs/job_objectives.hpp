// Computes when a job should be complete, by its deadline or by the service-level objectives of its class. Affects only
// scheduling order and fleet size.
#pragma once

#include <optional>

#include "loftrouter/model/settings.hpp"
#include "loftrouter/model/types.hpp"

namespace loftrouter::core {

// Times and ages are in seconds since the job became ready. `deadline`: the job's own, or the one that its dependents
// require (`Dependencies::deadline`).
class JobObjectives {
public:
  explicit JobObjectives(const Settings &settings) : settings_(settings) {}

  // When the job becomes late; nothing without a deadline or an objective.
  std::optional<double> completion_target(const JobSpec &spec, std::optional<double> deadline) const;
  // The tightest objective that a job of this age can still meet.
  double achievable_target(const JobSpec &spec, std::optional<double> deadline, double age_s) const;
  // True for small work without a target that may still wait for cheaper machines.
  bool deferrable(const JobSpec &spec, Priority priority, std::optional<double> deadline, double age_s) const;

private:
  std::optional<double> start_target(const JobSpec &spec) const;
  const Settings &settings_;
};

// Small work is of low priority and tolerates spot machines. It is kept off machines that others need whole.
inline bool is_small(const JobSpec &spec, Priority priority) {
  return priority == Priority::Low && spec.spot;
}

} // namespace loftrouter::core
