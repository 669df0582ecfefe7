// Completes the usage sums after a failover, for jobs that ended under an earlier leader.
//
// Such a job's end record may say more than its last progress record, whose shard's sums hold only what that one says.
// One such job after the other: its end is read, and the difference is added to the sums. Invariant: the sums of a
// shard are exactly those of all jobs that have ever been in it (docs/accounts.md). There are as many such jobs as end
// within the delay of a progress write; nothing else that has ended is read. Not thread-safe: used by the core's thread
// alone.
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

  // Settles the next unsettled job, if there is one and none is being read.
  void settle_next();
  // The term has ended. Answers of its reads are not waited for any more.
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
