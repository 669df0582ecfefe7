// What each team's jobs use of the machines, while this node leads.
//
// Owns the account of each open job, and for every progress record the sums, by period and team, of all that its jobs
// have ever used. Both are in the same record, so one write moves both: a charge is never in one and not the other,
// whatever fails. Promises that each job's account, its uncertain part included, is never less than what its tasks
// have held, over any number of takeovers, and that sums and accounts add up exactly. See docs/accounts.md.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "loftrouter/core/catalog/instance_type_catalog.hpp"
#include "loftrouter/core/configuration/operator_settings.hpp"
#include "loftrouter/core/jobs/job_table.hpp"
#include "loftrouter/core/runtime/dense_index.hpp"
#include "loftrouter/core/runtime/events.hpp"

namespace loftrouter::core {

class Ledger {
public:
  Ledger(Runtime &runtime, const Settings &settings, const InstanceTypeCatalog &catalog, JobTable &jobs,
         const Operators &operators)
      : runtime_(runtime), settings_(settings), catalog_(catalog), jobs_(jobs), operators_(operators) {}

  bool on() const { return settings_.accounts; }

  // A job's account, in the progress record with this number; and what an earlier leader has written of it.
  void open(JobIndex job_index, int record);
  void restore(JobIndex job_index, const ProgressRecord &written);
  // What its end says. While that is being written nothing more is charged; what comes up then is charged if the end
  // was not written after all, and otherwise belongs to nobody.
  accounts::Usage usage(JobIndex job_index);
  // What another cell has used for it.
  void add(JobIndex job_index, const accounts::Usage &used) {
    if (on()) charge(job_index, used);
  }
  // Charged since it was last written: the record that holds its sums must then hold it anew as well.
  bool changed(JobIndex job_index) const { return accounts_[job_index.position()].changed; }
  // Its end turns out to be written, with less than has been charged since: the sums follow what it says.
  void correct(JobIndex job_index, const accounts::Usage &written);
  // What is to be written of it now. What is unaccounted for is charged up to now, as the record's time moves on.
  void write(JobIndex job_index, ProgressRecord &out);

  const SumsByTeam &sums(std::size_t record) const;
  void load_sums(std::size_t record, SumsByTeam sums);
  // A job ended under an earlier leader, whose progress record had not followed: what its end says beyond that.
  void settle(std::size_t record, const std::string &team, const accounts::Usage &rest, const Resources &need);
  // Its sums of a period that is over are kept elsewhere from now on.
  void forget(std::size_t record, const std::string &period);
  std::string over(std::size_t record); // a period of its sums that is over; empty: none

  // In the present period, with what attempts under way hold so far: thousandths of a CPU times ms.
  std::int64_t used(int team) const;
  bool spent(int team) const { return budget(team) && used(team) >= budget(team)->limit(); }
  bool warned(int team) const { return budget(team) && used(team) >= budget(team)->warn_share * budget(team)->limit(); }
  const wire::TeamBudget *budget(int team) const;
  void tick();

  void on(const TaskAllocated &event);
  void on(const TaskReleased &event);
  void on(const TasksAbandoned &event);
  void on(const TermEnded &);

private:
  struct Account {
    accounts::Usage usage, put_off;
    std::size_t record = 0;
    std::int64_t in_flight = 0, since_ms = 0; // attempts that hold places, and the sum of since when, mono
    std::int64_t at_ms = 0;                   // wall; of the last record: tasks not accounted for since
    bool changed = false;                     // since then
  };
  static std::int64_t ms(double s) { return static_cast<std::int64_t>(s * 1000); }
  std::int64_t under_way(const Account &account) const {
    return account.in_flight * ms(runtime_.now()) - account.since_ms;
  }
  std::int64_t since_record(const Account &account) const;
  Account &at(JobIndex job_index) { return accounts_[job_index.position()]; }
  SumsByTeam &sums_at(std::size_t record);
  const std::string &period();
  void charge(JobIndex job_index, accounts::Usage usage);
  std::int64_t cost(const TaskReleased &event, std::int64_t held_ms) const;

  Runtime &runtime_;
  const Settings &settings_;
  const InstanceTypeCatalog &catalog_;
  JobTable &jobs_;
  const Operators &operators_;
  std::vector<Account> accounts_;  // by job
  std::vector<SumsByTeam> sums_;   // by record
  std::vector<std::int64_t> used_; // by team
  std::vector<bool> told_;         // by team: that its budget is spent
  double next_tick_ = 0;
  std::string period_; // the present one, from `period_begin_` to `period_end_` (wall)
  double period_begin_ = 0, period_end_ = -1;
  accounts::Clock period_clock_;
};

} // namespace loftrouter::core
