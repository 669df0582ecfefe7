#include "loftrouter/client/tables.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>

#include <stdlib.h>
#include <unistd.h>

#include <fmt/format.h>
#include <kainjow/mustache.hpp>

namespace loftrouter::client {

using Json = nlohmann::json;

namespace {
std::string text(const Json &json, const char *name) {
  auto it = json.is_object() ? json.find(name) : json.end();
  if (!json.is_object() || it == json.end() || it->is_null()) return "";
  if (it->is_string()) return it->get<std::string>();
  if (it->is_boolean()) return it->get<bool>() ? "yes" : "no";
  if (it->is_number_float()) return fmt::format("{:.3f}", it->get<double>());
  return it->dump();
}

const Json &list(const Json &json, const char *name) {
  static const Json none = Json::array();
  auto it = json.is_object() ? json.find(name) : json.end();
  return json.is_object() && it != json.end() && it->is_array() ? *it : none;
}

std::string hours(const Json &json, const char *kind) {
  return json.is_object() && json.contains("cpu_hours") ? text(json["cpu_hours"], kind) : "";
}

std::vector<std::string> usage_columns(const Json &json) {
  return {hours(json, "held"),    hours(json, "useful"),   hours(json, "fetch"),     hours(json, "gang_wait"),
          hours(json, "lost"),    hours(json, "unsorted"), hours(json, "uncertain"), text(json, "gb_hours"),
          text(json, "attempts"), text(json, "retries"),   text(json, "cost")};
}
const std::vector<std::string> kUsageColumns = {"cpu_h",     "useful", "fetch",    "gang_wait", "lost", "unsorted",
                                                "uncertain", "gb_h",   "attempts", "retries",   "cost"};

void append(std::vector<std::string> &to, const std::vector<std::string> &from) {
  to.insert(to.end(), from.begin(), from.end());
}

std::size_t width(const std::string &s) { // characters, not bytes
  return static_cast<std::size_t>(
      std::count_if(s.begin(), s.end(), [](unsigned char c) { return (c & 0xc0) != 0x80; }));
}

std::string shown(const std::string &s) {
  std::string out;
  for (unsigned char c : s)
    if (c < ' ' || c == 0x7f)
      out += fmt::format("\\x{:02x}", c);
    else
      out += static_cast<char>(c);
  return out;
}

const char *const kReport = R"(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Statement of {{period}}</title><style>
body { font: 15px/1.45 sans-serif; color: #1c2733; margin: 2em auto; max-width: 76em; padding: 0 1em; }
table { border-collapse: collapse; margin: .6em 0 1.6em; width: 100%; }
th, td { text-align: left; padding: .3em .7em .3em 0; border-bottom: 1px solid #d6dde4; vertical-align: top; }
td.n, th.n { text-align: right; }
h2 { margin-top: 2em; } .note { color: #5a6773; }
</style></head><body>
<h1>Statement of {{period}}</h1>
<p class="note">From {{begins}} to {{ends}}. Times are hours of CPUs held by tasks. Uncertain: at most so much more may
have been held while a controller was replaced.</p>
{{{plot}}}
{{#teams}}
<h2>{{team}}</h2>
<p>{{held}} CPU hours held{{#budget}} of a budget of {{budget}}{{/budget}}{{#spent}}: the budget is spent, waiting tasks
are held{{/spent}}. {{useful}} useful, {{fetch}} fetching images, {{wait}} waiting for a gang, {{lost}} lost,
{{uncertain}} uncertain; {{retries}} of {{attempts}} attempts had to be retried. Cost {{cost}}.</p>
{{#groups}}
<h3>{{name}}</h3>
<table><tr><th>Job</th><th>Class</th><th class="n">Tasks done</th><th class="n">CPU hours</th><th class="n">Retries</th><th>Why</th></tr>
{{#jobs}}<tr><td>{{id}}</td><td>{{class}}</td><td class="n">{{done}} of {{tasks}}</td><td class="n">{{cpu}}</td><td class="n">{{retries}}</td><td>{{reason}}</td></tr>
{{/jobs}}</table>
{{/groups}}
{{/teams}}
</body></html>
)";
} // namespace

Table jobs_table(const Json &jobs) {
  Table table{{"job", "team", "class", "state", "done", "tasks", "late", "reason"}, {}};
  for (const auto &x : list(jobs, "jobs"))
    table.rows.push_back({text(x, "id"), text(x, "team"), text(x, "class"), text(x, "outcome"), text(x, "done"),
                          text(x, "tasks"), text(x, "late"), text(x, "reason")});
  return table;
}

Table usage_by_team_table(const Json &statement) {
  Table table{{"team", "budget", "spent"}, {}};
  append(table.head, kUsageColumns);
  for (const auto &x : list(statement, "teams")) {
    table.rows.push_back({text(x, "team"), text(x, "budget_cpu_hours"), text(x, "spent")});
    append(table.rows.back(), usage_columns(x));
  }
  return table;
}

Table usage_by_job_table(const Json &statement) {
  Table table{{"job", "team", "class", "outcome", "late", "retried"}, {}};
  append(table.head, kUsageColumns);
  table.head.push_back("reason");
  for (const auto &x : list(statement, "jobs")) {
    table.rows.push_back(
        {text(x, "id"), text(x, "team"), text(x, "class"), text(x, "outcome"), text(x, "late"), text(x, "retried")});
    append(table.rows.back(), usage_columns(x));
    table.rows.back().push_back(text(x, "reason"));
  }
  return table;
}

Table budgets_table(const Json &budgets) {
  Table table{{"team", "cpu_hours", "warn_share", "when_spent", "every", "starts", "utc_offset"}, {}};
  const Json teams = budgets.is_object() ? budgets.value("teams", Json::object()) : Json::object();
  for (const auto &[name, x] : teams.items())
    table.rows.push_back({name, text(x, "cpu_hours"), text(x, "warn_share"), text(x, "when_spent"),
                          text(budgets, "every"), text(budgets, "starts"), text(budgets, "utc_offset")});
  return table;
}

Table quotas_table(const Json &quotas) {
  Table table{{"team", "cpus", "cpus_max", "here_cpus_max", "gpus", "gpus_max", "version", "owner", "held_by_cells"},
              {}};
  const Json teams = quotas.is_object() ? quotas.value("teams", Json::object()) : Json::object();
  for (const auto &[name, x] : teams.items()) {
    const Json here = x.value("here", Json::object()), by_cell = x.value("held", Json::object());
    std::string held;
    for (const auto &[cell, amounts] : by_cell.items())
      held += fmt::format("{}{}={}", held.empty() ? "" : " ", cell, text(amounts, "cpus"));
    table.rows.push_back({name, text(x, "cpus"), text(x, "cpus_max"), text(here, "cpus_max"), text(x, "gpus"),
                          text(x, "gpus_max"), text(x, "version"), text(x, "owner"), held});
  }
  return table;
}

Table configuration_table(const Json &configuration) {
  Table table{{"record", "revision", "in_force_at", "not_in_force_at"}, {}};
  for (const auto &x : list(configuration, "records")) {
    const Json since_by_node = x.value("in_force_since", Json::object());
    std::string in_force, missing;
    for (const auto &[node, since] : since_by_node.items())
      in_force += fmt::format("{}{} since {}", in_force.empty() ? "" : ", ", node, since.get<std::string>());
    for (const auto &node : list(x, "not_in_force_at"))
      missing += fmt::format("{}{}", missing.empty() ? "" : ", ", node.get<std::string>());
    table.rows.push_back({text(x, "record"), text(x, "revision"), in_force, missing});
  }
  return table;
}

Table history_table(const Json &history) {
  Table table{{"at", "cpus", "cpus_max", "gpus", "gpus_max"}, {}};
  for (const auto &x : list(history, "changes")) {
    const Json guaranteed = x.value("guaranteed", Json::object()), most = x.value("most", Json::object());
    table.rows.push_back(
        {text(x, "at"), text(guaranteed, "cpus"), text(most, "cpus"), text(guaranteed, "gpus"), text(most, "gpus")});
  }
  return table;
}

std::string to_text(const Table &table) {
  std::vector<std::size_t> wide(table.head.size());
  auto measure = [&](const std::vector<std::string> &row) {
    for (std::size_t c = 0; c < row.size() && c < wide.size(); ++c)
      wide[c] = std::max(wide[c], width(shown(row[c])));
  };
  measure(table.head);
  for (const auto &row : table.rows)
    measure(row);
  std::string out;
  auto put = [&](const std::vector<std::string> &row) {
    std::string line;
    for (std::size_t c = 0; c < row.size(); ++c) {
      const auto cell = shown(row[c]);
      line += cell + std::string(c + 1 < row.size() ? wide[c] - width(cell) + 2 : 0, ' ');
    }
    out += line.substr(0, line.find_last_not_of(' ') + 1) + '\n';
  };
  put(table.head);
  for (const auto &row : table.rows)
    put(row);
  return out;
}

std::string to_csv(const Table &table) {
  std::string out;
  auto put = [&](const std::vector<std::string> &row) {
    for (std::size_t c = 0; c < row.size(); ++c) {
      std::string cell = row[c];
      // Names come from whoever submits jobs; a spreadsheet must not run them.
      if (!cell.empty() && std::string_view("=+-@\t\r").find(cell[0]) != std::string_view::npos &&
          cell.find_first_not_of("-.0123456789") != std::string::npos)
        cell = "'" + cell;
      if (c) out += ',';
      if (cell.find_first_of("\",\r\n") == std::string::npos) {
        out += cell;
        continue;
      }
      out += '"';
      for (char ch : cell)
        out += ch == '"' ? std::string("\"\"") : std::string(1, ch);
      out += '"';
    }
    out += "\r\n";
  };
  put(table.head);
  for (const auto &row : table.rows)
    put(row);
  return out;
}

std::string report_html(const Json &statement, const Json &open, const std::string &plot) {
  namespace m = kainjow::mustache;
  auto row = [](const Json &json) {
    m::data d;
    for (const char *name : {"id", "class", "done", "tasks", "reason", "retries"})
      d.set(name, text(json, name));
    d.set("cpu", hours(json, "held"));
    return d;
  };
  m::data teams{m::data::type::list};
  for (const auto &t : list(statement, "teams")) {
    const auto name = text(t, "team");
    m::data groups{m::data::type::list};
    auto group = [&](const char *title, const Json &from, auto &&belongs) {
      m::data jobs{m::data::type::list};
      bool any = false;
      for (const auto &x : from)
        if (text(x, "team") == name && belongs(x)) {
          jobs.push_back(row(x));
          any = true;
        }
      if (!any) return;
      m::data g;
      g.set("name", title);
      g.set("jobs", jobs);
      groups.push_back(g);
    };
    auto is = [](const char *field, const char *value) {
      return [=](const Json &json) { return text(json, field) == value; };
    };
    auto held = [](const Json &json) { return text(json, "reason").find("held: ") == 0; };
    group("Held by the budget", list(open, "jobs"), held);
    group("Not finished", list(open, "jobs"), [&](const Json &json) { return !held(json); });
    group("Stopped", list(statement, "jobs"), is("outcome", "cancelled"));
    group("Finished late", list(statement, "jobs"),
          [](const Json &json) { return text(json, "outcome") == "done" && text(json, "late") == "yes"; });
    group("Finished", list(statement, "jobs"),
          [](const Json &json) { return text(json, "outcome") == "done" && text(json, "late") != "yes"; });
    m::data d;
    d.set("team", name);
    d.set("groups", groups);
    d.set("held", hours(t, "held"));
    d.set("useful", hours(t, "useful"));
    d.set("fetch", hours(t, "fetch"));
    d.set("wait", hours(t, "gang_wait"));
    d.set("lost", hours(t, "lost"));
    d.set("uncertain", hours(t, "uncertain"));
    for (const char *field : {"retries", "attempts", "cost"})
      d.set(field, text(t, field));
    if (t.contains("budget_cpu_hours")) d.set("budget", text(t, "budget_cpu_hours"));
    d.set("spent", text(t, "spent") == "yes" ? m::data::type::bool_true : m::data::type::bool_false);
    teams.push_back(d);
  }
  const Json period = statement.is_object() ? statement.value("period", Json::object()) : Json::object();
  m::data all;
  all.set("period", text(period, "name"));
  all.set("begins", text(period, "begins"));
  all.set("ends", text(period, "ends"));
  all.set("plot", plot);
  all.set("teams", teams);
  m::mustache page{std::string(kReport)};
  return page.render(all);
}

std::string plot_by_hour(const Json &statement) {
  std::map<int, std::array<int, 3>> by_hour; // done in time, late, stopped
  for (const auto &x : list(statement, "jobs")) {
    const auto ended = text(x, "ended");
    if (ended.size() < 2) continue;
    const int which = text(x, "outcome") == "cancelled" ? 2 : text(x, "late") == "yes" ? 1 : 0;
    ++by_hour[std::atoi(ended.substr(0, 2).c_str())][static_cast<std::size_t>(which)];
  }
  if (by_hour.empty()) return "";
  std::string script = "set terminal svg size 900,260 font 'sans-serif,12'\nset style data histograms\n"
                       "set style histogram rowstacked\nset style fill solid 0.8 noborder\nset boxwidth 0.8\n"
                       "set ylabel 'jobs ended'\nset xlabel 'hour (UTC)'\nset key outside right top\nset yrange [0:*]\n"
                       "$d << EOD\n";
  for (int h = 0; h < 24; ++h) {
    const auto &n = by_hour[h];
    script += fmt::format("{:02} {} {} {}\n", h, n[0], n[1], n[2]);
  }
  script += "EOD\nplot $d using 2:xtic(1) title 'in time' lc rgb '#2f7d6b', '' using 3 title 'late' lc rgb '#d98e04', "
            "'' using 4 title 'stopped' lc rgb '#8a94a0'\n";
  char name[] = "/tmp/loftrouterctl-plot-XXXXXX";
  const int fd = ::mkstemp(name);
  if (fd < 0) return "";
  const bool written = ::write(fd, script.data(), script.size()) == static_cast<ssize_t>(script.size());
  ::close(fd);
  std::string svg;
  if (FILE *out = written ? ::popen(fmt::format("gnuplot {} 2>/dev/null", name).c_str(), "r") : nullptr) {
    char part[4096];
    for (std::size_t n; (n = std::fread(part, 1, sizeof part, out)) > 0;)
      svg.append(part, n);
    if (::pclose(out) != 0) svg.clear();
  }
  ::unlink(name);
  const auto begin = svg.find("<svg"); // without the XML heading, as it stands within a page
  return begin == std::string::npos ? "" : svg.substr(begin);
}

} // namespace loftrouter::client
