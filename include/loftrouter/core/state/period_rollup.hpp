// Moves the usage sums of past accounting periods from the progress shards to one record per period
// (accounts/<period>), so that progress records stay small and a failover reads no history.
//
// Invariant: one transaction, conditional on the revisions of both records, removes the sums from a shard and adds them
// to the period's record; if there is no reply, ProgressWriter reads the shard to find out whether it was applied.
// Otherwise usage could be counted twice or not at all (docs/accounts.md). A period's record that cannot be read is
// never overwritten. Not thread-safe: used by the core thread only.
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
  // Sends a transaction; StateWriter handles its outcome.
  using Commit = std::function<void(WriteTransaction &&)>;

  PeriodRollup(const StateContext &context, ProgressShards &shards, ProgressWriter &progress_writer,
               WriteSchedule &schedule, Commit commit);

  // Starts moving the oldest past period of the first shard that has one.
  void start_next();
  // Leaves the sums of this period in the shards from now on. Called if the period's record is too large.
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
  std::set<std::string> excluded_periods_; // until the process restarts
};

} // namespace loftrouter::core
