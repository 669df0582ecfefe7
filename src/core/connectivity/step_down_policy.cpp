#include "loftrouter/core/connectivity/step_down_policy.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace loftrouter::core {

namespace {
constexpr double kAbstentionS = 15.0; // time after stepping down in which this replica does not run for leader

// Shortly after a failover a leader steps down only after an additional delay, so that flapping links change the leader
// at most once a minute.
constexpr double kRecentFailoverS = 60.0;
constexpr double kRecentFailoverDelayS = 10.0;

// With few workers known, all of them may be slow by coincidence, so the delay is at least two heartbeat intervals.
constexpr double kMinFewWorkersDelayS = 4.5;
constexpr double kFewWorkersMarginS = 2.0;

// Time for other replicas to learn that they should forward heartbeats, and for the next heartbeats to arrive.
constexpr double kForwardingDelayS = 3.0;
constexpr double kProviderDelayS = 20.0; // time for the cloud provider to recover

// Minimum time by which the other replica's last heartbeat must be more recent than this replica's.
constexpr double kMinHeartbeatAdvantageS = 1.5;

constexpr std::size_t kMinWorkers = FailureDetector::GroupCount::kMinWorkers;
} // namespace

StepDownPolicy::Assessment StepDownPolicy::assess(const Observation &observation) const {
  const double now = runtime_.now();
  const double leading_since = leadership_.leading_since();
  const FailureDetector::GroupCount &totals = failure_detector_.totals();
  Assessment assessment;
  assessment.enough_workers = workers_.available_count() >= kMinWorkers;
  assessment.recent_failover = now - leadership_.failover_at() < kRecentFailoverS;
  assessment.heartbeat_gap_s =
      now - std::max({observation.last_heartbeat_at, leading_since, observation.stall_ended_at});
  assessment.known_workers = totals.known;
  assessment.reachable_workers = totals.known - totals.overdue;

  // The delay is short because workers must reach the next leader before their lease expires, and time out after 4 s
  // on each replica.
  double step_down_delay_s =
      assessment.enough_workers
          ? heartbeat_timeout_s(settings_)
          : std::max(kMinFewWorkersDelayS, 2 * settings_.heartbeat_interval_s + kFewWorkersMarginS);
  const bool heartbeats_in_this_term = observation.last_heartbeat_at > leading_since;
  step_down_delay_s += assessment.recent_failover && heartbeats_in_this_term ? kRecentFailoverDelayS : 0;
  // Allows time for forwarding to start if workers reach a replica that can forward their heartbeats.
  const double forwarding_delay_s = reachable_by_forwarding(observation.own_record, settings_) ? kForwardingDelayS : 0;
  assessment.all_workers_lost =
      totals.known > 0 && assessment.heartbeat_gap_s >= step_down_delay_s + forwarding_delay_s;
  // At least two thirds of the workers are overdue.
  assessment.most_workers_lost = !assessment.all_workers_lost && !assessment.recent_failover &&
                                 totals.known >= 2 * kMinWorkers && 3 * totals.overdue >= 2 * totals.known &&
                                 now - observation.stall_ended_at > step_down_delay_s;

  const double provider_gap_s = now - std::max(runtime_.provider_answered_at(), leading_since);
  assessment.provider_lost = observation.own_record.cloud == ProviderHealth::Unhealthy &&
                             provider_gap_s > (assessment.recent_failover ? kRecentFailoverS : kProviderDelayS);
  return assessment;
}

std::optional<std::string> StepDownPolicy::reason_to_step_down(const Assessment &assessment, ReplicaIndex replica,
                                                               const ReplicaConnectivity &other) const {
  const ConnectivityRecord &record = other.record;
  const bool directly_reachable = record.workers == WorkerReachability::Reachable;
  const bool reachable = reachable_by_workers(record, settings_);
  if (record.workers == WorkerReachability::Unreachable && !reachable) return std::nullopt;

  if (assessment.all_workers_lost) {
    const double heartbeat_age_s =
        std::min(record.last_heartbeat_age_s, record.last_forwardable_heartbeat_age_s) + other.age_s;
    // Heartbeats may have stopped at the other replica at the same time as here.
    if (reachable && heartbeat_age_s + kMinHeartbeatAdvantageS > assessment.heartbeat_gap_s) return std::nullopt;
    // With few workers, the workers themselves may have failed, so the other replica must have received heartbeats.
    // Otherwise it need not have received any, because followers redirect workers to the leader.
    if (reachable || (assessment.enough_workers && !assessment.recent_failover))
      return "no worker reaches this replica";
  }
  if (assessment.most_workers_lost && directly_reachable &&
      record.machines > 2 * assessment.reachable_workers + kMinWorkers &&
      !replicas_[replica].service_status.can_forward)
    return fmt::format("only {} of {} workers reach this replica", assessment.reachable_workers,
                       assessment.known_workers);
  if (assessment.provider_lost && record.cloud == ProviderHealth::Healthy)
    return "the cloud provider does not answer this replica";
  return std::nullopt;
}

// If a leader that workers cannot reach does not step down, the other replicas keep redirecting workers to it until the
// workers' leases expire.
void StepDownPolicy::apply(const Observation &observation, const ConnectivityByReplica &others) {
  if (!leadership_.active()) return;
  const Assessment assessment = assess(observation);
  if (assessment.healthy()) return;
  for (const ReplicaIndex replica : replicas_.indices()) {
    const auto &other = others[replica.position()];
    if (!other) continue;
    if (const auto reason = reason_to_step_down(assessment, replica, *other))
      return step_down(*reason, replica, *other);
  }
}

void StepDownPolicy::step_down(std::string_view reason, ReplicaIndex replica, const ReplicaConnectivity &other) {
  std::string advantage = "may reach workers";
  if (other.record.workers == WorkerReachability::Reachable)
    advantage = fmt::format("receives heartbeats of about {} workers", other.record.machines);
  else if (reachable_by_forwarding(other.record, settings_))
    advantage = "receives forwarded heartbeats";
  const char *record_source = other.over_peer_link ? "peer link" : "state service";
  leadership_.step_down(
      fmt::format("{}; {} {} (learned from the {})", reason, replicas_.name(replica), advantage, record_source));
  leadership_.abstain_from_elections(kAbstentionS);
}

} // namespace loftrouter::core
