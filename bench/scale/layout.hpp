// Who is where in a scale run: the addresses of all processes, and the settings that controllers are started with.
#pragma once

#include <string>
#include <vector>

#include "hollow_workers.hpp"
#include "links.hpp"
#include "workload.hpp"

namespace loftrouter::scale {

struct Layout {
  int base_port = 21000;

  int worker_port() const;
  std::string state(int region) const;
  std::string cloud(int region) const;
  ControllerAddress controller(int region, int node) const;
  std::string peer(int region, int node) const;
  std::string relay(int from, int to, int node) const; // where `from` dials a controller of `to`
  std::string region_name(int region) const { return "region" + std::to_string(region); }

  std::vector<std::vector<ControllerAddress>> controllers(const Scenario &scenario) const;
  std::vector<LinkAddress> links(const Scenario &scenario) const;
  // The platform's settings file of a controller, as JSON.
  std::string settings(const Scenario &scenario, const Workload &workload, int region, int node) const;
  // The features file of a region's controllers, as TOML.
  std::string features(const Scenario &scenario, int region) const;
};

std::vector<MachineType> machine_types(const Scenario &scenario, int region);

} // namespace loftrouter::scale
