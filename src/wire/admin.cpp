#include "loftrouter/wire/admin.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <ctime>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include "loftrouter/wire/messages.hpp"

namespace loftrouter::wire {

namespace {

struct Tunable {
  const char *name;
  double Tunables::*field;
  double least, most;
};
constexpr Tunable kTunables[] = {
    {"whole_bonus", &Tunables::full_plan_bonus, 0, 1000},
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

std::string dump(const Json &json) {
  return json.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

bool valid_name(std::string_view s) {
  return !s.empty() && s.size() <= 64 && std::all_of(s.begin(), s.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' ||
           c == '.';
  });
}

// Where a listing goes on: a job's id, a machine's name, or a record's key.
bool valid_key(std::string_view s) {
  return !s.empty() && s.size() <= 200 && std::all_of(s.begin(), s.end(), [](char c) { return c > ' ' && c <= '~'; });
}

bool lists_jobs(AdminRequest::Kind kind) {
  using Kind = AdminRequest::Kind;
  return kind == Kind::Jobs || kind == Kind::Foreseen || kind == Kind::Report || kind == Kind::Statement;
}

std::optional<std::string> read_query(std::string_view query, AdminRequest &request) {
  while (!query.empty()) {
    auto end = query.find('&');
    auto pair = query.substr(0, end);
    query = end == std::string_view::npos ? std::string_view{} : query.substr(end + 1);
    auto eq = pair.find('=');
    auto name = pair.substr(0, eq);
    auto value = eq == std::string_view::npos ? std::string_view{} : pair.substr(eq + 1);
    if (name == "team" && valid_name(value)) {
      request.team = value;
    } else if (name == "from" && valid_key(value)) {
      request.from = value;
    } else if (name == "period" && value.size() == 10 && valid_name(value)) {
      request.period = value;
    } else if (name == "period_s") {
      double v = 0;
      auto [stop, err] = std::from_chars(value.data(), value.data() + value.size(), v);
      if (err != std::errc() || stop != value.data() + value.size() || !(v >= 1 && v <= 1e8))
        return "period_s: a number of seconds from 1 to 100000000";
      request.period_s = v;
    } else {
      return fmt::format("{}: unknown, or its value cannot be read", valid_name(name) ? name : "query");
    }
  }
  return std::nullopt;
}

constexpr std::size_t kMaxBody = 16 * 1024;
constexpr int kMaxDepth = 4;

// How deep maps and lists are nested at the most; what stands within strings doesn't count.
int nesting(std::string_view json) {
  int depth = 0, most = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < json.size(); ++i) {
    const char c = json[i];
    if (in_string && c == '\\') {
      ++i; // whatever is escaped
    } else if (c == '"') {
      in_string = !in_string;
    } else if (!in_string && (c == '{' || c == '[')) {
      most = std::max(most, ++depth);
    } else if (!in_string && (c == '}' || c == ']')) {
      --depth;
    }
  }
  return most;
}

// The text is small, and nesting is refused before it is parsed.
std::optional<Json> parse_body(std::string_view body) {
  if (body.size() > kMaxBody || nesting(body) > kMaxDepth) return std::nullopt;
  auto j = Json::parse(body, nullptr, false);
  if (!j.is_object()) return std::nullopt;
  return j;
}

constexpr std::string_view kQuotaPath = "quotas/", kQuotaHistoryPath = "configuration/history/quota/";

std::variant<AdminRequest, AdminError> read_quota_request(std::string_view method, std::string_view team,
                                                          std::string_view body) {
  if (method != "PUT") return AdminError{405, "method not allowed"};
  if (!valid_name(team)) return AdminError{400, "team: not a name"};
  const auto j = parse_body(body);
  if (!j) return AdminError{400, "body: not a JSON object"};
  auto change = read_quota_change(team, *j);
  if (const auto *problem = std::get_if<std::string>(&change)) return AdminError{400, *problem};
  AdminRequest request;
  request.kind = AdminRequest::Kind::ChangeQuota;
  request.quota = std::move(std::get<QuotaChange>(change));
  return request;
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
  AdminRequest request;
  auto q = target.find('?');
  auto path = target.substr(0, q);
  if (q != std::string_view::npos)
    if (auto problem = read_query(target.substr(q + 1), request)) return AdminError{400, *problem};
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
                        Plain{"settings", "GET", Kind::Settings}, Plain{"settings", "PUT", Kind::Change},
                        Plain{"budgets", "GET", Kind::Budgets}, Plain{"budgets", "PUT", Kind::ChangeBudgets},
                        Plain{"statement", "GET", Kind::Statement}, Plain{"cells", "GET", Kind::CellFederation},
                        Plain{"cells", "PUT", Kind::ChangeCells}, Plain{"quotas", "GET", Kind::Quotas},
                        Plain{"configuration", "GET", Kind::Configuration}}) {
    if (path != p.path) continue;
    known = true;
    if (method != p.method) continue;
    request.kind = p.kind;
    if (lists_jobs(request.kind) && !request.from.empty() && !valid_job_id(request.from))
      return AdminError{400, "from: unknown, or its value cannot be read"};
    if (request.kind != Kind::Change && request.kind != Kind::ChangeBudgets && request.kind != Kind::ChangeCells)
      return request;
    auto j = parse_body(body);
    if (!j) return AdminError{400, "body: not a JSON object"};
    Tunables settings;
    Budgets budgets;
    CellRules cells;
    if (auto problem = request.kind == Kind::Change        ? apply_tunables(*j, settings)
                       : request.kind == Kind::ChangeCells ? apply_cell_rules(*j, cells)
                                                           : apply_budgets(*j, budgets))
      return AdminError{400, *problem};
    request.change = std::move(*j);
    return request;
  }
  if (known) return AdminError{405, "method not allowed"};
  if (path.starts_with(kQuotaPath)) return read_quota_request(method, path.substr(kQuotaPath.size()), body);
  if (path.starts_with(kQuotaHistoryPath)) {
    request.team = path.substr(kQuotaHistoryPath.size());
    request.kind = Kind::QuotaHistory;
    if (method != "GET") return AdminError{405, "method not allowed"};
    return valid_name(request.team) ? std::variant<AdminRequest, AdminError>(request)
                                    : AdminError{400, "team: not a name"};
  }
  if (path.substr(0, machines.size()) != machines) return AdminError{404, "no such path"};
  path.remove_prefix(machines.size());
  auto slash = path.find('/');
  auto action = slash == std::string_view::npos ? std::string_view{} : path.substr(slash + 1);
  if (method != "POST") return AdminError{405, "method not allowed"};
  if (!valid_name(path.substr(0, slash))) return AdminError{400, "machine: not a name"};
  request.kind = Kind::Machine;
  request.machine = path.substr(0, slash);
  if (action == kOrders[0])
    request.order = MachineAdminState::Drain;
  else if (action == kOrders[1])
    request.order = MachineAdminState::Quarantine;
  else if (action != "release")
    return AdminError{404, "a machine can be told drain, quarantine or release"};
  return request;
}

