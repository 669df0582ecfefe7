// Prints a fingerprint of the controllers' behaviour: one hash a scenario of all that they send over a range of seeds.
// Two versions of the code with equal fingerprints have sent the same bytes at the same simulated times.
#include <algorithm>
#include <atomic>
#include <cstdint>
#include <cstdio>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include "scenarios.hpp"

namespace {

using namespace loftrouter::fingerprint;

struct Options {
  int seeds = 20, first_seed = 1, jobs = 4;
  std::vector<std::string> scenarios; // none: all
  bool list = false, by_seed = false, trace = false, ignore_texts = false;

  TextContents texts() const { return ignore_texts ? TextContents::LeftOut : TextContents::Hashed; }
};

struct ScenarioRun {
  const Scenario *scenario;
  std::vector<SeedResult> seeds;
};

// Each seed is played on its own, so that the order in which threads take them is of no consequence.
void play_all(std::vector<ScenarioRun> &runs, const Options &options) {
  const auto seeds = static_cast<std::size_t>(options.seeds);
  std::atomic<std::size_t> next = 0;
  const auto work = [&] {
    for (std::size_t i = next++; i < runs.size() * seeds; i = next++) {
      auto &run = runs[runs.size() - 1 - i / seeds]; // the longest are the last of the list
      const auto seed = static_cast<std::uint64_t>(options.first_seed) + i % seeds;
      run.seeds[i % seeds] = play_seed(*run.scenario, seed, options.texts());
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < options.jobs; ++i)
    threads.emplace_back(work);
  for (auto &thread : threads)
    thread.join();
}

// Of no consequence to the fingerprint. The worlds' rules know nothing of limits that change while they run, so that
// some are expected where operators change quotas.
void print_broken_rules(const ScenarioRun &run, int first_seed) {
  for (std::size_t i = 0; i < run.seeds.size(); ++i) {
    const auto &rules = run.seeds[i].broken_rules;
    if (!rules.empty())
      fmt::print(stderr, "{} seed {}: {} rules broken, first: {}\n", run.scenario->name,
                 first_seed + static_cast<int>(i), rules.size(), rules.front());
  }
}

std::uint64_t print_scenario(const ScenarioRun &run, const Options &options) {
  Hash hash;
  std::uint64_t messages = 0;
  for (std::size_t i = 0; i < run.seeds.size(); ++i) {
    const auto &seed = run.seeds[i];
    hash.add_number(seed.hash);
    messages += seed.messages;
    if (options.by_seed)
      fmt::print("{:<20} seed {:<6} {}\n", run.scenario->name, options.first_seed + static_cast<int>(i),
                 hash_text(seed.hash));
  }
  fmt::print("{:<20} {} seeds {:>10} messages  {}\n", run.scenario->name, run.seeds.size(), messages,
             hash_text(hash.value()));
  return hash.value();
}

// Printable as it is, the rest as \xNN.
std::string escaped(std::string_view bytes) {
  std::string out;
  for (const char byte : bytes) {
    const bool plain = byte >= ' ' && byte <= '~' && byte != '\\';
    out += plain ? std::string(1, byte) : fmt::format("\\x{:02x}", static_cast<unsigned char>(byte));
  }
  return out;
}

// Every message on a line: the first line that differs between two versions shows what has changed.
void print_trace(const Scenario &scenario, std::uint64_t seed, TextContents texts) {
  EffectsHash hash(texts, [](const SentMessage &message) {
    fmt::print("{:.6f} cell {} node {} {} {}\n", message.time, message.sender.cell, message.sender.node,
               destination_name(message.destination), escaped(message.content));
  });
  scenario.play(seed, hash);
}

std::vector<ScenarioRun> chosen_runs(const Options &options) {
  std::vector<ScenarioRun> runs;
  for (const auto &scenario : scenarios()) {
    const auto &names = options.scenarios;
    if (!names.empty() && std::find(names.begin(), names.end(), scenario.name) == names.end()) continue;
    runs.push_back({&scenario, std::vector<SeedResult>(static_cast<std::size_t>(options.seeds))});
  }
  return runs;
}

int run(const Options &options) {
  if (options.list) {
    for (const auto &scenario : scenarios())
      fmt::print("{:<20} {}\n", scenario.name, scenario.description);
    return 0;
  }
  auto runs = chosen_runs(options);
  if (options.trace) {
    print_trace(*runs.front().scenario, static_cast<std::uint64_t>(options.first_seed), options.texts());
    return 0;
  }
  play_all(runs, options);
  Hash total;
  for (const auto &scenario_run : runs) {
    total.add_number(print_scenario(scenario_run, options));
    print_broken_rules(scenario_run, options.first_seed);
  }
  fmt::print("{:<20} {}\n", "total", hash_text(total.value()));
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  Options options;
  CLI::App app("Fingerprint of the controllers' behaviour in simulated worlds");
  app.add_option("--seeds", options.seeds, "seeds of each scenario")->check(CLI::PositiveNumber);
  app.add_option("--first-seed", options.first_seed, "the first of them")->check(CLI::PositiveNumber);
  app.add_option("--jobs", options.jobs, "threads")->check(CLI::PositiveNumber);
  app.add_option("--scenario", options.scenarios, "only these")->check([](const std::string &name) {
    return find_scenario(name) ? std::string() : "no scenario of that name: " + name;
  });
  app.add_flag("--list", options.list, "prints the scenarios");
  app.add_flag("--by-seed", options.by_seed, "prints the hash of each seed, too");
  app.add_flag("--trace", options.trace, "prints each message of the first seed of the first scenario");
  app.add_flag("--ignore-texts", options.ignore_texts,
               "leaves out what error messages, reasons and troubles say, so that rewording them alters no hash");
  CLI11_PARSE(app, argc, argv);
  return run(options);
}
