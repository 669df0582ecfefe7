#include "loftrouter/core/scheduling/placement_queue.hpp"

#include <algorithm>

#include "loftrouter/core/runtime/growing_table.hpp"

namespace loftrouter::core {

namespace {
constexpr double kPassedOver = 60.0;    // s, without a place, after which a job may have whatever has room
constexpr int kUnknownZone = 1'000'000; // of a job that names a zone which is not known: no machine is there
constexpr double kMissedRounds = 4;     // after which a job counts as new in the queue
} // namespace

double PlacementQueue::age_s(JobIndex job_index) const {
  return context_.runtime.wall() - context_.dependencies.ready_wall(job_index);
}

bool PlacementQueue::deferrable(JobIndex job_index) const {
  const JobSpec &spec = context_.jobs[job_index].spec;
  const bool in_pipeline = !context_.dependencies.dependents(job_index).empty() || !spec.dependencies.empty();
  if (in_pipeline) return false; // others wait with it
  return context_.objectives.deferrable(spec, context_.dependencies.priority(job_index),
                                        context_.dependencies.deadline(job_index), age_s(job_index));
}

bool PlacementQueue::passed_over(JobIndex job_index) const {
  if (job_index.position() >= waits_.size()) return false;
  const Wait &wait = waits_[job_index.position()];
  return wait.serial == context_.jobs[job_index].serial && wait.last_seen_at - wait.since > kPassedOver;
}

std::vector<JobIndex> PlacementQueue::waiting() const {
  std::vector<JobIndex> waiting;
  context_.jobs.each([&](JobIndex job_index, const Job &job) {
    if (job.team >= 0 && !job.cancelled && job.pending() > 0 && context_.dependencies.ready(job_index))
      waiting.push_back(job_index);
  });
  std::sort(waiting.begin(), waiting.end(), [this](JobIndex left, JobIndex right) {
    return context_.jobs[left].submit_wall < context_.jobs[right].submit_wall;
  });
  return waiting;
}

void PlacementQueue::note_waiting(JobIndex job_index, double round_interval_s) {
  const double now = context_.runtime.now();
  const std::uint64_t serial = context_.jobs[job_index].serial;
  Wait &wait = get_or_create(waits_, job_index);
  if (wait.serial != serial || now - wait.last_seen_at > kMissedRounds * round_interval_s) wait = {serial, now, now};
  wait.last_seen_at = now;
}

void PlacementQueue::note_placed(JobIndex job_index) {
  get_or_create(waits_, job_index).since = context_.runtime.now();
}

// ---- what a job may place ----

PlacementJob PlacementQueue::job(JobIndex job_index) const {
  const Job &job = context_.jobs[job_index];
  const JobSpec &spec = job.spec;
  const auto &types = context_.catalog.types();
  const bool suspected = context_.failure_attribution.suspected(job_index);
  PlacementJob out;
  out.index = job_index;
  out.need = spec.need;
  out.team = std::max(0, job.team);
  out.types.assign(types.size(), 1);
  for (std::size_t i = 0; spec.types && i < types.size(); ++i) {
    const bool named = std::find(spec.types->begin(), spec.types->end(), types[i].name) != spec.types->end();
    out.types[i] = named ? 1 : 0;
  }
  if (spec.zone) {
    const int zone = context_.catalog.find_zone(*spec.zone);
    out.zone = zone >= 0 ? zone : kUnknownZone;
  }
  out.spot = spec.spot;
  out.gang = spec.shape == Shape::Gang;
  out.one_zone = spec.one_zone;
  if (spec.spread) out.max_per_zone = static_cast<int>((spec.tasks + 1) / 2);
  out.zone_used = job.zone_used;
  out.avoided_machines = context_.failure_attribution.avoided_machines(job_index);
  out.small = is_small(spec, spec.priority); // whatever it is wanted for
  // Work that nobody wants at a certain time waits for cheap places, of which it may have what others leave.
  if (deferrable(job_index)) out.max_price_premium = 1 - 1 / kExpensiveRatio;
  out.pending = job.pending();
  if (suspected && !out.gang) out.pending = std::min(out.pending, 1U); // one try at a time
  out.limit = held_back(job, job_index) ? 0 : out.pending;
  out.priority = context_.dependencies.priority(job_index);
  out.delegated_here = job.delegated_here.has_value();
  out.wait_s = std::max(0.0, age_s(job_index));
  // A suspected job reserves nothing, nor does another cell's.
  out.started = job.placed + job.done > 0 || suspected || out.delegated_here;
  out.in_time = ends_in_time(job, job_index, out);
  out.image = job.image;
  out.image_gb = spec.image_gb;
  return out;
}

// Guards against tasks placed that must not run, or not yet.
bool PlacementQueue::held_back(const Job &job, JobIndex job_index) const {
  if (job.cancelled || job.ending || job.paused) return true;
  if (context_.ledger.budget_exhausted(job.team) || !context_.dependencies.ready(job_index)) return true;
  if (context_.failure_attribution.suspected(job_index)) { // one task, or one gang, at a time and seldom
    const bool pausing = context_.runtime.now() < context_.failure_attribution.retry_at(job_index);
    if (pausing || job.placed > 0 || job.unaccounted > 0) return true;
  }
  // Where unaccounted tasks are is not known, so neither are their zones; a gang may still run elsewhere.
  const bool gang = job.spec.shape == Shape::Gang;
  if (job.unaccounted > 0 && (job.spec.one_zone || job.spec.spread || gang)) return true;
  return gang && job.placed > 0 && job.gang_closed; // the old attempt has to be gone first
}

// The last of its tasks starts once the others have had their turn on the fleet.
bool PlacementQueue::ends_in_time(const Job &job, JobIndex job_index, const PlacementJob &placement) const {
  const auto deadline = context_.dependencies.deadline(job_index);
  if (!context_.objectives.completion_target(job.spec, deadline)) return false;
  const double turns = 1 + placement.pending * placement.need.cpus / std::max(1.0, available_cpus_);
  return placement.wait_s + job.spec.estimate_s * turns <=
         context_.objectives.achievable_target(job.spec, deadline, age_s(job_index));
}

// What keeps work off places that have room for it (the price of small work, machines reserved for work that needs them
// whole) puts it off and no more. Guards against a job that waits beside room for it, for as long as those that the
// machine is up for run. What is rented does not follow: places that are there anyhow cost nothing.
PlacementJob PlacementQueue::candidate(JobIndex job_index) const {
  PlacementJob out = job(job_index);
  if (!passed_over(job_index)) return out;
  out.max_price_premium = 1;
  out.small = false;
  return out;
}

} // namespace loftrouter::core
