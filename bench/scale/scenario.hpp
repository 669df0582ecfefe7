// What a scale run plays: the size of the fleet, the work that users submit, faults at set times, and the objectives
// that decide whether the run has passed. Read from a TOML file; every field is checked and unknown ones are refused. A
// file may name another one beside it as its `base`, and says then only what differs.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "loftrouter/model/types.hpp"

namespace loftrouter::scale {

struct WorkerType {
  std::string name;
  double cpus = 1, memory_gb = 1;
  double share = 1; // of all workers
};

struct JobClass {
  std::string name;
  Shape shape = Shape::Array;
  Priority priority = Priority::Normal;
  std::uint32_t min_tasks = 1, max_tasks = 1;
  double cpus = 1, memory_gb = 1; // a task
  double run_s = 30;              // mean
  double image_gb = 1;
  int images = 1;
  double starts_share = 1; // of all task starts
  double cancelled = 0;    // share of its jobs
  bool one_zone = false;
  double checkpoint_s = 0, save_s = 0;
};

struct Fault {
  enum class Kind : std::uint8_t { ZoneLost, RegionCut, WorkersRestart, LeadersKilled };
  Kind kind = Kind::ZoneLost;
  double at_s = 0;  // after the warm-up
  double for_s = 0; // region_cut
  double per_s = 0; // workers_restart: rate
  int count = 0;    // workers_restart: in all, at the design size
};

// How changes of configuration are made and seen to be in force.
struct ConfigurationLoad {
  enum class Mechanism : std::uint8_t { None, Budgets, Quotas };
  Mechanism mechanism = Mechanism::None;
  double changes_per_day = 0;
};

struct Objectives { // nothing: not asked for
  std::optional<double> accept_p95_s, urgent_start_p95_s, starts_per_s, running_tasks, config_in_force_p99_s;
};

struct Scenario {
  std::string name;
  int workers = 1000; // that the rates below are meant for
  int spare_workers = 0;
  int regions = 3, zones_per_region = 4, controllers_per_region = 2;
  int teams = 10;
  double seconds = 60, warmup_s = 30;
  double task_starts_per_s = 10;
  double run_scale = 1;         // times the run_s of all classes
  double team_limit_factor = 4; // limit of a team over its mean use
  double heartbeat_interval_s = 5, lease_s = 26, cancel_s = 52, gang_wait_s = 35, gang_peer_s = 6;
  double fetch_gb_per_s = 0.5, boot_s = 25;
  double state_requests_per_s = 900, state_changes_per_s = 60, state_value_kb = 8, state_latency_s = 0.005;
  int state_transaction_changes = 8;
  double cloud_requests_per_s = 10, cloud_list_lag_s = 3;
  std::vector<WorkerType> types;
  std::vector<JobClass> classes;
  std::vector<Fault> faults;
  ConfigurationLoad configuration;
  Objectives objectives;

  std::string zone_name(int region, int zone) const;
  std::string team_name(int team) const;
  int jobs_at_start(double jobs_per_s) const;
};

// Names the field and what is wrong with it.
struct ScenarioError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

Scenario parse_scenario(const std::string &toml);   // throws ScenarioError
Scenario load_scenario(const std::string &path);    // throws ScenarioError
Scenario scaled_to(Scenario scenario, int workers); // rates, counts and the largest gangs in proportion

} // namespace loftrouter::scale
