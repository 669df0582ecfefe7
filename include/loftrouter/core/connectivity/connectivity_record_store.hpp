// Connectivity records in the state service: how replicas learn of each other's connectivity while a peer link is
// down. Each replica keeps one key, `reach/<sender number>`, under a lease, so that the key goes with its process.
//
// Owns this replica's key and its lease, and the records of the others as last listed. Invariants: a replica writes its
// key at most six times a minute and lists the others only while a peer link is down, so that a quiet day costs one
// write and the renewals of the lease. No rule of the protocol rests on the records. See docs/links.md.
#pragma once

#include <optional>
#include <vector>

#include "loftrouter/core/connectivity/replica_connectivity.hpp"
#include "loftrouter/core/connectivity/replicas.hpp"
#include "loftrouter/core/election/state_service_lease.hpp"
#include "loftrouter/core/runtime/token_bucket.hpp"

namespace loftrouter::core {

class ConnectivityRecordStore {
public:
  ConnectivityRecordStore(Runtime &runtime, const Settings &settings, const Replicas &replicas);

  // Keeps the lease alive, and writes this replica's record if it is new or, while a peer link is down, if it has
  // changed in substance.
  void publish(const ConnectivityRecord &own, bool peer_link_down);

  // Lists the other replicas' records when that is due. `urgent`: this replica leads and seems to have lost its
  // workers.
  void refresh(bool urgent);

  // The replica's record as last listed; nothing if there is none or the list is too old. What has become too old to
  // count is blanked out.
  [[nodiscard]] std::optional<ReplicaConnectivity> find(ReplicaIndex replica) const;

private:
  void maintain_lease();
  [[nodiscard]] bool changed_in_substance(const ConnectivityRecord &own) const;
  void write(const ConnectivityRecord &own);
  void listed(const std::vector<wire::KeyValue> &entries);

  Runtime &runtime_;
  const Settings &settings_;
  const Replicas &replicas_;

  // This replica's key. Times are monotonic, in seconds.
  StateServiceLease lease_;
  std::optional<ConnectivityRecord> written_;
  double written_at_ = -1e9;
  TokenBucket write_budget_;

  // The other replicas' keys.
  std::vector<std::optional<StoredConnectivityRecord>> records_; // by replica
  double listed_at_ = -1e9;
  double next_list_at_ = 0;
  bool list_in_flight_ = false;
};

} // namespace loftrouter::core
