#include "loftrouter/core/state/progress_shards.hpp"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include <fmt/format.h>

#include "loftrouter/core/runtime/growing_table.hpp"
#include "loftrouter/wire/storage_keys.hpp"

namespace loftrouter::core {

namespace {
// Sizes are in characters.
constexpr double kMaxShardShare = 0.95;       // of the maximum value size
constexpr double kTaskSetsPerValue = 5;       // number of task sets of maximum size that fill a value
constexpr std::size_t kEntryChars = 85;       // a job's entry without its two task sets
constexpr std::size_t kAccountChars = 130;    // a job's entry with its account, without id and one task set
constexpr std::size_t kSumsChars = 130;       // a team's sums of two periods
constexpr std::size_t kDelegationChars = 230; // a delegation with names, account and a few task ranges
constexpr std::size_t kTasksPerHexDigit = 4;  // in the bitmap of a task set
constexpr std::size_t kBitmapExtraChars = 3;  // quotes and rounding

// Prefixes of shard names. Records with moved jobs must sort last: earlier versions use the entry read last if a job is
// in two records.
constexpr char kShardNamePrefix = 's';
constexpr char kMovedShardNamePrefix = 't';

bool has_write_priority(const ShardState &left, const ShardState &right) {
  return std::pair(!left.urgent, left.dirty_since) < std::pair(!right.urgent, right.dirty_since);
}
} // namespace

ProgressShards::ProgressShards(const StateContext &context)
    : runtime_(context.runtime), settings_(context.settings), jobs_(context.jobs), ledger_(context.ledger) {}

void ProgressShards::clear() {
  shards_.clear();
  job_progress_.clear();
}

std::size_t ProgressShards::task_set_chars(std::uint32_t tasks) {
  return tasks / kTasksPerHexDigit + kBitmapExtraChars;
}

std::size_t ProgressShards::max_task_set_chars() const {
  return static_cast<std::size_t>(settings_.state_value_kb * 1024 / kTaskSetsPerValue);
}

std::size_t ProgressShards::max_shard_chars() const {
  return static_cast<std::size_t>(settings_.state_value_kb * 1024 * kMaxShardShare);
}

// Returns the maximum size of a job's entry. With accounting, only one of the two task sets can be long: tasks start in
// order, so the started ones form a single range.
std::size_t ProgressShards::entry_chars(const Job &job) const {
  const std::size_t task_set = std::min(task_set_chars(job.spec.tasks), max_task_set_chars());
  const std::size_t delegations = settings_.cells.name.empty() ? 0 : kMaxDelegationsPerJob * kDelegationChars;
  if (ledger_.enabled()) return kAccountChars + job.spec.id.size() + task_set + delegations;
  return kEntryChars + 2 * task_set + delegations;
}

std::size_t ProgressShards::team_count(ShardIndex shard, const std::string &extra_team) const {
  std::set<std::string_view> teams{extra_team};
  for (JobIndex other : (*this)[shard].jobs)
    teams.insert(jobs_[other].spec.team);
  for (const auto &[key, sums] : ledger_.sums(shard))
    teams.insert(key.second);
  return teams.size();
}

// Returns whether the job fits into the shard, beside the sums of the shard's teams, for which up to half of the record
// is reserved. Counts teams only if needed, because a failover tries every job on every shard.
bool ProgressShards::has_space(ShardIndex shard, JobIndex job_index) const {
  const std::size_t chars = (*this)[shard].reserved_chars + entry_chars(jobs_[job_index]);
  const std::size_t max_chars = max_shard_chars();
  if (chars > max_chars) return false;
  if (!ledger_.enabled()) return true;
  const std::size_t max_sums_chars = max_chars / 2;
  if (chars <= max_chars - max_sums_chars) return true;
  const std::size_t teams = team_count(shard, jobs_[job_index].spec.team);
  return chars <= max_chars - std::min(kSumsChars * teams, max_sums_chars);
}

ShardIndex ProgressShards::add_loaded(const std::string &key, std::uint64_t mod_revision, std::size_t chars) {
  ShardState loaded;
  loaded.key = key;
  loaded.mod_revision = mod_revision;
  loaded.oversize = chars > max_shard_chars();
  shards_.push_back(std::move(loaded));
  return ShardIndex(shards_.size() - 1);
}

bool ProgressShards::key_in_use(const std::string &key) const {
  return std::any_of(shards_.begin(), shards_.end(), [&](const ShardState &shard) { return shard.key == key; });
}

ShardIndex ProgressShards::add_shard(char name_prefix) {
  std::size_t number = 0;
  std::string key = wire::progress_key(fmt::format("{}{}", name_prefix, number));
  while (key_in_use(key))
    key = wire::progress_key(fmt::format("{}{}", name_prefix, ++number));
  ShardState new_shard;
  new_shard.key = std::move(key);
  shards_.push_back(std::move(new_shard));
  return ShardIndex(shards_.size() - 1);
}

void ProgressShards::add_job(JobIndex job_index, ShardIndex loaded_from) {
  JobProgress &progress = get_or_create(job_progress_, job_index);
  progress = {};
  progress.tasks.assign(jobs_[job_index].spec.tasks, TaskRecordState{});
  assign(job_index, loaded_from);
}

// A job stays in the shard that already holds it, unless the size limit was lowered and it no longer fits.
void ProgressShards::assign(JobIndex job_index, ShardIndex loaded_from) {
  if (loaded_from.valid()) {
    const bool fits = has_space(loaded_from, job_index) || (*this)[loaded_from].jobs.empty();
    return fits ? add_to_shard(job_index, loaded_from) : move_job(job_index, loaded_from);
  }
  for (std::size_t i = 0; i < shards_.size(); ++i)
    if (has_space(ShardIndex(i), job_index)) return add_to_shard(job_index, ShardIndex(i));
  add_to_shard(job_index, add_shard(kShardNamePrefix));
}

void ProgressShards::add_to_shard(JobIndex job_index, ShardIndex shard) {
  job(job_index).shard = shard;
  (*this)[shard].jobs.push_back(job_index);
  (*this)[shard].reserved_chars += entry_chars(jobs_[job_index]);
}

void ProgressShards::remove_job(JobIndex job_index) {
  const JobProgress &progress = job(job_index);
  if (progress.moving_from.valid()) std::erase((*this)[progress.moving_from].departing_jobs, job_index);
  ShardState &shard = (*this)[progress.shard];
  std::erase(shard.jobs, job_index);
  shard.reserved_chars -= entry_chars(jobs_[job_index]);
  mark_dirty(progress.shard, false);
  job(job_index) = {};
}

ShardIndex ProgressShards::find_move_target(JobIndex job_index, ShardIndex from) const {
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    const ShardIndex target(i);
    const bool sorts_after = target != from && shards_[i].key > (*this)[from].key;
    if (sorts_after && shards_[i].departing_jobs.empty() && has_space(target, job_index)) return target;
  }
  return {};
}

