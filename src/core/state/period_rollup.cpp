#include "loftrouter/core/state/period_rollup.hpp"

#include <utility>

#include "loftrouter/wire/storage_keys.hpp"

namespace loftrouter::core {

namespace {
constexpr double kReadDeadline = 1.0;  // s
constexpr double kWritesPerRollup = 2; // the shard and the period record
} // namespace

PeriodRollup::PeriodRollup(const StateContext &context, ProgressShards &shards, ProgressWriter &progress_writer,
                           WriteSchedule &schedule, Commit commit)
    : runtime_(context.runtime), leadership_(context.leadership), state_limits_(context.state_limits),
      ledger_(context.ledger), shards_(shards), progress_writer_(progress_writer), schedule_(schedule),
      commit_(std::move(commit)) {}

bool PeriodRollup::can_roll_up(ShardIndex shard, const std::string &period) {
  if (period.empty() || excluded_periods_.contains(period)) return false;
  if (shards_[shard].needs_resync || !shards_[shard].unconfirmed_rollup.empty()) return false;
  return state_limits_.leader_writes_available(runtime_.now()) >= kWritesPerRollup;
}

void PeriodRollup::start_next() {
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    const ShardIndex shard(i);
    const std::string period = ledger_.oldest_past_period(shard);
    if (can_roll_up(shard, period)) return read_period(shard, period);
  }
}

// Other transactions wait for the reply, because the rollup depends on it.
void PeriodRollup::read_period(ShardIndex shard, const std::string &period) {
  schedule_.in_flight = true;
  runtime_.store(StoreGet{wire::accounts_key(period)}, kReadDeadline,
                 [this, shard, period, epoch = leadership_.epoch()](const wire::StoreReply &reply) {
                   if (epoch == leadership_.epoch()) on_period_read(shard, period, reply);
                 });
}

void PeriodRollup::on_period_read(ShardIndex shard, const std::string &period, const wire::StoreReply &reply) {
  schedule_.in_flight = false;
  schedule_.not_before = runtime_.now() + kReadRetryDelay;
  if (!leadership_.active() || shards_[shard].needs_resync) return;
  if (reply.status == 404) return move_sums(shard, period, {}, 0);
  if (reply.status != 200 || reply.entries.size() != 1) return;
  if (auto sums = wire::sums_from_json(reply.entries[0].value))
    return move_sums(shard, period, std::move(*sums), reply.entries[0].mod_revision);
  exclude(period); // an unreadable record is never overwritten
  runtime_.log(LogLevel::Error, "record_rejected", {{"key", wire::accounts_key(period)}, {"then", "left unchanged"}});
}

void PeriodRollup::move_sums(ShardIndex shard, const std::string &period, SumsByTeam sums, std::uint64_t mod_revision) {
  WriteTransaction transaction(leadership_.term());
  transaction.rolled_up_period = period;
  progress_writer_.add_shard(shard, transaction, period);
  for (const auto &[key, row] : ledger_.sums(shard))
    if (key.first == period) sums[key] += row;
  transaction.preconditions.push_back({wire::accounts_key(period), mod_revision});
  transaction.writes.push_back({wire::accounts_key(period), wire::to_json(sums), 0});
  commit_(std::move(transaction));
}

} // namespace loftrouter::core
