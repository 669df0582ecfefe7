// Encodes the response of GET /admin/v1/status.
//
// All functions are pure. The JSON keys are a stable API read by operators' tools. Ages are in seconds; negative
// ones mean "never" and are encoded as null.
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

// RejectedBodyCount counts the bodies that a process has rejected on one interface for one reason.
struct RejectedBodyCount {
  std::string interface;
  std::string reason;
  std::uint64_t count = 0;
};

// ProcessLoad is measured outside the core.
struct ProcessLoad {
  LatencyQuantiles batch_ms;                      // processing time of a batch of commands
  LatencyQuantiles queue_wait_ms;                 // waiting time of a command before its batch starts
  double cpu_s = 0;                               // processor time used by this process
  std::vector<RejectedBodyCount> rejected_bodies; // since the process started
};

// AdminStatus is one node's view of the service.
struct AdminStatus {
  std::string node;
  std::string role;
  std::string leader; // empty: unknown
  std::uint64_t term = 0;
  std::string leader_since;   // time of day; empty: unknown
  double state_age_s = 0;     // since the state service's last response
  double cloud_age_s = 0;     // since the cloud API's last response
  double heartbeat_age_s = 0; // since the last heartbeat

  struct Replica {
    std::string node;
    double last_contact_s; // since its last message
    bool cut_off;          // gets no responses from the state service
    bool forwards_heartbeats;
    std::size_t direct_workers = 0;  // workers whose heartbeats it forwards to this node
    ConnectivityRecord connectivity; // as reported by the replica
    std::string source;              // where `connectivity` came from: link, state service or nothing
    std::string version; // earlier, this or later, unknown; by whether it supports dependencies between jobs
  };
  std::vector<Replica> replicas;

  // Connectivity describes this node.
  struct Connectivity {
    ConnectivityRecord record;
    std::vector<std::pair<std::string, double>> machines; // estimated number sending heartbeats to this node, by zone
  } connectivity;

  // Load counts heartbeats received directly from workers, and those forwarded to this node (leader) or by it (others).
  struct Load {
    double heartbeats_per_s = 0;
    double max_heartbeats_per_s = 0;
    double forwarded_per_s = 0;
    std::size_t workers = 0; // sending heartbeats directly to this node
    std::size_t max_workers = 0;
    bool spreads = false; // replicas receive the heartbeats of some workers
    double cpu_s = 0;     // processor time used since the process started
    double up_s = 0;      // since the process started
    double cpu_share = 1; // share of a core that the process may use
  } load;

  // Kind counts the machines of one type and zone that are either spot or not.
  struct Kind {
    std::string type;
    std::string zone;
    bool spot = false;
    int up = 0;
    int starting = 0;
    int unreachable = 0;
    double cpus = 0;      // of machines that are up
    double used = 0;      // CPUs
    bool refused = false; // the cloud API recently refused a request for this kind
  };
  std::vector<Kind> fleet;

  // Cell describes another cell.
  struct Cell {
    std::string name;
    double last_contact_s; // since its last message
    bool delegates;        // cancellations are fast enough to delegate to it
    std::uint64_t delegated_out_tasks;
    std::uint64_t delegated_in_tasks;
  };
  std::string cell; // this cell's name; empty with a single cell
  std::vector<Cell> cells;

  // Queue summarizes the unfinished jobs of one team.
  struct Queue {
    std::string team;
    int jobs = 0;
    std::uint64_t waiting = 0;  // tasks
    std::uint64_t running = 0;  // tasks
    double oldest_s = 0;        // longest wait of a job that is ready to start
    int waiting_for_others = 0; // jobs with unfinished dependencies
  };
  std::vector<Queue> queues;

  // ServiceLevel counts the jobs of a class, the largest jobs of a class, or the jobs of a team, since the start of
  // this leader's term.
  struct ServiceLevel {
    std::string of; // which of these three groups
    std::string name;
    std::uint64_t accepted = 0;
    std::uint64_t begun = 0;
    std::uint64_t done = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t waiting = 0; // ready to start but not started
    double longest_wait_s = 0;
  };
  std::vector<ServiceLevel> served;

  LatencyQuantiles batch_ms;
  LatencyQuantiles queue_wait_ms;
  std::vector<RejectedBodyCount> rejected_bodies;
  std::vector<std::string> troubles; // current problems, one sentence each
};

[[nodiscard]] std::string encode_status(const AdminStatus &status);

// Formats a time of day in UTC, as "02:14:05Z". `wall` is in seconds since 1970.
[[nodiscard]] std::string clock_time(double wall);

} // namespace loftrouter::wire
