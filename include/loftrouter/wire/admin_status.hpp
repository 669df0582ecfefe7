// The answer of GET /admin/v1/status: what one node knows of the service and its surroundings.
//
// All functions are pure. The JSON keys are the API's; operators' tools read them, so they don't change. Ages and
// times since are in seconds; negative ones mean "never" and are shown as null.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "loftrouter/model/types.hpp"

namespace loftrouter::wire {

struct LatencyQuantiles {
  double p50 = 0; // ms
  double p99 = 0; // ms
};

// Measured by the program around the core.
struct ProcessLoad {
  LatencyQuantiles batch_ms;      // time that the core takes for a batch of commands
  LatencyQuantiles queue_wait_ms; // time that a command waits for its batch
  double cpu_s = 0;               // processor time that this process has used
};

struct AdminStatus {
  std::string node;
  std::string role;
  std::string leader; // empty: none is known
  std::uint64_t term = 0;
  std::string leader_since;   // time of day; empty: not known
  double state_age_s = 0;     // since the state service's last answer
  double cloud_age_s = 0;     // since the cloud's last answer
  double heartbeat_age_s = 0; // since the last heartbeat

  struct Replica {
    std::string node;
    double last_contact_s; // since its last message
    bool cut_off;          // it gets no answers from the state service
    bool forwards_heartbeats;
    std::size_t direct_workers = 0;  // whose heartbeats it forwards to this node
    ConnectivityRecord connectivity; // as it has reported
    std::string source;              // of that report: link, state service or nothing
    std::string version; // earlier, this or later, unknown; by whether it supports dependencies between jobs
  };
  std::vector<Replica> replicas;

  // Of this node.
  struct Connectivity {
    ConnectivityRecord record;
    std::vector<std::pair<std::string, double>> machines; // about so many send heartbeats here, by zone
  } connectivity;

  // Heartbeats that come straight from workers, and those forwarded to this node (leader) or by it (others).
  struct Load {
    double heartbeats_per_s = 0;
    double max_heartbeats_per_s = 0;
    double forwarded_per_s = 0;
    std::size_t workers = 0; // that send heartbeats straight to this node
    std::size_t max_workers = 0;
    bool spreads = false; // replicas keep some of the workers
    double cpu_s = 0;     // processor time used since the process started
    double up_s = 0;      // since the process started
    double cpu_share = 1; // of a core, that it may use
  } load;

  // Machines of one type, zone and kind.
  struct Kind {
    std::string type;
    std::string zone;
    bool spot = false;
    int up = 0;
    int starting = 0;
    int unreachable = 0;
    double cpus = 0;      // of those that are up
    double used = 0;      // CPUs
    bool refused = false; // by the cloud, lately
  };
  std::vector<Kind> fleet;

  // Another cell.
  struct Cell {
    std::string name;
    double last_contact_s; // since its last message
    bool delegates;        // the time that cancellations need allows delegation to it
    std::uint64_t delegated_out_tasks;
    std::uint64_t delegated_in_tasks;
  };
  std::string cell; // this one's name; empty: it is alone
  std::vector<Cell> cells;

  // Work of one team that isn't over.
  struct Queue {
    std::string team;
    int jobs = 0;
    std::uint64_t waiting = 0;  // tasks
    std::uint64_t running = 0;  // tasks
    double oldest_s = 0;        // longest wait of a job that could start
    int waiting_for_others = 0; // jobs with dependencies that aren't done
  };
  std::vector<Queue> queues;

  // Jobs of a class, the largest jobs of one, or those of a team; since this leader's term began.
  struct ServiceLevel {
    std::string of; // which of the three
    std::string name;
    std::uint64_t accepted = 0;
    std::uint64_t begun = 0;
    std::uint64_t done = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t waiting = 0; // could start, and have not
    double longest_wait_s = 0;
  };
  std::vector<ServiceLevel> served;

  LatencyQuantiles batch_ms;
  LatencyQuantiles queue_wait_ms;
  std::vector<std::string> troubles; // what is wrong at present, one sentence each
};

[[nodiscard]] std::string encode_status(const AdminStatus &status);

// A time of day in UTC, "02:14:05Z". `wall` is in seconds since 1970.
[[nodiscard]] std::string clock_time(double wall);

} // namespace loftrouter::wire
