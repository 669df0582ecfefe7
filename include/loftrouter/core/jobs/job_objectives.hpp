// When its team wants a job to be complete, by its own deadline or by the objectives of the settings. Pure.
#pragma once

#include <optional>

#include "loftrouter/model/settings.hpp"
#include "loftrouter/model/types.hpp"

namespace loftrouter::core {

class JobObjectives {
public:
  explicit JobObjectives(const Settings &settings) : settings_(settings) {}

  // Seconds after it could start, as its age: nothing if nobody has said. `deadline`: its own or what its path leaves
  // it.
  std::optional<double> wanted_after(const JobSpec &spec, std::optional<double> deadline) const;
  // What to work for: of several objectives the first that a job of this age can still meet.
  double due_after(const JobSpec &spec, std::optional<double> deadline, double age_s) const;
  // Small work that nobody wants at a certain time.
  bool deferrable(const JobSpec &spec, Urgency urgency, std::optional<double> deadline, double age_s) const;

private:
  std::optional<double> started_within(const JobSpec &spec) const;
  const Settings &settings_;
};

// Leaves machines alone that others need whole.
inline bool is_small(const JobSpec &spec, Urgency urgency) {
  return urgency == Urgency::Low && spec.spot;
}

} // namespace loftrouter::core
