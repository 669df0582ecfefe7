// Several simulated cells at size: the same day, by the same seed, with work lent between them, with each alone, with
// work lent to any cell that has promised room, and with all machines in one cell. Each run is judged by the same rules
// as the tests; the program ends with 0 only if none broke and each job ended once. Simulated time: the same seed gives
// the same figures.
#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>

#include <CLI/CLI.hpp>
#include <boost/histogram.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <toml++/toml.h>

#include "../../tests/federation.hpp"

namespace {

using namespace loftrouter;
using namespace loftrouter::test;
using loftrouter::test::Federation;
using nlohmann::json;

struct Class {
  std::string name, shape = "array", team = "red", priority = "low";
  std::vector<int> cells;
  double cpus = 1, memory = 1, run_s = 25, rate = 1; // jobs a minute, in each of its cells
  int tasks = 100, initial = 0;
  double started_within_s = 60, finished_within_s = 180;
  bool spot = true, one_zone = false;
};
struct Burst {
  int cell;
  std::string job_class;
  double at, for_s, factor;
};
struct Fault {
  double at, for_s;
  std::string kind;
  int cell, other, node;
};
struct Scenario {
  std::string name;
  double minutes = 10, heartbeat_interval_s = 5, lease_s = 26.5, cancel_s = 51.5;
  std::vector<std::map<std::string, long>> cells; // machines by type
  std::vector<MachineType> types;
  std::vector<Class> classes;
  std::vector<Burst> bursts;
  std::vector<Fault> faults;
  std::vector<std::string> stay; // classes
};

Scenario read(const std::string &path) {
  const auto file = toml::parse_file(path);
  Scenario s;
  s.name = file["name"].value_or("day");
  s.minutes = file["minutes"].value_or(10.0);
  s.heartbeat_interval_s = file["report_s"].value_or(s.heartbeat_interval_s);
  s.lease_s = file["lease_s"].value_or(s.lease_s);
  s.cancel_s = file["cancel_s"].value_or(s.cancel_s);
  auto each = [&](const char *name, auto fn) {
    if (const auto *list = file[name].as_array())
      for (const auto &x : *list)
        fn(*x.as_table());
  };
  each("types", [&](const toml::table &t) {
    MachineType m;
    m.name = t["name"].value_or("");
    m.size = {t["cpus"].value_or(4.0), 0, t["memory"].value_or(16.0)};
    m.cache_gb = 60;
    m.fetch_gb_per_s = t["fetch_gb_per_s"].value_or(0.5);
    m.price = t["price"].value_or(0.2);
    m.spot_price = t["spot_price"].value_or(0.08);
    m.boot_s = t["boot_s"].value_or(40.0);
    m.zones = {"a", "b"};
    s.types.push_back(std::move(m));
  });
  each("cells", [&](const toml::table &t) {
    std::map<std::string, long> machines;
    for (const auto &[type, count] : *t["machines"].as_table())
      machines[std::string(type.str())] = count.value_or(0L);
    s.cells.push_back(std::move(machines));
  });
  each("classes", [&](const toml::table &t) {
    Class c;
    c.name = t["name"].value_or("");
    c.shape = t["shape"].value_or(c.shape);
    c.priority = t["urgency"].value_or(c.priority);
    c.cpus = t["cpus"].value_or(c.cpus);
    c.memory = t["memory"].value_or(c.memory);
    c.run_s = t["run_s"].value_or(c.run_s);
    c.rate = t["rate"].value_or(c.rate);
    c.tasks = t["tasks"].value_or(c.tasks);
    c.initial = t["initial"].value_or(c.initial);
    c.started_within_s = t["started_within_s"].value_or(c.started_within_s);
    c.finished_within_s = t["finished_within_s"].value_or(c.finished_within_s);
    c.spot = t["spot"].value_or(c.spot);
    c.one_zone = t["one_zone"].value_or(c.one_zone);
    for (int k = 0; k < static_cast<int>(s.cells.size()); ++k)
      c.cells.push_back(k);
    s.classes.push_back(std::move(c));
  });
  each("bursts", [&](const toml::table &t) {
    s.bursts.push_back({t["cell"].value_or(0), t["class"].value_or(""), t["at"].value_or(0.0),
                        t["for_s"].value_or(60.0), t["factor"].value_or(3.0)});
  });
  each("faults", [&](const toml::table &t) {
    s.faults.push_back({t["at"].value_or(0.0), t["for_s"].value_or(30.0), t["kind"].value_or(""), t["cell"].value_or(0),
                        t["other"].value_or(-1), t["node"].value_or(-1)});
  });
  if (const auto *stay = file["stay"].as_array())
    for (const auto &x : *stay)
      s.stay.push_back(x.value_or(""));
  return s;
}

// Waits on a logarithmic axis, s.
struct Waits {
  decltype(boost::histogram::make_histogram(
      boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(120, 0.1, 1e4))) counts =
      boost::histogram::make_histogram(
          boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(120, 0.1, 1e4));
  std::uint64_t all = 0, in_time = 0;
  void add(double s, double within) {
    counts(std::max(0.1, s));
    ++all;
    in_time += s <= within;
  }
  double quantile(double q) const {
    double sum = 0;
    for (auto &&x : boost::histogram::indexed(counts, boost::histogram::coverage::all))
      if ((sum += *x) >= q * static_cast<double>(all)) return x.bin().upper();
    return 0;
  }
};

struct Row { // of a class in a cell
  std::uint64_t jobs = 0, tasks = 0, ended = 0;
  Waits starts, ends;
};

json play(const Scenario &s, std::uint64_t seed, const std::string &mode, bool &good) {
  const bool one = mode == "one";
  std::vector<WorldOptions> options(one ? 1 : s.cells.size());
  for (std::size_t c = 0; c < options.size(); ++c) {
    auto &o = options[c];
    o.heartbeat_interval_s = s.heartbeat_interval_s;
    o.lease_s = s.lease_s;
    o.cancel_s = s.cancel_s;
    o.cpu_share = 10;
    o.types = s.types;
    o.teams = {{"red", 0, 0, 0, 0}};
    o.max_machines = 1'000'000;
    o.state_write_rps = 60;
    o.state_rps = 1000;
    o.min_boot_share = 0.6;
    o.max_boot_share = 1.5;
    o.page = 200;
    o.users_at_once = true;
    o.cells.random_delegation = mode == "random";
    if (one)
      for (const auto &cell : s.cells)
        for (const auto &[type, n] : cell)
          o.capacity[type] += n;
    else
      o.capacity = s.cells[c];
  }
  Federation f(seed, options, 0, mode != "alone" && !one);
  std::map<std::pair<int, std::string>, Row> rows; // by the cell whose job it is in the scenario, and class
  struct Job {
    int cell, world;
    const Class *c;
    double at;
    std::vector<char> started;
  };
  std::map<std::string, Job> jobs;
  std::mt19937_64 rng(seed);
  auto submit = [&](int cell, const Class &c, double at) {
    const int w = one ? 0 : cell;
    f[w].at(at, [&, cell, w, at, &c = c] {
      auto spec = f[w].job(c.shape == "gang" ? Shape::Gang : Shape::Array, static_cast<std::uint32_t>(c.tasks), c.cpus,
                           c.run_s);
      spec.need.memory = c.memory;
      spec.job_class = c.name;
      spec.priority = c.priority == "high" ? Priority::High : c.priority == "normal" ? Priority::Normal : Priority::Low;
      spec.spot = c.spot;
      spec.one_zone = c.one_zone;
      spec.deadline_s = c.finished_within_s;
      jobs[spec.id] = {cell, w, &c, at, std::vector<char>(spec.tasks, 0)};
      auto &row = rows[{cell, c.name}];
      ++row.jobs;
      row.tasks += spec.tasks;
      f[w].submit(spec);
    });
  };
  const double last = s.minutes * 60;
  for (const auto &c : s.classes)
    for (int cell : c.cells) {
      for (int i = 0; i < c.initial; ++i)
        submit(cell, c, 2 + 0.05 * i);
      for (double t = 10; t < last;) {
        double rate = c.rate;
        for (const auto &b : s.bursts)
          if (b.cell == cell && b.job_class == c.name && t >= b.at && t < b.at + b.for_s) rate *= b.factor;
        t += std::exponential_distribution<double>(rate / 60)(rng);
        if (t < last) submit(cell, c, t);
      }
    }
  for (const auto &x : s.faults) {
    if (one && x.kind.starts_with("cells")) continue;
    auto each_node = [&f, x, one](auto fn) {
      const int w = one ? 0 : x.cell;
      for (int n = 0; n < 3; ++n)
        if (x.node < 0 || x.node == n) fn(f[w], n);
    };
    f[0].at(x.at, [&f, x, each_node] {
      if (x.kind == "crash") each_node([&](World &w, int n) { w.crash(n, 3); });
      if (x.kind == "outage")
        each_node([&](World &w, int n) {
          if (n == 0) w.outage(x.for_s);
        });
      if (x.kind == "state_slow") each_node([&](World &w, int n) { w.cut_state(n, x.for_s, World::Cut::Slow); });
      if (x.kind == "cells_cut") f.cut(x.cell, x.other, x.for_s);
      if (x.kind == "cells_one_way") f.cut(x.cell, -1, x.other, -1, x.for_s);
      if (x.kind == "cells_node") f.cut(x.cell, x.node, x.other, -1, x.for_s);
    });
  }
  if (!s.stay.empty() && !one)
    for (int c = 0; c < f.size(); ++c)
      f[c].at(4, [&f, &s, c] { f[c].admin(0, "PUT", "/admin/v1/cells", json{{"stay_classes", s.stay}}.dump()); });
  std::uint64_t elsewhere = 0;
  std::map<int, double> last_start_elsewhere;
  f.on_start = [&](int, int cell, const World::On &task) {
    Job &j = jobs.at(task.job);
    if (cell != j.world) ++elsewhere;
    if (!std::exchange(j.started[task.index], 1))
      rows[{j.cell, j.c->name}].starts.add(f[cell].now() - j.at, j.c->started_within_s);
  };
  const auto began = std::chrono::steady_clock::now();
  std::map<std::string, bool> over;
  for (double t = 1; t <= last + 600; t += 1) {
    f.run(t);
    for (auto &[id, j] : jobs) {
      if (over[id]) continue;
      const auto *told = f[j.world].own(id);
      if (!told || !told->done) continue;
      over[id] = true;
      auto &row = rows[{j.cell, j.c->name}];
      ++row.ended;
      row.ends.add(t - j.at, j.c->finished_within_s);
    }
    if (t > last && f.all_over()) break;
  }
  for (const auto &[id, j] : jobs)
    if (!over[id]) { // what its owner is told
      const auto seen = f[j.world].look_up(std::max(0, f[j.world].leader()), id);
      f.run(f.now() + 0.5);
      std::cout << fmt::format("  not ended: {} of cell {}: {}\n", id, j.cell, seen->body.dump());
    }
  const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
  json out = {{"mode", mode},
              {"classes", json::array()},
              {"tasks_elsewhere", elsewhere},
              {"loans", f.delegations},
              {"frames", f.frames},
              {"frames_a_second", f.frames / f.now()},
              {"simulated_s", f.now()},
              {"real_s", took}};
  for (auto &[key, r] : rows) {
    const auto &c =
        *std::find_if(s.classes.begin(), s.classes.end(), [&](const Class &x) { return x.name == key.second; });
    auto share = [](std::uint64_t a, std::uint64_t b) {
      return b ? static_cast<double>(a) / static_cast<double>(b) : 1.0;
    };
    out["classes"].push_back({{"cell", key.first},
                              {"class", key.second},
                              {"jobs", r.jobs},
                              {"ended", r.ended},
                              {"started_within_s", c.started_within_s},
                              {"started_in_time", share(r.starts.in_time, r.tasks)},
                              {"finished_within_s", c.finished_within_s},
                              {"finished_in_time", share(r.ends.in_time, r.jobs)},
                              {"start_p50", r.starts.quantile(0.5)},
                              {"start_p90", r.starts.quantile(0.9)},
                              {"end_p50", r.ends.quantile(0.5)},
                              {"end_p90", r.ends.quantile(0.9)}});
    good &= r.ended == r.jobs;
  }
  out["broken"] = f.broken();
  good &= f.broken().empty();
  std::uint64_t changes = 0;
  for (int c = 0; c < f.size(); ++c)
    changes += f[c].revision();
  out["state_changes"] = changes;
  return out;
}

void print(const json &run) {
  std::cout << fmt::format(
      "{:<7} elsewhere {:>6} tasks, {:>4} loans, {:.1f} frames/s, {} state changes, {:.0f} s real\n",
      run["mode"].get<std::string>(), run["tasks_elsewhere"].get<std::uint64_t>(), run["loans"].get<int>(),
      run["frames_a_second"].get<double>(), run["state_changes"].get<std::uint64_t>(), run["real_s"].get<double>());
  for (const auto &c : run["classes"])
    std::cout << fmt::format(
        "  cell {} {:<8} {:>4} jobs {:>4} ended  started in {:.0f} s {:.2f} (p90 {:.0f})  finished in {:.0f} s {:.2f} "
        "(p90 {:.0f})\n",
        c["cell"].get<int>(), c["class"].get<std::string>(), c["jobs"].get<int>(), c["ended"].get<int>(),
        c["started_within_s"].get<double>(), c["started_in_time"].get<double>(), c["start_p90"].get<double>(),
        c["finished_within_s"].get<double>(), c["finished_in_time"].get<double>(), c["end_p90"].get<double>());
  for (const auto &b : run["broken"])
    std::cout << "  BROKEN " << b.get<std::string>() << "\n";
}

// Bars of what was finished in time, by class and cell, one colour a mode.
void plot(const json &all, const std::string &path) {
  std::ofstream data(path + ".dat");
  data << "what";
  for (const auto &run : all["runs"])
    data << " " << run["mode"].get<std::string>();
  data << "\n";
  for (std::size_t i = 0; i < all["runs"][0]["classes"].size(); ++i) {
    const auto &c = all["runs"][0]["classes"][i];
    data << c["class"].get<std::string>() << "-" << c["cell"];
    for (const auto &run : all["runs"])
      data << " " << run["classes"][i]["finished_in_time"].get<double>();
    data << "\n";
  }
  data.close();
  FILE *p = ::popen("gnuplot", "w");
  if (!p) return;
  std::fprintf(p,
               "set terminal svg size 900,420\nset output '%s'\nset style data histograms\nset style fill solid 0.8\n"
               "set yrange [0:1]\nset ylabel 'share finished in time'\nset key outside\n"
               "plot for [i=2:%zu] '%s.dat' using i:xtic(1) title columnheader(i)\n",
               path.c_str(), all["runs"].size() + 1, path.c_str());
  ::pclose(p);
}

} // namespace

