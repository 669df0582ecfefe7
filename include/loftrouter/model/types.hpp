// Plain data shared by every layer. The field's own terms are used here (token, task, zone); the
// wire's names for them live in wire/ alone.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "loftrouter/accounts/usage.hpp"

namespace loftrouter {

enum class Shape : std::uint8_t { Array, Gang, Service };
enum class Urgency : std::uint8_t { Low, Normal, High, Production };
enum class TaskPhase : std::uint8_t { Fetching, Waiting, Running, Saving, Exited };
enum class ExitCause : std::uint8_t { None, Done, Stopped, Peers, Alone, Error, NoRoom, Busy, Unknown };

struct Resources {
  double cpus = 0, gpus = 0, memory = 0;
  bool fits(const Resources &free) const {
    constexpr double eps = 1e-6;
    return cpus <= free.cpus + eps && gpus <= free.gpus + eps && memory <= free.memory + eps;
  }
  void add(const Resources &resources, double times = 1) {
    cpus += resources.cpus * times;
    gpus += resources.gpus * times;
    memory += resources.memory * times;
  }
};

struct JobSpec {
  std::string id, job_class, team;
  Shape shape = Shape::Array;
  Urgency urgency = Urgency::Normal;
  std::uint32_t tasks = 1;
  Resources need;
  std::string image;
  double image_gb = 0;
  std::optional<std::vector<std::string>> types; // null: any
  std::optional<std::string> zone;
  bool one_zone = false, spread = false, spot = false;
  double estimate_s = 0, checkpoint_s = 0, save_s = 0;
  std::optional<double> deadline_s;
  std::vector<std::string> waits_for; // jobs that have to be done before any of its tasks starts, each once
};
constexpr std::size_t kMaxWaitsFor = 100; // names; a record has room for about so many where values are small

// Half-open index ranges, sorted and apart.
using Ranges = std::vector<std::pair<std::uint32_t, std::uint32_t>>;

// At a borrower: whose work it is, by which hand-over, and which of the job's tasks.
struct DelegationSource {
  std::string origin;
  std::uint64_t generation = 0;
  Ranges tasks;
};
struct OpenRecord {
  JobSpec spec;
  double submit_wall = 0;
  bool cancelled = false;                    // of lent work: somebody here wants its id
  std::optional<DelegationSource> delegated; // not a job of this cell's own users
};
// At home: tasks that another cell runs, or has run.
struct DelegationRecord {
  std::uint64_t generation = 0;
  std::string cell;
  Ranges tasks;
  double lease_s = 0;      // of that cell's workers
  bool lapsed = false;     // its tasks are free again; what was used of it may still be told
  accounts::Usage charged; // to the job, of what was used there
};
struct EndRecord {
  bool cancelled = false;
  std::uint32_t tasks = 0;
  std::string job_class, team;
  double submit_wall = 0, end_wall = 0;
  bool late = false;
  std::string reason;
  std::optional<accounts::Usage> usage; // nothing: accounts were not kept
  Resources need;                       // of each task; with `usage` only
};
struct ProgressRecord {
  Ranges started, finished;
  std::uint32_t failed_on = 0; // machines, none of its tasks having succeeded on any
  // With accounts: used so far; held by attempts under way when this was written, ms; and when, ms since 1970.
  accounts::Usage usage;
  std::int64_t running_ms = 0, at_ms = 0;
  std::vector<DelegationRecord> delegations;
  std::uint64_t delegated_here = 0; // of another cell's job: the generation of the loan; its end is kept there
};
using SumsByTeam = std::map<std::pair<std::string, std::string>, accounts::Sums>; // period, team
struct ProgressShard {
  std::vector<std::pair<std::string, ProgressRecord>> jobs; // by job id
  SumsByTeam sums;                                          // of all that jobs in this record have ever used
};
struct LeaderRecord {
  std::string node;
  std::uint64_t nonce = 0;
};

// What a node says of what it reaches.
enum class WorkerReachability : std::uint8_t {
  Unknown,
  Reachable,
  Unreachable
}; // the last: workers kept here have all fallen silent
enum class ProviderHealth : std::uint8_t { Unknown, Healthy, Unhealthy };
struct ConnectivityRecord {
  static constexpr double kMaxQuiet = 3600;
  WorkerReachability workers = WorkerReachability::Unknown;
  std::uint16_t machines = 0;   // about so many report to it straight
  double quiet_s = kMaxQuiet;   // since one last did
  double carried_s = kMaxQuiet; // since one last reported to a sibling that can pass reports on to it
  ProviderHealth cloud = ProviderHealth::Unknown;
};
struct StoredConnectivityRecord {
  ConnectivityRecord word;
  double wall = 0; // when it was so
};

struct MachineType {
  std::string name;
  Resources size;
  double cache_gb = 0, fetch_gb_per_s = 0, price = 0, spot_price = 0, boot_s = 0;
  std::vector<std::string> zones;
};

struct TaskStatus {
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  TaskPhase phase = TaskPhase::Fetching;
  ExitCause cause = ExitCause::None;
  bool saved = false;
};
struct Heartbeat {
  std::string machine, address, type, zone;
  bool spot = false;
  std::uint64_t incarnation = 0, sequence = 0, fencing_token = 0;
  std::optional<double> notice_s;
  std::vector<TaskStatus> tasks;
};

struct TaskCommand {
  enum class Verb : std::uint8_t { Start, Stop, Forget } verb = Verb::Start;
  std::string job;
  std::uint32_t index = 0;
  std::uint64_t attempt = 0;
  double grace_s = 0;
};

enum class MachineStatus : std::uint8_t { Booting, Running, Failed };
struct ListedMachine {
  std::string name, address, type, zone;
  bool spot = false;
  MachineStatus status = MachineStatus::Booting;
  double age_s = 0;
};

enum class JobState : std::uint8_t { Queued, Running, Done, Cancelled };
struct JobView {
  std::string id;
  JobState state = JobState::Queued;
  std::uint32_t done = 0, running = 0;
  std::string reason;
};

} // namespace loftrouter
