#include "loftrouter/wire/progress_record.hpp"

#include <algorithm>

#include "json_fields.hpp"
#include "protocol_names.hpp"
#include "task_sets.hpp"

namespace loftrouter::wire {

namespace {

constexpr std::uint64_t kFirstShardVersion = 1; // has neither sums nor a version field
constexpr std::uint64_t kCurrentShardVersion = 2;
constexpr std::uint64_t kMaxFailedMachines = 1'000'000;
constexpr std::uint64_t kMaxMilliseconds = 1ULL << 53; // doubles represent integers up to here exactly
constexpr std::size_t kMaxPackedSumsBytes = 300;

// Returns 0 for a missing or invalid count.
std::uint64_t capped_count(const Json &json, std::uint64_t max) {
  return std::min(read_count(json).value_or(0), max);
}

std::optional<accounts::Usage> usage_from_json(const Json &json) {
  const auto packed = read_text(json);
  return packed ? accounts::unpack<accounts::kUsageColumns>(*packed) : std::nullopt;
}

Json to_json(const DelegationRecord &delegation) {
  Json json = {{stored::kGeneration, delegation.generation},
               {stored::kCell, delegation.cell},
               {stored::kLeaseS, delegation.lease_s},
               {stored::kChargedUsage, accounts::pack(delegation.charged)},
               {stored::kDelegatedRanges, task_set_to_json(delegation.tasks)}};
  if (delegation.expired) json[stored::kExpired] = true;
  return json;
}

// Accepts an empty string, which read_text rejects: zero usage packs to an empty string.
std::optional<accounts::Usage> charged_usage_from_json(const Json &json) {
  if (!json.is_string()) return std::nullopt;
  return accounts::unpack<accounts::kUsageColumns>(json.get_ref<const std::string &>());
}

std::optional<DelegationRecord> delegation_from_json(const Json &json) {
  const auto generation = read_count(member(json, stored::kGeneration));
  auto cell = read_text(member(json, stored::kCell));
  const auto lease_s = read_amount(member(json, stored::kLeaseS));
  const auto charged = charged_usage_from_json(member(json, stored::kChargedUsage));
  auto tasks = task_set_from_json(member(json, stored::kDelegatedRanges));
  if (!generation || !cell || !lease_s || !charged || !tasks) return std::nullopt;
  const bool expired = member(json, stored::kExpired).is_boolean(); // written only when it is true
  return DelegationRecord{*generation, std::move(*cell), std::move(*tasks), *lease_s, expired, *charged};
}

// Returns false if usage is present but invalid.
bool read_usage(const Json &json, ProgressRecord &progress) {
  const Json &packed = member(json, stored::kProgressUsage);
  if (packed.is_null()) return true;
  const auto usage = usage_from_json(packed);
  if (!usage) return false;
  progress.usage = *usage;
  progress.running_ms = static_cast<std::int64_t>(capped_count(member(json, stored::kRunningMs), kMaxMilliseconds));
  progress.at_ms = static_cast<std::int64_t>(capped_count(member(json, stored::kWrittenAtMs), kMaxMilliseconds));
  return true;
}

bool read_delegations(const Json &json, ProgressRecord &progress) {
  const Json &delegations = member(json, stored::kDelegations);
  if (!delegations.is_array()) return true;
  for (const auto &element : delegations) {
    auto delegation = delegation_from_json(element);
    if (!delegation) return false;
    progress.delegations.push_back(std::move(*delegation));
  }
  return true;
}

std::optional<ProgressRecord> progress_record_from_json(const Json &json) {
  auto started = task_set_from_json(member(json, stored::kStarted));
  auto finished = task_set_from_json(member(json, stored::kFinished));
  if (!started || !finished) return std::nullopt;
  ProgressRecord progress;
  progress.started = std::move(*started);
  progress.finished = std::move(*finished);
  progress.failed_on = static_cast<std::uint32_t>(capped_count(member(json, stored::kFailedOn), kMaxFailedMachines));
  if (!read_usage(json, progress)) return std::nullopt;
  progress.delegated_here = read_count(member(json, stored::kDelegatedHere)).value_or(0);
  if (!read_delegations(json, progress)) return std::nullopt;
  return progress;
}

bool add_job(std::string_view job_id, const Json &json, ProgressShard &shard) {
  auto progress = progress_record_from_json(json);
  if (!progress) return false;
  shard.jobs.emplace_back(std::string(job_id), std::move(*progress));
  return true;
}

bool read_sums(const Json &json, ProgressShard &shard) {
  const Json &sums = member(json, stored::kShardSums);
  if (sums.is_null()) return true;
  auto decoded_sums = sums_from_json(sums);
  if (!decoded_sums) return false;
  shard.sums = std::move(*decoded_sums);
  return true;
}

} // namespace

Json to_json(const ProgressRecord &progress) {
  Json json = {{stored::kStarted, task_set_to_json(progress.started)},
               {stored::kFinished, task_set_to_json(progress.finished)}};
  if (progress.failed_on) json[stored::kFailedOn] = progress.failed_on;
  if (progress.at_ms) {
    json[stored::kProgressUsage] = accounts::pack(progress.usage);
    json[stored::kRunningMs] = progress.running_ms;
    json[stored::kWrittenAtMs] = progress.at_ms;
  }
  if (progress.delegated_here) json[stored::kDelegatedHere] = progress.delegated_here;
  for (const auto &delegation : progress.delegations)
    json[stored::kDelegations].push_back(to_json(delegation));
  return json;
}

Json to_json(const SumsByTeam &sums) {
  Json json = Json::object();
  for (const auto &[period_and_team, row] : sums) {
    const auto &[period, team] = period_and_team;
    json[period][team] = accounts::pack(row);
  }
  return json;
}

std::optional<SumsByTeam> sums_from_json(const Json &json) {
  if (!json.is_object()) return std::nullopt;
  SumsByTeam sums;
  for (const auto &[period, teams] : json.items()) {
    if (!teams.is_object()) return std::nullopt;
    for (const auto &[team, packed] : teams.items()) {
      const auto text = read_text(packed, kMaxPackedSumsBytes);
      const auto row = text ? accounts::unpack<accounts::kSumColumns>(*text) : std::nullopt;
      if (!row) return std::nullopt;
      sums[{period, team}] = *row;
    }
  }
  return sums;
}

Json progress_shard(std::vector<std::pair<std::string, Json>> records_by_job, const SumsByTeam &sums) {
  Json jobs = Json::object();
  for (auto &entry : records_by_job)
    jobs[entry.first] = std::move(entry.second);
  Json json = {{stored::kShardJobs, std::move(jobs)}};
  if (!sums.empty()) {
    json[stored::kShardVersion] = kCurrentShardVersion;
    json[stored::kShardSums] = to_json(sums);
  }
  return json;
}

std::optional<ProgressShard> progress_from_json(std::string_view key, const Json &json) {
  if (read_count(member(json, stored::kShardVersion)).value_or(kFirstShardVersion) > kCurrentShardVersion)
    return std::nullopt;
  ProgressShard shard;
  if (!read_sums(json, shard)) return std::nullopt;
  const Json &jobs = member(json, stored::kShardJobs);
  if (!jobs.is_object()) { // a single job's record, written by an earlier version
    const auto job_id = key.substr(key.find('/') + 1);
    if (!add_job(job_id, json, shard)) return std::nullopt;
    return shard;
  }
  for (const auto &[job_id, progress] : jobs.items())
    if (!add_job(job_id, progress, shard)) return std::nullopt;
  return shard;
}

} // namespace loftrouter::wire
