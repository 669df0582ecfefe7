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
  auto read = wire::progress_from_json(record.key, record.value);
  if (!read) return false;
  const ShardIndex shard = shards_.add_loaded(record.key, record.mod_revision, record.value.dump().size());
  ledger_.load_sums(shard, std::move(read->sums));
  for (const auto &[id, progress] : read->jobs)
    merge(id, progress, shard);
  return true;
}

// A job that was moving between records stands in two of them: its starts are those of both, its account that of the
// newer.
void ProgressLoader::merge(const std::string &id, const ProgressRecord &progress, ShardIndex shard) {
  LoadedJob &known = jobs_read_[{id, progress.delegated_here}];
  if (progress.at_ms >= known.progress.at_ms) known.shard = shard;
  append(known.progress.started, progress.started);
  append(known.progress.finished, progress.finished);
  append(known.progress.delegations, progress.delegations);
  known.progress.failed_on = std::max(known.progress.failed_on, progress.failed_on);
  if (progress.at_ms <= known.progress.at_ms) return;
  known.progress.usage = progress.usage;
  known.progress.running_ms = progress.running_ms;
  known.progress.at_ms = progress.at_ms;
}

const ProgressLoader::LoadedJob *ProgressLoader::find(const Job &job) const {
  const auto it = jobs_read_.find({job.spec.id, job.delegated_here ? job.delegated_here->generation : 0});
  return it == jobs_read_.end() ? nullptr : &it->second;
}

void ProgressLoader::finish() {
  for (const auto &[key, job] : jobs_read_) {
    const auto &[id, generation] = key;
    const bool settles = ledger_.enabled() && job.progress.at_ms != 0 && generation == 0;
    if (settles && !jobs_.index(id).valid()) shards_[job.shard].unsettled_jobs.push_back({id, job.progress});
  }
  clear();
  for (std::size_t i = 0; i < shards_.size(); ++i)
    if (shards_.empty(ShardIndex(i))) shards_.mark_dirty(ShardIndex(i), false);
}

} // namespace loftrouter::core