Json to_json(const Tunables &tunables) {
  Json json = Json::object();
  for (const auto &x : kTunables)
    json[x.name] = tunables.*x.field;
  return json;
}

std::optional<std::string> apply_tunables(const Json &json, Tunables &tunables) {
  for (const auto &[name, value] : json.items()) {
    auto x = std::find_if(std::begin(kTunables), std::end(kTunables),
                          [&key = name](const auto &k) { return key == k.name; });
    if (x == std::end(kTunables)) return fmt::format("{}: no such setting", valid_name(name) ? name : "a field");
    const double v = value.is_number() ? value.get<double>() : std::nan("");
    if (!(v >= x->least && v <= x->most))
      return fmt::format("{}: a number from {} to {} is wanted", name, x->least, x->most);
    tunables.*x->field = v;
  }
  return std::nullopt;
}

Json to_json(MachineAdminState order) {
  return kOrders[static_cast<int>(order)];
}

Json to_json(const MachineAdminStates &orders) {
  Json json = Json::object();
  for (const auto &[name, order] : orders)
    json[name] = to_json(order);
  return json;
}

std::optional<MachineAdminState> machine_admin_state_from_json(const Json &json) {
  for (int k = 0; k < 2; ++k)
    if (json == kOrders[k]) return static_cast<MachineAdminState>(k);
  return std::nullopt;
}

