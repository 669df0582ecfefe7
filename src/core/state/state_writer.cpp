#include "loftrouter/core/state/state_writer.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace loftrouter::core {

namespace {
constexpr double kLazyWrite = 0.8;     // s, progress that nothing waits for
constexpr double kLazyWriteBusy = 2.5; // s, while many jobs end
constexpr std::size_t kManyEnds = 4, kMaxMoves = 1000;
constexpr std::size_t kEntryChars = 85;       // of a job in a progress record, beside its two sets of tasks
constexpr std::size_t kAccountChars = 130;    // the same with its account, beside its id and one set
constexpr std::size_t kSumsChars = 130;       // of a record, a team's sums, while a period ends and the next begins
constexpr double kSettleEvery = 0.1;          // s
constexpr std::size_t kDelegationChars = 230; // of a loan: names, account, a few ranges
const std::string kAccounts = "accounts/";
} // namespace

// One transaction at a time. Each is guarded by the leader key's revision and by every record's own.
struct StateWriter::Transaction {
  std::vector<wire::Precondition> preconditions;
  std::vector<wire::Mutation> writes;
  std::vector<std::string> jobs, ends; // ids: of jobs whose progress is in it, and of those that end
  std::vector<Move> moves;
  std::vector<std::size_t> shards, emptied;
  std::string folded; // a period whose sums it moves from the one record in it
  std::size_t bytes = 0;
};

// ---- what is read ----

bool StateWriter::load_progress(const wire::KeyValue &e) {
  auto shard = wire::progress_from_json(e.key, e.value);
  if (!shard) return false;
  Shard s;
  s.key = e.key;
  s.mod_revision = e.mod_revision;
  s.oversize = e.value.dump().size() > max_chars();
  ledger_.load_sums(shards_.size(), std::move(shard->sums));
  for (auto &[id, p] : shard->jobs) {
    // Guards against what an earlier loan of the same job has done here being taken for this one's: its entry goes
    // lazily.
    const std::pair key(id, p.delegated_here);
    auto &known = loaded_[key];
    if (p.at_ms >= known.at_ms) loaded_shard_[key] = shards_.size(); // the newer, of a job that was being moved
    known.started.insert(known.started.end(), p.started.begin(), p.started.end());
    known.finished.insert(known.finished.end(), p.finished.begin(), p.finished.end());
    known.failed_on = std::max(known.failed_on, p.failed_on);
    known.delegations.insert(known.delegations.end(), p.delegations.begin(), p.delegations.end());
    if (p.at_ms > known.at_ms) {
      known.usage = p.usage;
      known.running_ms = p.running_ms;
      known.at_ms = p.at_ms;
    }
  }
  shards_.push_back(std::move(s));
  return true;
}

void StateWriter::load_end(const wire::KeyValue &e) {
  auto end = wire::final_from_json(e.value);
  if (!end) return;
  moves_.push_back({e.key.substr(5), e.mod_revision, wire::to_json(*end)});
  ended_.remember(moves_.back().id, std::move(*end));
}

void StateWriter::take_open(const std::string &key, const wire::Json &value, std::uint64_t mod_revision) {
  if (wire::final_from_json(value)) return; // this leader's own doing
  auto record = wire::open_from_json(value);
  if (!record || key != "open/" + record->spec.id) {
    runtime_.log(LogLevel::Error, "record_rejected", {{"key", key.substr(0, 60)}, {"then", "left alone"}});
    return;
  }
  // Guards against news that is older than what this leader itself has ended since.
  if (ended_.find(record->spec.id)) return;
  const int j = jobs_.index(record->spec.id);
  if (j < 0) return accept(std::move(*record), mod_revision);
  if (jobs_.update_mod_revision(j, mod_revision) && record->cancelled) jobs_.cancel(j);
}

std::string StateWriter::compare(const wire::KeyValue &e) {
  if (wire::final_from_json(e.value)) return {};
  const auto record = wire::open_from_json(e.value);
  if (!record || e.key != "open/" + record->spec.id || ended_.find(record->spec.id)) return {};
  const int j = jobs_.index(record->spec.id);
  const bool missed = j < 0,
             late = j >= 0 && record->cancelled && !jobs_[j].cancelled && e.mod_revision > jobs_[j].open_mod_revision;
  if (missed || late) take_open(e.key, e.value, e.mod_revision);
  return missed ? "a job that was not known here" : late ? "a cancellation that was not known here" : "";
}

