// When a leader ends its term because another replica would serve better: no worker reaches the leader, few do, or the
// cloud provider does not answer it, while another replica is not affected.
//
// Owns no state. Ending a term early is always safe, so nothing rests on the correctness of what the policy goes by; a
// wrong decision costs a change of leader, or leaves a badly placed one. See docs/links.md, "Who should lead".
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "loftrouter/core/connectivity/replica_connectivity.hpp"
#include "loftrouter/core/connectivity/replicas.hpp"

namespace loftrouter::core {

class StepDownPolicy {
public:
  // What this replica observes of itself. Times are monotonic.
  struct Observation {
    ConnectivityRecord own;
    double last_heartbeat_at; // direct or forwarded
    double resumed_at;        // when this process last went on after it had stood still
  };
  // By replica; nothing where no fresh record is known.
  using ConnectivityByReplica = std::vector<std::optional<ReplicaConnectivity>>;

  StepDownPolicy(Runtime &runtime, const Settings &settings, Leadership &leadership, const Replicas &replicas,
                 const WorkerRegistry &workers, const FailureDetector &failure_detector)
      : runtime_(runtime), settings_(settings), leadership_(leadership), replicas_(replicas), workers_(workers),
        failure_detector_(failure_detector) {}

  // Ends this leader's term if another replica would serve better. No effect on a replica that does not lead.
  void apply(const Observation &observation, const ConnectivityByReplica &others);

private:
  // What is wrong with this leader.
  struct Assessment {
    bool several_workers = false;
    bool young_term = false; // took over from another leader a short while ago
    double silence_s = 0;    // since the last heartbeat, as far as this leader can tell
    bool downlink_lost = false;
    bool few_reach_here = false;
    bool provider_lost = false;
    std::size_t workers_known = 0;
    std::size_t workers_here = 0;
    [[nodiscard]] bool healthy() const { return !downlink_lost && !few_reach_here && !provider_lost; }
  };

  [[nodiscard]] Assessment assess(const Observation &observation) const;
  // Why the term should end in favour of this replica; nothing if it would serve no better.
  [[nodiscard]] std::optional<std::string> reason_to_yield(const Assessment &self, ReplicaIndex replica,
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
