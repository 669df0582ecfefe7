#include "loftrouter/wire/admin.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <ctime>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include "loftrouter/wire/messages.hpp"

namespace loft::wire {

namespace {

struct Tunable {
  const char *name;
  double Tunables::*field;
  double least, most;
};
constexpr Tunable kTunables[] = {
    {"whole_bonus", &Tunables::whole_bonus, 0, 1000},
    {"age_weight", &Tunables::age_weight, 0, 10},
    {"image_weight", &Tunables::image_weight, 0, 100},
    {"price_weight", &Tunables::price_weight, 0, 100},
    {"in_time_bonus", &Tunables::in_time_bonus, 0, 1000},
    {"reserve_after_s", &Tunables::reserve_after_s, 1, 86400},
    {"idle_boots", &Tunables::idle_boots, 0, 100},
    {"probe_pause_s", &Tunables::probe_pause_s, 1, 3600},
    {"late_notice_share", &Tunables::late_notice_share, 0.1, 1},
};
constexpr const char *kOrders[] = {"drain", "quarantine"};

std::string dump(const Json &j) {
  return j.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

bool valid_name(std::string_view s) {
  return !s.empty() && s.size() <= 64 && std::all_of(s.begin(), s.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' ||
           c == '.';
  });
}

std::optional<std::string> read_query(std::string_view query, AdminRequest &r) {
  while (!query.empty()) {
    auto end = query.find('&');
    auto pair = query.substr(0, end);
    query = end == std::string_view::npos ? std::string_view{} : query.substr(end + 1);
    auto eq = pair.find('=');
    auto name = pair.substr(0, eq);
    auto value = eq == std::string_view::npos ? std::string_view{} : pair.substr(eq + 1);
    if (name == "team" && valid_name(value)) {
      r.team = value;
    } else if (name == "from" && valid_job_id(value)) {
      r.from = value;
    } else if (name == "period_s") {
      double v = 0;
      auto [stop, err] = std::from_chars(value.data(), value.data() + value.size(), v);
      if (err != std::errc() || stop != value.data() + value.size() || !(v >= 1 && v <= 1e8))
        return "period_s: a number of seconds from 1 to 100000000";
      r.period_s = v;
    } else {
      return fmt::format("{}: unknown, or its value cannot be read", valid_name(name) ? name : "query");
    }
  }
  return std::nullopt;
}

// CBOR's depth check serves JSON too: the text is small, and nesting is refused before it is parsed.
std::optional<Json> parse_body(std::string_view body) {
  if (body.size() > 16 * 1024 || std::count(body.begin(), body.end(), '{') > 4 ||
      std::count(body.begin(), body.end(), '[') > 4)
    return std::nullopt;
  auto j = Json::parse(body, nullptr, false);
  if (!j.is_object()) return std::nullopt;
  return j;
}

Json age(double s) {
  return s < 0 ? Json() : Json(std::round(s * 10) / 10);
}

double rounded(double ms) {
  return std::round(ms * 100) / 100;
}

} // namespace

std::string clock_time(double wall) {
  return fmt::format("{:%H:%M:%S}Z", fmt::gmtime(static_cast<std::time_t>(wall)));
}

std::variant<AdminRequest, AdminError> read_admin(std::string_view method, std::string_view target,
                                                  std::string_view body) {
  using Kind = AdminRequest::Kind;
  AdminRequest r;
  auto q = target.find('?');
  auto path = target.substr(0, q);
  if (q != std::string_view::npos)
    if (auto problem = read_query(target.substr(q + 1), r)) return AdminError{400, *problem};
  constexpr std::string_view base = "/admin/v1/", machines = "machines/";
  if (path.substr(0, base.size()) != base) return AdminError{404, "no such path"};
  path.remove_prefix(base.size());
  struct Plain {
    std::string_view path, method;
    Kind kind;
  };
  bool known = false;
  for (const auto &p : {Plain{"status", "GET", Kind::Status}, Plain{"jobs", "GET", Kind::Jobs},
                        Plain{"foreseen", "GET", Kind::Foreseen}, Plain{"report", "GET", Kind::Report},
                        Plain{"settings", "GET", Kind::Settings}, Plain{"settings", "PUT", Kind::Change}}) {
    if (path != p.path) continue;
    known = true;
    if (method != p.method) continue;
    r.kind = p.kind;
    if (r.kind != Kind::Change) return r;
    auto j = parse_body(body);
    if (!j) return AdminError{400, "body: not a JSON object of settings"};
    Tunables checked;
    if (auto problem = apply_tunables(*j, checked)) return AdminError{400, *problem};
    r.change = std::move(*j);
    return r;
  }
  if (known) return AdminError{405, "method not allowed"};
  if (path.substr(0, machines.size()) != machines) return AdminError{404, "no such path"};
  path.remove_prefix(machines.size());
  auto slash = path.find('/');
  auto action = slash == std::string_view::npos ? std::string_view{} : path.substr(slash + 1);
  if (method != "POST") return AdminError{405, "method not allowed"};
  if (!valid_name(path.substr(0, slash))) return AdminError{400, "machine: not a name"};
  r.kind = Kind::Machine;
  r.machine = path.substr(0, slash);
  if (action == kOrders[0])
    r.order = MachineOrder::Drain;
  else if (action == kOrders[1])
    r.order = MachineOrder::Quarantine;
  else if (action != "release")
    return AdminError{404, "a machine can be told drain, quarantine or release"};
  return r;
}

Json to_json(const Tunables &t) {
  Json j = Json::object();
  for (const auto &x : kTunables)
    j[x.name] = t.*x.field;
  return j;
}

std::optional<std::string> apply_tunables(const Json &j, Tunables &t) {
  for (const auto &[name, value] : j.items()) {
    auto x = std::find_if(std::begin(kTunables), std::end(kTunables),
                          [&key = name](const auto &k) { return key == k.name; });
    if (x == std::end(kTunables)) return fmt::format("{}: no such setting", valid_name(name) ? name : "a field");
    const double v = value.is_number() ? value.get<double>() : std::nan("");
    if (!(v >= x->least && v <= x->most))
      return fmt::format("{}: a number from {} to {} is wanted", name, x->least, x->most);
    t.*x->field = v;
  }
  return std::nullopt;
}

Json to_json(const MachineOrders &orders) {
  Json j = Json::object();
  for (const auto &[name, order] : orders)
    j[name] = kOrders[static_cast<int>(order)];
  return j;
}

MachineOrders machine_orders_from_json(const Json &j) {
  MachineOrders out;
  if (!j.is_object()) return out;
  for (const auto &[name, order] : j.items())
    for (int k = 0; k < 2; ++k)
      if (order == kOrders[k] && out.size() < kMostMachineOrders) out[name] = static_cast<MachineOrder>(k);
  return out;
}

std::string encode_status(const AdminStatus &s) {
  Json siblings = Json::array(), fleet = Json::array(), queues = Json::array();
  for (const auto &x : s.siblings)
    siblings.push_back({{"node", x.node},
                        {"heard_s_ago", age(x.heard_s)},
                        {"cut_off_from_state_service", x.cut_off},
                        {"hears_workers", x.hears_workers},
                        {"passes_reports_on", x.passes_reports},
                        {"workers_kept", x.keeps}});
  for (const auto &x : s.fleet)
    fleet.push_back({{"type", x.type},
                     {"zone", x.zone},
                     {"spot", x.spot},
                     {"up", x.up},
                     {"starting", x.starting},
                     {"silent", x.silent},
                     {"cpus", x.cpus},
                     {"cpus_in_use", x.used},
                     {"refused_by_cloud", x.refused}});
  for (const auto &x : s.queues)
    queues.push_back({{"team", x.team},
                      {"open_jobs", x.jobs},
                      {"tasks_waiting", x.waiting},
                      {"tasks_placed", x.running},
                      {"oldest_waiting_s", std::round(x.oldest_s)}});
  Json leader = {{"node", s.leader.empty() ? Json() : Json(s.leader)}, {"term", s.term}};
  if (!s.leader_since.empty()) leader["since"] = s.leader_since;
  return dump(
      {{"node", s.node},
       {"role", s.role},
       {"leader", std::move(leader)},
       {"troubles", s.troubles},
       {"state_service", {{"answered_s_ago", age(s.state_age_s)}}},
       {"cloud", {{"answered_s_ago", age(s.cloud_age_s)}}},
       {"workers",
        {{"reported_s_ago", age(s.report_age_s)},
         {"here", s.load.workers},
         {"here_most", s.load.workers_most},
         {"reports_a_second", rounded(s.load.reports)},
         {"reports_a_second_most", rounded(s.load.reports_most)},
         {"passed_on_a_second", rounded(s.load.passed)},
         {"siblings_keep_some", s.load.spreads}}},
       {"processor",
        {{"used_s", rounded(s.load.cpu_s)}, {"up_s", rounded(s.load.up_s)}, {"allowed_share", s.load.cpu_share}}},
       {"siblings", std::move(siblings)},
       {"fleet", std::move(fleet)},
       {"queues", std::move(queues)},
       {"batch_ms", {{"p50", rounded(s.round_p50)}, {"p99", rounded(s.round_p99)}}},
       {"queue_wait_ms", {{"p50", rounded(s.queue_p50)}, {"p99", rounded(s.queue_p99)}}}});
}

std::string encode_jobs(const std::vector<AdminJob> &jobs, std::string_view next) {
  Json list = Json::array();
  for (const auto &x : jobs) {
    Json j = {{"id", x.id},       {"class", x.job_class}, {"team", x.team}, {"outcome", x.outcome},
              {"tasks", x.tasks}, {"done", x.done},       {"late", x.late}, {"submitted", clock_time(x.submit_wall)}};
    if (x.end_wall > 0)
      j["ended"] = clock_time(x.end_wall);
    else
      j["running"] = x.running;
    if (!x.reason.empty()) j["reason"] = x.reason;
    list.push_back(std::move(j));
  }
  return dump({{"jobs", std::move(list)}, {"next", next.empty() ? Json() : Json(next)}});
}

std::string encode_settings(const Tunables &t, const MachineOrders &orders) {
  return dump({{"settings", to_json(t)}, {"machines", to_json(orders)}});
}

std::string encode_admin_error(std::string_view text) {
  return dump({{"error", text}});
}

} // namespace loft::wire
