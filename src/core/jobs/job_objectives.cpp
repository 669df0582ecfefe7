#include "loftrouter/core/jobs/job_objectives.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace loftrouter::core {

namespace {
constexpr double kDefaultDue = 3600.0; // s, for jobs without a deadline or an objective: dear machines can wait
constexpr double kPatience = 1800.0;   // s, of small work without a wish: afterwards it may use dear machines too
} // namespace

std::optional<double> JobObjectives::wanted_after(const JobSpec &spec, std::optional<double> deadline) const {
  if (deadline) return deadline;
  std::optional<double> last;
  for (const auto &o : settings_.objectives)
    if (o.kind == "finished" && o.job_class == spec.job_class) last = std::max(last.value_or(0), o.within_s);
  return last ? last : started_within(spec);
}

// Where only its start is wanted by a time: that, and its run.
std::optional<double> JobObjectives::started_within(const JobSpec &spec) const {
  std::optional<double> last;
  for (const auto &o : settings_.objectives)
    if (o.kind == "wait" && o.job_class == spec.job_class)
      last = std::max(last.value_or(0), o.within_s + spec.estimate_s);
  return last;
}

double JobObjectives::due_after(const JobSpec &spec, std::optional<double> deadline, double age_s) const {
  if (deadline) return *deadline;
  const double soonest = age_s + spec.estimate_s;
  double first = std::numeric_limits<double>::infinity(), last = 0;
  for (const auto &o : settings_.objectives) {
    if (o.kind != "finished" || o.job_class != spec.job_class) continue;
    if (o.within_s >= soonest) first = std::min(first, o.within_s);
    last = std::max(last, o.within_s);
  }
  if (last <= 0) return started_within(spec).value_or(kDefaultDue);
  return std::isfinite(first) ? first : last;
}

bool JobObjectives::deferrable(const JobSpec &spec, Urgency urgency, std::optional<double> deadline,
                               double age_s) const {
  return is_small(spec, urgency) && !wanted_after(spec, deadline) && age_s < kPatience;
}

} // namespace loftrouter::core
