// Handles workers' heartbeats: accepts them as the leader, forwards them to the leader, or redirects the worker to
// another replica; and sends the responses.
//
// Owns the heartbeats that are being forwarded and the balance of workers over replicas. Invariants: a worker gets a
// response to its own heartbeat alone, made by the leader, or is redirected; and a leader that may not renew leases
// accepts no heartbeat. If either were broken, tasks could run twice (rule `ran_twice`). Single-threaded, as all of the
// core. See docs/safety.md, "Forwarded heartbeats".
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

// Where a heartbeat came from, and so where its response goes.
struct HeartbeatSource {
  RequestId request = 0;       // of the worker, if the heartbeat came straight here
  std::uint64_t link = 0;      // otherwise: the peer link it came on,
  std::uint64_t number = 0;    // its number there,
  ReplicaIndex forwarder = {}; // and the replica that forwarded it
  [[nodiscard]] bool direct() const { return !forwarder.valid(); }
};

// A heartbeat whose contents the worker registry has taken in, and which waits for its response.
struct AcceptedHeartbeat {
  HeartbeatSource source;
  MachineIndex machine;
  std::vector<TaskCommand> commands;
};

// For the status pages: heartbeats a second, and workers whose heartbeats come straight to this replica.
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

  // A heartbeat straight from a worker, or forwarded by another replica. Returns it if this replica accepts it: the
  // caller then responds to it by `respond`. Otherwise it has been dealt with.
  [[nodiscard]] std::optional<AcceptedHeartbeat> handle(HeartbeatCommand &&cmd);
  [[nodiscard]] std::optional<AcceptedHeartbeat> handle_forwarded(const PeerMessageCommand &cmd);
  // Sends the response to an accepted heartbeat, with the commands for its worker.
  void respond(AcceptedHeartbeat &&heartbeat);

  // The leader's response to a heartbeat that this replica forwarded.
  void handle_response(const wire::PeerMessage &message);
  // Redirects the workers of forwarded heartbeats that have waited too long for the leader's response.
  void tick();

  // Measures the load. Call it each `Replicas::kPingIntervalS`, before the pings.
  void update_load();
  // Remembers whether the leader wants forwarding, from a replica's status.
  void status_received(const wire::PeerMessage &pong);
  // Heartbeats for which this holds are refused for now: a leader may not keep alive what it cannot vouch for.
  void set_refusal_condition(std::function<bool(const Heartbeat &)> condition) {
    refusal_condition_ = std::move(condition);
  }

  // What this replica tells the others of its part in serving workers.
  [[nodiscard]] HeartbeatServiceStatus service_status() const;
  [[nodiscard]] HeartbeatLoad load() const;
  // Workers whose heartbeats this replica forwards.
  [[nodiscard]] std::size_t workers_forwarded() const { return forwarder_.workers(); }

  void on(const TermStarted &) { balancer_.begin_term(last_leader_wanted_forwarding_); }
  void on(const TermEnded &) { redirected_at_.clear(); }
  void on(const MachineRemoved &event);

private:
  [[nodiscard]] std::optional<AcceptedHeartbeat> accept(const HeartbeatSource &source, const Heartbeat &heartbeat);
  // Why a leader refuses this heartbeat before it looks at its contents; empty if it does not.
  [[nodiscard]] std::string_view reason_to_refuse(const Heartbeat &heartbeat) const;
  [[nodiscard]] bool newer_than_known(const Heartbeat &heartbeat) const;
  void forward(HeartbeatCommand &&cmd);

  void refuse(const HeartbeatSource &source, std::string_view reason);
  void redirect_to_leader(const HeartbeatSource &source);
  void redirect_to_leader(RequestId request);
  void send_to_forwarder(const HeartbeatSource &source, int status, std::vector<TaskCommand> commands);

  // The replica that says it leads, with the highest term known here; none if there is none.
  [[nodiscard]] ReplicaIndex leader() const;
  [[nodiscard]] std::string_view leader_name() const;
  // The leader, if it wants heartbeats forwarded and this replica may do so; otherwise none.
  [[nodiscard]] ReplicaIndex forwarding_target() const;

  // The replica that this worker is redirected to, to spread the load; none if it is to stay.
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
