#include "loftrouter/core/state/usage_ledger.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace loftrouter::core {

namespace {
constexpr double kTick = 0.5; // s
} // namespace

const std::string &Ledger::period() {
  const auto &clock = operators_.budgets().clock;
  if (runtime_.wall() < period_begin_ || runtime_.wall() >= period_end_ || !(clock == period_clock_)) {
    period_clock_ = clock;
    period_ = clock.name(runtime_.wall());
    period_begin_ = clock.begin(runtime_.wall());
    period_end_ = clock.end(runtime_.wall());
  }
  return period_;
}

SumsByTeam &Ledger::sums_at(std::size_t record) {
  if (record >= sums_.size()) sums_.resize(record + 1);
  return sums_[record];
}

const SumsByTeam &Ledger::sums(std::size_t record) const {
  static const SumsByTeam none;
  return record < sums_.size() ? sums_[record] : none;
}

void Ledger::load_sums(std::size_t record, SumsByTeam sums) {
  sums_at(record) = std::move(sums);
}

std::string Ledger::over(std::size_t record) {
  // Names of periods are dates, so the smallest is the oldest. What a change of the clock has left behind goes too.
  const auto &sums = this->sums(record);
  return !sums.empty() && sums.begin()->first.first < period() ? sums.begin()->first.first : std::string();
}

void Ledger::forget(std::size_t record, const std::string &period) {
  std::erase_if(sums_at(record), [&](const auto &s) { return s.first.first == period; });
}

void Ledger::open(JobIndex job_index, int record) {
  grown(accounts_, job_index) = {};
  at(job_index).record = static_cast<std::size_t>(record);
}

// The attempts under way when this was written have held that much by then; how they went on is not known.
void Ledger::restore(JobIndex job_index, const ProgressRecord &written) {
  Account &account = at(job_index);
  account.usage = written.usage;
  account.at_ms = written.at_ms;
  accounts::Usage usage;
  usage[accounts::Unsorted] = written.running_ms;
  if (on()) charge(job_index, usage);
}

std::int64_t Ledger::since_record(const Account &account) const {
  return account.at_ms ? std::max<std::int64_t>(0, ms(runtime_.wall()) - account.at_ms) : 0;
}

// Of a task that an earlier leader has recorded as started and that was not seen since that record: it may have held a
// place all the time. One place at most, so this bounds all attempts of it.
void Ledger::write(JobIndex job_index, ProgressRecord &out) {
  if (!on()) return;
  Account &account = at(job_index);
  charge(job_index, {});
  if (const auto waited_for = jobs_[job_index].unaccounted) {
    accounts::Usage usage;
    usage[accounts::Uncertain] = waited_for * since_record(account);
    charge(job_index, usage);
  }
  account.at_ms = ms(runtime_.wall());
  out.usage = account.usage;
  out.running_ms = under_way(account);
  out.at_ms = account.at_ms;
  account.changed = false;
}

accounts::Usage Ledger::usage(JobIndex job_index) {
  charge(job_index, {});
  return at(job_index).usage;
}

// Guards against a team's sums that hold more than its jobs: the answer to the write of an end was lost, and a worker
// showed a task once more before it was known that the write had been carried out.
void Ledger::correct(JobIndex job_index, const accounts::Usage &written) {
  accounts::Sums excess = accounts::sums_of(at(job_index).usage - written, jobs_[job_index].spec.need);
  auto &sums = sums_at(at(job_index).record);
  for (auto it = sums.rbegin(); it != sums.rend(); ++it) // the newest period first
    if (it->first.second == jobs_[job_index].spec.team)
      for (std::size_t c = 0; c < accounts::kSumColumns; ++c) {
        const auto part = std::clamp<std::int64_t>(excess[c], 0, it->second[c]);
        it->second[c] -= part;
        excess[c] -= part;
      }
}

void Ledger::charge(JobIndex job_index, accounts::Usage usage) {
  Account &account = at(job_index);
  // Guards against a team's sums that hold more than its jobs: a worker may show a task of a cancelled job once more.
  if (jobs_[job_index].ending) {
    account.put_off += usage;
    return;
  }
  usage += std::exchange(account.put_off, {});
  if (usage.none()) return;
  account.usage += usage;
  account.changed = true;
  sums_at(account.record)[{period(), jobs_[job_index].spec.team}] +=
      accounts::sums_of(usage, jobs_[job_index].spec.need);
}

