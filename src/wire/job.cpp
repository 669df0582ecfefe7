#include "loftrouter/wire/job.hpp"

#include <algorithm>

#include <fmt/format.h>

#include "json_fields.hpp"
#include "protocol_names.hpp"

namespace loftrouter::wire {

namespace {

constexpr std::uint64_t kMaxTasks = 100'000;
constexpr std::size_t kMaxMachineTypes = 100;
constexpr std::string_view kJobIdPrefix = "j-";
constexpr std::size_t kMaxJobIdBytes = 40;

void read_id(FieldReader &reader, JobSpec &spec) {
  reader.text(field::kId, spec.id);
  if (!valid_job_id(spec.id)) reader.refuse(field::kId);
}

void read_task_count(FieldReader &reader, const Json &json, JobSpec &spec) {
  const auto tasks = read_count(member(json, field::kTaskCount));
  if (!tasks || *tasks < 1 || *tasks > kMaxTasks) return reader.refuse(field::kTaskCount);
  spec.tasks = static_cast<std::uint32_t>(*tasks);
}

void read_machine_types(FieldReader &reader, JobSpec &spec) {
  const Json *list = reader.optional(field::kMachineTypes);
  if (!list) return;
  if (!list->is_array() || list->size() > kMaxMachineTypes) return reader.refuse(field::kMachineTypes);
  spec.types.emplace();
  for (const auto &element : *list) {
    auto name = read_text(element);
    if (!name) return reader.refuse(field::kMachineTypes);
    spec.types->push_back(std::move(*name));
  }
}

void read_zone(FieldReader &reader, JobSpec &spec) {
  const Json *value = reader.optional(field::kZone);
  if (!value) return;
  spec.zone = read_text(*value);
  if (!spec.zone) reader.refuse(field::kZone);
}

void read_deadline(FieldReader &reader, JobSpec &spec) {
  const Json *value = reader.optional(field::kDeadlineS);
  if (!value) return;
  spec.deadline_s = read_amount(*value);
  if (!spec.deadline_s) reader.refuse(field::kDeadlineS);
}

// Reads the dependencies in order, without duplicates. Rejects a job that depends on itself, as it would never start.
void read_dependencies(FieldReader &reader, JobSpec &spec) {
  const Json *list = reader.optional(field::kDependencies);
  if (!list) return;
  if (!list->is_array() || list->size() > kMaxDependencies) return reader.refuse(field::kDependencies);
  for (const auto &element : *list) {
    auto dependency = read_text(element);
    if (!dependency || !valid_job_id(*dependency) || *dependency == spec.id) return reader.refuse(field::kDependencies);
    if (std::find(spec.dependencies.begin(), spec.dependencies.end(), *dependency) == spec.dependencies.end())
      spec.dependencies.push_back(std::move(*dependency));
  }
}

} // namespace

bool valid_job_id(std::string_view id) {
  if (id.size() <= kJobIdPrefix.size() || id.size() > kMaxJobIdBytes) return false;
  if (!id.starts_with(kJobIdPrefix)) return false;
  id.remove_prefix(kJobIdPrefix.size());
  return std::all_of(id.begin(), id.end(), [](char character) { return character >= '0' && character <= '9'; });
}

// The error names the first invalid field in the order read here.
std::variant<JobSpec, FieldError> job_from_json(const Json &json) {
  if (!json.is_object()) return FieldError{"not a map"};
  JobSpec spec;
  FieldReader reader(json);
  read_id(reader, spec);
  reader.text(field::kJobClass, spec.job_class);
  reader.text(field::kTeam, spec.team);
  reader.text(field::kImage, spec.image);
  reader.spelled(field::kShape, spelling::kShapes, spec.shape);
  reader.spelled(field::kPriority, spelling::kPriorities, spec.priority);
  read_task_count(reader, json, spec);
  reader.amount(field::kCpus, spec.need.cpus);
  reader.amount(field::kGpus, spec.need.gpus);
  reader.amount(field::kMemoryGb, spec.need.memory);
  reader.amount(field::kImageGb, spec.image_gb);
  reader.amount(field::kEstimateS, spec.estimate_s);
  reader.amount(field::kCheckpointS, spec.checkpoint_s);
  reader.amount(field::kSaveS, spec.save_s);
  reader.flag(field::kOneZone, spec.one_zone);
  reader.flag(field::kSpread, spec.spread);
  reader.flag(field::kSpot, spec.spot);
  read_machine_types(reader, spec);
  read_zone(reader, spec);
  read_deadline(reader, spec);
  read_dependencies(reader, spec);
  if (reader.refused()) return FieldError{fmt::format("field {} is missing or invalid", reader.refused())};
  return spec;
}

Json to_json(const JobSpec &spec) {
  Json json = {{field::kId, spec.id},
               {field::kJobClass, spec.job_class},
               {field::kTeam, spec.team},
               {field::kShape, spelling::kShapes[spec.shape]},
               {field::kPriority, spelling::kPriorities[spec.priority]},
               {field::kTaskCount, spec.tasks},
               {field::kCpus, spec.need.cpus},
               {field::kGpus, spec.need.gpus},
               {field::kMemoryGb, spec.need.memory},
               {field::kImage, spec.image},
               {field::kImageGb, spec.image_gb},
               {field::kOneZone, spec.one_zone},
               {field::kSpread, spec.spread},
               {field::kSpot, spec.spot},
               {field::kEstimateS, spec.estimate_s},
               {field::kCheckpointS, spec.checkpoint_s},
               {field::kSaveS, spec.save_s}};
  if (spec.types) json[field::kMachineTypes] = *spec.types;
  if (spec.zone) json[field::kZone] = *spec.zone;
  if (spec.deadline_s) json[field::kDeadlineS] = *spec.deadline_s;
  if (!spec.dependencies.empty()) json[field::kDependencies] = spec.dependencies;
  return json;
}

std::variant<JobSpec, FieldError> decode_job(std::string_view body) {
  const auto json = decode(body);
  if (!json) return FieldError{"body is not CBOR"};
  return job_from_json(*json);
}

std::string encode_job_view(const JobView &view) {
  Json json = {{field::kId, view.id},
               {field::kState, spelling::kJobStates[view.state]},
               {field::kTasksDone, view.done},
               {field::kTasksRunning, view.running}};
  if (!view.reason.empty()) json[field::kPendingReason] = view.reason;
  return encode(json);
}

std::string encode_accepted(std::string_view id, JobState state) {
  return encode({{field::kId, id}, {field::kState, spelling::kJobStates[state]}});
}

std::string encode_error(std::string_view text) {
  return encode({{field::kError, text}});
}

} // namespace loftrouter::wire
