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

std::string dump(const Json &j) {
  return j.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
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
    } else if (name == "from" && valid_key(value)) {
      r.from = value;
    } else if (name == "period" && value.size() == 10 && valid_name(value)) {
      r.period = value;
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
  AdminRequest r;
  r.kind = AdminRequest::Kind::ChangeQuota;
  r.quota = std::move(std::get<QuotaChange>(change));
  return r;
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
                        Plain{"settings", "GET", Kind::Settings}, Plain{"settings", "PUT", Kind::Change},
                        Plain{"budgets", "GET", Kind::Budgets}, Plain{"budgets", "PUT", Kind::ChangeBudgets},
                        Plain{"statement", "GET", Kind::Statement}, Plain{"cells", "GET", Kind::CellFederation},
                        Plain{"cells", "PUT", Kind::ChangeCells}, Plain{"quotas", "GET", Kind::Quotas},
                        Plain{"configuration", "GET", Kind::Configuration}}) {
    if (path != p.path) continue;
    known = true;
    if (method != p.method) continue;
    r.kind = p.kind;
    if (lists_jobs(r.kind) && !r.from.empty() && !valid_job_id(r.from))
      return AdminError{400, "from: unknown, or its value cannot be read"};
    if (r.kind != Kind::Change && r.kind != Kind::ChangeBudgets && r.kind != Kind::ChangeCells) return r;
    auto j = parse_body(body);
    if (!j) return AdminError{400, "body: not a JSON object"};
    Tunables settings;
    Budgets budgets;
    CellRules cells;
    if (auto problem = r.kind == Kind::Change        ? apply_tunables(*j, settings)
                       : r.kind == Kind::ChangeCells ? apply_cell_rules(*j, cells)
                                                     : apply_budgets(*j, budgets))
      return AdminError{400, *problem};
    r.change = std::move(*j);
    return r;
  }
  if (known) return AdminError{405, "method not allowed"};
  if (path.starts_with(kQuotaPath)) return read_quota_request(method, path.substr(kQuotaPath.size()), body);
  if (path.starts_with(kQuotaHistoryPath)) {
    r.team = path.substr(kQuotaHistoryPath.size());
    r.kind = Kind::QuotaHistory;
    if (method != "GET") return AdminError{405, "method not allowed"};
    return valid_name(r.team) ? std::variant<AdminRequest, AdminError>(r) : AdminError{400, "team: not a name"};
  }
  if (path.substr(0, machines.size()) != machines) return AdminError{404, "no such path"};
  path.remove_prefix(machines.size());
  auto slash = path.find('/');
  auto action = slash == std::string_view::npos ? std::string_view{} : path.substr(slash + 1);
  if (method != "POST") return AdminError{405, "method not allowed"};
  if (!valid_name(path.substr(0, slash))) return AdminError{400, "machine: not a name"};
  r.kind = Kind::Machine;
  r.machine = path.substr(0, slash);
  if (action == kOrders[0])
    r.order = MachineAdminState::Drain;
  else if (action == kOrders[1])
    r.order = MachineAdminState::Quarantine;
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

Json to_json(MachineAdminState order) {
  return kOrders[static_cast<int>(order)];
}

Json to_json(const MachineAdminStates &orders) {
  Json j = Json::object();
  for (const auto &[name, order] : orders)
    j[name] = to_json(order);
  return j;
}

std::optional<MachineAdminState> machine_admin_state_from_json(const Json &j) {
  for (int k = 0; k < 2; ++k)
    if (j == kOrders[k]) return static_cast<MachineAdminState>(k);
  return std::nullopt;
}

MachineAdminStates machine_admin_states_from_json(const Json &j) {
  MachineAdminStates out;
  if (!j.is_object()) return out;
  for (const auto &[name, value] : j.items())
    if (const auto order = machine_admin_state_from_json(value); order && out.size() < kMaxMachineOrders)
      out[name] = *order;
  return out;
}

static Json connectivity_json(const ConnectivityRecord &w) {
  Json j = to_json(StoredConnectivityRecord{w, 0});
  j.erase("at");
  return j;
}

