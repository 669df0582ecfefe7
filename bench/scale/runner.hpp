// One scale run: starts the controllers, the stand-ins, the hollow workers and users, plays the scenario's faults,
// judges and measures, and returns the figures.
#pragma once

#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

#include "scenario.hpp"

namespace loftrouter::scale {

struct RunOptions {
  std::string scenario_file;
  std::uint64_t seed = 1;
  int workers = 0;    // 0: as the file says
  double seconds = 0; // 0: as the file says
  int base_port = 21000;
  std::string daemon; // the program loftrouterd
  std::string self;   // this program
};

// The scenario of these options. Throws ScenarioError.
Scenario scenario_of(const RunOptions &options);

// Figures of the run. "passed" is true if the run is valid, no rule was broken and each objective was met; otherwise
// "failures" says why. Throws std::runtime_error if something cannot be started.
nlohmann::json run_scenario(const RunOptions &options);

} // namespace loftrouter::scale
