#include "loftrouter/core/scheduling/scheduler.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace loftrouter::core {

namespace {
constexpr double kRoundIntervalS = 0.25;
constexpr double kFirstRoundDelayS = 0.5; // after the start of a term
constexpr double kReservationS = 1.0;     // renewed in each full round
constexpr double kPrerecordIntervalS = 0.25;
constexpr double kPrerecordCpuShare = 0.15;       // of the fleet's CPUs
constexpr std::uint32_t kMinPrerecordedTasks = 4; // per job
constexpr double kMaxPrerecordedTasks = 1e6;      // per job; keeps the conversion to an integer in range
constexpr double kRoundingTolerance = 1e-6;
} // namespace

Scheduler::Scheduler(const SchedulingContext &context)
    : context_(context), large_task_reservations_(context_), queue_(context_),
      snapshot_(context_, large_task_reservations_, nominations_), placer_(context_, queue_),
      preemption_(context_, snapshot_, queue_, nominations_, placer_) {}

void Scheduler::on(const TermStarted &) {
  next_round_ = context_.runtime.now() + kFirstRoundDelayS;
}

void Scheduler::on(const TermEnded &) {
  last_round_queue_.clear();
  queue_.clear();
  nominations_.clear();
}

PlacementOptions Scheduler::options() const {
  const auto &tunables = context_.operators.tunables();
  return {tunables.full_plan_bonus, tunables.age_weight,      tunables.image_weight,
          tunables.price_weight,    tunables.reserve_after_s, tunables.in_time_bonus};
}

void Scheduler::tick() {
  if (context_.runtime.now() >= next_round_) {
    preemption_.stop_teams_over_budget();
    run_full_round();
  }
  if (context_.runtime.now() >= next_prerecord_) prerecord_tasks();
}

void Scheduler::place_if_something_changed() {
  if (something_changed() && context_.runtime.now() >= next_round_) run_full_round();
}

void Scheduler::mark_changes_seen() {
  task_exited_ = false;
  arrivals_seen_ = context_.jobs.pending_work_version();
}

void Scheduler::run_full_round() {
  next_round_ = context_.runtime.now() + kRoundIntervalS;
  mark_changes_seen();
  last_round_queue_.clear();
  if (!context_.leadership.active() || !context_.quotas.ready()) return;
  auto machines = snapshot_.schedulable_machines();
  std::vector<MachineIndex> machine_indices;
  double cpus = 0;
  for (const auto &machine : machines) {
    cpus += machine.size.cpus;
    machine_indices.push_back(machine.index);
    nominations_.set_open_to_small_tasks(machine.index, !machine.reserved_for_large);
  }
  queue_.set_available_cpus(cpus);
  const std::vector<JobIndex> jobs = queue_.waiting_jobs();
  fill_queue(jobs);
  if (last_round_queue_.empty()) return;
  std::vector<const PlacementJob *> placement_jobs;
  for (const auto &queued : last_round_queue_)
    placement_jobs.push_back(&queued.placement_job);
  std::vector<MachineReservation> reserved;
  const auto plan = place_round(std::move(machines), placement_jobs, context_.quotas.headroom(), options(), &reserved);
  const auto placed = placer_.place_all(plan, jobs, machine_indices);
  // Guards against rounds for single machines filling a reserved machine between two full rounds.
  for (const auto &reservation : reserved)
    nominations_.nominate(reservation.machine, context_.jobs[reservation.job].spec.id,
                          context_.runtime.now() + kReservationS);
  mark_changes_seen();
  auto unplaced = unplaced_jobs(jobs, placed);
  if (!unplaced.empty()) preemption_.preempt_for(std::move(unplaced));
}

void Scheduler::fill_queue(const std::vector<JobIndex> &jobs) {
  std::vector<Resources> wanted_by_team(context_.settings.teams.size());
  for (JobIndex job_index : jobs) {
    const Job &job = context_.jobs[job_index];
    queue_.note_waiting(job_index, kRoundIntervalS);
    QueuedJob queued{queue_.job_relaxed_if_starved(job_index), job.serial};
    const Team &team = context_.quotas.local_quota(job.team);
    Resources &team_wanted = wanted_by_team[static_cast<std::size_t>(job.team)];
    team_wanted.add(job.spec.need, job.spec.tasks - job.done);
    const bool has_guarantee = team.cpus > 0 || team.gpus > 0;
    queued.placement_job.guaranteed = has_guarantee && team_wanted.cpus <= team.cpus + kRoundingTolerance &&
                                      team_wanted.gpus <= team.gpus + kRoundingTolerance;
    last_round_queue_.push_back(std::move(queued));
  }
}

