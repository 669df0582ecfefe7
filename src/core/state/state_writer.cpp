#include "loftrouter/core/state/state_writer.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "loftrouter/wire/storage_keys.hpp"

namespace loftrouter::core {

namespace {
constexpr double kMaxProgressDelay = 0.8;      // s, for progress that is not urgent
constexpr double kMaxProgressDelayBusy = 2.5;  // s, same while many jobs end
constexpr double kCommitDeadline = 1.5;        // s
constexpr double kSingleOperationPeriod = 5.0; // s, after a transaction was rejected as too large

std::size_t operation_count(const WriteTransaction &transaction) {
  return transaction.shards.size() + transaction.deleted_shards.size() + transaction.ended_jobs.size() +
         transaction.compactions.size();
}

bool contains_leader_key(const std::vector<std::string> &keys) {
  return std::find(keys.begin(), keys.end(), wire::kLeaderKey) != keys.end();
}
} // namespace

StateWriter::StateWriter(const StateContext &context)
    : runtime_(context.runtime), settings_(context.settings), leadership_(context.leadership),
      state_limits_(context.state_limits), jobs_(context.jobs), ended_jobs_(context.ended_jobs), shards_(context),
      progress_loader_(context, shards_), open_records_(context, progress_loader_, shards_),
      progress_writer_(context, shards_, schedule_), compaction_(context),
      end_records_(context, shards_, open_records_, compaction_, schedule_), settlement_(context, shards_, compaction_),
      rollup_(context, shards_, progress_writer_, schedule_,
              [this](WriteTransaction &&transaction) { commit(std::move(transaction)); }) {}

void StateWriter::load_end_record(const wire::KeyValue &record) {
  auto end = wire::final_from_json(record.value);
  if (!end) return;
  const std::string id = wire::record_name(record.key);
  compaction_.enqueue({id, record.mod_revision, wire::to_json(*end)});
  ended_jobs_.remember(id, std::move(*end));
}

std::vector<std::string> StateWriter::resync_absent_jobs(const std::string &from, const std::string &to,
                                                         const std::set<std::string> &listed, std::uint64_t revision) {
  std::vector<std::string> keys;
  for (JobIndex job_index : open_records_.absent_jobs(from, to, listed, revision)) {
    keys.push_back(wire::open_key(jobs_[job_index].spec.id));
    end_records_.resync(job_index);
  }
  return keys;
}

void StateWriter::on(const TermEnded &) {
  shards_.clear();
  compaction_.clear();
  end_records_.clear();
  settlement_.clear();
  schedule_.in_flight = false;
}

void StateWriter::mark_changed(JobIndex job_index, bool ends, bool urgent) {
  if (!ends) return shards_.mark_job_dirty(job_index, urgent);
  shards_.job(job_index).dirty = true;
  end_records_.enqueue(job_index);
}

void StateWriter::flush() {
  if (!schedule_.may_write(runtime_.now()) || !leadership_.active()) return;
  const std::vector<ShardIndex> due = shards_.due(end_records_.busy() ? kMaxProgressDelayBusy : kMaxProgressDelay);
  settlement_.settle_next();
  if (due.empty() && end_records_.empty() && compaction_.empty()) {
    if (!schedule_.single_operation(runtime_.now())) rollup_.start_next();
    return;
  }
  WriteTransaction transaction = build_transaction(due);
  if (!transaction.writes.empty()) commit(std::move(transaction));
}

WriteTransaction StateWriter::build_transaction(const std::vector<ShardIndex> &due) {
  const double write_budget = state_limits_.leader_writes_available(runtime_.now());
  const bool single_operation = schedule_.single_operation(runtime_.now());
  const std::size_t max_operations = single_operation ? 1 : static_cast<std::size_t>(settings_.state_txn_ops);
  const bool in_place = single_operation || (end_records_.busy() && !compaction_.full());
  WriteTransaction transaction(leadership_.term());
  TransactionCapacity capacity(max_operations, write_budget);
  // The order alternates because ends or progress alone may use up the budget.
  ends_first_ = !ends_first_;
  if (ends_first_) end_records_.add_to(transaction, capacity, in_place);
  progress_writer_.add_shards(due, transaction, capacity);
  if (!ends_first_) end_records_.add_to(transaction, capacity, in_place);
  if (transaction.writes.empty()) compaction_.add_to(transaction, write_budget, max_operations);
  return transaction;
}

void StateWriter::commit(WriteTransaction &&transaction) {
  state_limits_.take_leader_writes(runtime_.now(), static_cast<double>(transaction.writes.size()));
  schedule_.in_flight = true;
  StoreCommit request{std::move(transaction.preconditions), std::move(transaction.writes)};
  runtime_.store(std::move(request), kCommitDeadline,
                 [this, sent = std::move(transaction), epoch = leadership_.epoch()](const wire::StoreReply &reply) {
                   if (epoch == leadership_.epoch()) on_commit_reply(sent, reply);
                 });
}

void StateWriter::on_commit_reply(const WriteTransaction &transaction, const wire::StoreReply &reply) {
  schedule_.in_flight = false;
  if (reply.status == 200) {
    progress_writer_.on_committed(transaction, reply.revision);
    end_records_.on_committed(transaction.ended_jobs, reply.revision);
    return;
  }
  if (reply.status == 409 && contains_leader_key(reply.failed))
    return leadership_.step_down("the leader key has changed");
  on_not_applied(transaction, reply);
}

void StateWriter::on_not_applied(const WriteTransaction &transaction, const wire::StoreReply &reply) {
  compaction_.requeue(transaction.compactions, reply.failed);
  switch (reply.status) {
  case 409:
    on_conflict(reply.failed);
    break;
  case 0:
    on_outcome_unknown(transaction);
    break;
  case 400:
    on_rejected(transaction);
    break;
  default:
    schedule_.not_before = runtime_.now() + kWriteRejectedDelay;
  }
  requeue(transaction);
}

void StateWriter::on_conflict(const std::vector<std::string> &keys) {
  for (const auto &key : keys) {
    progress_writer_.on_conflict(key);
    end_records_.on_conflict(wire::record_name(key));
  }
}

void StateWriter::on_outcome_unknown(const WriteTransaction &transaction) {
  end_records_.on_outcome_unknown(transaction.ended_jobs);
  progress_writer_.on_outcome_unknown(transaction);
  schedule_.not_before = runtime_.now() + kReadRetryDelay;
}

// Keeps an oversized record from blocking all writes: records are written one by one to find it, and it is shrunk.
void StateWriter::on_rejected(const WriteTransaction &transaction) {
  const bool single = operation_count(transaction) == 1;
  runtime_.log(
      LogLevel::Error, "record_write_refused",
      {{"record", describe(transaction)}, {"then", single ? "shrink the record" : "write records one by one"}});
  schedule_.not_before = runtime_.now() + kWriteRejectedDelay;
  schedule_.single_operation_until = runtime_.now() + kSingleOperationPeriod;
  if (single) reduce_size(transaction);
}

void StateWriter::reduce_size(const WriteTransaction &transaction) {
  if (!transaction.rolled_up_period.empty()) rollup_.exclude(transaction.rolled_up_period);
  for (const auto &id : transaction.ended_jobs)
    end_records_.on_too_large(id);
  for (ShardIndex shard : transaction.shards)
    shards_.shrink(shard);
}

std::string StateWriter::describe(const WriteTransaction &transaction) const {
  if (transaction.shards.size() == 1) return shards_[transaction.shards[0]].key;
  if (transaction.ended_jobs.size() == 1) return "the end of " + transaction.ended_jobs[0];
  return fmt::format("{} records", operation_count(transaction));
}

void StateWriter::requeue(const WriteTransaction &transaction) {
  end_records_.on_not_applied(transaction.ended_jobs);
  for (const auto *ids : {&transaction.ended_jobs, &transaction.progress_jobs})
    for (const auto &id : *ids)
      if (const JobIndex job_index = jobs_.index(id); job_index.valid())
        mark_changed(job_index, jobs_[job_index].finishable(), true);
  for (ShardIndex shard : transaction.shards)
    shards_.mark_dirty(shard, true);
  for (ShardIndex shard : transaction.deleted_shards)
    shards_.mark_dirty(shard, false);
}

} // namespace loftrouter::core
