#include "loftrouter/client/report.hpp"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <map>

#include <unistd.h>

#include <fmt/format.h>
#include <kainjow/mustache.hpp>

#include "loftrouter/client/json_fields.hpp"

namespace loftrouter::client {

using nlohmann::json;
namespace mustache = kainjow::mustache;

namespace {

const char *const kReportTemplate = R"(<!doctype html>
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

// ---- which jobs are shown under which heading ----

bool is_held_by_budget(const json &job) {
  return field_text(job, "reason").starts_with("held: ");
}

bool is_not_held(const json &job) {
  return !is_held_by_budget(job);
}

bool is_cancelled(const json &job) {
  return field_text(job, "outcome") == "cancelled";
}

bool is_late(const json &job) {
  return field_text(job, "late") == "yes";
}

bool is_done_late(const json &job) {
  return field_text(job, "outcome") == "done" && is_late(job);
}

bool is_done_in_time(const json &job) {
  return field_text(job, "outcome") == "done" && !is_late(job);
}

mustache::data job_row(const json &job) {
  mustache::data row;
  for (const char *name : {"id", "class", "done", "tasks", "reason", "retries"})
    row.set(name, field_text(job, name));
  row.set("cpu", cpu_hours_text(job, "held"));
  return row;
}

// Adds a heading with the team's jobs that belong under it, if there are any.
void add_group(mustache::data &groups, const char *title, const std::string &team, const json &jobs,
               bool (*belongs)(const json &)) {
  mustache::data rows{mustache::data::type::list};
  bool any = false;
  for (const auto &job : jobs) {
    if (field_text(job, "team") != team || !belongs(job)) continue;
    rows.push_back(job_row(job));
    any = true;
  }
  if (!any) return;
  mustache::data group;
  group.set("name", title);
  group.set("jobs", rows);
  groups.push_back(group);
}

mustache::data team_section(const json &team, const json &ended, const json &open) {
  const auto name = field_text(team, "team");
  mustache::data groups{mustache::data::type::list};
  add_group(groups, "Held by the budget", name, open, is_held_by_budget);
  add_group(groups, "Not finished", name, open, is_not_held);
  add_group(groups, "Stopped", name, ended, is_cancelled);
  add_group(groups, "Finished late", name, ended, is_done_late);
  add_group(groups, "Finished", name, ended, is_done_in_time);
  mustache::data section;
  section.set("team", name);
  section.set("groups", groups);
  section.set("wait", cpu_hours_text(team, "gang_wait"));
  for (const char *kind : {"held", "useful", "fetch", "lost", "uncertain"})
    section.set(kind, cpu_hours_text(team, kind));
  for (const char *field : {"retries", "attempts", "cost"})
    section.set(field, field_text(team, field));
  if (team.contains("budget_cpu_hours")) section.set("budget", field_text(team, "budget_cpu_hours"));
  const bool spent = field_text(team, "spent") == "yes";
  section.set("spent", spent ? mustache::data::type::bool_true : mustache::data::type::bool_false);
  return section;
}

// ---- plot ----

// Jobs that ended within an hour.
struct HourCount {
  int in_time = 0;
  int late = 0;
  int stopped = 0;
};
using JobsByHour = std::map<int, HourCount>;

constexpr int kHoursADay = 24;
constexpr const char *kPlotHead =
    "set terminal svg size 900,260 font 'sans-serif,12'\nset style data histograms\n"
    "set style histogram rowstacked\nset style fill solid 0.8 noborder\nset boxwidth 0.8\n"
    "set ylabel 'jobs ended'\nset xlabel 'hour (UTC)'\nset key outside right top\nset yrange [0:*]\n"
    "$d << EOD\n";
constexpr const char *kPlotTail =
    "EOD\nplot $d using 2:xtic(1) title 'in time' lc rgb '#2f7d6b', '' using 3 title 'late' lc rgb '#d98e04', "
    "'' using 4 title 'stopped' lc rgb '#8a94a0'\n";

void count_job(HourCount &count, const json &job) {
  if (is_cancelled(job))
    ++count.stopped;
  else if (is_late(job))
    ++count.late;
  else
    ++count.in_time;
}

JobsByHour count_by_hour(const json &statement) {
  JobsByHour counts;
  for (const auto &job : field_list(statement, "jobs")) {
    const auto ended = field_text(job, "ended"); // hh:mm...
    if (ended.size() < 2) continue;
    const int hour = std::atoi(ended.substr(0, 2).c_str());
    count_job(counts[hour], job);
  }
  return counts;
}

std::string plot_script(JobsByHour &counts) {
  std::string script = kPlotHead;
  for (int hour = 0; hour < kHoursADay; ++hour) {
    const HourCount &count = counts[hour];
    script += fmt::format("{:02} {} {} {}\n", hour, count.in_time, count.late, count.stopped);
  }
  return script + kPlotTail;
}

// A file in /tmp that goes with its owner.
class TemporaryFile {
public:
  explicit TemporaryFile(const std::string &content) : descriptor_(::mkstemp(path_.data())) {
    if (descriptor_ < 0) return;
    const ssize_t written = ::write(descriptor_, content.data(), content.size());
    complete_ = written == static_cast<ssize_t>(content.size());
    ::close(descriptor_);
  }
  TemporaryFile(const TemporaryFile &) = delete;
  TemporaryFile &operator=(const TemporaryFile &) = delete;
  ~TemporaryFile() {
    if (descriptor_ >= 0) ::unlink(path_.c_str());
  }
  [[nodiscard]] bool complete() const { return complete_; }
  [[nodiscard]] const std::string &path() const { return path_; }

private:
  std::string path_ = "/tmp/loftrouterctl-plot-XXXXXX";
  int descriptor_;
  bool complete_ = false;
};

// What a shell command prints; empty if it fails.
std::string output_of(const std::string &command) {
  FILE *pipe = ::popen(command.c_str(), "r");
  if (!pipe) return "";
  std::string out;
  std::array<char, 4096> part{};
  std::size_t count = std::fread(part.data(), 1, part.size(), pipe);
  while (count > 0) {
    out.append(part.data(), count);
    count = std::fread(part.data(), 1, part.size(), pipe);
  }
  return ::pclose(pipe) == 0 ? out : "";
}

} // namespace

std::string report_html(const json &statement, const json &open, const std::string &plot) {
  mustache::data teams{mustache::data::type::list};
  for (const auto &team : field_list(statement, "teams"))
    teams.push_back(team_section(team, field_list(statement, "jobs"), field_list(open, "jobs")));
  const json period = field_object(statement, "period");
  mustache::data page;
  page.set("period", field_text(period, "name"));
  page.set("begins", field_text(period, "begins"));
  page.set("ends", field_text(period, "ends"));
  page.set("plot", plot);
  page.set("teams", teams);
  mustache::mustache html{std::string(kReportTemplate)};
  return html.render(page);
}

std::string plot_by_hour(const json &statement) {
  auto counts = count_by_hour(statement);
  if (counts.empty()) return "";
  const TemporaryFile script(plot_script(counts));
  if (!script.complete()) return "";
  const std::string svg = output_of(fmt::format("gnuplot {} 2>/dev/null", script.path()));
  const auto begin = svg.find("<svg"); // without the XML heading, as it stands within a page
  return begin == std::string::npos ? "" : svg.substr(begin);
}

} // namespace loftrouter::client
