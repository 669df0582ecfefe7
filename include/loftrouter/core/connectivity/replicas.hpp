// The other replicas of this cell, as known by pings over the peer links.
//
// Owns the latest status of each replica and the pings under way. Invariants: a status counts from when the ping that
// it answers was sent, however late the answer came; and a leader goes on without the state service only while every
// replica says that it cannot reach the state service either. If either were broken, two leaders could keep workers
// alive (rule `ran_twice`). Replicas also tell each other of cancellations (`Cancellations`) and of their use of the
// state service (`StateServiceLimits`). See docs/safety.md, "Outages".
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "loftrouter/core/election/leadership.hpp"
#include "loftrouter/core/runtime/dense_index.hpp"
#include "loftrouter/core/runtime/state_service_limits.hpp"
#include "loftrouter/core/state/cancellations.hpp"

namespace loftrouter::core {

// What a replica says of its part in serving workers.
struct HeartbeatServiceStatus {
  bool leads = false;            // answers heartbeats as the leader
  bool wants_forwarding = false; // and wants other replicas to forward heartbeats to it
  bool can_forward = false;      // does not lead, and has room for workers whose heartbeats it forwards
};

// What is known of one other replica. Times are monotonic, in seconds; far in the past: never.
struct ReplicaState {
  // The last ping sent to it.
  std::uint64_t ping_nonce = 0;
  double ping_sent_at = -1e9;

  // Its latest status: the answer to a ping that was sent at `status_as_of`.
  double status_as_of = -1e9;
  double uptime_s = 0;
  bool state_service_lost = false;
  HeartbeatServiceStatus service_status;
  std::uint64_t term = 0; // the highest that it knows of, or its own if it leads
  ConnectivityRecord connectivity;
  StateServiceLimits::Usage state_service_usage;

  // The last ping received from it, over the link that it dialled: it could forward heartbeats to this replica.
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

  // Frames name their sender by its place among the sorted names of all replicas of the cell.
  [[nodiscard]] std::uint8_t own_sender_number() const { return own_sender_number_; }
  // The replica with this number; none if it is this replica's own, or not one of the settings.
  [[nodiscard]] ReplicaIndex by_sender(std::uint8_t sender_number) const;

  [[nodiscard]] bool ping_due() const { return runtime_.now() >= next_ping_at_; }
  // Pings every replica, and shares the state service's limits out by what they said last.
  void send_pings();
  void answer_ping(const PeerMessageCommand &cmd, const HeartbeatServiceStatus &service_status);
  // Takes a replica's status. False: this does not answer the last ping sent to it, and is ignored.
  [[nodiscard]] bool accept_pong(const PeerMessageCommand &cmd);
  void broadcast(const wire::PeerMessage &message);

  // What pings and their answers say of this replica's own connectivity from now on.
  void set_own_connectivity(const ConnectivityRecord &own) { own_connectivity_ = own; }

  // Whether the leader, or a replica that has sent a ping lately, runs a version without job dependencies. Jobs with
  // dependencies are not accepted until it is gone or silent.
  [[nodiscard]] bool some_replica_lacks_dependencies() const;

  // Whether this replica has had no answer from the state service for a while.
  [[nodiscard]] bool state_service_lost() const;
  // Whether no replica reaches the state service. Nobody can be elected then.
  [[nodiscard]] bool state_service_lost_by_all() const;
  // Whether this replica may renew workers' leases by answering their heartbeats: nobody else leads, and any
  // cancellation it does not know of would still be carried out in time.
  [[nodiscard]] bool may_answer_heartbeats() const;

private:
  void share_state_service_limits();
  // Whether this leader, whose lease has expired, may go on answering heartbeats during a common outage.
  [[nodiscard]] bool leads_through_outage() const;

  Runtime &runtime_;
  const Settings &settings_;
  Leadership &leadership_;
  StateServiceLimits &state_limits_;
  Cancellations &cancellations_;
  std::vector<ReplicaIndex> indices_;
  std::vector<ReplicaState> states_;
  std::uint8_t own_sender_number_ = 0;
  std::vector<ReplicaIndex> by_sender_number_; // none for this replica
  std::uint64_t last_nonce_;
  double next_ping_at_ = 0; // monotonic
  ConnectivityRecord own_connectivity_;
};

} // namespace loftrouter::core
