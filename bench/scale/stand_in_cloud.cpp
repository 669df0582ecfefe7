#include "stand_in_cloud.hpp"

#include <algorithm>
#include <stdexcept>

namespace loftrouter::scale {

namespace {
constexpr double kTick = 0.2;            // s, between looks for machines that have booted
constexpr double kFailedShownAfter = 30; // s, for which a machine that has stopped is still listed as running
constexpr std::size_t kMaxListed = 500, kMaxRented = 50;
} // namespace

CloudStandIn::CloudStandIn(net::Loop &loop, const std::string &address, CloudLimits limits,
                           std::vector<MachineType> types, Told told)
    : loop_(loop), limits_(limits), types_(std::move(types)), told_(std::move(told)), tick_(loop, [this] { tick(); }),
      requests_(limits.requests_per_s, 2 * limits.requests_per_s) {
  std::string error;
  auto listener = net::listen_on(*net::parse_address(address), error);
  if (!listener) throw std::runtime_error(address + ": " + error);
  server_ = std::make_unique<net::HttpServer>(loop_, std::move(listener), net::HttpServer::Options{},
                                              [this](net::ConnId id, net::HttpMessage &&m) { on_request(id, m); });
  tick_.once(kTick);
}

void CloudStandIn::add_running(const Machine &m) {
  const double long_ago = net::mono_now() - 3600;
  rented_[m.name] = {m, long_ago, long_ago};
}

void CloudStandIn::fail(const std::string &name) {
  if (const auto it = rented_.find(name); it != rented_.end()) it->second.failed_at = net::mono_now();
}

void CloudStandIn::tick() {
  tick_.once(kTick);
  const double now = net::mono_now();
  std::erase_if(booting_, [&](const std::string &name) {
    const auto it = rented_.find(name);
    if (it == rented_.end()) return true;
    if (now < it->second.up_at) return false;
    told_(name, true);
    return true;
  });
}

void CloudStandIn::answer(net::ConnId id, int status, const Json &body) {
  server_->respond(id, status, wire::encode(body));
}

void CloudStandIn::on_request(net::ConnId id, const net::HttpMessage &m) {
  ++counters_.requests;
  if (!requests_.take(net::mono_now())) {
    ++counters_.refused;
    return answer(id, 429, {{"error", "too many requests"}});
  }
  const auto path = m.target.substr(0, m.target.find('?'));
  if (path == "/machine_types") return answer(id, 200, types_json());
  if (path == "/machines" && m.method == "GET") return answer(id, 200, list(m.target));
  const auto body = wire::decode(m.body);
  if (!body || !body->is_object()) return answer(id, 400, {{"error", "malformed"}});
  if (path == "/machines") return rent(id, *body);
  if (path != "/machines/return") return answer(id, 400, {{"error", "no such path"}});
  give_back(*body);
  answer(id, 200, Json::object());
}

CloudStandIn::Json CloudStandIn::types_json() const {
  Json out = Json::array();
  for (const auto &t : types_)
    out.push_back({{"sku", t.name},
                   {"cores", t.size.cpus},
                   {"cards", t.size.gpus},
                   {"ram_gb", t.size.memory},
                   {"local_gb", t.cache_gb},
                   {"pull_gb_per_s", t.fetch_gb_per_s},
                   {"rate", t.price},
                   {"spot_price", t.spot_price},
                   {"startup_s", t.boot_s},
                   {"yards", t.zones}});
  return {{"hulls", std::move(out)}};
}

CloudStandIn::Json CloudStandIn::list(const std::string &target) const {
  const auto at = target.find("from=");
  const auto from = at == std::string::npos ? "" : target.substr(at + 5, target.find('&', at) - at - 5);
  const double now = net::mono_now();
  Json out = Json::array();
  bool truncated = false;
  for (auto it = rented_.upper_bound(from); it != rented_.end(); ++it) {
    const auto &r = it->second;
    if (now < r.since + limits_.list_lag_s) continue;
    if (out.size() >= kMaxListed) {
      truncated = true;
      break;
    }
    const bool failed = r.failed_at > 0 && now > r.failed_at + kFailedShownAfter;
    out.push_back({{"id", it->first},
                   {"address", r.machine.address},
                   {"hull", r.machine.type},
                   {"yard", r.machine.zone},
                   {"standby", false},
                   {"status", failed          ? "failed"
                              : now < r.up_at ? "starting"
                                              : "running"},
                   {"age_s", now - r.since}});
  }
  return {{"boxes", std::move(out)}, {"truncated", truncated}};
}

void CloudStandIn::rent(net::ConnId id, const Json &body) {
  const auto request = body.value("hire", std::string());
  if (const auto it = answered_.find(request); it != answered_.end()) return answer(id, 200, it->second);
  const auto type = body.value("hull", std::string()), zone = body.value("yard", std::string());
  const auto spare = spare_.find({type, zone});
  if (body.value("standby", false) || spare == spare_.end() || spare->second.empty())
    return answer(id, 503, {{"error", "no capacity"}});
  const auto known = std::find_if(types_.begin(), types_.end(), [&](const auto &t) { return t.name == type; });
  const auto wanted = std::min<std::size_t>(kMaxRented, body.value("number", 1U));
  Json names = Json::array();
  while (names.size() < wanted && !spare->second.empty()) {
    Machine m = std::move(spare->second.back());
    spare->second.pop_back();
    names.push_back(m.name);
    booting_.push_back(m.name);
    const double now = net::mono_now();
    rented_[m.name] = {m, now, now + known->boot_s};
    ++counters_.rented;
  }
  answered_[request] = {{"boxes", std::move(names)}};
  answer(id, 200, answered_[request]);
}

void CloudStandIn::give_back(const Json &body) {
  if (!body.contains("boxes")) return;
  for (const auto &name : body["boxes"]) {
    if (!name.is_string() || rented_.erase(name.get<std::string>()) == 0) continue;
    ++counters_.returned;
    told_(name.get<std::string>(), false);
  }
}

} // namespace loftrouter::scale
