#include "loftrouter/core/jobs/job_objectives.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string_view>

namespace loftrouter::core {

namespace {
constexpr double kDefaultTargetS = 3600.0; // for jobs without a deadline or an objective; expensive machines can wait
constexpr double kMaxDeferralS = 1800.0;   // after that, small work may use expensive machines, too
// The kinds of objectives in the settings.
constexpr std::string_view kCompletionObjective = "finished";
constexpr std::string_view kStartObjective = "wait";
} // namespace

std::optional<double> JobObjectives::completion_target(const JobSpec &spec, std::optional<double> deadline) const {
  if (deadline) return deadline;
  std::optional<double> loosest_s;
  for (const auto &objective : settings_.objectives)
    if (objective.kind == kCompletionObjective && objective.job_class == spec.job_class)
      loosest_s = std::max(loosest_s.value_or(0), objective.within_s);
  return loosest_s ? loosest_s : start_target(spec);
}

// Returns the completion target that follows from the objective for the start.
std::optional<double> JobObjectives::start_target(const JobSpec &spec) const {
  std::optional<double> loosest_s;
  for (const auto &objective : settings_.objectives)
    if (objective.kind == kStartObjective && objective.job_class == spec.job_class)
      loosest_s = std::max(loosest_s.value_or(0), objective.within_s + spec.estimate_s);
  return loosest_s;
}

double JobObjectives::achievable_target(const JobSpec &spec, std::optional<double> deadline, double age_s) const {
  if (deadline) return *deadline;
  const double earliest_end_s = age_s + spec.estimate_s;
  double tightest_s = std::numeric_limits<double>::infinity();
  double loosest_s = 0;
  for (const auto &objective : settings_.objectives) {
    if (objective.kind != kCompletionObjective || objective.job_class != spec.job_class) continue;
    if (objective.within_s >= earliest_end_s) tightest_s = std::min(tightest_s, objective.within_s);
    loosest_s = std::max(loosest_s, objective.within_s);
  }
  if (loosest_s <= 0) return start_target(spec).value_or(kDefaultTargetS);
  return std::isfinite(tightest_s) ? tightest_s : loosest_s;
}

bool JobObjectives::deferrable(const JobSpec &spec, Priority priority, std::optional<double> deadline,
                               double age_s) const {
  return is_small(spec, priority) && !completion_target(spec, deadline) && age_s < kMaxDeferralS;
}

} // namespace loftrouter::core
