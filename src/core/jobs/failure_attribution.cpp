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

std::uint32_t FailureAttribution::failed_on(int j) const {
  return static_cast<std::size_t>(j) < jobs_at_.size() ? jobs_at_[static_cast<std::size_t>(j)].failed_on : 0;
}

double FailureAttribution::retry_at(int j) const {
  return static_cast<std::size_t>(j) < jobs_at_.size() ? jobs_at_[static_cast<std::size_t>(j)].retry_at : 0;
}

std::vector<int> FailureAttribution::barred(int j) const {
  std::vector<int> out;
  if (static_cast<std::size_t>(j) >= jobs_at_.size()) return out;
  for (const auto &f : jobs_at_[static_cast<std::size_t>(j)].failures)
    if (runtime_.now() - f.at < kBarredFor) out.push_back(f.machine);
  return out;
}

void FailureAttribution::restore(int j, std::uint32_t failed_on) {
  Record &k = grown(jobs_at_, j);
  k.failed_on = failed_on;
  if (suspect(j)) k.retry_at = runtime_.now() + kPauseAfterTakeover;
}

void FailureAttribution::on(const TaskExited &e) {
  if (e.cause == ExitCause::Done && jobs_[e.job].spec.shape != Shape::Service) succeeded(e);
  if (e.cause == ExitCause::Error) failed(e);
}

void FailureAttribution::succeeded(const TaskExited &e) {
  Machine &n = grown(machines_, e.machine);
  // What had begun before the failures says nothing about what begins now.
  n.last_good_start = std::max(n.last_good_start, e.placed_at);
  if (e.placed_at >= n.failing_since) {
    n.blames.clear();
    n.errors = 0;
  }
  Record &k = grown(jobs_at_, e.job);
  k.failed_on = 0;
  std::erase_if(k.failures, [this](const Failure &f) { return runtime_.now() - f.at >= kBarredFor; });
  for (const auto &f : k.failures)
    blame(f.machine, e.job, f.at); // so it was the machines
}

void FailureAttribution::failed(const TaskExited &e) {
  Record &k = grown(jobs_at_, e.job);
  const bool was_suspect = suspect(e.job);
  auto here =
      std::find_if(k.failures.begin(), k.failures.end(), [&](const Failure &f) { return f.machine == e.machine; });
  if (here != k.failures.end()) {
    here->at = runtime_.now();
  } else {
    ++k.failed_on;
    if (k.failures.size() >= kMaxBarred) k.failures.erase(k.failures.begin());
    k.failures.push_back({e.machine, runtime_.now()});
  }
  if (!suspect(e.job)) {
    events_.publish(TaskRetried{e.job, e.machine_name});
    ++grown(machines_, e.machine).errors;
    blame(e.machine, e.job, runtime_.now());
    return;
  }
  if (!was_suspect) {
    k.probes = 0;
    absolve(e.job);
    events_.publish(JobSuspected{e.job, k.failed_on});
    jobs_.changed(e.job, false);
  }
  if (runtime_.now() >= k.retry_at) {
    const double pause = operators_.tunables().probe_pause_s;
    k.retry_at = runtime_.now() + std::min(std::max(kMaxProbePause, pause), pause * std::pow(2.0, k.probes));
    if (k.probes < 10) ++k.probes;
  }
}

void FailureAttribution::blame(int m, int j, double at_s) {
  Machine &n = grown(machines_, m);
  if (n.last_good_start > at_s) return;
  if (n.blames.empty()) n.failing_since = at_s;
  const std::string &id = jobs_[j].spec.id;
  const bool verified = jobs_[j].done > 0;
  auto it = std::find_if(n.blames.begin(), n.blames.end(), [&](const Blame &b) { return b.job == id; });
  if (it == n.blames.end())
    n.blames.push_back({id, verified});
  else
    it->verified |= verified;
  const auto sure = std::count_if(n.blames.begin(), n.blames.end(), [](const Blame &b) { return b.verified; });
  if (n.quarantined || (sure < 2 && n.blames.size() < 3 && !(sure && n.errors >= 3))) return;
  n.quarantined = true;
  events_.publish(MachineQuarantined{m, n.blames.size()});
}

void FailureAttribution::absolve(int j) {
  for (const auto &f : grown(jobs_at_, j).failures) {
    Machine &n = grown(machines_, f.machine);
    std::erase_if(n.blames, [&](const Blame &b) { return b.job == jobs_[j].spec.id; });
    if (n.blames.empty()) n.errors = 0;
  }
}

void FailureAttribution::on(const JobCancelled &e) {
  if (jobs_[e.job].done == 0) absolve(e.job); // its failures were more likely its own
}

void FailureAttribution::on(const MachineRemoved &e) {
  grown(machines_, e.machine) = {};
  for (auto &k : jobs_at_)
    std::erase_if(k.failures, [&](const Failure &f) { return f.machine == e.machine; });
}

void FailureAttribution::on(const TermEnded &) {
  jobs_at_.clear();
  machines_.clear();
}

} // namespace loftrouter::core
