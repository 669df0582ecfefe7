#include "loftrouter/core/quotas/quota_changes.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

#include <fmt/format.h>

#include "loftrouter/core/quotas/quota_shares.hpp"

namespace loftrouter::core {

namespace {
constexpr double kCommitTimeoutS = 1.0;
constexpr double kForwardTimeoutS = 8.0; // for the owner's response
constexpr double kTolerance = 1e-6;      // CPUs, GPUs
constexpr std::string_view kRateLimited = "too many requests at once";

std::string quota_key(const std::string &team) {
  return std::string(wire::kConfigQuota) + team;
}

std::string change_key(std::uint64_t number) {
  return std::string(wire::kConfigChange) + std::to_string(number);
}

bool exceeds(const wire::Amounts &amounts, const wire::Amounts &limit) {
  return amounts.cpus > limit.cpus + kTolerance || amounts.gpus > limit.gpus + kTolerance;
}
} // namespace

std::string QuotaChanges::owner(const std::string &team) const {
  return cells::owner_cell(team, quotas_.cells());
}

bool QuotaChanges::owns(const std::string &team) const {
  return owner(team) == quotas_.this_cell();
}

void QuotaChanges::request(const wire::QuotaChange &change, Callback done) {
  if (!settings_.configuration)
    return done({409, "quota changes are disabled; enable [configuration] in the features file"});
  if (quotas_.find_team(change.team) < 0 || change.team.starts_with('@')) return done({422, "there is no such team"});
  if (owns(change.team)) return commit_once(change, runtime_.nonce(), std::move(done));
  // Checked before forwarding too, so that an invalid change is rejected immediately.
  auto record = quotas_.record(change.team).value_or(wire::QuotaRecord{});
  if (const auto problem = apply(change, 0, record); problem && problem->status == 422) return done(*problem);
  forward(change, std::move(done));
}

std::optional<QuotaChanges::Outcome> QuotaChanges::apply(const wire::QuotaChange &change, std::uint64_t number,
                                                         wire::QuotaRecord &record) const {
  const int team = quotas_.find_team(change.team);
  if (team < 0) return Outcome{422, "there is no such team"};
  if (change.version && *change.version != record.version)
    return Outcome{409, fmt::format("its version is {}; look at it and ask again", record.version)};
  const auto platform = quotas_.platform_limits(team);
  if (record.version == 0) record.limits = platform;
  auto &limits = record.limits;
  if (change.guaranteed_cpus) limits.guaranteed.cpus = *change.guaranteed_cpus;
  if (change.guaranteed_gpus) limits.guaranteed.gpus = *change.guaranteed_gpus;
  if (change.max_cpus) limits.most.cpus = std::isfinite(*change.max_cpus) ? *change.max_cpus : platform.most.cpus;
  if (change.max_gpus) limits.most.gpus = std::isfinite(*change.max_gpus) ? *change.max_gpus : platform.most.gpus;
  if (change.shares) record.shares = *change.shares;
  if (exceeds(limits.most, platform.most)) return Outcome{422, "that is more than the settings file allows the team"};
  if (exceeds(limits.guaranteed, limits.most)) return Outcome{422, "its guarantee is more than its limit"};
  if (const auto problem = cells::validate_shares(limits.most, record.shares, quotas_.cells()))
    return Outcome{422, *problem};
  if (quotas_.cells().size() > 1) {
    cells::lower_caps(record, quotas_.cells(), cells::even_share(platform.most, quotas_.cells().size()));
    cells::raise_caps(record, quotas_.cells());
  }
  ++record.version;
  record.history.push_back({number, runtime_.wall(), limits});
  if (record.history.size() > wire::kMaxQuotaHistory) record.history.erase(record.history.begin());
  return std::nullopt;
}

void QuotaChanges::commit_once(const wire::QuotaChange &change, std::uint64_t number, Callback done) {
  const auto *stored = configuration_.find(quota_key(change.team));
  auto record = quotas_.record(change.team).value_or(wire::QuotaRecord{});
  const bool repeated = std::any_of(record.history.begin(), record.history.end(),
                                    [number](const auto &applied) { return applied.number == number; });
  if (repeated) return done({200, ""});
  if (!stored && configuration_.count(wire::kConfigQuota) >= wire::kMaxConfigRecords)
    return done({409, "too many teams have a quota of their own"});
  if (const auto problem = apply(change, number, record)) return done(*problem);
  if (!state_limits_.fits(wire::to_json(record))) return done({409, "that is more than a record holds"});
  if (!state_limits_.take_write(runtime_.now())) return done({503, std::string(kRateLimited)});
  commit(change.team, record, stored ? stored->revision : 0, [done = std::move(done)](bool committed) {
    done(committed ? Outcome{200, ""} : Outcome{503, "the change is not confirmed; ask again"});
  });
}

void QuotaChanges::commit(const std::string &team, const wire::QuotaRecord &record, std::uint64_t revision,
                          std::function<void(bool)> done) {
  const auto key = quota_key(team);
  auto value = wire::to_json(record);
  runtime_.store(StoreCommit{{{key, revision}}, {{key, value, 0}}}, kCommitTimeoutS,
                 [this, key, value, done = std::move(done)](const wire::StoreReply &reply) {
                   if (reply.status == 200) configuration_.apply_committed(key, value, reply.revision);
                   done(reply.status == 200);
                 });
}

// ---- changes forwarded to the owner's cell ----

void QuotaChanges::forward(const wire::QuotaChange &change, Callback done) {
  if (configuration_.count(wire::kConfigChange) >= wire::kMaxConfigChanges || !state_limits_.take_write(runtime_.now()))
    return done({503, std::string(kRateLimited)});
  const std::uint64_t number = runtime_.nonce();
  const auto key = change_key(number);
  pending_[number] = {std::move(done), runtime_.now() + kForwardTimeoutS};
  auto value = wire::to_json(wire::ForwardedChange{change, settings_.node, 0, ""});
  runtime_.store(StoreCommit{{{key, 0}}, {{key, value, 0}}}, kCommitTimeoutS,
                 [this, key, value](const wire::StoreReply &reply) {
                   if (reply.status == 200) configuration_.apply_committed(key, value, reply.revision);
                 });
}

void QuotaChanges::on(const ConfigurationChanged &event) {
  if (!event.key.starts_with(wire::kConfigChange)) return;
  const auto *found = configuration_.find(event.key);
  const auto change = found ? wire::forwarded_from_json(found->value) : std::nullopt;
  if (!change || change->status == 0 || change->node != settings_.node) return;
  std::uint64_t number = 0;
  const auto digits = std::string_view(event.key).substr(wire::kConfigChange.size());
  std::from_chars(digits.data(), digits.data() + digits.size(), number);
  if (const auto it = pending_.find(number); it != pending_.end()) {
    const auto done = std::move(it->second.done);
    pending_.erase(it);
    done({change->status, change->text});
  }
  remove_forwarded(event.key);
}

void QuotaChanges::remove_forwarded(const std::string &key) {
  const auto *found = configuration_.find(key);
  if (!found) return;
  runtime_.store(StoreCommit{{{key, found->revision}}, {{key, std::nullopt, 0}}}, kCommitTimeoutS,
                 [this, key](const wire::StoreReply &reply) {
                   if (reply.status == 200) configuration_.apply_committed(key, std::nullopt, reply.revision);
                 });
}

void QuotaChanges::tick() {
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (runtime_.now() < it->second.deadline) {
      ++it;
      continue;
    }
    const auto done = std::move(it->second.done);
    it = pending_.erase(it);
    done({503, "the cell that owns this team's quota did not respond; try again"});
  }
}

} // namespace loftrouter::core
