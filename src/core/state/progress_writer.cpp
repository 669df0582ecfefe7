#include "loftrouter/core/state/progress_writer.hpp"

#include <algorithm>
#include <utility>

#include "loftrouter/core/runtime/ranges.hpp"

namespace loftrouter::core {

namespace {
constexpr std::size_t kEntryBytes = 85;           // a job's entry without its two task sets
constexpr std::size_t kMaxRangeChars = 14;        // a task range in a record
constexpr std::uint32_t kMaxPrerecordedGang = 64; // tasks; larger gangs are recorded when placed
constexpr int kMaxSizeReductions = 8;
constexpr double kReadDeadline = 1.0; // s

bool contains(const std::vector<std::uint64_t> &generations, std::uint64_t generation) {
  return std::find(generations.begin(), generations.end(), generation) != generations.end();
}

bool has_period(const SumsByTeam &sums, const std::string &period) {
  return std::any_of(sums.begin(), sums.end(), [&](const auto &entry) { return entry.first.first == period; });
}
} // namespace

ProgressWriter::ProgressWriter(const StateContext &context, ProgressShards &shards, WriteSchedule &schedule)
    : runtime_(context.runtime), events_(context.events), leadership_(context.leadership), jobs_(context.jobs),
      dependencies_(context.dependencies), failure_attribution_(context.failure_attribution), ledger_(context.ledger),
      shards_(shards), schedule_(schedule) {}

void ProgressWriter::set_prerecorded_tasks(JobIndex job_index, std::uint32_t tasks) {
  JobProgress &progress = shards_.job(job_index);
  progress.prerecorded_tasks = tasks;
  const Job &job = jobs_[job_index];
  std::uint32_t available = 0;
  for (std::uint32_t i = 0; i < job.spec.tasks; ++i)
    if (job.tasks[i].state == TaskState::Pending && progress.tasks[i].started) ++available;
  if (available < (tasks + 1) / 2) jobs_.publish_changed(job_index, true);
}

// Marks the next pending tasks as started. Marking tasks that are not placed is safe: after a failover they wait until
// worker leases have expired.
void ProgressWriter::prerecord_starts(JobIndex job_index) {
  const Job &job = jobs_[job_index];
  if (job.cancelled || !dependencies_.ready(job_index)) return;
  JobProgress &progress = shards_.job(job_index);
  std::uint32_t remaining = progress.prerecorded_tasks;
  if (job.spec.shape == Shape::Gang) remaining = job.spec.tasks <= kMaxPrerecordedGang ? job.spec.tasks : 0;
  for (std::uint32_t i = 0; i < job.spec.tasks && remaining > 0; ++i) {
    if (job.tasks[i].state != TaskState::Pending) continue;
    progress.tasks[i].started = true;
    --remaining;
  }
}

ProgressRecord ProgressWriter::progress_record(JobIndex job_index) const {
  const Job &job = jobs_[job_index];
  const JobProgress &progress = shards_.job(job_index);
  ProgressRecord record;
  record.started = make_ranges(job.spec.tasks, [&](std::uint32_t task) { return bool(progress.tasks[task].started); });
  record.finished =
      make_ranges(job.spec.tasks, [&](std::uint32_t task) { return job.tasks[task].state == TaskState::Done; });
  limit_size(record, job_index);
  record.failed_on =
      failure_attribution_.suspected(job_index) ? failure_attribution_.failed_machine_count(job_index) : 0;
  record.delegations = job.delegations;
  record.delegated_here = job.delegated_here ? job.delegated_here->generation : 0;
  return record;
}

// Limits the size of the task ranges. May add started tasks and omit finished ones, never the reverse.
void ProgressWriter::limit_size(ProgressRecord &record, JobIndex job_index) const {
  const int size_reductions = std::min(shards_.job(job_index).size_reductions, kMaxSizeReductions);
  const std::size_t max_chars = shards_.max_task_set_chars() >> size_reductions;
  if (ProgressShards::task_set_chars(jobs_[job_index].spec.tasks) <= max_chars) return;
  const std::size_t max_ranges = max_chars / kMaxRangeChars;
  record.started = widen(std::move(record.started), std::max<std::size_t>(1, max_ranges));
  record.finished = narrow(std::move(record.finished), max_ranges);
}

// Tasks placed or completed after this need another write.
void ProgressWriter::snapshot_written_state(JobIndex job_index) {
  const Job &job = jobs_[job_index];
  JobProgress &progress = shards_.job(job_index);
  for (std::uint32_t i = 0; i < job.spec.tasks; ++i) {
    progress.tasks[i].start_in_write = progress.tasks[i].started;
    progress.tasks[i].completion_in_write = job.tasks[i].state == TaskState::Done;
  }
  progress.delegations_in_write.clear();
  for (const auto &delegation : job.delegations)
    progress.delegations_in_write.push_back(delegation.generation);
}

void ProgressWriter::build_entry(JobIndex job_index, WriteTransaction &transaction) {
  prerecord_starts(job_index);
  ProgressRecord record = progress_record(job_index);
  ledger_.update_and_copy_account(job_index, record);
  shards_.job(job_index).entry = wire::to_json(record);
  snapshot_written_state(job_index);
  shards_.job(job_index).dirty = false;
  transaction.progress_jobs.push_back(jobs_[job_index].spec.id);
}

wire::Json ProgressWriter::shard_value(ShardIndex shard, const std::string &without_period) const {
  std::vector<std::pair<std::string, wire::Json>> entries;
  for (JobIndex job_index : shards_[shard].jobs)
    entries.emplace_back(jobs_[job_index].spec.id, shards_.job(job_index).entry);
  for (const auto &unsettled : shards_[shard].unsettled_jobs)
    entries.emplace_back(unsettled.id, wire::to_json(unsettled.progress));
  SumsByTeam sums = ledger_.sums(shard);
  std::erase_if(sums, [&](const auto &entry) { return entry.first.first == without_period; });
  return wire::progress_shard(std::move(entries), sums);
}

void ProgressWriter::add_shards(const std::vector<ShardIndex> &shards, WriteTransaction &transaction,
                                TransactionCapacity &capacity) {
  for (ShardIndex shard : shards) {
    if (shards_[shard].needs_resync)
      resync(shard);
    else if (capacity.fits(transaction, 1))
      add_shard(shard, transaction);
  }
}

void ProgressWriter::add_shard(ShardIndex shard, WriteTransaction &transaction, const std::string &without_period) {
  ShardState &state = shards_[shard];
  for (JobIndex job_index : state.jobs) {
    if (shards_.job(job_index).dirty || ledger_.has_unwritten_charges(job_index)) build_entry(job_index, transaction);
    transaction.approximate_bytes += jobs_[job_index].spec.tasks / 2 + kEntryBytes;
  }
  transaction.preconditions.push_back({state.key, state.mod_revision});
  if (shards_.empty(shard)) {
    transaction.writes.push_back({state.key, std::nullopt, 0});
    transaction.deleted_shards.push_back(shard);
  } else {
    transaction.writes.push_back({state.key, shard_value(shard, without_period), 0});
    transaction.shards.push_back(shard);
  }
  state.dirty = false;
  state.urgent = false;
}

void ProgressWriter::on_committed(const WriteTransaction &transaction, std::uint64_t revision) {
  for (const auto &id : transaction.progress_jobs)
    if (const JobIndex job_index = jobs_.index(id); job_index.valid()) shards_.on_move_copied(job_index);
  for (ShardIndex shard : transaction.shards) {
    shards_.on_departures_written(shard);
    shards_[shard].mod_revision = revision;
    shards_[shard].unconfirmed_rollup.clear(); // earlier writes can no longer be applied
    if (!transaction.rolled_up_period.empty()) ledger_.remove_period(shard, transaction.rolled_up_period);
  }
  for (ShardIndex shard : transaction.deleted_shards) {
    shards_.on_departures_written(shard);
    shards_[shard].mod_revision = 0;
  }
  for (const auto &id : transaction.progress_jobs) {
    const JobIndex job_index = jobs_.index(id);
    if (!job_index.valid()) continue;
    mark_task_states_recorded(job_index);
    publish_recorded_delegations(job_index);
  }
}

void ProgressWriter::mark_task_states_recorded(JobIndex job_index) {
  for (TaskRecordState &task : shards_.job(job_index).tasks) {
    if (task.start_in_write) task.start_recorded = true;
    if (task.completion_in_write) task.completion_recorded = true;
  }
}

void ProgressWriter::publish_recorded_delegations(JobIndex job_index) {
  JobProgress &progress = shards_.job(job_index);
  for (std::uint64_t generation : progress.delegations_in_write)
    if (!contains(progress.delegations_recorded, generation))
      events_.publish(DelegationRecorded{job_index, generation});
  for (std::uint64_t generation : progress.delegations_recorded)
    if (!contains(progress.delegations_in_write, generation)) events_.publish(DelegationRemoved{job_index, generation});
  progress.delegations_recorded = progress.delegations_in_write;
}

// The transaction may have been applied, or may still be. The revisions are read again, so that whichever of it and the
// next write comes later fails its precondition.
void ProgressWriter::on_outcome_unknown(const WriteTransaction &transaction) {
  for (const auto *shards : {&transaction.shards, &transaction.deleted_shards})
    for (ShardIndex shard : *shards) {
      shards_[shard].needs_resync = true;
      if (!transaction.rolled_up_period.empty()) shards_[shard].unconfirmed_rollup = transaction.rolled_up_period;
    }
}

void ProgressWriter::on_conflict(const std::string &key) {
  for (std::size_t i = 0; i < shards_.size(); ++i)
    if (ShardState &shard = shards_[ShardIndex(i)]; shard.key == key) shard.needs_resync = true;
}

void ProgressWriter::resync(ShardIndex shard) {
  if (shards_[shard].resyncing) return;
  shards_[shard].resyncing = true;
  runtime_.store(StoreGet{shards_[shard].key}, kReadDeadline,
                 [this, shard, epoch = leadership_.epoch()](const wire::StoreReply &reply) {
                   if (epoch == leadership_.epoch()) on_shard_read(shard, reply);
                 });
}

void ProgressWriter::on_shard_read(ShardIndex shard, const wire::StoreReply &reply) {
  ShardState &state = shards_[shard];
  state.resyncing = false;
  if (reply.status == 200 && reply.entries.size() == 1) {
    state.mod_revision = reply.entries[0].mod_revision;
    resolve_rollup(shard, reply.entries[0].value);
  } else if (reply.status == 404) {
    state.mod_revision = 0;
  } else {
    schedule_.not_before = runtime_.now() + kReadRetryDelay;
    return;
  }
  state.needs_resync = false;
}

// Checks whether the write without a reply that moved a period's sums out of the record was applied. If not, it may
// still be, until another write of the record is confirmed.
void ProgressWriter::resolve_rollup(ShardIndex shard, const wire::Json &value) {
  std::string &period = shards_[shard].unconfirmed_rollup;
  if (period.empty()) return;
  const auto stored = wire::progress_from_json(shards_[shard].key, value);
  if (!stored || has_period(stored->sums, period)) return;
  ledger_.remove_period(shard, period);
  period.clear();
}

} // namespace loftrouter::core
