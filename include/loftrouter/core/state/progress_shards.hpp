// Assigns open jobs to progress shards. Writes are scarce, so one record holds the progress of many jobs.
//
// Owns the shards as this node last read or wrote them, and the JobProgress of each open job. Invariants: an open job
// is assigned to one shard for as long as this node leads, unless it has to move; room for the largest form of its
// entry is reserved there, so that no record outgrows what the state service takes; and a job that moves is never in
// neither of its two records. If that were broken, a later leader would not know that its tasks were started, and
// would start them again (rule `ran_twice`). Not thread-safe: used by the core's thread alone.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "loftrouter/core/state/job_progress.hpp"
#include "loftrouter/core/state/state_context.hpp"

namespace loftrouter::core {

// A job that ended under an earlier leader, after the last write of its progress. It stays in its shard until the
// difference to its end record is in the shard's sums (UsageSettlement).
struct UnsettledJob {
  std::string id;
  ProgressRecord progress;
};

struct ProgressShard {
  std::string key;
  std::uint64_t mod_revision = 0; // 0: there is no such record

  std::vector<JobIndex> jobs;
  std::vector<UnsettledJob> unsettled_jobs;
  // Jobs that move to another shard. This one is not written until the other is known to hold them, and then without
  // them. They are deleted from the other only after that.
  std::vector<JobIndex> departing_jobs;
  std::size_t reserved_chars = 0; // that the entries of `jobs` may come to need
  bool oversize = false;          // larger than may be written by now, when it was read

  bool dirty = false;
  bool urgent = false;    // something, such as a start, waits for the write
  double dirty_since = 0; // monotonic, s

  bool needs_resync = false; // its revision is unknown, after a write that was refused or had no answer
  bool resyncing = false;    // it is being read
  // A period whose sums may have been moved out of it, by a write that had no answer; empty: none.
  std::string rollup_in_doubt;
};

// Delegations of a job at a time: its entry has room for them.
inline constexpr std::size_t kMaxDelegationsPerJob = 2;

class ProgressShards {
public:
  explicit ProgressShards(const StateContext &context);

  [[nodiscard]] std::size_t size() const { return shards_.size(); }
  ProgressShard &operator[](ShardIndex shard) { return shards_[shard.position()]; }
  const ProgressShard &operator[](ShardIndex shard) const { return shards_[shard.position()]; }
  JobProgress &job(JobIndex job_index) { return job_progress_[job_index.position()]; }
  [[nodiscard]] const JobProgress &job(JobIndex job_index) const { return job_progress_[job_index.position()]; }

  // A record that an earlier leader has left. `chars`: the length of its value.
  ShardIndex add_loaded(const std::string &key, std::uint64_t mod_revision, std::size_t chars);

  // Assigns a job that is new here. `loaded_from`: the shard in which it was read; invalid if in none.
  void add_job(JobIndex job_index, ShardIndex loaded_from);
  // Its entry goes with the next write of its shard.
  void remove_job(JobIndex job_index);

  void mark_dirty(ShardIndex shard, bool urgent);
  // The same for the shard of a job whose entry has to be written anew.
  void mark_job_dirty(JobIndex job_index, bool urgent);
  // Neither jobs nor sums are left in it: the record may be deleted.
  [[nodiscard]] bool empty(ShardIndex shard) const;
  // Shards to be written now, the most urgent first: those that something waits for, and those that have been dirty
  // for `max_delay_s`.
  [[nodiscard]] std::vector<ShardIndex> due(double max_delay_s) const;

  // A confirmed write of its shard holds the entry of a job.
  void copy_recorded(JobIndex job_index);
  // A confirmed write of a shard is without the jobs that move away from it.
  void departures_recorded(ShardIndex shard);
  // Makes a shard smaller that the state service has refused: entries become coarser, and every second job moves.
  void shrink(ShardIndex shard);

  // What a set of tasks takes in a record, in characters, and the most that it may take.
  [[nodiscard]] static std::size_t task_set_chars(std::uint32_t tasks);
  [[nodiscard]] std::size_t max_task_set_chars() const;

  void clear();

private:
  [[nodiscard]] std::size_t max_shard_chars() const;
  [[nodiscard]] std::size_t entry_chars(const Job &job) const;
  [[nodiscard]] std::size_t team_count(ShardIndex shard, const std::string &and_team) const;
  [[nodiscard]] bool has_room(ShardIndex shard, JobIndex job_index) const;
  [[nodiscard]] bool write_blocked(const ProgressShard &shard) const;
  [[nodiscard]] bool is_due(const ProgressShard &shard, double max_delay_s) const;
  [[nodiscard]] bool key_in_use(const std::string &key) const;
  [[nodiscard]] ShardIndex find_move_target(JobIndex job_index, ShardIndex from) const;
  ShardIndex add_shard(char series);
  void assign(JobIndex job_index, ShardIndex loaded_from);
  void put_into(JobIndex job_index, ShardIndex shard);
  void move_job(JobIndex job_index, ShardIndex from);

  Runtime &runtime_;
  const Settings &settings_;
  JobTable &jobs_;
  UsageLedger &ledger_;
  std::vector<ProgressShard> shards_;
  std::vector<JobProgress> job_progress_; // by job
};

} // namespace loftrouter::core
