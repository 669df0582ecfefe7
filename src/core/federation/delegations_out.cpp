// Cells, as the home of jobs: what is lent, to whom, and how each loan goes on and ends.
#include "federation_limits.hpp"

#include <algorithm>
#include <cmath>

namespace loftrouter::core {

// What a cancellation leaves after the borrower's workers have let go, and steps in between.
double CellFederation::grant_s(double lease_s) const {
  const double left = settings_.cancel_s - lease_s * (1 + kDrift) - kGrantSlack;
  return left < kMinGrant ? 0 : std::min(kMaxGrant, left);
}

cells::Terms CellFederation::terms(double lease_s) const {
  cells::Terms t;
  t.grant_s = grant_s(lease_s);
  t.lease_s = lease_s;
  t.drift = kDrift;
  return t;
}

// Only what would be over in time if its cancellation had been confirmed just after the last news. In a common outage
// as long as this leader answers its own workers.
bool CellFederation::may_confirm(const cells::Terms &t) const {
  return replicas_.answering() && t.grant_s > 0 &&
         runtime_.now() - cancellations_.known_until() + t.over_after_s() < settings_.cancel_s - 1;
}

bool CellFederation::may_leave(const JobSpec &spec) const {
  const auto &rules = operators_.cell_rules();
  auto among = [](const std::vector<std::string> &all, const std::string &x) {
    return std::find(all.begin(), all.end(), x) != all.end();
  };
  if (!rules.delegate || spec.shape == Shape::Service || spec.team.starts_with('@') || !spec.waits_for.empty())
    return false;
  if (among(rules.stay_teams, spec.team) || among(rules.stay_classes, spec.job_class)) return false;
  return !spec.zone; // its zone is here
}

cells::Work CellFederation::work_of(int j) const {
  const Job &n = jobs_[j];
  cells::Work w;
  w.need = n.spec.need;
  if (n.spec.types) w.types = *n.spec.types;
  w.spot = n.spec.spot;
  w.whole = n.spec.shape == Shape::Gang || n.spec.one_zone || n.spec.spread;
  w.tasks = n.pending();
  w.estimate_s = n.spec.estimate_s;
  w.image_gb = n.spec.image_gb;
  w.urgency = n.spec.urgency;
  w.wait_here_s = static_cast<std::size_t>(j) < waits_.size() ? waits_[static_cast<std::size_t>(j)] : 0;
  return w;
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
  std::vector<std::pair<double, int>> order; // by the time left
  jobs_.each([&](int j, const Job &n) {
    int &eager = grown(eager_, j);
    const bool whole = n.spec.shape == Shape::Gang || n.spec.one_zone || n.spec.spread;
    if (n.delegated_here || n.cancelled || n.ending || n.pending() == 0 ||
        n.delegations.size() >= StateWriter::kMaxDelegations || failure_attribution_.suspect(j) || n.team < 0 ||
        ledger_.spent(n.team) || !may_leave(n.spec) || (whole && (n.placed || n.unaccounted || n.delegated))) {
      eager = 0;
      return;
    }
    const double age = std::max(0.0, runtime_.wall() - n.submit_wall);
    order.emplace_back(objectives_.due_after(n.spec, n.spec.deadline_s, age) - age - n.spec.estimate_s, j);
  });
  std::sort(order.begin(), order.end());
  for (auto [left, j] : order) {
    if (wanted_.size() >= kMaxWanted) return;
    const Job &n = jobs_[j];
    auto mine = views;
    for (std::size_t c = 0; c < mine.size(); ++c) {
      mine[c].open &= !not_again_.contains(pair_key(n.serial, static_cast<int>(c)));
      for (const auto &l : n.delegations) // one hand-over of a job to a cell at a time
        mine[c].open &= l.cell != cells_[c].name;
    }
    const auto work = work_of(j);
    auto choice = cells::choose(work, mine, kRules);
    if (settings_.cells.at_random && work.wait_here_s > 1) {
      const auto any = static_cast<std::size_t>(runtime_.random() * static_cast<double>(mine.size()));
      if (mine[any].open) choice = cells::Choice{static_cast<int>(any), 0, 0};
    }
    int &eager = grown(eager_, j);
    eager = choice ? eager + 1 : 0;
    if (eager < kEager) continue; // not on one look alone
    // What would start here meanwhile stays.
    const double share = std::clamp(1 - choice->wait_s / std::max(0.1, work.wait_here_s), 0.0, 1.0);
    const auto tasks =
        work.whole ? work.tasks : std::max(kMinDelegatedTasks, static_cast<std::uint32_t>(work.tasks * share));
    const auto most = team_allows(j);
    if (most == 0 || (work.whole && most < work.tasks)) continue;
    want(j, choice->cell, work, std::min(tasks, most));
    eager = 0;
  }
}

// How many more of a job's tasks its team's limit allows, all that may be on a machine anywhere counted.
std::uint32_t CellFederation::team_allows(int j) const {
  const Job &n = jobs_[j];
  const auto room = quotas_.room()[static_cast<std::size_t>(n.team)];
  double most = 1e6;
  if (room.cpus >= 0 && n.spec.need.cpus > 0) most = std::min(most, std::floor(room.cpus / n.spec.need.cpus + 1e-9));
  if (room.gpus >= 0 && n.spec.need.gpus > 0) most = std::min(most, std::floor(room.gpus / n.spec.need.gpus + 1e-9));
  return static_cast<std::uint32_t>(most);
}

void CellFederation::want(int j, int cell, const cells::Work &work, std::uint32_t tasks) {
  const std::uint64_t ticket = ++numbers_;
  auto m = message(Kind::Want, cell);
  m.number = ticket;
  m.need = work.need;
  m.tasks = tasks;
  m.types = work.types;
  m.spot = work.spot;
  m.whole = work.whole;
  not_again_[pair_key(jobs_[j].serial, cell)] = runtime_.now() + kNoRoomPause;
  if (send(cell, std::move(m))) wanted_[ticket] = {j, cell, jobs_[j].serial, tasks, runtime_.now() + 3};
}

void CellFederation::delegate(const Wanted &w, std::uint64_t ticket, std::uint32_t tasks) {
  const Job *n = jobs_.find(w.job);
  if (!n || n->serial != w.serial || n->cancelled || n->ending || !leadership_.active() || tasks == 0 ||
      tasks > w.tasks)
    return;
  const bool whole = n->spec.shape == Shape::Gang || n->spec.one_zone || n->spec.spread;
  if (n->pending() == 0 || n->delegations.size() >= StateWriter::kMaxDelegations || (whole && tasks < n->pending()))
    return;
  // What may run there counts against its team's limit from now on.
  tasks = std::min(tasks, team_allows(w.job));
  if (tasks == 0 || (whole && tasks < n->pending())) return;
  // The last of those that wait, in few pieces: the first will have their turn here.
  Ranges ranges;
  std::uint32_t got = 0;
  for (std::uint32_t i = n->spec.tasks; i-- > 0 && got < tasks;) {
    if (n->tasks[i].state != TaskState::Pending) continue;
    if (!ranges.empty() && ranges.back().first == i + 1)
      ranges.back().first = i;
    else if (ranges.size() < kMaxRanges)
      ranges.emplace_back(i, i + 1);
    else
      break;
    ++got;
  }
  std::reverse(ranges.begin(), ranges.end());
  if (got == 0 || (whole && got < n->pending())) return;
  const auto &c = cells_[static_cast<std::size_t>(w.cell)];
  const cells::Generation g = (leadership_.term() << 20) + ++delegations_made_;
  grown(outbound_, w.job)
      .push_back({.state = cells::DelegationAtOrigin(g, leadership_.term()),
                  .cell = w.cell,
                  .made_at = runtime_.now(),
                  .ticket = ticket,
                  .terms = terms(c.lease_s)});
  outbound_jobs_[g] = w.job;
  not_again_[pair_key(n->serial, w.cell)] = runtime_.now() + kNotAgain;
  runtime_.log(LogLevel::Info, "delegation_started",
               {{"job", n->spec.id},
                {"class", n->spec.job_class},
                {"tasks", got},
                {"cell", c.name},
                {"expected_wait_s", waits_[static_cast<std::size_t>(w.job)]}});
  jobs_.delegate(w.job, {g, c.name, std::move(ranges), c.lease_s, false, {}});
}

CellFederation::OutboundDelegation *CellFederation::delegation(std::uint64_t generation, int &job) {
  const auto it = outbound_jobs_.find(generation);
  if (it == outbound_jobs_.end()) return nullptr;
  job = it->second;
  for (auto &l : outbound_[static_cast<std::size_t>(job)])
    if (l.state.generation() == generation) return &l;
  return nullptr;
}

wire::CellMessage CellFederation::offer(int j, const OutboundDelegation &l) const {
  const Job &n = jobs_[j];
  auto m = message(Kind::Offer, l.cell);
  m.number = l.ticket;
  m.generation = l.state.generation();
  JobSpec spec = n.spec;
  const double age = std::max(0.0, runtime_.wall() - n.submit_wall);
  spec.deadline_s = objectives_.wanted_after(n.spec, n.spec.deadline_s)
                        ? std::optional(std::max(1.0, objectives_.due_after(n.spec, n.spec.deadline_s, age) - age))
                        : std::nullopt;
  m.body = wire::encode(wire::to_json(spec));
  for (const auto &x : n.delegations)
    if (x.generation == m.generation) m.ranges = x.tasks;
  return m;
}

// Each loan takes its next step: offered, called back, lapsed, gone.
void CellFederation::tend_outbound() {
  std::vector<std::pair<int, std::uint64_t>> gone, lapsed;
  const double now = runtime_.now();
  for (const auto &[generation, j] : outbound_jobs_) {
    int job = j;
    OutboundDelegation &l = *delegation(generation, job);
    const Job &n = jobs_[j];
    const auto record = std::find_if(n.delegations.begin(), n.delegations.end(),
                                     [g = generation](const auto &x) { return x.generation == g; });
    if (l.dropped || record == n.delegations.end() || record->lapsed) continue;
    if (l.state.offers() && !l.taken && now >= l.next_offer) {
      l.next_offer = now + kOfferAgain;
      if (now - l.made_at > kOfferFor)
        l.state.close();
      else
        send(l.cell, offer(j, l));
    }
    // Nobody has asked on for so long that nothing of it runs there any more.
    if (l.state.offers() && l.state.confirmed() && now >= l.state.until()) l.state.close();
    if (!l.state.closing() && l.taken && !l.progressed) { // taken, not begun, and there is room here again
      const bool room = waits_.size() > static_cast<std::size_t>(j) && waits_[static_cast<std::size_t>(j)] < 1 &&
                        own_waiting_cpus_ < 1;
      if (!room)
        l.idle_since = -1;
      else if (l.idle_since < 0)
        l.idle_since = now;
      if (room && now - l.idle_since > kHomeHasRoom) l.state.close();
    }
    if (l.state.closing() && now >= l.next_recall && l.state.confirmed()) {
      l.next_recall = now + kOfferAgain;
      auto m = message(Kind::Recall, l.cell);
      m.generation = generation;
      send(l.cell, std::move(m));
    }
    if (l.state.over(now)) (l.state.confirmed() ? lapsed : gone).emplace_back(j, generation);
  }
  for (auto [j, g] : lapsed) {
    runtime_.log(LogLevel::Info, "delegation_expired",
                 {{"job", jobs_[j].spec.id}, {"why", "its cell has not asked on"}});
    jobs_.expire_delegation(j, g);
  }
  for (auto [j, g] : gone)
    if (OutboundDelegation *l = delegation(g, j)) drop(j, *l);
}

// Once it is recorded that it is over, its borrower is told so. One that was never confirmed has nothing to tell, and
// may never have been recorded.
void CellFederation::drop(int j, OutboundDelegation &l) {
  const auto g = l.state.generation();
  l.dropped = true;
  l.running = 0;
  const bool forget = !l.state.confirmed();
  jobs_.remove_delegation(j, g);
  if (forget) on(DelegationRemoved{j, g});
}

void CellFederation::on(const DelegationRemoved &e) {
  std::erase_if(grown(outbound_, e.job),
                [&e](const OutboundDelegation &l) { return l.state.generation() == e.generation; });
  outbound_jobs_.erase(e.generation);
}

// How a loan gets on there, or that it has ended. What is done there is done, unless it was started again here.
void CellFederation::told(const Route &from, int cell, const wire::CellMessage &m) {
  int j = -1;
  OutboundDelegation *l = delegation(m.generation, j);
  if (!l || l->cell != cell) {
    if (!m.yes || !leadership_.active()) return;
    auto r = message(Kind::Settled, cell); // its end is recorded, or was never known
    r.generation = m.generation;
    return reply(from, std::move(r));
  }
  const Job &n = jobs_[j];
  const auto record = std::find_if(n.delegations.begin(), n.delegations.end(),
                                   [&](const auto &x) { return x.generation == m.generation; });
  if (l->dropped || record == n.delegations.end() || !leadership_.active()) return; // being recorded; it is told again
  const Ranges mine = record->tasks;
  const bool lapsed = record->lapsed;
  const auto used = m.usage - record->charged;
  // Of an attempt that is counted twice, or a word that comes late, nothing is taken.
  if (std::all_of(used.v.begin(), used.v.end(), [](auto x) { return x >= 0; }) && !used.none()) {
    ledger_.add(j, used);
    jobs_.charge_delegation(j, m.generation, m.usage);
    jobs_.changed(j, false);
  }
  auto inside = [&](std::uint32_t i) {
    return std::any_of(mine.begin(), mine.end(), [i](auto r) { return i >= r.first && i < r.second; });
  };
  for (auto [a, b] : m.ranges)
    for (auto i = a; i < b && i < n.spec.tasks; ++i) {
      const auto state = n.tasks[i].state;
      if (inside(i) &&
          (state == TaskState::DelegationSource || (lapsed && state == TaskState::Pending && !n.cancelled))) {
        l->progressed = true;
        jobs_.finish(j, i);
      }
    }
  l->running = lapsed || m.yes ? 0 : m.running;
  l->progressed |= m.running > 0;
  std::uint32_t running = 0;
  for (const auto &x : outbound_[static_cast<std::size_t>(j)])
    running += x.running;
  jobs_.set_delegated_running(j, running);
  if (!m.yes) return;
  if (!lapsed && !l->state.ended(m.term, m.other_term)) return;
  runtime_.log(LogLevel::Info, "delegation_ended",
               {{"job", n.spec.id}, {"cell", cells_[static_cast<std::size_t>(cell)].name}, {"late", lapsed}});
  drop(j, *l);
}

} // namespace loftrouter::core
