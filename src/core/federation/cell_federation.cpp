// Messages between cells, periodic work and events. The origin side is in delegations_out.cpp, the remote side in
// delegations_in.cpp.
#include "federation_limits.hpp"

#include <algorithm>

#include <fmt/format.h>

#include "loftrouter/core/runtime/growing_table.hpp"

namespace loftrouter::core {

Settings with_cell_teams(Settings settings) {
  for (const auto &other_cell : settings.cells.others)
    settings.teams.push_back({"@" + other_cell.name, 0, 0, 0, 0});
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
      forwarded_requests_(256, runtime.nonce()), last_request_number_(runtime.nonce()) {
  for (const auto &other_cell : settings_.cells.others) {
    std::vector<int> nodes;
    for (const auto &address : other_cell.nodes) {
      nodes.push_back(static_cast<int>(node_addresses_.size()));
      node_addresses_.push_back(address);
    }
    cells_.push_back({.name = other_cell.name,
                      .nodes = cells::CellMembership(std::move(nodes)),
                      .capacity = {},
                      .pending_renewals = {}});
    cells_.back().last_renewal_request = last_request_number_;
  }
}

int CellFederation::find_cell(const std::string &name) const {
  for (std::size_t c = 0; c < cells_.size(); ++c)
    if (cells_[c].name == name) return static_cast<int>(c);
  return -1;
}

wire::CellMessage CellFederation::make_message(Kind kind, int cell) const {
  wire::CellMessage message;
  message.kind = kind;
  message.from = settings_.cells.name;
  message.to = cells_[static_cast<std::size_t>(cell)].name;
  message.term = leadership_.term();
  return message;
}

bool CellFederation::send(int cell, wire::CellMessage message) {
  auto &other_cell = cells_[static_cast<std::size_t>(cell)];
  const int node = other_cell.nodes.target(runtime_.now());
  if (node < 0) return false;
  other_cell.nodes.request_sent(runtime_.now());
  runtime_.send(CellSend{node, 0, std::move(message)});
  return true;
}

void CellFederation::reply(const ReplyTarget &to, wire::CellMessage response) {
  if (!to.by_replica) return runtime_.send(CellSend{-1, to.link, std::move(response)});
  wire::PeerMessage message;
  message.kind = wire::PeerMessage::Kind::CellResponse;
  message.nonce = to.nonce;
  message.term = leadership_.highest_term();
  message.sender = replicas_.own_sender_number();
  message.body = wire::encode_cell(response);
  runtime_.send(PeerSend{{}, to.link, std::move(message)});
}

static bool is_reply(Kind kind) {
  return kind == Kind::SummaryReply || kind == Kind::CapacityReply || kind == Kind::OfferReply ||
         kind == Kind::RenewalReply || kind == Kind::ProgressAck;
}

void CellFederation::handle_message(CellMessageCommand &&cmd) {
  if (!enabled()) return;
  const int cell = find_cell(cmd.message.from);
  if (cell < 0 || cmd.message.to != settings_.cells.name) {
    const auto route = fmt::format("{} -> {}", cmd.message.from, cmd.message.to);
    if (route != last_refused_route_)
      runtime_.log(
          LogLevel::Error, "cell_refused",
          {{"frame", route}, {"why", cell < 0 ? "no such cell in the features file" : "this cell has another name"}});
    last_refused_route_ = route;
    return;
  }
  if (leadership_.leading() || is_reply(cmd.message.kind))
    return dispatch({cmd.link, 0, false}, cmd.node, std::move(cmd.message));
  // A standby forwards the request to its leader, which the other cell may not be able to reach directly.
  ReplicaIndex leader;
  for (const ReplicaIndex replica : replicas_.indices())
    if (replicas_[replica].service_status.leads &&
        runtime_.now() - replicas_[replica].status_as_of < kLeaderStatusValidityS)
      leader = replica;
  if (!leader.valid() || forwarded_requests_.full()) return; // the other cell retries through another node
  wire::PeerMessage message;
  message.kind = wire::PeerMessage::Kind::CellRequest;
  message.nonce = forwarded_requests_.add(0, runtime_.now() + kForwardedRequestTimeoutS, cmd.link);
  message.term = leadership_.highest_term();
  message.sender = replicas_.own_sender_number();
  message.body = wire::encode_cell(cmd.message);
  runtime_.send(PeerSend{leader, 0, std::move(message)});
}

void CellFederation::handle_forwarded_request(const PeerMessageCommand &cmd) {
  if (!enabled() || !leadership_.leading() || !replicas_.by_sender(cmd.message.sender).valid()) return;
  std::string_view rest = cmd.message.body;
  wire::CellMessage message;
  if (wire::read_cell(rest, message) != wire::FrameRead::Frame || !rest.empty()) return;
  if (find_cell(message.from) < 0 || message.to != settings_.cells.name || is_reply(message.kind)) return;
  dispatch({cmd.link, cmd.message.nonce, true}, -1, std::move(message));
}

void CellFederation::relay_forwarded_reply(const wire::PeerMessage &reply) {
  const auto item = forwarded_requests_.complete(reply.nonce);
  std::string_view rest = reply.body;
  wire::CellMessage message;
  if (item && wire::read_cell(rest, message) == wire::FrameRead::Frame)
    runtime_.send(CellSend{-1, item->context, std::move(message)});
}

void CellFederation::dispatch(const ReplyTarget &from, int node, wire::CellMessage &&message) {
  const int cell = find_cell(message.from);
  auto &other_cell = cells_[static_cast<std::size_t>(cell)];
  if (node >= 0) {
    int leader = -1;
    if (message.kind == Kind::SummaryReply)
      for (std::size_t n = 0; n < node_addresses_.size(); ++n)
        if (node_addresses_[n] == message.address) leader = static_cast<int>(n);
    other_cell.nodes.response_received(node, leader, runtime_.now());
  }
  if (!leadership_.leading()) return;
  switch (message.kind) {
  case Kind::Summary:
  case Kind::SummaryReply:
    other_cell.heard_at = runtime_.now();
    other_cell.term = std::max(other_cell.term, message.term);
    other_cell.lease_s = message.lease_s;
    other_cell.capacity.kinds = std::move(message.kinds);
    other_cell.capacity.wait_s = std::move(message.wait_s);
    if (message.kind == Kind::Summary) {
      other_cell.supports_quotas = message.number & wire::kKnowsQuotas;
      auto response = make_message(Kind::SummaryReply, cell);
      response.number = message.number;
      fill_summary(response);
      reply(from, std::move(response));
    }
    return;
  case Kind::CapacityRequest: {
    cells::DelegationCandidate work{message.need, message.types, message.spot, message.all_at_once, message.tasks};
    auto response = make_message(Kind::CapacityReply, cell);
    response.number = message.number;
    if (leadership_.active() && replicas_.may_answer_heartbeats() && operators_.cell_rules().accept &&
        inbound_list_.size() < kMaxInboundDelegations)
      response.tasks = capacity_grants_.grant(message.number, message.need.cpus, message.tasks, message.all_at_once,
                                              spare_cpus(work), runtime_.now());
    return reply(from, std::move(response));
  }
  case Kind::CapacityReply:
    if (const auto it = capacity_requests_.find(message.number); it != capacity_requests_.end()) {
      const PendingCapacityRequest request = it->second;
      capacity_requests_.erase(it);
      delegate(request, message.number, message.tasks);
    }
    return;
  case Kind::DelegationOffer:
    return handle_offer(from, cell, std::move(message));
  case Kind::OfferReply: {
    JobIndex job_index;
    OutboundDelegation *delegation = find_outbound(message.generation, job_index);
    if (!delegation || delegation->cell != cell) return;
    delegation->accepted |= message.accepted;
    if (message.accepted || delegation->state.confirmed()) return;
    runtime_.log(LogLevel::Info, "delegation_refused",
                 {{"job", jobs_[job_index].spec.id}, {"cell", other_cell.name}, {"why", message.body.substr(0, 100)}});
    delegation->state.close();
    return;
  }
  case Kind::Renewal: {
    auto response = make_message(Kind::RenewalReply, cell);
    response.number = message.number;
    response.grant_s = grant_s(other_cell.lease_s);
    for (auto generation : message.generations) {
      JobIndex job_index;
      OutboundDelegation *delegation = find_outbound(generation, job_index);
      const bool known = delegation && delegation->cell == cell;
      if (known && message.lease_s > delegation->terms.lease_s)
        delegation->terms = terms(message.lease_s); // the remote settings have changed
      // While recent cancellations are unknown, the leases can be neither renewed nor refused; the remote cell retries.
      if (known && delegation->state.may_offer() && !may_confirm(delegation->terms)) return;
      response.grant_s = known ? std::min(response.grant_s, delegation->terms.grant_s) : response.grant_s;
      if (known && delegation->state.confirm(runtime_.now(), message.term, delegation->terms))
        delegation->accepted = true;
      else
        response.generations.push_back(generation);
    }
    return reply(from, std::move(response));
  }
  case Kind::RenewalReply: {
    const auto it = other_cell.pending_renewals.find(message.number);
    if (it == other_cell.pending_renewals.end()) return;
    const auto [requested_at, generations] = std::move(it->second);
    other_cell.pending_renewals.erase(it);
    other_cell.term = std::max(other_cell.term, message.term);
    cells::LeaseTerms granted_terms;
    granted_terms.grant_s = std::min(message.grant_s, kMaxGrantS);
    for (auto generation : generations) {
      JobIndex job_index;
      InboundDelegation *inbound = find_inbound(generation, cell, job_index);
      if (!inbound) continue;
      if (std::find(message.generations.begin(), message.generations.end(), generation) != message.generations.end())
        close(job_index, *inbound);
      else
        inbound->state.apply_grant(message.number, requested_at, granted_terms);
    }
    return;
  }
  case Kind::Progress:
    return handle_progress(from, cell, message);
  case Kind::ProgressAck: {
    JobIndex job_index;
    if (InboundDelegation *inbound = find_inbound(message.generation, cell, job_index); inbound && inbound->ended)
      jobs_.confirm_end_by_origin(job_index);
    return;
  }
  case Kind::Recall: {
    JobIndex job_index;
    if (InboundDelegation *inbound = find_inbound(message.generation, cell, job_index)) close(job_index, *inbound);
    return;
  }
  case Kind::Quota:
  case Kind::QuotaApplied:
  case Kind::QuotaChange:
  case Kind::QuotaOutcome:
    if (quota_handler_) quota_handler_(cell, std::move(message));
    return;
  }
}

bool CellFederation::send_quota_message(int cell, wire::CellMessage message) {
  return cells_[static_cast<std::size_t>(cell)].supports_quotas && send(cell, std::move(message));
}

void CellFederation::tick() {
  if (!enabled()) return;
  for (const auto &item : forwarded_requests_.expire(runtime_.now()))
    (void)item; // the other cell retries
  if (!leadership_.active() || runtime_.now() < next_tick_) return;
  next_tick_ = runtime_.now() + kTickIntervalS;
  bool cells_heard = false;
  for (int c = 0; c < static_cast<int>(cells_.size()); ++c) {
    auto &cell = cells_[static_cast<std::size_t>(c)];
    cell.nodes.tick(runtime_.now(), runtime_.random());
    cells_heard |= runtime_.now() - cell.heard_at < kPlanRules.max_summary_age_s;
    if (runtime_.now() >= cell.next_summary) {
      cell.next_summary = runtime_.now() + kSummaryIntervalS;
      auto message = make_message(Kind::Summary, c);
      message.number = ++last_request_number_ | (settings_.configuration ? wire::kKnowsQuotas : 0);
      fill_summary(message);
      send(c, std::move(message));
    }
  }
  if (runtime_.now() >= next_plan_) {
    next_plan_ = runtime_.now() + kPlanIntervalS;
    if (cells_heard || !outbound_jobs_.empty() || !inbound_list_.empty()) survey_capacity();
    if (cells_heard && runtime_.now() - leadership_.leading_since() > kPlanningStartDelayS) plan_delegations();
  }
  advance_outbound();
  advance_inbound();
  for (int c = 0; c < static_cast<int>(cells_.size()); ++c)
    renew_leases(c);
}

void CellFederation::on(const DelegationRecorded &event) {
  JobIndex job_index;
  if (OutboundDelegation *delegation = find_outbound(event.generation, job_index)) delegation->state.mark_recorded();
}

void CellFederation::on(const JobAccepted &event) {
  get_or_create(consecutive_choices_, event.job) = 0;
  get_or_create(outbound_, event.job).clear();
  const Job &job = jobs_[event.job];
  get_or_create(inbound_, event.job).reset();
  if (!job.delegated_here) return;
  const int origin = find_cell(job.delegated_here->origin);
  const auto last_request = origin >= 0 ? cells_[static_cast<std::size_t>(origin)].last_renewal_request : 0;
  get_or_create(inbound_, event.job) =
      InboundDelegation{.state = cells::DelegationAtRemote(job.delegated_here->generation, last_request),
                        .origin = origin,
                        .known_at = runtime_.now(),
                        .restored = !leadership_.leading()};
  inbound_list_.push_back(event.job);
  inbound_jobs_[{origin, job.delegated_here->generation}] = event.job;
  if (origin >= 0) cells_[static_cast<std::size_t>(origin)].next_renewal = 0;
  if (origin >= 0 && !job.cancelled) return;
  // Its origin is no longer in the features file and can't confirm it, or a local user has submitted a job of its id.
  inbound_[event.job.position()]->state.close();
  inbound_[event.job.position()]->ends_unacknowledged = true;
}

void CellFederation::on(const JobCancelled &event) {
  const Job &job = jobs_[event.job];
  if (job.delegated_here) {
    auto &inbound = inbound_[event.job.position()];
    if (!inbound) return;
    // If it was not closed before, its stored record was cancelled because a local user submitted this id.
    inbound->ends_unacknowledged |= !inbound->state.closed();
    inbound->state.close();
    return;
  }
  for (auto &delegation : get_or_create(outbound_, event.job))
    delegation.state.close();
}

void CellFederation::on(const JobFinalized &event) {
  for (const auto &delegation : get_or_create(outbound_, event.job))
    outbound_jobs_.erase(delegation.state.generation());
  get_or_create(outbound_, event.job).clear();
  if (auto &inbound = get_or_create(inbound_, event.job)) {
    std::erase(inbound_list_, event.job);
    inbound_jobs_.erase({inbound->origin, inbound->state.generation()});
    inbound.reset();
  }
}

void CellFederation::on(const TermStarted &) {
  if (!enabled()) return;
  next_tick_ = 0;
  jobs_.each([this](JobIndex job_index, const Job &job) {
    for (const auto &record : job.delegations) {
      // -1 if the cell is no longer in the features file; its tasks stop when the longest possible lease expires.
      const int cell = find_cell(record.cell);
      // Earlier settings may have allowed a longer lease.
      auto longest_terms = terms(record.lease_s);
      longest_terms.grant_s = kMaxGrantS;
      OutboundDelegation delegation{
          .state = cells::DelegationAtOrigin::restored(record.generation, leadership_.term(),
                                                       runtime_.now() + kOutageReportValidityS, longest_terms),
          .cell = cell,
          .created_at = runtime_.now(),
          .accepted = true,
          .progressed = true,
          .terms = terms(record.lease_s)};
      // Tasks of an expired delegation may have been started here; confirming it again would run them in two cells.
      if (job.cancelled || cell < 0 || record.expired) delegation.state.close();
      get_or_create(outbound_, job_index).push_back(std::move(delegation));
      outbound_jobs_[record.generation] = job_index;
    }
  });
}

void CellFederation::on(const TermEnded &) {
  outbound_.clear();
  outbound_jobs_.clear();
  inbound_.clear();
  inbound_list_.clear();
  inbound_jobs_.clear();
  recording_offers_.clear();
  capacity_requests_.clear();
  delegation_backoff_.clear();
  consecutive_choices_.clear();
  local_waits_.clear();
  for (auto &other_cell : cells_)
    other_cell.pending_renewals.clear();
}

std::vector<CellFederation::CellStatus> CellFederation::cell_statuses() const {
  std::vector<CellStatus> statuses;
  for (const auto &other_cell : cells_) {
    CellStatus status{other_cell.name, other_cell.heard_at < -1e8 ? -1 : runtime_.now() - other_cell.heard_at,
                      other_cell.lease_s <= 0 || grant_s(other_cell.lease_s) > 0};
    jobs_.each([&](JobIndex job_index, const Job &job) {
      for (const auto &delegation : job.delegations)
        if (delegation.cell == other_cell.name && !delegation.expired) {
          ++status.delegations;
          for (auto [begin, end] : delegation.tasks)
            for (auto i = begin; i < end; ++i)
              status.delegated_out_tasks += job.tasks[i].state == TaskState::Delegated;
        }
      if (!job.delegated_here || job.delegated_here->origin != other_cell.name) return;
      ++status.delegations_in;
      status.delegated_in_tasks += job.pending() + job.placed + job.unaccounted;
      (void)job_index;
    });
    statuses.push_back(std::move(status));
  }
  return statuses;
}

} // namespace loftrouter::core
