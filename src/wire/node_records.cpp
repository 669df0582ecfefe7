#include "loftrouter/wire/node_records.hpp"

#include <algorithm>
#include <limits>

#include "json_fields.hpp"
#include "protocol_names.hpp"

namespace loftrouter::wire {

Json to_json(const LeaderRecord &record) {
  return {{stored::kLeaderNode, record.node}, {stored::kLeaderNonce, record.nonce}};
}

std::optional<LeaderRecord> leader_from_json(const Json &json) {
  auto node = read_text(member(json, stored::kLeaderNode));
  const auto nonce = read_count(member(json, stored::kLeaderNonce));
  if (!node || !nonce) return std::nullopt;
  return LeaderRecord{std::move(*node), *nonce};
}

Json to_json(const ConnectivityRecord &connectivity) {
  return {{stored::kWorkers, spelling::kWorkerReachability[connectivity.workers]},
          {stored::kMachines, connectivity.machines},
          {stored::kLastHeartbeatAgeS, connectivity.last_heartbeat_age_s},
          {stored::kForwardableHeartbeatAgeS, connectivity.last_forwardable_heartbeat_age_s},
          {stored::kCloud, spelling::kProviderHealth[connectivity.cloud]}};
}

Json to_json(const StoredConnectivityRecord &record) {
  Json json = to_json(record.connectivity);
  json[stored::kObservedAt] = record.recorded_at_wall;
  return json;
}

std::optional<StoredConnectivityRecord> connectivity_from_json(const Json &json) {
  const auto workers = read_spelling(member(json, stored::kWorkers), spelling::kWorkerReachability);
  const auto cloud = read_spelling(member(json, stored::kCloud), spelling::kProviderHealth);
  const auto machines = read_count(member(json, stored::kMachines));
  const auto last_heartbeat_age_s = read_amount(member(json, stored::kLastHeartbeatAgeS), ConnectivityRecord::kMaxAgeS);
  const auto last_forwardable_heartbeat_age_s =
      read_amount(member(json, stored::kForwardableHeartbeatAgeS), ConnectivityRecord::kMaxAgeS);
  const auto recorded_at_wall = read_amount(member(json, stored::kObservedAt), kMaxWallTimeS);
  if (!workers || !cloud || !machines || !last_heartbeat_age_s || !last_forwardable_heartbeat_age_s ||
      !recorded_at_wall)
    return std::nullopt;
  constexpr std::uint64_t max_machines = std::numeric_limits<std::uint16_t>::max();
  const auto capped_machines = static_cast<std::uint16_t>(std::min(*machines, max_machines));
  return StoredConnectivityRecord{
      {*workers, capped_machines, *last_heartbeat_age_s, *last_forwardable_heartbeat_age_s, *cloud}, *recorded_at_wall};
}

} // namespace loftrouter::wire
