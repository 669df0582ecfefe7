// What the platform's settings file and the features file say, as the core needs it. Read once, when the process
// starts; immutable after that, and so safe to share.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace loftrouter {

// A team's guarantee and its limit (`_max`), in CPUs and GPUs. 0: none.
struct Team {
  std::string name;
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0;
};
// A service-level objective for the jobs of a class.
struct Objective {
  std::string kind, job_class;
  double within_s = 0;
  double share = 0; // of the jobs that have to meet it
  double times = 1;
};
// Another controller of this cell.
struct Replica {
  std::string node, zone, address;
};
// Another cell of the federation.
struct OtherCell {
  std::string name;
  std::vector<std::string> nodes; // addresses that take this cell's messages
};
// Cells that work as one federation; switched on in the features file.
struct CellSettings {
  std::string name; // this cell's; empty: it is in no federation
  std::vector<OtherCell> others;
  bool random_delegation = false; // a baseline for measurements: work goes to any cell that grants capacity
};
struct Settings {
  std::string node, zone, listen, peer_listen;
  std::vector<Replica> replicas; // the others, without this node
  std::string cloud_address, state_address;
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  double heartbeat_interval_s = 1; // of workers
  double lease_s = 10;             // of workers: they stop their tasks without an answer for so long
  double gang_wait_s = 30;         // how long a task waits until all of its gang are there
  double gang_peer_s = 4;          // until the tasks of a gang notice that one of them is gone
  double cancel_s = 40;            // from when a user is told that a job is cancelled until none of its tasks may run
  // Limits of the state service. They may fall without notice: what is written obeys the smaller of the sizes from the
  // first write; the rates are those in force until the fall has shown (StateServiceLimits).
  double state_rps = 100, state_write_rps = 10, state_value_kb = 8;
  int state_txn_ops = 8;
  std::optional<double> state_next_rps, state_next_write_rps;
  double cloud_rps = 5, cloud_list_lag_s = 3;
  double cpu_share = 1, memory_mb = 256; // that this process may use
  int fd_limit = 1024;
  double clock_bound_ms = 10; // by which the wall clocks of two nodes may differ
  CellSettings cells;
  bool configuration = false; // records of what operators configure are watched, and quotas change while it runs
  bool accounts = false;      // what teams use is kept and budgets are held; switched on in the features file
};

} // namespace loftrouter
