#include "loftrouter/core/jobs/failure_attribution.hpp"

#include <algorithm>
#include <cmath>

namespace loftrouter::core {

namespace {
constexpr double kPauseAfterTakeover = 20.0; // s, of a job that failed everywhere under the last leader
constexpr double kBarredFor = 120.0;         // s, that a job keeps off a machine on which it has failed
constexpr std::size_t kMaxBarred = 8;
constexpr double kMaxProbePause = 80.0; // s, between tries of a job that fails everywhere
} // namespace

std::uint32_t FailureAttribution::failed_on(JobIndex job_index) const {
  return job_index.position() < jobs_at_.size() ? jobs_at_[job_index.position()].failed_on : 0;
}

double FailureAttribution::retry_at(JobIndex job_index) const {
  return job_index.position() < jobs_at_.size() ? jobs_at_[job_index.position()].retry_at : 0;
}

std::vector<MachineIndex> FailureAttribution::barred(JobIndex job_index) const {
  std::vector<MachineIndex> out;
  if (job_index.position() >= jobs_at_.size()) return out;
  for (const auto &f : jobs_at_[job_index.position()].failures)
    if (runtime_.now() - f.at < kBarredFor) out.push_back(f.machine);
  return out;
}

void FailureAttribution::restore(JobIndex job_index, std::uint32_t failed_on) {
  Record &record = grown(jobs_at_, job_index);
  record.failed_on = failed_on;
  if (suspect(job_index)) record.retry_at = runtime_.now() + kPauseAfterTakeover;
}

void FailureAttribution::on(const TaskExited &event) {
  if (event.cause == ExitCause::Done && jobs_[event.job].spec.shape != Shape::Service) succeeded(event);
  if (event.cause == ExitCause::Error) failed(event);
}

void FailureAttribution::succeeded(const TaskExited &event) {
  Machine &machine = grown(machines_, event.machine);
  // What had begun before the failures says nothing about what begins now.
  machine.last_good_start = std::max(machine.last_good_start, event.placed_at);
  if (event.placed_at >= machine.failing_since) {
    machine.blames.clear();
    machine.errors = 0;
  }
  Record &record = grown(jobs_at_, event.job);
  record.failed_on = 0;
  std::erase_if(record.failures, [this](const Failure &f) { return runtime_.now() - f.at >= kBarredFor; });
  for (const auto &f : record.failures)
    blame(f.machine, event.job, f.at); // so it was the machines
}

void FailureAttribution::failed(const TaskExited &event) {
  Record &record = grown(jobs_at_, event.job);
  const bool was_suspect = suspect(event.job);
  auto here = std::find_if(record.failures.begin(), record.failures.end(),
                           [&](const Failure &f) { return f.machine == event.machine; });
  if (here != record.failures.end()) {
    here->at = runtime_.now();
  } else {
    ++record.failed_on;
    if (record.failures.size() >= kMaxBarred) record.failures.erase(record.failures.begin());
    record.failures.push_back({event.machine, runtime_.now()});
  }
  if (!suspect(event.job)) {
    events_.publish(TaskRetried{event.job, event.machine_name});
    ++grown(machines_, event.machine).errors;
    blame(event.machine, event.job, runtime_.now());
    return;
  }
  if (!was_suspect) {
    record.probes = 0;
    absolve(event.job);
    events_.publish(JobSuspected{event.job, record.failed_on});
    jobs_.changed(event.job, false);
  }
  if (runtime_.now() >= record.retry_at) {
    const double pause = operators_.tunables().probe_pause_s;
    record.retry_at = runtime_.now() + std::min(std::max(kMaxProbePause, pause), pause * std::pow(2.0, record.probes));
    if (record.probes < 10) ++record.probes;
  }
}

void FailureAttribution::blame(MachineIndex machine_index, JobIndex job_index, double at_s) {
  Machine &machine = grown(machines_, machine_index);
  if (machine.last_good_start > at_s) return;
  if (machine.blames.empty()) machine.failing_since = at_s;
  const std::string &id = jobs_[job_index].spec.id;
  const bool verified = jobs_[job_index].done > 0;
  auto it = std::find_if(machine.blames.begin(), machine.blames.end(), [&](const Blame &b) { return b.job == id; });
  if (it == machine.blames.end())
    machine.blames.push_back({id, verified});
  else
    it->verified |= verified;
  const auto sure =
      std::count_if(machine.blames.begin(), machine.blames.end(), [](const Blame &b) { return b.verified; });
  if (machine.quarantined || (sure < 2 && machine.blames.size() < 3 && !(sure && machine.errors >= 3))) return;
  machine.quarantined = true;
  events_.publish(MachineQuarantined{machine_index, machine.blames.size()});
}

void FailureAttribution::absolve(JobIndex job_index) {
  for (const auto &f : grown(jobs_at_, job_index).failures) {
    Machine &machine = grown(machines_, f.machine);
    std::erase_if(machine.blames, [&](const Blame &b) { return b.job == jobs_[job_index].spec.id; });
    if (machine.blames.empty()) machine.errors = 0;
  }
}

void FailureAttribution::on(const JobCancelled &event) {
  if (jobs_[event.job].done == 0) absolve(event.job); // its failures were more likely its own
}

void FailureAttribution::on(const MachineRemoved &event) {
  grown(machines_, event.machine) = {};
  for (auto &k : jobs_at_)
    std::erase_if(k.failures, [&](const Failure &f) { return f.machine == event.machine; });
}

void FailureAttribution::on(const TermEnded &) {
  jobs_at_.clear();
  machines_.clear();
}

} // namespace loftrouter::core
