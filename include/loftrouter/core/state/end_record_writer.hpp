// Writes how jobs ended, and removes them from the job table once that is known to be recorded.
//
// Owns the queue of jobs whose ends are to be written, and what is known of each write. Invariants: a job is ended only
// while nothing of it runs or may run (Job::finishable); its end is written only over the open record as last seen, so
// that a cancellation that comes in between is not lost; a write without an answer is looked up before the next one.
// If they were broken, a job could be reported done and then go back (rule `went_back`). Not thread-safe: used by the
// core's thread alone.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "loftrouter/core/runtime/growing_table.hpp"
#include "loftrouter/core/state/end_record_compaction.hpp"
#include "loftrouter/core/state/open_record_loader.hpp"
#include "loftrouter/core/state/progress_shards.hpp"
#include "loftrouter/core/state/state_context.hpp"
#include "loftrouter/core/state/write_schedule.hpp"
#include "loftrouter/core/state/write_transaction.hpp"

namespace loftrouter::core {

class EndRecordWriter {
public:
  EndRecordWriter(const StateContext &context, ProgressShards &shards, OpenRecordLoader &open_records,
                  EndRecordCompaction &compaction, WriteSchedule &schedule);

  void enqueue(JobIndex job_index);
  [[nodiscard]] bool empty() const { return queue_.empty(); }
  // So many jobs end at present that writing fewer records matters more than writing them soon.
  [[nodiscard]] bool busy() const;

  // Adds ends, the oldest first, as far as they fit. `in_place`: into the open records, one write each.
  void add_to(WriteTransaction &transaction, TransactionRoom &room, bool in_place);

  // Outcomes of a transaction, by the ids of the jobs that it ends. `revision`: that of the records written.
  void recorded(const std::vector<std::string> &ids, std::uint64_t revision);
  void outcome_unknown(const std::vector<std::string> &ids);
  void not_applied(const std::vector<std::string> &ids); // after any outcome but `recorded`; they are not queued again
  // The state service has refused the end for its size: the next one goes without its reason.
  void refused_for_size(const std::string &id);
  // A record of this job has another revision than the transaction expected.
  void conflicted(const std::string &id);

  // Looks up the record of a job that is no longer as this leader knows it, and follows what it says.
  void resync(JobIndex job_index);

  void clear();

private:
  struct EndState { // of a job
    bool queued = false;
    bool needs_resync = false; // its open record's revision is unknown
    bool resyncing = false;
    bool in_place = false; // how `end` is being written
    EndRecord end;         // while it is being written
  };

  EndState &state(JobIndex job_index) { return get_or_create(states_, job_index); }
  bool ready(JobIndex job_index);
  void add_end(JobIndex job_index, WriteTransaction &transaction, bool in_place);
  void log_end(JobIndex job_index, const EndRecord &end);
  void on_open_record_read(const std::string &id, const wire::StoreReply &reply);
  void on_open_record_gone(JobIndex job_index);
  void on_end_record_read(const std::string &id, const wire::StoreReply &reply);
  void finish_ended(JobIndex job_index, EndRecord end);
  void remove(JobIndex job_index);

  Runtime &runtime_;
  const Leadership &leadership_;
  JobTable &jobs_;
  EndedJobs &ended_jobs_;
  const PendingReasons &pending_reasons_;
  const JobObjectives &objectives_;
  UsageLedger &ledger_;
  ProgressShards &shards_;
  OpenRecordLoader &open_records_;
  EndRecordCompaction &compaction_;
  WriteSchedule &schedule_;
  std::deque<JobIndex> queue_;
  std::vector<EndState> states_; // by job
};

} // namespace loftrouter::core
