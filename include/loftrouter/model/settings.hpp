// Settings of the core, from the platform's settings file and the features file. Read at process start and immutable
// afterwards, so that threads may share them.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace loftrouter {

// A team with its guaranteed quota and its limit (`_max`), in CPUs and GPUs; 0: none.
struct Team {
  std::string name;
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;
};
// A service-level objective for the jobs of a class.
struct Objective {
  std::string kind; // `finished`: completed within `within_s`; `wait`: started within it
  std::string job_class;
  double within_s = 0; // since the submission
  double share = 0;    // fraction of the jobs that have to meet it
  double times = 1;
};
// Another controller replica of this cell.
struct Replica {
  std::string node, zone, address;
};
// Another cell of the federation.
struct OtherCell {
  std::string name;
  std::vector<std::string> nodes; // addresses for messages between cells
};
// The federation of cells, enabled in the features file.
struct CellSettings {
  std::string name; // this cell; empty: no federation
  std::vector<OtherCell> others;
  bool random_delegation = false; // baseline for benchmarks: delegates to any cell that grants capacity
};
struct Settings {
  std::string node, zone, listen, peer_listen;
  std::vector<Replica> replicas; // without this node
  std::string cloud_address, state_address;
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  double heartbeat_interval_s = 1; // of workers
  double lease_s = 10;             // of workers: without a response for this long, they stop their tasks
  double gang_wait_s = 30;         // how long a task waits for the other tasks of its gang
  double gang_peer_s = 4;          // until the tasks of a gang notice that one of them is gone
  double cancel_s = 40;            // bound from the response to a cancellation until no task of the job runs
  // Limits of the state service. The `next` rates are announced and may come into force at any time
  // (StateServiceLimits); the value and transaction sizes are already the smaller of present and announced.
  double state_rps = 100, state_write_rps = 10, state_value_kb = 8;
  int state_txn_ops = 8;
  std::optional<double> state_next_rps, state_next_write_rps;
  double cloud_rps = 5, cloud_list_lag_s = 3;
  double cpu_share = 1, memory_mb = 256; // available to this process
  int fd_limit = 1024;
  double clock_bound_ms = 10; // bound on the difference between the wall clocks of two nodes
  CellSettings cells;
  bool configuration = false; // watches configuration records; quotas can be changed at run time
  bool accounts = false;      // records the usage of teams and enforces budgets
};

} // namespace loftrouter
