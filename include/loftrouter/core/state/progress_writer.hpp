// Writes progress shards and tracks which writes the state service has confirmed.
//
// Invariants: a job's entry never omits a started task; TaskRecordState::start_recorded and completion_recorded reflect
// confirmed writes only; after a write that failed a precondition or got no reply, a shard is read back before it is
// written again. Otherwise a task could run twice after a failover (rule `ran_twice`, docs/safety.md). Not thread-safe:
// used by the core thread only.
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

  // Sets how many pending tasks of a job are recorded as started before they are placed, so that they need not wait for
  // a write then.
  void set_prerecorded_tasks(JobIndex job_index, std::uint32_t tasks);

  // Adds shards in this order, up to the capacity. Reads those that need a resync instead.
  void add_shards(const std::vector<ShardIndex> &shards, WriteTransaction &transaction, TransactionCapacity &capacity);
  // `without_period`: accounting period whose sums are omitted; empty: none.
  void add_shard(ShardIndex shard, WriteTransaction &transaction, const std::string &without_period = {});

  // Handle the outcome of a transaction. `revision`: of the written records.
  void on_committed(const WriteTransaction &transaction, std::uint64_t revision);
  void on_outcome_unknown(const WriteTransaction &transaction);
  // The revision of the record at this key was not the expected one.
  void on_conflict(const std::string &key);

private:
  void prerecord_starts(JobIndex job_index);
  [[nodiscard]] ProgressRecord progress_record(JobIndex job_index) const;
  void limit_size(ProgressRecord &progress, JobIndex job_index) const;
  void snapshot_written_state(JobIndex job_index);
  void build_entry(JobIndex job_index, WriteTransaction &transaction);
  [[nodiscard]] wire::Json shard_value(ShardIndex shard, const std::string &without_period) const;
  void mark_task_states_recorded(JobIndex job_index);
  void publish_recorded_delegations(JobIndex job_index);
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
