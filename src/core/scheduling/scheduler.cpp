#include "loftrouter/core/scheduling/scheduler.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace loftrouter::core {

namespace {
constexpr double kRoundInterval = 0.25; // s
constexpr double kFirstRound = 0.5;     // s, after a term has begun
constexpr double kReservedFor =
    1.0; // s, that a machine is kept for a job that has waited too long; said again in each round
constexpr double kRecordAheadInterval = 0.25; // s
constexpr double kRecordAheadShare = 0.15;    // of the fleet's CPUs: tasks recorded ahead of their placement
constexpr std::uint32_t kMinRecordAhead = 4;
constexpr double kMaxRecordAhead = 1e6;
constexpr double kRounding = 1e-6;
} // namespace

Scheduler::Scheduler(const SchedulingContext &context)
    : context_(context), large_task_reservations_(context_), queue_(context_),
      snapshot_(context_, large_task_reservations_, nominations_), placer_(context_, queue_),
      preemption_(context_, snapshot_, queue_, nominations_, placer_) {}

void Scheduler::on(const TermStarted &) {
  next_round_ = context_.runtime.now() + kFirstRound;
}

void Scheduler::on(const TermEnded &) {
  last_round_.clear();
  queue_.clear();
  nominations_.clear();
}

PlacementOptions Scheduler::options() const {
  const auto &tunables = context_.operators.tunables();
  return {tunables.full_plan_bonus, tunables.age_weight,      tunables.image_weight,
          tunables.price_weight,    tunables.reserve_after_s, tunables.in_time_bonus};
}

// ---- rounds ----

void Scheduler::tick() {
  if (context_.runtime.now() >= next_round_) {
    preemption_.stop_teams_over_budget();
    place_on_all();
  }
  if (context_.runtime.now() >= next_record_ahead_) record_ahead();
}

void Scheduler::place_if_something_changed() {
  if (something_changed() && context_.runtime.now() >= next_round_) place_on_all();
}

void Scheduler::mark_seen() {
  room_freed_ = false;
  arrivals_seen_ = context_.jobs.arrivals();
}

void Scheduler::place_on_all() {
  next_round_ = context_.runtime.now() + kRoundInterval;
  mark_seen();
  last_round_.clear();
  if (!context_.leadership.active() || !context_.quotas.ready()) return;
  auto machines = snapshot_.all();
  std::vector<MachineIndex> machine_indices;
  double cpus = 0;
  for (const auto &machine : machines) {
    cpus += machine.size.cpus;
    machine_indices.push_back(machine.id);
    nominations_.set_open_to_small(machine.id, !machine.reserved_for_large);
  }
  queue_.set_available_cpus(cpus);
  const std::vector<JobIndex> jobs = queue_.waiting();
  fill_queue(jobs);
  if (last_round_.empty()) return;
  std::vector<const PlacementJob *> placements;
  for (const auto &queued : last_round_)
    placements.push_back(&queued.placement);
  std::vector<Reservation> reserved;
  const auto plan = place_round(std::move(machines), placements, context_.quotas.headroom(), options(), &reserved);
  const auto placed = placer_.place_all(plan, jobs, machine_indices);
  // Guards against a machine kept for a job that has waited too long being filled, place by place as places come free,
  // between two rounds over all machines.
  for (const auto &reservation : reserved)
    nominations_.nominate(reservation.machine, context_.jobs[reservation.job].spec.id,
                          context_.runtime.now() + kReservedFor);
  mark_seen();
  auto jobs_without_place = unplaced(jobs, placed);
  if (!jobs_without_place.empty()) preemption_.make_room(std::move(jobs_without_place));
}

void Scheduler::fill_queue(const std::vector<JobIndex> &jobs) {
  std::vector<Resources> wanted(context_.settings.teams.size());
  for (JobIndex job_index : jobs) {
    const Job &job = context_.jobs[job_index];
    queue_.note_waiting(job_index, kRoundInterval);
    QueuedJob queued{queue_.candidate(job_index), job.serial};
    const Team &team = context_.quotas.local_quota(job.team);
    Resources &team_wanted = wanted[static_cast<std::size_t>(job.team)];
    team_wanted.add(job.spec.need, job.spec.tasks - job.done);
    const bool has_guarantee = team.cpus > 0 || team.gpus > 0;
    queued.placement.guaranteed =
        has_guarantee && team_wanted.cpus <= team.cpus + kRounding && team_wanted.gpus <= team.gpus + kRounding;
    last_round_.push_back(std::move(queued));
  }
}

