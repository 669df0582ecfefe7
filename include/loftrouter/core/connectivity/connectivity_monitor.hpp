// Monitors whether this replica can reach the workers, the state service, the cloud provider and the other replicas,
// and collects the connectivity records of the other replicas. A poorly connected leader steps down; a poorly connected
// follower waits longer before it runs for leader.
//
// Owns this replica's connectivity record and the arrival times of heartbeats. Safety does not depend on it: stepping
// down early is always safe, and only the leader key makes a leader. At worst the wrong replica leads. Single-threaded.
// See docs/links.md.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "loftrouter/core/connectivity/connectivity_record_store.hpp"
#include "loftrouter/core/connectivity/recent_heartbeats.hpp"
#include "loftrouter/core/connectivity/replica_connectivity.hpp"
#include "loftrouter/core/connectivity/replicas.hpp"
#include "loftrouter/core/connectivity/step_down_policy.hpp"
#include "loftrouter/core/liveness/failure_detector.hpp"

namespace loftrouter::core {

class ConnectivityMonitor {
public:
  ConnectivityMonitor(Runtime &runtime, const Settings &settings, const InstanceTypeCatalog &catalog,
                      Leadership &leadership, Replicas &replicas, const WorkerRegistry &workers,
                      const FailureDetector &failure_detector);

  // Counts a heartbeat that a worker in this zone sent to this replica.
  void direct_heartbeat_received(const std::string &zone);
  // Counts a heartbeat that another replica forwarded.
  void forwarded_heartbeat_received() { last_heartbeat_at_ = runtime_.now(); }

  // Updates this replica's record and publishes it to the other replicas, then applies the step-down policy and the
  // election delay. `workers_forwarded` is the number of workers whose heartbeats this replica forwards as a follower.
  void tick(std::size_t workers_forwarded);

  // Arrival time of the last heartbeat, direct or forwarded; monotonic, far in the past if there was none.
  [[nodiscard]] double last_heartbeat_at() const { return last_heartbeat_at_; }
  [[nodiscard]] const ConnectivityRecord &own_record() const { return own_record_; }
  [[nodiscard]] bool reachable_by_forwarding() const { return core::reachable_by_forwarding(own_record_, settings_); }
  // The connectivity of another replica; nullopt if no recent record is known, or if it has reported that it cannot
  // reach the state service.
  [[nodiscard]] std::optional<ReplicaConnectivity> connectivity_of(ReplicaIndex replica) const;
  // Estimated number of workers that send their heartbeats to this replica directly, by zone name.
  [[nodiscard]] std::vector<std::pair<std::string, double>> workers_by_zone() const;
  // Whether this follower should probe the cloud provider because the leader cannot reach it.
  [[nodiscard]] bool provider_probe_wanted() const;

private:
  // A connection of this replica, whose loss and restoration are logged.
  struct Link {
    std::string target;
    bool up;
    std::string_view loss_reason;
  };

  void update_own_record(std::size_t workers_forwarded);
  void update_worker_reachability(std::uint32_t heartbeats, std::size_t workers_forwarded);
  [[nodiscard]] bool all_workers_silent(std::size_t workers_forwarded) const;
  [[nodiscard]] ProviderHealth provider_health() const;

  [[nodiscard]] std::vector<Link> links() const;
  void log_link_changes();
  [[nodiscard]] bool any_peer_link_down() const;
  void update_election_delay(const StepDownPolicy::ConnectivityByReplica &others);
  [[nodiscard]] int leader_penalty(const ConnectivityRecord &record) const;

  Runtime &runtime_;
  const Settings &settings_;
  const InstanceTypeCatalog &catalog_;
  Leadership &leadership_;
  Replicas &replicas_;
  const FailureDetector &failure_detector_;
  ConnectivityRecordStore records_;
  StepDownPolicy step_down_policy_;

  // Times are monotonic, s.
  RecentHeartbeats direct_heartbeats_;
  ConnectivityRecord own_record_;
  double last_heartbeat_at_ = -1e9;
  double last_direct_heartbeat_at_ = -1e9;
  double last_tick_at_ = -1e9;
  double stall_ended_at_ = -1e9; // of this process
  std::optional<double> workers_unreachable_since_;
  std::vector<bool> logged_link_up_; // the state last logged, in the order of `links()`
};

} // namespace loftrouter::core
