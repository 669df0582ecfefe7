#include "judge.hpp"

#include <algorithm>
#include <numeric>

#include <fmt/format.h>

namespace loftrouter::scale {

namespace {
constexpr std::size_t kMaxTexts = 20;
constexpr double kSlack = 1e-3; // CPUs
} // namespace

Judge::Judge(const Scenario &scenario, const Workload &workload)
    : scenario_(scenario), workload_(workload),
      team_cpus_(static_cast<std::size_t>(scenario.teams),
                 std::vector<double>(static_cast<std::size_t>(scenario.regions))) {
  for (const auto &c : scenario.classes)
    waits_.push_back({c.name, {}});
}

void Judge::found(const std::string &rule, const std::string &text) {
  ++broken_[rule];
  if (texts_.size() < kMaxTexts) texts_.push_back(rule + ": " + text);
}

Judge::Job &Judge::job(std::uint32_t number) {
  auto it = jobs_.find(number);
  if (it != jobs_.end()) return it->second;
  Job job;
  job.plan = workload_.job(number);
  job.started.resize(job.plan.spec.tasks);
  job.completed.resize(job.plan.spec.tasks);
  return jobs_.emplace(number, std::move(job)).first->second;
}

void Judge::add(JudgeEvent event) {
  late_events_ += event.at < judged_up_to_;
  held_.push(event);
}

void Judge::advance(double now) {
  judged_up_to_ = std::max(judged_up_to_, now - kSettle);
  while (!held_.empty() && held_.top().at <= now - kSettle) {
    const JudgeEvent e = held_.top();
    held_.pop();
    judge(e);
  }
  check_cancelled(now - kSettle);
}

void Judge::judge(const JudgeEvent &e) {
  Job &j = job(e.job);
  switch (e.kind) {
  case JudgeEvent::Kind::Submitted:
    j.submitted = e.at;
    return;
  case JudgeEvent::Kind::Accepted:
    return;
  case JudgeEvent::Kind::Cancelled:
    j.cancelled = e.at;
    cancelled_.emplace(e.at + scenario_.cancel_s, e.job);
    return;
  case JudgeEvent::Kind::Done:
    ++done_;
    if (j.completed_count < j.plan.spec.tasks)
      found("not_done", fmt::format("{} with {} of {} tasks", j.plan.spec.id, j.completed_count, j.plan.spec.tasks));
    return;
  case JudgeEvent::Kind::TaskOn:
    return task_on(e);
  case JudgeEvent::Kind::TaskOff:
    return task_off(e);
  }
}

void Judge::task_on(const JudgeEvent &e) {
  Job &j = job(e.job);
  const auto &spec = j.plan.spec;
  if (j.submitted < 0) found("invented", fmt::format("{}/{} started, never submitted", spec.id, e.index));
  if (const auto it = on_.find(key(e)); it != on_.end())
    found("ran_twice", fmt::format("{}/{} on {} while on {}", spec.id, e.index, e.worker, it->second.worker));
  on_[key(e)] = {e.worker, e.attempt};
  const auto place = workload_.worker(e.worker);
  const bool other_zone = spec.one_zone && std::any_of(j.zones.begin(), j.zones.end(), [&](const auto &zone) {
                            return zone.second > 0 && zone.first != place.zone_name;
                          });
  if (other_zone) found("wrong_place", fmt::format("{}/{} in {}", spec.id, e.index, place.zone_name));
  ++j.zones[place.zone_name];
  ++j.on_machines;
  count_team(j, 1);
  if (j.cancelled >= 0 && e.at > j.cancelled) ++late_starts_;
  if (j.cancelled >= 0 && e.at > j.cancelled + scenario_.cancel_s)
    found("ran_cancelled", fmt::format("{}/{} started {:.1f} s after", spec.id, e.index, e.at - j.cancelled));
  if (e.at >= measure_from_) ++starts_;
  if (e.index >= j.started.size() || j.started[e.index]) return;
  j.started[e.index] = true;
  if (j.submitted >= measure_from_)
    waits_[static_cast<std::size_t>(j.plan.job_class)].all.push_back(e.at - j.submitted);
}

void Judge::task_off(const JudgeEvent &e) {
  Job &j = job(e.job);
  if (const auto it = on_.find(key(e)); it != on_.end() && it->second.worker == e.worker) on_.erase(it);
  --j.zones[workload_.worker(e.worker).zone_name];
  --j.on_machines;
  count_team(j, -1);
  if (e.cause != ExitCause::Done || e.index >= j.completed.size() || j.completed[e.index]) return;
  j.completed[e.index] = true;
  ++j.completed_count;
}

void Judge::count_team(const Job &j, int tasks) {
  auto &by_region = team_cpus_[static_cast<std::size_t>(j.plan.team)];
  by_region[static_cast<std::size_t>(j.plan.region)] += tasks * j.plan.spec.need.cpus;
  if (tasks < 0) return;
  const double limit = workload_.team_limit(j.plan.team);
  if (limit <= 0) return;
  const double all = std::accumulate(by_region.begin(), by_region.end(), 0.0);
  max_over_limit_ = std::max(max_over_limit_, all - limit);
  if (by_region[static_cast<std::size_t>(j.plan.region)] > limit + kSlack)
    found("quota", fmt::format("{} in one region", j.plan.spec.team));
  else if (all > limit + kSlack)
    found("quota_over_regions", fmt::format("{}: {:.1f} of {:.1f} CPUs", j.plan.spec.team, all, limit));
}

void Judge::check_cancelled(double now) {
  while (!cancelled_.empty() && cancelled_.begin()->first < now) {
    Job &j = job(cancelled_.begin()->second);
    cancelled_.erase(cancelled_.begin());
    if (j.on_machines > 0)
      found("ran_cancelled", fmt::format("{}: {} tasks still on machines", j.plan.spec.id, j.on_machines));
  }
}

} // namespace loftrouter::scale
