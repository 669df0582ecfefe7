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

bool StateWriter::load_progress(const wire::KeyValue &record) {
  auto shard = wire::progress_from_json(record.key, record.value);
  if (!shard) return false;
  Shard s;
  s.key = record.key;
  s.mod_revision = record.mod_revision;
  s.oversize = record.value.dump().size() > max_chars();
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

void StateWriter::load_end(const wire::KeyValue &record) {
  auto end = wire::final_from_json(record.value);
  if (!end) return;
  moves_.push_back({record.key.substr(5), record.mod_revision, wire::to_json(*end)});
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
  const JobIndex job_index = jobs_.index(record->spec.id);
  if (!job_index.valid()) return accept(std::move(*record), mod_revision);
  if (jobs_.update_mod_revision(job_index, mod_revision) && record->cancelled) jobs_.cancel(job_index);
}

std::string StateWriter::compare(const wire::KeyValue &key_value) {
  if (wire::final_from_json(key_value.value)) return {};
  const auto record = wire::open_from_json(key_value.value);
  if (!record || key_value.key != "open/" + record->spec.id || ended_.find(record->spec.id)) return {};
  const JobIndex job_index = jobs_.index(record->spec.id);
  const bool missed = !job_index.valid(), late = job_index.valid() && record->cancelled &&
                                                 !jobs_[job_index].cancelled &&
                                                 key_value.mod_revision > jobs_[job_index].open_mod_revision;
  if (missed || late) take_open(key_value.key, key_value.value, key_value.mod_revision);
  return missed ? "a job that was not known here" : late ? "a cancellation that was not known here" : "";
}

std::vector<std::string> StateWriter::not_there(const std::string &from, const std::string &to,
                                                const std::set<std::string> &there, std::uint64_t revision) {
  std::vector<std::string> out;
  jobs_.each([&](JobIndex, const Job &job) {
    const std::string key = "open/" + job.spec.id;
    if (key <= from || (!to.empty() && key > to) || there.contains(key) || job.ending ||
        job.open_mod_revision > revision)
      return;
    out.push_back(key);
  });
  for (const auto &key : out)
    resync(jobs_.index(key.substr(5)));
  return out;
}

static std::pair<std::string, std::uint64_t> loaded_key(const Job &job) {
  return {job.spec.id, job.delegated_here ? job.delegated_here->generation : 0};
}

void StateWriter::accept(OpenRecord record, std::uint64_t mod_revision) {
  const JobIndex job_index = jobs_.add(std::move(record), mod_revision);
  const Job &job = jobs_[job_index];
  grown(entries_, job_index) = {};
  marks(job_index).assign(job.spec.tasks, 0);
  assign_shard(job_index);
  ledger_.open(job_index, entry(job_index).shard);
  if (auto it = loaded_.find(loaded_key(job)); it != loaded_.end()) {
    for (auto [a, b] : it->second.started)
      for (auto i = a; i < b && i < job.spec.tasks; ++i)
        marks(job_index)[i] = kStarted | kRecorded;
    jobs_.restore(job_index, it->second);
    for (const auto &l : it->second.delegations)
      entry(job_index).delegations_recorded.push_back(l.generation);
    failure_attribution_.restore(job_index, it->second.failed_on);
    ledger_.restore(job_index, it->second);
  }
  events_.publish(JobAccepted{job_index});
  jobs_.changed(job_index, job.spec.urgency != Urgency::Low && job.spec.waits_for.empty());
}

void StateWriter::on(const LeaderElected &) {
  loaded_.clear();
  loaded_shard_.clear();
}

void StateWriter::on(const TermStarted &) {
  if (ledger_.on())
    for (const auto &[key, p] : loaded_)
      if (p.at_ms && key.second == 0 && !jobs_.index(key.first).valid())
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

void StateWriter::mark(JobIndex job_index, bool ends, bool urgent) {
  Entry &e = entry(job_index);
  e.dirty = true;
  if (ends) {
    if (!e.to_end) ending_.push_back(job_index);
    e.to_end = true;
  } else {
    mark_shard(static_cast<std::size_t>(e.shard), urgent);
  }
}

void StateWriter::mark_again(JobIndex job_index) {
  mark(job_index, jobs_[job_index].finishable(), true);
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
bool StateWriter::has_room(std::size_t s, JobIndex job_index) const {
  const std::size_t chars = shards_[s].reserved + entry_chars(jobs_[job_index]), most = max_chars();
  if (!ledger_.on() || chars > most) return chars <= most;
  if (chars <= most - most / 2) return true;
  std::set<std::string> teams{jobs_[job_index].spec.team};
  for (JobIndex job : shards_[s].jobs)
    teams.insert(jobs_[job].spec.team);
  for (const auto &[key, row] : ledger_.sums(s))
    teams.insert(key.second);
  return chars <= most - std::min(kSumsChars * teams.size(), most / 2);
}

// With accounts, room for one full set and a short one: tasks are started in their order, so those that were are one
// range.
std::size_t StateWriter::entry_chars(const Job &job) const {
  const std::size_t set = std::min<std::size_t>(job.spec.tasks / 4 + 3, set_chars());
  const std::size_t delegations = settings_.cells.name.empty() ? 0 : kMaxDelegations * kDelegationChars;
  return (ledger_.on() ? kAccountChars + job.spec.id.size() + set : kEntryChars + 2 * set) + delegations;
}

// A job stays in its shard for as long as this node leads; room for its largest form is reserved. One that an earlier
// leader kept where values may be larger than now may have to move.
void StateWriter::assign_shard(JobIndex job_index) {
  if (auto it = loaded_shard_.find(loaded_key(jobs_[job_index])); it != loaded_shard_.end()) {
    if (has_room(it->second, job_index) || shards_[it->second].jobs.empty()) return put_in(job_index, it->second);
    return move(job_index, it->second);
  }
  for (std::size_t s = 0; s < shards_.size(); ++s)
    if (has_room(s, job_index)) return put_in(job_index, s);
  put_in(job_index, fresh_shard('s'));
}

void StateWriter::put_in(JobIndex job_index, std::size_t s) {
  entry(job_index).shard = static_cast<int>(s);
  shards_[s].jobs.push_back(job_index);
  shards_[s].reserved += entry_chars(jobs_[job_index]);
}

std::size_t StateWriter::fresh_shard(char series) {
  Shard fresh;
  for (std::size_t name = 0; fresh.key.empty(); ++name) {
    auto key = fmt::format("progress/{}{}", series, name);
    if (std::none_of(shards_.begin(), shards_.end(), [&](const Shard &shard) { return shard.key == key; }))
      fresh.key = key;
  }
  shards_.push_back(std::move(fresh));
  return shards_.size() - 1;
}

// In steps, each of them safe by itself: a job that stands in two records has been started as far as either says, and
// what it has used is what the newer says (load_progress). Its sums stay where they were charged. The new record comes
// after the old one in the list, since earlier versions take the last for the newer.
void StateWriter::move(JobIndex job_index, std::size_t from) {
  std::size_t to = shards_.size();
  for (std::size_t s = 0; s < shards_.size() && to == shards_.size(); ++s)
    if (s != from && shards_[s].key > shards_[from].key && shards_[s].leaving.empty() && has_room(s, job_index)) to = s;
  put_in(job_index, to < shards_.size() ? to : fresh_shard('t'));
  entry(job_index).from = static_cast<int>(from);
  shards_[from].leaving.push_back(job_index);
  entry(job_index).dirty = true;
  mark_shard(static_cast<std::size_t>(entry(job_index).shard), true);
}

// After a write that the state service has confirmed.
void StateWriter::move_on(const Transaction &transaction) {
  for (const auto &id : transaction.jobs) {
    const JobIndex job_index = jobs_.index(id);
    if (!job_index.valid() || entry(job_index).from < 0 || entry(job_index).copied) continue;
    entry(job_index).copied = true;
    if (const auto from = static_cast<std::size_t>(entry(job_index).from); !blocked(shards_[from]))
      mark_shard(from, true);
  }
  for (const auto *list : {&transaction.shards, &transaction.emptied})
    for (std::size_t s : *list)
      for (JobIndex job_index : std::exchange(shards_[s].leaving, {})) { // it no longer holds them
        entry(job_index).from = -1;
        entry(job_index).copied = false;
      }
}

// Jobs leave it that are not known to be elsewhere; or it has too much in it that is about to be settled.
bool StateWriter::blocked(const Shard &shard) const {
  return (shard.oversize && !shard.ghosts.empty()) ||
         std::any_of(shard.leaving.begin(), shard.leaving.end(),
                     [this](JobIndex job_index) { return !entries_[job_index.position()].copied; });
}

// Guards against a record that is refused for its size for ever, and others with it: which one it is shows when they
// are written one by one; that one is made smaller.
void StateWriter::refused(const Transaction &transaction) {
  flush_after_ = runtime_.now() + 0.3;
  const std::size_t writes =
      transaction.shards.size() + transaction.emptied.size() + transaction.ends.size() + transaction.moves.size();
  const std::string what = transaction.shards.size() == 1 ? shards_[transaction.shards[0]].key
                           : transaction.ends.size() == 1 ? "the end of " + transaction.ends[0]
                                                          : fmt::format("{} records", writes);
  runtime_.log(LogLevel::Error, "record_write_refused",
               {{"record", what}, {"then", writes > 1 ? "one by one" : "made smaller"}});
  alone_until_ = runtime_.now() + 5;
  if (writes != 1) return;
  if (!transaction.folded.empty()) left_alone_.insert(transaction.folded);
  for (const auto &id : transaction.ends)
    if (const JobIndex job_index = jobs_.index(id); job_index.valid())
      entry(job_index).coarser = std::max(1, entry(job_index).coarser);
  for (std::size_t s : transaction.shards) {
    auto jobs = shards_[s].jobs;
    for (JobIndex job_index : jobs)
      ++entry(job_index).coarser;
    for (std::size_t k = 1; k < jobs.size(); k += 2)
      if (entry(jobs[k]).from < 0) {
        std::erase(shards_[s].jobs, jobs[k]);
        shards_[s].reserved -= entry_chars(jobs_[jobs[k]]);
        move(jobs[k], s);
      }
    for (JobIndex job_index : shards_[s].jobs)
      entry(job_index).dirty = true;
  }
}

void StateWriter::remove(JobIndex job_index) {
  const auto s = static_cast<std::size_t>(entry(job_index).shard);
  if (entry(job_index).from >= 0)
    std::erase(shards_[static_cast<std::size_t>(entry(job_index).from)].leaving, job_index);
  std::erase(shards_[s].jobs, job_index);
  shards_[s].reserved -= entry_chars(jobs_[job_index]);
  mark_shard(s, false);
  std::erase(ending_, job_index);
  entry(job_index) = {};
  jobs_.remove(job_index);
}

void StateWriter::set_ahead(JobIndex job_index, std::uint32_t tasks) {
  entry(job_index).ahead = tasks;
  const Job &job = jobs_[job_index];
  std::uint32_t there = 0;
  for (std::uint32_t i = 0; i < job.spec.tasks; ++i)
    there += job.tasks[i].state == TaskState::Pending && (marks(job_index)[i] & kStarted);
  if (there < (tasks + 1) / 2) jobs_.changed(job_index, true);
}

// The next tasks in line count as started before they are placed. Too many "started" are safe: after a takeover they
// wait until leases have run out.
void StateWriter::record_ahead(JobIndex job_index) {
  const Job &job = jobs_[job_index];
  if (job.cancelled || !dependencies_.ready(job_index)) return;
  std::uint32_t ahead =
      job.spec.shape == Shape::Gang ? (job.spec.tasks <= 64 ? job.spec.tasks : 0) : entry(job_index).ahead;
  for (std::uint32_t i = 0; i < job.spec.tasks && ahead > 0; ++i)
    if (job.tasks[i].state == TaskState::Pending) {
      start(job_index, i);
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
  Transaction transaction;
  transaction.preconditions = {{"leader", leadership_.term()}};
  bool full = false;
  auto room = [&](std::size_t ops) {
    full |= transaction.writes.size() + ops > max_ops || static_cast<double>(transaction.writes.size() + ops) > level ||
            transaction.bytes > 48'000;
    return !full;
  };
  // Where many jobs end at once, one write says so for each and the record is moved later: three writes
  // instead of two, but people wait for the first alone.
  const bool in_place = alone || (ending_.size() > kManyEnds && moves_.size() < kMaxMoves);
  auto put_ends = [&] {
    for (std::size_t k = ending_.size(); k-- > 0 && !full;) {
      const JobIndex job_index = ending_.front();
      if (!jobs_[job_index].finishable()) { // a task of a cancelled job has turned up
        ending_.pop_front();
        entry(job_index).to_end = false;
        mark(job_index, false, false);
      } else if (entry(job_index).from >= 0) { // its move has to be over: what it has used must not be counted twice
        ending_.pop_front();
        ending_.push_back(job_index);
      } else if (entry(job_index).needs_resync) {
        resync(job_index);
        ending_.pop_front();
        ending_.push_back(job_index);
      } else if (room(in_place ? 1 : 2)) {
        ending_.pop_front();
        entry(job_index).to_end = false;
        add_end(job_index, transaction, in_place);
      }
    }
  };
  auto put_shards = [&] {
    for (std::size_t s : due) {
      if (shards_[s].needs_resync)
        resync_shard(s);
      else if (room(1))
        add_shard(s, transaction);
    }
  };
  // They take turns at the front, as either alone may use up the budget.
  ends_first_ = !ends_first_;
  if (ends_first_) put_ends();
  put_shards();
  if (!ends_first_) put_ends();
  if (transaction.writes.empty()) add_moves(transaction, level, max_ops);
  if (transaction.writes.empty()) return;
  commit(std::move(transaction));
}

void StateWriter::commit(Transaction &&transaction) {
  state_limits_.take_leader_writes(runtime_.now(), static_cast<double>(transaction.writes.size()));
  flushing_ = true;
  StoreCommit commit{transaction.preconditions, std::move(transaction.writes)};
  runtime_.store(
      std::move(commit), 1.5,
      [this, transaction = std::move(transaction), epoch = leadership_.epoch()](const wire::StoreReply &reply) {
        if (epoch == leadership_.epoch()) flushed(transaction, reply);
      });
}

// Only with most of the budget at hand, so that nothing else waits for it.
void StateWriter::add_moves(Transaction &transaction, double budget, std::size_t most) {
  if (budget < 0.4 * settings_.state_write_rps) return;
  while (!moves_.empty() &&
         transaction.writes.size() + 2 <= std::min<std::size_t>(most, static_cast<std::size_t>(budget))) {
    Move m = std::move(moves_.front());
    moves_.pop_front();
    transaction.preconditions.push_back({"open/" + m.id, m.mod_revision});
    transaction.preconditions.push_back({"end/" + m.id, 0});
    transaction.writes.push_back({"open/" + m.id, std::nullopt, 0});
    transaction.writes.push_back({"end/" + m.id, m.value, 0});
    transaction.moves.push_back(std::move(m));
  }
}

void StateWriter::add_end(JobIndex job_index, Transaction &transaction, bool in_place) {
  const Job &job = jobs_[job_index];
  Entry &e = entry(job_index);
  if (job.delegated_here) { // its home keeps how it ended
    transaction.preconditions.push_back({"open/" + job.spec.id, job.open_mod_revision});
    transaction.writes.push_back({"open/" + job.spec.id, std::nullopt, 0});
    transaction.ends.push_back(job.spec.id);
    return jobs_.set_ending(job_index, true);
  }
  e.end = pending_reasons_.end_record(job_index);
  if (ledger_.on()) {
    e.end.usage = ledger_.usage(job_index);
    e.end.need = job.spec.need;
  }
  if (e.coarser) e.end.reason.clear();
  const double took = e.end.end_wall - e.end.submit_wall;
  runtime_.log(e.end.late && !job.cancelled ? LogLevel::Info : LogLevel::Debug, "job_ended",
               {{"job", job.spec.id},
                {"class", job.spec.job_class},
                {"team", job.spec.team},
                {"outcome", job.cancelled ? "cancelled" : "done"},
                {"tasks", job.spec.tasks},
                {"estimate_s", job.spec.estimate_s},
                {"took_s", took},
                {"wanted_after_s", objectives_.due_after(job.spec, job.spec.deadline_s, took)}});
  transaction.preconditions.push_back({"open/" + job.spec.id, job.open_mod_revision});
  transaction.preconditions.push_back({"end/" + job.spec.id, 0});
  if (in_place) {
    transaction.writes.push_back({"open/" + job.spec.id, wire::final_json(e.end), 0});
  } else {
    transaction.writes.push_back({"open/" + job.spec.id, std::nullopt, 0});
    transaction.writes.push_back({"end/" + job.spec.id, wire::to_json(e.end), 0});
  }
  e.ended_in_place = in_place;
  transaction.bytes += 600;
  transaction.ends.push_back(job.spec.id);
  jobs_.set_ending(job_index, true);
}

void StateWriter::write_entry(JobIndex job_index, Transaction &transaction) {
  const Job &job = jobs_[job_index];
  Entry &e = entry(job_index);
  record_ahead(job_index);
  ProgressRecord progress;
  progress.started = make_ranges(job.spec.tasks, [&](std::uint32_t i) { return (e.marks[i] & kStarted) != 0; });
  progress.finished =
      make_ranges(job.spec.tasks, [&](std::uint32_t i) { return job.tasks[i].state == TaskState::Done; });
  const std::size_t chars = set_chars() >> std::min(e.coarser, 8);
  if (job.spec.tasks / 4 + 3 > chars) { // a range takes 14 characters at most
    progress.started = widen(std::move(progress.started), std::max<std::size_t>(1, chars / 14));
    progress.finished = narrow(std::move(progress.finished), chars / 14);
  }
  progress.failed_on = failure_attribution_.suspect(job_index) ? failure_attribution_.failed_on(job_index) : 0;
  progress.delegations = job.delegations;
  progress.delegated_here = job.delegated_here ? job.delegated_here->generation : 0;
  e.delegations_covered.clear();
  for (const auto &l : job.delegations)
    e.delegations_covered.push_back(l.generation);
  ledger_.write(job_index, progress);
  e.progress = wire::to_json(progress);
  // What the transaction covers: tasks placed, or done, from here on wait for the next one.
  for (std::uint32_t i = 0; i < job.spec.tasks; ++i) {
    auto &mark = e.marks[i];
    mark = static_cast<std::uint8_t>(mark & ~(kCovered | kDoneCovered));
    if (mark & kStarted) mark |= kCovered;
    if (job.tasks[i].state == TaskState::Done) mark |= kDoneCovered;
  }
  e.dirty = false;
  transaction.jobs.push_back(job.spec.id);
}

void StateWriter::add_shard(std::size_t s, Transaction &transaction, const std::string &without_period) {
  Shard &shard = shards_[s];
  for (JobIndex job_index : shard.jobs) {
    if (entry(job_index).dirty || ledger_.changed(job_index)) write_entry(job_index, transaction);
    transaction.bytes += jobs_[job_index].spec.tasks / 2 + kEntryChars;
  }
  transaction.preconditions.push_back({shard.key, shard.mod_revision});
  const bool empty = shard.jobs.empty() && shard.ghosts.empty() && ledger_.sums(s).empty(); // of kept sums, too
  transaction.writes.push_back({shard.key, empty ? std::nullopt : std::optional(shard_value(s, without_period)), 0});
  shard.dirty = shard.urgent = false;
  (empty ? transaction.emptied : transaction.shards).push_back(s);
}

wire::Json StateWriter::shard_value(std::size_t s, const std::string &without_period) const {
  std::vector<std::pair<std::string, wire::Json>> entries;
  for (JobIndex job_index : shards_[s].jobs)
    entries.emplace_back(jobs_[job_index].spec.id, entries_[job_index.position()].progress);
  for (const auto &[id, p] : shards_[s].ghosts)
    entries.emplace_back(id, wire::to_json(p));
  SumsByTeam sums = ledger_.sums(s);
  std::erase_if(sums, [&](const auto &x) { return x.first.first == without_period; });
  return wire::progress_shard(std::move(entries), sums);
}

void StateWriter::flushed(const Transaction &transaction, const wire::StoreReply &reply) {
  flushing_ = false;
  auto each = [&](const std::vector<std::string> &names, auto fn) {
    for (const auto &name : names)
      if (const JobIndex job_index = jobs_.index(name); job_index.valid()) fn(job_index);
  };
  if (reply.status == 200) {
    move_on(transaction);
    for (std::size_t s : transaction.shards) {
      shards_[s].mod_revision = reply.revision;
      shards_[s].folding.clear(); // whatever was under way before can no longer be applied
      if (!transaction.folded.empty()) ledger_.forget(s, transaction.folded);
    }
    for (std::size_t s : transaction.emptied)
      shards_[s].mod_revision = 0;
    each(transaction.jobs, [&](JobIndex job_index) {
      for (auto &mark : marks(job_index)) {
        if (mark & kCovered) mark |= kRecorded;
        if (mark & kDoneCovered) mark |= kDoneRecorded;
      }
      delegations_recorded(job_index);
    });
    each(transaction.ends, [&](JobIndex job_index) {
      const Entry &e = entry(job_index);
      const std::string id = jobs_[job_index].spec.id;
      if (jobs_[job_index].delegated_here) return remove(job_index);
      if (e.ended_in_place) moves_.push_back({id, reply.revision, wire::to_json(e.end)});
      ended_.remember(id, e.end);
      remove(job_index);
    });
    return;
  }
  if (reply.status == 409)
    for (const auto &k : reply.failed)
      if (k == "leader") return leadership_.step_down("the leader key has changed");
  for (const auto &m :
       transaction.moves) // a record that is not there as it was has been moved already, without an answer
    if (std::none_of(reply.failed.begin(), reply.failed.end(),
                     [&](const auto &k) { return k == "open/" + m.id || k == "end/" + m.id; }))
      moves_.push_back(m);
  if (reply.status == 409) {
    for (const auto &k : reply.failed) {
      for (auto &shard : shards_)
        if (shard.key == k) shard.needs_resync = true;
      each({k.substr(k.find('/') + 1)}, [&](JobIndex job_index) { entry(job_index).needs_resync = true; });
    }
  } else if (reply.status == 0) {
    // May have been applied, or may be yet: the stamps are read again, and whichever of the
    // two writes comes second fails on them.
    each(transaction.ends, [&](JobIndex job_index) { entry(job_index).needs_resync = true; });
    for (const auto *list : {&transaction.shards, &transaction.emptied})
      for (std::size_t s : *list) {
        shards_[s].needs_resync = true;
        if (!transaction.folded.empty()) shards_[s].folding = transaction.folded;
      }
    flush_after_ = runtime_.now() + 0.2;
  } else if (reply.status == 400) {
    refused(transaction);
  } else {
    flush_after_ = runtime_.now() + 0.3;
  }
  each(transaction.ends, [&](JobIndex job_index) { jobs_.set_ending(job_index, false); });
  each(transaction.ends, [&](JobIndex job_index) { mark_again(job_index); });
  each(transaction.jobs, [&](JobIndex job_index) { mark_again(job_index); });
  for (const auto *list : {&transaction.shards, &transaction.emptied})
    for (std::size_t s : *list)
      mark_shard(s, list == &transaction.shards);
}

// What a confirmed write has said of a job's loans.
void StateWriter::delegations_recorded(JobIndex job_index) {
  Entry &e = entry(job_index);
  auto lacks = [](const auto &all, std::uint64_t g) { return std::find(all.begin(), all.end(), g) == all.end(); };
  for (auto g : e.delegations_covered)
    if (lacks(e.delegations_recorded, g)) events_.publish(DelegationRecorded{job_index, g});
  for (auto g : e.delegations_recorded)
    if (lacks(e.delegations_covered, g)) events_.publish(DelegationRemoved{job_index, g});
  e.delegations_recorded = e.delegations_covered;
}

void StateWriter::resync_shard(std::size_t s) {
  if (shards_[s].resyncing) return;
  shards_[s].resyncing = true;
  runtime_.store(StoreGet{shards_[s].key}, 1.0, [this, s, epoch = leadership_.epoch()](const wire::StoreReply &reply) {
    if (epoch != leadership_.epoch()) return;
    shards_[s].resyncing = false;
    if (reply.status == 200 && reply.entries.size() == 1) {
      shards_[s].mod_revision = reply.entries[0].mod_revision;
      // Whether the write that moved sums away was applied, it says itself. If not, it may be yet, until another
      // write has come before it.
      if (auto &period = shards_[s].folding; !period.empty()) {
        auto there = wire::progress_from_json(shards_[s].key, reply.entries[0].value);
        if (there && std::none_of(there->sums.begin(), there->sums.end(),
                                  [&](const auto &x) { return x.first.first == period; }))
          ledger_.forget(s, std::exchange(period, {}));
      }
    } else if (reply.status == 404) {
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
  runtime_.store(StoreGet{"end/" + id}, 1.0, [this, s, id, epoch = leadership_.epoch()](const wire::StoreReply &reply) {
    if (epoch != leadership_.epoch()) return;
    settling_ = false;
    if (reply.status == 200 && reply.entries.size() == 1)
      settled(s, id, wire::end_from_json(reply.entries[0].value));
    else if (reply.status == 404) // being moved at this moment, or its end is not known to anybody
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
        StoreGet{kAccounts + period}, 1.0,
        [this, s, period, epoch = leadership_.epoch()](const wire::StoreReply &reply) {
          if (epoch != leadership_.epoch()) return;
          flushing_ = false;
          flush_after_ = runtime_.now() + 0.2;
          if (!leadership_.active() || shards_[s].needs_resync) return;
          if (reply.status == 404) return fold_into(s, period, {}, 0);
          if (reply.status != 200 || reply.entries.size() != 1) return;
          auto kept = wire::sums_from_json(reply.entries[0].value);
          if (kept) return fold_into(s, period, std::move(*kept), reply.entries[0].mod_revision);
          left_alone_.insert(period);
          runtime_.log(LogLevel::Error, "record_rejected", {{"key", kAccounts + period}, {"then", "left alone"}});
        });
    return;
  }
}

void StateWriter::fold_into(std::size_t s, const std::string &period, SumsByTeam kept, std::uint64_t mod_revision) {
  Transaction transaction;
  transaction.preconditions = {{"leader", leadership_.term()}};
  transaction.folded = period;
  add_shard(s, transaction, period);
  for (const auto &[key, row] : ledger_.sums(s))
    if (key.first == period) kept[key] += row;
  transaction.preconditions.push_back({kAccounts + period, mod_revision});
  transaction.writes.push_back({kAccounts + period, wire::to_json(kept), 0});
  commit(std::move(transaction));
}

// Our own write, applied without an answer.
void StateWriter::ended(JobIndex job_index, EndRecord end) {
  if (end.usage) ledger_.correct(job_index, *end.usage);
  ended_.remember(jobs_[job_index].spec.id, std::move(end));
  remove(job_index);
}

void StateWriter::resync(JobIndex job_index) {
  if (entry(job_index).resyncing) return;
  entry(job_index).resyncing = true;
  const std::string id = jobs_[job_index].spec.id;
  auto find = [this, id, epoch = leadership_.epoch()] {
    return epoch == leadership_.epoch() ? jobs_.index(id) : JobIndex();
  };
  runtime_.store(StoreGet{"open/" + id}, 1.0, [this, id, find](const wire::StoreReply &r) {
    const JobIndex job = find();
    if (!job.valid()) return;
    if (r.status != 404) {
      entry(job).resyncing = false;
      if (auto end =
              r.status == 200 && r.entries.size() == 1 ? wire::final_from_json(r.entries[0].value) : std::nullopt) {
        moves_.push_back({id, r.entries[0].mod_revision, wire::to_json(*end)});
        ended(job, std::move(*end));
      } else if (r.status == 200 && r.entries.size() == 1) {
        entry(job).needs_resync = false;
        take_open("open/" + id, r.entries[0].value, r.entries[0].mod_revision);
      } else {
        flush_after_ = runtime_.now() + 0.2;
      }
      return;
    }
    if (jobs_[job].delegated_here) return remove(job);
    runtime_.store(StoreGet{"end/" + id}, 1.0, [this, id, find](const wire::StoreReply &reply) {
      const JobIndex found = find();
      if (!found.valid()) return;
      entry(found).resyncing = false;
      auto end =
          reply.status == 200 && reply.entries.size() == 1 ? wire::end_from_json(reply.entries[0].value) : std::nullopt;
      if (!end) return;
      ended(found, std::move(*end));
    });
  });
}

} // namespace loftrouter::core
