// Tracks the other replicas of this cell by pings over the peer links.
//
// Owns the latest status of each replica and the pings in flight. Invariants: a status counts as old as its ping,
// however late the pong arrived; and a leader continues without the state service only while every replica reports that
// it cannot reach the state service either. Otherwise two leaders could renew workers' leases (rule `ran_twice`). Pings
// and pongs also exchange cancellations (`Cancellations`) and state service usage
// (`StateServiceLimits`). See docs/safety.md, "Outages".
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "loftrouter/core/election/leadership.hpp"
#include "loftrouter/core/runtime/dense_index.hpp"
#include "loftrouter/core/runtime/state_service_limits.hpp"
#include "loftrouter/core/state/cancellations.hpp"

namespace loftrouter::core {

// A replica's role in handling heartbeats, as reported to the other replicas.
struct HeartbeatServiceStatus {
  bool leads = false;            // answers heartbeats as the leader
  bool wants_forwarding = false; // leads, and followers should forward heartbeats to it
  bool can_forward = false;      // follower with capacity to forward heartbeats of more workers
};

// The known state of another replica. Times are monotonic, s; far in the past if never.
struct ReplicaState {
  std::uint64_t ping_nonce = 0;
  double ping_sent_at = -1e9;

  // Its latest status, from the pong to a ping that was sent at `status_as_of`.
  double status_as_of = -1e9;
  double uptime_s = 0;
  bool state_service_lost = false;
  HeartbeatServiceStatus service_status;
  std::uint64_t term = 0; // its own if it leads, otherwise the highest that it knows
  ConnectivityRecord connectivity;
  StateServiceLimits::Usage state_service_usage;

  // Its last ping. It arrives on the link that the replica has dialled, which also carries the heartbeats that it
  // forwards.
  double ping_received_at = -1e9;
  ConnectivityRecord connectivity_in_ping;
  bool supports_dependencies = false;
};

class Replicas {
public:
  static constexpr double kPingIntervalS = 0.5;

  Replicas(Runtime &runtime, const Settings &settings, Leadership &leadership, StateServiceLimits &state_limits,
           Cancellations &cancellations);

  // All other replicas, in the order of the settings.
  [[nodiscard]] const std::vector<ReplicaIndex> &indices() const { return indices_; }
  [[nodiscard]] std::size_t count() const { return states_.size(); }
  [[nodiscard]] const ReplicaState &operator[](ReplicaIndex replica) const { return states_[replica.position()]; }
  [[nodiscard]] const std::string &name(ReplicaIndex replica) const {
    return settings_.replicas[replica.position()].node;
  }

  // Identifies this replica as the sender of frames: its position among the sorted node names of the cell.
  [[nodiscard]] std::uint8_t own_sender_number() const { return own_sender_number_; }
  // The replica with this sender number; invalid if it is this replica's own or not configured.
  [[nodiscard]] ReplicaIndex by_sender(std::uint8_t sender_number) const;

  [[nodiscard]] bool ping_due() const { return runtime_.now() >= next_ping_at_; }
  // Pings every replica, and divides the state service's limits by the usage that they last reported.
  void send_pings();
  void answer_ping(const PeerMessageCommand &cmd, const HeartbeatServiceStatus &service_status);
  // Stores a replica's status from a pong. Ignores the pong and returns false if it does not answer the last ping.
  [[nodiscard]] bool accept_pong(const PeerMessageCommand &cmd);
  void broadcast(const wire::PeerMessage &message);

  // Sets this replica's connectivity record, which its pings and pongs carry.
  void set_own_connectivity(const ConnectivityRecord &own) { own_connectivity_ = own; }

  // Whether the leader, or a replica that has recently sent a ping, runs a version without job dependencies. Jobs with
  // dependencies are then refused.
  [[nodiscard]] bool some_replica_lacks_dependencies() const;

  // Whether this replica has had no recent response from the state service.
  [[nodiscard]] bool state_service_lost() const;
  // Whether neither this nor any other replica reaches the state service, so that no leader can be elected.
  [[nodiscard]] bool state_service_lost_by_all() const;
  // Whether this replica may renew workers' leases by answering their heartbeats: it leads and no other replica does,
  // and a task whose cancellation is not known here yet would still end in time.
  [[nodiscard]] bool may_answer_heartbeats() const;

private:
  void rebalance_state_service_limits();
  // Whether this replica's leader lease has expired, but no other replica can become leader, because none reaches the
  // state service.
  [[nodiscard]] bool leads_during_outage() const;

  Runtime &runtime_;
  const Settings &settings_;
  Leadership &leadership_;
  StateServiceLimits &state_limits_;
  Cancellations &cancellations_;
  std::vector<ReplicaIndex> indices_;
  std::vector<ReplicaState> states_;
  std::uint8_t own_sender_number_ = 0;
  std::vector<ReplicaIndex> replicas_by_sender_number_; // invalid for this replica
  std::uint64_t last_ping_nonce_;
  double next_ping_at_ = 0; // monotonic
  ConnectivityRecord own_connectivity_;
};

} // namespace loftrouter::core
