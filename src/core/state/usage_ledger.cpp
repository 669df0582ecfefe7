#include "loftrouter/core/state/usage_ledger.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

#include "loftrouter/core/runtime/growing_table.hpp"

namespace loftrouter::core {

namespace {
constexpr double kTickInterval = 0.5; // s
constexpr double kMsPerHour = 3.6e6;
constexpr double kCostPerUnit = 1e6; // costs are stored in millionths of the cloud's currency unit

std::int64_t to_ms(double seconds) {
  return static_cast<std::int64_t>(seconds * 1000);
}

double fraction(double part, double whole) {
  return whole > 0 ? part / whole : 0.0;
}
} // namespace

UsageLedger::UsageLedger(Runtime &runtime, const Settings &settings, const InstanceTypeCatalog &catalog, JobTable &jobs,
                         const OperatorSettings &operators)
    : runtime_(runtime), settings_(settings), catalog_(catalog), jobs_(jobs), operators_(operators) {}

void UsageLedger::on(const TermEnded &) {
  accounts_.clear();
  sums_.clear();
  used_.clear();
}

const std::string &UsageLedger::current_period() {
  const auto &clock = operators_.budgets().clock;
  const double wall = runtime_.wall();
  if (wall < period_.begin || wall >= period_.end || !(clock == period_.clock))
    period_ = {clock.name(wall), clock.begin(wall), clock.end(wall), clock};
  return period_.name;
}

const SumsByTeam &UsageLedger::sums(ShardIndex shard) const {
  static const SumsByTeam kNoSums;
  return shard.position() < sums_.size() ? sums_[shard.position()] : kNoSums;
}

void UsageLedger::load_sums(ShardIndex shard, SumsByTeam sums) {
  sums_at(shard) = std::move(sums);
}

void UsageLedger::charge_to_sums(ShardIndex shard, const std::string &team, const accounts::Usage &usage,
                                 const Resources &need) {
  if (!usage.all_zero()) sums_at(shard)[{current_period(), team}] += accounts::sums_of(usage, need);
}

// Period names are dates, so the smallest is the oldest. After a change of the accounting clock older names count as
// past.
std::string UsageLedger::oldest_past_period(ShardIndex shard) {
  const auto &sums = this->sums(shard);
  if (sums.empty()) return {};
  const std::string &oldest = sums.begin()->first.first;
  return oldest < current_period() ? oldest : std::string();
}

void UsageLedger::remove_period(ShardIndex shard, const std::string &period) {
  std::erase_if(sums_at(shard), [&](const auto &entry) { return entry.first.first == period; });
}

void UsageLedger::open_account(JobIndex job_index, ShardIndex shard) {
  get_or_create(accounts_, job_index) = {};
  account(job_index).shard = shard;
}

// Charges the time that attempts had held when the account was written; what became of them is unknown.
void UsageLedger::restore_account(JobIndex job_index, const ProgressRecord &written) {
  Account &job_account = account(job_index);
  job_account.usage = written.usage;
  job_account.written_at_ms = written.at_ms;
  if (!enabled()) return;
  accounts::Usage usage;
  usage[accounts::Unresolved] = written.running_ms;
  charge(job_index, usage);
}

std::int64_t UsageLedger::held_in_flight_ms(const Account &account) const {
  return account.attempts_in_flight * to_ms(runtime_.now()) - account.allocated_at_sum_ms;
}

std::int64_t UsageLedger::ms_since_written(const Account &account) const {
  if (account.written_at_ms == 0) return 0;
  return std::max<std::int64_t>(0, to_ms(runtime_.wall()) - account.written_at_ms);
}

// Charges each unaccounted task (started by an earlier leader, not reported since) for the whole time since the last
// write, as uncertain usage. This is an upper bound, because a task holds at most one allocation at a time.
void UsageLedger::update_and_copy_account(JobIndex job_index, ProgressRecord &record) {
  if (!enabled()) return;
  Account &job_account = account(job_index);
  charge(job_index, {});
  if (const std::uint32_t unaccounted = jobs_[job_index].unaccounted; unaccounted > 0) {
    accounts::Usage usage;
    usage[accounts::Uncertain] = unaccounted * ms_since_written(job_account);
    charge(job_index, usage);
  }
  job_account.written_at_ms = to_ms(runtime_.wall());
  job_account.has_unwritten_charges = false;
  record.usage = job_account.usage;
  record.running_ms = held_in_flight_ms(job_account);
  record.at_ms = job_account.written_at_ms;
}

accounts::Usage UsageLedger::current_usage(JobIndex job_index) {
  charge(job_index, {});
  return account(job_index).usage;
}

void UsageLedger::charge_remote_usage(JobIndex job_index, const accounts::Usage &usage) {
  if (enabled()) charge(job_index, usage);
}

bool UsageLedger::has_unwritten_charges(JobIndex job_index) const {
  return accounts_[job_index.position()].has_unwritten_charges;
}

// Keeps a team's sums from exceeding its jobs' usage if a worker reported a task before the outcome of the write was
// known.
void UsageLedger::reduce_to_recorded(JobIndex job_index, const accounts::Usage &recorded) {
  const JobSpec &spec = jobs_[job_index].spec;
  accounts::Sums excess = accounts::sums_of(account(job_index).usage - recorded, spec.need);
  auto &sums = sums_at(account(job_index).shard);
  for (auto it = sums.rbegin(); it != sums.rend(); ++it) { // the newest period first
    auto &[key, row] = *it;
    if (key.second != spec.team) continue;
    for (std::size_t column = 0; column < accounts::kSumColumns; ++column) {
      const auto part = std::clamp<std::int64_t>(excess[column], 0, row[column]);
      row[column] -= part;
      excess[column] -= part;
    }
  }
}

void UsageLedger::charge(JobIndex job_index, accounts::Usage usage) {
  Account &job_account = account(job_index);
  const Job &job = jobs_[job_index];
  if (job.ending) { // the end record already holds the job's usage
    job_account.deferred += usage;
    return;
  }
  usage += std::exchange(job_account.deferred, {});
  if (usage.all_zero()) return;
  job_account.usage += usage;
  job_account.has_unwritten_charges = true;
  charge_to_sums(job_account.shard, job.spec.team, usage, job.spec.need);
}

void UsageLedger::on(const TaskAllocated &event) {
  if (!enabled()) return;
  Account &job_account = account(event.job);
  ++job_account.attempts_in_flight;
  job_account.allocated_at_sum_ms += to_ms(runtime_.now());
  accounts::Usage usage;
  if (!event.adopted) usage[accounts::Attempts] = 1;
  if (event.unaccounted) usage[accounts::Uncertain] = ms_since_written(job_account);
  charge(event.job, usage);
  if (event.adopted) jobs_.publish_changed(event.job, false);
}

void UsageLedger::on(const TaskReleased &event) {
  if (!enabled()) return;
  Account &job_account = account(event.job);
  const std::int64_t allocated_at = to_ms(event.held_since);
  const std::int64_t released_at = to_ms(runtime_.now());
  const std::int64_t running_at = event.running_since >= 0 ? to_ms(event.running_since) : released_at;
  const std::int64_t waiting_at = event.waiting_since >= 0 ? to_ms(event.waiting_since) : running_at;
  assert(allocated_at <= waiting_at && waiting_at <= running_at && running_at <= released_at &&
         job_account.attempts_in_flight > 0);
  --job_account.attempts_in_flight;
  job_account.allocated_at_sum_ms -= allocated_at;
  const bool useful = event.done || jobs_[event.job].spec.shape == Shape::Service; // services run until stopped
  accounts::Usage usage;
  usage[accounts::Fetch] = waiting_at - allocated_at;
  usage[accounts::Wait] = running_at - waiting_at;
  usage[useful ? accounts::Useful : accounts::Lost] = released_at - running_at;
  usage[accounts::Retries] = useful ? 0 : 1;
  usage[accounts::Cost] = cost(event, released_at - allocated_at);
  charge(event.job, usage);
  jobs_.publish_changed(event.job, false);
}

void UsageLedger::on(const TasksAbandoned &event) {
  if (!enabled()) return;
  accounts::Usage usage;
  usage[accounts::Uncertain] = event.tasks * ms_since_written(account(event.job));
  charge(event.job, usage);
  jobs_.publish_changed(event.job, false);
}

// Returns the machine's price for `held_ms`, times the largest fraction that the task takes of any of its resources.
std::int64_t UsageLedger::cost(const TaskReleased &event, std::int64_t held_ms) const {
  if (event.type < 0) return 0;
  const auto &type = catalog_.type(event.type);
  const auto &need = jobs_[event.job].spec.need;
  const double largest_fraction =
      std::max({fraction(need.cpus, type.size.cpus), fraction(need.memory, type.size.memory),
                fraction(need.gpus, type.size.gpus)});
  const double price = event.spot ? type.spot_price : type.price;
  return std::llround(kCostPerUnit * price * largest_fraction * static_cast<double>(held_ms) / kMsPerHour);
}

const wire::TeamBudget *UsageLedger::budget(int team) const {
  if (!enabled() || team < 0) return nullptr;
  const auto &budgets = operators_.budgets().teams;
  const auto it = budgets.find(settings_.teams[static_cast<std::size_t>(team)].name);
  return it == budgets.end() || it->second.cpu_hours < 0 ? nullptr : &it->second;
}

std::int64_t UsageLedger::used(int team) const {
  return static_cast<std::size_t>(team) < used_.size() ? used_[static_cast<std::size_t>(team)] : 0;
}

bool UsageLedger::budget_exhausted(int team) const {
  const wire::TeamBudget *team_budget = budget(team);
  return team_budget && used(team) >= team_budget->limit();
}

bool UsageLedger::budget_warning_due(int team) const {
  const wire::TeamBudget *team_budget = budget(team);
  if (!team_budget) return false;
  return static_cast<double>(used(team)) >= team_budget->warn_share * static_cast<double>(team_budget->limit());
}

void UsageLedger::tick() {
  if (!enabled() || runtime_.now() < next_tick_at_) return;
  next_tick_at_ = runtime_.now() + kTickInterval;
  refresh_used();
  logged_exhausted_.resize(settings_.teams.size());
  for (std::size_t team = 0; team < settings_.teams.size(); ++team)
    log_budget_change(team);
}

void UsageLedger::refresh_used() {
  used_.assign(settings_.teams.size(), 0);
  for (const auto &shard : sums_)
    for (const auto &[key, row] : shard) {
      const auto &[period, team_name] = key;
      const int team = jobs_.find_team(team_name);
      if (team >= 0 && period == current_period()) used_[static_cast<std::size_t>(team)] += row.held();
    }
  jobs_.each([&](JobIndex job_index, const Job &job) {
    if (job.team < 0) return;
    const Account &job_account = account(job_index);
    accounts::Usage usage;
    usage[accounts::Useful] = held_in_flight_ms(job_account) + job.unaccounted * ms_since_written(job_account);
    used_[static_cast<std::size_t>(job.team)] += accounts::sums_of(usage, job.spec.need).held();
  });
}

void UsageLedger::log_budget_change(std::size_t team) {
  const bool exhausted = budget_exhausted(static_cast<int>(team));
  if (exhausted == logged_exhausted_[team]) return;
  logged_exhausted_[team] = exhausted;
  runtime_.log(LogLevel::Info, exhausted ? "budget_spent" : "budget_has_room",
               {{"team", settings_.teams[team].name},
                {"period", current_period()},
                {"cpu_hours", static_cast<double>(used_[team]) / accounts::kSumsPerHour}});
}

} // namespace loftrouter::core
