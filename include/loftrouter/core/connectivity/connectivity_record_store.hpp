// Exchanges connectivity records through the state service while a peer link is down. Each replica keeps one key,
// `reach/<sender number>`, attached to a lease, so that the key disappears when its process dies.
//
// Owns this replica's key and its lease, and a cached copy of the other records. To limit load on the state service,
// the rate of writes is limited to six a minute, with bursts, and the others are listed only while a peer link is down.
// Safety does not depend on the records. See docs/links.md.
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

  // Keeps the lease alive, and writes this replica's record if it is not stored yet or, while a peer link is down,
  // needs a rewrite.
  void publish(const ConnectivityRecord &own_record, bool peer_link_down);

  // Lists the other replicas' records if the list interval has passed; `urgent` shortens the interval.
  void refresh(bool urgent);

  // The replica's record as last listed; nullopt if there is none or the list is too old. Fields that have expired are
  // reset to their defaults.
  [[nodiscard]] std::optional<ReplicaConnectivity> find(ReplicaIndex replica) const;

private:
  void maintain_lease();
  // Whether the written record would mislead the other replicas, or is too old to show that workers reach this replica.
  [[nodiscard]] bool needs_rewrite(const ConnectivityRecord &own_record) const;
  void write(const ConnectivityRecord &own_record);
  void replace_records(const std::vector<wire::KeyValue> &entries);

  Runtime &runtime_;
  const Settings &settings_;
  const Replicas &replicas_;

  // This replica's key. Times are monotonic, s.
  StateServiceLease lease_;
  std::optional<ConnectivityRecord> written_record_;
  double written_at_ = -1e9;
  TokenBucket write_budget_;

  // The other replicas' records.
  std::vector<std::optional<StoredConnectivityRecord>> records_; // by replica
  double listed_at_ = -1e9;
  double next_list_at_ = 0;
  bool list_in_flight_ = false;
};

} // namespace loftrouter::core
