// The origin side of delegations: chooses cells, requests capacity, and follows each delegation to its end.
#include "federation_limits.hpp"

#include <algorithm>
#include <cmath>

#include "loftrouter/core/runtime/growing_table.hpp"

namespace loftrouter::core {

// A cancelled task must stop within cancel_s: the delegation lease, the worker lease and the slack must fit into it.
double CellFederation::grant_s(double lease_s) const {
  const double available_s = settings_.cancel_s - lease_s * (1 + kMaxClockDrift) - kCancellationSlackS;
  return available_s < kMinGrantS ? 0 : std::min(kMaxGrantS, available_s);
}

cells::LeaseTerms CellFederation::terms(double lease_s) const {
  cells::LeaseTerms terms;
  terms.grant_s = grant_s(lease_s);
  terms.lease_s = lease_s;
  terms.drift = kMaxClockDrift;
  return terms;
}

// Returns whether tasks under a renewed lease would still stop in time if they were cancelled just after the latest
// known cancellation. During an outage of the state service, also requires that this leader may answer its own workers.
bool CellFederation::may_confirm(const cells::LeaseTerms &terms) const {
  return replicas_.may_answer_heartbeats() && terms.grant_s > 0 &&
         runtime_.now() - cancellations_.known_until() + terms.release_delay_s() < settings_.cancel_s - 1;
}

bool CellFederation::may_delegate(const JobSpec &spec) const {
  const auto &rules = operators_.cell_rules();
  auto contains = [](const std::vector<std::string> &names, const std::string &name) {
    return std::find(names.begin(), names.end(), name) != names.end();
  };
  if (!rules.delegate || spec.shape == Shape::Service || spec.team.starts_with('@') || !spec.dependencies.empty())
    return false;
  if (contains(rules.stay_teams, spec.team) || contains(rules.stay_classes, spec.job_class)) return false;
  return !spec.zone; // a job that requests a zone stays in this cell
}

cells::DelegationCandidate CellFederation::candidate(JobIndex job_index) const {
  const Job &job = jobs_[job_index];
  cells::DelegationCandidate work;
  work.need = job.spec.need;
  if (job.spec.types) work.types = *job.spec.types;
  work.spot = job.spec.spot;
  work.all_or_nothing = job.spec.shape == Shape::Gang || job.spec.one_zone || job.spec.spread;
  work.tasks = job.pending();
  work.estimate_s = job.spec.estimate_s;
  work.image_gb = job.spec.image_gb;
  work.priority = job.spec.priority;
  work.local_wait_s = job_index.position() < local_waits_.size() ? local_waits_[job_index.position()] : 0;
  return work;
}

static std::uint64_t backoff_key(std::uint64_t serial, int cell) {
  return serial << 8 | static_cast<std::uint64_t>(cell & 255);
}

// Requests capacity for waiting jobs that would start sooner in another cell, those with the least slack to their
// target first. A delegation is recorded only once the other cell has granted capacity.
void CellFederation::plan_delegations() {
  std::erase_if(capacity_requests_, [this](const auto &request) { return runtime_.now() > request.second.expires_at; });
  std::erase_if(delegation_backoff_, [this](const auto &backoff) { return runtime_.now() > backoff.second; });
  if (!operators_.cell_rules().delegate || outbound_jobs_.size() >= kMaxDelegations) return;
  std::vector<cells::CellCapacity> capacities;
  bool any_available = false;
  for (auto &other_cell : cells_) {
    capacities.push_back(other_cell.capacity);
    capacities.back().age_s = runtime_.now() - other_cell.heard_at;
    capacities.back().available = grant_s(other_cell.lease_s) > 0;
    if (!capacities.back().available && other_cell.lease_s > 0 && !std::exchange(other_cell.reported_disabled, true))
      runtime_.log(LogLevel::Error, "delegation_disabled",
                   {{"cell", other_cell.name},
                    {"why", "cancel_s leaves no time for a delegation lease beside the worker lease"},
                    {"cancel_s", settings_.cancel_s},
                    {"lease_s", other_cell.lease_s}});
    any_available |= capacities.back().available && capacities.back().age_s < kPlanRules.max_summary_age_s;
  }
  if (!any_available) return;
  std::vector<std::pair<double, JobIndex>> jobs_by_slack; // by slack, s
  jobs_.each([&](JobIndex job_index, const Job &job) {
    int &consecutive = get_or_create(consecutive_choices_, job_index);
    const bool all_or_nothing = job.spec.shape == Shape::Gang || job.spec.one_zone || job.spec.spread;
    if (job.delegated_here || job.cancelled || job.ending || job.pending() == 0 ||
        job.delegations.size() >= kMaxDelegationsPerJob || failure_attribution_.suspected(job_index) || job.team < 0 ||
        ledger_.budget_exhausted(job.team) || !may_delegate(job.spec) ||
        (all_or_nothing && (job.placed || job.unaccounted || job.delegated))) {
      consecutive = 0;
      return;
    }
    const double age_s = std::max(0.0, runtime_.wall() - job.submit_wall);
    jobs_by_slack.emplace_back(
        objectives_.achievable_target(job.spec, job.spec.deadline_s, age_s) - age_s - job.spec.estimate_s, job_index);
  });
  std::sort(jobs_by_slack.begin(), jobs_by_slack.end());
  for (auto [slack_s, job_index] : jobs_by_slack) {
    if (capacity_requests_.size() >= kMaxCapacityRequests) return;
    const Job &job = jobs_[job_index];
    auto candidates = capacities;
    for (std::size_t c = 0; c < candidates.size(); ++c) {
      candidates[c].available &= !delegation_backoff_.contains(backoff_key(job.serial, static_cast<int>(c)));
      for (const auto &delegation : job.delegations) // one delegation of a job to a cell at a time
        candidates[c].available &= delegation.cell != cells_[c].name;
    }
    const auto work = candidate(job_index);
    auto choice = cells::choose_cell(work, candidates, kPlanRules);
    if (settings_.cells.random_delegation && work.local_wait_s > 1) {
      const auto random_cell = static_cast<std::size_t>(runtime_.random() * static_cast<double>(candidates.size()));
      if (candidates[random_cell].available) choice = cells::CellChoice{static_cast<int>(random_cell), 0, 0};
    }
    int &consecutive = get_or_create(consecutive_choices_, job_index);
    consecutive = choice ? consecutive + 1 : 0;
    if (consecutive < kMinConsecutiveChoices) continue; // avoids acting on a short-lived imbalance
    // Keeps the share of the tasks that would start locally before the delegated ones could start.
    const double share = std::clamp(1 - choice->wait_s / std::max(0.1, work.local_wait_s), 0.0, 1.0);
    const auto tasks =
        work.all_or_nothing ? work.tasks : std::max(kMinDelegatedTasks, static_cast<std::uint32_t>(work.tasks * share));
    const auto quota_tasks = tasks_within_quota(job_index);
    if (quota_tasks == 0 || (work.all_or_nothing && quota_tasks < work.tasks)) continue;
    request_capacity(job_index, choice->cell, work, std::min(tasks, quota_tasks));
    consecutive = 0;
  }
}

// Returns how many more of the job's tasks fit into its team's limit, which counts tasks in all cells.
std::uint32_t CellFederation::tasks_within_quota(JobIndex job_index) const {
  const Job &job = jobs_[job_index];
  const auto headroom = quotas_.headroom()[static_cast<std::size_t>(job.team)];
  double max_tasks = 1e6;
  if (headroom.cpus >= 0 && job.spec.need.cpus > 0)
    max_tasks = std::min(max_tasks, std::floor(headroom.cpus / job.spec.need.cpus + 1e-9));
  if (headroom.gpus >= 0 && job.spec.need.gpus > 0)
    max_tasks = std::min(max_tasks, std::floor(headroom.gpus / job.spec.need.gpus + 1e-9));
  return static_cast<std::uint32_t>(max_tasks);
}

void CellFederation::request_capacity(JobIndex job_index, int cell, const cells::DelegationCandidate &work,
                                      std::uint32_t tasks) {
  const std::uint64_t grant_id = ++last_request_number_;
  auto message = make_message(Kind::CapacityRequest, cell);
  message.number = grant_id;
  message.need = work.need;
  message.tasks = tasks;
  message.types = work.types;
  message.spot = work.spot;
  message.all_at_once = work.all_or_nothing;
  delegation_backoff_[backoff_key(jobs_[job_index].serial, cell)] = runtime_.now() + kCapacityRetryDelayS;
  if (send(cell, std::move(message)))
    capacity_requests_[grant_id] = {job_index, cell, jobs_[job_index].serial, tasks,
                                    runtime_.now() + kCapacityRequestTimeoutS};
}

void CellFederation::delegate(const PendingCapacityRequest &request, std::uint64_t grant_id, std::uint32_t tasks) {
  const Job *job = jobs_.find(request.job);
  if (!job || job->serial != request.serial || job->cancelled || job->ending || !leadership_.active() || tasks == 0 ||
      tasks > request.tasks)
    return;
  const bool all_or_nothing = job->spec.shape == Shape::Gang || job->spec.one_zone || job->spec.spread;
  if (job->pending() == 0 || job->delegations.size() >= kMaxDelegationsPerJob ||
      (all_or_nothing && tasks < job->pending()))
    return;
  // Delegated tasks count against the team's limit from now on.
  tasks = std::min(tasks, tasks_within_quota(request.job));
  if (tasks == 0 || (all_or_nothing && tasks < job->pending())) return;
  // Delegates the last pending tasks, in few ranges; the first start locally.
  Ranges ranges;
  std::uint32_t selected = 0;
  for (std::uint32_t i = job->spec.tasks; i-- > 0 && selected < tasks;) {
    if (job->tasks[i].state != TaskState::Pending) continue;
    if (!ranges.empty() && ranges.back().first == i + 1)
      ranges.back().first = i;
    else if (ranges.size() < kMaxRangesPerDelegation)
      ranges.emplace_back(i, i + 1);
    else
      break;
    ++selected;
  }
  std::reverse(ranges.begin(), ranges.end());
  if (selected == 0 || (all_or_nothing && selected < job->pending())) return;
  const auto &other_cell = cells_[static_cast<std::size_t>(request.cell)];
  const cells::Generation generation = (leadership_.term() << 20) + ++delegations_made_;
  get_or_create(outbound_, request.job)
      .push_back({.state = cells::DelegationAtOrigin(generation, leadership_.term()),
                  .cell = request.cell,
                  .created_at = runtime_.now(),
                  .grant_id = grant_id,
                  .terms = terms(other_cell.lease_s)});
  outbound_jobs_[generation] = request.job;
  delegation_backoff_[backoff_key(job->serial, request.cell)] = runtime_.now() + kRedelegationDelayS;
  runtime_.log(LogLevel::Info, "delegation_started",
               {{"job", job->spec.id},
                {"class", job->spec.job_class},
                {"tasks", selected},
                {"cell", other_cell.name},
                {"expected_wait_s", local_waits_[request.job.position()]}});
  jobs_.delegate(request.job, {generation, other_cell.name, std::move(ranges), other_cell.lease_s, false, {}});
}

CellFederation::OutboundDelegation *CellFederation::find_outbound(std::uint64_t generation, JobIndex &job_index) {
  const auto it = outbound_jobs_.find(generation);
  if (it == outbound_jobs_.end()) return nullptr;
  job_index = it->second;
  for (auto &delegation : outbound_[job_index.position()])
    if (delegation.state.generation() == generation) return &delegation;
  return nullptr;
}

wire::CellMessage CellFederation::make_offer(JobIndex job_index, const OutboundDelegation &delegation) const {
  const Job &job = jobs_[job_index];
  auto message = make_message(Kind::DelegationOffer, delegation.cell);
  message.number = delegation.grant_id;
  message.generation = delegation.state.generation();
  JobSpec spec = job.spec;
  const double age = std::max(0.0, runtime_.wall() - job.submit_wall);
  spec.deadline_s =
      objectives_.completion_target(job.spec, job.spec.deadline_s)
          ? std::optional(std::max(1.0, objectives_.achievable_target(job.spec, job.spec.deadline_s, age) - age))
          : std::nullopt;
  message.body = wire::encode(wire::to_json(spec));
  for (const auto &record : job.delegations)
    if (record.generation == message.generation) message.ranges = record.tasks;
  return message;
}

// Advances each outbound delegation: offers, recalls, expires or removes it.
void CellFederation::advance_outbound() {
  std::vector<std::pair<JobIndex, std::uint64_t>> removed, expired;
  const double now = runtime_.now();
  for (const auto &[generation, job_index] : outbound_jobs_) {
    JobIndex found;
    OutboundDelegation &delegation = *find_outbound(generation, found);
    const Job &job = jobs_[job_index];
    const auto record = std::find_if(job.delegations.begin(), job.delegations.end(),
                                     [id = generation](const auto &item) { return item.generation == id; });
    if (delegation.removing || record == job.delegations.end() || record->expired) continue;
    if (delegation.state.may_offer() && !delegation.accepted && now >= delegation.next_offer) {
      delegation.next_offer = now + kRetryIntervalS;
      if (now - delegation.created_at > kOfferTimeoutS)
        delegation.state.close();
      else
        send(delegation.cell, make_offer(job_index, delegation));
    }
    // The lease has expired without a renewal request, so no task of it runs remotely any more.
    if (delegation.state.may_offer() && delegation.state.confirmed() && now >= delegation.state.expires_at())
      delegation.state.close();
    if (!delegation.state.closing() && delegation.accepted &&
        !delegation.progressed) { // recalls unstarted tasks that could start here
      const bool startable =
          local_waits_.size() > job_index.position() && local_waits_[job_index.position()] < 1 && own_waiting_cpus_ < 1;
      if (!startable)
        delegation.startable_since = -1;
      else if (delegation.startable_since < 0)
        delegation.startable_since = now;
      if (startable && now - delegation.startable_since > kOriginIdleRecallS) delegation.state.close();
    }
    if (delegation.state.closing() && now >= delegation.next_recall && delegation.state.confirmed()) {
      delegation.next_recall = now + kRetryIntervalS;
      auto message = make_message(Kind::Recall, delegation.cell);
      message.generation = generation;
      send(delegation.cell, std::move(message));
    }
    if (delegation.state.released(now))
      (delegation.state.confirmed() ? expired : removed).emplace_back(job_index, generation);
  }
  for (auto [job_index, generation] : expired) {
    runtime_.log(LogLevel::Info, "delegation_expired",
                 {{"job", jobs_[job_index].spec.id}, {"why", "the remote cell has not renewed the lease"}});
    jobs_.expire_delegation(job_index, generation);
  }
  for (auto [job_index, generation] : removed)
    if (OutboundDelegation *delegation = find_outbound(generation, job_index)) remove(job_index, *delegation);
}

// Records the removal, after which the end is acknowledged to the remote cell. A delegation that was never confirmed
// may not have been recorded and is forgotten at once.
void CellFederation::remove(JobIndex job_index, OutboundDelegation &delegation) {
  const auto generation = delegation.state.generation();
  delegation.removing = true;
  delegation.running = 0;
  const bool forget = !delegation.state.confirmed();
  jobs_.remove_delegation(job_index, generation);
  if (forget) on(DelegationRemoved{job_index, generation});
}

void CellFederation::on(const DelegationRemoved &event) {
  std::erase_if(get_or_create(outbound_, event.job), [&event](const OutboundDelegation &delegation) {
    return delegation.state.generation() == event.generation;
  });
  outbound_jobs_.erase(event.generation);
}

// Applies a report on the progress or end of a delegation: charges its usage and finishes the tasks that are done
// remotely, unless they were restarted here after the delegation expired.
void CellFederation::handle_progress(const ReplyTarget &from, int cell, const wire::CellMessage &message) {
  JobIndex job_index;
  OutboundDelegation *delegation = find_outbound(message.generation, job_index);
  if (!delegation || delegation->cell != cell) {
    if (!message.ended || !leadership_.active()) return;
    auto response = make_message(Kind::ProgressAck, cell); // removed already, or unknown
    response.generation = message.generation;
    return reply(from, std::move(response));
  }
  const Job &job = jobs_[job_index];
  const auto record = std::find_if(job.delegations.begin(), job.delegations.end(),
                                   [&](const auto &item) { return item.generation == message.generation; });
  if (delegation->removing || record == job.delegations.end() || !leadership_.active())
    return; // the remote cell resends the report
  const Ranges delegated_tasks = record->tasks;
  const bool expired = record->expired;
  const auto uncharged_usage = message.usage - record->charged;
  // Usage below what is already charged comes from a delayed message and is ignored.
  if (std::all_of(uncharged_usage.values.begin(), uncharged_usage.values.end(),
                  [](auto amount) { return amount >= 0; }) &&
      !uncharged_usage.all_zero()) {
    ledger_.charge_remote_usage(job_index, uncharged_usage);
    jobs_.charge_delegation(job_index, message.generation, message.usage);
    jobs_.publish_changed(job_index, false);
  }
  auto is_delegated = [&](std::uint32_t i) {
    return std::any_of(delegated_tasks.begin(), delegated_tasks.end(),
                       [i](auto range) { return i >= range.first && i < range.second; });
  };
  for (auto [begin, end] : message.ranges)
    for (auto i = begin; i < end && i < job.spec.tasks; ++i) {
      const auto state = job.tasks[i].state;
      if (is_delegated(i) &&
          (state == TaskState::Delegated || (expired && state == TaskState::Pending && !job.cancelled))) {
        delegation->progressed = true;
        jobs_.finish(job_index, i);
      }
    }
  delegation->running = expired || message.ended ? 0 : message.running;
  delegation->progressed |= message.running > 0;
  std::uint32_t running = 0;
  for (const auto &outbound : outbound_[job_index.position()])
    running += outbound.running;
  jobs_.set_delegated_running(job_index, running);
  if (!message.ended) return;
  if (!expired && !delegation->state.mark_ended(message.term, message.origin_term)) return;
  runtime_.log(LogLevel::Info, "delegation_ended",
               {{"job", job.spec.id}, {"cell", cells_[static_cast<std::size_t>(cell)].name}, {"late", expired}});
  remove(job_index, *delegation);
}

} // namespace loftrouter::core
