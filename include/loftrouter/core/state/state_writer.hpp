// The leader's records: which tasks may have been started and which are finished (progress), and how jobs ended.
//
// Owns the progress records, the transaction under way and what is to be written next. Promises that every write is
// guarded by the leader key's revision and by each record's own; that `recorded` says of a task only what a confirmed
// write has said; and that records never name too few started tasks. If that were wrong, a task could run twice after
// a takeover (ran_twice), or a job be told done and then go back (went_back).
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "loftrouter/core/election/leadership.hpp"
#include "loftrouter/core/jobs/dependencies.hpp"
#include "loftrouter/core/jobs/failure_attribution.hpp"
#include "loftrouter/core/jobs/pending_reasons.hpp"
#include "loftrouter/core/runtime/dense_index.hpp"
#include "loftrouter/core/runtime/events.hpp"
#include "loftrouter/core/runtime/state_service_limits.hpp"
#include "loftrouter/core/state/usage_ledger.hpp"

namespace loftrouter::core {

class StateWriter {
public:
  StateWriter(Runtime &runtime, Events &events, const Settings &settings, Leadership &leadership,
              StateServiceLimits &state_limits, JobTable &jobs, EndedJobs &ended, const Dependencies &dependencies,
              FailureAttribution &failure_attribution, const PendingReasons &pending_reasons,
              const JobObjectives &objectives, Ledger &ledger)
      : runtime_(runtime), events_(events), settings_(settings), leadership_(leadership), state_limits_(state_limits),
        jobs_(jobs), ended_(ended), dependencies_(dependencies), failure_attribution_(failure_attribution),
        pending_reasons_(pending_reasons), objectives_(objectives), ledger_(ledger) {}

  // A task may be on a machine from now on, or may have been. Never taken back.
  void start(JobIndex job_index, std::uint32_t i) { marks(job_index)[i] |= kStarted; }
  // The state service says that it may have been started: its start may be sent.
  bool recorded(JobIndex job_index, std::uint32_t i) const { return marks(job_index)[i] & kRecorded; }
  // The state service says that it is done: its worker may forget it.
  bool done_recorded(JobIndex job_index, std::uint32_t i) const { return marks(job_index)[i] & kDoneRecorded; }
  // How many of a job's waiting tasks are to count as started before they are placed, so that their starts need no
  // write of their own.
  void set_ahead(JobIndex job_index, std::uint32_t tasks);

  // Records read before this node leads, progress first; and open records whenever there is news of them. False: a
  // progress record cannot be read, and what it may have said was started is not known.
  bool load_progress(const wire::KeyValue &record);
  void load_end(const wire::KeyValue &record); // an open record that says how its job ended, not yet moved
  void take_open(const std::string &key, const wire::Json &value, std::uint64_t mod_revision);

  // An audit's: whether an open record says something that has been missed, in words, which is then taken in; and jobs
  // that are open here and whose records are not among those read (keys after `from`, up to `to` or all), which are
  // then looked up.
  std::string compare(const wire::KeyValue &record);
  std::vector<std::string> not_there(const std::string &from, const std::string &to, const std::set<std::string> &there,
                                     std::uint64_t revision);

  static constexpr std::size_t kMaxDelegations = 2; // of a job at a time: a record has room for them
  void flush();                                     // at the end of each batch
  void on(const LeaderElected &);
  void on(const TermStarted &);
  void on(const TermEnded &);
  void on(const JobChanged &event) { mark(event.job, event.ends, event.urgent); }

private:
  // One record that holds the progress of many jobs, since writes are what is scarce.
  struct Shard {
    std::string key;
    std::uint64_t mod_revision = 0; // 0: not there
    std::vector<JobIndex> jobs;
    std::size_t reserved = 0;           // characters that its jobs may come to need
    bool dirty = false, urgent = false; // urgent: starts wait for the write
    double dirty_since = 0;
    bool needs_resync = false, resyncing = false; // stamp unknown after an unanswered or refused write
    // Jobs that ended under an earlier leader after it had last written this record: they stay in it until what their
    // ends say has been added to the sums.
    std::vector<std::pair<std::string, ProgressRecord>> ghosts;
    // Jobs that move from it to another record, as it is larger than may be written by now: until that one is known to
    // hold them this one is not written; then it is, without them; and only after that may they go from the other.
    std::vector<JobIndex> leaving;
    bool oversize = false; // as it was read
    std::string folding;   // a period whose sums may have been moved from here, by a write without an answer
  };
  static constexpr std::uint8_t kStarted = 1, kCovered = 2, kRecorded = 4, kDoneCovered = 8, kDoneRecorded = 16;
  struct Entry {                     // of a job
    std::vector<std::uint8_t> marks; // by task; `covered`: by the transaction that last wrote its progress
    int shard = -1, from = -1;       // the latter: the record that it moves from, until that was written without it
    bool copied = false;             // the new one is known to hold it
    int coarser = 0;                 // its sets take half the room, so many times: the state service has refused them
    bool dirty = false;              // its progress differs from what was last written
    bool to_end = false;             // in the queue for that
    bool needs_resync = false;       // stamp unknown after an unanswered or refused write
    bool resyncing = false;
    std::uint32_t ahead = 4;
    wire::Json progress; // as last written
    EndRecord end;       // while it is being written
    bool ended_in_place = false;
    std::vector<std::uint64_t> delegations_covered, delegations_recorded; // generations, as the marks
  };
  struct Move { // from open/ to end/, when there is time
    std::string id;
    std::uint64_t mod_revision; // of the open record that says how the job ended
    wire::Json value;           // what it says
  };
  struct Transaction;

