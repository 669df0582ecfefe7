// Moves the usage sums of past accounting periods from the progress shards to one record a period (accounts/<period>),
// so that progress records stay small and a failover reads no history.
//
// Invariant: one transaction takes the sums out of a shard and adds them to the period's record, guarded by the
// revisions of both; if its answer is lost, ProgressWriter finds out from the shard itself whether it was applied. If
// that were broken, usage would be counted twice or not at all (docs/accounts.md). A period's record that cannot be
// read is never written over. Not thread-safe: used by the core's thread alone.
#pragma once

#include <functional>
#include <set>
#include <string>

#include "loftrouter/core/state/progress_shards.hpp"
#include "loftrouter/core/state/progress_writer.hpp"
#include "loftrouter/core/state/state_context.hpp"
#include "loftrouter/core/state/write_schedule.hpp"
#include "loftrouter/core/state/write_transaction.hpp"

namespace loftrouter::core {

class PeriodRollup {
public:
  // Sends a transaction, and delivers its outcome to the parts of StateWriter.
  using Commit = std::function<void(WriteTransaction &&)>;

  PeriodRollup(const StateContext &context, ProgressShards &shards, ProgressWriter &progress_writer,
               WriteSchedule &schedule, Commit commit);

  // Begins to move the oldest past period of the first shard that has one. Only while nothing else is to be written.
  void start_next();
  // The state service has refused the transaction for its size: the sums of this period stay where they are.
  void exclude(const std::string &period) { excluded_periods_.insert(period); }

private:
  [[nodiscard]] bool can_roll_up(ShardIndex shard, const std::string &period);
  void read_period(ShardIndex shard, const std::string &period);
  void on_period_read(ShardIndex shard, const std::string &period, const wire::StoreReply &reply);
  void move_sums(ShardIndex shard, const std::string &period, SumsByTeam sums, std::uint64_t mod_revision);

  Runtime &runtime_;
  Leadership &leadership_;
  StateServiceLimits &state_limits_;
  UsageLedger &ledger_;
  ProgressShards &shards_;
  ProgressWriter &progress_writer_;
  WriteSchedule &schedule_;
  Commit commit_;
  std::set<std::string> excluded_periods_; // for as long as this process runs
};

} // namespace loftrouter::core
