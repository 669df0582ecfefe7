#include "loftrouter/wire/admin_request.hpp"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

#include "admin_json.hpp"
#include "loftrouter/wire/admin_budgets.hpp"
#include "loftrouter/wire/admin_cell_rules.hpp"
#include "loftrouter/wire/job.hpp"
#include "protocol_names.hpp"

namespace loftrouter::wire {

namespace {

using Kind = AdminRequest::Kind;
using Result = std::variant<AdminRequest, AdminError>;

constexpr std::string_view kBasePath = "/admin/v1/";
constexpr std::string_view kMachinePath = "machines/";
constexpr std::string_view kQuotaPath = "quotas/";
constexpr std::string_view kQuotaHistoryPath = "configuration/history/quota/";
constexpr std::size_t kMaxBodyBytes = std::size_t{16} * 1024;
constexpr int kMaxNesting = 4;
constexpr std::size_t kPeriodNameBytes = 10; // 2026-12-01
constexpr std::size_t kMaxKeyBytes = 200;
constexpr double kMinPeriodS = 1;
constexpr double kMaxPeriodS = 1e8;

AdminError method_not_allowed() {
  return {405, "method not allowed"};
}

AdminError no_such_path() {
  return {404, "no such path"};
}

std::optional<double> parse_number(std::string_view text) {
  double value = 0;
  const char *const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return value;
}

// Returns whether `key` may name the entry after which a page starts: a job ID, machine name or record key.
bool valid_key(std::string_view key) {
  return !key.empty() && key.size() <= kMaxKeyBytes &&
         std::all_of(key.begin(), key.end(), [](char character) { return character > ' ' && character <= '~'; });
}

bool lists_jobs(Kind kind) {
  return kind == Kind::Jobs || kind == Kind::Forecast || kind == Kind::Report || kind == Kind::Statement;
}

std::optional<FieldError> read_period_s(std::string_view value, AdminRequest &request) {
  const auto period_s = parse_number(value);
  if (!period_s || !(*period_s >= kMinPeriodS && *period_s <= kMaxPeriodS))
    return FieldError{"period_s: must be a number of seconds from 1 to 100000000"};
  request.period_s = *period_s;
  return std::nullopt;
}

std::optional<FieldError> read_parameter(std::string_view name, std::string_view value, AdminRequest &request) {
  if (name == "period_s") return read_period_s(value, request);
  if (name == "team" && valid_name(value)) {
    request.team = value;
  } else if (name == "from" && valid_key(value)) {
    request.from = value;
  } else if (name == "period" && value.size() == kPeriodNameBytes && valid_name(value)) {
    request.period = value;
  } else {
    return FieldError{fmt::format("{}: unknown parameter or invalid value", valid_name(name) ? name : "query")};
  }
  return std::nullopt;
}

// Returns the text before the first `separator` and sets `rest` to the text after it, or to empty.
std::string_view split_off(std::string_view &rest, char separator) {
  const auto end = rest.find(separator);
  const auto first = rest.substr(0, end);
  rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
  return first;
}

std::optional<FieldError> read_query(std::string_view query, AdminRequest &request) {
  while (!query.empty()) {
    std::string_view value = split_off(query, '&');
    const auto name = split_off(value, '=');
    if (auto error = read_parameter(name, value, request)) return error;
  }
  return std::nullopt;
}

// Returns the maximum nesting depth of maps and lists, ignoring brackets within strings.
int nesting(std::string_view json) {
  int depth = 0;
  int max_depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < json.size(); ++i) {
    const char character = json[i];
    if (in_string && character == '\\') {
      ++i; // skip the escaped character
    } else if (character == '"') {
      in_string = !in_string;
    } else if (!in_string && (character == '{' || character == '[')) {
      ++depth;
      max_depth = std::max(max_depth, depth);
    } else if (!in_string && (character == '}' || character == ']')) {
      --depth;
    }
  }
  return max_depth;
}

// Parses a JSON map. Rejects deep nesting first, because the parser is recursive and could exhaust the stack.
std::variant<Json, AdminError> parse_body(std::string_view body) {
  const AdminError error{400, "body: must be a JSON object", true};
  if (body.size() > kMaxBodyBytes || nesting(body) > kMaxNesting) return error;
  Json json = Json::parse(body, nullptr, false);
  if (!json.is_object()) return error;
  return json;
}

// Validates a change by applying it to the defaults.
using CheckChange = std::optional<FieldError> (*)(const Json &);
template <class Document, std::optional<FieldError> (*Apply)(const Json &, Document &)>
std::optional<FieldError> check_change(const Json &change) {
  Document document;
  return Apply(change, document);
}

struct Route {
  std::string_view path;
  std::string_view method;
  Kind kind;
  CheckChange check = nullptr; // only for requests with a body
};
constexpr Route kRoutes[] = {
    {"status", "GET", Kind::Status},
    {"jobs", "GET", Kind::Jobs},
    {"foreseen", "GET", Kind::Forecast},
    {"report", "GET", Kind::Report},
    {"settings", "GET", Kind::Settings},
    {"settings", "PUT", Kind::ChangeSettings, check_change<Tunables, apply_tunables>},
    {"budgets", "GET", Kind::Budgets},
    {"budgets", "PUT", Kind::ChangeBudgets, check_change<Budgets, apply_budgets>},
    {"statement", "GET", Kind::Statement},
    {"cells", "GET", Kind::CellRules},
    {"cells", "PUT", Kind::ChangeCellRules, check_change<CellRules, apply_cell_rules>},
    {"quotas", "GET", Kind::Quotas},
    {"configuration", "GET", Kind::Configuration},
};

Result read_route(const Route &route, std::string_view body, AdminRequest request) {
  request.kind = route.kind;
  if (lists_jobs(request.kind) && !request.from.empty() && !valid_job_id(request.from))
    return AdminError{400, "from: unknown parameter or invalid value"};
  if (!route.check) return request;
  auto json = parse_body(body);
  if (auto *error = std::get_if<AdminError>(&json)) return std::move(*error);
  request.change = std::move(std::get<Json>(json));
  if (const auto error = route.check(request.change)) return AdminError{400, error->message};
  return request;
}

Result read_quota_change_request(std::string_view method, std::string_view team, std::string_view body) {
  if (method != "PUT") return method_not_allowed();
  if (!valid_name(team)) return AdminError{400, "team: invalid name"};
  auto json = parse_body(body);
  if (auto *error = std::get_if<AdminError>(&json)) return std::move(*error);
  auto change = read_quota_change(team, std::get<Json>(json));
  if (const auto *error = std::get_if<FieldError>(&change)) return AdminError{400, error->message};
  AdminRequest request;
  request.kind = Kind::ChangeQuota;
  request.quota = std::move(std::get<QuotaChange>(change));
  return request;
}

Result read_quota_history_request(std::string_view method, std::string_view team, AdminRequest request) {
  if (method != "GET") return method_not_allowed();
  if (!valid_name(team)) return AdminError{400, "team: invalid name"};
  request.kind = Kind::QuotaHistory;
  request.team = team;
  return request;
}

// Reads a request to machines/<path>, where `path` is <machine>/<drain, quarantine or release>.
Result read_machine_request(std::string_view method, std::string_view path, AdminRequest request) {
  std::string_view action = path;
  const auto machine = split_off(action, '/');
  if (method != "POST") return method_not_allowed();
  if (!valid_name(machine)) return AdminError{400, "machine: invalid name"};
  request.kind = Kind::ChangeMachine;
  request.machine = machine;
  request.machine_state = machine_admin_state_from_json(Json(action));
  if (!request.machine_state && action != setting::kRelease)
    return AdminError{404, "unknown action for a machine: must be drain, quarantine or release"};
  return request;
}

} // namespace

std::variant<AdminRequest, AdminError> read_admin_request(std::string_view method, std::string_view target,
                                                          std::string_view body) {
  AdminRequest request;
  std::string_view query = target;
  auto path = split_off(query, '?');
  if (const auto error = read_query(query, request)) return AdminError{400, error->message};
  if (!path.starts_with(kBasePath)) return no_such_path();
  path.remove_prefix(kBasePath.size());
  bool known_path = false;
  for (const auto &route : kRoutes) {
    if (path != route.path) continue;
    if (method == route.method) return read_route(route, body, std::move(request));
    known_path = true;
  }
  if (known_path) return method_not_allowed();
  if (path.starts_with(kQuotaPath)) return read_quota_change_request(method, path.substr(kQuotaPath.size()), body);
  if (path.starts_with(kQuotaHistoryPath))
    return read_quota_history_request(method, path.substr(kQuotaHistoryPath.size()), std::move(request));
  if (path.starts_with(kMachinePath))
    return read_machine_request(method, path.substr(kMachinePath.size()), std::move(request));
  return no_such_path();
}

std::string encode_admin_error(std::string_view text) {
  return dump_admin_json({{"error", text}});
}

} // namespace loftrouter::wire