MachineAdminStates machine_admin_states_from_json(const Json &json) {
  MachineAdminStates out;
  if (!json.is_object()) return out;
  for (const auto &[name, value] : json.items())
    if (const auto order = machine_admin_state_from_json(value); order && out.size() < kMaxMachineOrders)
      out[name] = *order;
  return out;
}

static Json connectivity_json(const ConnectivityRecord &connectivity) {
  Json json = to_json(StoredConnectivityRecord{connectivity, 0});
  json.erase("at");
  return json;
}

std::string encode_status(const AdminStatus &status) {
  Json replicas = Json::array(), fleet = Json::array(), queues = Json::array();
  for (const auto &x : status.replicas)
    replicas.push_back({{"node", x.node},
                        {"heard_s_ago", age(x.heard_s)},
                        {"version", x.version},
                        {"cut_off_from_state_service", x.cut_off},
                        {"hears_workers", x.connectivity.workers == WorkerReachability::Reachable},
                        {"reaches", connectivity_json(x.connectivity)},
                        {"told_by", x.told_by},
                        {"passes_reports_on", x.passes_reports},
                        {"workers_kept", x.keeps}});
  for (const auto &x : status.fleet)
    fleet.push_back({{"type", x.type},
                     {"zone", x.zone},
                     {"spot", x.spot},
                     {"up", x.up},
                     {"starting", x.starting},
                     {"silent", x.silent},
                     {"cpus", x.cpus},
                     {"cpus_in_use", x.used},
                     {"refused_by_cloud", x.refused}});
  Json served = Json::array();
  for (const auto &x : status.served)
    served.push_back({{"of", x.of},
                      {"name", x.name},
                      {"accepted", x.accepted},
                      {"begun", x.begun},
                      {"done", x.done},
                      {"cancelled", x.cancelled},
                      {"waiting", x.waiting},
                      {"longest_wait_s", std::round(x.longest_wait_s)}});
  for (const auto &x : status.queues)
    queues.push_back({{"team", x.team},
                      {"open_jobs", x.jobs},
                      {"tasks_waiting", x.waiting},
                      {"tasks_placed", x.running},
                      {"oldest_waiting_s", std::round(x.oldest_s)},
                      {"jobs_waiting_for_others", x.waiting_for_others}});
  Json leader = {{"node", status.leader.empty() ? Json() : Json(status.leader)}, {"term", status.term}};
  if (!status.leader_since.empty()) leader["since"] = status.leader_since;
  Json cells = Json::array();
  for (const auto &c : status.cells)
    cells.push_back({{"cell", c.name},
                     {"heard_s_ago", age(c.heard_s)},
                     {"may_be_lent_to", c.delegates},
                     {"tasks_lent", c.delegated_out_tasks},
                     {"tasks_borrowed", c.delegated_in_tasks}});
  Json connectivity = connectivity_json(status.connectivity.word), by_zone = Json::object();
  for (const auto &[zone, machines] : status.connectivity.machines)
    by_zone[zone] = machines;
  connectivity["machines_by_zone"] = std::move(by_zone);
  return dump({{"node", status.node},
               {"reaches", std::move(connectivity)},
               {"role", status.role},
               {"leader", std::move(leader)},
               {"troubles", status.troubles},
               {"state_service", {{"answered_s_ago", age(status.state_age_s)}}},
               {"cloud", {{"answered_s_ago", age(status.cloud_age_s)}}},
               {"workers",
                {{"reported_s_ago", age(status.report_age_s)},
                 {"here", status.load.workers},
                 {"here_most", status.load.max_workers},
                 {"reports_a_second", rounded(status.load.reports)},
                 {"reports_a_second_most", rounded(status.load.max_reports)},
                 {"passed_on_a_second", rounded(status.load.passed)},
                 {"siblings_keep_some", status.load.spreads}}},
               {"processor",
                {{"used_s", rounded(status.load.cpu_s)},
                 {"up_s", rounded(status.load.up_s)},
                 {"allowed_share", status.load.cpu_share}}},
               {"siblings", std::move(replicas)},
               {"fleet", std::move(fleet)},
               {"queues", std::move(queues)},
               {"served", std::move(served)},
               {"cell", status.cell.empty() ? Json() : Json(status.cell)},
               {"cells", std::move(cells)},
               {"batch_ms", {{"p50", rounded(status.round_p50)}, {"p99", rounded(status.round_p99)}}},
               {"queue_wait_ms", {{"p50", rounded(status.queue_p50)}, {"p99", rounded(status.queue_p99)}}}});
}

