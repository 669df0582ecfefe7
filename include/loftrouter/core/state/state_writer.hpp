// Loads the leader's records from the state service and writes them, in one transaction at a time: started and finished
// tasks (progress), job ends, and team usage.
//
// Invariants: every write is conditional on the revisions of the leader key and of each record it contains;
// start_recorded and completion_recorded reflect confirmed writes only; no record omits a started task. Otherwise a
// task could run twice after a failover (rule `ran_twice`, docs/safety.md), or a job could be reported done and later
// as open again (rule `went_back`). Not thread-safe: used by the core thread only.
#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "loftrouter/core/state/end_record_compaction.hpp"
#include "loftrouter/core/state/end_record_writer.hpp"
#include "loftrouter/core/state/open_record_loader.hpp"
#include "loftrouter/core/state/period_rollup.hpp"
#include "loftrouter/core/state/progress_loader.hpp"
#include "loftrouter/core/state/progress_shards.hpp"
#include "loftrouter/core/state/progress_writer.hpp"
#include "loftrouter/core/state/state_context.hpp"
#include "loftrouter/core/state/usage_settlement.hpp"
#include "loftrouter/core/state/write_schedule.hpp"
#include "loftrouter/core/state/write_transaction.hpp"

namespace loftrouter::core {

class StateWriter {
public:
  explicit StateWriter(const StateContext &context);
  StateWriter(const StateWriter &) = delete; // its members refer to each other
  StateWriter &operator=(const StateWriter &) = delete;

  // Marks a task as started: it may be running on a machine, or may have been.
  void mark_started(JobIndex job_index, std::uint32_t task) { shards_.job(job_index).tasks[task].started = true; }
  // Returns whether a worker may be told to start the task: only after its start has been recorded.
  [[nodiscard]] bool start_recorded(JobIndex job_index, std::uint32_t task) const {
    return shards_.job(job_index).tasks[task].start_recorded;
  }
  // Returns whether the worker may forget the task: only after its completion has been recorded.
  [[nodiscard]] bool completion_recorded(JobIndex job_index, std::uint32_t task) const {
    return shards_.job(job_index).tasks[task].completion_recorded;
  }
  void set_prerecorded_tasks(JobIndex job_index, std::uint32_t tasks) {
    progress_writer_.set_prerecorded_tasks(job_index, tasks);
  }

  // Called before the open records are loaded. Returns false if the record is unreadable (ProgressLoader::load).
  [[nodiscard]] bool load_progress_record(const wire::KeyValue &record) { return progress_loader_.load(record); }
  // Loads an open record if it holds the end of its job (EndRecordCompaction).
  void load_end_record(const wire::KeyValue &record);
  void load_open_record(const std::string &key, const wire::Json &value, std::uint64_t mod_revision) {
    open_records_.load(key, value, mod_revision);
  }

  [[nodiscard]] std::string_view audit_open_record(const wire::KeyValue &record) { return open_records_.audit(record); }
  // Updates the jobs of OpenRecordLoader::absent_jobs from their stored records, and returns their keys.
  std::vector<std::string> resync_absent_jobs(const std::string &from, const std::string &to,
                                              const std::set<std::string> &listed, std::uint64_t revision);

  // Sends the next transaction if there is something to write, none is in flight and the write budget allows it.
  void flush();

  void on(const LeaderElected &) { progress_loader_.clear(); }
  void on(const TermStarted &) { progress_loader_.finish(); }
  void on(const TermEnded &);
  void on(const JobChanged &event) { mark_changed(event.job, event.can_finalize, event.urgent); }

private:
  void mark_changed(JobIndex job_index, bool ends, bool urgent);
  [[nodiscard]] WriteTransaction build_transaction(const std::vector<ShardIndex> &due);
  void commit(WriteTransaction &&transaction);
  void on_commit_reply(const WriteTransaction &transaction, const wire::StoreReply &reply);
  void on_not_applied(const WriteTransaction &transaction, const wire::StoreReply &reply);
  void on_conflict(const std::vector<std::string> &keys);
  void on_outcome_unknown(const WriteTransaction &transaction);
  void on_rejected(const WriteTransaction &transaction);
  void reduce_size(const WriteTransaction &transaction);
  [[nodiscard]] std::string describe(const WriteTransaction &transaction) const;
  void requeue(const WriteTransaction &transaction);

  Runtime &runtime_;
  const Settings &settings_;
  Leadership &leadership_;
  StateServiceLimits &state_limits_;
  JobTable &jobs_;
  EndedJobs &ended_jobs_;

  WriteSchedule schedule_;
  ProgressShards shards_;
  ProgressLoader progress_loader_;
  OpenRecordLoader open_records_;
  ProgressWriter progress_writer_;
  EndRecordCompaction compaction_;
  EndRecordWriter end_records_;
  UsageSettlement settlement_;
  PeriodRollup rollup_;
  bool ends_first_ = false; // whether the latest transaction took job ends before progress
};

} // namespace loftrouter::core
