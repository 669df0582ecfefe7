#include "loftrouter/core/quotas/quota_changes.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

#include <fmt/format.h>

#include "loftrouter/core/quotas/quota_shares.hpp"

namespace loftrouter::core {

namespace {
constexpr double kCommitWithin = 1.0;  // s
constexpr double kForwardWithin = 8.0; // s, for the owner's answer
constexpr double kSlack = 1e-6;        // CPUs, GPUs
constexpr std::string_view kTooMany = "too many requests at once";

std::string quota_key(const std::string &team) {
  return std::string(wire::kConfigQuota) + team;
}

std::string change_key(std::uint64_t number) {
  return std::string(wire::kConfigChange) + std::to_string(number);
}

bool larger(const wire::Amounts &a, const wire::Amounts &amounts) {
  return a.cpus > amounts.cpus + kSlack || a.gpus > amounts.gpus + kSlack;
}
} // namespace

std::string QuotaChanges::owner(const std::string &team) const {
  return cells::owner_cell(team, quotas_.cells());
}

bool QuotaChanges::owns(const std::string &team) const {
  return owner(team) == quotas_.this_cell();
}

void QuotaChanges::request(const wire::QuotaChange &change, Done done) {
  if (!settings_.configuration) return done({409, "quotas are not configured here: switch it on in the features file"});
  if (quotas_.find_team(change.team) < 0 || change.team.starts_with('@')) return done({422, "there is no such team"});
  if (owns(change.team)) return commit_once(change, runtime_.nonce(), std::move(done));
  // Checked here too, so that what cannot be is refused at once, whoever owns it.
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
  const auto file = quotas_.platform_limits(team);
  if (record.version == 0) record.limits = file;
  auto &limits = record.limits;
  if (change.guaranteed_cpus) limits.guaranteed.cpus = *change.guaranteed_cpus;
  if (change.guaranteed_gpus) limits.guaranteed.gpus = *change.guaranteed_gpus;
  if (change.max_cpus) limits.most.cpus = std::isfinite(*change.max_cpus) ? *change.max_cpus : file.most.cpus;
  if (change.max_gpus) limits.most.gpus = std::isfinite(*change.max_gpus) ? *change.max_gpus : file.most.gpus;
  if (change.shares) record.shares = *change.shares;
  if (larger(limits.most, file.most)) return Outcome{422, "that is more than the settings file allows the team"};
  if (larger(limits.guaranteed, limits.most)) return Outcome{422, "its guarantee is more than its limit"};
  if (const auto problem = cells::validate_shares(limits.most, record.shares, quotas_.cells()))
    return Outcome{422, *problem};
  if (quotas_.cells().size() > 1) {
    cells::lower_caps(record, quotas_.cells(), cells::even_share(file.most, quotas_.cells().size()));
    cells::raise_caps(record, quotas_.cells());
  }
  ++record.version;
  record.history.push_back({number, runtime_.wall(), limits});
  if (record.history.size() > wire::kMaxQuotaHistory) record.history.erase(record.history.begin());
  return std::nullopt;
}

void QuotaChanges::commit_once(const wire::QuotaChange &change, std::uint64_t number, Done done) {
  const auto *known = configuration_.find(quota_key(change.team));
  auto record = quotas_.record(change.team).value_or(wire::QuotaRecord{});
  const bool repeated =
      std::any_of(record.history.begin(), record.history.end(), [number](const auto &c) { return c.number == number; });
  if (repeated) return done({200, ""});
  if (!known && configuration_.count(wire::kConfigQuota) >= wire::kMaxConfigRecords)
    return done({409, "too many teams have a quota of their own"});
  if (const auto problem = apply(change, number, record)) return done(*problem);
  if (!state_limits_.fits(wire::to_json(record))) return done({409, "that is more than a record holds"});
  if (!state_limits_.take_write(runtime_.now())) return done({503, std::string(kTooMany)});
  commit(change.team, record, known ? known->revision : 0, [done = std::move(done)](bool committed) {
    done(committed ? Outcome{200, ""} : Outcome{503, "the change is not confirmed; ask again"});
  });
}

void QuotaChanges::commit(const std::string &team, const wire::QuotaRecord &record, std::uint64_t revision,
                          std::function<void(bool)> done) {
  const auto key = quota_key(team);
  auto value = wire::to_json(record);
  runtime_.store(StoreCommit{{{key, revision}}, {{key, value, 0}}}, kCommitWithin,
                 [this, key, value, done = std::move(done)](const wire::StoreReply &reply) {
                   if (reply.status == 200) configuration_.apply_committed(key, value, reply.revision);
                   done(reply.status == 200);
                 });
}

// ---- by way of another cell ----

void QuotaChanges::forward(const wire::QuotaChange &change, Done done) {
  if (configuration_.count(wire::kConfigChange) >= wire::kMaxConfigChanges || !state_limits_.take_write(runtime_.now()))
    return done({503, std::string(kTooMany)});
  const std::uint64_t number = runtime_.nonce();
  const auto key = change_key(number);
  waiting_[number] = {std::move(done), runtime_.now() + kForwardWithin};
  auto value = wire::to_json(wire::ForwardedChange{change, settings_.node, 0, ""});
  runtime_.store(StoreCommit{{{key, 0}}, {{key, value, 0}}}, kCommitWithin,
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
  const auto rest = std::string_view(event.key).substr(wire::kConfigChange.size());
  std::from_chars(rest.data(), rest.data() + rest.size(), number);
  if (const auto it = waiting_.find(number); it != waiting_.end()) {
    const auto done = std::move(it->second.done);
    waiting_.erase(it);
    done({change->status, change->text});
  }
  forget(event.key);
}

void QuotaChanges::forget(const std::string &key) {
  const auto *found = configuration_.find(key);
  if (!found) return;
  runtime_.store(StoreCommit{{{key, found->revision}}, {{key, std::nullopt, 0}}}, kCommitWithin,
                 [this, key](const wire::StoreReply &reply) {
                   if (reply.status == 200) configuration_.apply_committed(key, std::nullopt, reply.revision);
                 });
}

void QuotaChanges::tick() {
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (runtime_.now() < it->second.until) {
      ++it;
      continue;
    }
    const auto done = std::move(it->second.done);
    it = waiting_.erase(it);
    done({503, "the cell that owns this team's quota has not answered; ask again"});
  }
}

} // namespace loftrouter::core
