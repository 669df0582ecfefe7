// Plain data that all layers share: jobs, tasks, machines, and the records about them. The names that messages and
// records use for them are in wire/ alone. Without behaviour, and so without threads or ownership of their own.
//
// Units: seconds unless a name says otherwise; `_wall` is seconds since 1970 by the wall clock; memory, images and
// caches in GB; prices in the cloud's unit an hour.
#pragma once

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
// Priority of a job: the higher may preempt the lower.
enum class Priority : std::uint8_t { Low, Normal, High, Production };
// Where a worker is with a task.
enum class TaskPhase : std::uint8_t {
  Fetching, // its image
  Waiting,  // for the other tasks of its gang
  Running,
  Saving, // its state, since it has been told to stop
  Exited,
};
// Why a task has exited, or its start was refused, as its worker reports it.
enum class ExitCause : std::uint8_t {
  None, // it has not exited
  Done,
  Stopped, // as ordered
  Peers,   // another task of its gang is gone
  Alone,   // its gang was not complete in time
  Error,   // it has failed by itself
  NoRoom,  // refused: not enough free resources on the machine
  Busy,    // refused: another attempt of the task is on the machine
  Unknown, // refused: there is no such job or task
};

// What a task needs, or a machine has.
struct Resources {
  double cpus = 0, gpus = 0, memory = 0;
  // Whether there is room for this in what is free.
  bool fits(const Resources &free) const {
    constexpr double eps = 1e-6;
    return cpus <= free.cpus + eps && gpus <= free.gpus + eps && memory <= free.memory + eps;
  }
  // Adds so many times as much; negative: takes away.
  void add(const Resources &resources, double times = 1) {
    cpus += resources.cpus * times;
    gpus += resources.gpus * times;
    memory += resources.memory * times;
  }
};

// A job as its user has submitted it.
struct JobSpec {
  std::string id, job_class, team;
  Shape shape = Shape::Array;
  Priority priority = Priority::Normal;
  std::uint32_t tasks = 1;
  Resources need; // of each task
  std::string image;
  double image_gb = 0;
  std::optional<std::vector<std::string>> types; // instance types that it may use; nothing: any
  std::optional<std::string> zone;               // that it has to be in; nothing: any
  bool one_zone = false;                         // all tasks in the same one
  bool spread = false;                           // at most half of the tasks in one zone
  bool spot = false;                             // may use spot machines
  double estimate_s = 0;                         // running time of a task
  double checkpoint_s = 0;               // of progress between two checkpoints; 0: its work is lost when it is stopped
  double save_s = 0;                     // that it takes to save when it is stopped
  std::optional<double> deadline_s;      // after its submission
  std::vector<std::string> dependencies; // jobs that have to be done before any of its tasks starts, each once
};
constexpr std::size_t kMaxDependencies = 100; // names; a record has room for about so many where values are small

// Half-open ranges of task indices, sorted, without overlap.
using Ranges = std::vector<std::pair<std::uint32_t, std::uint32_t>>;