Json to_json(const Budgets &budgets) {
  Json teams = Json::object();
  for (const auto &[name, t] : budgets.teams) {
    teams[name] = {{"warn_share", t.warn_share}, {"when_spent", t.stop ? "stop" : "finish"}};
    if (t.cpu_hours >= 0) teams[name]["cpu_hours"] = t.cpu_hours;
  }
  return {{"every", budgets.clock.weekly ? "week" : "day"},
          {"starts", accounts::format_minute(budgets.clock.starts_min)},
          {"utc_offset", accounts::format_offset(budgets.clock.offset_min)},
          {"teams", std::move(teams)}};
}

std::optional<std::string> apply_budgets(const Json &j, Budgets &budgets) {
  auto word = [](const Json &json) { return json.is_string() ? json.get<std::string>() : std::string(); };
  for (const auto &[name, value] : j.items()) {
    if (name == "every") {
      if (value != "day" && value != "week") return "every: day or week is wanted";
      budgets.clock.weekly = value == "week";
    } else if (name == "starts") {
      const auto m = accounts::parse_minute(word(value));
      if (!m) return "starts: a time of day is wanted, as 20:00";
      budgets.clock.starts_min = *m;
    } else if (name == "utc_offset") {
      const auto m = accounts::parse_offset(word(value));
      if (!m) return "utc_offset: the distance of the local time from UTC is wanted, as +05:30";
      budgets.clock.offset_min = *m;
    } else if (name != "teams") {
      return fmt::format("{}: no such setting", valid_name(name) ? name : "a field");
    } else if (!value.is_object() || value.size() > 100) {
      return "teams: a map of at most 100 teams is wanted";
    }
  }
  if (!j.contains("teams")) return std::nullopt;
  for (const auto &[team, value] : j["teams"].items()) {
    const std::string path = "teams." + (valid_name(team) ? team : std::string("a team"));
    if (value.is_null()) {
      budgets.teams.erase(team);
      continue;
    }
    if (!value.is_object()) return path + ": a map is wanted, or null for no budget";
    TeamBudget budget;
    if (auto it = budgets.teams.find(team); it != budgets.teams.end()) budget = it->second;
    for (const auto &[field, v] : value.items()) {
      const double x = v.is_number() ? v.get<double>() : std::nan("");
      if (field == "cpu_hours" && x >= 0 && x <= 1e6)
        budget.cpu_hours = x;
      else if (field == "warn_share" && x >= 0 && x <= 1)
        budget.warn_share = x;
      else if (field == "when_spent" && (v == "stop" || v == "finish"))
        budget.stop = v == "stop";
      else
        return path + ": cpu_hours (0 to 1000000), warn_share (0 to 1) and when_spent (finish or stop) are wanted";
    }
    budgets.teams[team] = budget;
  }
  return std::nullopt;
}

Json to_json(const CellRules &rules) {
  return {{"lend", rules.delegate},
          {"borrow", rules.accept},
          {"most_borrowed_cpus", rules.max_accepted_cpus},
          {"stay_teams", rules.stay_teams},
          {"stay_classes", rules.stay_classes}};
}

std::optional<std::string> apply_cell_rules(const Json &json, CellRules &rules) {
  for (const auto &[name, value] : json.items()) {
    if (name == "lend" || name == "borrow") {
      if (!value.is_boolean()) return name + ": true or false is wanted";
      (name == "lend" ? rules.delegate : rules.accept) = value.get<bool>();
    } else if (name == "most_borrowed_cpus") {
      const double v = value.is_number() ? value.get<double>() : std::nan("");
      if (!(v >= 0 && v <= 1e6)) return "most_borrowed_cpus: a number from 0 to 1000000 is wanted";
      rules.max_accepted_cpus = v;
    } else if (name == "stay_teams" || name == "stay_classes") {
      std::vector<std::string> all;
      if (!value.is_array() || value.size() > 100) return name + ": a list of at most 100 names is wanted";
      for (const auto &v : value) {
        if (!v.is_string() || !valid_name(v.get<std::string>())) return name + ": names are wanted";
        all.push_back(v.get<std::string>());
      }
      (name == "stay_teams" ? rules.stay_teams : rules.stay_classes) = std::move(all);
    } else {
      return fmt::format("{}: no such setting", valid_name(name) ? name : "a field");
    }
  }
  return std::nullopt;
}

