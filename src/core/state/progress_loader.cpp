#include "loftrouter/core/state/progress_loader.hpp"

#include <algorithm>

namespace loftrouter::core {

namespace {
template <class Item> void append(std::vector<Item> &to, const std::vector<Item> &items) {
  to.insert(to.end(), items.begin(), items.end());
}
} // namespace

ProgressLoader::ProgressLoader(const StateContext &context, ProgressShards &shards)
    : jobs_(context.jobs), ledger_(context.ledger), shards_(shards) {}

bool ProgressLoader::load(const wire::KeyValue &record) {
  auto parsed = wire::progress_from_json(record.key, record.value);
  if (!parsed) return false;
  const ShardIndex shard = shards_.add_loaded(record.key, record.mod_revision, record.value.dump().size());
  ledger_.load_sums(shard, std::move(parsed->sums));
  for (const auto &[id, progress] : parsed->jobs)
    merge(id, progress, shard);
  return true;
}

// A job that was moving between records has two entries. The usage is that of the newer one.
void ProgressLoader::merge(const std::string &id, const ProgressRecord &progress, ShardIndex shard) {
  LoadedJob &merged = loaded_jobs_[{id, progress.delegated_here}];
  if (progress.at_ms >= merged.progress.at_ms) merged.shard = shard;
  append(merged.progress.started, progress.started);
  append(merged.progress.finished, progress.finished);
  append(merged.progress.delegations, progress.delegations);
  merged.progress.failed_on = std::max(merged.progress.failed_on, progress.failed_on);
  if (progress.at_ms <= merged.progress.at_ms) return;
  merged.progress.usage = progress.usage;
  merged.progress.running_ms = progress.running_ms;
  merged.progress.at_ms = progress.at_ms;
}

const ProgressLoader::LoadedJob *ProgressLoader::find(const Job &job) const {
  const auto it = loaded_jobs_.find({job.spec.id, job.delegated_here ? job.delegated_here->generation : 0});
  return it == loaded_jobs_.end() ? nullptr : &it->second;
}

void ProgressLoader::finish() {
  for (const auto &[key, job] : loaded_jobs_) {
    const auto &[id, generation] = key;
    const bool unsettled = ledger_.enabled() && job.progress.at_ms != 0 && generation == 0;
    if (unsettled && !jobs_.index(id).valid()) shards_[job.shard].unsettled_jobs.push_back({id, job.progress});
  }
  clear();
  for (std::size_t i = 0; i < shards_.size(); ++i)
    if (shards_.empty(ShardIndex(i))) shards_.mark_dirty(ShardIndex(i), false);
}

} // namespace loftrouter::core
