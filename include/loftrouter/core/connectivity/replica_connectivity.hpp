// What a replica says of its own connectivity, and judgements on such a record.
//
// No rule of the protocol rests on these: a record may be old, or from a process that has ended. At worst the wrong
// replica leads.
#pragma once

#include "loftrouter/core/liveness/failure_detector.hpp"
#include "loftrouter/model/types.hpp"

namespace loftrouter::core {

// A record of another replica, and how it came here.
struct ReplicaConnectivity {
  ConnectivityRecord record;
  double age_s = 0;
  bool over_peer_link = false; // otherwise it was read in the state service
};

// How long a replica's status, answered over a peer link, says something of the present, s.
constexpr double kPeerStatusValidityS = 1.5;

// How long workers that have all fallen silent make a replica count as unreachable for workers, s. Later it is unknown:
// they may be gone.
constexpr double kUnreachableValidityS = 60.0;

// Whether workers send heartbeats to a replica that can forward them to the one that the record is of.
[[nodiscard]] inline bool reachable_by_forwarding(const ConnectivityRecord &record, const Settings &settings) {
  return record.last_forwardable_heartbeat_age_s < heartbeat_timeout_s(settings);
}

// Whether workers reach the replica that the record is of, directly or by forwarding.
[[nodiscard]] inline bool reachable_by_workers(const ConnectivityRecord &record, const Settings &settings) {
  return record.workers == WorkerReachability::Reachable || reachable_by_forwarding(record, settings);
}

} // namespace loftrouter::core
