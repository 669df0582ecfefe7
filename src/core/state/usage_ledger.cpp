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

void Ledger::open(int j, int record) {
  grown(accounts_, j) = {};
  at(j).record = static_cast<std::size_t>(record);
}

// The attempts under way when this was written have held that much by then; how they went on is not known.
void Ledger::restore(int j, const ProgressRecord &written) {
  Account &a = at(j);
  a.usage = written.usage;
  a.at_ms = written.at_ms;
  accounts::Usage u;
  u[accounts::Unsorted] = written.running_ms;
  if (on()) charge(j, u);
}

std::int64_t Ledger::since_record(const Account &a) const {
  return a.at_ms ? std::max<std::int64_t>(0, ms(runtime_.wall()) - a.at_ms) : 0;
}

// Of a task that an earlier leader has recorded as started and that was not seen since that record: it may have held a
// place all the time. One place at most, so this bounds all attempts of it.
void Ledger::write(int j, ProgressRecord &out) {
  if (!on()) return;
  Account &a = at(j);
  charge(j, {});
  if (const auto waited_for = jobs_[j].unaccounted) {
    accounts::Usage u;
    u[accounts::Uncertain] = waited_for * since_record(a);
    charge(j, u);
  }
  a.at_ms = ms(runtime_.wall());
  out.usage = a.usage;
  out.running_ms = under_way(a);
  out.at_ms = a.at_ms;
  a.changed = false;
}

accounts::Usage Ledger::usage(int j) {
  charge(j, {});
  return at(j).usage;
}

// Guards against a team's sums that hold more than its jobs: the answer to the write of an end was lost, and a worker
// showed a task once more before it was known that the write had been carried out.
void Ledger::correct(int j, const accounts::Usage &written) {
  accounts::Sums excess = accounts::sums_of(at(j).usage - written, jobs_[j].spec.need);
  auto &sums = sums_at(at(j).record);
  for (auto it = sums.rbegin(); it != sums.rend(); ++it) // the newest period first
    if (it->first.second == jobs_[j].spec.team)
      for (std::size_t c = 0; c < accounts::kSumColumns; ++c) {
        const auto part = std::clamp<std::int64_t>(excess[c], 0, it->second[c]);
        it->second[c] -= part;
        excess[c] -= part;
      }
}

void Ledger::charge(int j, accounts::Usage u) {
  Account &a = at(j);
  // Guards against a team's sums that hold more than its jobs: a worker may show a task of a cancelled job once more.
  if (jobs_[j].ending) {
    a.put_off += u;
    return;
  }
  u += std::exchange(a.put_off, {});
  if (u.none()) return;
  a.usage += u;
  a.changed = true;
  sums_at(a.record)[{period(), jobs_[j].spec.team}] += accounts::sums_of(u, jobs_[j].spec.need);
}

void Ledger::settle(std::size_t record, const std::string &team, const accounts::Usage &rest, const Resources &need) {
  if (!rest.none()) sums_at(record)[{period(), team}] += accounts::sums_of(rest, need);
}

void Ledger::on(const TaskAllocated &e) {
  if (!on()) return;
  Account &a = at(e.job);
  ++a.in_flight;
  a.since_ms += ms(runtime_.now());
  accounts::Usage u;
  if (!e.found) u[accounts::Attempts] = 1;
  if (e.unaccounted) u[accounts::Uncertain] = since_record(a);
  charge(e.job, u);
  if (e.found) jobs_.changed(e.job, false);
}

void Ledger::on(const TaskReleased &e) {
  if (!on()) return;
  Account &a = at(e.job);
  const std::int64_t from = ms(e.held_since), to = ms(runtime_.now());
  const std::int64_t runs = e.running_since >= 0 ? ms(e.running_since) : to;
  const std::int64_t waits = e.waiting_since >= 0 ? ms(e.waiting_since) : runs;
  assert(from <= waits && waits <= runs && runs <= to && a.in_flight > 0);
  --a.in_flight;
  a.since_ms -= from;
  const bool useful = e.done || jobs_[e.job].spec.shape == Shape::Service; // those end by being stopped
  accounts::Usage u;
  u[accounts::Fetch] = waits - from;
  u[accounts::Wait] = runs - waits;
  u[useful ? accounts::Useful : accounts::Lost] = to - runs;
  u[accounts::Retries] = !useful;
  u[accounts::Cost] = cost(e, to - from);
  charge(e.job, u);
  jobs_.changed(e.job, false);
}

void Ledger::on(const TasksAbandoned &e) {
  if (!on()) return;
  accounts::Usage u;
  u[accounts::Uncertain] = e.tasks * since_record(at(e.job));
  charge(e.job, u);
  jobs_.changed(e.job, false);
}

void Ledger::on(const TermEnded &) {
  accounts_.clear();
  sums_.clear();
  used_.clear();
}

std::int64_t Ledger::cost(const TaskReleased &e, std::int64_t held_ms) const {
  if (e.type < 0) return 0;
  const auto &type = catalog_.type(e.type);
  const auto &need = jobs_[e.job].spec.need;
  auto share = [](double part, double all) { return all > 0 ? part / all : 0.0; };
  const double largest = std::max(
      {share(need.cpus, type.size.cpus), share(need.memory, type.size.memory), share(need.gpus, type.size.gpus)});
  const double price = e.spot ? type.spot_price : type.price;
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
  jobs_.each([&](int j, const Job &n) {
    if (n.team < 0) return;
    const Account &a = at(j);
    accounts::Usage u;
    u[accounts::Useful] = under_way(a) + n.unaccounted * since_record(a);
    used_[static_cast<std::size_t>(n.team)] += accounts::sums_of(u, n.spec.need).held();
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