std::vector<std::string> StateWriter::not_there(const std::string &from, const std::string &to,
                                                const std::set<std::string> &there, std::uint64_t revision) {
  std::vector<std::string> out;
  jobs_.each([&](int, const Job &n) {
    const std::string key = "open/" + n.spec.id;
    if (key <= from || (!to.empty() && key > to) || there.contains(key) || n.ending || n.open_mod_revision > revision)
      return;
    out.push_back(key);
  });
  for (const auto &key : out)
    resync(jobs_.index(key.substr(5)));
  return out;
}

static std::pair<std::string, std::uint64_t> loaded_key(const Job &n) {
  return {n.spec.id, n.delegated_here ? n.delegated_here->generation : 0};
}

void StateWriter::accept(OpenRecord record, std::uint64_t mod_revision) {
  const int j = jobs_.add(std::move(record), mod_revision);
  const Job &n = jobs_[j];
  grown(entries_, j) = {};
  marks(j).assign(n.spec.tasks, 0);
  assign_shard(j);
  ledger_.open(j, entry(j).shard);
  if (auto it = loaded_.find(loaded_key(n)); it != loaded_.end()) {
    for (auto [a, b] : it->second.started)
      for (auto i = a; i < b && i < n.spec.tasks; ++i)
        marks(j)[i] = kStarted | kRecorded;
    jobs_.restore(j, it->second);
    for (const auto &l : it->second.delegations)
      entry(j).delegations_recorded.push_back(l.generation);
    failure_attribution_.restore(j, it->second.failed_on);
    ledger_.restore(j, it->second);
  }
  events_.publish(JobAccepted{j});
  jobs_.changed(j, n.spec.urgency != Urgency::Low && n.spec.waits_for.empty());
}

void StateWriter::on(const LeaderElected &) {
  loaded_.clear();
  loaded_shard_.clear();
}

void StateWriter::on(const TermStarted &) {
  if (ledger_.on())
    for (const auto &[key, p] : loaded_)
      if (p.at_ms && key.second == 0 && jobs_.index(key.first) < 0)
        shards_[loaded_shard_[key]].ghosts.emplace_back(key.first, p);
  loaded_.clear();
  loaded_shard_.clear();
  for (std::size_t s = 0; s < shards_.size(); ++s)
    if (shards_[s].jobs.empty() && shards_[s].ghosts.empty() && ledger_.sums(s).empty()) mark_shard(s, false);
}

void StateWriter::on(const TermEnded &) {
  entries_.clear();
  shards_.clear();
  ending_.clear();
  moves_.clear();
  flushing_ = settling_ = false;
}

// ---- what is to be written ----

void StateWriter::mark(int j, bool ends, bool urgent) {
  Entry &e = entry(j);
  e.dirty = true;
  if (ends) {
    if (!e.to_end) ending_.push_back(j);
    e.to_end = true;
  } else {
    mark_shard(static_cast<std::size_t>(e.shard), urgent);
  }
}

void StateWriter::mark_again(int j) {
  mark(j, jobs_[j].finishable(), true);
}

void StateWriter::mark_shard(std::size_t s, bool urgent) {
  Shard &shard = shards_[s];
  if (!shard.dirty) shard.dirty_since = runtime_.now();
  shard.dirty = true;
  shard.urgent |= urgent;
}

// What one set of a job's tasks may take of a value, in characters.
std::size_t StateWriter::set_chars() const {
  return static_cast<std::size_t>(settings_.state_value_kb * 1024 / 5);
}

// What a record may come to hold, and of that what the sums of its teams leave to entries.
std::size_t StateWriter::max_chars() const {
  return static_cast<std::size_t>(settings_.state_value_kb * 1024 * 0.95);
}

// Room that is reserved besides is that of the sums of its teams, half of the record at most: which teams they are
// matters in between alone. (After a takeover every job is tried on every record.)
bool StateWriter::has_room(std::size_t s, int j) const {
  const std::size_t chars = shards_[s].reserved + entry_chars(jobs_[j]), most = max_chars();
  if (!ledger_.on() || chars > most) return chars <= most;
  if (chars <= most - most / 2) return true;
  std::set<std::string> teams{jobs_[j].spec.team};
  for (int k : shards_[s].jobs)
    teams.insert(jobs_[k].spec.team);
  for (const auto &[key, row] : ledger_.sums(s))
    teams.insert(key.second);
  return chars <= most - std::min(kSumsChars * teams.size(), most / 2);
}

