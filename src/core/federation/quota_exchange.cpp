#include "loftrouter/core/federation/quota_exchange.hpp"

#include <charconv>

#include "loftrouter/core/quotas/quota_shares.hpp"

namespace loftrouter::core {

namespace {
using Kind = wire::CellMessage::Kind;
constexpr double kTick = 0.25, kSendAgain = 1.0; // s
constexpr double kForgetChangeAfter = 10.0;      // s, longer than its node waits
constexpr double kCommitWithin = 1.0;            // s
constexpr int kMaxSent = 32;                     // records to a cell at a time
constexpr double kSlack = 1e-6;                  // CPUs, GPUs

std::uint64_t number_in(std::string_view key) {
  std::uint64_t number = 0;
  std::from_chars(key.data(), key.data() + key.size(), number);
  return number;
}
} // namespace

QuotaExchange::QuotaExchange(Runtime &runtime, const Settings &settings, Configuration &configuration,
                             const Leadership &leadership, const Quotas &quotas, QuotaChanges &changes,
                             StateServiceLimits &state_limits, CellFederation &cells)
    : runtime_(runtime), settings_(settings), configuration_(configuration), leadership_(leadership), quotas_(quotas),
      changes_(changes), state_limits_(state_limits), federation_(cells) {
  federation_.take_quotas([this](int cell, wire::CellMessage &&message) { take(cell, std::move(message)); });
}

void QuotaExchange::on(const TermStarted &) {
  acknowledged_.clear();
  sent_.clear();
  asked_.clear();
  seen_.clear();
  committing_.clear();
  next_tick_ = 0;
}

const std::map<std::string, QuotaExchange::Acknowledged> &QuotaExchange::acknowledged(const std::string &team) const {
  static const std::map<std::string, Acknowledged> none;
  const auto it = acknowledged_.find(team);
  return it == acknowledged_.end() ? none : it->second;
}

void QuotaExchange::tick() {
  if (!settings_.configuration || !federation_.on() || !leadership_.active() || !quotas_.ready() ||
      runtime_.now() < next_tick_)
    return;
  next_tick_ = runtime_.now() + kTick;
  used_ = quotas_.used();
  std::map<std::string, int> sent;
  configuration_.each(wire::kConfigQuota, [&](std::string_view name, const Configuration::Record &r) {
    const std::string team(name);
    const auto record = wire::quota_from_json(r.value);
    if (!record || quotas_.find_team(team) < 0 || !changes_.owns(team)) return;
    step(team, *record, r.revision);
    for (int cell = 0; cell < federation_.count(); ++cell)
      if (int &n = sent[federation_.name(cell)]; n < kMaxSent) n += offer(cell, team, *record);
  });
  pass_changes_on();
}

// ---- the owner ----

// What other cells and this one have acknowledged of the present version, and what may rise for it, in one commit.
void QuotaExchange::step(const std::string &team, wire::QuotaRecord record, std::uint64_t revision) {
  if (committing_.contains(team)) return;
  const auto version = record.version;
  bool changed = false;
  for (const auto &name : quotas_.cells())
    if (!record.held.contains(name)) { // a cell that has joined since: the others make room first
      cells::lower_caps(record, quotas_.cells(), {});
      changed = true;
      break;
    }
  if (!changed) {
    if (within_cap(team, record)) changed |= cells::acknowledge(record, quotas_.this_cell());
    for (const auto &[cell, said] : acknowledged(team))
      if (said.version == version && said.within) changed |= cells::acknowledge(record, cell);
    changed |= cells::raise_caps(record, quotas_.cells());
  }
  if (!changed) return;
  ++record.version;
  state_limits_.take_leader_writes(runtime_.now(), 1);
  committing_.insert(team);
  changes_.commit(team, record, revision, [this, team, epoch = leadership_.epoch()](bool) {
    if (epoch == leadership_.epoch()) committing_.erase(team);
  });
}

bool QuotaExchange::offer(int cell, const std::string &team, const wire::QuotaRecord &record) {
  const auto &name = federation_.name(cell);
  const auto said = acknowledged(team).find(name);
  const bool known = said != acknowledged(team).end() && said->second.version == record.version;
  const auto cap = record.caps.find(name), held = record.held.find(name);
  const bool settled = cap == record.caps.end() || (held != record.held.end() && held->second == cap->second);
  if (known && (said->second.within || settled)) return false;
  Sent &last = sent_[{team, name}];
  if (last.version == record.version && runtime_.now() < last.next) return false;
  last = {record.version, runtime_.now() + kSendAgain};
  auto m = federation_.message(Kind::Quota, cell);
  m.version = record.version;
  m.body = wire::encode({{"team", team}, {"record", wire::to_json(record)}});
  return federation_.tell_quota(cell, std::move(m));
}

void QuotaExchange::take_acknowledgement(int cell, const wire::CellMessage &message) {
  if (!changes_.owns(message.body)) return;
  auto &said = acknowledged_[message.body][federation_.name(cell)];
  if (message.version < said.version) return;
  if (message.version > said.version) said = {message.version, runtime_.wall(), false};
  said.within |= message.within_cap;
  next_tick_ = 0;
}

void QuotaExchange::take_change(int cell, const wire::CellMessage &message) {
  const auto j = wire::decode(message.body);
  const auto forwarded = j ? wire::forwarded_from_json(*j) : std::nullopt;
  if (!forwarded || !leadership_.active() || !quotas_.ready() || !changes_.owns(forwarded->change.team)) return;
  changes_.commit_once(forwarded->change, message.number,
                       [this, cell, number = message.number](const QuotaChanges::Outcome &o) {
                         auto answer = federation_.message(Kind::QuotaOutcome, cell);
                         answer.number = number;
                         answer.status = static_cast<std::uint32_t>(o.status);
                         answer.body = o.text;
                         federation_.tell_quota(cell, std::move(answer));
                       });
}

// ---- the others ----

bool QuotaExchange::within_cap(const std::string &team, const wire::QuotaRecord &record) const {
  const int index = quotas_.find_team(team);
  const auto cap = record.caps.find(quotas_.this_cell());
  if (index < 0 || cap == record.caps.end() || static_cast<std::size_t>(index) >= used_.size()) return false;
  const auto &used = used_[static_cast<std::size_t>(index)];
  return used.cpus <= cap->second.cpus + kSlack && used.gpus <= cap->second.gpus + kSlack;
}

void QuotaExchange::take_record(int cell, const wire::CellMessage &message) {
  if (!leadership_.active() || !quotas_.ready()) return;
  const auto j = wire::decode(message.body);
  if (!j || !j->is_object() || !j->contains("record")) return;
  const auto team = j->value("team", std::string());
  const auto record = wire::quota_from_json((*j)["record"]);
  if (!record || quotas_.find_team(team) < 0 || changes_.owner(team) != federation_.name(cell)) return;
  const auto own = quotas_.record(team);
  const auto *found = configuration_.find(std::string(wire::kConfigQuota) + team);
  if (own && own->version == record->version) {
    used_ = quotas_.used();
    auto answer = federation_.message(Kind::QuotaApplied, cell);
    answer.version = record->version;
    answer.within_cap = within_cap(team, *own);
    answer.body = team;
    federation_.tell_quota(cell, std::move(answer));
    return;
  }
  if ((own && own->version > record->version) || committing_.contains(team)) return;
  state_limits_.take_leader_writes(runtime_.now(), 1);
  committing_.insert(team);
  changes_.commit(team, *record, found ? found->revision : 0, [this, team, epoch = leadership_.epoch()](bool) {
    if (epoch == leadership_.epoch())
      committing_.erase(team); // acknowledged when it is sent again, as it is applied by then
  });
}

void QuotaExchange::pass_changes_on() {
  std::vector<std::string> over;
  configuration_.each(wire::kConfigChange, [&](std::string_view number, const Configuration::Record &record) {
    const std::string key = std::string(wire::kConfigChange) + std::string(number);
    const auto first_seen = seen_.try_emplace(key, runtime_.now()).first->second;
    const auto forwarded = wire::forwarded_from_json(record.value);
    if (!forwarded || runtime_.now() > first_seen + kForgetChangeAfter) return over.push_back(key);
    double &next = asked_[key];
    if (forwarded->status != 0 || runtime_.now() < next) return;
    next = runtime_.now() + kSendAgain;
    const int cell = federation_.by_name(changes_.owner(forwarded->change.team));
    if (cell < 0) return;
    auto m = federation_.message(Kind::QuotaChange, cell);
    m.number = number_in(number);
    m.body = wire::encode(wire::to_json(*forwarded));
    federation_.tell_quota(cell, std::move(m));
  });
  for (const auto &key : over) {
    const auto *found = configuration_.find(key);
    if (found && committing_.insert(key).second) write_change(key, std::nullopt, found->revision);
  }
  std::erase_if(seen_, [this](const auto &x) { return !configuration_.find(x.first); });
  std::erase_if(asked_, [this](const auto &x) { return !configuration_.find(x.first); });
}

void QuotaExchange::take_outcome(const wire::CellMessage &message) {
  const auto key = std::string(wire::kConfigChange) + std::to_string(message.number);
  const auto *found = configuration_.find(key);
  auto forwarded = found ? wire::forwarded_from_json(found->value) : std::nullopt;
  // "Cannot tell now" is asked again while its node waits.
  if (!forwarded || forwarded->status != 0 || message.status == 503 || message.status == 0 || !leadership_.active())
    return;
  forwarded->status = static_cast<int>(message.status);
  forwarded->text = message.body.substr(0, 300);
  if (committing_.insert(key).second) write_change(key, wire::to_json(*forwarded), found->revision);
}

void QuotaExchange::write_change(const std::string &key, std::optional<wire::Json> value, std::uint64_t revision) {
  state_limits_.take_leader_writes(runtime_.now(), 1);
  runtime_.store(StoreCommit{{{key, revision}}, {{key, value, 0}}}, kCommitWithin,
                 [this, key, value, epoch = leadership_.epoch()](const wire::StoreReply &reply) {
                   if (reply.status == 200) configuration_.apply_committed(key, value, reply.revision);
                   if (epoch == leadership_.epoch()) committing_.erase(key);
                 });
}

void QuotaExchange::take(int cell, wire::CellMessage &&message) {
  if (!settings_.configuration) return;
  switch (message.kind) {
  case Kind::Quota:
    return take_record(cell, message);
  case Kind::QuotaApplied:
    return take_acknowledgement(cell, message);
  case Kind::QuotaChange:
    return take_change(cell, message);
  case Kind::QuotaOutcome:
    return take_outcome(message);
  default:
    return;
  }
}

} // namespace loftrouter::core