// In a remote cell: which cell has delegated the work, by which delegation, and which of the job's tasks.
struct DelegationSource {
  std::string origin;
  std::uint64_t generation = 0;
  Ranges tasks;
};
// Record of an open job.
struct OpenRecord {
  JobSpec spec;
  double submit_wall = 0;
  bool cancelled = false;                    // of delegated work: a user of this cell has submitted a job of its id
  std::optional<DelegationSource> delegated; // of another cell's job; nothing: a job of this cell's own users
};
// In the origin cell: tasks that a remote cell runs, or has run.
struct DelegationRecord {
  std::uint64_t generation = 0; // tells it from earlier ones of the same job
  std::string cell;
  Ranges tasks;
  double lease_s = 0;      // of that cell's workers
  bool lapsed = false;     // its tasks may run here again; its usage may still be reported
  accounts::Usage charged; // to the job, of what was used there
};
// Record of how a job ended.
struct EndRecord {
  bool cancelled = false;
  std::uint32_t tasks = 0;
  std::string job_class, team;
  double submit_wall = 0, end_wall = 0;
  bool late = false;                    // beyond its deadline or objective
  std::string reason;                   // for its owner; may be empty
  std::optional<accounts::Usage> usage; // nothing: accounts were not kept
  Resources need;                       // of each task; with `usage` only
};
// What is recorded of the progress of an open job.
struct ProgressRecord {
  Ranges started;              // tasks that may have been started: never too few
  Ranges finished;             // tasks that are done: never too many
  std::uint32_t failed_on = 0; // machines on which it has failed, none of its tasks having succeeded on any
  // With accounts: used so far; held by attempts under way when this was written, ms; and when, ms since 1970.
  accounts::Usage usage;
  std::int64_t running_ms = 0, at_ms = 0;
  std::vector<DelegationRecord> delegations;
  std::uint64_t delegated_here = 0; // of another cell's job: the generation of the delegation; its end is kept there
};
using SumsByTeam = std::map<std::pair<std::string, std::string>, accounts::Sums>; // by period and team
// One record that holds the progress of many jobs.
struct ProgressShard {
  std::vector<std::pair<std::string, ProgressRecord>> jobs; // by job id
  SumsByTeam sums;                                          // of all that jobs in this record have ever used
};
// Value of the leader key.
struct LeaderRecord {
  std::string node;
  std::uint64_t nonce = 0; // tells two elections of the same node apart
};

// Whether workers reach a replica.
enum class WorkerReachability : std::uint8_t {
  Unknown,
  Reachable,
  Unreachable // all workers that sent it their heartbeats have fallen silent
};
enum class ProviderHealth : std::uint8_t { Unknown, Healthy, Unhealthy };
// What a replica says of its own connectivity.
struct ConnectivityRecord {
  static constexpr double kMaxAgeS = 3600; // ages beyond it count as never
  WorkerReachability workers = WorkerReachability::Unknown;
  std::uint16_t machines = 0;             // about so many workers send it their heartbeats directly
  double last_heartbeat_age_s = kMaxAgeS; // since the last direct heartbeat
  // Since the last heartbeat at another replica that can forward heartbeats to it.
  double last_forwardable_heartbeat_age_s = kMaxAgeS;
  ProviderHealth cloud = ProviderHealth::Unknown;
};
struct StoredConnectivityRecord {
  ConnectivityRecord connectivity;
  double recorded_at_wall = 0;
};

// An instance type of the cloud's catalog.
struct MachineType {
  std::string name;
  Resources size;
  double cache_gb = 0, fetch_gb_per_s = 0, price = 0, spot_price = 0, boot_s = 0;
  std::vector<std::string> zones; // that it is offered in
};

// What a worker's heartbeat says of one attempt of a task.
struct TaskStatus {
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::Fetching;
  ExitCause cause = ExitCause::None;
  bool saved = false; // it has a checkpoint
};
// A worker's heartbeat, with its status.
struct Heartbeat {
  std::string machine, address, type, zone;
  bool spot = false;
  std::uint64_t incarnation = 0;   // of the worker's process; grows with each
  std::uint64_t sequence = 0;      // of the heartbeat, within the incarnation
  std::uint64_t fencing_token = 0; // the highest that the worker has seen
  std::optional<double> notice_s;  // a spot machine's, until it is taken away; nothing: none
  std::vector<TaskStatus> tasks;
};

// A command to a worker, about one attempt of a task.
struct TaskCommand {
  enum class Verb : std::uint8_t { Start, Stop, Forget } verb = Verb::Start;
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  double grace_s = 0; // of a stop: time to save
};

enum class MachineStatus : std::uint8_t { Booting, Running, Failed };
// A machine as the cloud lists it.
struct ListedMachine {
  std::string name, address, type, zone;
  bool spot = false;
  MachineStatus status = MachineStatus::Booting;
  double age_s = 0;
};

enum class JobState : std::uint8_t { Queued, Running, Done, Cancelled };
// What a user is shown of a job.
struct JobView {
  std::string id;
  JobState state = JobState::Queued;
  std::uint32_t done = 0, running = 0; // tasks
  std::string reason;                  // why it waits, or how it ended; may be empty
};

} // namespace loftrouter
