#include "loftrouter/app/settings.hpp"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "loftrouter/net/loop.hpp"

namespace loftrouter::app {

namespace {

using Json = nlohmann::json;

struct Bad : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A place in the file that knows its own name.
struct At {
  const Json &j;
  std::string path;

  At operator[](const char *name) const {
    if (!j.is_object()) throw Bad(fmt::format("{}: must be a map", path));
    auto it = j.find(name);
    std::string full = path.empty() ? name : path + "." + name;
    if (it == j.end()) throw Bad(fmt::format("{}: missing", full));
    return {*it, full};
  }
  bool has(const char *name) const { return j.is_object() && j.contains(name) && !j.at(name).is_null(); }
  std::string text() const {
    if (!j.is_string() || j.get_ref<const std::string &>().empty()) throw Bad(fmt::format("{}: must be text", path));
    return j.get<std::string>();
  }
  std::string address() const {
    auto t = text();
    if (!net::parse_address(t)) throw Bad(fmt::format("{}: must be an IPv4 address and port", path));
    return t;
  }
  double number(double min, double max) const {
    double v = j.is_number() ? j.get<double>() : NAN;
    if (!(v >= min && v <= max)) throw Bad(fmt::format("{}: must be a number from {} to {}", path, min, max));
    return v;
  }
  template <class F> void each(F f) const {
    if (!j.is_array()) throw Bad(fmt::format("{}: must be a list", path));
    for (std::size_t i = 0; i < j.size(); ++i)
      f(At{j[i], fmt::format("{}[{}]", path, i)});
  }
};

Settings read(const At &root) {
  Settings settings;
  settings.node = root["node_name"].text();
  settings.zone = root["site"].text();
  settings.listen = root["api_addr"].address();
  settings.peer_listen = root["peer_listen"].address();
  root["siblings"].each([&](At a) {
    settings.replicas.push_back({a["node_name"].text(), a["site"].text(), a["address"].address()});
  });
  settings.cloud_address = root["outside"]["cloud"].address();
  settings.state_address = root["outside"]["state"].address();
  auto set = root["settings"];
  set["zones"].each([&](At a) { settings.zones.push_back(a.text()); });
  set["teams"].each([&](At a) {
    Team team;
    team.name = a["name"].text();
    team.cpus = a["cpus"].number(0, 1e9);
    team.cpus_max = a["cpus_max"].number(0, 1e9);
    team.gpus = a["gpus"].number(0, 1e9);
    team.gpus_max = a["gpus_max"].number(0, 1e9);
    settings.teams.push_back(std::move(team));
  });
  if (set.has("objectives"))
    set["objectives"].each([&](At a) {
      Objective objective;
      objective.kind = a["kind"].text();
      if (a.has("class")) objective.job_class = a["class"].text();
      if (a.has("within_s")) objective.within_s = a["within_s"].number(0, 1e9);
      if (a.has("share")) objective.share = a["share"].number(0, 1);
      if (a.has("times")) objective.times = a["times"].number(0, 1e6);
      settings.objectives.push_back(std::move(objective));
    });
  auto w = set["workers"];
  settings.heartbeat_interval_s = w["report_s"].number(0.01, 3600);
  settings.lease_s = w["lease_s"].number(0.1, 86400);
  settings.gang_wait_s = w["gang_wait_s"].number(0, 86400);
  settings.gang_peer_s = w["gang_peer_s"].number(0, 86400);
  settings.cancel_s = w["cancel_s"].number(0, 86400);
  auto st = set["state"];
  settings.state_rps = st["rps"].number(1, 1e7);
  settings.state_write_rps = st["write_rps"].number(0.5, 1e7);
  settings.state_value_kb = st["value_kb"].number(1, 1e6);
  settings.state_txn_ops = static_cast<int>(st["txn_ops"].number(2, 10000));
  if (st.has("next")) {
    auto next = st["next"];
    if (!next.j.is_object()) throw Bad("settings.state.next: must be a map");
    if (next.has("value_kb"))
      settings.state_value_kb = std::min(settings.state_value_kb, next["value_kb"].number(1, 1e6));
    if (next.has("txn_ops"))
      settings.state_txn_ops = std::min(settings.state_txn_ops, static_cast<int>(next["txn_ops"].number(2, 10000)));
    if (next.has("rps")) settings.state_next_rps = next["rps"].number(1, 1e7);
    if (next.has("write_rps")) settings.state_next_write_rps = next["write_rps"].number(0.5, 1e7);
  }
  auto c = set["cloud"];
  settings.cloud_rps = c["rps"].number(0.1, 1e6);
  settings.cloud_list_lag_s = c["list_lag_s"].number(0, 3600);
  auto l = set["limits"];
  settings.cpu_share = l["cpu_share"].number(0, 1e4);
  settings.memory_mb = l["memory_mb"].number(1, 1e7);
  settings.fd_limit = static_cast<int>(l["fd_limit"].number(32, 1e7));
  if (set.has("time_bound_ms")) settings.clock_bound_ms = set["time_bound_ms"].number(0, 1e7);
  return settings;
}

} // namespace

std::variant<Settings, std::string> parse_settings(const std::string &text) {
  Json json = Json::parse(text, nullptr, false);
  if (json.is_discarded()) return std::string("the file is not JSON");
  try {
    return read(At{json, ""});
  } catch (const Bad &e) {
    return std::string(e.what());
  }
}

std::variant<Settings, std::string> load_settings(const std::string &path) {
  std::ifstream in(path);
  if (!in) return fmt::format("{}: cannot be read", path);
  std::stringstream text;
  text << in.rdbuf();
  return parse_settings(text.str());
}

} // namespace loftrouter::app