// With accounts, room for one full set and a short one: tasks are started in their order, so those that were are one
// range.
std::size_t StateWriter::entry_chars(const Job &n) const {
  const std::size_t set = std::min<std::size_t>(n.spec.tasks / 4 + 3, set_chars());
  const std::size_t delegations = settings_.cells.name.empty() ? 0 : kMaxDelegations * kDelegationChars;
  return (ledger_.on() ? kAccountChars + n.spec.id.size() + set : kEntryChars + 2 * set) + delegations;
}

// A job stays in its shard for as long as this node leads; room for its largest form is reserved. One that an earlier
// leader kept where values may be larger than now may have to move.
void StateWriter::assign_shard(int j) {
  if (auto it = loaded_shard_.find(loaded_key(jobs_[j])); it != loaded_shard_.end()) {
    if (has_room(it->second, j) || shards_[it->second].jobs.empty()) return put_in(j, it->second);
    return move(j, it->second);
  }
  for (std::size_t s = 0; s < shards_.size(); ++s)
    if (has_room(s, j)) return put_in(j, s);
  put_in(j, fresh_shard('s'));
}

void StateWriter::put_in(int j, std::size_t s) {
  entry(j).shard = static_cast<int>(s);
  shards_[s].jobs.push_back(j);
  shards_[s].reserved += entry_chars(jobs_[j]);
}

std::size_t StateWriter::fresh_shard(char series) {
  Shard fresh;
  for (std::size_t name = 0; fresh.key.empty(); ++name) {
    auto key = fmt::format("progress/{}{}", series, name);
    if (std::none_of(shards_.begin(), shards_.end(), [&](const Shard &x) { return x.key == key; })) fresh.key = key;
  }
  shards_.push_back(std::move(fresh));
  return shards_.size() - 1;
}

// In steps, each of them safe by itself: a job that stands in two records has been started as far as either says, and
// what it has used is what the newer says (load_progress). Its sums stay where they were charged. The new record comes
// after the old one in the list, since earlier versions take the last for the newer.
void StateWriter::move(int j, std::size_t from) {
  std::size_t to = shards_.size();
  for (std::size_t s = 0; s < shards_.size() && to == shards_.size(); ++s)
    if (s != from && shards_[s].key > shards_[from].key && shards_[s].leaving.empty() && has_room(s, j)) to = s;
  put_in(j, to < shards_.size() ? to : fresh_shard('t'));
  entry(j).from = static_cast<int>(from);
  shards_[from].leaving.push_back(j);
  entry(j).dirty = true;
  mark_shard(static_cast<std::size_t>(entry(j).shard), true);
}

// After a write that the state service has confirmed.
void StateWriter::move_on(const Transaction &t) {
  for (const auto &id : t.jobs) {
    const int j = jobs_.index(id);
    if (j < 0 || entry(j).from < 0 || entry(j).copied) continue;
    entry(j).copied = true;
    if (const auto from = static_cast<std::size_t>(entry(j).from); !blocked(shards_[from])) mark_shard(from, true);
  }
  for (const auto *list : {&t.shards, &t.emptied})
    for (std::size_t s : *list)
      for (int j : std::exchange(shards_[s].leaving, {})) { // it no longer holds them
        entry(j).from = -1;
        entry(j).copied = false;
      }
}

// Jobs leave it that are not known to be elsewhere; or it has too much in it that is about to be settled.
bool StateWriter::blocked(const Shard &s) const {
  return (s.oversize && !s.ghosts.empty()) || std::any_of(s.leaving.begin(), s.leaving.end(), [this](int j) {
           return !entries_[static_cast<std::size_t>(j)].copied;
         });
}

