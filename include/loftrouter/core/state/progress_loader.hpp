// Reads the progress records that earlier leaders have left, between this node's election and its term.
//
// Owns what they say of each job until its open record is read. Invariant: a job that stands in several records has
// been started as far as any of them says; if a start were dropped, the task could run twice (rule `ran_twice`).
// Not thread-safe: used by the core's thread alone.
#pragma once

#include <map>
#include <string>
#include <utility>

#include "loftrouter/core/state/progress_shards.hpp"
#include "loftrouter/core/state/state_context.hpp"

namespace loftrouter::core {

class ProgressLoader {
public:
  struct LoadedJob {
    ProgressRecord progress;
    ShardIndex shard; // of the newest record that has an entry of it
  };

  ProgressLoader(const StateContext &context, ProgressShards &shards);

  // Adds a record. False: it cannot be read, so that what it may say of started tasks is not known, and nothing may be
  // started in this term.
  [[nodiscard]] bool load(const wire::KeyValue &record);
  // What was read of a job; null if nothing was.
  [[nodiscard]] const LoadedJob *find(const Job &job) const;
  // All open records have been read. With accounts, jobs that were not among them are unsettled (UsageSettlement);
  // shards without any content are written next, so that they are deleted.
  void finish();
  void clear() { jobs_read_.clear(); }

private:
  // Id of a job and, if another cell has delegated it to this one, the generation of the delegation: what an earlier
  // delegation of the same job has done here is not taken for this one's. 0: a job of this cell's own users.
  using Key = std::pair<std::string, std::uint64_t>;

  void merge(const std::string &id, const ProgressRecord &progress, ShardIndex shard);

  JobTable &jobs_;
  UsageLedger &ledger_;
  ProgressShards &shards_;
  std::map<Key, LoadedJob> jobs_read_;
};

} // namespace loftrouter::core