void Ledger::settle(std::size_t record, const std::string &team, const accounts::Usage &rest, const Resources &need) {
  if (!rest.none()) sums_at(record)[{period(), team}] += accounts::sums_of(rest, need);
}

void Ledger::on(const TaskAllocated &event) {
  if (!on()) return;
  Account &account = at(event.job);
  ++account.in_flight;
  account.since_ms += ms(runtime_.now());
  accounts::Usage usage;
  if (!event.found) usage[accounts::Attempts] = 1;
  if (event.unaccounted) usage[accounts::Uncertain] = since_record(account);
  charge(event.job, usage);
  if (event.found) jobs_.changed(event.job, false);
}

void Ledger::on(const TaskReleased &event) {
  if (!on()) return;
  Account &account = at(event.job);
  const std::int64_t from = ms(event.held_since), to = ms(runtime_.now());
  const std::int64_t runs = event.running_since >= 0 ? ms(event.running_since) : to;
  const std::int64_t waits = event.waiting_since >= 0 ? ms(event.waiting_since) : runs;
  assert(from <= waits && waits <= runs && runs <= to && account.in_flight > 0);
  --account.in_flight;
  account.since_ms -= from;
  const bool useful = event.done || jobs_[event.job].spec.shape == Shape::Service; // those end by being stopped
  accounts::Usage usage;
  usage[accounts::Fetch] = waits - from;
  usage[accounts::Wait] = runs - waits;
  usage[useful ? accounts::Useful : accounts::Lost] = to - runs;
  usage[accounts::Retries] = !useful;
  usage[accounts::Cost] = cost(event, to - from);
  charge(event.job, usage);
  jobs_.changed(event.job, false);
}

void Ledger::on(const TasksAbandoned &event) {
  if (!on()) return;
  accounts::Usage usage;
  usage[accounts::Uncertain] = event.tasks * since_record(at(event.job));
  charge(event.job, usage);
  jobs_.changed(event.job, false);
}

void Ledger::on(const TermEnded &) {
  accounts_.clear();
  sums_.clear();
  used_.clear();
}

std::int64_t Ledger::cost(const TaskReleased &event, std::int64_t held_ms) const {
  if (event.type < 0) return 0;
  const auto &type = catalog_.type(event.type);
  const auto &need = jobs_[event.job].spec.need;
  auto share = [](double part, double all) { return all > 0 ? part / all : 0.0; };
  const double largest = std::max(
      {share(need.cpus, type.size.cpus), share(need.memory, type.size.memory), share(need.gpus, type.size.gpus)});
  const double price = event.spot ? type.spot_price : type.price;
  return std::llround(1e6 * price * largest * static_cast<double>(held_ms) / 3.6e6);
}

const wire::TeamBudget *Ledger::budget(int team) const {
  if (!on() || team < 0) return nullptr;
  const auto &teams = operators_.budgets().teams;
  auto it = teams.find(settings_.teams[static_cast<std::size_t>(team)].name);
  return it == teams.end() || it->second.cpu_hours < 0 ? nullptr : &it->second;
}

std::int64_t Ledger::used(int team) const {
  return static_cast<std::size_t>(team) < used_.size() ? used_[static_cast<std::size_t>(team)] : 0;
}

void Ledger::tick() {
  if (!on() || runtime_.now() < next_tick_) return;
  next_tick_ = runtime_.now() + kTick;
  used_.assign(settings_.teams.size(), 0);
  told_.resize(settings_.teams.size());
  for (const auto &record : sums_)
    for (const auto &[key, row] : record)
      if (const int team = jobs_.find_team(key.second); team >= 0 && key.first == period())
        used_[static_cast<std::size_t>(team)] += row.held();
  jobs_.each([&](JobIndex job_index, const Job &job) {
    if (job.team < 0) return;
    const Account &account = at(job_index);
    accounts::Usage usage;
    usage[accounts::Useful] = under_way(account) + job.unaccounted * since_record(account);
    used_[static_cast<std::size_t>(job.team)] += accounts::sums_of(usage, job.spec.need).held();
  });
  for (std::size_t t = 0; t < told_.size(); ++t) {
    const bool spent = this->spent(static_cast<int>(t));
    if (spent != told_[t])
      runtime_.log(LogLevel::Info, spent ? "budget_spent" : "budget_has_room",
                   {{"team", settings_.teams[t].name},
                    {"period", period()},
                    {"cpu_hours", static_cast<double>(used_[t]) / accounts::kSumsAnHour}});
    told_[t] = spent;
  }
}

} // namespace loftrouter::core
