// Completes the usage sums after a failover, for jobs that ended under an earlier leader after their last progress
// write.
//
// Reads their end records one at a time, and adds the usage that the progress record lacks to the sums of its shard.
// Invariant: the sums of a shard are exactly those of all jobs that have ever been in it (docs/accounts.md). Not
// thread-safe: used by the core thread only.
#pragma once

#include <optional>
#include <string>

#include "loftrouter/core/state/end_record_compaction.hpp"
#include "loftrouter/core/state/progress_shards.hpp"
#include "loftrouter/core/state/state_context.hpp"

namespace loftrouter::core {

class UsageSettlement {
public:
  UsageSettlement(const StateContext &context, ProgressShards &shards, const EndRecordCompaction &compaction);

  // Settles the next unsettled job, if there is one and no read is in flight.
  void settle_next();
  void clear() { reading_ = false; }

private:
  [[nodiscard]] ShardIndex first_unsettled_shard() const;
  void on_end_record_read(ShardIndex shard, const std::string &id, const wire::StoreReply &reply);
  void settle(ShardIndex shard, const std::string &id, const std::optional<EndRecord> &end);

  Runtime &runtime_;
  const Leadership &leadership_;
  UsageLedger &ledger_;
  ProgressShards &shards_;
  const EndRecordCompaction &compaction_;
  bool reading_ = false;
  double next_at_ = 0; // monotonic, s
};

} // namespace loftrouter::core