// Guards against a record that is refused for its size for ever, and others with it: which one it is shows when they
// are written one by one; that one is made smaller.
void StateWriter::refused(const Transaction &t) {
  flush_after_ = runtime_.now() + 0.3;
  const std::size_t writes = t.shards.size() + t.emptied.size() + t.ends.size() + t.moves.size();
  const std::string what = t.shards.size() == 1 ? shards_[t.shards[0]].key
                           : t.ends.size() == 1 ? "the end of " + t.ends[0]
                                                : fmt::format("{} records", writes);
  runtime_.log(LogLevel::Error, "record_write_refused",
               {{"record", what}, {"then", writes > 1 ? "one by one" : "made smaller"}});
  alone_until_ = runtime_.now() + 5;
  if (writes != 1) return;
  if (!t.folded.empty()) left_alone_.insert(t.folded);
  for (const auto &id : t.ends)
    if (const int j = jobs_.index(id); j >= 0) entry(j).coarser = std::max(1, entry(j).coarser);
  for (std::size_t s : t.shards) {
    auto jobs = shards_[s].jobs;
    for (int j : jobs)
      ++entry(j).coarser;
    for (std::size_t k = 1; k < jobs.size(); k += 2)
      if (entry(jobs[k]).from < 0) {
        std::erase(shards_[s].jobs, jobs[k]);
        shards_[s].reserved -= entry_chars(jobs_[jobs[k]]);
        move(jobs[k], s);
      }
    for (int j : shards_[s].jobs)
      entry(j).dirty = true;
  }
}

void StateWriter::remove(int j) {
  const auto s = static_cast<std::size_t>(entry(j).shard);
  if (entry(j).from >= 0) std::erase(shards_[static_cast<std::size_t>(entry(j).from)].leaving, j);
  std::erase(shards_[s].jobs, j);
  shards_[s].reserved -= entry_chars(jobs_[j]);
  mark_shard(s, false);
  std::erase(ending_, j);
  entry(j) = {};
  jobs_.remove(j);
}

void StateWriter::set_ahead(int j, std::uint32_t tasks) {
  entry(j).ahead = tasks;
  const Job &n = jobs_[j];
  std::uint32_t there = 0;
  for (std::uint32_t i = 0; i < n.spec.tasks; ++i)
    there += n.tasks[i].state == TaskState::Pending && (marks(j)[i] & kStarted);
  if (there < (tasks + 1) / 2) jobs_.changed(j, true);
}

// The next tasks in line count as started before they are placed. Too many "started" are safe: after a takeover they
// wait until leases have run out.
void StateWriter::record_ahead(int j) {
  const Job &n = jobs_[j];
  if (n.cancelled || !dependencies_.ready(j)) return;
  std::uint32_t ahead = n.spec.shape == Shape::Gang ? (n.spec.tasks <= 64 ? n.spec.tasks : 0) : entry(j).ahead;
  for (std::uint32_t i = 0; i < n.spec.tasks && ahead > 0; ++i)
    if (n.tasks[i].state == TaskState::Pending) {
      start(j, i);
      --ahead;
    }
}

// ---- writing ----

void StateWriter::flush() {
  if (flushing_ || !leadership_.active() || runtime_.now() < flush_after_) return;
  std::vector<std::size_t> due;
  const double lazy = ending_.size() > kManyEnds ? kLazyWriteBusy : kLazyWrite;
  for (std::size_t s = 0; s < shards_.size(); ++s)
    if (shards_[s].dirty && !blocked(shards_[s]) &&
        (shards_[s].urgent || runtime_.now() - shards_[s].dirty_since >= lazy))
      due.push_back(s);
  settle_ghosts();
  if (due.empty() && ending_.empty() && moves_.empty()) return runtime_.now() < alone_until_ ? void() : fold();
  std::sort(due.begin(), due.end(), [this](std::size_t a, std::size_t b) {
    return std::pair(!shards_[a].urgent, shards_[a].dirty_since) <
           std::pair(!shards_[b].urgent, shards_[b].dirty_since);
  });
  const double level = state_limits_.leader_writes(runtime_.now());
  const bool alone = runtime_.now() < alone_until_;
  const std::size_t max_ops = alone ? 1 : static_cast<std::size_t>(settings_.state_txn_ops);
  Transaction t;
  t.preconditions = {{"leader", leadership_.term()}};
  bool full = false;
  auto room = [&](std::size_t ops) {
    full |= t.writes.size() + ops > max_ops || static_cast<double>(t.writes.size() + ops) > level || t.bytes > 48'000;
    return !full;
  };
  // Where many jobs end at once, one write says so for each and the record is moved later: three writes
  // instead of two, but people wait for the first alone.
  const bool in_place = alone || (ending_.size() > kManyEnds && moves_.size() < kMaxMoves);
  auto put_ends = [&] {
    for (std::size_t k = ending_.size(); k-- > 0 && !full;) {
      const int j = ending_.front();
      if (!jobs_[j].finishable()) { // a task of a cancelled job has turned up
        ending_.pop_front();
        entry(j).to_end = false;
        mark(j, false, false);
      } else if (entry(j).from >= 0) { // its move has to be over: what it has used must not be counted twice
        ending_.pop_front();
        ending_.push_back(j);
      } else if (entry(j).needs_resync) {
        resync(j);
        ending_.pop_front();
        ending_.push_back(j);
      } else if (room(in_place ? 1 : 2)) {
        ending_.pop_front();
        entry(j).to_end = false;
        add_end(j, t, in_place);
      }
    }
  };
  auto put_shards = [&] {
    for (std::size_t s : due) {
      if (shards_[s].needs_resync)
        resync_shard(s);
      else if (room(1))
        add_shard(s, t);
    }
  };
  // They take turns at the front, as either alone may use up the budget.
  ends_first_ = !ends_first_;
  if (ends_first_) put_ends();
  put_shards();
  if (!ends_first_) put_ends();
  if (t.writes.empty()) add_moves(t, level, max_ops);
  if (t.writes.empty()) return;
  commit(std::move(t));
}