std::string encode_status(const AdminStatus &s) {
  Json replicas = Json::array(), fleet = Json::array(), queues = Json::array();
  for (const auto &x : s.replicas)
    replicas.push_back({{"node", x.node},
                        {"heard_s_ago", age(x.heard_s)},
                        {"version", x.version},
                        {"cut_off_from_state_service", x.cut_off},
                        {"hears_workers", x.connectivity.workers == WorkerReachability::Reachable},
                        {"reaches", connectivity_json(x.connectivity)},
                        {"told_by", x.told_by},
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
  Json served = Json::array();
  for (const auto &x : s.served)
    served.push_back({{"of", x.of},
                      {"name", x.name},
                      {"accepted", x.accepted},
                      {"begun", x.begun},
                      {"done", x.done},
                      {"cancelled", x.cancelled},
                      {"waiting", x.waiting},
                      {"longest_wait_s", std::round(x.longest_wait_s)}});
  for (const auto &x : s.queues)
    queues.push_back({{"team", x.team},
                      {"open_jobs", x.jobs},
                      {"tasks_waiting", x.waiting},
                      {"tasks_placed", x.running},
                      {"oldest_waiting_s", std::round(x.oldest_s)},
                      {"jobs_waiting_for_others", x.waiting_for_others}});
  Json leader = {{"node", s.leader.empty() ? Json() : Json(s.leader)}, {"term", s.term}};
  if (!s.leader_since.empty()) leader["since"] = s.leader_since;
  Json cells = Json::array();
  for (const auto &c : s.cells)
    cells.push_back({{"cell", c.name},
                     {"heard_s_ago", age(c.heard_s)},
                     {"may_be_lent_to", c.delegates},
                     {"tasks_lent", c.delegated_out_tasks},
                     {"tasks_borrowed", c.delegated_in_tasks}});
  Json connectivity = connectivity_json(s.connectivity.word), by_zone = Json::object();
  for (const auto &[zone, machines] : s.connectivity.machines)
    by_zone[zone] = machines;
  connectivity["machines_by_zone"] = std::move(by_zone);
  return dump(
      {{"node", s.node},
       {"reaches", std::move(connectivity)},
       {"role", s.role},
       {"leader", std::move(leader)},
       {"troubles", s.troubles},
       {"state_service", {{"answered_s_ago", age(s.state_age_s)}}},
       {"cloud", {{"answered_s_ago", age(s.cloud_age_s)}}},
       {"workers",
        {{"reported_s_ago", age(s.report_age_s)},
         {"here", s.load.workers},
         {"here_most", s.load.max_workers},
         {"reports_a_second", rounded(s.load.reports)},
         {"reports_a_second_most", rounded(s.load.max_reports)},
         {"passed_on_a_second", rounded(s.load.passed)},
         {"siblings_keep_some", s.load.spreads}}},
       {"processor",
        {{"used_s", rounded(s.load.cpu_s)}, {"up_s", rounded(s.load.up_s)}, {"allowed_share", s.load.cpu_share}}},
       {"siblings", std::move(replicas)},
       {"fleet", std::move(fleet)},
       {"queues", std::move(queues)},
       {"served", std::move(served)},
       {"cell", s.cell.empty() ? Json() : Json(s.cell)},
       {"cells", std::move(cells)},
       {"batch_ms", {{"p50", rounded(s.round_p50)}, {"p99", rounded(s.round_p99)}}},
       {"queue_wait_ms", {{"p50", rounded(s.queue_p50)}, {"p99", rounded(s.queue_p99)}}}});
}

Json to_json(const Budgets &b) {
  Json teams = Json::object();
  for (const auto &[name, t] : b.teams) {
    teams[name] = {{"warn_share", t.warn_share}, {"when_spent", t.stop ? "stop" : "finish"}};
    if (t.cpu_hours >= 0) teams[name]["cpu_hours"] = t.cpu_hours;
  }
  return {{"every", b.clock.weekly ? "week" : "day"},
          {"starts", accounts::format_minute(b.clock.starts_min)},
          {"utc_offset", accounts::format_offset(b.clock.offset_min)},
          {"teams", std::move(teams)}};
}

std::optional<std::string> apply_budgets(const Json &j, Budgets &b) {
  auto word = [](const Json &v) { return v.is_string() ? v.get<std::string>() : std::string(); };
  for (const auto &[name, value] : j.items()) {
    if (name == "every") {
      if (value != "day" && value != "week") return "every: day or week is wanted";
      b.clock.weekly = value == "week";
    } else if (name == "starts") {
      const auto m = accounts::parse_minute(word(value));
      if (!m) return "starts: a time of day is wanted, as 20:00";
      b.clock.starts_min = *m;
    } else if (name == "utc_offset") {
      const auto m = accounts::parse_offset(word(value));
      if (!m) return "utc_offset: the distance of the local time from UTC is wanted, as +05:30";
      b.clock.offset_min = *m;
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
      b.teams.erase(team);
      continue;
    }
    if (!value.is_object()) return path + ": a map is wanted, or null for no budget";
    TeamBudget t;
    if (auto it = b.teams.find(team); it != b.teams.end()) t = it->second;
    for (const auto &[field, v] : value.items()) {
      const double x = v.is_number() ? v.get<double>() : std::nan("");
      if (field == "cpu_hours" && x >= 0 && x <= 1e6)
        t.cpu_hours = x;
      else if (field == "warn_share" && x >= 0 && x <= 1)
        t.warn_share = x;
      else if (field == "when_spent" && (v == "stop" || v == "finish"))
        t.stop = v == "stop";
      else
        return path + ": cpu_hours (0 to 1000000), warn_share (0 to 1) and when_spent (finish or stop) are wanted";
    }
    b.teams[team] = t;
  }
  return std::nullopt;
}

Json to_json(const CellRules &r) {
  return {{"lend", r.delegate},
          {"borrow", r.accept},
          {"most_borrowed_cpus", r.max_accepted_cpus},
          {"stay_teams", r.stay_teams},
          {"stay_classes", r.stay_classes}};
}

std::optional<std::string> apply_cell_rules(const Json &j, CellRules &r) {
  for (const auto &[name, value] : j.items()) {
    if (name == "lend" || name == "borrow") {
      if (!value.is_boolean()) return name + ": true or false is wanted";
      (name == "lend" ? r.delegate : r.accept) = value.get<bool>();
    } else if (name == "most_borrowed_cpus") {
      const double v = value.is_number() ? value.get<double>() : std::nan("");
      if (!(v >= 0 && v <= 1e6)) return "most_borrowed_cpus: a number from 0 to 1000000 is wanted";
      r.max_accepted_cpus = v;
    } else if (name == "stay_teams" || name == "stay_classes") {
      std::vector<std::string> all;
      if (!value.is_array() || value.size() > 100) return name + ": a list of at most 100 names is wanted";
      for (const auto &v : value) {
        if (!v.is_string() || !valid_name(v.get<std::string>())) return name + ": names are wanted";
        all.push_back(v.get<std::string>());
      }
      (name == "stay_teams" ? r.stay_teams : r.stay_classes) = std::move(all);
    } else {
      return fmt::format("{}: no such setting", valid_name(name) ? name : "a field");
    }
  }
  return std::nullopt;
}

std::string encode_cell_rules(const CellRules &r) {
  return dump(to_json(r));
}

std::string encode_budgets(const Budgets &b) {
  return dump(to_json(b));
}

namespace {
Json job_json(const AdminJob &x) {
  Json j = {{"id", x.id},       {"class", x.job_class}, {"team", x.team}, {"outcome", x.outcome},
            {"tasks", x.tasks}, {"done", x.done},       {"late", x.late}, {"submitted", clock_time(x.submit_wall)}};
  if (x.end_wall > 0)
    j["ended"] = clock_time(x.end_wall);
  else
    j["running"] = x.running;
  if (!x.reason.empty()) j["reason"] = x.reason;
  return j;
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

void put_usage(Json &j, const accounts::Sums &s) {
  j["cpu_hours"] = hours(s);
  j["gb_hours"] = static_cast<double>(s[accounts::Memory]) / accounts::kSumsAnHour;
  j["gpu_hours"] = static_cast<double>(s[accounts::Gpu]) / accounts::kSumsAnHour;
  j["attempts"] = s[accounts::Attempts];
  j["retries"] = s[accounts::Retries];
  j["cost"] = static_cast<double>(s[accounts::Cost]) / 1e6;
}
} // namespace

std::string encode_statement(const AdminStatement &s) {
  Json teams = Json::array(), jobs = Json::array();
  for (const auto &t : s.teams) {
    Json j = {{"team", t.name}};
    put_usage(j, t.sums);
    if (t.budget && t.budget->cpu_hours >= 0) {
      j["budget_cpu_hours"] = t.budget->cpu_hours;
      j["spent"] = t.sums.held() >= t.budget->limit();
    }
    teams.push_back(std::move(j));
  }
  for (const auto &x : s.jobs) {
    Json j = job_json(x.what);
    if (x.usage) {
      put_usage(j, accounts::sums_of(*x.usage, x.need));
      j["retried"] = (*x.usage)[accounts::Retries] > 0;
    }
    jobs.push_back(std::move(j));
  }
  auto time = [](double wall) {
    return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(static_cast<std::time_t>(wall)));
  };
  return dump({{"period", {{"name", s.period}, {"begins", time(s.begins)}, {"ends", time(s.ends)}}},
               {"teams", std::move(teams)},
               {"jobs", std::move(jobs)},
               {"next", s.next.empty() ? Json() : Json(s.next)}});
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

std::string encode_settings(const Tunables &t, const MachineAdminStates &orders, std::string_view next) {
  return dump({{"settings", to_json(t)}, {"machines", to_json(orders)}, {"next", next.empty() ? Json() : Json(next)}});
}

std::string encode_admin_error(std::string_view text) {
  return dump({{"error", text}});
}

} // namespace loftrouter::wire
