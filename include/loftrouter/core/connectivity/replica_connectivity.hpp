// Connectivity records of other replicas, and predicates on such records.
//
// A record may be outdated, or from a process that has ended. Safety does not depend on it: at worst the wrong replica
// leads.
#pragma once

#include "loftrouter/core/liveness/failure_detector.hpp"
#include "loftrouter/model/types.hpp"

namespace loftrouter::core {

// The connectivity record of another replica, with its age and source.
struct ReplicaConnectivity {
  ConnectivityRecord record;
  double age_s = 0;
  bool over_peer_link = false; // received over the peer link; otherwise read from the state service
};

// How long a status or ping received over a peer link is valid.
constexpr double kPeerStatusValidityS = 1.5;

// How long a replica counts as unreachable for workers after all of its workers have stopped sending heartbeats. After
// that its reachability is unknown, as the workers may have ended.
constexpr double kUnreachableValidityS = 60.0;

// Whether workers send heartbeats to some other replica that can forward them to the replica of this record.
[[nodiscard]] inline bool reachable_by_forwarding(const ConnectivityRecord &record, const Settings &settings) {
  return record.last_forwardable_heartbeat_age_s < heartbeat_timeout_s(settings);
}

// Whether workers reach the replica of this record, directly or by forwarding.
[[nodiscard]] inline bool reachable_by_workers(const ConnectivityRecord &record, const Settings &settings) {
  return record.workers == WorkerReachability::Reachable || reachable_by_forwarding(record, settings);
}

} // namespace loftrouter::core
