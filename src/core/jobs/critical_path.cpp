// The part of the dependency graph that computes what follows along it: order, urgency, deadlines, the critical path.
#include <algorithm>

#include "loftrouter/core/jobs/dependencies.hpp"

namespace loftrouter::core {

namespace {
// Of a job, before those that depend on it can start: estimates are often wrong by half, and a start waits for a
// heartbeat.
constexpr double kEstimateMargin = 1.25; // times the estimate
constexpr double kStartDelay = 2.0;      // s
} // namespace

double Dependencies::lead_time_s(JobIndex job_index) const {
  return kEstimateMargin * jobs_[job_index].spec.estimate_s + kStartDelay + settings_.heartbeat_interval_s;
}

void Dependencies::recompute() const {
  outdated_ = false;
  sort_topologically();
  requirements_.assign(nodes_.size(), {});
  // Dependents first, so that theirs are known.
  for (auto it = topological_order_.rbegin(); it != topological_order_.rend(); ++it)
    requirements_[it->position()] = combined_requirement(*it);
}

void Dependencies::sort_topologically() const {
  topological_order_.clear();
  std::vector<std::size_t> remaining(nodes_.size(), 0); // dependencies that are not in the order yet
  jobs_.each([&](JobIndex job_index, const Job &) {
    if (!has_node(job_index)) return; // its event has not been delivered yet
    remaining[job_index.position()] = node(job_index).open_dependencies.size();
    if (node(job_index).open_dependencies.empty()) topological_order_.push_back(job_index);
  });
  for (std::size_t i = 0; i < topological_order_.size(); ++i)
    for (JobIndex dependent : node(topological_order_[i]).dependents) {
      std::size_t &left = remaining[dependent.position()];
      --left;
      if (left == 0) topological_order_.push_back(dependent);
    }
}

Dependencies::Requirement Dependencies::combined_requirement(JobIndex job_index) const {
  const JobSpec &spec = jobs_[job_index].spec;
  Requirement combined;
  combined.priority = spec.priority;
  if (spec.deadline_s) combined.due_wall = jobs_[job_index].submit_wall + *spec.deadline_s;
  for (JobIndex dependent : node(job_index).dependents) {
    if (!jobs_.find(dependent) || jobs_[dependent].cancelled) continue;
    const Requirement &theirs = requirements_[dependent.position()];
    combined.priority = std::max(combined.priority, theirs.priority);
    if (!theirs.due_wall) continue;
    const double latest_wall = *theirs.due_wall - lead_time_s(dependent);
    combined.due_wall = std::min(combined.due_wall.value_or(latest_wall), latest_wall);
  }
  return combined;
}

Priority Dependencies::priority(JobIndex job_index) const {
  if (outdated_) recompute();
  const Priority own = jobs_[job_index].spec.priority;
  if (job_index.position() >= requirements_.size()) return own;
  return std::max(own, requirements_[job_index.position()].priority);
}

std::optional<double> Dependencies::deadline(JobIndex job_index) const {
  if (outdated_) recompute();
  if (job_index.position() >= requirements_.size()) return own_deadline(job_index);
  const auto &due_wall = requirements_[job_index.position()].due_wall;
  return due_wall ? std::optional(*due_wall - ready_wall(job_index)) : own_deadline(job_index);
}

std::optional<double> Dependencies::own_deadline(JobIndex job_index) const {
  const auto &own = jobs_[job_index].spec.deadline_s;
  return own ? std::optional(jobs_[job_index].submit_wall + *own - ready_wall(job_index)) : std::nullopt;
}

const std::vector<JobIndex> &Dependencies::topological_order() const {
  if (outdated_) recompute();
  return topological_order_;
}

CriticalPath Dependencies::critical_path(const std::function<double(JobIndex)> &remaining_s) const {
  const std::vector<double> none(jobs_.index_limit(), 0);
  CriticalPath path{none, none, std::vector<JobIndex>(jobs_.index_limit())};
  for (JobIndex job_index : topological_order()) {
    if (!jobs_.find(job_index)) continue;
    const std::size_t position = job_index.position();
    for (JobIndex dependency : open_dependencies(job_index)) {
      const double done_in_s = path.done_in_s[dependency.position()];
      if (done_in_s <= path.starts_in_s[position]) continue;
      path.starts_in_s[position] = done_in_s;
      path.last_dependency[position] = dependency;
    }
    path.done_in_s[position] = path.starts_in_s[position] + remaining_s(job_index);
  }
  return path;
}

} // namespace loftrouter::core
