// Assigns open jobs to progress shards. A shard is one record with the progress of many jobs, which saves writes.
//
// Owns the shards as last read or written by this replica, and the JobProgress of each open job. Invariants: space for
// the largest possible entry of each job is reserved, so that no record exceeds the size limit of the state service; a
// job that moves to another shard is in at least one of the two records at any time. Otherwise a later leader could
// start its tasks again (rule `ran_twice`, docs/safety.md). Not thread-safe: used by the core thread only.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "loftrouter/core/state/job_progress.hpp"
#include "loftrouter/core/state/state_context.hpp"

namespace loftrouter::core {

// A job that ended under an earlier leader after its last progress write. It stays in its shard until the usage since
// then has been added to the shard's sums (UsageSettlement).
struct UnsettledJob {
  std::string id;
  ProgressRecord progress;
};

struct ShardState {
  std::string key;
  std::uint64_t mod_revision = 0; // 0: the record doesn't exist

  std::vector<JobIndex> jobs;
  std::vector<UnsettledJob> unsettled_jobs;
  // Jobs that are moving to another shard. This shard is not written until the other is confirmed to hold them.
  std::vector<JobIndex> departing_jobs;
  std::size_t reserved_chars = 0; // for the entries of `jobs`
  bool oversize = false;          // exceeded the size limit when it was read

  bool dirty = false;
  bool urgent = false;    // something, such as a task start, depends on the write
  double dirty_since = 0; // monotonic, s

  bool needs_resync = false; // the revision is uncertain after a failed precondition or a write without a reply
  bool resyncing = false;    // a read is in flight
  // Period whose sums a write without a reply may have moved out of this shard; empty: none.
  std::string unconfirmed_rollup;
};

// Maximum number of concurrent delegations of a job; its entry reserves space for them.
inline constexpr std::size_t kMaxDelegationsPerJob = 2;

class ProgressShards {
public:
  explicit ProgressShards(const StateContext &context);

  [[nodiscard]] std::size_t size() const { return shards_.size(); }
  ShardState &operator[](ShardIndex shard) { return shards_[shard.position()]; }
  const ShardState &operator[](ShardIndex shard) const { return shards_[shard.position()]; }
  JobProgress &job(JobIndex job_index) { return job_progress_[job_index.position()]; }
  [[nodiscard]] const JobProgress &job(JobIndex job_index) const { return job_progress_[job_index.position()]; }

  // Adds the shard of an earlier leader's record with a value of `chars` characters.
  ShardIndex add_loaded(const std::string &key, std::uint64_t mod_revision, std::size_t chars);

  // Assigns a job to a shard. `loaded_from`: the shard that already holds it; invalid: a new job.
  void add_job(JobIndex job_index, ShardIndex loaded_from);
  void remove_job(JobIndex job_index);

  void mark_dirty(ShardIndex shard, bool urgent);
  void mark_job_dirty(JobIndex job_index, bool urgent);
  // Returns whether the record may be deleted.
  [[nodiscard]] bool empty(ShardIndex shard) const;
  // Returns the shards to write now: the urgent ones first, then those dirty for at least `max_delay_s`.
  [[nodiscard]] std::vector<ShardIndex> due(double max_delay_s) const;

  // Called after a confirmed write of a job's shard, which completes the first half of a move.
  void on_move_copied(JobIndex job_index);
  // Called after a confirmed write of a shard: its departing jobs have moved.
  void on_departures_written(ShardIndex shard);
  // Shrinks a shard that the state service rejected as too large: moves every second job to another shard, and makes
  // the task ranges of all its jobs coarser.
  void shrink(ShardIndex shard);

  // Return the size of a task set in a record, and the maximum size.
  [[nodiscard]] static std::size_t task_set_chars(std::uint32_t tasks);
  [[nodiscard]] std::size_t max_task_set_chars() const;

  void clear();

private:
  [[nodiscard]] std::size_t max_shard_chars() const;
  [[nodiscard]] std::size_t entry_chars(const Job &job) const;
  [[nodiscard]] std::size_t team_count(ShardIndex shard, const std::string &extra_team) const;
  [[nodiscard]] bool has_space(ShardIndex shard, JobIndex job_index) const;
  [[nodiscard]] bool write_blocked(const ShardState &shard) const;
  [[nodiscard]] bool is_due(const ShardState &shard, double max_delay_s) const;
  [[nodiscard]] bool key_in_use(const std::string &key) const;
  [[nodiscard]] ShardIndex find_move_target(JobIndex job_index, ShardIndex from) const;
  ShardIndex add_shard(char name_prefix);
  void assign(JobIndex job_index, ShardIndex loaded_from);
  void add_to_shard(JobIndex job_index, ShardIndex shard);
  void move_job(JobIndex job_index, ShardIndex from);

  Runtime &runtime_;
  const Settings &settings_;
  JobTable &jobs_;
  UsageLedger &ledger_;
  std::vector<ShardState> shards_;
  std::vector<JobProgress> job_progress_; // by job index
};

} // namespace loftrouter::core
