#include "loftrouter/core/jobs/job_objectives.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string_view>

namespace loftrouter::core {

namespace {
constexpr double kDefaultTarget = 3600.0; // s, of jobs without a deadline or an objective: expensive machines can wait
constexpr double kDeferrableFor = 1800.0; // s, of small work without a target: then it may use expensive machines too
constexpr std::string_view kFinished = "finished"; // kinds of objectives, as the settings name them
constexpr std::string_view kWait = "wait";
} // namespace

std::optional<double> JobObjectives::completion_target(const JobSpec &spec, std::optional<double> deadline) const {
  if (deadline) return deadline;
  std::optional<double> last;
  for (const auto &objective : settings_.objectives)
    if (objective.kind == kFinished && objective.job_class == spec.job_class)
      last = std::max(last.value_or(0), objective.within_s);
  return last ? last : start_target(spec);
}

// Where only its start is wanted by a time: that, and its run.
std::optional<double> JobObjectives::start_target(const JobSpec &spec) const {
  std::optional<double> last;
  for (const auto &objective : settings_.objectives)
    if (objective.kind == kWait && objective.job_class == spec.job_class)
      last = std::max(last.value_or(0), objective.within_s + spec.estimate_s);
  return last;
}

double JobObjectives::achievable_target(const JobSpec &spec, std::optional<double> deadline, double age_s) const {
  if (deadline) return *deadline;
  const double soonest = age_s + spec.estimate_s;
  double first = std::numeric_limits<double>::infinity();
  double last = 0;
  for (const auto &objective : settings_.objectives) {
    if (objective.kind != kFinished || objective.job_class != spec.job_class) continue;
    if (objective.within_s >= soonest) first = std::min(first, objective.within_s);
    last = std::max(last, objective.within_s);
  }
  if (last <= 0) return start_target(spec).value_or(kDefaultTarget);
  return std::isfinite(first) ? first : last;
}

bool JobObjectives::deferrable(const JobSpec &spec, Priority priority, std::optional<double> deadline,
                               double age_s) const {
  return is_small(spec, priority) && !completion_target(spec, deadline) && age_s < kDeferrableFor;
}

} // namespace loftrouter::core
