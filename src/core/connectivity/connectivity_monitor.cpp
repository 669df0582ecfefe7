#include "loftrouter/core/connectivity/connectivity_monitor.hpp"

#include <algorithm>
#include <cmath>

namespace loftrouter::core {

namespace {
constexpr double kStallThresholdS = 1.0;    // gap between ticks after which unread heartbeats may be queued
constexpr double kMaxReportedWorkers = 6e4; // the record holds 16 bits

constexpr int kMinProviderFailures = 2; // consecutive failures from which the provider is unhealthy
constexpr double kProviderAnswerValidityS = 15.0;

constexpr double kLogLinkDownAfterS = 2 * kPeerStatusValidityS;
constexpr double kMinUptimeToLogLinksS = 5.0;

constexpr double kElectionDelayStepS = 0.3;
constexpr double kMaxElectionDelayS = 1.5;

constexpr std::string_view kStateServiceTarget = "state service";
constexpr std::string_view kWorkersTarget = "workers";
constexpr std::string_view kProviderTarget = "cloud";
} // namespace

ConnectivityMonitor::ConnectivityMonitor(Runtime &runtime, const Settings &settings, const InstanceTypeCatalog &catalog,
                                         Leadership &leadership, Replicas &replicas, const WorkerRegistry &workers,
                                         const FailureDetector &failure_detector)
    : runtime_(runtime), settings_(settings), catalog_(catalog), leadership_(leadership), replicas_(replicas),
      failure_detector_(failure_detector), records_(runtime, settings, replicas),
      step_down_policy_(runtime, settings, leadership, replicas, workers, failure_detector),
      direct_heartbeats_(heartbeat_timeout_s(settings)) {}

void ConnectivityMonitor::tick(std::size_t workers_forwarded) {
  const double now = runtime_.now();
  if (now - last_tick_at_ > kStallThresholdS) stall_ended_at_ = now;
  last_tick_at_ = now;

  update_own_record(workers_forwarded);
  replicas_.set_own_connectivity(own_record_);
  log_link_changes();

  const bool peer_link_down = any_peer_link_down();
  records_.publish(own_record_, peer_link_down);
  const bool workers_may_be_lost =
      leadership_.leading() && now - last_heartbeat_at_ > direct_heartbeats_.window_s() / 2;
  if (peer_link_down) records_.refresh(workers_may_be_lost);

  StepDownPolicy::ConnectivityByReplica others;
  for (const ReplicaIndex replica : replicas_.indices())
    others.push_back(connectivity_of(replica));
  step_down_policy_.apply({own_record_, last_heartbeat_at_, stall_ended_at_}, others);
  update_election_delay(others);
}

void ConnectivityMonitor::direct_heartbeat_received(const std::string &zone) {
  last_heartbeat_at_ = runtime_.now();
  last_direct_heartbeat_at_ = runtime_.now();
  direct_heartbeats_.add(catalog_.find_zone(zone) + 1, runtime_.now()); // index 0 counts unknown zones
}

std::vector<std::pair<std::string, double>> ConnectivityMonitor::workers_by_zone() const {
  std::vector<std::pair<std::string, double>> workers;
  const auto heartbeats = direct_heartbeats_.by_zone(runtime_.now());
  for (std::size_t i = 1; i < heartbeats.size(); ++i) { // without unknown zones
    if (heartbeats[i] == 0) continue;
    const double worker_count =
        std::ceil(heartbeats[i] * settings_.heartbeat_interval_s / direct_heartbeats_.window_s());
    workers.emplace_back(catalog_.zone_name(static_cast<int>(i) - 1), worker_count);
  }
  return workers;
}

void ConnectivityMonitor::update_own_record(std::size_t workers_forwarded) {
  const double now = runtime_.now();
  const std::uint32_t heartbeats = direct_heartbeats_.total(now);
  const double worker_count = std::ceil(heartbeats * settings_.heartbeat_interval_s / direct_heartbeats_.window_s());
  own_record_.machines = static_cast<std::uint16_t>(std::min(kMaxReportedWorkers, worker_count));
  own_record_.last_heartbeat_age_s = std::min(ConnectivityRecord::kMaxAgeS, now - last_direct_heartbeat_at_);
  own_record_.last_forwardable_heartbeat_age_s = ConnectivityRecord::kMaxAgeS;
  for (const ReplicaIndex replica : replicas_.indices()) {
    const ReplicaState &state = replicas_[replica];
    // A replica whose pings arrive here can forward heartbeats on the same link.
    const double ping_age_s = now - state.ping_received_at;
    if (ping_age_s >= kPeerStatusValidityS) continue;
    own_record_.last_forwardable_heartbeat_age_s = std::min(
        own_record_.last_forwardable_heartbeat_age_s, state.connectivity_in_ping.last_heartbeat_age_s + ping_age_s);
  }
  update_worker_reachability(heartbeats, workers_forwarded);
  own_record_.cloud = provider_health();
}

// Whether the workers that sent heartbeats to this replica have stopped. A follower infers it from the workers whose
// heartbeats it forwarded, as it remembers them longer than it counts their heartbeats. False for some time after a
// stall of this process, which delays heartbeats too.
bool ConnectivityMonitor::all_workers_silent(std::size_t workers_forwarded) const {
  if (runtime_.now() - stall_ended_at_ <= direct_heartbeats_.window_s()) return false;
  return leadership_.leading() ? failure_detector_.totals().unreachable()
                               : workers_forwarded >= FailureDetector::GroupCount::kMinWorkers;
}

void ConnectivityMonitor::update_worker_reachability(std::uint32_t heartbeats, std::size_t workers_forwarded) {
  const double now = runtime_.now();
  const bool receives_forwarded_heartbeats =
      leadership_.leading() && now - last_heartbeat_at_ < direct_heartbeats_.window_s();
  if (heartbeats > 0 || receives_forwarded_heartbeats) {
    own_record_.workers = WorkerReachability::Reachable;
    workers_unreachable_since_.reset();
    return;
  }
  if (all_workers_silent(workers_forwarded)) {
    if (!workers_unreachable_since_) workers_unreachable_since_ = now;
    const bool recently_unreachable = now - *workers_unreachable_since_ < kUnreachableValidityS;
    own_record_.workers =
        recently_unreachable || leadership_.leading() ? WorkerReachability::Unreachable : WorkerReachability::Unknown;
    return;
  }
  const bool still_unreachable = own_record_.workers == WorkerReachability::Unreachable && workers_unreachable_since_ &&
                                 now - *workers_unreachable_since_ <= kUnreachableValidityS;
  if (!still_unreachable) own_record_.workers = WorkerReachability::Unknown;
}

ProviderHealth ConnectivityMonitor::provider_health() const {
  if (runtime_.consecutive_provider_failures() >= kMinProviderFailures) return ProviderHealth::Unhealthy;
  if (runtime_.now() - runtime_.provider_answered_at() < kProviderAnswerValidityS) return ProviderHealth::Healthy;
  return ProviderHealth::Unknown;
}

std::vector<ConnectivityMonitor::Link> ConnectivityMonitor::links() const {
  const double now = runtime_.now();
  std::vector<Link> all{
      {std::string(kStateServiceTarget), now - runtime_.state_service_answered_at() < kLogLinkDownAfterS,
       "no responses"},
      {std::string(kWorkersTarget), own_record_.workers != WorkerReachability::Unreachable, "no heartbeats"},
      {std::string(kProviderTarget), own_record_.cloud != ProviderHealth::Unhealthy, "recent calls failed"}};
  for (const ReplicaIndex replica : replicas_.indices()) {
    const bool answered = now - replicas_[replica].status_as_of < kLogLinkDownAfterS;
    all.push_back({replicas_.name(replica), answered, "no ping responses"});
  }
  return all;
}

// Logs each connection that was lost or restored. The first call logs only lost ones.
void ConnectivityMonitor::log_link_changes() {
  if (runtime_.uptime_s() < kMinUptimeToLogLinksS) return;
  const std::vector<Link> current = links();
  logged_link_up_.resize(current.size(), true);
  for (std::size_t i = 0; i < current.size(); ++i) {
    const Link &link = current[i];
    if (logged_link_up_[i] == link.up) continue;
    logged_link_up_[i] = link.up;
    if (link.up)
      runtime_.log(LogLevel::Info, "connectivity_restored", {{"target", link.target}});
    else
      runtime_.log(LogLevel::Info, "connectivity_lost", {{"target", link.target}, {"reason", link.loss_reason}});
  }
}

// Whether some replica has recently not answered pings on the link that this replica dials, or has sent none on the
// link that it dials itself.
bool ConnectivityMonitor::any_peer_link_down() const {
  const auto &indices = replicas_.indices();
  return std::any_of(indices.begin(), indices.end(), [this](ReplicaIndex replica) {
    const ReplicaState &state = replicas_[replica];
    return runtime_.now() - std::min(state.status_as_of, state.ping_received_at) > kPeerStatusValidityS;
  });
}

std::optional<ReplicaConnectivity> ConnectivityMonitor::connectivity_of(ReplicaIndex replica) const {
  const ReplicaState &state = replicas_[replica];
  const double age_s = runtime_.now() - state.status_as_of;
  if (age_s >= kPeerStatusValidityS) return records_.find(replica);
  // Without the state service it cannot become leader.
  if (state.state_service_lost) return std::nullopt;
  return ReplicaConnectivity{state.connectivity, age_s, true};
}

bool ConnectivityMonitor::provider_probe_wanted() const {
  if (leadership_.role() != Role::Follower) return false;
  const auto &indices = replicas_.indices();
  return std::any_of(indices.begin(), indices.end(), [this](ReplicaIndex replica) {
    const auto connectivity = connectivity_of(replica);
    return connectivity && connectivity->record.cloud == ProviderHealth::Unhealthy &&
           replicas_.name(replica) == leadership_.leader_name();
  });
}

// Scores how unfit for leading a replica is by its connectivity; 0 is best.
int ConnectivityMonitor::leader_penalty(const ConnectivityRecord &record) const {
  constexpr int forwarded_only = 1;
  constexpr int workers_unknown = 2;
  constexpr int workers_unreachable = 5;
  constexpr int provider_unhealthy = 3;
  int penalty = 0;
  if (record.workers != WorkerReachability::Reachable) {
    if (core::reachable_by_forwarding(record, settings_))
      penalty += forwarded_only;
    else if (record.workers == WorkerReachability::Unknown)
      penalty += workers_unknown;
    else
      penalty += workers_unreachable;
  }
  if (record.cloud == ProviderHealth::Unhealthy) penalty += provider_unhealthy;
  return penalty;
}

// Delays this replica's election in proportion to how much better connected the best replica is.
void ConnectivityMonitor::update_election_delay(const StepDownPolicy::ConnectivityByReplica &others) {
  const int own_penalty = leader_penalty(own_record_);
  int best_penalty = own_penalty;
  for (const auto &other : others)
    if (other) best_penalty = std::min(best_penalty, leader_penalty(other->record));
  leadership_.set_election_delay(std::min(kMaxElectionDelayS, kElectionDelayStepS * (own_penalty - best_penalty)));
}

} // namespace loftrouter::core
