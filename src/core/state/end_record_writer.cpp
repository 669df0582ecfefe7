#include "loftrouter/core/state/end_record_writer.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include "loftrouter/wire/storage_keys.hpp"

namespace loftrouter::core {

namespace {
constexpr std::size_t kBusyQueueLength = 4;
constexpr std::size_t kEndRecordBytes = 600; // typical
constexpr double kReadDeadline = 1.0;        // s

// Returns the record that was read, or null.
const wire::KeyValue *record_in(const wire::StoreReply &reply) {
  return reply.status == 200 && reply.entries.size() == 1 ? &reply.entries[0] : nullptr;
}
} // namespace

EndRecordWriter::EndRecordWriter(const StateContext &context, ProgressShards &shards, OpenRecordLoader &open_records,
                                 EndRecordCompaction &compaction, WriteSchedule &schedule)
    : runtime_(context.runtime), leadership_(context.leadership), jobs_(context.jobs), ended_jobs_(context.ended_jobs),
      job_reasons_(context.job_reasons), objectives_(context.objectives), ledger_(context.ledger), shards_(shards),
      open_records_(open_records), compaction_(compaction), schedule_(schedule) {}

void EndRecordWriter::clear() {
  queue_.clear();
  states_.clear();
}

bool EndRecordWriter::busy() const {
  return queue_.size() > kBusyQueueLength;
}

void EndRecordWriter::enqueue(JobIndex job_index) {
  if (!end_state(job_index).queued) queue_.push_back(job_index);
  end_state(job_index).queued = true;
}

void EndRecordWriter::add_to(WriteTransaction &transaction, TransactionCapacity &capacity, bool in_place) {
  const std::size_t operations = in_place ? 1 : 2;
  for (std::size_t remaining = queue_.size(); remaining > 0 && !capacity.full(); --remaining) {
    const JobIndex job_index = queue_.front();
    if (!jobs_[job_index].finishable()) { // a worker still runs a task of the cancelled job
      queue_.pop_front();
      end_state(job_index).queued = false;
      shards_.mark_job_dirty(job_index, false);
    } else if (!ready_to_write(job_index)) {
      queue_.pop_front();
      queue_.push_back(job_index);
    } else if (capacity.fits(transaction, operations)) {
      queue_.pop_front();
      end_state(job_index).queued = false;
      add_end(job_index, transaction, in_place);
    }
  }
}

// A job must not end while two progress records hold it: its usage would be counted twice.
bool EndRecordWriter::ready_to_write(JobIndex job_index) {
  if (shards_.job(job_index).moving_from.valid()) return false;
  if (!end_state(job_index).needs_resync) return true;
  resync(job_index);
  return false;
}

void EndRecordWriter::add_end(JobIndex job_index, WriteTransaction &transaction, bool in_place) {
  const Job &job = jobs_[job_index];
  const std::string open_key = wire::open_key(job.spec.id);
  const std::string end_key = wire::end_key(job.spec.id);
  transaction.preconditions.push_back({open_key, job.open_mod_revision});
  transaction.ended_jobs.push_back(job.spec.id);
  if (job.delegated_here) { // the origin cell writes the end record
    transaction.writes.push_back({open_key, std::nullopt, 0});
    return jobs_.set_ending(job_index, true);
  }
  EndState &ending = end_state(job_index);
  ending.in_place = in_place;
  ending.end = job_reasons_.end_record(job_index);
  if (ledger_.enabled()) {
    ending.end.usage = ledger_.current_usage(job_index);
    ending.end.need = job.spec.need;
  }
  if (shards_.job(job_index).size_reductions > 0) ending.end.reason.clear();
  log_end(job_index, ending.end);
  transaction.preconditions.push_back({end_key, 0});
  if (in_place) {
    transaction.writes.push_back({open_key, wire::final_json(ending.end), 0});
  } else {
    transaction.writes.push_back({open_key, std::nullopt, 0});
    transaction.writes.push_back({end_key, wire::to_json(ending.end), 0});
  }
  transaction.approximate_bytes += kEndRecordBytes;
  jobs_.set_ending(job_index, true);
}

void EndRecordWriter::log_end(JobIndex job_index, const EndRecord &end) {
  const Job &job = jobs_[job_index];
  const double took_s = end.end_wall - end.submit_wall;
  runtime_.log(end.late && !job.cancelled ? LogLevel::Info : LogLevel::Debug, "job_ended",
               {{"job", job.spec.id},
                {"class", job.spec.job_class},
                {"team", job.spec.team},
                {"outcome", job.cancelled ? "cancelled" : "done"},
                {"tasks", job.spec.tasks},
                {"estimate_s", job.spec.estimate_s},
                {"took_s", took_s},
                {"wanted_after_s", objectives_.achievable_target(job.spec, job.spec.deadline_s, took_s)}});
}

void EndRecordWriter::on_committed(const std::vector<std::string> &ids, std::uint64_t revision) {
  for (const auto &id : ids) {
    const JobIndex job_index = jobs_.index(id);
    if (!job_index.valid()) continue;
    if (!jobs_[job_index].delegated_here) {
      const EndState &ended = end_state(job_index);
      if (ended.in_place) compaction_.enqueue({id, revision, wire::to_json(ended.end)});
      ended_jobs_.remember(id, ended.end);
    }
    remove(job_index);
  }
}

void EndRecordWriter::on_outcome_unknown(const std::vector<std::string> &ids) {
  for (const auto &id : ids)
    on_conflict(id);
}

void EndRecordWriter::on_not_applied(const std::vector<std::string> &ids) {
  for (const auto &id : ids)
    if (const JobIndex job_index = jobs_.index(id); job_index.valid()) jobs_.set_ending(job_index, false);
}

void EndRecordWriter::on_too_large(const std::string &id) {
  const JobIndex job_index = jobs_.index(id);
  if (!job_index.valid()) return;
  int &size_reductions = shards_.job(job_index).size_reductions;
  size_reductions = std::max(1, size_reductions);
}

void EndRecordWriter::on_conflict(const std::string &id) {
  if (const JobIndex job_index = jobs_.index(id); job_index.valid()) end_state(job_index).needs_resync = true;
}

void EndRecordWriter::remove(JobIndex job_index) {
  shards_.remove_job(job_index);
  std::erase(queue_, job_index);
  end_state(job_index) = {};
  jobs_.remove(job_index);
}

void EndRecordWriter::resync(JobIndex job_index) {
  if (end_state(job_index).resyncing) return;
  end_state(job_index).resyncing = true;
  const std::string id = jobs_[job_index].spec.id;
  runtime_.store(StoreGet{wire::open_key(id)}, kReadDeadline,
                 [this, id, epoch = leadership_.epoch()](const wire::StoreReply &reply) {
                   if (epoch == leadership_.epoch()) on_open_record_read(id, reply);
                 });
}

void EndRecordWriter::on_open_record_read(const std::string &id, const wire::StoreReply &reply) {
  const JobIndex job_index = jobs_.index(id);
  if (!job_index.valid()) return;
  if (reply.status == 404) return on_open_record_gone(job_index);
  end_state(job_index).resyncing = false;
  const wire::KeyValue *record = record_in(reply);
  if (!record) {
    schedule_.not_before = runtime_.now() + kReadRetryDelay;
    return;
  }
  if (auto end = wire::final_from_json(record->value)) {
    compaction_.enqueue({id, record->mod_revision, wire::to_json(*end)});
    return remove_ended(job_index, std::move(*end));
  }
  end_state(job_index).needs_resync = false;
  open_records_.load(wire::open_key(id), record->value, record->mod_revision);
}

void EndRecordWriter::on_open_record_gone(JobIndex job_index) {
  if (jobs_[job_index].delegated_here) return remove(job_index);
  const std::string id = jobs_[job_index].spec.id;
  runtime_.store(StoreGet{wire::end_key(id)}, kReadDeadline,
                 [this, id, epoch = leadership_.epoch()](const wire::StoreReply &reply) {
                   if (epoch == leadership_.epoch()) on_end_record_read(id, reply);
                 });
}

void EndRecordWriter::on_end_record_read(const std::string &id, const wire::StoreReply &reply) {
  const JobIndex job_index = jobs_.index(id);
  if (!job_index.valid()) return;
  end_state(job_index).resyncing = false;
  const wire::KeyValue *record = record_in(reply);
  auto end = record ? wire::end_from_json(record->value) : std::nullopt;
  if (end) remove_ended(job_index, std::move(*end));
}

// Removes a job whose end turned out to be stored.
void EndRecordWriter::remove_ended(JobIndex job_index, EndRecord end) {
  if (end.usage) ledger_.reduce_to_recorded(job_index, *end.usage);
  ended_jobs_.remember(jobs_[job_index].spec.id, std::move(end));
  remove(job_index);
}

} // namespace loftrouter::core
