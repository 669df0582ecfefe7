// Cells: the frames between them, time and events. What it does as home and as borrower is in files of its own.
#include "federation_limits.hpp"

#include <algorithm>

#include <fmt/format.h>

#include "loftrouter/core/runtime/growing_table.hpp"

namespace loftrouter::core {

Settings with_cell_teams(Settings settings) {
  for (const auto &c : settings.cells.others)
    settings.teams.push_back({"@" + c.name, 0, 0, 0, 0});
  return settings;
}

CellFederation::CellFederation(Runtime &runtime, Events &events, const Settings &settings,
                               const InstanceTypeCatalog &catalog, const OperatorSettings &operators,
                               const Leadership &leadership, const Cancellations &cancellations,
                               StateServiceLimits &state_limits, JobTable &jobs,
                               const FailureAttribution &failure_attribution, UsageLedger &ledger,
                               StateWriter &state_writer, WorkerRegistry &workers, Replicas &replicas,
                               const Quotas &quotas, const Autoscaler &autoscaler, const JobObjectives &objectives)
    : runtime_(runtime), events_(events), settings_(settings), catalog_(catalog), operators_(operators),
      leadership_(leadership), cancellations_(cancellations), state_limits_(state_limits), jobs_(jobs),
      failure_attribution_(failure_attribution), ledger_(ledger), state_writer_(state_writer), workers_(workers),
      replicas_(replicas), quotas_(quotas), autoscaler_(autoscaler), objectives_(objectives),
      passed_(256, runtime.nonce()), numbers_(runtime.nonce()) {
  for (const auto &c : settings_.cells.others) {
    std::vector<int> nodes;
    for (const auto &address : c.nodes) {
      nodes.push_back(static_cast<int>(node_addresses_.size()));
      node_addresses_.push_back(address);
    }
    cells_.push_back({.name = c.name, .nodes = cells::CellMembership(std::move(nodes)), .view = {}, .renewals = {}});
    cells_.back().question = numbers_;
  }
}

int CellFederation::by_name(const std::string &name) const {
  for (std::size_t c = 0; c < cells_.size(); ++c)
    if (cells_[c].name == name) return static_cast<int>(c);
  return -1;
}

// ---- frames ----

wire::CellMessage CellFederation::message(Kind kind, int cell) const {
  wire::CellMessage message;
  message.kind = kind;
  message.from = settings_.cells.name;
  message.to = cells_[static_cast<std::size_t>(cell)].name;
  message.term = leadership_.term();
  return message;
}

bool CellFederation::send(int cell, wire::CellMessage message) {
  auto &c = cells_[static_cast<std::size_t>(cell)];
  const int node = c.nodes.target(runtime_.now());
  if (node < 0) return false;
  c.nodes.asked(runtime_.now());
  runtime_.send(CellSend{node, 0, std::move(message)});
  return true;
}

void CellFederation::reply(const Route &to, wire::CellMessage m) {
  if (!to.by_replica) return runtime_.send(CellSend{-1, to.link, std::move(m)});
  wire::PeerMessage message;
  message.kind = wire::PeerMessage::Kind::CellResponse;
  message.nonce = to.nonce;
  message.term = leadership_.highest_term();
  message.sender = replicas_.own_sender_number();
  message.body = wire::encode_cell(m);
  runtime_.send(PeerSend{{}, to.link, std::move(message)});
}

static bool is_answer(Kind k) {
  return k == Kind::SummaryReply || k == Kind::CapacityReply || k == Kind::OfferReply || k == Kind::RenewalReply ||
         k == Kind::ProgressAck;
}

void CellFederation::take(CellMessageCommand &&cmd) {
  if (!on()) return;
  const int cell = by_name(cmd.message.from);
  if (cell < 0 || cmd.message.to != settings_.cells.name) {
    const auto wrong = fmt::format("{} -> {}", cmd.message.from, cmd.message.to);
    if (wrong != told_wrong_)
      runtime_.log(
          LogLevel::Error, "cell_refused",
          {{"frame", wrong}, {"why", cell < 0 ? "no such cell in the features file" : "this cell has another name"}});
    told_wrong_ = wrong;
    return;
  }
  if (leadership_.leading() || is_answer(cmd.message.kind))
    return handle({cmd.link, 0, false}, cmd.node, std::move(cmd.message));
  // A node that does not lead passes it on, once: a leader of another cell may reach only this one.
  ReplicaIndex to;
  for (const ReplicaIndex replica : replicas_.indices())
    if (replicas_[replica].serving.leads && runtime_.now() - replicas_[replica].status_as_of < 1.2) to = replica;
  if (!to.valid() || passed_.full()) return; // it asks again, elsewhere
  wire::PeerMessage message;
  message.kind = wire::PeerMessage::Kind::CellRequest;
  message.nonce = passed_.add(0, runtime_.now() + 3, cmd.link);
  message.term = leadership_.highest_term();
  message.sender = replicas_.own_sender_number();
  message.body = wire::encode_cell(cmd.message);
  runtime_.send(PeerSend{to, 0, std::move(message)});
}

void CellFederation::take_passed(const PeerMessageCommand &cmd) {
  if (!on() || !leadership_.leading() || !replicas_.by_sender(cmd.message.sender).valid()) return;
  std::string_view rest = cmd.message.body;
  wire::CellMessage message;
  if (wire::read_cell(rest, message) != wire::FrameRead::Frame || !rest.empty()) return;
  if (by_name(message.from) < 0 || message.to != settings_.cells.name || is_answer(message.kind)) return;
  handle({cmd.link, cmd.message.nonce, true}, -1, std::move(message));
}

void CellFederation::take_back(const wire::PeerMessage &p) {
  const auto item = passed_.complete(p.nonce);
  std::string_view rest = p.body;
  wire::CellMessage message;
  if (item && wire::read_cell(rest, message) == wire::FrameRead::Frame)
    runtime_.send(CellSend{-1, item->context, std::move(message)});
}

void CellFederation::handle(const Route &from, int node, wire::CellMessage &&m) {
  const int cell = by_name(m.from);
  auto &c = cells_[static_cast<std::size_t>(cell)];
  if (node >= 0) {
    int leader = -1;
    if (m.kind == Kind::SummaryReply)
      for (std::size_t n = 0; n < node_addresses_.size(); ++n)
        if (node_addresses_[n] == m.address) leader = static_cast<int>(n);
    c.nodes.answered(node, leader, runtime_.now());
  }
  if (!leadership_.leading()) return;
  switch (m.kind) {
  case Kind::Summary:
  case Kind::SummaryReply:
    c.heard_at = runtime_.now();
    c.term = std::max(c.term, m.term);
    c.lease_s = m.lease_s;
    c.view.kinds = std::move(m.kinds);
    c.view.wait_s = std::move(m.wait_s);
    if (m.kind == Kind::Summary) {
      c.knows_quotas = m.number & wire::kKnowsQuotas;
      auto r = message(Kind::SummaryReply, cell);
      r.number = m.number;
      summarize(r);
      reply(from, std::move(r));
    }
    return;
  case Kind::CapacityRequest: {
    cells::Work work{m.need, m.types, m.spot, m.all_at_once, m.tasks};
    auto r = message(Kind::CapacityReply, cell);
    r.number = m.number;
    if (leadership_.active() && replicas_.may_answer_heartbeats() && operators_.cell_rules().accept &&
        inbound_list_.size() < kMaxInboundDelegations)
      r.tasks =
          capacity_grants_.promise(m.number, m.need.cpus, m.tasks, m.all_at_once, spare_cpus(work), runtime_.now());
    return reply(from, std::move(r));
  }
  case Kind::CapacityReply:
    if (const auto it = wanted_.find(m.number); it != wanted_.end()) {
      const Wanted wanted = it->second;
      wanted_.erase(it);
      delegate(wanted, m.number, m.tasks);
    }
    return;
  case Kind::DelegationOffer:
    return offered(from, cell, std::move(m));
  case Kind::OfferReply: {
    JobIndex job_index;
    OutboundDelegation *l = delegation(m.generation, job_index);
    if (!l || l->cell != cell) return;
    l->taken |= m.accepted;
    if (m.accepted || l->state.confirmed()) return;
    runtime_.log(LogLevel::Info, "delegation_refused",
                 {{"job", jobs_[job_index].spec.id}, {"cell", c.name}, {"why", m.body.substr(0, 100)}});
    l->state.close();
    return;
  }
  case Kind::Renewal: {
    auto r = message(Kind::RenewalReply, cell);
    r.number = m.number;
    r.grant_s = grant_s(c.lease_s);
    for (auto g : m.generations) {
      JobIndex job_index;
      OutboundDelegation *l = delegation(g, job_index);
      const bool known = l && l->cell == cell;
      if (known && m.lease_s > l->terms.lease_s) l->terms = terms(m.lease_s); // its settings have changed
      // Without news of cancellations nothing is said: neither that it goes on nor that it is over.
      if (known && l->state.offers() && !may_confirm(l->terms)) return;
      r.grant_s = known ? std::min(r.grant_s, l->terms.grant_s) : r.grant_s;
      if (known && l->state.confirm(runtime_.now(), m.term, l->terms))
        l->taken = true;
      else
        r.generations.push_back(g);
    }
    return reply(from, std::move(r));
  }
  case Kind::RenewalReply: {
    const auto it = c.renewals.find(m.number);
    if (it == c.renewals.end()) return;
    const auto [asked_at, about] = std::move(it->second);
    c.renewals.erase(it);
    c.term = std::max(c.term, m.term);
    cells::Terms t;
    t.grant_s = std::min(m.grant_s, kMaxGrant);
    for (auto g : about) {
      JobIndex job_index;
      InboundDelegation *d = inbound(g, cell, job_index);
      if (!d) continue;
      if (std::find(m.generations.begin(), m.generations.end(), g) != m.generations.end())
        close(job_index, *d);
      else
        d->state.granted(m.number, asked_at, t);
    }
    return;
  }
  case Kind::Progress:
    return told(from, cell, m);
  case Kind::ProgressAck: {
    JobIndex job_index;
    if (InboundDelegation *d = inbound(m.generation, cell, job_index); d && d->ended)
      jobs_.confirm_end_by_origin(job_index);
    return;
  }
  case Kind::Recall: {
    JobIndex job_index;
    if (InboundDelegation *d = inbound(m.generation, cell, job_index)) close(job_index, *d);
    return;
  }
  case Kind::Quota:
  case Kind::QuotaApplied:
  case Kind::QuotaChange:
  case Kind::QuotaOutcome:
    if (take_quota_) take_quota_(cell, std::move(m));
    return;
  }
}

bool CellFederation::tell_quota(int cell, wire::CellMessage message) {
  return cells_[static_cast<std::size_t>(cell)].knows_quotas && send(cell, std::move(message));
}

// ---- time and events ----

void CellFederation::tick() {
  if (!on()) return;
  for (const auto &item : passed_.expire(runtime_.now()))
    (void)item; // whoever asked asks again
  if (!leadership_.active() || runtime_.now() < next_tick_) return;
  next_tick_ = runtime_.now() + kTick;
  bool near = false;
  for (int c = 0; c < static_cast<int>(cells_.size()); ++c) {
    auto &cell = cells_[static_cast<std::size_t>(c)];
    cell.nodes.tick(runtime_.now(), runtime_.random());
    near |= runtime_.now() - cell.heard_at < kRules.fresh_s;
    if (runtime_.now() >= cell.next_summary) {
      cell.next_summary = runtime_.now() + kSummaryEvery;
      auto m = message(Kind::Summary, c);
      m.number = ++numbers_ | (settings_.configuration ? wire::kKnowsQuotas : 0);
      summarize(m);
      send(c, std::move(m));
    }
  }
  if (runtime_.now() >= next_decision_) {
    next_decision_ = runtime_.now() + kDecideEvery;
    if (near || !outbound_jobs_.empty() || !inbound_list_.empty()) survey();
    if (near && runtime_.now() - leadership_.leading_since() > 5) decide();
  }
  tend_outbound();
  tend_inbound();
  for (int c = 0; c < static_cast<int>(cells_.size()); ++c)
    renew(c);
}

void CellFederation::on(const DelegationRecorded &event) {
  JobIndex job_index;
  if (OutboundDelegation *l = delegation(event.generation, job_index)) l->state.recorded();
}

void CellFederation::on(const JobAccepted &event) {
  get_or_create(eager_, event.job) = 0;
  get_or_create(outbound_, event.job).clear();
  const Job &job = jobs_[event.job];
  get_or_create(inbound_, event.job).reset();
  if (!job.delegated_here) return;
  const int origin = by_name(job.delegated_here->origin);
  const auto asked = origin >= 0 ? cells_[static_cast<std::size_t>(origin)].question : 0;
  get_or_create(inbound_, event.job) =
      InboundDelegation{.state = cells::DelegationAtRemote(job.delegated_here->generation, asked),
                        .origin = origin,
                        .known_at = runtime_.now(),
                        .restored = !leadership_.leading()};
  inbound_list_.push_back(event.job);
  inbound_jobs_[{origin, job.delegated_here->generation}] = event.job;
  if (origin >= 0) cells_[static_cast<std::size_t>(origin)].next_renew = 0;
  if (origin >= 0 && !job.cancelled) return;
  // Nobody confirms it, as its cell is not in the features file any more; or somebody here wants its id.
  inbound_[event.job.position()]->state.close();
  inbound_[event.job.position()]->wanted = true;
}

void CellFederation::on(const JobCancelled &event) {
  const Job &job = jobs_[event.job];
  if (job.delegated_here) {
    auto &d = inbound_[event.job.position()];
    if (!d) return;
    d->wanted |= !d->state.closed(); // by its record: somebody here wants the id
    d->state.close();
    return;
  }
  for (auto &l : get_or_create(outbound_, event.job))
    l.state.close();
}

void CellFederation::on(const JobFinalized &event) {
  for (const auto &l : get_or_create(outbound_, event.job))
    outbound_jobs_.erase(l.state.generation());
  get_or_create(outbound_, event.job).clear();
  if (auto &d = get_or_create(inbound_, event.job)) {
    std::erase(inbound_list_, event.job);
    inbound_jobs_.erase({d->origin, d->state.generation()});
    d.reset();
  }
}

void CellFederation::on(const TermStarted &) {
  if (!on()) return;
  next_tick_ = 0;
  jobs_.each([this](JobIndex job_index, const Job &job) {
    for (const auto &r : job.delegations) {
      // A cell that is not in the features file any more: what it runs is over by the bound, and nobody tells.
      const int cell = by_name(r.cell);
      auto bound = terms(r.lease_s); // of what it may have been granted, also under other settings
      bound.grant_s = kMaxGrant;
      OutboundDelegation delegation{
          .state = cells::DelegationAtOrigin::restored(r.generation, leadership_.term(),
                                                       runtime_.now() + kOutageStatementValidityS, bound),
          .cell = cell,
          .made_at = runtime_.now(),
          .taken = true,
          .progressed = true,
          .terms = terms(r.lease_s)};
      // Guards against work that runs in two cells: what has lapsed may have been started here, and is never confirmed.
      if (job.cancelled || cell < 0 || r.expired) delegation.state.close();
      get_or_create(outbound_, job_index).push_back(std::move(delegation));
      outbound_jobs_[r.generation] = job_index;
    }
  });
}

void CellFederation::on(const TermEnded &) {
  outbound_.clear();
  outbound_jobs_.clear();
  inbound_.clear();
  inbound_list_.clear();
  inbound_jobs_.clear();
  taking_.clear();
  wanted_.clear();
  not_again_.clear();
  eager_.clear();
  waits_.clear();
  for (auto &c : cells_)
    c.renewals.clear();
}

std::vector<CellFederation::State> CellFederation::states() const {
  std::vector<State> out;
  for (const auto &c : cells_) {
    State state{c.name, c.heard_at < -1e8 ? -1 : runtime_.now() - c.heard_at, c.lease_s <= 0 || grant_s(c.lease_s) > 0};
    jobs_.each([&](JobIndex job_index, const Job &job) {
      for (const auto &l : job.delegations)
        if (l.cell == c.name && !l.expired) {
          ++state.delegations;
          for (auto [a, b] : l.tasks)
            for (auto i = a; i < b; ++i)
              state.delegated_out_tasks += job.tasks[i].state == TaskState::Delegated;
        }
      if (!job.delegated_here || job.delegated_here->origin != c.name) return;
      ++state.delegations_in;
      state.delegated_in_tasks += job.pending() + job.placed + job.unaccounted;
      (void)job_index;
    });
    out.push_back(std::move(state));
  }
  return out;
}

} // namespace loftrouter::core
