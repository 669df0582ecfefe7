// Loads the progress records of earlier leaders, between this replica's election and the start of its term, and keeps
// them until the open records have been loaded.
//
// Invariant: if several records hold a job, the starts in all of them count; otherwise a task could run twice (rule
// `ran_twice`, docs/safety.md). Not thread-safe: used by the core thread only.
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
    ShardIndex shard; // of the newest entry
  };

  ProgressLoader(const StateContext &context, ProgressShards &shards);

  // Loads a record. Returns false if it is unreadable: the leader must not start tasks then, as any of them may have
  // been started before.
  [[nodiscard]] bool load(const wire::KeyValue &record);
  // Returns null if nothing was loaded for the job.
  [[nodiscard]] const LoadedJob *find(const Job &job) const;
  // Called after all open records have been loaded. With accounting, jobs without one become unsettled
  // (UsageSettlement). Empty shards are marked dirty so that their records are deleted.
  void finish();
  void clear() { loaded_jobs_.clear(); }

private:
  // Job id, and the generation of the delegation if another cell delegated the job to this one; 0: a local job.
  using Key = std::pair<std::string, std::uint64_t>;

  void merge(const std::string &id, const ProgressRecord &progress, ShardIndex shard);

  JobTable &jobs_;
  UsageLedger &ledger_;
  ProgressShards &shards_;
  std::map<Key, LoadedJob> loaded_jobs_;
};

} // namespace loftrouter::core
