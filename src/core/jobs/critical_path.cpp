// Implements the topological order, propagated priorities and deadlines, and the critical path of Dependencies.
#include <algorithm>

#include "loftrouter/core/jobs/dependencies.hpp"

namespace loftrouter::core {

namespace {
constexpr double kEstimateFactor = 1.25; // safety margin for run time estimates, which are often wrong by half
constexpr double kStartDelayS = 2.0;     // besides the wait for a heartbeat
} // namespace

// Estimates the time from when a job is ready until it is done.
double Dependencies::lead_time_s(JobIndex job_index) const {
  return kEstimateFactor * jobs_[job_index].spec.estimate_s + kStartDelayS + settings_.heartbeat_interval_s;
}

void Dependencies::recompute() const {
  outdated_ = false;
  sort_topologically();
  requirements_.assign(nodes_.size(), {});
  for (auto it = topological_order_.rbegin(); it != topological_order_.rend(); ++it)
    requirements_[it->position()] = combined_requirement(*it);
}

void Dependencies::sort_topologically() const {
  topological_order_.clear();
  std::vector<std::size_t> unsorted_dependencies(nodes_.size(), 0);
  jobs_.each([&](JobIndex job_index, const Job &) {
    if (!has_node(job_index)) return; // its JobAccepted event has not been delivered yet
    unsorted_dependencies[job_index.position()] = node(job_index).open_dependencies.size();
    if (node(job_index).open_dependencies.empty()) topological_order_.push_back(job_index);
  });
  for (std::size_t i = 0; i < topological_order_.size(); ++i)
    for (JobIndex dependent : node(topological_order_[i]).dependents) {
      std::size_t &unsorted_count = unsorted_dependencies[dependent.position()];
      --unsorted_count;
      if (unsorted_count == 0) topological_order_.push_back(dependent);
    }
}

Dependencies::Requirement Dependencies::combined_requirement(JobIndex job_index) const {
  const JobSpec &spec = jobs_[job_index].spec;
  Requirement combined;
  combined.priority = spec.priority;
  if (spec.deadline_s) combined.due_wall = jobs_[job_index].submit_wall + *spec.deadline_s;
  for (JobIndex dependent : node(job_index).dependents) {
    if (!jobs_.find(dependent) || jobs_[dependent].cancelled) continue;
    const Requirement &downstream = requirements_[dependent.position()];
    combined.priority = std::max(combined.priority, downstream.priority);
    if (!downstream.due_wall) continue;
    const double latest_end_wall = *downstream.due_wall - lead_time_s(dependent);
    combined.due_wall = std::min(combined.due_wall.value_or(latest_end_wall), latest_end_wall);
  }
  return combined;
}

Priority Dependencies::priority(JobIndex job_index) const {
  if (outdated_) recompute();
  const Priority own_priority = jobs_[job_index].spec.priority;
  if (job_index.position() >= requirements_.size()) return own_priority;
  return std::max(own_priority, requirements_[job_index.position()].priority);
}

std::optional<double> Dependencies::deadline(JobIndex job_index) const {
  if (outdated_) recompute();
  if (job_index.position() >= requirements_.size()) return own_deadline(job_index);
  const auto &due_wall = requirements_[job_index.position()].due_wall;
  return due_wall ? std::optional(*due_wall - ready_wall(job_index)) : own_deadline(job_index);
}

std::optional<double> Dependencies::own_deadline(JobIndex job_index) const {
  const auto &deadline_s = jobs_[job_index].spec.deadline_s;
  return deadline_s ? std::optional(jobs_[job_index].submit_wall + *deadline_s - ready_wall(job_index)) : std::nullopt;
}

const std::vector<JobIndex> &Dependencies::topological_order() const {
  if (outdated_) recompute();
  return topological_order_;
}

CriticalPath Dependencies::critical_path(const std::function<double(JobIndex)> &remaining_s) const {
  const std::vector<double> zeros(jobs_.index_limit(), 0);
  CriticalPath path{zeros, zeros, std::vector<JobIndex>(jobs_.index_limit())};
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