std::vector<JobIndex> Scheduler::unplaced_jobs(const std::vector<JobIndex> &jobs,
                                               const std::vector<std::uint32_t> &placed) const {
  std::vector<JobIndex> result;
  for (std::size_t i = 0; i < jobs.size(); ++i)
    if (last_round_queue_[i].placement_job.limit > 0 && placed[i] == 0 &&
        !context_.failure_attribution.suspected(jobs[i]))
      result.push_back(jobs[i]);
  return result;
}

void Scheduler::place_on_machine(MachineIndex machine_index) {
  const Machine &machine = context_.workers[machine_index];
  if (!something_changed() || machine.returning() || !machine.downlink.accepts_commands()) return;
  if (!context_.leadership.active() || !context_.quotas.ready() || last_round_queue_.empty()) return;
  const auto machine_snapshot = snapshot_.schedulable_machine(machine_index);
  if (!machine_snapshot) return;
  std::vector<const PlacementJob *> placement_jobs;
  std::vector<JobIndex> jobs;
  for (auto &queued : last_round_queue_) {
    if (!fits_free_resources(queued.placement_job, *machine_snapshot) || !refresh(queued)) continue;
    placement_jobs.push_back(&queued.placement_job);
    jobs.push_back(queued.placement_job.index);
  }
  if (placement_jobs.empty()) return;
  placer_.place_all(place_round({*machine_snapshot}, placement_jobs, context_.quotas.headroom(), options()), jobs,
                    {machine_index});
}

// Updates a queue entry from the last full round. Returns false if none of the job's tasks may be placed now.
bool Scheduler::refresh(QueuedJob &queued) const {
  PlacementJob &placement_job = queued.placement_job;
  const JobIndex job_index = placement_job.index;
  const Job *job = context_.jobs.find(job_index);
  if (!job || job->serial != queued.serial || job->cancelled || job->ending || job->paused) return false;
  if (context_.ledger.budget_exhausted(job->team)) return false;
  const bool depends_on_other_tasks = placement_job.gang || placement_job.one_zone || placement_job.max_per_zone >= 0;
  if (depends_on_other_tasks || context_.failure_attribution.has_failed(job_index)) {
    const bool guaranteed = placement_job.guaranteed;
    placement_job = queue_.job_relaxed_if_starved(job_index);
    placement_job.guaranteed = guaranteed;
  } else {
    placement_job.pending = job->pending();
    placement_job.limit = job->pending();
  }
  return placement_job.limit > 0;
}

// Has tasks recorded as started before they are placed, so that they can start without waiting for the record: as many
// as the fleet may start within seconds.
void Scheduler::prerecord_tasks() {
  next_prerecord_ = context_.runtime.now() + kPrerecordIntervalS;
  std::vector<std::tuple<int, bool, double, JobIndex>> order; // -priority, late, submission, job
  context_.jobs.each([&](JobIndex job_index, const Job &job) {
    if (job.cancelled || job.spec.shape == Shape::Gang || job.pending() == 0) return;
    if (!context_.dependencies.ready(job_index)) return;
    order.emplace_back(-static_cast<int>(context_.dependencies.priority(job_index)),
                       !queue_.placement_job(job_index).in_time, job.submit_wall, job_index);
  });
  std::sort(order.begin(), order.end());
  double left_cpus = kPrerecordCpuShare * queue_.available_cpus();
  for (const auto &[negative_priority, late, submit_wall, job_index] : order) {
    const Job &job = context_.jobs[job_index];
    const double fitting_tasks = std::max(0.0, left_cpus / std::max(0.01, job.spec.need.cpus));
    const auto wanted =
        std::max(kMinPrerecordedTasks, static_cast<std::uint32_t>(std::min(kMaxPrerecordedTasks, fitting_tasks)));
    const std::uint32_t prerecorded = std::min(job.pending(), wanted);
    left_cpus -= prerecorded * job.spec.need.cpus;
    context_.state_writer.set_prerecorded_tasks(job_index, prerecorded);
  }
}

} // namespace loftrouter::core
