// Writes progress shards, and learns from the state service what has been written.
//
// Invariants: the entry of a job never names too few started tasks; TaskRecordState::start_recorded and
// completion_recorded say only what a confirmed write has said; a shard whose write was refused or had no answer is
// read again before its next write. If the first two were broken, a task could run twice after a failover (rule
// `ran_twice`). Not thread-safe: used by the core's thread alone.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "loftrouter/core/state/progress_shards.hpp"
#include "loftrouter/core/state/state_context.hpp"
#include "loftrouter/core/state/write_schedule.hpp"
#include "loftrouter/core/state/write_transaction.hpp"

namespace loftrouter::core {

class ProgressWriter {
public:
  ProgressWriter(const StateContext &context, ProgressShards &shards, WriteSchedule &schedule);

  // How many pending tasks of a job are to be recorded as started before they are placed, so that their starts need no
  // write of their own.
  void set_prerecorded_tasks(JobIndex job_index, std::uint32_t tasks);

  // Adds shards in this order, as far as they fit. One that has to be read again first is read instead.
  void add_shards(const std::vector<ShardIndex> &shards, WriteTransaction &transaction, TransactionRoom &room);
  // Adds one shard. `without_period`: an accounting period whose sums are left out; empty: none.
  void add_shard(ShardIndex shard, WriteTransaction &transaction, const std::string &without_period = {});

  // Outcomes of a transaction. `revision`: that of the records written.
  void recorded(const WriteTransaction &transaction, std::uint64_t revision);
  void outcome_unknown(const WriteTransaction &transaction);
  // The record under this key has another revision than the transaction expected.
  void conflicted(const std::string &key);

private:
  void prerecord_starts(JobIndex job_index);
  [[nodiscard]] ProgressRecord progress_record(JobIndex job_index) const;
  void limit_size(ProgressRecord &progress, JobIndex job_index) const;
  void cover_task_states(JobIndex job_index);
  void build_entry(JobIndex job_index, WriteTransaction &transaction);
  [[nodiscard]] wire::Json shard_value(ShardIndex shard, const std::string &without_period) const;
  void task_states_recorded(JobIndex job_index);
  void delegations_recorded(JobIndex job_index);
  void resync(ShardIndex shard);
  void on_shard_read(ShardIndex shard, const wire::StoreReply &reply);
  void resolve_rollup(ShardIndex shard, const wire::Json &value);

  Runtime &runtime_;
  Events &events_;
  const Leadership &leadership_;
  JobTable &jobs_;
  const Dependencies &dependencies_;
  const FailureAttribution &failure_attribution_;
  UsageLedger &ledger_;
  ProgressShards &shards_;
  WriteSchedule &schedule_;
};

} // namespace loftrouter::core
