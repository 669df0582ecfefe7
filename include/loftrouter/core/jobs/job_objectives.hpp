// When its team wants a job to be complete, by its own deadline or by the objectives of the settings.
//
// Owns nothing and keeps no state: pure functions of the settings, a job and its age. No rule rests on them; they order
// work and size the fleet.
#pragma once

#include <optional>

#include "loftrouter/model/settings.hpp"
#include "loftrouter/model/types.hpp"

namespace loftrouter::core {

// Times are seconds from when the job could start, and so is a job's age. `deadline`: the job's own, or what the jobs
// that depend on it leave it (`Dependencies::deadline`).
class JobObjectives {
public:
  explicit JobObjectives(const Settings &settings) : settings_(settings) {}

  // When it is late: nothing if nobody has said.
  std::optional<double> completion_target(const JobSpec &spec, std::optional<double> deadline) const;
  // What to work for: of several objectives the first that a job of this age can still meet.
  double achievable_target(const JobSpec &spec, std::optional<double> deadline, double age_s) const;
  // Small work that nobody wants at a certain time.
  bool deferrable(const JobSpec &spec, Priority priority, std::optional<double> deadline, double age_s) const;

private:
  std::optional<double> start_target(const JobSpec &spec) const;
  const Settings &settings_;
};

// Keeps off machines that others need whole.
inline bool is_small(const JobSpec &spec, Priority priority) {
  return priority == Priority::Low && spec.spot;
}

} // namespace loftrouter::core