void StateWriter::commit(Transaction &&t) {
  state_limits_.take_leader_writes(runtime_.now(), static_cast<double>(t.writes.size()));
  flushing_ = true;
  StoreCommit commit{t.preconditions, std::move(t.writes)};
  runtime_.store(std::move(commit), 1.5,
                 [this, t = std::move(t), epoch = leadership_.epoch()](const wire::StoreReply &r) {
                   if (epoch == leadership_.epoch()) flushed(t, r);
                 });
}

// Only with most of the budget at hand, so that nothing else waits for it.
void StateWriter::add_moves(Transaction &t, double budget, std::size_t most) {
  if (budget < 0.4 * settings_.state_write_rps) return;
  while (!moves_.empty() && t.writes.size() + 2 <= std::min<std::size_t>(most, static_cast<std::size_t>(budget))) {
    Move m = std::move(moves_.front());
    moves_.pop_front();
    t.preconditions.push_back({"open/" + m.id, m.mod_revision});
    t.preconditions.push_back({"end/" + m.id, 0});
    t.writes.push_back({"open/" + m.id, std::nullopt, 0});
    t.writes.push_back({"end/" + m.id, m.value, 0});
    t.moves.push_back(std::move(m));
  }
}

void StateWriter::add_end(int j, Transaction &t, bool in_place) {
  const Job &n = jobs_[j];
  Entry &e = entry(j);
  if (n.delegated_here) { // its home keeps how it ended
    t.preconditions.push_back({"open/" + n.spec.id, n.open_mod_revision});
    t.writes.push_back({"open/" + n.spec.id, std::nullopt, 0});
    t.ends.push_back(n.spec.id);
    return jobs_.set_ending(j, true);
  }
  e.end = pending_reasons_.end_record(j);
  if (ledger_.on()) {
    e.end.usage = ledger_.usage(j);
    e.end.need = n.spec.need;
  }
  if (e.coarser) e.end.reason.clear();
  const double took = e.end.end_wall - e.end.submit_wall;
  runtime_.log(e.end.late && !n.cancelled ? LogLevel::Info : LogLevel::Debug, "job_ended",
               {{"job", n.spec.id},
                {"class", n.spec.job_class},
                {"team", n.spec.team},
                {"outcome", n.cancelled ? "cancelled" : "done"},
                {"tasks", n.spec.tasks},
                {"estimate_s", n.spec.estimate_s},
                {"took_s", took},
                {"wanted_after_s", objectives_.due_after(n.spec, n.spec.deadline_s, took)}});
  t.preconditions.push_back({"open/" + n.spec.id, n.open_mod_revision});
  t.preconditions.push_back({"end/" + n.spec.id, 0});
  if (in_place) {
    t.writes.push_back({"open/" + n.spec.id, wire::final_json(e.end), 0});
  } else {
    t.writes.push_back({"open/" + n.spec.id, std::nullopt, 0});
    t.writes.push_back({"end/" + n.spec.id, wire::to_json(e.end), 0});
  }
  e.ended_in_place = in_place;
  t.bytes += 600;
  t.ends.push_back(n.spec.id);
  jobs_.set_ending(j, true);
}

