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
// Parts of a record, in characters.
constexpr double kMaxShardShare = 0.95;       // of the largest value
constexpr double kTaskSetsPerValue = 5;       // as many sets of tasks, each of the largest size, fill a value
constexpr std::size_t kEntryChars = 85;       // a job's entry beside its two sets of tasks
constexpr std::size_t kAccountChars = 130;    // the same with its account, beside its id and one set
constexpr std::size_t kSumsChars = 130;       // a team's sums, while a period ends and the next begins
constexpr std::size_t kDelegationChars = 230; // a delegation: names, account, a few ranges
constexpr std::size_t kTasksPerHexDigit = 4;  // of a set of tasks that is written as a bitmap
constexpr std::size_t kBitmapExtraChars = 3;  // quotes, and what rounding adds

// Names of shards. Records of moved jobs sort after all others, since earlier versions take the last entry of a job
// that stands in two records for the newer.
constexpr char kSeries = 's';
constexpr char kMovedSeries = 't';

bool written_before(const ProgressShard &left, const ProgressShard &right) {
  return std::pair(!left.urgent, left.dirty_since) < std::pair(!right.urgent, right.dirty_since);
}
} // namespace

ProgressShards::ProgressShards(const StateContext &context)
    : runtime_(context.runtime), settings_(context.settings), jobs_(context.jobs), ledger_(context.ledger) {}

void ProgressShards::clear() {
  shards_.clear();
  job_progress_.clear();
}

// ---- sizes ----

std::size_t ProgressShards::task_set_chars(std::uint32_t tasks) {
  return tasks / kTasksPerHexDigit + kBitmapExtraChars;
}

std::size_t ProgressShards::max_task_set_chars() const {
  return static_cast<std::size_t>(settings_.state_value_kb * 1024 / kTaskSetsPerValue);
}

std::size_t ProgressShards::max_shard_chars() const {
  return static_cast<std::size_t>(settings_.state_value_kb * 1024 * kMaxShardShare);
}

// With accounts, room for one full set of tasks and a short one: tasks are started in their order, so those that were
// are one range.
std::size_t ProgressShards::entry_chars(const Job &job) const {
  const std::size_t set = std::min(task_set_chars(job.spec.tasks), max_task_set_chars());
  const std::size_t delegations = settings_.cells.name.empty() ? 0 : kMaxDelegationsPerJob * kDelegationChars;
  if (ledger_.enabled()) return kAccountChars + job.spec.id.size() + set + delegations;
  return kEntryChars + 2 * set + delegations;
}

std::size_t ProgressShards::team_count(ShardIndex shard, const std::string &and_team) const {
  std::set<std::string_view> teams{and_team};
  for (JobIndex other : (*this)[shard].jobs)
    teams.insert(jobs_[other].spec.team);
  for (const auto &[key, sums] : ledger_.sums(shard))
    teams.insert(key.second);
  return teams.size();
}

// The sums of its teams need room as well, half of the record at most. Which teams they are is only counted if it makes
// a difference: after a takeover every job is tried on every shard.
bool ProgressShards::has_room(ShardIndex shard, JobIndex job_index) const {
  const std::size_t chars = (*this)[shard].reserved_chars + entry_chars(jobs_[job_index]);
  const std::size_t max_chars = max_shard_chars();
  if (chars > max_chars) return false;
  if (!ledger_.enabled()) return true;
  const std::size_t max_sums_chars = max_chars / 2;
  if (chars <= max_chars - max_sums_chars) return true;
  const std::size_t teams = team_count(shard, jobs_[job_index].spec.team);
  return chars <= max_chars - std::min(kSumsChars * teams, max_sums_chars);
}

// ---- assignment ----

ShardIndex ProgressShards::add_loaded(const std::string &key, std::uint64_t mod_revision, std::size_t chars) {
  ProgressShard loaded;
  loaded.key = key;
  loaded.mod_revision = mod_revision;
  loaded.oversize = chars > max_shard_chars();
  shards_.push_back(std::move(loaded));
  return ShardIndex(shards_.size() - 1);
}

bool ProgressShards::key_in_use(const std::string &key) const {
  return std::any_of(shards_.begin(), shards_.end(), [&](const ProgressShard &shard) { return shard.key == key; });
}

ShardIndex ProgressShards::add_shard(char series) {
  std::size_t number = 0;
  std::string key = wire::progress_key(fmt::format("{}{}", series, number));
  while (key_in_use(key))
    key = wire::progress_key(fmt::format("{}{}", series, ++number));
  ProgressShard fresh;
  fresh.key = std::move(key);
  shards_.push_back(std::move(fresh));
  return ShardIndex(shards_.size() - 1);
}

