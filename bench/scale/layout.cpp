#include "layout.hpp"

#include <fmt/format.h>

namespace loftrouter::scale {

namespace {
constexpr int kNodesAPort = 5; // room for the controllers of a region
constexpr int kCloudPorts = 10, kApiPorts = 20, kPeerPorts = 50, kRelayPorts = 100, kWorkerPort = 240;
constexpr int kDescriptors = 18'000;
constexpr double kMemoryMb = 4096;
// Spot machines are not cheaper, so that the controllers have no reason to give ordinary ones back for them.
constexpr double kPrice = 0.2, kSpotPrice = kPrice, kCacheGb = 200;

std::string local(int port) {
  return fmt::format("127.0.0.1:{}", port);
}
} // namespace

int Layout::worker_port() const {
  return base_port + kWorkerPort;
}
std::string Layout::state(int region) const {
  return local(base_port + region);
}
std::string Layout::cloud(int region) const {
  return local(base_port + kCloudPorts + region);
}
ControllerAddress Layout::controller(int region, int node) const {
  return {fmt::format("{}-{}", region_name(region), node), local(base_port + kApiPorts + region * kNodesAPort + node)};
}
std::string Layout::peer(int region, int node) const {
  return local(base_port + kPeerPorts + region * kNodesAPort + node);
}
std::string Layout::relay(int from, int to, int node) const {
  return local(base_port + kRelayPorts + (from * kNodesAPort + to) * kNodesAPort + node);
}

std::vector<std::vector<ControllerAddress>> Layout::controllers(const Scenario &s) const {
  std::vector<std::vector<ControllerAddress>> out(static_cast<std::size_t>(s.regions));
  for (int r = 0; r < s.regions; ++r)
    for (int k = 0; k < s.controllers_per_region; ++k)
      out[static_cast<std::size_t>(r)].push_back(controller(r, k));
  return out;
}

std::vector<LinkAddress> Layout::links(const Scenario &s) const {
  std::vector<LinkAddress> out;
  for (int from = 0; from < s.regions; ++from)
    for (int to = 0; to < s.regions; ++to)
      for (int k = 0; from != to && k < s.controllers_per_region; ++k)
        out.push_back({from, to, relay(from, to, k), peer(to, k)});
  return out;
}

std::string Layout::settings(const Scenario &s, const Workload &workload, int region, int node) const {
  using Json = nlohmann::json;
  Json replicas = Json::array(), zones = Json::array(), teams = Json::array();
  for (int k = 0; k < s.controllers_per_region; ++k)
    if (k != node)
      replicas.push_back({{"node_name", controller(region, k).node},
                          {"site", s.zone_name(region, k % s.zones_per_region)},
                          {"address", peer(region, k)}});
  for (int z = 0; z < s.zones_per_region; ++z)
    zones.push_back(s.zone_name(region, z));
  for (const auto &t : workload.teams())
    teams.push_back({{"name", t.name}, {"cpus", t.cpus}, {"cpus_max", t.cpus_max}, {"gpus", 0.0}, {"gpus_max", 0.0}});
  const Json out = {{"node_name", controller(region, node).node},
                    {"site", s.zone_name(region, node % s.zones_per_region)},
                    {"api_addr", controller(region, node).api},
                    {"peer_listen", peer(region, node)},
                    {"siblings", replicas},
                    {"outside", {{"cloud", cloud(region)}, {"state", state(region)}}},
                    {"settings",
                     {{"size", s.controllers_per_region},
                      {"zones", zones},
                      {"teams", teams},
                      {"objectives", Json::array()},
                      {"workers",
                       {{"report_s", s.heartbeat_interval_s},
                        {"lease_s", s.lease_s},
                        {"gang_wait_s", s.gang_wait_s},
                        {"gang_peer_s", s.gang_peer_s},
                        {"cancel_s", s.cancel_s}}},
                      {"state",
                       {{"rps", s.state_requests_per_s},
                        {"write_rps", s.state_changes_per_s},
                        {"value_kb", s.state_value_kb},
                        {"txn_ops", s.state_transaction_changes}}},
                      {"cloud", {{"rps", s.cloud_requests_per_s}, {"list_lag_s", s.cloud_list_lag_s}}},
                      {"limits", {{"cpu_share", 1.0}, {"memory_mb", kMemoryMb}, {"fd_limit", kDescriptors}}},
                      {"time_bound_ms", 5.0}}}};
  return out.dump(1);
}

std::string Layout::features(const Scenario &s, int region) const {
  std::string out = fmt::format("[accounts]\nenabled = true\n[configuration]\nenabled = true\n[cells]\nname = \"{}\"\n",
                                region_name(region));
  for (int other = 0; other < s.regions; ++other) {
    if (other == region) continue;
    out += fmt::format("[[cells.other]]\nname = \"{}\"\nnodes = [", region_name(other));
    for (int k = 0; k < s.controllers_per_region; ++k)
      out += fmt::format("\"{}\", ", relay(region, other, k));
    out += "]\n";
  }
  return out;
}

std::vector<MachineType> machine_types(const Scenario &s, int region) {
  std::vector<std::string> zones;
  for (int z = 0; z < s.zones_per_region; ++z)
    zones.push_back(s.zone_name(region, z));
  std::vector<MachineType> out;
  for (const auto &t : s.types)
    out.push_back({t.name,
                   {t.cpus, 0, t.memory_gb},
                   kCacheGb,
                   s.fetch_gb_per_s,
                   kPrice * t.cpus,
                   kSpotPrice * t.cpus,
                   s.boot_s,
                   zones});
  return out;
}

} // namespace loftrouter::scale
