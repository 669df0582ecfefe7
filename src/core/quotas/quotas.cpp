#include "loftrouter/core/quotas/quotas.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include "loftrouter/core/quotas/quota_shares.hpp"

namespace loftrouter::core {

namespace {
constexpr double kTickS = 0.5;
constexpr double kTolerance = 1e-6; // CPUs, GPUs
using wire::Amounts;

double unlimited_if_none(double limit) {
  return limit > 0 ? limit : Amounts::kUnlimited;
}

// Converts to the form of `Team`, where 0 means no limit: a limit of 0 becomes one too small for any task.
double none_if_unlimited(double limit) {
  return std::isfinite(limit) ? std::max(limit, std::numeric_limits<double>::min()) : 0;
}

Amounts smaller(const Amounts &left, const Amounts &right) {
  return {std::min(left.cpus, right.cpus), std::min(left.gpus, right.gpus)};
}

Team with_limits(const Team &team, const wire::QuotaLimits &limits) {
  Team out = team;
  out.cpus = std::min(limits.guaranteed.cpus, limits.most.cpus);
  out.gpus = std::min(limits.guaranteed.gpus, limits.most.gpus);
  out.cpus_max = none_if_unlimited(limits.most.cpus);
  out.gpus_max = none_if_unlimited(limits.most.gpus);
  return out;
}

bool exceeds(const Resources &used, const Team &limit) {
  return (limit.cpus_max > 0 && used.cpus > limit.cpus_max + kTolerance) ||
         (limit.gpus_max > 0 && used.gpus > limit.gpus_max + kTolerance);
}
} // namespace

Quotas::Quotas(Runtime &runtime, Events &events, const Settings &settings, const Configuration &configuration,
               const Leadership &leadership, const JobTable &jobs, WorkerRegistry &workers)
    : runtime_(runtime), events_(events), settings_(settings), configuration_(configuration), leadership_(leadership),
      jobs_(jobs), workers_(workers), cells_{settings.cells.name}, local_(settings.teams), total_(settings.teams),
      largest_share_(settings.teams.size()), over_since_(settings.teams.size(), -1) {
  for (const auto &cell : settings.cells.others)
    cells_.push_back(cell.name);
  for (int team = 0; team < static_cast<int>(local_.size()); ++team)
    update_limits(team);
}

wire::QuotaLimits Quotas::platform_limits(int team) const {
  const Team &team_quota = settings_.teams[static_cast<std::size_t>(team)];
  return {{team_quota.cpus, team_quota.gpus},
          {unlimited_if_none(team_quota.cpus_max), unlimited_if_none(team_quota.gpus_max)}};
}

int Quotas::find_team(const std::string &name) const {
  for (std::size_t team = 0; team < settings_.teams.size(); ++team)
    if (settings_.teams[team].name == name) return static_cast<int>(team);
  return -1;
}

std::optional<wire::QuotaRecord> Quotas::record(const std::string &team) const {
  const auto *found = settings_.configuration ? configuration_.find(std::string(wire::kConfigQuota) + team) : nullptr;
  return found ? wire::quota_from_json(found->value) : std::nullopt;
}

void Quotas::update_limits(int team) {
  const Team &team_quota = settings_.teams[static_cast<std::size_t>(team)];
  const auto platform = platform_limits(team);
  const auto even = cells::even_share(platform.most, cells_.size());
  wire::QuotaLimits total = platform, local = platform;
  local.most = even;
  largest_share_[static_cast<std::size_t>(team)] = std::isfinite(even.cpus) ? even.cpus : 0;
  if (const auto stored = record(team_quota.name)) {
    total.most = smaller(platform.most, stored->limits.most);
    total.guaranteed = stored->limits.guaranteed;
    local.guaranteed = stored->limits.guaranteed;
    local.most = total.most;
    if (cells_.size() > 1) {
      const auto cap = stored->caps.find(this_cell());
      local.most = smaller(platform.most, cap != stored->caps.end() ? cap->second : Amounts{});
      double largest = 0;
      for (const auto &[cell, amounts] : stored->caps)
        largest = std::max(largest, amounts.cpus);
      largest_share_[static_cast<std::size_t>(team)] = std::isfinite(largest) ? largest : 0;
    }
  }
  local_[static_cast<std::size_t>(team)] = with_limits(team_quota, local);
  total_[static_cast<std::size_t>(team)] = with_limits(team_quota, total);
}

void Quotas::on(const ConfigurationChanged &event) {
  if (!event.key.starts_with(wire::kConfigQuota)) return;
  const int team = find_team(event.key.substr(wire::kConfigQuota.size()));
  if (team < 0) return;
  if (const auto *found = configuration_.find(event.key); found && !wire::quota_from_json(found->value))
    runtime_.log(LogLevel::Error, "quota_record_rejected",
                 {{"record", event.key}, {"then", "using the limit of the settings file"}});
  update_limits(team);
  if (leadership_.leading()) release_unsent_excess(team);
}

void Quotas::on(const TermStarted &) {
  std::fill(over_since_.begin(), over_since_.end(), -1);
  next_tick_ = 0;
}

std::vector<Resources> Quotas::used() const {
  std::vector<Resources> out(local_.size());
  jobs_.each([&out](JobIndex, const Job &job) {
    if (job.team < 0) return;
    const double tasks = job.placed + job.unaccounted + job.delegated; // the limit covers delegated tasks too
    out[static_cast<std::size_t>(job.team)].add(job.spec.need, tasks);
  });
  return out;
}

std::vector<Resources> Quotas::headroom() const {
  std::vector<Resources> out;
  bool any_limit = false;
  for (const auto &team : local_) {
    out.push_back({team.cpus_max > 0 ? team.cpus_max : -1, team.gpus_max > 0 ? team.gpus_max : -1, -1});
    any_limit |= team.cpus_max > 0 || team.gpus_max > 0;
  }
  if (!any_limit) return out;
  const auto in_use = used();
  for (std::size_t team = 0; team < out.size(); ++team) {
    if (out[team].cpus >= 0) out[team].cpus = std::max(0.0, out[team].cpus - in_use[team].cpus);
    if (out[team].gpus >= 0) out[team].gpus = std::max(0.0, out[team].gpus - in_use[team].gpus);
  }
  return out;
}

// ---- lowered limits ----

// Releases tasks beyond the limit that were placed but not sent: their start would violate a limit already in force.
void Quotas::release_unsent_excess(int team) {
  if (!exceeds(used()[static_cast<std::size_t>(team)], local_quota(team))) return;
  std::vector<JobIndex> jobs;
  jobs_.each([&](JobIndex job_index, const Job &job) {
    if (job.team == team && job.placed > 0) jobs.push_back(job_index);
  });
  for (JobIndex job_index : jobs) {
    if (!exceeds(used()[static_cast<std::size_t>(team)], local_quota(team))) return;
    workers_.release_unsent(job_index);
  }
}

void Quotas::tick() {
  if (!settings_.configuration || !leadership_.active() || runtime_.now() < next_tick_) return;
  next_tick_ = runtime_.now() + kTickS;
  const auto in_use = used();
  for (std::size_t team = 0; team < local_.size(); ++team) {
    if (!exceeds(in_use[team], local_[team])) {
      over_since_[team] = -1;
      continue;
    }
    if (over_since_[team] < 0) {
      over_since_[team] = runtime_.now();
      runtime_.log(LogLevel::Info, "team_quota_exceeded",
                   {{"team", local_[team].name}, {"cpus", in_use[team].cpus}, {"limit", local_[team].cpus_max}});
    }
    if (runtime_.now() - over_since_[team] > kOverLimitGraceS) stop_excess(static_cast<int>(team));
  }
}

// Stops tasks of the newest jobs first: single tasks of an array, all tasks of a gang. Tasks that are already stopping
// count as stopped.
void Quotas::stop_excess(int team) {
  const Team &limit = local_quota(team);
  Resources remaining = used()[static_cast<std::size_t>(team)];
  struct Candidate {
    double submitted, placed_at;
    JobIndex job;
    MachineIndex machine;
    std::size_t allocation;
    auto order() const { return std::tuple(submitted, job, placed_at, machine, allocation); }
  };
  const bool cpus = limit.cpus_max > 0 && remaining.cpus > limit.cpus_max,
             gpus = limit.gpus_max > 0 && remaining.gpus > limit.gpus_max;
  std::vector<Candidate> candidates;
  workers_.each([&](MachineIndex machine_index, const Machine &machine) {
    for (std::size_t index = 0; index < machine.allocations.size(); ++index) {
      const Allocation &allocation = machine.allocations[index];
      if (!allocation.job.valid() || allocation.completed() || jobs_[allocation.job].team != team) continue;
      if (!(cpus && allocation.need.cpus > 0) && !(gpus && allocation.need.gpus > 0))
        continue; // stopping it would not reduce the excess
      if (allocation.stop_requested())
        remaining.add(allocation.need, -1);
      else
        candidates.push_back(
            {jobs_[allocation.job].submit_wall, allocation.placed_at, allocation.job, machine_index, index});
    }
  });
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate &left, const Candidate &right) { return left.order() > right.order(); });
  JobIndex current_gang;
  std::vector<std::pair<MachineIndex, std::size_t>> stops;
  std::vector<JobIndex> jobs;
  for (const auto &candidate : candidates) {
    const Job &job = jobs_[candidate.job];
    const bool is_gang = job.spec.shape == Shape::Gang;
    if (!exceeds(remaining, limit) && !(is_gang && candidate.job == current_gang)) break;
    current_gang = is_gang ? candidate.job : JobIndex();
    remaining.add(job.spec.need, -1);
    if (!is_gang)
      stops.emplace_back(candidate.machine, candidate.allocation);
    else if (std::find(jobs.begin(), jobs.end(), candidate.job) == jobs.end())
      jobs.push_back(candidate.job);
  }
  std::sort(stops.rbegin(), stops.rend()); // from the end: an allocation that is released at once shifts later ones
  for (auto [machine, allocation] : stops)
    workers_.stop(machine, allocation, jobs_[workers_[machine].allocations[allocation].job].spec.save_s + 1);
  for (JobIndex job_index : jobs)
    workers_.stop_job(job_index, jobs_[job_index].spec.save_s + 1);
  if (!stops.empty() || !jobs.empty())
    runtime_.log(LogLevel::Info, "over_quota_tasks_stopped",
                 {{"team", limit.name}, {"tasks", stops.size()}, {"gangs", jobs.size()}});
}

} // namespace loftrouter::core