// Starts moving a job to another shard. A failover at any time is safe, because ProgressLoader merges the entries of a
// job in two records. The job's usage stays in the sums of the old shard.
void ProgressShards::move_job(JobIndex job_index, ShardIndex from) {
  const ShardIndex target = find_move_target(job_index, from);
  add_to_shard(job_index, target.valid() ? target : add_shard(kMovedShardNamePrefix));
  job(job_index).moving_from = from;
  (*this)[from].departing_jobs.push_back(job_index);
  mark_job_dirty(job_index, true);
}

void ProgressShards::on_move_copied(JobIndex job_index) {
  JobProgress &progress = job(job_index);
  if (!progress.moving_from.valid() || progress.copy_recorded) return;
  progress.copy_recorded = true;
  if (!write_blocked((*this)[progress.moving_from])) mark_dirty(progress.moving_from, true);
}

void ProgressShards::on_departures_written(ShardIndex shard) {
  for (JobIndex job_index : std::exchange((*this)[shard].departing_jobs, {})) {
    job(job_index).moving_from = {};
    job(job_index).copy_recorded = false;
  }
}

void ProgressShards::shrink(ShardIndex shard) {
  const std::vector<JobIndex> jobs = (*this)[shard].jobs;
  for (JobIndex job_index : jobs)
    ++job(job_index).size_reductions;
  for (std::size_t i = 1; i < jobs.size(); i += 2) {
    if (job(jobs[i]).moving_from.valid()) continue;
    std::erase((*this)[shard].jobs, jobs[i]);
    (*this)[shard].reserved_chars -= entry_chars(jobs_[jobs[i]]);
    move_job(jobs[i], shard);
  }
  for (JobIndex job_index : (*this)[shard].jobs)
    job(job_index).dirty = true;
}

void ProgressShards::mark_dirty(ShardIndex shard, bool urgent) {
  ShardState &marked = (*this)[shard];
  if (!marked.dirty) marked.dirty_since = runtime_.now();
  marked.dirty = true;
  marked.urgent |= urgent;
}

void ProgressShards::mark_job_dirty(JobIndex job_index, bool urgent) {
  job(job_index).dirty = true;
  mark_dirty(job(job_index).shard, urgent);
}

bool ProgressShards::empty(ShardIndex shard) const {
  return (*this)[shard].jobs.empty() && (*this)[shard].unsettled_jobs.empty() && ledger_.sums(shard).empty();
}

// Returns whether a write would lose a departing job that its new record is not confirmed to hold, or would be rejected
// because unsettled jobs, which can't move, may exceed the size limit.
bool ProgressShards::write_blocked(const ShardState &shard) const {
  if (shard.oversize && !shard.unsettled_jobs.empty()) return true;
  return std::any_of(shard.departing_jobs.begin(), shard.departing_jobs.end(),
                     [this](JobIndex job_index) { return !job(job_index).copy_recorded; });
}

bool ProgressShards::is_due(const ShardState &shard, double max_delay_s) const {
  if (!shard.dirty || write_blocked(shard)) return false;
  return shard.urgent || runtime_.now() - shard.dirty_since >= max_delay_s;
}

std::vector<ShardIndex> ProgressShards::due(double max_delay_s) const {
  std::vector<ShardIndex> due_shards;
  for (std::size_t i = 0; i < shards_.size(); ++i)
    if (is_due(shards_[i], max_delay_s)) due_shards.emplace_back(i);
  std::sort(due_shards.begin(), due_shards.end(),
            [this](ShardIndex left, ShardIndex right) { return has_write_priority((*this)[left], (*this)[right]); });
  return due_shards;
}

} // namespace loftrouter::core
