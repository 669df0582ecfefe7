// Handles workers' heartbeats: accepts them as the leader, forwards them to the leader, or redirects the worker to
// another replica. Sends the responses.
//
// Owns the forwarded heartbeats and the balancing of workers over replicas. Invariants: only a leader answers
// heartbeats with commands, and each answer goes to the worker that sent the heartbeat; and a leader that may not renew
// worker leases accepts no heartbeat. Otherwise tasks could run twice (rule `ran_twice`). Single-threaded. See
// docs/safety.md, "Forwarded heartbeats".
#pragma once

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

#include "loftrouter/core/connectivity/connectivity_monitor.hpp"
#include "loftrouter/core/heartbeats/heartbeat_forwarder.hpp"
#include "loftrouter/core/heartbeats/heartbeat_load_balancer.hpp"
#include "loftrouter/core/workers/worker_registry.hpp"

namespace loftrouter::core {

// The origin of a heartbeat, to which its response is sent.
struct HeartbeatSource {
  RequestId request = 0; // the worker's request; only for a direct heartbeat
  // Only for a forwarded heartbeat:
  std::uint64_t link = 0;           // the peer link that it arrived on
  std::uint64_t request_number = 0; // the forwarder's number for the request
  ReplicaIndex forwarder = {};      // the replica that forwarded it
  [[nodiscard]] bool direct() const { return !forwarder.valid(); }
};

// A heartbeat that the worker registry has processed and that awaits its response.
struct AcceptedHeartbeat {
  HeartbeatSource source;
  MachineIndex machine;
  std::vector<TaskCommand> commands;
};

// The heartbeat load of this replica, for the status pages. `workers` counts direct senders only.
struct HeartbeatLoad {
  double direct_per_s;
  double max_direct_per_s;
  double forwarded_per_s;
  std::size_t workers;
  std::size_t max_workers;
  bool forwarding_wanted;
};

class HeartbeatHandler {
public:
  HeartbeatHandler(Runtime &runtime, const Settings &settings, Leadership &leadership, Replicas &replicas,
                   ConnectivityMonitor &connectivity, const FailureDetector &failure_detector, WorkerRegistry &workers);

  // Handles a heartbeat that a worker sent directly, or that another replica forwarded. Returns it if it is accepted:
  // the caller must then call `respond`. Otherwise it has been forwarded, refused or redirected.
  [[nodiscard]] std::optional<AcceptedHeartbeat> handle(HeartbeatCommand &&cmd);
  [[nodiscard]] std::optional<AcceptedHeartbeat> handle_forwarded(const PeerMessageCommand &cmd);
  // Responds to an accepted heartbeat with the commands for its worker.
  void respond(AcceptedHeartbeat &&heartbeat);

  // Passes the leader's response to a forwarded heartbeat on to the worker.
  void handle_response(const wire::PeerMessage &message);
  // Redirects workers whose forwarded heartbeats got no response in time.
  void tick();

  // Measures the heartbeat rates and decides whether heartbeats should be forwarded. Must be called every
  // `Replicas::kPingIntervalS`, before pings are sent.
  void update_load();
  // Remembers from the leader's pong whether it wants forwarding, for when this replica becomes leader.
  void status_received(const wire::PeerMessage &pong);
  // Sets a condition on which the leader refuses a heartbeat: it must not renew the leases of tasks that it cannot
  // account for.
  void set_refusal_condition(std::function<bool(const Heartbeat &)> condition) {
    refusal_condition_ = std::move(condition);
  }

  // The heartbeat status that this replica sends to the others.
  [[nodiscard]] HeartbeatServiceStatus service_status() const;
  [[nodiscard]] HeartbeatLoad load() const;
  [[nodiscard]] std::size_t workers_forwarded() const { return forwarder_.workers(); }

  void on(const TermStarted &) { balancer_.begin_term(last_leader_wanted_forwarding_); }
  void on(const TermEnded &) { redirected_at_.clear(); }
  void on(const MachineRemoved &event);

private:
  [[nodiscard]] std::optional<AcceptedHeartbeat> accept(const HeartbeatSource &source, const Heartbeat &heartbeat);
  // Why the leader refuses this heartbeat before the worker registry sees it; empty if it does not.
  [[nodiscard]] std::string_view reason_to_refuse(const Heartbeat &heartbeat) const;
  [[nodiscard]] bool newer_than_known(const Heartbeat &heartbeat) const;
  void forward(HeartbeatCommand &&cmd);

  void refuse(const HeartbeatSource &source, std::string_view reason);
  void redirect_to_leader(const HeartbeatSource &source);
  void redirect_to_leader(RequestId request);
  void send_to_forwarder(const HeartbeatSource &source, int status, std::vector<TaskCommand> commands);

  // The replica that claims to lead in the highest term known here; invalid if there is none.
  [[nodiscard]] ReplicaIndex leader() const;
  [[nodiscard]] std::string_view leader_name() const;
  // The leader, if it wants heartbeats forwarded and this replica can forward them; otherwise invalid.
  [[nodiscard]] ReplicaIndex forwarding_target() const;

  // The replica to redirect this worker to for load balancing; invalid if it stays here.
  [[nodiscard]] ReplicaIndex redirect_target(const Heartbeat &heartbeat);
  [[nodiscard]] bool may_be_redirected(const Heartbeat &heartbeat, MachineIndex machine);
  [[nodiscard]] ReplicaIndex least_loaded_forwarder() const;

  Runtime &runtime_;
  const Settings &settings_;
  Leadership &leadership_;
  Replicas &replicas_;
  ConnectivityMonitor &connectivity_;
  const FailureDetector &failure_detector_;
  WorkerRegistry &workers_;
  HeartbeatForwarder forwarder_;
  HeartbeatLoadBalancer balancer_;
  std::function<bool(const Heartbeat &)> refusal_condition_;
  bool last_leader_wanted_forwarding_ = false;
  std::vector<double> redirected_at_; // monotonic, by machine
};

} // namespace loftrouter::core
