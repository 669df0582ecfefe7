// The remote side of delegations: accepts offers, renews leases, reports progress and returns unstarted tasks.
#include "federation_limits.hpp"

#include <algorithm>

#include "loftrouter/wire/storage_keys.hpp"

#include "loftrouter/core/runtime/ranges.hpp"

namespace loftrouter::core {

bool CellFederation::can_run_on(const cells::DelegationCandidate &work, const MachinePool &pool) const {
  wire::CellKind kind;
  kind.type = catalog_.type_name(pool.kind.type);
  kind.spot = pool.kind.spot;
  kind.size = pool.size;
  return cells::can_run_on(work, kind);
}

// Returns the CPUs that may be granted to another cell's work: the whole tasks that fit on machines for which no local
// job waits, and an allowance for scaling out, up to the operators' limit.
double CellFederation::spare_cpus(const cells::DelegationCandidate &work) const {
  double free_cpus = 0, running_cpus = 0, inbound_cpus = 0;
  bool can_scale_out = false;
  std::set<MachineKind> usable_kinds;
  for (const auto &pool : machine_pools_) {
    running_cpus += pool.cpus;
    if (!can_run_on(work, pool) || pool.queued_cpu_s > 0) continue;
    usable_kinds.insert(pool.kind);
    can_scale_out |= !pool.lacks_capacity;
  }
  workers_.each([&](MachineIndex, const Machine &machine) {
    if (!machine.available() || machine.returning() || machine.admin_state || machine.reclaim_at ||
        machine.draining() || machine.heartbeat_overdue(runtime_.now(), settings_.heartbeat_interval_s) ||
        !usable_kinds.contains({machine.type, machine.zone, machine.spot}))
      return;
    Resources remaining = machine.size;
    remaining.add(machine.used, -1);
    free_cpus += work.need.count_in(remaining) * work.need.cpus;
  });
  for (JobIndex job_index : inbound_list_) {
    const Job &job = jobs_[job_index];
    inbound_cpus += (job.pending() + job.placed) * job.spec.need.cpus;
    free_cpus -= job.pending() * job.spec.need.cpus;
  }
  const double scale_out_cpus = can_scale_out ? std::max(kMinAcceptedCpus, kScaleOutAcceptShare * running_cpus) : 0;
  return std::max(0.0, std::min(operators_.cell_rules().max_accepted_cpus - inbound_cpus,
                                std::max(0.0, free_cpus) + scale_out_cpus));
}

void CellFederation::handle_offer(const ReplyTarget &from, int cell, wire::CellMessage &&message) {
  auto respond = [this, from, cell, generation = message.generation,
                  number = message.number](bool accepted, std::string_view refusal) {
    auto response = make_message(Kind::OfferReply, cell);
    response.number = number;
    response.generation = generation;
    response.accepted = accepted;
    response.body = refusal;
    reply(from, std::move(response));
  };
  JobIndex known_job;
  if (find_inbound(message.generation, cell, known_job)) return respond(true, "");
  if (recording_offers_.contains(message.generation)) return;
  if (!leadership_.active() || !replicas_.may_answer_heartbeats()) return; // the origin retries
  auto spec = wire::decode_job(message.body);
  auto *job = std::get_if<JobSpec>(&spec);
  if (!job || message.ranges.back().second > job->tasks) return respond(false, "the job cannot be read");
  if (jobs_.index(job->id).valid()) return respond(false, "its id is in use here");
  if (!operators_.cell_rules().accept) return respond(false, "nothing is borrowed here");
  if (inbound_list_.size() >= kMaxInboundDelegations) return respond(false, "too much is borrowed already");
  std::uint32_t tasks = 0;
  for (auto [begin, end] : message.ranges)
    tasks += end - begin;
  if (!capacity_grants_.redeem(message.number, tasks, runtime_.now()))
    return respond(false, "no room was promised for it");
  OpenRecord record{std::move(*job), runtime_.wall(), false,
                    DelegationSource{message.from, message.generation, message.ranges}};
  record.spec.zone.reset();
  const std::string key = wire::open_key(record.spec.id), end_key = wire::end_key(record.spec.id);
  auto value = wire::to_json(record);
  if (!state_limits_.fits(value, StateServiceLimits::kCancellationMarkRoom))
    return respond(false, "its description is too long to be kept");
  state_limits_.take_leader_writes(runtime_.now(), 1);
  recording_offers_.insert(message.generation);
  // The record is stored before the offer is accepted, and only if no local job has used the id.
  runtime_.store(
      StoreCommit{{{std::string(wire::kLeaderKey), leadership_.term()}, {key, 0}, {end_key, 0}}, {{key, value, 0}}},
      kOfferCommitTimeoutS,
      [this, respond, key, value, generation = message.generation,
       epoch = leadership_.epoch()](const wire::StoreReply &reply) {
        if (epoch != leadership_.epoch()) return;
        recording_offers_.erase(generation);
        if (reply.status == 409) return respond(false, "its id is in use here");
        // If it was stored after all, the watch loads the record and the next offer is accepted.
        if (reply.status != 200) return;
        state_writer_.load_open_record(key, value, reply.revision);
        respond(true, "");
      });
}

CellFederation::InboundDelegation *CellFederation::find_inbound(std::uint64_t generation, int origin,
                                                                JobIndex &job_index) {
  const auto it = inbound_jobs_.find({origin, generation});
  if (it == inbound_jobs_.end()) return nullptr;
  job_index = it->second;
  return &*inbound_[job_index.position()];
}

void CellFederation::close(JobIndex job_index, InboundDelegation &inbound) {
  inbound.state.close();
  if (!jobs_[job_index].cancelled) jobs_.cancel(job_index); // stops its tasks here, without recording a cancellation
}

void CellFederation::expire_delegations() {
  if (!leadership_.leading()) return;
  for (JobIndex job_index : inbound_list_) {
    auto &inbound = *inbound_[job_index.position()];
    inbound.state.tick(runtime_.now());
    const double timeout_s = inbound.restored ? kRestoredConfirmTimeoutS : kFirstConfirmTimeoutS;
    if (inbound.state.closed() || (!inbound.state.ever_granted() && runtime_.now() - inbound.known_at > timeout_s))
      close(job_index, inbound);
    jobs_.pause(job_index, inbound.draining || !inbound.state.may_run(runtime_.now()));
  }
}

bool CellFederation::has_unconfirmed_delegation(const Heartbeat &heartbeat) const {
  if (inbound_list_.empty()) return false;
  return std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(), [this](const TaskStatus &task) {
    const JobIndex job_index = jobs_.index(task.job);
    const auto *inbound = job_index.valid() && job_index.position() < inbound_.size() && inbound_[job_index.position()]
                              ? &*inbound_[job_index.position()]
                              : nullptr;
    return inbound && !inbound->state.ever_granted() && !inbound->state.closed();
  });
}

