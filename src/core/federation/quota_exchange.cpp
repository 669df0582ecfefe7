#include "loftrouter/core/federation/quota_exchange.hpp"

#include <charconv>

#include "loftrouter/core/quotas/quota_shares.hpp"

namespace loftrouter::core {

namespace {
using Kind = wire::CellMessage::Kind;
constexpr double kTickIntervalS = 0.25, kResendIntervalS = 1.0;
constexpr double kForwardedChangeTtlS = 10.0; // longer than the requesting node waits
constexpr double kCommitTimeoutS = 1.0;
constexpr int kMaxRecordsPerTick = 32; // per cell
constexpr double kTolerance = 1e-6;    // CPUs, GPUs

std::uint64_t parse_number(std::string_view key) {
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
  federation_.set_quota_handler(
      [this](int cell, wire::CellMessage &&message) { handle_message(cell, std::move(message)); });
}

void QuotaExchange::on(const TermStarted &) {
  acknowledged_.clear();
  sent_.clear();
  next_forward_.clear();
  first_seen_.clear();
  committing_.clear();
  next_tick_ = 0;
}

const std::map<std::string, QuotaExchange::Acknowledged> &QuotaExchange::acknowledged(const std::string &team) const {
  static const std::map<std::string, Acknowledged> kNone;
  const auto it = acknowledged_.find(team);
  return it == acknowledged_.end() ? kNone : it->second;
}

void QuotaExchange::tick() {
  if (!settings_.configuration || !federation_.enabled() || !leadership_.active() || !quotas_.ready() ||
      runtime_.now() < next_tick_)
    return;
  next_tick_ = runtime_.now() + kTickIntervalS;
  used_ = quotas_.used();
  std::map<std::string, int> sent_by_cell;
  configuration_.each(wire::kConfigQuota, [&](std::string_view name, const Configuration::Record &stored) {
    const std::string team(name);
    const auto record = wire::quota_from_json(stored.value);
    if (!record || quotas_.find_team(team) < 0 || !changes_.owns(team)) return;
    advance_record(team, *record, stored.revision);
    for (int cell = 0; cell < federation_.cell_count(); ++cell)
      if (int &count = sent_by_cell[federation_.cell_name(cell)]; count < kMaxRecordsPerTick)
        count += send_record(cell, team, *record);
  });
  forward_changes();
}

// Applies the acknowledgements of the current version, and the caps that may rise because of them, in one commit.
void QuotaExchange::advance_record(const std::string &team, wire::QuotaRecord record, std::uint64_t revision) {
  if (committing_.contains(team)) return;
  const auto version = record.version;
  bool changed = false;
  for (const auto &name : quotas_.cells())
    if (!record.held.contains(name)) { // a cell was added: lower the other caps first
      cells::lower_caps(record, quotas_.cells(), {});
      changed = true;
      break;
    }
  if (!changed) {
    if (within_cap(team, record)) changed |= cells::acknowledge(record, quotas_.this_cell());
    for (const auto &[cell, acknowledgement] : acknowledged(team))
      if (acknowledgement.version == version && acknowledgement.within_cap) changed |= cells::acknowledge(record, cell);
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

bool QuotaExchange::send_record(int cell, const std::string &team, const wire::QuotaRecord &record) {
  const auto &name = federation_.cell_name(cell);
  const auto acknowledgement = acknowledged(team).find(name);
  const bool applied = acknowledgement != acknowledged(team).end() && acknowledgement->second.version == record.version;
  const auto cap = record.caps.find(name), held = record.held.find(name);
  const bool settled = cap == record.caps.end() || (held != record.held.end() && held->second == cap->second);
  if (applied && (acknowledgement->second.within_cap || settled)) return false;
  SentRecord &last_sent = sent_[{team, name}];
  if (last_sent.version == record.version && runtime_.now() < last_sent.next_send) return false;
  last_sent = {record.version, runtime_.now() + kResendIntervalS};
  auto message = federation_.make_message(Kind::Quota, cell);
  message.version = record.version;
  message.body = wire::encode_quota_update({team, record});
  return federation_.send_quota_message(cell, std::move(message));
}

void QuotaExchange::handle_acknowledgement(int cell, const wire::CellMessage &message) {
  if (!changes_.owns(message.body)) return;
  auto &acknowledgement = acknowledged_[message.body][federation_.cell_name(cell)];
  if (message.version < acknowledgement.version) return;
  if (message.version > acknowledgement.version) acknowledgement = {message.version, runtime_.wall(), false};
  acknowledgement.within_cap |= message.within_cap;
  next_tick_ = 0;
}

void QuotaExchange::handle_change(int cell, const wire::CellMessage &message) {
  const auto json = wire::decode(message.body);
  const auto forwarded = json ? wire::forwarded_from_json(*json) : std::nullopt;
  if (!forwarded || !leadership_.active() || !quotas_.ready() || !changes_.owns(forwarded->change.team)) return;
  changes_.commit_once(forwarded->change, message.number,
                       [this, cell, number = message.number](const QuotaChanges::Outcome &outcome) {
                         auto response = federation_.make_message(Kind::QuotaOutcome, cell);
                         response.number = number;
                         response.status = static_cast<std::uint32_t>(outcome.status);
                         response.body = outcome.text;
                         federation_.send_quota_message(cell, std::move(response));
                       });
}

bool QuotaExchange::within_cap(const std::string &team, const wire::QuotaRecord &record) const {
  const int index = quotas_.find_team(team);
  const auto cap = record.caps.find(quotas_.this_cell());
  if (index < 0 || cap == record.caps.end() || static_cast<std::size_t>(index) >= used_.size()) return false;
  const auto &used = used_[static_cast<std::size_t>(index)];
  return used.cpus <= cap->second.cpus + kTolerance && used.gpus <= cap->second.gpus + kTolerance;
}

void QuotaExchange::handle_record(int cell, const wire::CellMessage &message) {
  if (!leadership_.active() || !quotas_.ready()) return;
  const auto update = wire::decode_quota_update(message.body);
  if (!update) return;
  const std::string &team = update->team;
  const wire::QuotaRecord &record = update->record;
  if (quotas_.find_team(team) < 0 || changes_.owner(team) != federation_.cell_name(cell)) return;
  const auto own = quotas_.record(team);
  const auto *found = configuration_.find(std::string(wire::kConfigQuota) + team);
  if (own && own->version == record.version) {
    used_ = quotas_.used();
    auto response = federation_.make_message(Kind::QuotaApplied, cell);
    response.version = record.version;
    response.within_cap = within_cap(team, *own);
    response.body = team;
    federation_.send_quota_message(cell, std::move(response));
    return;
  }
  if ((own && own->version > record.version) || committing_.contains(team)) return;
  state_limits_.take_leader_writes(runtime_.now(), 1);
  committing_.insert(team);
  changes_.commit(team, record, found ? found->revision : 0, [this, team, epoch = leadership_.epoch()](bool) {
    if (epoch == leadership_.epoch()) committing_.erase(team); // acknowledged when the owner sends it again
  });
}

void QuotaExchange::forward_changes() {
  std::vector<std::string> expired;
  configuration_.each(wire::kConfigChange, [&](std::string_view number, const Configuration::Record &record) {
    const std::string key = std::string(wire::kConfigChange) + std::string(number);
    const auto first_seen = first_seen_.try_emplace(key, runtime_.now()).first->second;
    const auto forwarded = wire::forwarded_from_json(record.value);
    if (!forwarded || runtime_.now() > first_seen + kForwardedChangeTtlS) return expired.push_back(key);
    double &next_forward = next_forward_[key];
    if (forwarded->status != 0 || runtime_.now() < next_forward) return;
    next_forward = runtime_.now() + kResendIntervalS;
    const int cell = federation_.find_cell(changes_.owner(forwarded->change.team));
    if (cell < 0) return;
    auto message = federation_.make_message(Kind::QuotaChange, cell);
    message.number = parse_number(number);
    message.body = wire::encode(wire::to_json(*forwarded));
    federation_.send_quota_message(cell, std::move(message));
  });
  for (const auto &key : expired) {
    const auto *found = configuration_.find(key);
    if (found && committing_.insert(key).second) write_change(key, std::nullopt, found->revision);
  }
  std::erase_if(first_seen_, [this](const auto &entry) { return !configuration_.find(entry.first); });
  std::erase_if(next_forward_, [this](const auto &entry) { return !configuration_.find(entry.first); });
}

void QuotaExchange::handle_outcome(const wire::CellMessage &message) {
  const auto key = std::string(wire::kConfigChange) + std::to_string(message.number);
  const auto *found = configuration_.find(key);
  auto forwarded = found ? wire::forwarded_from_json(found->value) : std::nullopt;
  // Without an outcome the change is forwarded again while the requesting node waits.
  if (!forwarded || forwarded->status != 0 || message.status == 503 || message.status == 0 || !leadership_.active())
    return;
  forwarded->status = static_cast<int>(message.status);
  forwarded->text = message.body.substr(0, 300);
  if (committing_.insert(key).second) write_change(key, wire::to_json(*forwarded), found->revision);
}

void QuotaExchange::write_change(const std::string &key, std::optional<wire::Json> value, std::uint64_t revision) {
  state_limits_.take_leader_writes(runtime_.now(), 1);
  runtime_.store(StoreCommit{{{key, revision}}, {{key, value, 0}}}, kCommitTimeoutS,
                 [this, key, value, epoch = leadership_.epoch()](const wire::StoreReply &reply) {
                   if (reply.status == 200) configuration_.apply_committed(key, value, reply.revision);
                   if (epoch == leadership_.epoch()) committing_.erase(key);
                 });
}

void QuotaExchange::handle_message(int cell, wire::CellMessage &&message) {
  if (!settings_.configuration) return;
  switch (message.kind) {
  case Kind::Quota:
    return handle_record(cell, message);
  case Kind::QuotaApplied:
    return handle_acknowledgement(cell, message);
  case Kind::QuotaChange:
    return handle_change(cell, message);
  case Kind::QuotaOutcome:
    return handle_outcome(message);
  default:
    return;
  }
}

} // namespace loftrouter::core
