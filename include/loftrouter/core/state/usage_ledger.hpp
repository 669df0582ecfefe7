// What each team's jobs use of the machines, while this replica leads, and whether that is within the team's budget.
//
// Owns the account of each open job and, for every progress shard, the sums by period and team of all that its jobs
// have ever used. Both are in the same record, so that one write moves both: a charge is never in one and not in the
// other, whatever fails. Invariants: a job's account, its uncertain part included, is never less than what its tasks
// have held, over any number of failovers; and sums and accounts add up exactly. If they were broken, a team could use
// more than its budget, or a statement would not add up (docs/accounts.md). Not thread-safe: used by the core's thread
// alone.
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

  // Whether accounts are kept at all (Settings::accounts). If not, nothing is ever charged.
  [[nodiscard]] bool enabled() const { return settings_.accounts; }

  // ---- accounts of jobs ----

  // Opens the account of a job that is new in the job table. `shard`: where it is charged to, also if the job moves.
  void open_account(JobIndex job_index, ShardIndex shard);
  // Continues an account as an earlier leader has written it.
  void restore_account(JobIndex job_index, const ProgressRecord &written);
  // What the job has used, for its end record. While that is being written (Job::ending) nothing more is charged: what
  // comes up then is charged if the end turns out not to be written, and otherwise belongs to nobody.
  accounts::Usage current_usage(JobIndex job_index);
  // Charges what another cell has used for the job.
  void charge_remote_usage(JobIndex job_index, const accounts::Usage &usage);
  // Whether something has been charged since the account was last written. A write of its shard's sums must then write
  // the account as well.
  [[nodiscard]] bool has_unwritten_charges(JobIndex job_index) const;
  // The job's end turns out to be written, with less usage than has been charged since: the sums follow the end.
  void reduce_to_recorded(JobIndex job_index, const accounts::Usage &recorded);
  // Fills in the account's part of a progress record that is about to be written.
  void write_account(JobIndex job_index, ProgressRecord &record);

  // ---- sums of shards ----

  [[nodiscard]] const SumsByTeam &sums(ShardIndex shard) const;
  void load_sums(ShardIndex shard, SumsByTeam sums);
  // Adds usage of a job that is no longer open to the sums of the present period.
  void charge_to_sums(ShardIndex shard, const std::string &team, const accounts::Usage &usage, const Resources &need);
  // The name of the oldest period in the shard's sums that is over; empty: none.
  [[nodiscard]] std::string oldest_past_period(ShardIndex shard);
  // The period's sums are kept elsewhere from now on.
  void remove_period(ShardIndex shard, const std::string &period);

  // ---- budgets; `team` is an index of Settings::teams, negative: none ----

  // What the team has used in the present period, attempts under way included: thousandths of a CPU times ms. As of
  // the last tick that was due.
  [[nodiscard]] std::int64_t used(int team) const;
  // The team's budget; null if it has none.
  [[nodiscard]] const wire::TeamBudget *budget(int team) const;
  [[nodiscard]] bool budget_exhausted(int team) const;
  [[nodiscard]] bool budget_warning_due(int team) const;

  // Brings `used` up to date, and logs budgets that are exhausted or available again.
  void tick();

  void on(const TaskAllocated &event);
  void on(const TaskReleased &event);
  void on(const TasksAbandoned &event);
  void on(const TermEnded &);

private:
  struct Account { // of a job
    accounts::Usage usage;
    accounts::Usage deferred; // came up while the job's end was being written
    ShardIndex shard;
    // Attempts that hold places, and the sum of since when each does (monotonic, ms).
    std::int64_t attempts_in_flight = 0;
    std::int64_t held_since_ms = 0;
    std::int64_t written_at_ms = 0; // wall clock; 0: never. Unaccounted tasks are accounted for up to then
    bool changed = false;           // since then
  };
  struct Period {
    std::string name;
    double begin = 0; // wall clock, s
    double end = -1;
    accounts::PeriodSchedule clock; // that it follows from
  };

  Account &account(JobIndex job_index) { return accounts_[job_index.position()]; }
  SumsByTeam &sums_at(ShardIndex shard) { return get_or_create(sums_, shard); }
  const std::string &current_period();
  [[nodiscard]] std::int64_t held_in_flight_ms(const Account &account) const;
  [[nodiscard]] std::int64_t since_written_ms(const Account &account) const;
  [[nodiscard]] std::int64_t cost(const TaskReleased &event, std::int64_t held_ms) const;
  void charge(JobIndex job_index, accounts::Usage usage);
  void refresh_used();
  void log_budget_change(std::size_t team);

  Runtime &runtime_;
  const Settings &settings_;
  const InstanceTypeCatalog &catalog_;
  JobTable &jobs_;
  const OperatorSettings &operators_;

  std::vector<Account> accounts_;      // by job
  std::vector<SumsByTeam> sums_;       // by shard
  std::vector<std::int64_t> used_;     // by team
  std::vector<bool> logged_exhausted_; // by team: whether the log says that its budget is exhausted
  double next_tick_at_ = 0;            // monotonic, s
  Period period_;
};

} // namespace loftrouter::core
