#include "scenario.hpp"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>

#include <fmt/format.h>
#include <toml++/toml.h>

namespace loftrouter::scale {

namespace {

// Reads the fields of one table, and refuses those that nobody has asked for.
class Fields {
public:
  Fields(const toml::table &table, std::string path) : table_(table), path_(std::move(path)) {}

  void number(const char *name, double &out, double least, double most) {
    if (const auto *node = find(name)) out = checked(*node, name, least, most);
  }
  void number(const char *name, std::optional<double> &out, double least, double most) {
    if (const auto *node = find(name)) out = checked(*node, name, least, most);
  }
  template <class Integer> void count(const char *name, Integer &out, Integer least, Integer most) {
    const auto *node = find(name);
    if (!node) return;
    const auto value = node->value_exact<std::int64_t>();
    if (!value || *value < static_cast<std::int64_t>(least) || *value > static_cast<std::int64_t>(most))
      throw ScenarioError(fmt::format("{}{}: a whole number from {} to {} is wanted", path_, name, least, most));
    out = static_cast<Integer>(*value);
  }
  void flag(const char *name, bool &out) {
    const auto *node = find(name);
    if (!node) return;
    if (!node->is_boolean()) throw ScenarioError(path_ + name + ": true or false is wanted");
    out = node->as_boolean()->get();
  }
  void text(const char *name, std::string &out) {
    const auto *node = find(name);
    if (!node || !node->is_string() || node->as_string()->get().empty())
      throw ScenarioError(path_ + name + ": text is wanted");
    out = node->as_string()->get();
  }
  template <class Value> void word(const char *name, Value &out, const std::map<std::string, Value> &known) {
    std::string value;
    text(name, value);
    const auto it = known.find(value);
    if (it == known.end()) throw ScenarioError(fmt::format("{}{}: {} is not known", path_, name, value));
    out = it->second;
  }
  void table(const char *name, const std::function<void(Fields &)> &read) {
    const auto *node = find(name);
    if (!node) return;
    if (!node->is_table()) throw ScenarioError(path_ + name + ": a table is wanted");
    one(*node->as_table(), fmt::format("{}{}.", path_, name), read);
  }
  void tables(const char *name, const std::function<void(Fields &)> &read) {
    const auto *node = find(name);
    if (!node) return;
    if (!node->is_array()) throw ScenarioError(path_ + name + ": a list of tables is wanted");
    int index = 0;
    for (const auto &item : *node->as_array()) {
      const auto path = fmt::format("{}{}[{}].", path_, name, index++);
      if (!item.is_table()) throw ScenarioError(path + ": a table is wanted");
      one(*item.as_table(), path, read);
    }
  }
  bool has(const char *name) const { return table_.contains(name); }
  void refuse_others() const {
    for (const auto &[key, value] : table_)
      if (std::find(asked_.begin(), asked_.end(), key.str()) == asked_.end())
        throw ScenarioError(fmt::format("{}{}: no such field", path_, key.str()));
  }

private:
  static void one(const toml::table &table, std::string path, const std::function<void(Fields &)> &read) {
    Fields fields(table, std::move(path));
    read(fields);
    fields.refuse_others();
  }
  const toml::node *find(const char *name) {
    asked_.emplace_back(name);
    return table_.get(name);
  }
  double checked(const toml::node &node, const char *name, double least, double most) const {
    const auto value = node.value<double>();
    if (!value || !(*value >= least && *value <= most))
      throw ScenarioError(fmt::format("{}{}: a number from {} to {} is wanted", path_, name, least, most));
    return *value;
  }