int main(int argc, char **argv) {
  CLI::App app{"loftrouter_lab: several simulated cells at size", "loftrouter_lab"};
  app.require_subcommand(1);
  auto *run = app.add_subcommand("run", "plays a scenario: alone, lending, at random and as one cell");
  std::string path, out, picture;
  std::uint64_t seed = 1;
  std::vector<std::string> modes{"alone", "lend"};
  run->add_option("FILE", path, "scenario (TOML)")->required()->check(CLI::ExistingFile);
  run->add_option("--seed", seed, "of all random numbers");
  run->add_option("--json", out, "where the figures go");
  run->add_option("--plot", picture, "where a picture goes (SVG, by gnuplot)");
  run->add_option("--modes", modes, "of alone, lend, random, one")->delimiter(',');
  CLI11_PARSE(app, argc, argv);
  bool good = true;
  json all = {{"scenario", path}, {"seed", seed}, {"runs", json::array()}};
  try {
    const auto s = read(path);
    for (const auto &mode : modes) {
      all["runs"].push_back(play(s, seed, mode, good));
      print(all["runs"].back());
    }
  } catch (const toml::parse_error &e) {
    std::cerr << path << ": " << e.description() << "\n";
    return 2;
  }
  if (!out.empty()) std::ofstream(out) << all.dump(1) << "\n";
  if (!picture.empty()) plot(all, picture);
  return good ? 0 : 1;
}
