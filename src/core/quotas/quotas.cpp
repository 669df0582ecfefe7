#include "loftrouter/core/quotas/quotas.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include "loftrouter/core/quotas/quota_shares.hpp"

namespace loftrouter::core {

namespace {
constexpr double kTick = 0.5;   // s
constexpr double kSlack = 1e-6; // CPUs, GPUs
using wire::Amounts;

double unlimited_if_none(double limit) {
  return limit > 0 ? limit : Amounts::kUnlimited;
}

// As a Team has it. A limit of nothing at all is one that nothing fits.
double none_if_unlimited(double limit) {
  return std::isfinite(limit) ? std::max(limit, std::numeric_limits<double>::min()) : 0;
}

Amounts smaller(const Amounts &a, const Amounts &amounts) {
  return {std::min(a.cpus, amounts.cpus), std::min(a.gpus, amounts.gpus)};
}

Team with_limits(const Team &team, const wire::QuotaLimits &limits) {
  Team out = team;
  out.cpus = std::min(limits.guaranteed.cpus, limits.most.cpus);
  out.gpus = std::min(limits.guaranteed.gpus, limits.most.gpus);
  out.cpus_max = none_if_unlimited(limits.most.cpus);
  out.gpus_max = none_if_unlimited(limits.most.gpus);
  return out;
}

bool beyond(const Resources &used, const Team &limit) {
  return (limit.cpus_max > 0 && used.cpus > limit.cpus_max + kSlack) ||
         (limit.gpus_max > 0 && used.gpus > limit.gpus_max + kSlack);
}
} // namespace

Quotas::Quotas(Runtime &runtime, Events &events, const Settings &settings, const Configuration &configuration,
               const Leadership &leadership, const JobTable &jobs, WorkerRegistry &workers)
    : runtime_(runtime), events_(events), settings_(settings), configuration_(configuration), leadership_(leadership),
      jobs_(jobs), workers_(workers), cells_{settings.cells.name}, here_(settings.teams), whole_(settings.teams),
      largest_share_(settings.teams.size()), over_since_(settings.teams.size(), -1) {
  for (const auto &c : settings.cells.others)
    cells_.push_back(c.name);
  for (int team = 0; team < static_cast<int>(here_.size()); ++team)
    read(team);
}

wire::QuotaLimits Quotas::platform_limits(int team) const {
  const Team &team_quota = settings_.teams[static_cast<std::size_t>(team)];
  return {{team_quota.cpus, team_quota.gpus},
          {unlimited_if_none(team_quota.cpus_max), unlimited_if_none(team_quota.gpus_max)}};
}

int Quotas::find_team(const std::string &name) const {
  for (std::size_t t = 0; t < settings_.teams.size(); ++t)
    if (settings_.teams[t].name == name) return static_cast<int>(t);
  return -1;
}

std::optional<wire::QuotaRecord> Quotas::record(const std::string &team) const {
  const auto *found = settings_.configuration ? configuration_.find(std::string(wire::kConfigQuota) + team) : nullptr;
  return found ? wire::quota_from_json(found->value) : std::nullopt;
}

void Quotas::read(int team) {
  const Team &team_quota = settings_.teams[static_cast<std::size_t>(team)];
  const auto file = platform_limits(team);
  const auto even = cells::even_share(file.most, cells_.size());
  wire::QuotaLimits whole = file, mine = file;
  mine.most = even;
  largest_share_[static_cast<std::size_t>(team)] = std::isfinite(even.cpus) ? even.cpus : 0;
  if (const auto r = record(team_quota.name)) {
    whole.most = smaller(file.most, r->limits.most);
    whole.guaranteed = r->limits.guaranteed;
    mine.guaranteed = r->limits.guaranteed;
    mine.most = whole.most;
    if (cells_.size() > 1) {
      const auto cap = r->caps.find(this_cell());
      mine.most = smaller(file.most, cap != r->caps.end() ? cap->second : Amounts{});
      double largest = 0;
      for (const auto &[cell, a] : r->caps)
        largest = std::max(largest, a.cpus);
      largest_share_[static_cast<std::size_t>(team)] = std::isfinite(largest) ? largest : 0;
    }
  }
  here_[static_cast<std::size_t>(team)] = with_limits(team_quota, mine);
  whole_[static_cast<std::size_t>(team)] = with_limits(team_quota, whole);
}

void Quotas::on(const ConfigurationChanged &event) {
  if (!event.key.starts_with(wire::kConfigQuota)) return;
  const int team = find_team(event.key.substr(wire::kConfigQuota.size()));
  if (team < 0) return;
  if (const auto *found = configuration_.find(event.key); found && !wire::quota_from_json(found->value))
    runtime_.log(LogLevel::Error, "quota_record_rejected",
                 {{"record", event.key}, {"then", "the settings file's limit"}});
  read(team);
  if (leadership_.leading()) withdraw_beyond(team);
}

void Quotas::on(const TermStarted &) {
  std::fill(over_since_.begin(), over_since_.end(), -1);
  next_tick_ = 0;
}

std::vector<Resources> Quotas::used() const {
  std::vector<Resources> out(here_.size());
  jobs_.each([&out](JobIndex, const Job &job) {
    if (job.team < 0) return;
    const double on = job.placed + job.unaccounted + job.delegated; // the limit holds over all cells together
    out[static_cast<std::size_t>(job.team)].add(job.spec.need, on);
  });
  return out;
}

std::vector<Resources> Quotas::headroom() const {
  std::vector<Resources> out;
  bool limits = false;
  for (const auto &t : here_) {
    out.push_back({t.cpus_max > 0 ? t.cpus_max : -1, t.gpus_max > 0 ? t.gpus_max : -1, -1});
    limits |= t.cpus_max > 0 || t.gpus_max > 0;
  }
  if (!limits) return out;
  const auto all = used();
  for (std::size_t t = 0; t < out.size(); ++t) {
    if (out[t].cpus >= 0) out[t].cpus = std::max(0.0, out[t].cpus - all[t].cpus);
    if (out[t].gpus >= 0) out[t].gpus = std::max(0.0, out[t].gpus - all[t].gpus);
  }
  return out;
}

// ---- a lowered limit ----

// What was placed and not sent is taken back: it would be a start beyond a limit that has been applied.
void Quotas::withdraw_beyond(int team) {
  if (!beyond(used()[static_cast<std::size_t>(team)], local_quota(team))) return;
  std::vector<JobIndex> jobs;
  jobs_.each([&](JobIndex job_index, const Job &job) {
    if (job.team == team && job.placed > 0) jobs.push_back(job_index);
  });
  for (JobIndex job_index : jobs) {
    if (!beyond(used()[static_cast<std::size_t>(team)], local_quota(team))) return;
    workers_.release_unsent(job_index);
  }
}

void Quotas::tick() {
  if (!settings_.configuration || !leadership_.active() || runtime_.now() < next_tick_) return;
  next_tick_ = runtime_.now() + kTick;
  const auto all = used();
  for (std::size_t t = 0; t < here_.size(); ++t) {
    if (!beyond(all[t], here_[t])) {
      over_since_[t] = -1;
      continue;
    }
    if (over_since_[t] < 0) {
      over_since_[t] = runtime_.now();
      runtime_.log(LogLevel::Info, "team_quota_exceeded",
                   {{"team", here_[t].name}, {"cpus", all[t].cpus}, {"limit", here_[t].cpus_max}});
    }
    if (runtime_.now() - over_since_[t] > kOverLimitGraceS) stop_beyond(static_cast<int>(t));
  }
}

// The youngest jobs first; of an array its tasks one by one, of a gang all. What is stopping already counts as gone.
void Quotas::stop_beyond(int team) {
  const Team &limit = local_quota(team);
  Resources left = used()[static_cast<std::size_t>(team)];
  struct Place {
    double submitted, placed_at;
    JobIndex job;
    MachineIndex machine;
    std::size_t allocation;
    auto order() const { return std::tuple(submitted, job, placed_at, machine, allocation); }
  };
  const bool cpus = limit.cpus_max > 0 && left.cpus > limit.cpus_max,
             gpus = limit.gpus_max > 0 && left.gpus > limit.gpus_max;
  std::vector<Place> places;
  workers_.each([&](MachineIndex machine_index, const Machine &machine) {
    for (std::size_t s = 0; s < machine.allocations.size(); ++s) {
      const Allocation &allocation = machine.allocations[s];
      if (!allocation.job.valid() || allocation.completed() || jobs_[allocation.job].team != team) continue;
      if (!(cpus && allocation.need.cpus > 0) && !(gpus && allocation.need.gpus > 0))
        continue; // its end would help nobody
      if (allocation.stop_requested())
        left.add(allocation.need, -1);
      else
        places.push_back({jobs_[allocation.job].submit_wall, allocation.placed_at, allocation.job, machine_index, s});
    }
  });
  std::sort(places.begin(), places.end(), [](const Place &a, const Place &b) { return a.order() > b.order(); });
  JobIndex gang;
  std::vector<std::pair<MachineIndex, std::size_t>> stops;
  std::vector<JobIndex> jobs;
  for (const auto &p : places) {
    const Job &job = jobs_[p.job];
    const bool whole = job.spec.shape == Shape::Gang;
    if (!beyond(left, limit) && !(whole && p.job == gang)) break;
    gang = whole ? p.job : JobIndex();
    left.add(job.spec.need, -1);
    if (!whole)
      stops.emplace_back(p.machine, p.allocation);
    else if (std::find(jobs.begin(), jobs.end(), p.job) == jobs.end())
      jobs.push_back(p.job);
  }
  std::sort(stops.rbegin(), stops.rend()); // a slot that goes at once moves those after it
  for (auto [m, s] : stops)
    workers_.stop(m, s, jobs_[workers_[m].allocations[s].job].spec.save_s + 1);
  for (JobIndex job_index : jobs)
    workers_.stop_job(job_index, jobs_[job_index].spec.save_s + 1);
  if (!stops.empty() || !jobs.empty())
    runtime_.log(LogLevel::Info, "over_quota_tasks_stopped",
                 {{"team", limit.name}, {"tasks", stops.size()}, {"gangs", jobs.size()}});
}

} // namespace loftrouter::core