void StateWriter::write_entry(int j, Transaction &t) {
  const Job &n = jobs_[j];
  Entry &e = entry(j);
  record_ahead(j);
  ProgressRecord p;
  p.started = make_ranges(n.spec.tasks, [&](std::uint32_t i) { return (e.marks[i] & kStarted) != 0; });
  p.finished = make_ranges(n.spec.tasks, [&](std::uint32_t i) { return n.tasks[i].state == TaskState::Done; });
  const std::size_t chars = set_chars() >> std::min(e.coarser, 8);
  if (n.spec.tasks / 4 + 3 > chars) { // a range takes 14 characters at most
    p.started = widen(std::move(p.started), std::max<std::size_t>(1, chars / 14));
    p.finished = narrow(std::move(p.finished), chars / 14);
  }
  p.failed_on = failure_attribution_.suspect(j) ? failure_attribution_.failed_on(j) : 0;
  p.delegations = n.delegations;
  p.delegated_here = n.delegated_here ? n.delegated_here->generation : 0;
  e.delegations_covered.clear();
  for (const auto &l : n.delegations)
    e.delegations_covered.push_back(l.generation);
  ledger_.write(j, p);
  e.progress = wire::to_json(p);
  // What the transaction covers: tasks placed, or done, from here on wait for the next one.
  for (std::uint32_t i = 0; i < n.spec.tasks; ++i) {
    auto &mark = e.marks[i];
    mark = static_cast<std::uint8_t>(mark & ~(kCovered | kDoneCovered));
    if (mark & kStarted) mark |= kCovered;
    if (n.tasks[i].state == TaskState::Done) mark |= kDoneCovered;
  }
  e.dirty = false;
  t.jobs.push_back(n.spec.id);
}

void StateWriter::add_shard(std::size_t s, Transaction &t, const std::string &without_period) {
  Shard &shard = shards_[s];
  for (int j : shard.jobs) {
    if (entry(j).dirty || ledger_.changed(j)) write_entry(j, t);
    t.bytes += jobs_[j].spec.tasks / 2 + kEntryChars;
  }
  t.preconditions.push_back({shard.key, shard.mod_revision});
  const bool empty = shard.jobs.empty() && shard.ghosts.empty() && ledger_.sums(s).empty(); // of kept sums, too
  t.writes.push_back({shard.key, empty ? std::nullopt : std::optional(shard_value(s, without_period)), 0});
  shard.dirty = shard.urgent = false;
  (empty ? t.emptied : t.shards).push_back(s);
}

wire::Json StateWriter::shard_value(std::size_t s, const std::string &without_period) const {
  std::vector<std::pair<std::string, wire::Json>> entries;
  for (int j : shards_[s].jobs)
    entries.emplace_back(jobs_[j].spec.id, entries_[static_cast<std::size_t>(j)].progress);
  for (const auto &[id, p] : shards_[s].ghosts)
    entries.emplace_back(id, wire::to_json(p));
  SumsByTeam sums = ledger_.sums(s);
  std::erase_if(sums, [&](const auto &x) { return x.first.first == without_period; });
  return wire::progress_shard(std::move(entries), sums);
}

void StateWriter::flushed(const Transaction &t, const wire::StoreReply &r) {
  flushing_ = false;
  auto each = [&](const std::vector<std::string> &names, auto fn) {
    for (const auto &name : names)
      if (const int j = jobs_.index(name); j >= 0) fn(j);
  };
  if (r.status == 200) {
    move_on(t);
    for (std::size_t s : t.shards) {
      shards_[s].mod_revision = r.revision;
      shards_[s].folding.clear(); // whatever was under way before can no longer be applied
      if (!t.folded.empty()) ledger_.forget(s, t.folded);
    }
    for (std::size_t s : t.emptied)
      shards_[s].mod_revision = 0;
    each(t.jobs, [&](int j) {
      for (auto &mark : marks(j)) {
        if (mark & kCovered) mark |= kRecorded;
        if (mark & kDoneCovered) mark |= kDoneRecorded;
      }
      delegations_recorded(j);
    });
    each(t.ends, [&](int j) {
      const Entry &e = entry(j);
      const std::string id = jobs_[j].spec.id;
      if (jobs_[j].delegated_here) return remove(j);
      if (e.ended_in_place) moves_.push_back({id, r.revision, wire::to_json(e.end)});
      ended_.remember(id, e.end);
      remove(j);
    });
    return;
  }
  if (r.status == 409)
    for (const auto &k : r.failed)
      if (k == "leader") return leadership_.step_down("the leader key has changed");
  for (const auto &m : t.moves) // a record that is not there as it was has been moved already, without an answer
    if (std::none_of(r.failed.begin(), r.failed.end(),
                     [&](const auto &k) { return k == "open/" + m.id || k == "end/" + m.id; }))
      moves_.push_back(m);
  if (r.status == 409) {
    for (const auto &k : r.failed) {
      for (auto &shard : shards_)
        if (shard.key == k) shard.needs_resync = true;
      each({k.substr(k.find('/') + 1)}, [&](int j) { entry(j).needs_resync = true; });
    }
  } else if (r.status == 0) {
    // May have been applied, or may be yet: the stamps are read again, and whichever of the
    // two writes comes second fails on them.
    each(t.ends, [&](int j) { entry(j).needs_resync = true; });
    for (const auto *list : {&t.shards, &t.emptied})
      for (std::size_t s : *list) {
        shards_[s].needs_resync = true;
        if (!t.folded.empty()) shards_[s].folding = t.folded;
      }
    flush_after_ = runtime_.now() + 0.2;
  } else if (r.status == 400) {
    refused(t);
  } else {
    flush_after_ = runtime_.now() + 0.3;
  }
  each(t.ends, [&](int j) { jobs_.set_ending(j, false); });
  each(t.ends, [&](int j) { mark_again(j); });
  each(t.jobs, [&](int j) { mark_again(j); });
  for (const auto *list : {&t.shards, &t.emptied})
    for (std::size_t s : *list)
      mark_shard(s, list == &t.shards);
}