std::string encode_cell_rules(const CellRules &rules) {
  return dump(to_json(rules));
}

std::string encode_budgets(const Budgets &budgets) {
  return dump(to_json(budgets));
}

namespace {
Json job_json(const AdminJob &x) {
  Json json = {{"id", x.id},       {"class", x.job_class}, {"team", x.team}, {"outcome", x.outcome},
               {"tasks", x.tasks}, {"done", x.done},       {"late", x.late}, {"submitted", clock_time(x.submit_wall)}};
  if (x.end_wall > 0)
    json["ended"] = clock_time(x.end_wall);
  else
    json["running"] = x.running;
  if (!x.reason.empty()) json["reason"] = x.reason;
  return json;
}

// Time in hours of CPUs, by kind; `held` is their sum.
Json hours(const accounts::Sums &s) {
  auto h = [](std::int64_t x) { return static_cast<double>(x) / accounts::kSumsAnHour; };
  return {{"held", h(s.held())},
          {"useful", h(s[accounts::Useful])},
          {"fetch", h(s[accounts::Fetch])},
          {"gang_wait", h(s[accounts::Wait])},
          {"lost", h(s[accounts::Lost])},
          {"unsorted", h(s[accounts::Unsorted])},
          {"uncertain", h(s[accounts::Uncertain])}};
}

void put_usage(Json &json, const accounts::Sums &s) {
  json["cpu_hours"] = hours(s);
  json["gb_hours"] = static_cast<double>(s[accounts::Memory]) / accounts::kSumsAnHour;
  json["gpu_hours"] = static_cast<double>(s[accounts::Gpu]) / accounts::kSumsAnHour;
  json["attempts"] = s[accounts::Attempts];
  json["retries"] = s[accounts::Retries];
  json["cost"] = static_cast<double>(s[accounts::Cost]) / 1e6;
}
} // namespace

std::string encode_statement(const AdminStatement &statement) {
  Json teams = Json::array(), jobs = Json::array();
  for (const auto &t : statement.teams) {
    Json json = {{"team", t.name}};
    put_usage(json, t.sums);
    if (t.budget && t.budget->cpu_hours >= 0) {
      json["budget_cpu_hours"] = t.budget->cpu_hours;
      json["spent"] = t.sums.held() >= t.budget->limit();
    }
    teams.push_back(std::move(json));
  }
  for (const auto &x : statement.jobs) {
    Json json = job_json(x.what);
    if (x.usage) {
      put_usage(json, accounts::sums_of(*x.usage, x.need));
      json["retried"] = (*x.usage)[accounts::Retries] > 0;
    }
    jobs.push_back(std::move(json));
  }
  auto time = [](double wall) {
    return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(static_cast<std::time_t>(wall)));
  };
  return dump(
      {{"period", {{"name", statement.period}, {"begins", time(statement.begins)}, {"ends", time(statement.ends)}}},
       {"teams", std::move(teams)},
       {"jobs", std::move(jobs)},
       {"next", statement.next.empty() ? Json() : Json(statement.next)}});
}

std::string encode_jobs(const std::vector<AdminJob> &jobs, std::string_view next) {
  Json list = Json::array();
  for (const auto &x : jobs)
    list.push_back(job_json(x));
  return dump({{"jobs", std::move(list)}, {"next", next.empty() ? Json() : Json(next)}});
}

std::size_t listed_bytes(const std::string &machine) {
  constexpr std::size_t kLineWithoutName = 24; // indentation, quotes, the longest order, a comma and the line's end
  return machine.size() + kLineWithoutName;
}

std::string encode_settings(const Tunables &tunables, const MachineAdminStates &orders, std::string_view next) {
  return dump(
      {{"settings", to_json(tunables)}, {"machines", to_json(orders)}, {"next", next.empty() ? Json() : Json(next)}});
}

std::string encode_admin_error(std::string_view text) {
  return dump({{"error", text}});
}

} // namespace loftrouter::wire
