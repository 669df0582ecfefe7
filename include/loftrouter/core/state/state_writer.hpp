// The leader's records in the state service: which tasks may have been started and which are finished (progress), how
// jobs ended, and what teams have used.
//
// Puts the parts of the module together, and sends one transaction at a time. Invariants: every write is guarded by
// the revision of the leader key and by that of each record in it; start_recorded and completion_recorded say only
// what a confirmed write has said; records never name too few started tasks. If they were broken, a task could run
// twice after a failover (rule `ran_twice`), or a job be reported done and then go back (rule `went_back`). Not
// thread-safe: used by the core's thread alone.
//
// A record of its own job each: ProgressLoader and OpenRecordLoader (what is read), ProgressShards and ProgressWriter
// (progress), EndRecordWriter and EndRecordCompaction (ends), UsageSettlement and PeriodRollup (sums of usage).
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
  StateWriter(const StateWriter &) = delete; // its parts refer to each other
  StateWriter &operator=(const StateWriter &) = delete;

  // The task may be on a machine from now on, or may have been. Never taken back.
  void mark_started(JobIndex job_index, std::uint32_t task) { shards_.job(job_index).tasks[task].started = true; }
  // The state service says that it may have been started: its start may be sent.
  [[nodiscard]] bool start_recorded(JobIndex job_index, std::uint32_t task) const {
    return shards_.job(job_index).tasks[task].start_recorded;
  }
  // The state service says that it is done: its worker may forget it.
  [[nodiscard]] bool completion_recorded(JobIndex job_index, std::uint32_t task) const {
    return shards_.job(job_index).tasks[task].completion_recorded;
  }
  // See ProgressWriter::set_prerecorded_tasks.
  void set_prerecorded_tasks(JobIndex job_index, std::uint32_t tasks) {
    progress_writer_.set_prerecorded_tasks(job_index, tasks);
  }

  // Records read between this node's election and its term, progress first. False: see ProgressLoader::load.
  [[nodiscard]] bool load_progress_record(const wire::KeyValue &record) { return progress_loader_.load(record); }
  // Takes in an open record that says how its job ended, and has not been compacted yet; others are passed over.
  void load_end_record(const wire::KeyValue &record);
  // Takes in an open record: while records are loaded, and whenever it has changed.
  void load_open_record(const std::string &key, const wire::Json &value, std::uint64_t mod_revision) {
    open_records_.load(key, value, mod_revision);
  }

  // See OpenRecordLoader::audit.
  [[nodiscard]] std::string_view audit_open_record(const wire::KeyValue &record) { return open_records_.audit(record); }
  // Looks up the jobs that OpenRecordLoader::absent_jobs finds, and returns the keys of their open records.
  std::vector<std::string> resync_absent_jobs(const std::string &from, const std::string &to,
                                              const std::set<std::string> &listed, std::uint64_t revision);

  // Sends the next transaction, if there is something to write, none is under way and the write budget allows it. At
  // the end of each batch of commands.
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
  void on_refused(const WriteTransaction &transaction);
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
  bool ends_first_ = false; // in the latest transaction; they take turns with progress
};

} // namespace loftrouter::core
