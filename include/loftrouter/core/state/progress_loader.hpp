// Loads the progress records of earlier leaders, between this replica's election and the start of its term.
//
// Keeps the loaded progress of each job until its open record is read. Invariant: if several records hold a job, the
// starts in all of them count; a dropped start could let the task run twice (rule `ran_twice`). Not thread-safe: used
// by the core thread only.
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
    ShardIndex shard; // of the newest record with an entry for the job
  };

  ProgressLoader(const StateContext &context, ProgressShards &shards);

  // Loads a record. Returns false if it is unreadable: some tasks may have been started unknown to this leader, so it
  // must not start any in this term.
  [[nodiscard]] bool load(const wire::KeyValue &record);
  // Returns the loaded progress of a job, or null.
  [[nodiscard]] const LoadedJob *find(const Job &job) const;
  // Called after all open records have been loaded. If accounting is enabled, jobs without an open record become
  // unsettled (UsageSettlement). Empty shards are marked dirty so that they are deleted.
  void finish();
  void clear() { loaded_jobs_.clear(); }

private:
  // Job id and, if another cell delegated the job to this one, the generation of the delegation (0: a local job). The
  // generation keeps apart the progress of earlier delegations of the same job.
  using Key = std::pair<std::string, std::uint64_t>;

  void merge(const std::string &id, const ProgressRecord &progress, ShardIndex shard);

  JobTable &jobs_;
  UsageLedger &ledger_;
  ProgressShards &shards_;
  std::map<Key, LoadedJob> loaded_jobs_;
};

} // namespace loftrouter::core
