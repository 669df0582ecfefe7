#include "loftrouter/core/jobs/failure_attribution.hpp"

#include <algorithm>
#include <cmath>

#include "loftrouter/core/runtime/growing_table.hpp"

namespace loftrouter::core {

namespace {
constexpr std::uint32_t kSuspectedAfterMachines = 2; // without any success
constexpr double kPauseAfterFailoverS = 20.0;        // for jobs that an earlier leader suspected
constexpr double kMachineAvoidedS = 120.0;           // after a failure of the job there
constexpr std::size_t kMaxFailuresPerJob = 8;
constexpr double kMaxRetryPauseS = 80.0; // between retries of a suspected job
constexpr int kMaxRetryExponent = 10;    // of the backoff, whose pause has reached its maximum long before
} // namespace

const FailureAttribution::JobHistory &FailureAttribution::history(JobIndex job_index) const {
  static const JobHistory kEmpty;
  return job_index.position() < job_histories_.size() ? job_histories_[job_index.position()] : kEmpty;
}

bool FailureAttribution::suspected(JobIndex job_index) const {
  return jobs_[job_index].done == 0 && failed_machine_count(job_index) >= kSuspectedAfterMachines;
}

std::uint32_t FailureAttribution::failed_machine_count(JobIndex job_index) const {
  return history(job_index).failed_machine_count;
}

double FailureAttribution::retry_at(JobIndex job_index) const {
  return history(job_index).retry_at;
}

std::vector<MachineIndex> FailureAttribution::avoided_machines(JobIndex job_index) const {
  std::vector<MachineIndex> avoided;
  for (const auto &failure : history(job_index).failures)
    if (runtime_.now() - failure.at < kMachineAvoidedS) avoided.push_back(failure.machine);
  return avoided;
}

// A failure is confirmed if the job has succeeded elsewhere, so that the job is not at fault.
bool FailureAttribution::MachineHistory::is_faulty() const {
  const auto confirmed_count = std::count_if(failed_jobs.begin(), failed_jobs.end(),
                                             [](const FailedJob &job) { return job.succeeded_elsewhere; });
  return confirmed_count >= 2 || failed_jobs.size() >= 3 || (confirmed_count >= 1 && error_count >= 3);
}

void FailureAttribution::restore(JobIndex job_index, std::uint32_t failed_machine_count) {
  JobHistory &job = get_or_create(job_histories_, job_index);
  job.failed_machine_count = failed_machine_count;
  if (suspected(job_index)) job.retry_at = runtime_.now() + kPauseAfterFailoverS;
}

void FailureAttribution::on(const TaskExited &event) {
  if (event.cause == ExitCause::Done && jobs_[event.job].spec.shape != Shape::Service) task_succeeded(event);
  if (event.cause == ExitCause::Error) task_failed(event);
}

void FailureAttribution::task_succeeded(const TaskExited &event) {
  MachineHistory &machine = get_or_create(machine_histories_, event.machine);
  machine.last_good_placement = std::max(machine.last_good_placement, event.placed_at);
  if (event.placed_at >= machine.failing_since) {
    machine.failed_jobs.clear();
    machine.error_count = 0;
  }
  JobHistory &job = get_or_create(job_histories_, event.job);
  job.failed_machine_count = 0;
  std::erase_if(job.failures,
                [this](const Failure &failure) { return runtime_.now() - failure.at >= kMachineAvoidedS; });
  for (const auto &failure : job.failures)
    count_against_machine(failure.machine, event.job, failure.at); // the job is not at fault, so the machine is
}

void FailureAttribution::task_failed(const TaskExited &event) {
  JobHistory &job = get_or_create(job_histories_, event.job);
  const bool was_suspected = suspected(event.job);
  record_failure(job, event.machine);
  if (!suspected(event.job)) {
    events_.publish(TaskRetried{event.job, event.machine_name});
    ++get_or_create(machine_histories_, event.machine).error_count;
    count_against_machine(event.machine, event.job, runtime_.now());
    return;
  }
  if (!was_suspected) suspect(event.job, job);
  if (runtime_.now() >= job.retry_at) schedule_retry(job);
}

void FailureAttribution::record_failure(JobHistory &history, MachineIndex machine_index) {
  const auto same_machine =
      std::find_if(history.failures.begin(), history.failures.end(),
                   [machine_index](const Failure &failure) { return failure.machine == machine_index; });
  if (same_machine != history.failures.end()) {
    same_machine->at = runtime_.now();
    return;
  }
  ++history.failed_machine_count;
  if (history.failures.size() >= kMaxFailuresPerJob) history.failures.erase(history.failures.begin());
  history.failures.push_back({machine_index, runtime_.now()});
}

void FailureAttribution::suspect(JobIndex job_index, JobHistory &history) {
  history.retries = 0;
  clear_machine_failures(job_index);
  events_.publish(JobSuspected{job_index, history.failed_machine_count});
  jobs_.publish_changed(job_index, false);
}

// Retries a suspected job with exponential backoff.
void FailureAttribution::schedule_retry(JobHistory &history) {
  const double first_pause_s = operators_.tunables().probe_pause_s;
  const double max_pause_s = std::max(kMaxRetryPauseS, first_pause_s);
  history.retry_at = runtime_.now() + std::min(max_pause_s, first_pause_s * std::pow(2.0, history.retries));
  history.retries = std::min(history.retries + 1, kMaxRetryExponent);
}

void FailureAttribution::count_against_machine(MachineIndex machine_index, JobIndex job_index, double failed_at) {
  MachineHistory &machine = get_or_create(machine_histories_, machine_index);
  if (machine.last_good_placement > failed_at) return; // a task placed after the failure has succeeded
  if (machine.failed_jobs.empty()) machine.failing_since = failed_at;
  const std::string &id = jobs_[job_index].spec.id;
  const bool succeeded_elsewhere = jobs_[job_index].done > 0;
  const auto existing = std::find_if(machine.failed_jobs.begin(), machine.failed_jobs.end(),
                                     [&id](const FailedJob &failed) { return failed.id == id; });
  if (existing == machine.failed_jobs.end())
    machine.failed_jobs.push_back({id, succeeded_elsewhere});
  else
    existing->succeeded_elsewhere |= succeeded_elsewhere;
  if (machine.quarantined || !machine.is_faulty()) return;
  machine.quarantined = true;
  events_.publish(MachineQuarantined{machine_index, machine.failed_jobs.size()});
}

// Stops counting the failures of the job against machines, because the job itself may be at fault.
void FailureAttribution::clear_machine_failures(JobIndex job_index) {
  const std::string &id = jobs_[job_index].spec.id;
  for (const auto &failure : get_or_create(job_histories_, job_index).failures) {
    MachineHistory &machine = get_or_create(machine_histories_, failure.machine);
    std::erase_if(machine.failed_jobs, [&id](const FailedJob &failed) { return failed.id == id; });
    if (machine.failed_jobs.empty()) machine.error_count = 0;
  }
}

void FailureAttribution::on(const JobCancelled &event) {
  if (jobs_[event.job].done == 0) clear_machine_failures(event.job);
}

void FailureAttribution::on(const MachineRemoved &event) {
  get_or_create(machine_histories_, event.machine) = {};
  for (auto &job : job_histories_)
    std::erase_if(job.failures, [&event](const Failure &failure) { return failure.machine == event.machine; });
}

void FailureAttribution::on(const TermEnded &) {
  job_histories_.clear();
  machine_histories_.clear();
}

} // namespace loftrouter::core