  const toml::table &table_;
  std::string path_;
  std::vector<std::string> asked_;
};

WorkerType read_type(Fields &f) {
  WorkerType t;
  f.text("name", t.name);
  f.number("cpus", t.cpus, 0.1, 1000);
  f.number("memory_gb", t.memory_gb, 0.1, 10'000);
  f.number("share", t.share, 0, 1);
  return t;
}

JobClass read_class(Fields &f) {
  JobClass c;
  f.text("name", c.name);
  f.word<Shape>("shape", c.shape, {{"array", Shape::Array}, {"gang", Shape::Gang}});
  f.word<Priority>("urgency", c.priority,
                   {{"low", Priority::Low},
                    {"normal", Priority::Normal},
                    {"urgent", Priority::High},
                    {"production", Priority::Production}});
  f.count<std::uint32_t>("least_tasks", c.min_tasks, 1, 100'000);
  f.count<std::uint32_t>("most_tasks", c.max_tasks, c.min_tasks, 100'000);
  f.number("cpus", c.cpus, 0.1, 1000);
  f.number("memory_gb", c.memory_gb, 0.01, 10'000);
  f.number("run_s", c.run_s, 0.1, 3600);
  f.number("image_gb", c.image_gb, 0, 100);
  f.count("images", c.images, 1, 1000);
  f.number("starts_share", c.starts_share, 0, 1);
  f.number("cancelled", c.cancelled, 0, 1);
  f.flag("one_zone", c.one_zone);
  f.number("checkpoint_s", c.checkpoint_s, 0, 3600);
  f.number("save_s", c.save_s, 0, 600);
  return c;
}

Fault read_fault(Fields &f) {
  Fault fault;
  f.word<Fault::Kind>("kind", fault.kind,
                      {{"zone_lost", Fault::Kind::ZoneLost},
                       {"region_cut", Fault::Kind::RegionCut},
                       {"workers_restart", Fault::Kind::WorkersRestart},
                       {"leaders_killed", Fault::Kind::LeadersKilled}});
  f.number("at_s", fault.at_s, 0, 3600);
  f.number("for_s", fault.for_s, 0, 3600);
  f.number("per_s", fault.per_s, 0, 1000);
  f.count("count", fault.count, 0, 100'000);
  return fault;
}

void read_objectives(Fields &f, Objectives &out) {
  f.number("accept_p95_s", out.accept_p95_s, 0, 3600);
  f.number("urgent_start_p95_s", out.urgent_start_p95_s, 0, 3600);
  f.number("starts_per_s", out.starts_per_s, 0, 1e6);
  f.number("running_tasks", out.running_tasks, 0, 1e7);
  f.number("config_in_force_p99_s", out.config_in_force_p99_s, 0, 3600);
}

void check(const Scenario &s) {
  auto sums_to_one = [](double sum) { return std::abs(sum - 1) < 0.001; };
  double of_workers = 0, of_starts = 0;
  for (const auto &t : s.types)
    of_workers += t.share;
  for (const auto &c : s.classes)
    of_starts += c.starts_share;
  if (!sums_to_one(of_workers)) throw ScenarioError("worker_types: the shares must add up to 1");
  if (!sums_to_one(of_starts)) throw ScenarioError("job_classes: the starts_share of all must add up to 1");
}

} // namespace

namespace {

toml::table parse_toml(const std::string &text) {
  try {
    return toml::parse(text);
  } catch (const toml::parse_error &e) {
    throw ScenarioError(fmt::format("line {}: {}", e.source().begin.line, e.description()));
  }
}

std::string read_file(const std::string &path) {
  std::ifstream file(path);
  std::stringstream text;
  if (!file || !(text << file.rdbuf())) throw ScenarioError(path + ": cannot be read");
  return text.str();
}

// The tables of `base`, with what `file` says in its place; of tables, field by field.
toml::table merged(toml::table base, const toml::table &file) {
  for (const auto &[key, value] : file) {
    auto *there = base.get(key.str());
    if (there && there->is_table() && value.is_table())
      base.insert_or_assign(key, merged(*there->as_table(), *value.as_table()));
    else
      base.insert_or_assign(key, value);
  }
  return base;
}

constexpr int kMaxBases = 4; // one upon the other

toml::table with_bases(const std::string &path, int bases_left) {
  auto file = parse_toml(read_file(path));
  const auto *base = file.get("base");
  if (!base) return file;
  if (bases_left == 0) throw ScenarioError("base: too many upon each other");
  const auto name = base->value<std::string>().value_or("");
  auto whole = with_bases((std::filesystem::path(path).parent_path() / name).string(), bases_left - 1);
  file.erase("base");
  return merged(std::move(whole), file);
}

Scenario read_scenario(const toml::table &file) {
  Scenario s;
  Fields f(file, "");
  f.text("name", s.name);
  f.count("workers", s.workers, 12, 20'000);
  f.count("spare_workers", s.spare_workers, 0, 5'000);
  f.count("regions", s.regions, 1, 5);
  f.count("zones_per_region", s.zones_per_region, 1, 10);
  f.count("controllers_per_region", s.controllers_per_region, 1, 5);
  f.count("teams", s.teams, 1, 1000);
  f.number("seconds", s.seconds, 5, 300);
  f.number("warmup_s", s.warmup_s, 1, 200);
  f.number("task_starts_per_s", s.task_starts_per_s, 0.1, 1e5);
  f.number("run_scale", s.run_scale, 0.01, 100);
  f.number("team_limit_factor", s.team_limit_factor, 0, 1000);
  f.number("report_s", s.heartbeat_interval_s, 0.2, 600);
  f.number("lease_s", s.lease_s, 1, 3600);
  f.number("cancel_s", s.cancel_s, 1, 3600);
  f.number("gang_wait_s", s.gang_wait_s, 1, 3600);
  f.number("gang_peer_s", s.gang_peer_s, 0.1, 600);
  f.number("fetch_gb_per_s", s.fetch_gb_per_s, 0.001, 1000);
  f.number("boot_s", s.boot_s, 0, 600);
  f.table("state", [&s](Fields &state) {
    state.number("requests_per_s", s.state_requests_per_s, 1, 1e6);
    state.number("changes_per_s", s.state_changes_per_s, 1, 1e6);
    state.number("value_kb", s.state_value_kb, 1, 1000);
    state.number("latency_s", s.state_latency_s, 0, 10);
    state.count("transaction_changes", s.state_transaction_changes, 2, 1000);
  });
  f.table("cloud", [&s](Fields &cloud) {
    cloud.number("requests_per_s", s.cloud_requests_per_s, 0.1, 1e5);
    cloud.number("list_lag_s", s.cloud_list_lag_s, 0, 60);
  });
  f.table("configuration", [&s](Fields &configuration) {
    using Mechanism = ConfigurationLoad::Mechanism;
    configuration.word<Mechanism>("mechanism", s.configuration.mechanism,
                                  {{"budgets", Mechanism::Budgets}, {"quotas", Mechanism::Quotas}});
    configuration.number("changes_per_day", s.configuration.changes_per_day, 1, 1e7);
  });
  f.tables("worker_types", [&s](Fields &type) { s.types.push_back(read_type(type)); });
  f.tables("job_classes", [&s](Fields &job_class) { s.classes.push_back(read_class(job_class)); });
  f.tables("faults", [&s](Fields &fault) { s.faults.push_back(read_fault(fault)); });
  f.table("objectives", [&s](Fields &objectives) { read_objectives(objectives, s.objectives); });
  f.refuse_others();
  check(s);
  for (auto &c : s.classes)
    c.run_s *= s.run_scale;
  return s;
}

} // namespace

Scenario parse_scenario(const std::string &text) {
  return read_scenario(parse_toml(text));
}

Scenario load_scenario(const std::string &path) {
  try {
    return read_scenario(with_bases(path, kMaxBases));
  } catch (const ScenarioError &e) {
    throw ScenarioError(path + ", " + e.what());
  }
}

Scenario scaled_to(Scenario s, int workers) {
  const double ratio = static_cast<double>(workers) / s.workers;
  auto scaled = [ratio](int count) { return static_cast<int>(std::ceil(count * ratio)); };
  s.spare_workers = scaled(s.spare_workers);
  s.task_starts_per_s *= ratio;
  for (auto &c : s.classes)
    if (c.shape == Shape::Gang && ratio < 1) { // what fits a zone of the design size need not fit a smaller one
      c.min_tasks = std::max<std::uint32_t>(2, static_cast<std::uint32_t>(c.min_tasks * ratio));
      c.max_tasks = std::max<std::uint32_t>(c.min_tasks, static_cast<std::uint32_t>(c.max_tasks * ratio));
    }
  for (auto &f : s.faults)
    f.count = scaled(f.count);
  if (s.objectives.starts_per_s) *s.objectives.starts_per_s *= ratio;
  if (s.objectives.running_tasks) *s.objectives.running_tasks *= ratio;
  s.workers = workers;
  return s;
}

std::string Scenario::zone_name(int region, int zone) const {
  return fmt::format("r{}-z{}", region, zone);
}

std::string Scenario::team_name(int team) const {
  return fmt::format("team{:03}", team);
}

int Scenario::jobs_at_start(double jobs_per_s) const {
  double mean_run_s = 0;
  for (const auto &c : classes)
    mean_run_s += c.starts_share * c.run_s;
  return static_cast<int>(jobs_per_s * mean_run_s);
}

} // namespace loftrouter::scale
