// Workers' reports: taken, passed on to the leader, or sent elsewhere; and the answers to them.
//
// Owns the reports under way and the spread of workers over nodes. Promises that a worker gets an answer to its own
// report, from the leader alone, or is sent away; see relay.hpp and docs/safety.md, "Reports passed on".
#pragma once

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

#include "loftrouter/core/connectivity/connectivity_monitor.hpp"
#include "loftrouter/core/heartbeats/heartbeat_forwarding.hpp"
#include "loftrouter/core/runtime/dense_index.hpp"
#include "loftrouter/core/workers/worker_registry.hpp"

namespace loftrouter::core {

class HeartbeatHandler {
public:
  // Where the answer to a report goes: to the worker, or to the sibling that passed it on.
  struct Asker {
    RequestId req = 0;
    std::uint64_t link = 0, nonce = 0;
    int replica = -1;
    bool direct() const { return replica < 0; }
  };
  // A report that this node answers, once what it says has been listened to.
  struct Pending {
    Asker from;
    MachineIndex machine;
    std::vector<TaskCommand> orders;
  };
  struct Load {
    double reports, max_reports, passed; // a second
    std::size_t workers, max_workers;
    bool spreads;
  };

  HeartbeatHandler(Runtime &runtime, const Settings &settings, Leadership &leadership, Replicas &replicas,
                   ConnectivityMonitor &connectivity, const FailureDetector &failure_detector, WorkerRegistry &workers);

  std::optional<Pending> take(CmdHeartbeat &&cmd);
  std::optional<Pending> take_passed(const CmdPeer &cmd);
  void answer(Pending &&p);
  void take_orders(const wire::PeerMessage &message);
  void tick(); // gives up what has waited too long
  void count_rates();
  void pong_taken(const wire::PeerMessage &message);

  Replicas::Standing standing() const;
  Load load() const;
  // Reports of which this holds get no answer for now: a leader may not keep alive what it cannot vouch for.
  void refuse_while(std::function<bool(const Heartbeat &)> unsure) { unsure_ = std::move(unsure); }
  std::size_t kept() const { return relay_.workers(); } // workers whose reports this node passes on
  void on(const TermStarted &) { spread_.begin(spread_known_); }
  void on(const TermEnded &) { sent_away_.clear(); }
  void on(const MachineRemoved &event);

private:
  std::optional<Pending> hear(const Asker &from, const Heartbeat &heartbeat);
  void pass_on(CmdHeartbeat &&cmd);
  void tell(const Asker &from, int status, const std::vector<TaskCommand> &orders = {}, std::string_view why = "");
  void send_elsewhere(RequestId req);
  int leading_replica() const;
  int relay_to() const;
  int keeper_for(const Heartbeat &heartbeat);
  std::string_view leader_by_word() const;

  Runtime &runtime_;
  const Settings &settings_;
  Leadership &leadership_;
  Replicas &replicas_;
  ConnectivityMonitor &connectivity_;
  const FailureDetector &failure_detector_;
  WorkerRegistry &workers_;
  HeartbeatForwarder relay_;
  HeartbeatLoadBalancer spread_;
  std::function<bool(const Heartbeat &)> unsure_;
  bool spread_known_ = false;     // what the last known leader did
  std::vector<double> sent_away_; // to a sibling, when; by machine
};

} // namespace loftrouter::core