// What a confirmed write has said of a job's loans.
void StateWriter::delegations_recorded(int j) {
  Entry &e = entry(j);
  auto lacks = [](const auto &all, std::uint64_t g) { return std::find(all.begin(), all.end(), g) == all.end(); };
  for (auto g : e.delegations_covered)
    if (lacks(e.delegations_recorded, g)) events_.publish(DelegationRecorded{j, g});
  for (auto g : e.delegations_recorded)
    if (lacks(e.delegations_covered, g)) events_.publish(DelegationRemoved{j, g});
  e.delegations_recorded = e.delegations_covered;
}

void StateWriter::resync_shard(std::size_t s) {
  if (shards_[s].resyncing) return;
  shards_[s].resyncing = true;
  runtime_.store(StoreGet{shards_[s].key}, 1.0, [this, s, epoch = leadership_.epoch()](const wire::StoreReply &r) {
    if (epoch != leadership_.epoch()) return;
    shards_[s].resyncing = false;
    if (r.status == 200 && r.entries.size() == 1) {
      shards_[s].mod_revision = r.entries[0].mod_revision;
      // Whether the write that moved sums away was applied, it says itself. If not, it may be yet, until another
      // write has come before it.
      if (auto &period = shards_[s].folding; !period.empty()) {
        auto there = wire::progress_from_json(shards_[s].key, r.entries[0].value);
        if (there && std::none_of(there->sums.begin(), there->sums.end(),
                                  [&](const auto &x) { return x.first.first == period; }))
          ledger_.forget(s, std::exchange(period, {}));
      }
    } else if (r.status == 404) {
      shards_[s].mod_revision = 0;
    } else {
      flush_after_ = runtime_.now() + 0.2;
      return;
    }
    shards_[s].needs_resync = false;
  });
}

// ---- accounts ----

// Jobs that ended under an earlier leader after it had last written their progress record: the rest of what they used
// stands in their ends. One at a time; there are as many as end within a second or two.
void StateWriter::settle_ghosts() {
  if (settling_ || runtime_.now() < next_settle_) return;
  std::size_t s = 0;
  while (s < shards_.size() && shards_[s].ghosts.empty())
    ++s;
  if (s == shards_.size()) return;
  next_settle_ = runtime_.now() + kSettleEvery;
  const std::string id = shards_[s].ghosts.back().first;
  for (const auto &m : moves_)
    if (m.id == id) return settled(s, id, wire::end_from_json(m.value));
  settling_ = true;
  runtime_.store(StoreGet{"end/" + id}, 1.0, [this, s, id, epoch = leadership_.epoch()](const wire::StoreReply &r) {
    if (epoch != leadership_.epoch()) return;
    settling_ = false;
    if (r.status == 200 && r.entries.size() == 1)
      settled(s, id, wire::end_from_json(r.entries[0].value));
    else if (r.status == 404) // being moved at this moment, or its end is not known to anybody
      settled(s, id, std::nullopt);
  });
}