  std::vector<std::uint8_t> &marks(JobIndex job_index) { return entry(job_index).marks; }
  const std::vector<std::uint8_t> &marks(JobIndex job_index) const { return entries_[job_index.position()].marks; }
  Entry &entry(JobIndex job_index) { return entries_[job_index.position()]; }
  void mark(JobIndex job_index, bool ends, bool urgent);
  void mark_again(JobIndex job_index);
  void mark_shard(std::size_t s, bool urgent);
  std::size_t set_chars() const;
  std::size_t max_chars() const;
  bool has_room(std::size_t s, JobIndex job_index) const;
  std::size_t entry_chars(const Job &job) const;
  std::size_t fresh_shard(char series);
  void put_in(JobIndex job_index, std::size_t s);
  void move(JobIndex job_index, std::size_t from);
  void move_on(const Transaction &transaction);
  bool blocked(const Shard &shard) const;
  void refused(const Transaction &transaction);
  void accept(OpenRecord record, std::uint64_t mod_revision);
  void assign_shard(JobIndex job_index);
  void remove(JobIndex job_index);
  void record_ahead(JobIndex job_index);
  void add_end(JobIndex job_index, Transaction &transaction, bool in_place);
  void add_moves(Transaction &transaction, double budget, std::size_t most);
  void write_entry(JobIndex job_index, Transaction &transaction);
  void add_shard(std::size_t s, Transaction &transaction, const std::string &without_period = "");
  void commit(Transaction &&transaction);
  void flushed(const Transaction &transaction, const wire::StoreReply &reply);
  void delegations_recorded(JobIndex job_index);
  void ended(JobIndex job_index, EndRecord end);
  void resync(JobIndex job_index);
  void resync_shard(std::size_t s);
  void settle_ghosts();
  void settled(std::size_t s, const std::string &id, const std::optional<EndRecord> &end);
  void fold();
  void fold_into(std::size_t s, const std::string &period, SumsByTeam kept, std::uint64_t mod_revision);
  wire::Json shard_value(std::size_t s, const std::string &without_period) const;

  Runtime &runtime_;
  Events &events_;
  const Settings &settings_;
  Leadership &leadership_;
  StateServiceLimits &state_limits_;
  JobTable &jobs_;
  EndedJobs &ended_;
  const Dependencies &dependencies_;
  FailureAttribution &failure_attribution_;
  const PendingReasons &pending_reasons_;
  const JobObjectives &objectives_;
  Ledger &ledger_;
  std::set<std::string> left_alone_; // periods whose record cannot be read: their sums stay where they are
  bool settling_ = false;
  double next_settle_ = 0;
  std::vector<Entry> entries_; // by job
  std::vector<Shard> shards_;
  std::map<std::pair<std::string, std::uint64_t>, ProgressRecord> loaded_; // by job and, if borrowed, generation
  std::map<std::pair<std::string, std::uint64_t>, std::size_t> loaded_shard_;
  std::deque<JobIndex> ending_; // jobs whose final record is to be written
  std::deque<Move> moves_;
  bool ends_first_ = false, flushing_ = false;
  double flush_after_ = 0, alone_until_ = -1e9; // the latter: one record a transaction, to find which is refused
};

} // namespace loftrouter::core
