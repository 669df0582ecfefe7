#include "loftrouter/core/scheduling/placement_queue.hpp"

#include <algorithm>

#include "loftrouter/core/runtime/growing_table.hpp"

namespace loftrouter::core {

namespace {
constexpr double kStarvedAfterS = 60.0;
constexpr int kUnknownZone = 1'000'000; // matches no machine
constexpr double kMaxMissedRounds = 4;  // a job that missed more starts a new wait
} // namespace

double PlacementQueue::age_s(JobIndex job_index) const {
  return context_.runtime.wall() - context_.dependencies.ready_wall(job_index);
}

bool PlacementQueue::deferrable(JobIndex job_index) const {
  const JobSpec &spec = context_.jobs[job_index].spec;
  const bool in_pipeline = !context_.dependencies.dependents(job_index).empty() || !spec.dependencies.empty();
  if (in_pipeline) return false;
  return context_.objectives.deferrable(spec, context_.dependencies.priority(job_index),
                                        context_.dependencies.deadline(job_index), age_s(job_index));
}

bool PlacementQueue::starved(JobIndex job_index) const {
  if (job_index.position() >= waits_.size()) return false;
  const Wait &wait = waits_[job_index.position()];
  return wait.serial == context_.jobs[job_index].serial && wait.last_seen_at - wait.since > kStarvedAfterS;
}

std::vector<JobIndex> PlacementQueue::waiting_jobs() const {
  std::vector<JobIndex> waiting_jobs;
  context_.jobs.each([&](JobIndex job_index, const Job &job) {
    if (job.team >= 0 && !job.cancelled && job.pending() > 0 && context_.dependencies.ready(job_index))
      waiting_jobs.push_back(job_index);
  });
  std::sort(waiting_jobs.begin(), waiting_jobs.end(), [this](JobIndex left, JobIndex right) {
    return context_.jobs[left].submit_wall < context_.jobs[right].submit_wall;
  });
  return waiting_jobs;
}

void PlacementQueue::note_waiting(JobIndex job_index, double round_interval_s) {
  const double now = context_.runtime.now();
  const std::uint64_t serial = context_.jobs[job_index].serial;
  Wait &wait = get_or_create(waits_, job_index);
  if (wait.serial != serial || now - wait.last_seen_at > kMaxMissedRounds * round_interval_s) wait = {serial, now, now};
  wait.last_seen_at = now;
}

void PlacementQueue::note_placed(JobIndex job_index) {
  get_or_create(waits_, job_index).since = context_.runtime.now();
}

PlacementJob PlacementQueue::placement_job(JobIndex job_index) const {
  const Job &job = context_.jobs[job_index];
  const JobSpec &spec = job.spec;
  const auto &types = context_.catalog.types();
  const bool suspected = context_.failure_attribution.suspected(job_index);
  PlacementJob result;
  result.index = job_index;
  result.need = spec.need;
  result.team = std::max(0, job.team);
  result.types.assign(types.size(), 1);
  for (std::size_t i = 0; spec.types && i < types.size(); ++i) {
    const bool named = std::find(spec.types->begin(), spec.types->end(), types[i].name) != spec.types->end();
    result.types[i] = named ? 1 : 0;
  }
  if (spec.zone) {
    const int zone = context_.catalog.find_zone(*spec.zone);
    result.zone = zone >= 0 ? zone : kUnknownZone;
  }
  result.spot = spec.spot;
  result.gang = spec.shape == Shape::Gang;
  result.one_zone = spec.one_zone;
  if (spec.spread) result.max_per_zone = static_cast<int>((spec.tasks + 1) / 2);
  result.placed_by_zone = job.placed_by_zone;
  result.avoided_machines = context_.failure_attribution.avoided_machines(job_index);
  result.small = is_small(spec, spec.priority); // the job's own priority, not that of its dependents
  // Deferrable jobs use cheap machines only.
  if (deferrable(job_index)) result.max_price_premium = 1 - 1 / kExpensiveRatio;
  result.pending = job.pending();
  if (suspected && !result.gang) result.pending = std::min(result.pending, 1U); // one retry at a time
  result.limit = blocked(job, job_index) ? 0 : result.pending;
  result.priority = context_.dependencies.priority(job_index);
  result.delegated_here = job.delegated_here.has_value();
  result.wait_s = std::max(0.0, age_s(job_index));
  result.cannot_reserve = job.placed + job.done > 0 || suspected || result.delegated_here;
  result.in_time = would_finish_in_time(job, job_index, result);
  result.image = job.image;
  result.image_gb = spec.image_gb;
  return result;
}

// Returns whether no task of the job may be placed now.
bool PlacementQueue::blocked(const Job &job, JobIndex job_index) const {
  if (job.cancelled || job.ending || job.paused) return true;
  if (context_.ledger.budget_exhausted(job.team) || !context_.dependencies.ready(job_index)) return true;
  if (context_.failure_attribution.suspected(job_index)) { // retries one task or gang at a time, after a pause
    const bool backing_off = context_.runtime.now() < context_.failure_attribution.retry_at(job_index);
    if (backing_off || job.placed > 0 || job.unaccounted > 0) return true;
  }
  // Unaccounted tasks may still run on unknown machines and zones.
  const bool gang = job.spec.shape == Shape::Gang;
  if (job.unaccounted > 0 && (job.spec.one_zone || job.spec.spread || gang)) return true;
  return gang && job.placed > 0 && job.gang_started; // the previous attempt must end first
}

bool PlacementQueue::would_finish_in_time(const Job &job, JobIndex job_index, const PlacementJob &placement_job) const {
  const auto deadline = context_.dependencies.deadline(job_index);
  if (!context_.objectives.completion_target(job.spec, deadline)) return false;
  const double waves = 1 + placement_job.pending * placement_job.need.cpus / std::max(1.0, available_cpus_);
  return placement_job.wait_s + job.spec.estimate_s * waves <=
         context_.objectives.achievable_target(job.spec, deadline, age_s(job_index));
}

// Guards against price limits and reservations keeping a job from free resources indefinitely. Not used by the capacity
// planner: an expensive machine may be used if it is up anyway, but isn't requested for such a job.
PlacementJob PlacementQueue::job_relaxed_if_starved(JobIndex job_index) const {
  PlacementJob result = placement_job(job_index);
  if (!starved(job_index)) return result;
  result.max_price_premium = 1;
  result.small = false;
  return result;
}

} // namespace loftrouter::core
