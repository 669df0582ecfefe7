#include "loftrouter/core/connectivity/step_down_policy.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace loftrouter::core {

namespace {
constexpr double kAbstentionS = 15.0; // before a replica that has stepped down runs for leader again

// A term that took over from another leader is ended so much later while it is young, so that links that come and go
// change the leader once a minute at most.
constexpr double kYoungTermS = 60.0;
constexpr double kYoungTermPatienceS = 10.0;

// Where few workers are known, they may hang by chance.
constexpr double kMinFewWorkersPatienceS = 4.5;
constexpr double kFewWorkersMarginS = 2.0;

// For other replicas to learn that heartbeats are to be forwarded, and for the next heartbeats to come.
constexpr double kForwardingPatienceS = 3.0;
constexpr double kProviderPatienceS = 20.0;

// By how much later workers have to have been heard elsewhere than here.
constexpr double kMinHeartbeatLeadS = 1.5;

constexpr std::size_t kMinWorkers = FailureDetector::GroupCount::kMinWorkers;
} // namespace

StepDownPolicy::Assessment StepDownPolicy::assess(const Observation &observation) const {
  const double now = runtime_.now();
  const double leading_since = leadership_.leading_since();
  const FailureDetector::GroupCount &totals = failure_detector_.totals();
  Assessment self;
  self.several_workers = workers_.available_count() >= kMinWorkers;
  self.young_term = now - leadership_.failover_at() < kYoungTermS;
  self.silence_s = now - std::max({observation.last_heartbeat_at, leading_since, observation.resumed_at});
  self.workers_known = totals.known;
  self.workers_here = totals.known - totals.overdue;

  // Each second saved here is one more for workers, which wait 4 s for an answer before they try elsewhere, to reach
  // the next leader within their lease.
  double patience_s = self.several_workers
                          ? heartbeat_timeout_s(settings_)
                          : std::max(kMinFewWorkersPatienceS, 2 * settings_.heartbeat_interval_s + kFewWorkersMarginS);
  const bool heartbeats_in_this_term = observation.last_heartbeat_at > leading_since;
  patience_s += self.young_term && heartbeats_in_this_term ? kYoungTermPatienceS : 0;
  // If workers reach a replica that can forward their heartbeats, it is given time to do so.
  const double forwarding_s = reachable_by_forwarding(observation.own, settings_) ? kForwardingPatienceS : 0;
  self.downlink_lost = totals.known > 0 && self.silence_s >= patience_s + forwarding_s;
  self.few_reach_here = !self.downlink_lost && !self.young_term && totals.known >= 2 * kMinWorkers &&
                        3 * totals.overdue >= 2 * totals.known && now - observation.resumed_at > patience_s;

  const double provider_silence_s = now - std::max(runtime_.provider_answered_at(), leading_since);
  self.provider_lost = observation.own.cloud == ProviderHealth::Unhealthy &&
                       provider_silence_s > (self.young_term ? kYoungTermS : kProviderPatienceS);
  return self;
}

std::optional<std::string> StepDownPolicy::reason_to_yield(const Assessment &self, ReplicaIndex replica,
                                                           const ReplicaConnectivity &other) const {
  const ConnectivityRecord &record = other.record;
  const bool direct = record.workers == WorkerReachability::Reachable;
  const bool reachable = reachable_by_workers(record, settings_);
  if (record.workers == WorkerReachability::Unreachable && !reachable) return std::nullopt; // it would serve no better

  if (self.downlink_lost) {
    const double heartbeat_age_s =
        std::min(record.last_heartbeat_age_s, record.last_forwardable_heartbeat_age_s) + other.age_s;
    // Whatever silenced the workers here may have silenced them there at the same moment.
    if (reachable && heartbeat_age_s + kMinHeartbeatLeadS > self.silence_s) return std::nullopt;
    // That several fall silent at once is enough. Where few are known the other replica has to have heard some: the
    // workers may be what has failed. Waiting for that with several would send workers that try a replica back here.
    if (reachable || (self.several_workers && !self.young_term)) return "no worker reaches this replica";
  }
  if (self.few_reach_here && direct && record.machines > 2 * self.workers_here + kMinWorkers &&
      !replicas_[replica].service_status.can_forward)
    return fmt::format("only {} of {} workers reach this replica", self.workers_here, self.workers_known);
  if (self.provider_lost && record.cloud == ProviderHealth::Healthy)
    return "the cloud provider does not answer this replica";
  return std::nullopt;
}

// A leader that workers no longer reach, while they may reach another replica, steps down: the others could only send
// them back to it, and all their leases would expire.
void StepDownPolicy::apply(const Observation &observation, const ConnectivityByReplica &others) {
  if (!leadership_.active()) return;
  const Assessment self = assess(observation);
  if (self.healthy()) return;
  for (const ReplicaIndex replica : replicas_.indices()) {
    const auto &other = others[replica.position()];
    if (!other) continue;
    if (const auto reason = reason_to_yield(self, replica, *other)) return step_down(*reason, replica, *other);
  }
}

void StepDownPolicy::step_down(std::string_view reason, ReplicaIndex replica, const ReplicaConnectivity &other) {
  std::string advantage = "may reach workers";
  if (other.record.workers == WorkerReachability::Reachable)
    advantage = fmt::format("receives heartbeats of about {} workers", other.record.machines);
  else if (reachable_by_forwarding(other.record, settings_))
    advantage = "receives forwarded heartbeats";
  const char *source = other.over_peer_link ? "peer link" : "state service";
  leadership_.step_down(fmt::format("{}; {} {} (by {})", reason, replicas_.name(replica), advantage, source));
  leadership_.abstain_from_elections(kAbstentionS);
}

} // namespace loftrouter::core
