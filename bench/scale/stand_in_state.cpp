#include "stand_in_state.hpp"

#include <algorithm>
#include <stdexcept>

namespace loftrouter::scale {

namespace {
constexpr double kTick = 0.02;              // s, between looks for leases and watches whose time is over
constexpr std::size_t kMaxHistory = 10'000; // changes that a watch may be behind
constexpr std::size_t kMaxEntries = 1'000, kMaxListBytes = 512 * 1024;

std::string query(const std::string &target, const std::string &name) {
  const auto begin = target.find('?');
  auto at = begin == std::string::npos ? begin : target.find(name + "=", begin);
  if (at == std::string::npos) return {};
  at += name.size() + 1;
  return target.substr(at, target.find('&', at) - at);
}

std::uint64_t number(const std::string &text, std::uint64_t otherwise) {
  return text.empty() || text.find_first_not_of("0123456789") != std::string::npos ? otherwise : std::stoull(text);
}
} // namespace

StateStandIn::StateStandIn(net::Loop &loop, const std::string &address, StateLimits limits)
    : loop_(loop), limits_(limits), tick_(loop, [this] { tick(); }), send_(loop, [this] { send_due(); }),
      requests_(limits.requests_per_s, limits.requests_per_s), changes_(limits.changes_per_s, limits.changes_per_s) {
  std::string error;
  auto listener = net::listen_on(*net::parse_address(address), error);
  if (!listener) throw std::runtime_error(address + ": " + error);
  net::HttpServer::Options options;
  options.max_connections = 500;
  server_ = std::make_unique<net::HttpServer>(loop_, std::move(listener), options,
                                              [this](net::ConnId id, net::HttpMessage &&m) { on_request(id, m); });
  tick_.once(kTick);
}

void StateStandIn::answer(net::ConnId id, int status, const Json &body) {
  auto bytes = wire::encode(body);
  counters_.bytes_out += bytes.size();
  if (limits_.latency_s <= 0) return server_->respond(id, status, bytes);
  answers_.push_back({net::mono_now() + limits_.latency_s, id, status, std::move(bytes)});
  if (answers_.size() == 1) send_.once(limits_.latency_s);
}

void StateStandIn::send_due() {
  const double now = net::mono_now();
  while (!answers_.empty() && answers_.front().due <= now) {
    auto a = std::move(answers_.front());
    answers_.pop_front();
    server_->respond(a.connection, a.status, a.body);
  }
  if (!answers_.empty()) send_.once(std::max(0.0005, answers_.front().due - now));
}

void StateStandIn::tick() {
  tick_.once(kTick);
  const double now = net::mono_now();
  std::vector<std::uint64_t> over;
  for (const auto &[id, l] : leases_)
    if (now >= l.ends) over.push_back(id);
  for (auto id : over)
    end_lease(id);
  serve_watches();
}

void StateStandIn::serve_watches() {
  const double now = net::mono_now();
  std::erase_if(watches_, [&](const Watch &w) {
    Json events = Json::array();
    const auto first = std::upper_bound(history_.begin(), history_.end(), w.from,
                                        [](std::uint64_t from, const Change &c) { return from < c.revision; });
    for (auto it = first; it != history_.end(); ++it)
      if (it->key.starts_with(w.prefix)) events.push_back(it->event);
    if (events.empty() && now < w.until) return false;
    answer(w.connection, 200, {{"epoch", revision_}, {"events", std::move(events)}});
    return true;
  });
}

void StateStandIn::set(const std::string &key, const Json *value, std::uint64_t lease) {
  if (const auto it = keys_.find(key); it != keys_.end()) counters_.value_bytes -= it->second.bytes;
  Json event;
  if (value) {
    const auto bytes = value->dump().size();
    counters_.value_bytes += bytes;
    keys_[key] = {*value, revision_, lease, bytes};
    event = {{"set", key}, {"v", *value}, {"stamp", revision_}};
  } else {
    keys_.erase(key);
    event = {{"drop", key}, {"stamp", revision_}};
  }
  history_.push_back({revision_, key, std::move(event)});
  if (history_.size() > kMaxHistory) history_.pop_front();
  counters_.keys = keys_.size();
}

void StateStandIn::end_lease(std::uint64_t id) {
  leases_.erase(id);
  std::vector<std::string> gone;
  for (const auto &[name, key] : keys_)
    if (key.lease == id) gone.push_back(name);
  if (gone.empty()) return;
  ++revision_;
  for (const auto &name : gone)
    set(name, nullptr, 0);
  serve_watches();
}

void StateStandIn::on_request(net::ConnId id, const net::HttpMessage &m) {
  ++counters_.requests;
  counters_.bytes_in += m.body.size() + m.target.size();
  if (!requests_.take(net::mono_now())) {
    ++counters_.refused_requests;
    return answer(id, 429, {{"error", "too many requests"}});
  }
  const auto path = m.target.substr(0, m.target.find('?'));
  auto body = wire::decode(m.body).value_or(Json::object());
  if (path == "/store") return list(id, m.target);
  if (path.starts_with("/store/")) return get(id, path.substr(7));
  if (path == "/commit") return commit(id, body);
  if (path == "/follow") return follow(id, m.target);
  if (path.starts_with("/leases")) return lease(id, m.method, path, body);
  answer(id, 400, {{"error", "no such path"}});
}

void StateStandIn::list(net::ConnId id, const std::string &target) {
  const auto prefix = query(target, "under"), from = query(target, "from");
  const auto most = std::min<std::size_t>(kMaxEntries, number(query(target, "most"), kMaxEntries));
  Json entries = Json::array();
  std::size_t bytes = 0;
  bool truncated = false;
  for (auto it = from.empty() ? keys_.lower_bound(prefix) : keys_.upper_bound(std::max(from, prefix));
       it != keys_.end() && it->first.starts_with(prefix); ++it) {
    if (entries.size() >= most || bytes + it->second.bytes > kMaxListBytes) {
      truncated = true;
      break;
    }
    bytes += it->second.bytes + it->first.size();
    entries.push_back({{"k", it->first}, {"v", it->second.value}, {"stamp", it->second.mod_revision}});
  }
  answer(id, 200, {{"entries", std::move(entries)}, {"truncated", truncated}, {"epoch", revision_}});
}

void StateStandIn::get(net::ConnId id, const std::string &key) {
  const auto it = keys_.find(key);
  if (it == keys_.end()) return answer(id, 404, {{"epoch", revision_}});
  answer(id, 200,
         {{"k", key}, {"v", it->second.value}, {"stamp", it->second.mod_revision}, {"permit", it->second.lease}});
}

void StateStandIn::commit(net::ConnId id, const Json &body) {
  const Json none = Json::array();
  const Json &preconditions = body.contains("guards") ? body["guards"] : none;
  const Json &writes = body.contains("writes") ? body["writes"] : none;
  const auto changes = static_cast<int>(writes.size());
  if (changes > limits_.transaction_changes ||
      static_cast<int>(preconditions.size()) > 4 * limits_.transaction_changes) {
    ++counters_.too_large;
    return answer(id, 400, {{"error", "too many changes or conditions"}});
  }
  for (const auto &w : writes)
    if (w.contains("set") && static_cast<double>(w["v"].dump().size()) > limits_.value_kb * 1024) {
      ++counters_.too_large;
      return answer(id, 400, {{"error", "value too large"}});
    }
  if (!changes_.take(net::mono_now(), changes)) {
    ++counters_.refused_changes;
    return answer(id, 429, {{"error", "too many changes"}});
  }
  counters_.changes += writes.size();
  for (const auto &w : writes)
    if (w.contains("set") && w.value("permit", 0ULL) != 0 && !leases_.contains(w["permit"].get<std::uint64_t>()))
      return answer(id, 400, {{"error", "no such lease"}});
  Json failed = Json::array();
  for (const auto &g : preconditions) {
    const auto it = keys_.find(g["k"].get<std::string>());
    if ((it == keys_.end() ? 0 : it->second.mod_revision) != g["stamp"].get<std::uint64_t>()) failed.push_back(g["k"]);
  }
  if (!failed.empty()) return answer(id, 409, {{"failed", std::move(failed)}, {"epoch", revision_}});
  if (!writes.empty()) ++revision_;
  for (const auto &w : writes)
    if (w.contains("set"))
      set(w["set"].get<std::string>(), &w["v"], w.value("permit", 0ULL));
    else
      set(w["drop"].get<std::string>(), nullptr, 0);
  answer(id, 200, {{"epoch", revision_}});
  if (!writes.empty()) serve_watches();
}

void StateStandIn::follow(net::ConnId id, const std::string &target) {
  const auto from = number(query(target, "from"), 0);
  if (!history_.empty() && history_.size() >= kMaxHistory && from + 1 < history_.front().revision)
    return answer(id, 410, {{"error", "too old"}});
  const double hold_s = static_cast<double>(std::min<std::uint64_t>(60'000, number(query(target, "hold_ms"), 0))) / 1e3;
  watches_.push_back({id, query(target, "under"), from, net::mono_now() + hold_s});
  serve_watches();
}

void StateStandIn::lease(net::ConnId id, const std::string &method, const std::string &path, const Json &body) {
  if (path == "/leases") {
    const double ttl_s = body.value("ttl_ms", 0.0) / 1000;
    if (ttl_s < 0.1 || ttl_s > 600) return answer(id, 400, {{"error", "ttl_ms"}});
    leases_[++next_lease_] = {ttl_s, net::mono_now() + ttl_s};
    return answer(id, 200, {{"permit", next_lease_}});
  }
  const auto rest = path.substr(std::string("/leases/").size());
  const auto it = leases_.find(number(rest.substr(0, rest.find('/')), 0));
  if (it == leases_.end()) return answer(id, 404, Json::object());
  if (method == "DELETE")
    end_lease(it->first);
  else
    it->second.ends = net::mono_now() + it->second.ttl_s;
  answer(id, 200, Json::object());
}

} // namespace loftrouter::scale
