// Accounts for the resources that each team's jobs use while this replica leads, and compares them with team budgets.
//
// Owns the usage account of each open job and, for every progress shard, the sums by period and team of all jobs that
// have been in it. A job's account and the sums are in the same record, so that a single write updates both.
// Invariants: a job's account, including its uncertain part, is never less than what its tasks have held, across
// failovers; sums and accounts add up exactly. Without them a team could exceed its budget, or a statement would not
// add up (docs/accounts.md). Not thread-safe: used by the core thread only.
#pragma once

#include <string>
#include <vector>

#include "loftrouter/core/catalog/instance_type_catalog.hpp"
#include "loftrouter/core/configuration/operator_settings.hpp"
#include "loftrouter/core/jobs/job_table.hpp"
#include "loftrouter/core/runtime/events.hpp"
#include "loftrouter/core/runtime/growing_table.hpp"
#include "loftrouter/core/state/shard_index.hpp"

namespace loftrouter::core {

class UsageLedger {
public:
  UsageLedger(Runtime &runtime, const Settings &settings, const InstanceTypeCatalog &catalog, JobTable &jobs,
              const OperatorSettings &operators);

  // Returns whether accounting is enabled (Settings::accounts). If not, nothing is charged.
  [[nodiscard]] bool enabled() const { return settings_.accounts; }

  // Opens the account of a new job. `shard`: the shard whose sums are charged, even if the job moves later.
  void open_account(JobIndex job_index, ShardIndex shard);
  // Restores an account written by an earlier leader.
  void restore_account(JobIndex job_index, const ProgressRecord &written);
  // Returns the job's usage for its end record. While that is being written (Job::ending), further charges are
  // deferred: they are applied if the write fails, and discarded otherwise.
  accounts::Usage current_usage(JobIndex job_index);
  // Charges the usage of the job in another cell.
  void charge_remote_usage(JobIndex job_index, const accounts::Usage &usage);
  // Returns whether the account has charges that were not written yet. A write of its shard's sums must include the
  // account then.
  [[nodiscard]] bool has_unwritten_charges(JobIndex job_index) const;
  // Reduces the sums to the usage in the end record, after a write of the end turns out to have succeeded and more has
  // been charged since.
  void reduce_to_recorded(JobIndex job_index, const accounts::Usage &recorded);
  // Fills in the account fields of a progress record that is about to be written.
  void write_account(JobIndex job_index, ProgressRecord &record);

  [[nodiscard]] const SumsByTeam &sums(ShardIndex shard) const;
  void load_sums(ShardIndex shard, SumsByTeam sums);
  // Adds the usage of a job that is no longer open to the sums of the current period.
  void charge_to_sums(ShardIndex shard, const std::string &team, const accounts::Usage &usage, const Resources &need);
  // Returns the name of the oldest period in the shard's sums that has ended; empty: none.
  [[nodiscard]] std::string oldest_past_period(ShardIndex shard);
  // Removes the period's sums, which are now kept in the period's own record.
  void remove_period(ShardIndex shard, const std::string &period);

  // Below, `team` is an index of Settings::teams; negative: none.

  // Returns the team's usage in the current period, including running attempts, as of the last tick: thousandths of a
  // CPU times ms.
  [[nodiscard]] std::int64_t used(int team) const;
  // Returns the team's budget, or null.
  [[nodiscard]] const wire::TeamBudget *budget(int team) const;
  [[nodiscard]] bool budget_exhausted(int team) const;
  [[nodiscard]] bool budget_warning_due(int team) const;

  // Updates `used`, and logs budgets that became exhausted or available again.
  void tick();

  void on(const TaskAllocated &event);
  void on(const TaskReleased &event);
  void on(const TasksAbandoned &event);
  void on(const TermEnded &);

private:
  struct Account {
    accounts::Usage usage;
    accounts::Usage deferred; // charged while the job's end was being written
    ShardIndex shard;
    // Attempts that hold an allocation, and the sum of their start times (monotonic, ms).
    std::int64_t attempts_in_flight = 0;
    std::int64_t held_since_ms = 0;
    std::int64_t written_at_ms = 0; // wall clock; 0: never. Unaccounted tasks are charged up to this time
    bool has_unwritten_charges = false;
  };
  struct Period {
    std::string name;
    double begin = 0; // wall clock, s
    double end = -1;
    accounts::PeriodSchedule clock; // that defines the period
  };

  Account &account(JobIndex job_index) { return accounts_[job_index.position()]; }
  SumsByTeam &sums_at(ShardIndex shard) { return get_or_create(sums_, shard); }
  const std::string &current_period();
  [[nodiscard]] std::int64_t held_in_flight_ms(const Account &account) const;
  [[nodiscard]] std::int64_t ms_since_written(const Account &account) const;
  [[nodiscard]] std::int64_t cost(const TaskReleased &event, std::int64_t held_ms) const;
  void charge(JobIndex job_index, accounts::Usage usage);
  void refresh_used();
  void log_budget_change(std::size_t team);

  Runtime &runtime_;
  const Settings &settings_;
  const InstanceTypeCatalog &catalog_;
  JobTable &jobs_;
  const OperatorSettings &operators_;

  std::vector<Account> accounts_;      // by job index
  std::vector<SumsByTeam> sums_;       // by shard index
  std::vector<std::int64_t> used_;     // by team index
  std::vector<bool> logged_exhausted_; // by team index: the last logged state
  double next_tick_at_ = 0;            // monotonic, s
  Period period_;
};

} // namespace loftrouter::core
