// Makes a leader step down that has lost most or all of its workers, or the cloud provider, if another replica is
// better connected.
//
// Owns no state. Stepping down early is always safe, so safety does not depend on the inputs: a wrong decision causes a
// needless failover or keeps a poorly connected leader. See docs/links.md, "Who should lead".
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "loftrouter/core/connectivity/replica_connectivity.hpp"
#include "loftrouter/core/connectivity/replicas.hpp"

namespace loftrouter::core {

class StepDownPolicy {
public:
  // This replica's connectivity. Times are monotonic, s.
  struct Observation {
    ConnectivityRecord own_record;
    double last_heartbeat_at; // direct or forwarded
    double stall_ended_at;    // end of this process's last stall
  };
  // By replica index; nullopt if no recent record is known.
  using ConnectivityByReplica = std::vector<std::optional<ReplicaConnectivity>>;

  StepDownPolicy(Runtime &runtime, const Settings &settings, Leadership &leadership, const Replicas &replicas,
                 const WorkerRegistry &workers, const FailureDetector &failure_detector)
      : runtime_(runtime), settings_(settings), leadership_(leadership), replicas_(replicas), workers_(workers),
        failure_detector_(failure_detector) {}

  // Steps down if another replica is better connected. No effect unless this replica is the active leader.
  void apply(const Observation &observation, const ConnectivityByReplica &others);

private:
  // The connectivity problems of this leader.
  struct Assessment {
    bool enough_workers = false;  // too many to fail at once by coincidence
    bool recent_failover = false; // the leader changed less than kRecentFailoverS ago
    double heartbeat_gap_s = 0;   // since the last heartbeat, the start of the term or the end of a stall, if later
    bool all_workers_lost = false;
    bool most_workers_lost = false;
    bool provider_lost = false;
    std::size_t known_workers = 0;
    std::size_t reachable_workers = 0;
    [[nodiscard]] bool healthy() const { return !all_workers_lost && !most_workers_lost && !provider_lost; }
  };

  [[nodiscard]] Assessment assess(const Observation &observation) const;
  // Why this leader should step down in favour of the other replica; nullopt if that one is no better connected.
  [[nodiscard]] std::optional<std::string> reason_to_step_down(const Assessment &assessment, ReplicaIndex replica,
                                                               const ReplicaConnectivity &other) const;
  void step_down(std::string_view reason, ReplicaIndex replica, const ReplicaConnectivity &other);

  Runtime &runtime_;
  const Settings &settings_;
  Leadership &leadership_;
  const Replicas &replicas_;
  const WorkerRegistry &workers_;
  const FailureDetector &failure_detector_;
};

} // namespace loftrouter::core
