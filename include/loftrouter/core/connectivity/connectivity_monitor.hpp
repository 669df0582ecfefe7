// What this replica reaches (workers, the state service, the cloud provider, the other replicas), and what each other
// replica says that it reaches. By this a badly placed leader steps down, and a badly placed candidate waits.
//
// Owns this replica's connectivity record and the times at which heartbeats arrived. No rule of the protocol rests on
// it: ending a term early is always safe, and becoming leader goes through the leader key alone. At worst the wrong
// replica leads. Single-threaded, as all of the core. See docs/links.md.
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

  // A heartbeat came straight from a worker in this zone.
  void direct_heartbeat_received(const std::string &zone);
  // A heartbeat came by way of another replica.
  void forwarded_heartbeat_received() { last_heartbeat_at_ = runtime_.now(); }

  // Brings the own record up to date, publishes it, and draws the conclusions. `workers_forwarded`: workers whose
  // heartbeats this replica, not leading, forwards.
  void tick(std::size_t workers_forwarded);

  // When the last heartbeat arrived, direct or forwarded; monotonic, far in the past if none did.
  [[nodiscard]] double last_heartbeat_at() const { return last_heartbeat_at_; }
  [[nodiscard]] const ConnectivityRecord &own_record() const { return own_; }
  // Whether workers send heartbeats to a replica that can forward them to this one.
  [[nodiscard]] bool reachable_by_forwarding() const { return core::reachable_by_forwarding(own_, settings_); }
  // What this replica says of itself, or of late; nothing if no fresh record is known.
  [[nodiscard]] std::optional<ReplicaConnectivity> connectivity_of(ReplicaIndex replica) const;
  // About how many workers send their heartbeats straight to this replica, by zone name.
  [[nodiscard]] std::vector<std::pair<std::string, double>> workers_by_zone() const;
  // Whether it is of interest if the cloud provider answers this replica: it does not answer the leader.
  [[nodiscard]] bool provider_probe_wanted() const;

private:
  // A connection of this replica, for the log.
  struct Link {
    std::string target;
    bool up;
    std::string_view loss_reason;
  };

  void update_own_record(std::size_t workers_forwarded);
  void update_worker_reachability(std::uint32_t heartbeats, std::size_t workers_forwarded);
  [[nodiscard]] bool workers_silent(std::size_t workers_forwarded) const;
  [[nodiscard]] ProviderHealth provider_health() const;

  [[nodiscard]] std::vector<Link> links() const;
  void log_link_changes();
  [[nodiscard]] bool some_peer_link_down() const;
  void update_election_delay(const StepDownPolicy::ConnectivityByReplica &others);
  [[nodiscard]] int placement_penalty(const ConnectivityRecord &record) const;

  Runtime &runtime_;
  const Settings &settings_;
  const InstanceTypeCatalog &catalog_;
  Leadership &leadership_;
  Replicas &replicas_;
  const FailureDetector &failure_detector_;
  ConnectivityRecordStore records_;
  StepDownPolicy step_down_policy_;

  // Times are monotonic, in seconds.
  RecentHeartbeats direct_heartbeats_;
  ConnectivityRecord own_;
  double last_heartbeat_at_ = -1e9;
  double last_direct_heartbeat_at_ = -1e9;
  double last_tick_at_ = -1e9;
  double resumed_at_ = -1e9; // when this process last went on after it had stood still
  std::optional<double> unreachable_since_;
  std::vector<bool> logged_up_; // by link, as last logged; empty: not yet
};

} // namespace loftrouter::core
