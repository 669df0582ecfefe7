#include "loftrouter/wire/cloud_api.hpp"

#include "json_fields.hpp"
#include "protocol_names.hpp"

namespace loftrouter::wire {

namespace {

constexpr DecodeLimits kReplyLimits{32, 2'000'000}; // depth, items; replies have no limit in bytes
constexpr double kDefaultBootS = 60;                // if a type has no boot time

std::optional<MachineType> type_from_json(const Json &json) {
  MachineType type;
  const Json &zones = member(json, field::kZones);
  FieldReader reader(json);
  reader.text(field::kTypeName, type.name);
  reader.amount(field::kCpus, type.size.cpus);
  reader.amount(field::kMemoryGb, type.size.memory);
  if (reader.refused() || !zones.is_array()) return std::nullopt;
  type.size.gpus = read_amount(member(json, field::kGpus)).value_or(0);
  type.cache_gb = read_amount(member(json, field::kCacheGb)).value_or(0);
  type.fetch_gb_per_s = read_amount(member(json, field::kFetchRate)).value_or(0);
  type.price = read_amount(member(json, field::kPrice)).value_or(0);
  type.spot_price = read_amount(member(json, field::kSpotPrice)).value_or(type.price);
  type.boot_s = read_amount(member(json, field::kBootS)).value_or(kDefaultBootS);
  for (const auto &zone : zones)
    if (auto name = read_text(zone)) type.zones.push_back(std::move(*name));
  return type;
}

Json to_json(const MachineType &type) {
  return {{field::kTypeName, type.name},    {field::kCpus, type.size.cpus},
          {field::kGpus, type.size.gpus},   {field::kMemoryGb, type.size.memory},
          {field::kCacheGb, type.cache_gb}, {field::kFetchRate, type.fetch_gb_per_s},
          {field::kPrice, type.price},      {field::kSpotPrice, type.spot_price},
          {field::kBootS, type.boot_s},     {field::kZones, type.zones}};
}

MachineStatus parse_machine_status(std::string_view text) {
  if (text == spelling::kMachineFailed) return MachineStatus::Failed;
  if (text == spelling::kMachineRunning) return MachineStatus::Running;
  return MachineStatus::Booting;
}

std::optional<ListedMachine> machine_from_json(const Json &json) {
  ListedMachine machine;
  std::string status;
  FieldReader reader(json);
  reader.text(field::kId, machine.name);
  reader.text(field::kMachineType, machine.type);
  reader.text(field::kZone, machine.zone);
  reader.text(field::kState, status);
  if (reader.refused()) return std::nullopt;
  machine.address = read_text(member(json, field::kAddress)).value_or("");
  machine.spot = read_flag(member(json, field::kSpot));
  machine.status = parse_machine_status(status);
  machine.age_s = read_amount(member(json, field::kAgeS)).value_or(0);
  return machine;
}

void read_machine_list(const Json &json, CloudReply &reply) {
  for (const auto &element : member(json, field::kMachines))
    if (auto machine = machine_from_json(element)) reply.machines.push_back(std::move(*machine));
  reply.more = read_flag(member(json, field::kMore));
}

void read_rented_machines(const Json &json, CloudReply &reply) {
  for (const auto &element : member(json, field::kMachines))
    if (auto name = read_text(element)) reply.names.push_back(std::move(*name));
}

void read_machine_types(const Json &json, CloudReply &reply) {
  auto types = types_from_json(json);
  if (types)
    reply.types = std::move(*types);
  else
    reply.status = 0;
}

} // namespace

Json to_json(const std::vector<MachineType> &types) {
  Json list = Json::array();
  for (const auto &type : types)
    list.push_back(to_json(type));
  return {{field::kMachineTypes, std::move(list)}};
}

std::optional<std::vector<MachineType>> types_from_json(const Json &json) {
  const Json &list = member(json, field::kMachineTypes);
  if (!list.is_array()) return std::nullopt;
  std::vector<MachineType> types;
  for (const auto &element : list) {
    auto type = type_from_json(element);
    if (!type) return std::nullopt;
    types.push_back(std::move(*type));
  }
  return types;
}

std::string encode_scale_out(std::string_view request_name, std::string_view type, std::string_view zone, bool spot,
                             int count) {
  return encode({{field::kRequestName, request_name},
                 {field::kMachineType, type},
                 {field::kZone, zone},
                 {field::kSpot, spot},
                 {field::kMachineCount, count}});
}

std::string encode_scale_in(const std::vector<std::string> &names) {
  return encode({{field::kMachines, names}});
}

CloudReply decode_cloud_reply(CloudCall call, int status, std::string_view body) {
  CloudReply reply;
  reply.status = status;
  const auto json = body.empty() ? std::nullopt : decode(body, kReplyLimits);
  if (!json || !json->is_object()) {
    reply.undecodable = !body.empty();
    // A scale-in reply has no body that matters.
    if (status == 200 && call != CloudCall::ScaleIn) reply.status = 0;
    return reply;
  }
  if (status == 503) reply.no_capacity = member(*json, field::kError) == spelling::kNoCapacity;
  if (status != 200) return reply;
  switch (call) {
  case CloudCall::MachineTypes:
    read_machine_types(*json, reply);
    break;
  case CloudCall::ListMachines:
    read_machine_list(*json, reply);
    break;
  case CloudCall::ScaleOut:
    read_rented_machines(*json, reply);
    break;
  case CloudCall::ScaleIn:
    break;
  }
  return reply;
}

} // namespace loftrouter::wire
