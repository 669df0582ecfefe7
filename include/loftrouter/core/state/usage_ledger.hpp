// Accounts for the resources that each team's jobs use while this replica leads, and compares them with team budgets.
//
// Owns the usage account of each open job and, for every progress shard, the sums by period and team of all jobs that
// have been in it; one write stores both. Invariants: a job's account, including its uncertain part, is never less than
// what its tasks have held, also after failovers; sums and accounts add up exactly. Otherwise a team could exceed its
// budget, or a statement would not add up (docs/accounts.md). Not thread-safe: used by the core thread only.
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

  // If accounting is not enabled, nothing is charged.
  [[nodiscard]] bool enabled() const { return settings_.accounts; }

  // Opens the account of a job. `shard`: its sums are charged, even if the job moves later.
  void open_account(JobIndex job_index, ShardIndex shard);
  void restore_account(JobIndex job_index, const ProgressRecord &written);
  // Returns the job's usage, for its end record. Charges while that is being written (Job::ending) are applied only if
  // the write fails.
  accounts::Usage current_usage(JobIndex job_index);
  void charge_remote_usage(JobIndex job_index, const accounts::Usage &usage);
  // Returns whether a write of the shard's sums must include the account.
  [[nodiscard]] bool has_unwritten_charges(JobIndex job_index) const;
  // Removes from the sums what was charged after the end record was written. Called if that write had no reply.
  void reduce_to_recorded(JobIndex job_index, const accounts::Usage &recorded);
  // Brings the account up to date and copies it into a progress record that is about to be written.
  void update_and_copy_account(JobIndex job_index, ProgressRecord &record);

  [[nodiscard]] const SumsByTeam &sums(ShardIndex shard) const;
  void load_sums(ShardIndex shard, SumsByTeam sums);
  // Adds usage to the sums of the current period.
  void charge_to_sums(ShardIndex shard, const std::string &team, const accounts::Usage &usage, const Resources &need);
  // Returns the oldest period in the shard's sums that has ended; empty: none.
  [[nodiscard]] std::string oldest_past_period(ShardIndex shard);
  // Called after a rollup has moved the period's sums out of the shard (PeriodRollup).
  void remove_period(ShardIndex shard, const std::string &period);

  // `team`: index of Settings::teams; negative: none.

  // Returns the team's usage in the current period, including running attempts, as of the last tick, in thousandths of
  // a CPU times ms.
  [[nodiscard]] std::int64_t used(int team) const;
  // Returns null if the team has no budget.
  [[nodiscard]] const wire::TeamBudget *budget(int team) const;
  [[nodiscard]] bool budget_exhausted(int team) const;
  [[nodiscard]] bool budget_warning_due(int team) const;

  // Updates the teams' usage, and logs budgets that became exhausted or available again.
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
    std::int64_t attempts_in_flight = 0;  // attempts that hold an allocation
    std::int64_t allocated_at_sum_ms = 0; // sum of the times at which these were allocated (monotonic)
    std::int64_t written_at_ms = 0;       // wall clock, 0: never; unaccounted tasks are charged up to this time
    bool has_unwritten_charges = false;
  };
  struct Period {
    std::string name;
    double begin = 0; // wall clock, s
    double end = -1;
    accounts::PeriodSchedule clock; // defines the period
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
  std::vector<bool> logged_exhausted_; // by team index
  double next_tick_at_ = 0;            // monotonic, s
  Period period_;
};

} // namespace loftrouter::core