std::vector<JobIndex> Scheduler::unplaced(const std::vector<JobIndex> &jobs,
                                          const std::vector<std::uint32_t> &placed) const {
  std::vector<JobIndex> out;
  for (std::size_t i = 0; i < jobs.size(); ++i)
    if (last_round_[i].placement.limit > 0 && placed[i] == 0 && !context_.failure_attribution.suspected(jobs[i]))
      out.push_back(jobs[i]);
  return out;
}

void Scheduler::place_on(MachineIndex machine_index) {
  const Machine &machine = context_.workers[machine_index];
  if (!something_changed() || machine.returning() || !machine.downlink.accepts_commands()) return;
  if (!context_.leadership.active() || !context_.quotas.ready() || last_round_.empty()) return;
  const auto view = snapshot_.one(machine_index);
  if (!view) return;
  std::vector<const PlacementJob *> placements;
  std::vector<JobIndex> jobs;
  for (auto &queued : last_round_) {
    if (!has_room(queued.placement, *view) || !refresh(queued)) continue;
    placements.push_back(&queued.placement);
    jobs.push_back(queued.placement.index);
  }
  if (placements.empty()) return;
  placer_.place_all(place_round({*view}, placements, context_.quotas.headroom(), options()), jobs, {machine_index});
}

// Brings a job of the last round up to date; false: nothing of it may be placed now.
bool Scheduler::refresh(QueuedJob &queued) const {
  PlacementJob &placement = queued.placement;
  const JobIndex job_index = placement.index;
  const Job *job = context_.jobs.find(job_index);
  if (!job || job->serial != queued.serial || job->cancelled || job->ending || job->paused) return false;
  if (context_.ledger.budget_exhausted(job->team)) return false;
  const bool depends_on_other_tasks = placement.gang || placement.one_zone || placement.max_per_zone >= 0;
  if (depends_on_other_tasks || context_.failure_attribution.has_failed(job_index)) {
    const bool guaranteed = placement.guaranteed;
    placement = queue_.candidate(job_index);
    placement.guaranteed = guaranteed;
  } else {
    placement.pending = job->pending();
    placement.limit = job->pending();
  }
  return placement.limit > 0;
}

// ---- recording ahead ----

// How many tasks of each job are to be recorded ahead: as many as the fleet may start within the next seconds, counted
// in the order in which jobs will have their turn.
void Scheduler::record_ahead() {
  next_record_ahead_ = context_.runtime.now() + kRecordAheadInterval;
  std::vector<std::tuple<int, bool, double, JobIndex>> order; // -urgency, late, submission, job
  context_.jobs.each([&](JobIndex job_index, const Job &job) {
    if (job.cancelled || job.spec.shape == Shape::Gang || job.pending() == 0) return;
    if (!context_.dependencies.ready(job_index)) return;
    order.emplace_back(-static_cast<int>(context_.dependencies.priority(job_index)), !queue_.job(job_index).in_time,
                       job.submit_wall, job_index);
  });
  std::sort(order.begin(), order.end());
  double left_cpus = kRecordAheadShare * queue_.available_cpus();
  for (const auto &[negative_urgency, late, submit_wall, job_index] : order) {
    const Job &job = context_.jobs[job_index];
    const double fitting = std::max(0.0, left_cpus / std::max(0.01, job.spec.need.cpus));
    const auto wanted = std::max(kMinRecordAhead, static_cast<std::uint32_t>(std::min(kMaxRecordAhead, fitting)));
    const std::uint32_t ahead = std::min(job.pending(), wanted);
    left_cpus -= ahead * job.spec.need.cpus;
    context_.state_writer.set_prerecorded_tasks(job_index, ahead);
  }
}

} // namespace loftrouter::core
