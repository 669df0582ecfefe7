// Plain data types shared by all layers: jobs, tasks, machines and their records. Their encodings are in wire/.
//
// Units: seconds unless a name says otherwise; `_wall`: seconds since 1970 on the wall clock; memory, images and caches
// in GB; prices in the cloud's currency per hour.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "loftrouter/accounts/usage.hpp"

namespace loftrouter {

enum class Shape : std::uint8_t {
  Array,   // independent tasks
  Gang,    // all tasks run at the same time, or none
  Service, // runs until it is cancelled
};
// Priority class of a job. A higher one may preempt a lower one.
enum class Priority : std::uint8_t { Low, Normal, High, Production };
// Phase of an attempt on its worker.
enum class TaskPhase : std::uint8_t {
  Fetching, // fetches the image
  Waiting,  // waits for the other tasks of its gang
  Running,
  Saving, // writes a checkpoint after a stop command
  Exited,
};
// Why an attempt exited or its start was refused, as reported by its worker.
enum class ExitCause : std::uint8_t {
  None, // has not exited
  Done,
  Stopped,               // by a command
  GangPeerLost,          // another task of its gang is gone
  GangIncomplete,        // its gang was not complete in time
  Error,                 // the task failed
  InsufficientResources, // refused: the machine lacks free resources
  Busy,                  // refused: the machine has another attempt of the task
  Unknown,               // refused: no such job or task
};

// Resources that a task needs or a machine has. Memory in GB.
struct Resources {
  static constexpr double kTolerance = 1e-6;          // for sums of rounded amounts
  static constexpr std::uint32_t kMaxCount = 100'000; // tasks; no job has more
  double cpus = 0, gpus = 0, memory = 0;
  // Returns whether this fits in `free`.
  bool fits(const Resources &free) const {
    return cpus <= free.cpus + kTolerance && gpus <= free.gpus + kTolerance && memory <= free.memory + kTolerance;
  }
  // Returns how many tasks with this need fit in `free` at the same time, at most `kMaxCount`. Takes constant time:
  // amounts may be zero, or too small to change a sum.
  std::uint32_t count_in(const Resources &free) const {
    double count = kMaxCount;
    for (const auto &[amount, available] :
         {std::pair(cpus, free.cpus), std::pair(gpus, free.gpus), std::pair(memory, free.memory)}) {
      if (amount > available + kTolerance) return 0;
      if (amount > 0) count = std::min(count, std::floor((available + kTolerance) / amount));
    }
    return static_cast<std::uint32_t>(count);
  }
  // Adds `times` the resources; subtracts if negative.
  void add(const Resources &resources, double times = 1) {
    cpus += resources.cpus * times;
    gpus += resources.gpus * times;
    memory += resources.memory * times;
  }
};

// A job as submitted by its user.
struct JobSpec {
  std::string id, job_class, team;
  Shape shape = Shape::Array;
  Priority priority = Priority::Normal;
  std::uint32_t tasks = 1;
  Resources need; // of each task
  std::string image;
  double image_gb = 0;
  std::optional<std::vector<std::string>> types; // allowed instance types; empty optional: any
  std::optional<std::string> zone;               // required zone; empty optional: any
  bool one_zone = false;                         // all tasks in the same zone
  bool spread = false;                           // at most half of the tasks in one zone
  bool spot = false;                             // may run on spot machines
  double estimate_s = 0;                         // expected run time of a task
  double checkpoint_s = 0;               // run time between two checkpoints; 0: none, a stopped task starts over
  double save_s = 0;                     // time to write a checkpoint when stopped
  std::optional<double> deadline_s;      // relative to the submission
  std::vector<std::string> dependencies; // ids of jobs that must complete first, without duplicates
};
constexpr std::size_t kMaxDependencies = 100; // bounded by the state service's value size

// Half-open ranges of task indices, sorted and disjoint.
using Ranges = std::vector<std::pair<std::uint32_t, std::uint32_t>>;

// Origin of delegated work, kept in the remote cell.
struct DelegationSource {
  std::string origin; // cell
  std::uint64_t generation = 0;
  Ranges tasks;
};
// Stored record of an open job.
struct OpenRecord {
  JobSpec spec;
  double submit_wall = 0;
  bool cancelled = false; // for delegated work: a user of this cell has submitted a job with the same id
  std::optional<DelegationSource> delegated; // empty: submitted in this cell
};
// Tasks delegated to a remote cell, kept in the origin cell.
struct DelegationRecord {
  std::uint64_t generation = 0; // distinguishes delegations of the same job
  std::string cell;             // the remote cell
  Ranges tasks;
  double lease_s = 0;      // worker lease in the remote cell
  bool expired = false;    // its tasks may run in this cell again; its usage may still be reported
  accounts::Usage charged; // usage in the remote cell that is included in the job's usage
};
// Stored record of an ended job.
struct EndRecord {
  bool cancelled = false;
  std::uint32_t tasks = 0;
  std::string job_class, team;
  double submit_wall = 0, end_wall = 0;
  bool late = false;                    // missed its deadline or objective
  std::string reason;                   // shown to the user; may be empty
  std::optional<accounts::Usage> usage; // empty: accounting was disabled
  Resources need;                       // of each task; set with `usage` only
};
// Stored progress of an open job.
struct ProgressRecord {
  Ranges started;              // superset of the tasks that were started
  Ranges finished;             // subset of the tasks that are done
  std::uint32_t failed_on = 0; // machines where it failed, if no task has succeeded anywhere
  // Accounting, if enabled.
  accounts::Usage usage;       // so far, without attempts in progress
  std::int64_t running_ms = 0; // held by attempts in progress at `at_ms`
  std::int64_t at_ms = 0;      // time of writing, since 1970
  std::vector<DelegationRecord> delegations;
  // For a job delegated by another cell: generation of the delegation. The origin cell records the job's end.
  std::uint64_t delegated_here = 0;
};
using SumsByTeam = std::map<std::pair<std::string, std::string>, accounts::Sums>; // by period and team name
// A stored record with the progress of many jobs.
struct ProgressShard {
  std::vector<std::pair<std::string, ProgressRecord>> jobs; // by job id
  SumsByTeam sums;                                          // total usage of all jobs ever kept in this record
};
// Value of the leader key in the state service.
struct LeaderRecord {
  std::string node;
  std::uint64_t nonce = 0; // distinguishes elections of the same node
};

// Whether workers can reach a replica.
enum class WorkerReachability : std::uint8_t {
  Unknown,
  Reachable,
  Unreachable // all workers that sent it heartbeats have stopped doing so
};
enum class ProviderHealth : std::uint8_t { Unknown, Healthy, Unhealthy };
// A replica's report of its own connectivity.
struct ConnectivityRecord {
  static constexpr double kMaxAgeS = 3600; // older counts as never
  WorkerReachability workers = WorkerReachability::Unknown;
  std::uint16_t machines = 0;             // approximate number of workers that send it heartbeats directly
  double last_heartbeat_age_s = kMaxAgeS; // since the last direct heartbeat
  // Age of the last heartbeat at another replica that can forward heartbeats to this one.
  double last_forwardable_heartbeat_age_s = kMaxAgeS;
  ProviderHealth cloud = ProviderHealth::Unknown;
};
struct StoredConnectivityRecord {
  ConnectivityRecord connectivity;
  double recorded_at_wall = 0;
};

// An instance type in the cloud provider's catalog.
struct MachineType {
  std::string name;
  Resources size;
  double cache_gb = 0, fetch_gb_per_s = 0, price = 0, spot_price = 0, boot_s = 0;
  std::vector<std::string> zones; // zones that offer it
};

// Status of one attempt of a task, as reported in a heartbeat.
struct TaskStatus {
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::Fetching;
  ExitCause cause = ExitCause::None;
  bool saved = false; // has a checkpoint
};
// A heartbeat from a worker, with the status of its tasks.
struct Heartbeat {
  std::string machine, address, type, zone;
  bool spot = false;
  std::uint64_t incarnation = 0;   // of the worker process; increases with each restart
  std::uint64_t sequence = 0;      // number of the heartbeat within the incarnation
  std::uint64_t fencing_token = 0; // highest that the worker has seen
  std::optional<double> notice_s;  // time until a spot machine is reclaimed; empty: no notice
  std::vector<TaskStatus> tasks;
};

// A command to a worker for one attempt of a task.
struct TaskCommand {
  enum class Verb : std::uint8_t { Start, Stop, Forget } verb = Verb::Start;
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  double grace_s = 0; // for Stop: time to write a checkpoint
};

enum class MachineStatus : std::uint8_t { Booting, Running, Failed };
// A machine in the cloud provider's list.
struct ListedMachine {
  std::string name, address, type, zone;
  bool spot = false;
  MachineStatus status = MachineStatus::Booting;
  double age_s = 0;
};

enum class JobState : std::uint8_t { Queued, Running, Done, Cancelled };
// A job as shown to its user.
struct JobView {
  std::string id;
  JobState state = JobState::Queued;
  std::uint32_t done = 0, running = 0; // tasks
  std::string reason;                  // why it is pending or how it ended; may be empty
};

} // namespace loftrouter
