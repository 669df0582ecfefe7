// What the platform's settings file says, as the core needs it.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace loftrouter {

struct Team {
  std::string name;
  double cpus = 0, cpus_max = 0, gpus = 0, gpus_max = 0; // 0: none
};
struct Objective {
  std::string kind, job_class;
  double within_s = 0, share = 0, times = 1;
};
struct Replica {
  std::string node, zone, address;
};
// Cells that work as one fleet; switched on in the features file. Without a name this one is alone.
struct OtherCell {
  std::string name;
  std::vector<std::string> nodes; // addresses for frames
};
struct CellSettings {
  std::string name;
  std::vector<OtherCell> others;
  bool at_random = false; // a baseline of the lab's: work goes to any cell that promises room
};
struct Settings {
  std::string node, zone, listen, peer_listen;
  std::vector<Replica> replicas;
  std::string cloud_address, state_address;
  std::vector<std::string> zones;
  std::vector<Team> teams;
  std::vector<Objective> objectives;
  double heartbeat_interval_s = 1, lease_s = 10, gang_wait_s = 30, gang_peer_s = 4, cancel_s = 40;
  // Limits of the state service. They may fall without notice: what is written obeys the smaller of the sizes from the
  // first write; the rates are those in force until the fall has shown (StateServiceLimits).
  double state_rps = 100, state_write_rps = 10, state_value_kb = 8;
  int state_txn_ops = 8;
  std::optional<double> state_next_rps, state_next_write_rps;
  double cloud_rps = 5, cloud_list_lag_s = 3;
  double cpu_share = 1, memory_mb = 256;
  int fd_limit = 1024;
  double clock_bound_ms = 10;
  CellSettings cells;
  bool configuration = false; // records of what operators configure are watched, and quotas change while it runs
  bool accounts = false;      // what teams use is kept and budgets are held; switched on in the features file
};

} // namespace loftrouter
