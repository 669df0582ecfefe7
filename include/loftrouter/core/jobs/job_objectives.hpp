// Computes when a job should be complete, by its deadline or by the service-level objectives of its class. The results
// affect only scheduling order, fleet size and reports.
#pragma once

#include <optional>

#include "loftrouter/model/settings.hpp"
#include "loftrouter/model/types.hpp"

namespace loftrouter::core {

// All times are in seconds since the job became ready. `deadline` is the job's own or that of its dependents
// (`Dependencies::deadline`).
class JobObjectives {
public:
  explicit JobObjectives(const Settings &settings) : settings_(settings) {}

  // Returns when the job becomes late: its deadline or else the loosest objective of its class. Returns nothing without
  // either.
  std::optional<double> completion_target(const JobSpec &spec, std::optional<double> deadline) const;
  // Returns the deadline, or else the tightest objective that a job of this age can still meet.
  double achievable_target(const JobSpec &spec, std::optional<double> deadline, double age_s) const;
  // Returns true for small work that has no target and is young enough to wait for cheaper machines.
  bool deferrable(const JobSpec &spec, Priority priority, std::optional<double> deadline, double age_s) const;

private:
  std::optional<double> start_target(const JobSpec &spec) const;
  const Settings &settings_;
};

// Returns true for low-priority work that tolerates spot machines. It is kept off machines that other jobs need whole.
inline bool is_small(const JobSpec &spec, Priority priority) {
  return priority == Priority::Low && spec.spot;
}

} // namespace loftrouter::core
