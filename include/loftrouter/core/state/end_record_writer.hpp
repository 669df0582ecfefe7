// Writes the end records of jobs and removes the jobs from the job table once the write is confirmed.
//
// Invariants: a job ends only if none of its tasks may run (Job::finishable); an end replaces only the last seen
// revision of the open record, so that no cancellation is lost; after a write without a reply the record is read back
// before the next write. Otherwise a job could be reported done and later as open again (rule `went_back`,
// docs/safety.md). Not thread-safe: used by the core thread only.
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
  // Returns whether so many ends are queued that writes have to be saved.
  [[nodiscard]] bool busy() const;

  // Adds queued ends, oldest first, up to the capacity. `in_place`: whether to store them in the open records, with one
  // write each (EndRecordCompaction).
  void add_to(WriteTransaction &transaction, TransactionCapacity &capacity, bool in_place);

  // Handle the outcome of a transaction that ends the jobs `ids`. `revision`: of the written records.
  void on_committed(const std::vector<std::string> &ids, std::uint64_t revision);
  void on_outcome_unknown(const std::vector<std::string> &ids);
  void on_not_applied(const std::vector<std::string> &ids); // any outcome but committed
  // The state service rejected the end record as too large: it will be written without its reason.
  void on_too_large(const std::string &id);
  // The revision of a record of the job was not the expected one.
  void on_conflict(const std::string &id);

  // Updates a job from its stored records.
  void resync(JobIndex job_index);

  void clear();

private:
  struct EndState {
    bool queued = false;
    bool needs_resync = false; // the revision of the open record is uncertain
    bool resyncing = false;
    bool in_place = false; // `end` is written into the open record
    EndRecord end;         // valid while the job is ending
  };

  EndState &end_state(JobIndex job_index) { return get_or_create(states_, job_index); }
  bool ready_to_write(JobIndex job_index);
  void add_end(JobIndex job_index, WriteTransaction &transaction, bool in_place);
  void log_end(JobIndex job_index, const EndRecord &end);
  void on_open_record_read(const std::string &id, const wire::StoreReply &reply);
  void on_open_record_gone(JobIndex job_index);
  void on_end_record_read(const std::string &id, const wire::StoreReply &reply);
  void remove_ended(JobIndex job_index, EndRecord end);
  void remove(JobIndex job_index);

  Runtime &runtime_;
  const Leadership &leadership_;
  JobTable &jobs_;
  EndedJobs &ended_jobs_;
  const JobReasons &job_reasons_;
  const JobObjectives &objectives_;
  UsageLedger &ledger_;
  ProgressShards &shards_;
  OpenRecordLoader &open_records_;
  EndRecordCompaction &compaction_;
  WriteSchedule &schedule_;
  std::deque<JobIndex> queue_;
  std::vector<EndState> states_; // by job index
};

} // namespace loftrouter::core
