// loftrouter_scale: real controllers under hollow workers and users, at the size that the design is for.
//
//   run FILE.toml --json OUT           one scenario; exit code 0 only if it is valid, nothing broke, objectives were
//   met sweep FILE.toml --json OUT         the scenario at several sizes, one after the other table OUT.json ...
//   --target N      the tables of docs/CAPACITY.md from such figures
//
// Exit code 1: the run has failed; 2: the command line or the scenario is wrong, and the field is named.
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <CLI/CLI.hpp>

#include "capacity_table.hpp"
#include "child.hpp"
#include "runner.hpp"

using namespace loftrouter::scale;

namespace {

constexpr int kFailed = 1, kMisused = 2;

struct Arguments {
  RunOptions options;
  std::string json, commit;
  std::vector<int> sizes{1000, 2000, 4000, 8000, 11000};
  std::vector<std::string> results;
  double target = 11'000;
  std::string role;
  int region = 0;
};

std::string beside_this_program(const std::string &name) {
  return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / name).string();
}

// Progress goes to standard error; the figures to the file, a list of all runs of this command.
int play(const Arguments &a, const std::vector<int> &sizes) {
  auto all = nlohmann::json::array();
  bool passed = true;
  for (int size : sizes) {
    RunOptions options = a.options;
    if (size > 0) options.workers = size;
    auto figures = run_scenario(options);
    figures["commit"] = a.commit;
    passed &= figures["passed"].get<bool>();
    for (const auto &why : figures["failures"])
      std::fprintf(stderr, "failed: %s\n", why.get<std::string>().c_str());
    for (const auto &why : figures["invalid_because"])
      std::fprintf(stderr, "invalid: %s\n", why.get<std::string>().c_str());
    all.push_back(std::move(figures));
    if (!a.json.empty()) std::ofstream(a.json) << all.dump(1) << "\n";
  }
  if (a.json.empty()) std::puts(all.dump(1).c_str());
  return passed ? 0 : kFailed;
}

int print_tables(const Arguments &a) {
  std::vector<nlohmann::json> runs;
  for (const auto &file : a.results) {
    std::ifstream in(file);
    const auto list = nlohmann::json::parse(in, nullptr, false);
    if (!list.is_array()) {
      std::fprintf(stderr, "%s: not a list of runs\n", file.c_str());
      return kMisused;
    }
    runs.insert(runs.end(), list.begin(), list.end());
  }
  std::fputs(capacity_tables(runs, a.target).c_str(), stdout);
  return 0;
}

void add_run_options(CLI::App &command, Arguments &a) {
  command.add_option("scenario", a.options.scenario_file, "scenario (TOML)")->required()->check(CLI::ExistingFile);
  command.add_option("--seed", a.options.seed, "seed of all that is random");
  command.add_option("--workers", a.options.workers, "fleet size; rates follow it")->check(CLI::Range(12, 20000));
  command.add_option("--seconds", a.options.seconds, "how long to measure")->check(CLI::Range(5.0, 300.0));
  command.add_option("--base-port", a.options.base_port, "first of 250 loopback ports")->check(CLI::Range(1024, 32000));
  command.add_option("--json", a.json, "file for the figures");
  command.add_option("--commit", a.commit, "of the sources, noted with the figures");
  command.add_option("--daemon", a.options.daemon, "the program loftrouterd");
}

} // namespace

int main(int argc, char **argv) {
  Arguments a;
  a.options.self = beside_this_program("loftrouter_scale");
  a.options.daemon = beside_this_program("loftrouterd");
  CLI::App app{"Plays loftrouter's controllers at size", "loftrouter_scale"};
  app.require_subcommand(1);
  auto *run = app.add_subcommand("run", "play a scenario");
  add_run_options(*run, a);
  auto *sweep = app.add_subcommand("sweep", "play a scenario at several sizes");
  add_run_options(*sweep, a);
  sweep->add_option("--sizes", a.sizes, "numbers of workers")->delimiter(',');
  auto *table = app.add_subcommand("table", "print the tables of docs/CAPACITY.md");
  table->add_option("results", a.results, "figures of runs (JSON)")->required()->check(CLI::ExistingFile);
  table->add_option("--target", a.target, "number of workers that is asked for");
  auto *child = app.add_subcommand("child", "a process of a run; started by it")->group("");
  child->add_option("role", a.role)->required()->check(CLI::IsMember({"outside", "workers", "users", "links"}));
  child->add_option("--region", a.region);
  add_run_options(*child, a);
  try {
    app.parse(argc, argv);
    if (child->parsed()) {
      const auto role = a.role == "outside"   ? ChildRole::Outside
                        : a.role == "workers" ? ChildRole::Workers
                        : a.role == "users"   ? ChildRole::Users
                                              : ChildRole::Links;
      return run_child(role, a.region, a.options);
    }
    if (table->parsed()) return print_tables(a);
    return play(a, sweep->parsed() ? a.sizes : std::vector<int>{0});
  } catch (const CLI::ParseError &e) {
    return app.exit(e) == 0 ? 0 : kMisused;
  } catch (const ScenarioError &e) {
    std::fprintf(stderr, "loftrouter_scale: %s\n", e.what());
    return kMisused;
  } catch (const std::exception &e) {
    std::fprintf(stderr, "loftrouter_scale: %s\n", e.what());
    return kFailed;
  }
}
