#include "loftrouter/core/state/open_record_loader.hpp"

#include <utility>

#include "loftrouter/wire/storage_keys.hpp"

namespace loftrouter::core {

namespace {
constexpr std::size_t kMaxLoggedKey = 60; // characters
} // namespace

OpenRecordLoader::OpenRecordLoader(const StateContext &context, const ProgressLoader &progress_loader,
                                   ProgressShards &shards)
    : runtime_(context.runtime), events_(context.events), jobs_(context.jobs), ended_jobs_(context.ended_jobs),
      failure_attribution_(context.failure_attribution), ledger_(context.ledger), progress_loader_(progress_loader),
      shards_(shards) {}

void OpenRecordLoader::load(const std::string &key, const wire::Json &value, std::uint64_t mod_revision) {
  if (wire::final_from_json(value)) return;
  auto record = wire::open_from_json(value);
  if (!record || key != wire::open_key(record->spec.id)) {
    runtime_.log(LogLevel::Error, "record_rejected",
                 {{"key", key.substr(0, kMaxLoggedKey)}, {"then", "left unchanged"}});
    return;
  }
  if (ended_jobs_.find(record->spec.id)) return; // the record was read before this leader ended the job
  const JobIndex job_index = jobs_.index(record->spec.id);
  if (!job_index.valid()) return add_job(std::move(*record), mod_revision);
  if (jobs_.update_mod_revision(job_index, mod_revision) && record->cancelled) jobs_.cancel(job_index);
}

void OpenRecordLoader::add_job(OpenRecord record, std::uint64_t mod_revision) {
  const JobIndex job_index = jobs_.add(std::move(record), mod_revision);
  const Job &job = jobs_[job_index];
  const auto *loaded = progress_loader_.find(job);
  shards_.add_job(job_index, loaded ? loaded->shard : ShardIndex());
  ledger_.open_account(job_index, shards_.job(job_index).shard);
  if (loaded) restore_progress(job_index, loaded->progress);
  events_.publish(JobAccepted{job_index});
  jobs_.publish_changed(job_index, job.spec.priority != Priority::Low && job.spec.dependencies.empty());
}

void OpenRecordLoader::restore_progress(JobIndex job_index, const ProgressRecord &progress) {
  JobProgress &restored = shards_.job(job_index);
  for (auto [begin, end] : progress.started)
    for (std::size_t i = begin; i < end && i < restored.tasks.size(); ++i)
      restored.tasks[i] = {.started = true, .start_recorded = true};
  jobs_.restore(job_index, progress);
  for (const auto &delegation : progress.delegations)
    restored.delegations_recorded.push_back(delegation.generation);
  failure_attribution_.restore(job_index, progress.failed_on);
  ledger_.restore_account(job_index, progress);
}

std::string_view OpenRecordLoader::audit(const wire::KeyValue &record) {
  if (wire::final_from_json(record.value)) return {};
  const auto open = wire::open_from_json(record.value);
  if (!open || record.key != wire::open_key(open->spec.id) || ended_jobs_.find(open->spec.id)) return {};
  const JobIndex job_index = jobs_.index(open->spec.id);
  if (!job_index.valid()) {
    load(record.key, record.value, record.mod_revision);
    return "job missing from the job table";
  }
  const Job &job = jobs_[job_index];
  if (!open->cancelled || job.cancelled || record.mod_revision <= job.open_mod_revision) return {};
  load(record.key, record.value, record.mod_revision);
  return "cancellation missing from the job table";
}

std::vector<JobIndex> OpenRecordLoader::absent_jobs(const std::string &from, const std::string &to,
                                                    const std::set<std::string> &listed, std::uint64_t revision) const {
  std::vector<JobIndex> absent;
  jobs_.each([&](JobIndex job_index, const Job &job) {
    const std::string key = wire::open_key(job.spec.id);
    const bool in_range = key > from && (to.empty() || key <= to);
    const bool newer = job.open_mod_revision > revision;
    if (in_range && !listed.contains(key) && !job.ending && !newer) absent.push_back(job_index);
  });
  return absent;
}

} // namespace loftrouter::core