void CellFederation::advance_inbound() {
  if (inbound_list_.empty()) return;
  const double now = runtime_.now();
  const auto counts = workers_.running_tasks_by_job();
  for (std::size_t k = 0; k < inbound_list_.size(); ++k) {
    const JobIndex job_index = inbound_list_[k];
    auto &inbound = *inbound_[job_index.position()];
    const Job &job = jobs_[job_index];
    // Returns the pending tasks to the origin if none runs, or local jobs have waited, for too long; running ones may
    // finish.
    const bool stalled = job.pending() > 0 && !inbound.state.closed() && (job.placed == 0 || own_waiting_cpus_ > 0);
    if (!stalled)
      inbound.stalled_since = -1;
    else if (inbound.stalled_since < 0)
      inbound.stalled_since = now;
    if (stalled && now - inbound.stalled_since > kUnstartedTimeoutS && !std::exchange(inbound.draining, true)) {
      jobs_.pause(job_index, true);
      workers_.release_unsent(job_index); // frees allocations whose tasks were not sent to a worker yet
    }
    const bool nothing_runs = job.placed == 0 && job.unaccounted == 0;
    if (inbound.draining && nothing_runs) close(job_index, inbound);
    inbound.ended = nothing_runs && (inbound.state.closed() || job.done == job.spec.tasks);
    // A local job that needs the id doesn't wait for the origin's acknowledgement.
    if (inbound.ended && inbound.ends_unacknowledged) jobs_.confirm_end_by_origin(job_index);
    const std::uint32_t running = counts[job_index.position()];
    const auto usage = ledger_.enabled() ? ledger_.current_usage(job_index) : accounts::Usage{};
    const bool changed = inbound.ended || job.done != inbound.reported_done || running != inbound.reported_running ||
                         usage.held() != inbound.reported_usage;
    if (job.ending || now < inbound.next_progress ||
        (!changed && now < inbound.next_progress + kUnchangedProgressIntervalS - kProgressIntervalS))
      continue;
    if (inbound.origin < 0) continue;
    auto message = make_message(Kind::Progress, inbound.origin);
    message.generation = inbound.state.generation();
    message.origin_term = cells_[static_cast<std::size_t>(inbound.origin)].term;
    message.ended = inbound.ended;
    message.running = running;
    message.usage = usage;
    std::vector<char> task_done(job.spec.tasks, 0);
    for (auto [begin, end] : job.delegated_here->tasks)
      for (auto i = begin; i < end && i < job.spec.tasks; ++i)
        task_done[i] = job.tasks[i].state == TaskState::Done;
    message.ranges =
        narrow(make_ranges(job.spec.tasks, [&](std::uint32_t i) { return task_done[i] != 0; }), wire::kCellMaxRanges);
    inbound.next_progress = now + (inbound.ended ? kRetryIntervalS : kProgressIntervalS);
    if (!send(inbound.origin, std::move(message))) continue;
    inbound.reported_done = job.done;
    inbound.reported_running = running;
    inbound.reported_usage = usage.held();
  }
}

void CellFederation::renew_leases(int origin) {
  auto &other_cell = cells_[static_cast<std::size_t>(origin)];
  std::vector<std::uint64_t> generations;
  bool unconfirmed = false;
  for (JobIndex job_index : inbound_list_) {
    const auto &inbound = *inbound_[job_index.position()];
    if (inbound.origin != origin || inbound.state.closed()) continue;
    generations.push_back(inbound.state.generation());
    unconfirmed |= !inbound.state.ever_granted();
  }
  // Renews sooner while a delegation has not been confirmed.
  if (generations.empty() || (runtime_.now() < other_cell.next_renewal &&
                              !(unconfirmed && runtime_.now() > other_cell.next_renewal - kUnconfirmedRenewalLeadS)))
    return;
  other_cell.next_renewal = runtime_.now() + kMaxGrantS * kRenewalFraction;
  std::erase_if(other_cell.pending_renewals,
                [this](const auto &renewal) { return runtime_.now() - renewal.second.requested_at > kMaxGrantS; });
  for (std::size_t i = 0; i < generations.size(); i += wire::kCellMaxGenerations) {
    auto message = make_message(Kind::Renewal, origin);
    message.number = ++other_cell.last_renewal_request;
    message.lease_s = settings_.lease_s;
    message.generations.assign(generations.begin() + static_cast<long>(i),
                               generations.begin() +
                                   static_cast<long>(std::min(generations.size(), i + wire::kCellMaxGenerations)));
    other_cell.pending_renewals[message.number] = {runtime_.now(), message.generations};
    send(origin, std::move(message));
  }
}

} // namespace loftrouter::core