void StateWriter::settled(std::size_t s, const std::string &id, const std::optional<EndRecord> &end) {
  auto &ghosts = shards_[s].ghosts;
  const auto it = std::find_if(ghosts.begin(), ghosts.end(), [&](const auto &g) { return g.first == id; });
  if (it == ghosts.end()) return;
  if (end && end->usage)
    ledger_.settle(s, end->team, *end->usage - it->second.usage, end->need);
  else
    runtime_.log(LogLevel::Error, "account_gap_found", {{"job", id}, {"then", "counted as far as recorded before"}});
  ghosts.erase(it);
  mark_shard(s, false);
}

// Sums of a period that is over go into one record for all, so that progress records stay small and a takeover reads
// no history. One transaction takes them from here and adds them there.
void StateWriter::fold() {
  for (std::size_t s = 0; s < shards_.size(); ++s) {
    const std::string period = ledger_.over(s);
    if (period.empty() || left_alone_.contains(period) || shards_[s].needs_resync || !shards_[s].folding.empty() ||
        state_limits_.leader_writes(runtime_.now()) < 2)
      continue;
    flushing_ = true;
    runtime_.store(
        StoreGet{kAccounts + period}, 1.0, [this, s, period, epoch = leadership_.epoch()](const wire::StoreReply &r) {
          if (epoch != leadership_.epoch()) return;
          flushing_ = false;
          flush_after_ = runtime_.now() + 0.2;
          if (!leadership_.active() || shards_[s].needs_resync) return;
          if (r.status == 404) return fold_into(s, period, {}, 0);
          if (r.status != 200 || r.entries.size() != 1) return;
          auto kept = wire::sums_from_json(r.entries[0].value);
          if (kept) return fold_into(s, period, std::move(*kept), r.entries[0].mod_revision);
          left_alone_.insert(period);
          runtime_.log(LogLevel::Error, "record_rejected", {{"key", kAccounts + period}, {"then", "left alone"}});
        });
    return;
  }
}

void StateWriter::fold_into(std::size_t s, const std::string &period, SumsByTeam kept, std::uint64_t mod_revision) {
  Transaction t;
  t.preconditions = {{"leader", leadership_.term()}};
  t.folded = period;
  add_shard(s, t, period);
  for (const auto &[key, row] : ledger_.sums(s))
    if (key.first == period) kept[key] += row;
  t.preconditions.push_back({kAccounts + period, mod_revision});
  t.writes.push_back({kAccounts + period, wire::to_json(kept), 0});
  commit(std::move(t));
}

// Our own write, applied without an answer.
void StateWriter::ended(int j, EndRecord end) {
  if (end.usage) ledger_.correct(j, *end.usage);
  ended_.remember(jobs_[j].spec.id, std::move(end));
  remove(j);
}

void StateWriter::resync(int j) {
  if (entry(j).resyncing) return;
  entry(j).resyncing = true;
  const std::string id = jobs_[j].spec.id;
  auto find = [this, id, epoch = leadership_.epoch()] { return epoch == leadership_.epoch() ? jobs_.index(id) : -1; };
  runtime_.store(StoreGet{"open/" + id}, 1.0, [this, id, find](const wire::StoreReply &r) {
    const int k = find();
    if (k < 0) return;
    if (r.status != 404) {
      entry(k).resyncing = false;
      if (auto end =
              r.status == 200 && r.entries.size() == 1 ? wire::final_from_json(r.entries[0].value) : std::nullopt) {
        moves_.push_back({id, r.entries[0].mod_revision, wire::to_json(*end)});
        ended(k, std::move(*end));
      } else if (r.status == 200 && r.entries.size() == 1) {
        entry(k).needs_resync = false;
        take_open("open/" + id, r.entries[0].value, r.entries[0].mod_revision);
      } else {
        flush_after_ = runtime_.now() + 0.2;
      }
      return;
    }
    if (jobs_[k].delegated_here) return remove(k);
    runtime_.store(StoreGet{"end/" + id}, 1.0, [this, id, find](const wire::StoreReply &e) {
      const int jj = find();
      if (jj < 0) return;
      entry(jj).resyncing = false;
      auto end = e.status == 200 && e.entries.size() == 1 ? wire::end_from_json(e.entries[0].value) : std::nullopt;
      if (!end) return;
      ended(jj, std::move(*end));
    });
  });
}

} // namespace loftrouter::core
