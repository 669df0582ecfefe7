// Cells, as the home of jobs: what is lent, to whom, and how each loan goes on and ends.
#include "federation_limits.hpp"

#include <algorithm>
#include <cmath>

#include "loftrouter/core/runtime/growing_table.hpp"

namespace loftrouter::core {

// What a cancellation leaves after the borrower's workers have let go, and steps in between.
double CellFederation::grant_s(double lease_s) const {
  const double left = settings_.cancel_s - lease_s * (1 + kMaxClockDrift) - kGrantSlack;
  return left < kMinGrant ? 0 : std::min(kMaxGrant, left);
}

cells::Terms CellFederation::terms(double lease_s) const {
  cells::Terms terms;
  terms.grant_s = grant_s(lease_s);
  terms.lease_s = lease_s;
  terms.drift = kMaxClockDrift;
  return terms;
}

// Only what would be over in time if its cancellation had been confirmed just after the last news. In a common outage
// as long as this leader answers its own workers.
bool CellFederation::may_confirm(const cells::Terms &terms) const {
  return replicas_.may_answer_heartbeats() && terms.grant_s > 0 &&
         runtime_.now() - cancellations_.known_until() + terms.over_after_s() < settings_.cancel_s - 1;
}

bool CellFederation::may_leave(const JobSpec &spec) const {
  const auto &rules = operators_.cell_rules();
  auto among = [](const std::vector<std::string> &all, const std::string &x) {
    return std::find(all.begin(), all.end(), x) != all.end();
  };
  if (!rules.delegate || spec.shape == Shape::Service || spec.team.starts_with('@') || !spec.dependencies.empty())
    return false;
  if (among(rules.stay_teams, spec.team) || among(rules.stay_classes, spec.job_class)) return false;
  return !spec.zone; // its zone is here
}

cells::Work CellFederation::work_of(JobIndex job_index) const {
  const Job &job = jobs_[job_index];
  cells::Work work;
  work.need = job.spec.need;
  if (job.spec.types) work.types = *job.spec.types;
  work.spot = job.spec.spot;
  work.whole = job.spec.shape == Shape::Gang || job.spec.one_zone || job.spec.spread;
  work.tasks = job.pending();
  work.estimate_s = job.spec.estimate_s;
  work.image_gb = job.spec.image_gb;
  work.priority = job.spec.priority;
  work.wait_here_s = job_index.position() < waits_.size() ? waits_[job_index.position()] : 0;
  return work;
}

static std::uint64_t pair_key(std::uint64_t serial, int cell) {
  return serial << 8 | static_cast<std::uint64_t>(cell & 255);
}

// Which waiting work would start sooner elsewhere. Those whose time is nearest come first; each cell is asked for room,
// which it promises, before anything is recorded.
void CellFederation::decide() {
  std::erase_if(wanted_, [this](const auto &w) { return runtime_.now() > w.second.until; });
  std::erase_if(not_again_, [this](const auto &x) { return runtime_.now() > x.second; });
  if (!operators_.cell_rules().delegate || outbound_jobs_.size() >= kMaxDelegations) return;
  std::vector<cells::View> views;
  bool any = false;
  for (auto &c : cells_) {
    views.push_back(c.view);
    views.back().age_s = runtime_.now() - c.heard_at;
    views.back().open = grant_s(c.lease_s) > 0;
    if (!views.back().open && c.lease_s > 0 && !std::exchange(c.told_no_room, true))
      runtime_.log(LogLevel::Error, "delegation_disabled",
                   {{"cell", c.name},
                    {"why", "cancel_s leaves no time for a grant beside the lease of its workers"},
                    {"cancel_s", settings_.cancel_s},
                    {"lease_s", c.lease_s}});
    any |= views.back().open && views.back().age_s < kRules.fresh_s;
  }
  if (!any) return;
  std::vector<std::pair<double, JobIndex>> order; // by the time left
  jobs_.each([&](JobIndex job_index, const Job &job) {
    int &eager = get_or_create(eager_, job_index);
    const bool whole = job.spec.shape == Shape::Gang || job.spec.one_zone || job.spec.spread;
    if (job.delegated_here || job.cancelled || job.ending || job.pending() == 0 ||
        job.delegations.size() >= kMaxDelegationsPerJob || failure_attribution_.suspected(job_index) || job.team < 0 ||
        ledger_.budget_exhausted(job.team) || !may_leave(job.spec) ||
        (whole && (job.placed || job.unaccounted || job.delegated))) {
      eager = 0;
      return;
    }
    const double age = std::max(0.0, runtime_.wall() - job.submit_wall);
    order.emplace_back(objectives_.achievable_target(job.spec, job.spec.deadline_s, age) - age - job.spec.estimate_s,
                       job_index);
  });
  std::sort(order.begin(), order.end());
  for (auto [left, job_index] : order) {
    if (wanted_.size() >= kMaxWanted) return;
    const Job &job = jobs_[job_index];
    auto mine = views;
    for (std::size_t c = 0; c < mine.size(); ++c) {
      mine[c].open &= !not_again_.contains(pair_key(job.serial, static_cast<int>(c)));
      for (const auto &l : job.delegations) // one hand-over of a job to a cell at a time
        mine[c].open &= l.cell != cells_[c].name;
    }
    const auto work = work_of(job_index);
    auto choice = cells::choose(work, mine, kRules);
    if (settings_.cells.random_delegation && work.wait_here_s > 1) {
      const auto any = static_cast<std::size_t>(runtime_.random() * static_cast<double>(mine.size()));
      if (mine[any].open) choice = cells::Choice{static_cast<int>(any), 0, 0};
    }
    int &eager = get_or_create(eager_, job_index);
    eager = choice ? eager + 1 : 0;
    if (eager < kEager) continue; // not on one look alone
    // What would start here meanwhile stays.
    const double share = std::clamp(1 - choice->wait_s / std::max(0.1, work.wait_here_s), 0.0, 1.0);
    const auto tasks =
        work.whole ? work.tasks : std::max(kMinDelegatedTasks, static_cast<std::uint32_t>(work.tasks * share));
    const auto most = team_allows(job_index);
    if (most == 0 || (work.whole && most < work.tasks)) continue;
    want(job_index, choice->cell, work, std::min(tasks, most));
    eager = 0;
  }
}

// How many more of a job's tasks its team's limit allows, all that may be on a machine anywhere counted.
std::uint32_t CellFederation::team_allows(JobIndex job_index) const {
  const Job &job = jobs_[job_index];
  const auto headroom = quotas_.headroom()[static_cast<std::size_t>(job.team)];
  double most = 1e6;
  if (headroom.cpus >= 0 && job.spec.need.cpus > 0)
    most = std::min(most, std::floor(headroom.cpus / job.spec.need.cpus + 1e-9));
  if (headroom.gpus >= 0 && job.spec.need.gpus > 0)
    most = std::min(most, std::floor(headroom.gpus / job.spec.need.gpus + 1e-9));
  return static_cast<std::uint32_t>(most);
}

void CellFederation::want(JobIndex job_index, int cell, const cells::Work &work, std::uint32_t tasks) {
  const std::uint64_t ticket = ++numbers_;
  auto m = message(Kind::CapacityRequest, cell);
  m.number = ticket;
  m.need = work.need;
  m.tasks = tasks;
  m.types = work.types;
  m.spot = work.spot;
  m.all_at_once = work.whole;
  not_again_[pair_key(jobs_[job_index].serial, cell)] = runtime_.now() + kNoRoomPause;
  if (send(cell, std::move(m))) wanted_[ticket] = {job_index, cell, jobs_[job_index].serial, tasks, runtime_.now() + 3};
}

void CellFederation::delegate(const Wanted &wanted, std::uint64_t ticket, std::uint32_t tasks) {
  const Job *job = jobs_.find(wanted.job);
  if (!job || job->serial != wanted.serial || job->cancelled || job->ending || !leadership_.active() || tasks == 0 ||
      tasks > wanted.tasks)
    return;
  const bool whole = job->spec.shape == Shape::Gang || job->spec.one_zone || job->spec.spread;
  if (job->pending() == 0 || job->delegations.size() >= kMaxDelegationsPerJob || (whole && tasks < job->pending()))
    return;
  // What may run there counts against its team's limit from now on.
  tasks = std::min(tasks, team_allows(wanted.job));
  if (tasks == 0 || (whole && tasks < job->pending())) return;
  // The last of those that wait, in few pieces: the first will have their turn here.
  Ranges ranges;
  std::uint32_t got = 0;
  for (std::uint32_t i = job->spec.tasks; i-- > 0 && got < tasks;) {
    if (job->tasks[i].state != TaskState::Pending) continue;
    if (!ranges.empty() && ranges.back().first == i + 1)
      ranges.back().first = i;
    else if (ranges.size() < kMaxRanges)
      ranges.emplace_back(i, i + 1);
    else
      break;
    ++got;
  }
  std::reverse(ranges.begin(), ranges.end());
  if (got == 0 || (whole && got < job->pending())) return;
  const auto &c = cells_[static_cast<std::size_t>(wanted.cell)];
  const cells::Generation g = (leadership_.term() << 20) + ++delegations_made_;
  get_or_create(outbound_, wanted.job)
      .push_back({.state = cells::DelegationAtOrigin(g, leadership_.term()),
                  .cell = wanted.cell,
                  .made_at = runtime_.now(),
                  .ticket = ticket,
                  .terms = terms(c.lease_s)});
  outbound_jobs_[g] = wanted.job;
  not_again_[pair_key(job->serial, wanted.cell)] = runtime_.now() + kNotAgain;
  runtime_.log(LogLevel::Info, "delegation_started",
               {{"job", job->spec.id},
                {"class", job->spec.job_class},
                {"tasks", got},
                {"cell", c.name},
                {"expected_wait_s", waits_[wanted.job.position()]}});
  jobs_.delegate(wanted.job, {g, c.name, std::move(ranges), c.lease_s, false, {}});
}

CellFederation::OutboundDelegation *CellFederation::delegation(std::uint64_t generation, JobIndex &job_index) {
  const auto it = outbound_jobs_.find(generation);
  if (it == outbound_jobs_.end()) return nullptr;
  job_index = it->second;
  for (auto &l : outbound_[job_index.position()])
    if (l.state.generation() == generation) return &l;
  return nullptr;
}

wire::CellMessage CellFederation::offer(JobIndex job_index, const OutboundDelegation &delegation) const {
  const Job &job = jobs_[job_index];
  auto m = message(Kind::DelegationOffer, delegation.cell);
  m.number = delegation.ticket;
  m.generation = delegation.state.generation();
  JobSpec spec = job.spec;
  const double age = std::max(0.0, runtime_.wall() - job.submit_wall);
  spec.deadline_s =
      objectives_.completion_target(job.spec, job.spec.deadline_s)
          ? std::optional(std::max(1.0, objectives_.achievable_target(job.spec, job.spec.deadline_s, age) - age))
          : std::nullopt;
  m.body = wire::encode(wire::to_json(spec));
  for (const auto &x : job.delegations)
    if (x.generation == m.generation) m.ranges = x.tasks;
  return m;
}

// Each loan takes its next step: offered, called back, lapsed, gone.
void CellFederation::tend_outbound() {
  std::vector<std::pair<JobIndex, std::uint64_t>> gone, expired;
  const double now = runtime_.now();
  for (const auto &[generation, job_index] : outbound_jobs_) {
    JobIndex found;
    OutboundDelegation &l = *delegation(generation, found);
    const Job &job = jobs_[job_index];
    const auto record = std::find_if(job.delegations.begin(), job.delegations.end(),
                                     [g = generation](const auto &x) { return x.generation == g; });
    if (l.dropped || record == job.delegations.end() || record->expired) continue;
    if (l.state.offers() && !l.taken && now >= l.next_offer) {
      l.next_offer = now + kOfferAgain;
      if (now - l.made_at > kOfferFor)
        l.state.close();
      else
        send(l.cell, offer(job_index, l));
    }
    // Nobody has asked on for so long that nothing of it runs there any more.
    if (l.state.offers() && l.state.confirmed() && now >= l.state.until()) l.state.close();
    if (!l.state.closing() && l.taken && !l.progressed) { // taken, not begun, and there is room here again
      const bool headroom =
          waits_.size() > job_index.position() && waits_[job_index.position()] < 1 && own_waiting_cpus_ < 1;
      if (!headroom)
        l.idle_since = -1;
      else if (l.idle_since < 0)
        l.idle_since = now;
      if (headroom && now - l.idle_since > kHomeHasRoom) l.state.close();
    }
    if (l.state.closing() && now >= l.next_recall && l.state.confirmed()) {
      l.next_recall = now + kOfferAgain;
      auto m = message(Kind::Recall, l.cell);
      m.generation = generation;
      send(l.cell, std::move(m));
    }
    if (l.state.over(now)) (l.state.confirmed() ? expired : gone).emplace_back(job_index, generation);
  }
  for (auto [job_index, g] : expired) {
    runtime_.log(LogLevel::Info, "delegation_expired",
                 {{"job", jobs_[job_index].spec.id}, {"why", "its cell has not asked on"}});
    jobs_.expire_delegation(job_index, g);
  }
  for (auto [job_index, g] : gone)
    if (OutboundDelegation *l = delegation(g, job_index)) drop(job_index, *l);
}

// Once it is recorded that it is over, its borrower is told so. One that was never confirmed has nothing to tell, and
// may never have been recorded.
void CellFederation::drop(JobIndex job_index, OutboundDelegation &delegation) {
  const auto g = delegation.state.generation();
  delegation.dropped = true;
  delegation.running = 0;
  const bool forget = !delegation.state.confirmed();
  jobs_.remove_delegation(job_index, g);
  if (forget) on(DelegationRemoved{job_index, g});
}

void CellFederation::on(const DelegationRemoved &event) {
  std::erase_if(get_or_create(outbound_, event.job), [&event](const OutboundDelegation &delegation) {
    return delegation.state.generation() == event.generation;
  });
  outbound_jobs_.erase(event.generation);
}

// How a loan gets on there, or that it has ended. What is done there is done, unless it was started again here.
void CellFederation::told(const Route &from, int cell, const wire::CellMessage &m) {
  JobIndex job_index;
  OutboundDelegation *l = delegation(m.generation, job_index);
  if (!l || l->cell != cell) {
    if (!m.ended || !leadership_.active()) return;
    auto r = message(Kind::ProgressAck, cell); // its end is recorded, or was never known
    r.generation = m.generation;
    return reply(from, std::move(r));
  }
  const Job &job = jobs_[job_index];
  const auto record = std::find_if(job.delegations.begin(), job.delegations.end(),
                                   [&](const auto &x) { return x.generation == m.generation; });
  if (l->dropped || record == job.delegations.end() || !leadership_.active())
    return; // being recorded; it is told again
  const Ranges mine = record->tasks;
  const bool expired = record->expired;
  const auto used = m.usage - record->charged;
  // Of an attempt that is counted twice, or a word that comes late, nothing is taken.
  if (std::all_of(used.values.begin(), used.values.end(), [](auto x) { return x >= 0; }) && !used.all_zero()) {
    ledger_.charge_remote_usage(job_index, used);
    jobs_.charge_delegation(job_index, m.generation, m.usage);
    jobs_.changed(job_index, false);
  }
  auto inside = [&](std::uint32_t i) {
    return std::any_of(mine.begin(), mine.end(), [i](auto r) { return i >= r.first && i < r.second; });
  };
  for (auto [a, b] : m.ranges)
    for (auto i = a; i < b && i < job.spec.tasks; ++i) {
      const auto state = job.tasks[i].state;
      if (inside(i) && (state == TaskState::Delegated || (expired && state == TaskState::Pending && !job.cancelled))) {
        l->progressed = true;
        jobs_.finish(job_index, i);
      }
    }
  l->running = expired || m.ended ? 0 : m.running;
  l->progressed |= m.running > 0;
  std::uint32_t running = 0;
  for (const auto &x : outbound_[job_index.position()])
    running += x.running;
  jobs_.set_delegated_running(job_index, running);
  if (!m.ended) return;
  if (!expired && !l->state.ended(m.term, m.origin_term)) return;
  runtime_.log(LogLevel::Info, "delegation_ended",
               {{"job", job.spec.id}, {"cell", cells_[static_cast<std::size_t>(cell)].name}, {"late", expired}});
  drop(job_index, *l);
}

} // namespace loftrouter::core
