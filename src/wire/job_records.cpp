#include "loftrouter/wire/job_records.hpp"

#include "json_fields.hpp"
#include "loftrouter/wire/job.hpp"
#include "protocol_names.hpp"
#include "task_sets.hpp"

namespace loftrouter::wire {

namespace {

constexpr std::size_t kMaxReasonBytes = 1000;
constexpr double kMaxCpusOrGpus = 1e6; // per task
constexpr double kMaxMemoryGb = 1e9;   // per task

Json to_json(const DelegationSource &source) {
  return {{stored::kOriginCell, source.origin},
          {stored::kDelegationGeneration, source.generation},
          {stored::kDelegatedTasks, task_set_to_json(source.tasks)}};
}

std::optional<DelegationSource> delegation_source_from_json(const Json &json) {
  auto origin = read_text(member(json, stored::kOriginCell));
  const auto generation = read_count(member(json, stored::kDelegationGeneration));
  auto tasks = task_set_from_json(member(json, stored::kDelegatedTasks));
  if (!origin || !generation || !tasks) return std::nullopt;
  return DelegationSource{std::move(*origin), *generation, std::move(*tasks)};
}

// Reads usage and need only if both are present, as neither is meaningful alone.
void read_usage(const Json &json, EndRecord &end) {
  const auto usage = read_text(member(json, stored::kUsage));
  const Json &need = member(json, stored::kNeed);
  if (!usage || !need.is_array() || need.size() != 3) return;
  end.usage = accounts::unpack<accounts::kUsageColumns>(*usage);
  end.need.cpus = read_amount(need[0], kMaxCpusOrGpus).value_or(0);
  end.need.gpus = read_amount(need[1], kMaxCpusOrGpus).value_or(0);
  end.need.memory = read_amount(need[2], kMaxMemoryGb).value_or(0);
}

} // namespace

Json to_json(const OpenRecord &record) {
  Json json = {{stored::kSpec, to_json(record.spec)}, {stored::kSubmittedAt, record.submit_wall}};
  if (record.cancelled) json[stored::kCancelled] = true;
  if (record.delegated) json[stored::kDelegationSource] = to_json(*record.delegated);
  return json;
}

std::optional<OpenRecord> open_from_json(const Json &json) {
  auto spec = job_from_json(member(json, stored::kSpec));
  const auto submitted_at = read_amount(member(json, stored::kSubmittedAt), kMaxWallTimeS);
  if (!std::holds_alternative<JobSpec>(spec) || !submitted_at) return std::nullopt;
  OpenRecord record;
  record.spec = std::move(std::get<JobSpec>(spec));
  record.submit_wall = *submitted_at;
  record.cancelled = member(json, stored::kCancelled).is_boolean(); // written only when it is true
  if (const Json &source = member(json, stored::kDelegationSource); !source.is_null()) {
    record.delegated = delegation_source_from_json(source);
    if (!record.delegated) return std::nullopt;
  }
  return record;
}

Json to_json(const EndRecord &end) {
  Json json = {{stored::kCancelled, end.cancelled},
               {stored::kTaskCount, end.tasks},
               {stored::kJobClass, end.job_class},
               {stored::kTeam, end.team},
               {stored::kSubmittedAt, end.submit_wall},
               {stored::kEndedAt, end.end_wall},
               {stored::kLate, end.late}};
  if (!end.reason.empty()) json[stored::kReason] = end.reason;
  if (end.usage) {
    json[stored::kUsage] = accounts::pack(*end.usage);
    json[stored::kNeed] = {end.need.cpus, end.need.gpus, end.need.memory};
  }
  return json;
}

std::optional<EndRecord> end_from_json(const Json &json) {
  const Json &cancelled = member(json, stored::kCancelled);
  const auto tasks = read_count(member(json, stored::kTaskCount));
  if (!cancelled.is_boolean() || !tasks) return std::nullopt;
  EndRecord end;
  end.cancelled = cancelled.get<bool>();
  end.tasks = static_cast<std::uint32_t>(*tasks);
  end.job_class = read_text(member(json, stored::kJobClass)).value_or("");
  end.team = read_text(member(json, stored::kTeam)).value_or("");
  end.submit_wall = read_amount(member(json, stored::kSubmittedAt), kMaxWallTimeS).value_or(0);
  end.end_wall = read_amount(member(json, stored::kEndedAt), kMaxWallTimeS).value_or(0);
  end.late = read_flag(member(json, stored::kLate));
  end.reason = read_text(member(json, stored::kReason), kMaxReasonBytes).value_or("");
  read_usage(json, end);
  return end;
}

Json final_json(const EndRecord &end) {
  return {{stored::kFinal, to_json(end)}};
}

std::optional<EndRecord> final_from_json(const Json &json) {
  return end_from_json(member(json, stored::kFinal));
}

} // namespace loftrouter::wire
