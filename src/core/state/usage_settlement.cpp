#include "loftrouter/core/state/usage_settlement.hpp"

#include <algorithm>

#include "loftrouter/wire/storage_keys.hpp"

namespace loftrouter::core {

namespace {
constexpr double kSettlementInterval = 0.1; // s, between two jobs
constexpr double kReadDeadline = 1.0;       // s
} // namespace

UsageSettlement::UsageSettlement(const StateContext &context, ProgressShards &shards,
                                 const EndRecordCompaction &compaction)
    : runtime_(context.runtime), leadership_(context.leadership), ledger_(context.ledger), shards_(shards),
      compaction_(compaction) {}

ShardIndex UsageSettlement::first_unsettled_shard() const {
  for (std::size_t i = 0; i < shards_.size(); ++i)
    if (!shards_[ShardIndex(i)].unsettled_jobs.empty()) return ShardIndex(i);
  return {};
}

void UsageSettlement::settle_next() {
  if (reading_ || runtime_.now() < next_at_) return;
  const ShardIndex shard = first_unsettled_shard();
  if (!shard.valid()) return;
  next_at_ = runtime_.now() + kSettlementInterval;
  const std::string id = shards_[shard].unsettled_jobs.back().id;
  if (const wire::Json *end = compaction_.find_end(id)) return settle(shard, id, wire::end_from_json(*end));
  reading_ = true;
  runtime_.store(StoreGet{wire::end_key(id)}, kReadDeadline,
                 [this, shard, id, epoch = leadership_.epoch()](const wire::StoreReply &reply) {
                   if (epoch == leadership_.epoch()) on_end_record_read(shard, id, reply);
                 });
}

// A missing end record is being moved (EndRecordCompaction) or was never written. After other errors the read is
// repeated.
void UsageSettlement::on_end_record_read(ShardIndex shard, const std::string &id, const wire::StoreReply &reply) {
  reading_ = false;
  if (reply.status == 200 && reply.entries.size() == 1)
    settle(shard, id, wire::end_from_json(reply.entries[0].value));
  else if (reply.status == 404)
    settle(shard, id, std::nullopt);
}

void UsageSettlement::settle(ShardIndex shard, const std::string &id, const std::optional<EndRecord> &end) {
  auto &unsettled_jobs = shards_[shard].unsettled_jobs;
  const auto it = std::find_if(unsettled_jobs.begin(), unsettled_jobs.end(),
                               [&](const UnsettledJob &unsettled) { return unsettled.id == id; });
  if (it == unsettled_jobs.end()) return;
  if (end && end->usage)
    ledger_.charge_to_sums(shard, end->team, *end->usage - it->progress.usage, end->need);
  else
    runtime_.log(LogLevel::Error, "account_gap_found",
                 {{"job", id}, {"then", "only usage recorded earlier is counted"}});
  unsettled_jobs.erase(it);
  shards_.mark_dirty(shard, false);
}

} // namespace loftrouter::core