void ProgressShards::add_job(JobIndex job_index, ShardIndex loaded_from) {
  JobProgress &progress = get_or_create(job_progress_, job_index);
  progress = {};
  progress.tasks.assign(jobs_[job_index].spec.tasks, TaskRecordState{});
  assign(job_index, loaded_from);
}

// A job that an earlier leader kept where values may have been larger than they may be now may have to move.
void ProgressShards::assign(JobIndex job_index, ShardIndex loaded_from) {
  if (loaded_from.valid()) {
    const bool fits = has_room(loaded_from, job_index) || (*this)[loaded_from].jobs.empty();
    return fits ? put_into(job_index, loaded_from) : move_job(job_index, loaded_from);
  }
  for (std::size_t i = 0; i < shards_.size(); ++i)
    if (has_room(ShardIndex(i), job_index)) return put_into(job_index, ShardIndex(i));
  put_into(job_index, add_shard(kSeries));
}

void ProgressShards::put_into(JobIndex job_index, ShardIndex shard) {
  job(job_index).shard = shard;
  (*this)[shard].jobs.push_back(job_index);
  (*this)[shard].reserved_chars += entry_chars(jobs_[job_index]);
}

void ProgressShards::remove_job(JobIndex job_index) {
  const JobProgress &progress = job(job_index);
  if (progress.moving_from.valid()) std::erase((*this)[progress.moving_from].departing_jobs, job_index);
  ProgressShard &shard = (*this)[progress.shard];
  std::erase(shard.jobs, job_index);
  shard.reserved_chars -= entry_chars(jobs_[job_index]);
  mark_dirty(progress.shard, false);
  job(job_index) = {};
}

// ---- moves between shards ----

ShardIndex ProgressShards::find_move_target(JobIndex job_index, ShardIndex from) const {
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    const ShardIndex target(i);
    const bool sorts_after = target != from && shards_[i].key > (*this)[from].key;
    if (sorts_after && shards_[i].departing_jobs.empty() && has_room(target, job_index)) return target;
  }
  return {};
}

// In steps, each of them safe by itself: a job that stands in two records has been started as far as either says, and
// what it has used is what the newer says (ProgressLoader). Its sums stay in the shard where they were charged.
void ProgressShards::move_job(JobIndex job_index, ShardIndex from) {
  const ShardIndex target = find_move_target(job_index, from);
  put_into(job_index, target.valid() ? target : add_shard(kMovedSeries));
  job(job_index).moving_from = from;
  (*this)[from].departing_jobs.push_back(job_index);
  mark_job_dirty(job_index, true);
}

void ProgressShards::copy_recorded(JobIndex job_index) {
  JobProgress &progress = job(job_index);
  if (!progress.moving_from.valid() || progress.copy_recorded) return;
  progress.copy_recorded = true;
  if (!write_blocked((*this)[progress.moving_from])) mark_dirty(progress.moving_from, true);
}

void ProgressShards::departures_recorded(ShardIndex shard) {
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

// ---- what is to be written ----

void ProgressShards::mark_dirty(ShardIndex shard, bool urgent) {
  ProgressShard &marked = (*this)[shard];
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

// Jobs leave it that are not known to be in another record; or it is oversize, and jobs in it are about to be settled.
bool ProgressShards::write_blocked(const ProgressShard &shard) const {
  if (shard.oversize && !shard.unsettled_jobs.empty()) return true;
  return std::any_of(shard.departing_jobs.begin(), shard.departing_jobs.end(),
                     [this](JobIndex job_index) { return !job(job_index).copy_recorded; });
}

bool ProgressShards::is_due(const ProgressShard &shard, double max_delay_s) const {
  if (!shard.dirty || write_blocked(shard)) return false;
  return shard.urgent || runtime_.now() - shard.dirty_since >= max_delay_s;
}

std::vector<ShardIndex> ProgressShards::due(double max_delay_s) const {
  std::vector<ShardIndex> out;
  for (std::size_t i = 0; i < shards_.size(); ++i)
    if (is_due(shards_[i], max_delay_s)) out.emplace_back(i);
  std::sort(out.begin(), out.end(),
            [this](ShardIndex left, ShardIndex right) { return written_before((*this)[left], (*this)[right]); });
  return out;
}

} // namespace loftrouter::core
