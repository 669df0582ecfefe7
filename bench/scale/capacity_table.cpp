#include "capacity_table.hpp"

#include <algorithm>
#include <cmath>
#include <functional>

#include <fmt/format.h>

namespace loftrouter::scale {

namespace {

using Json = nlohmann::json;

struct Figure {
  const char *role, *name, *unit;
  std::function<double(const Json &run)> value;
};

// The largest over the processes of a role: what a machine for it has to give.
double max_of_role(const Json &run, const char *role, const char *field) {
  double most = 0;
  for (const auto &p : run["processes"])
    if (p["role"] == role) most = std::max(most, p[field].get<double>());
  return most;
}

double max_of_states(const Json &run, const char *field) {
  double most = 0;
  for (const auto &s : run["state_services"])
    most = std::max(most, s[field].get<double>());
  return most;
}

Figure of_role(const char *role, const char *name, const char *unit, const char *field) {
  return {role, name, unit, [=](const Json &run) { return max_of_role(run, role, field); }};
}

Figure of_state(const char *role, const char *name, const char *unit, const char *field, double scale = 1) {
  return {role, name, unit, [=](const Json &run) { return scale * max_of_states(run, field); }};
}

Figure of_traffic(const char *role, const char *name, const char *unit, const char *part, const char *field,
                  double scale = 1) {
  return {role, name, unit, [=](const Json &run) { return scale * run["traffic"][part][field].get<double>(); }};
}

std::vector<Figure> figures() {
  return {of_role("leader", "processor", "cores", "cpu"),
          of_role("leader", "processor, worst second", "cores", "cpu_peak"),
          of_role("leader", "memory", "MB", "rss_mb"),
          of_role("leader", "descriptors", "", "descriptors"),
          of_role("follower", "processor", "cores", "cpu"),
          of_role("follower", "memory", "MB", "rss_mb"),
          of_role("follower", "descriptors", "", "descriptors"),
          of_state("state service", "requests", "/s", "requests_per_s"),
          of_state("state service", "changes", "/s", "changes_per_s"),
          of_state("state service", "refused for its rate of changes", "in the run", "refused_changes"),
          of_state("state service", "keys", "", "keys"),
          of_state("state service", "values", "KB", "value_bytes", 1e-3),
          of_state("state service", "bytes in", "KB/s", "bytes_in_per_s", 1e-3),
          of_state("state service", "bytes out", "KB/s", "bytes_out_per_s", 1e-3),
          of_state("cloud", "requests", "/s", "cloud_requests_per_s"),
          of_traffic("all workers", "reports", "/s", "workers", "reports_per_s"),
          of_traffic("all workers", "bytes out", "KB/s", "workers", "bytes_out_per_s", 1e-3),
          of_traffic("all workers", "bytes in", "KB/s", "workers", "bytes_in_per_s", 1e-3),
          of_traffic("one worker", "bytes out", "KB/s", "one_worker", "bytes_out_per_s", 1e-3),
          of_traffic("one worker", "bytes in", "KB/s", "one_worker", "bytes_in_per_s", 1e-3),
          of_role("one worker", "processor", "cores", "cpu"),
          of_role("one worker", "memory", "MB", "rss_mb"),
          of_traffic("users' door", "requests", "/s", "users", "requests_per_s"),
          of_traffic("users' door", "bytes in", "KB/s", "users", "bytes_in_per_s", 1e-3),
          of_traffic("users' door", "bytes out", "KB/s", "users", "bytes_out_per_s", 1e-3),
          of_traffic("cell to cell", "frames", "/s", "between_regions", "frames_per_s"),
          of_traffic("cell to cell", "bytes", "KB/s", "between_regions", "bytes_per_s", 1e-3)};
}

std::string list(const Json &words) {
  std::string out;
  for (const auto &w : words)
    out += (out.empty() ? "" : "; ") + w.get<std::string>();
  return out.empty() ? "passed" : out;
}

std::string runs_table(const std::vector<Json> &runs) {
  std::string out = "| scenario | workers, up on average | seed | commit | starts/s | running | accepts p50, p95 (s) | "
                    "urgent start p50, "
                    "p95 (s) | valid | outcome |\n|---|---|---|---|---|---|---|---|---|---|\n";
  for (const auto &r : runs)
    out += fmt::format(
        "| {} | {}, {:.0f} | {} | {} | {:.0f} | {:.0f} | {:.2f}, {:.2f} | {:.1f}, {:.1f} | {} | {} |\n",
        r["scenario"].get<std::string>(), r["workers"].get<int>(), r["workers_up"].get<double>(), r["seed"].get<int>(),
        r.value("commit", ""), r["starts_per_s"].get<double>(), r["running_tasks"].get<double>(),
        r["accept_s"]["p50"].get<double>(), r["accept_s"]["p95"].get<double>(), r["urgent_wait_s"]["p50"].get<double>(),
        r["urgent_wait_s"]["p95"].get<double>(), r["valid"].get<bool>() ? "yes" : "no", list(r["failures"]));
  return out;
}

} // namespace

Line fit(const std::vector<double> &x, const std::vector<double> &y) {
  const auto n = static_cast<double>(x.size());
  if (x.empty()) return {};
  double mean_x = 0, mean_y = 0, xx = 0, xy = 0;
  for (std::size_t i = 0; i < x.size(); ++i) {
    mean_x += x[i] / n;
    mean_y += y[i] / n;
  }
  for (std::size_t i = 0; i < x.size(); ++i) {
    xx += (x[i] - mean_x) * (x[i] - mean_x);
    xy += (x[i] - mean_x) * (y[i] - mean_y);
  }
  Line line;
  line.slope = xx > 0 ? xy / xx : 0;
  line.base = mean_y - line.slope * mean_x;
  double squares = 0;
  for (std::size_t i = 0; i < x.size(); ++i) {
    const double off = y[i] - line.base - line.slope * x[i];
    squares += off * off;
  }
  line.residual = std::sqrt(squares / n);
  return line;
}

std::string capacity_tables(const std::vector<Json> &all, double target) {
  std::vector<Json> runs;
  for (const auto &r : all)
    if (r["valid"].get<bool>()) runs.push_back(r);
  std::string out = runs_table(all);
  if (runs.empty()) return out;
  std::vector<double> x;
  for (const auto &r : runs)
    x.push_back(r["workers_up"].get<double>());
  const double largest = *std::max_element(x.begin(), x.end());
  const char *mark = largest < target ? "**" : "";
  out += fmt::format("\n| role | figure | unit | base | for each 1,000 workers | residual | at {:.0f} | points |\n"
                     "|---|---|---|---|---|---|---|---|\n",
                     target);
  for (const auto &figure : figures()) {
    std::vector<double> y;
    for (const auto &r : runs)
      y.push_back(figure.value(r));
    const Line line = fit(x, y);
    std::string points;
    for (std::size_t i = 0; i < x.size(); ++i)
      points += fmt::format("{}{:.0f}: {:.3g}", i ? ", " : "", x[i], y[i]);
    out += fmt::format("| {} | {} | {} | {:.3g} | {:.3g} | {:.2g} | {}{:.3g}{} | {} |\n", figure.role, figure.name,
                       figure.unit, line.base, 1000 * line.slope, line.residual, mark, line.base + line.slope * target,
                       mark, points);
  }
  return out;
}

} // namespace loftrouter::scale
