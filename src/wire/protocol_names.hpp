// Maps the terms of this code to the names used in protocol messages (docs/PROTOCOL-loftrouter.md) and stored records.
// Only src/wire uses these names.
//
// Changing a value breaks compatibility with other programs or with records already in the state service.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

#include "loftrouter/model/types.hpp"

namespace loftrouter::wire {

// Holds the wire names of an enum with values 0, 1, 2, ..., in that order.
template <class Enum, std::size_t Count> struct EnumSpellings {
  std::array<const char *, Count> spellings;

  constexpr const char *operator[](Enum value) const { return spellings[static_cast<std::size_t>(value)]; }

  [[nodiscard]] constexpr std::optional<Enum> find(std::string_view spelling) const {
    for (std::size_t i = 0; i < Count; ++i)
      if (spelling == spellings[i]) return static_cast<Enum>(i);
    return std::nullopt;
  }
};

// Fields of messages to and from users, workers, the cloud and the state service.
namespace field {

// User API: a job and its state. Stored job records use the same names.
inline constexpr const char *kId = "id";                  // of a job; in the cloud's list, of a machine
inline constexpr const char *kJobClass = "jobclass";      // job class with service-level objectives
inline constexpr const char *kTeam = "crew";              // team whose quota applies
inline constexpr const char *kShape = "shape";            // job array, gang or service
inline constexpr const char *kPriority = "urgency";       // priority class
inline constexpr const char *kTaskCount = "pieces";       // number of tasks
inline constexpr const char *kCpus = "cores";             // CPUs of a task or machine
inline constexpr const char *kGpus = "cards";             // GPUs of a task or machine
inline constexpr const char *kMemoryGb = "ram_gb";        // memory of a task or machine
inline constexpr const char *kImage = "bundle";           // container image
inline constexpr const char *kImageGb = "image_gb";       // size of the image
inline constexpr const char *kMachineTypes = "hulls";     // allowed machine types; in the catalog, its entries
inline constexpr const char *kZone = "yard";              // the only allowed zone; zone of a machine
inline constexpr const char *kOneZone = "one_zone";       // all tasks in the same zone
inline constexpr const char *kSpread = "apart";           // at most half of the tasks in one zone
inline constexpr const char *kSpot = "standby";           // spot machines allowed; a spot machine
inline constexpr const char *kEstimateS = "guess_s";      // estimated run time of a task
inline constexpr const char *kCheckpointS = "bookmark_s"; // checkpoint interval
inline constexpr const char *kSaveS = "stash_s";          // time to save a checkpoint when stopped
inline constexpr const char *kDeadlineS = "due_s";        // deadline, from the submission
inline constexpr const char *kDependencies = "waits_on";  // jobs that must complete first
inline constexpr const char *kState = "status";           // of a job, a task or a machine
inline constexpr const char *kTasksDone = "done";         // number of completed tasks
inline constexpr const char *kTasksRunning = "running";   // number of running tasks
inline constexpr const char *kPendingReason = "reason";   // why a job waits
inline constexpr const char *kError = "error";            // error message

// Workers: heartbeats and commands.
inline constexpr const char *kMachine = "box";        // name of the machine
inline constexpr const char *kAddress = "address";    // of the worker
inline constexpr const char *kMachineType = "hull";   // type of the machine
inline constexpr const char *kIncarnation = "shift";  // incarnation of the worker; grows when its lease expires
inline constexpr const char *kSequence = "tick";      // sequence number of the heartbeat in its incarnation
inline constexpr const char *kFencingToken = "baton"; // in a heartbeat, the highest that the worker has seen
inline constexpr const char *kNoticeS = "warning_s";  // time until the cloud reclaims the machine
inline constexpr const char *kTasks = "pieces";       // list of the tasks on the machine
inline constexpr const char *kTask = "piece";         // name of a task: job/index
inline constexpr const char *kAttempt = "try";        // attempt of a task
inline constexpr const char *kExitCause = "cause";    // why a task exited
inline constexpr const char *kSaved = "stored";       // checkpoint was saved
inline constexpr const char *kCommands = "orders";    // commands for the worker
inline constexpr const char *kCommand = "verb";       // start, stop or forget
inline constexpr const char *kGraceS = "leeway_s";    // grace period of a stop
inline constexpr const char *kRedirect = "answer_to"; // node that heartbeats should go to

// State service.
inline constexpr const char *kRevision = "epoch";    // revision of the whole store
inline constexpr const char *kModRevision = "stamp"; // revision of a key's last change
inline constexpr const char *kLease = "permit";      // lease that a key is attached to, or that was granted
inline constexpr const char *kKey = "k";
inline constexpr const char *kValue = "v";
inline constexpr const char *kEntries = "entries";      // keys and values of a list
inline constexpr const char *kMore = "truncated";       // the list has further entries
inline constexpr const char *kPreconditions = "guards"; // of a transaction
inline constexpr const char *kMutations = "writes";     // of a transaction
inline constexpr const char *kPut = "set";              // key that is put
inline constexpr const char *kDelete = "drop";          // key that is deleted
inline constexpr const char *kFailed = "failed";        // keys whose precondition failed
inline constexpr const char *kEvents = "events";        // of a watch
inline constexpr const char *kTtlMs = "ttl_ms";         // time to live of a lease

// Cloud.
inline constexpr const char *kRequestName = "hire";        // idempotency key of a scale-out
inline constexpr const char *kMachineCount = "number";     // machines asked for
inline constexpr const char *kMachines = "boxes";          // names of machines; in the list, the machines
inline constexpr const char *kAgeS = "age_s";              // since the scale-out request
inline constexpr const char *kTypeName = "sku";            // name of an instance type
inline constexpr const char *kCacheGb = "local_gb";        // image cache of an instance type
inline constexpr const char *kFetchRate = "pull_gb_per_s"; // rate of an image fetch, GB/s
inline constexpr const char *kPrice = "rate";              // per hour
inline constexpr const char *kSpotPrice = "spot_price";    // per hour
inline constexpr const char *kBootS = "startup_s";         // nominal boot time
inline constexpr const char *kZones = "yards";             // zones that offer an instance type

} // namespace field

// Names of enum values.
namespace spelling {

inline constexpr EnumSpellings<Shape, 3> kShapes{{"array", "gang", "service"}};
inline constexpr EnumSpellings<Priority, 4> kPriorities{{"low", "normal", "urgent", "production"}};
inline constexpr EnumSpellings<JobState, 4> kJobStates{{"queued", "running", "done", "aborted"}};
inline constexpr EnumSpellings<TaskPhase, 5> kTaskPhases{{"pulling", "gathering", "running", "saving", "exited"}};
inline constexpr EnumSpellings<ExitCause, 9> kExitCauses{
    {"", "done", "stopped", "mates_gone", "alone", "error", "full", "busy", "no_such"}};
inline constexpr EnumSpellings<TaskCommand::Verb, 3> kCommands{{"start", "kill", "reap"}}; // start, stop, forget
inline constexpr const char *kNoCapacity = "no capacity";                                  // cloud: error of a 503
// Machine states in the cloud's list; any other name counts as booting.
inline constexpr const char *kMachineRunning = "running";
inline constexpr const char *kMachineFailed = "failed";
// Connectivity record: heartbeat state and cloud provider health.
inline constexpr EnumSpellings<WorkerReachability, 3> kWorkerReachability{{"unknown", "hears", "silent"}};
inline constexpr EnumSpellings<ProviderHealth, 3> kProviderHealth{{"unknown", "answers", "fails"}};

} // namespace spelling

// Fields of the records that controllers keep in the state service.
namespace stored {

// Open record: a job that has not ended.
inline constexpr const char *kSpec = "spec";                // job specification
inline constexpr const char *kSubmittedAt = "at";           // wall time of the submission
inline constexpr const char *kCancelled = "cancelled";      // in an open record written only if true
inline constexpr const char *kDelegationSource = "lent";    // delegated here by another cell
inline constexpr const char *kOriginCell = "home";          // cell that delegated the tasks
inline constexpr const char *kDelegationGeneration = "gen"; // generation of the delegation
inline constexpr const char *kDelegatedTasks = "tasks";     // set of task indices
inline constexpr const char *kFinal = "final";              // the job's end record, until it is moved

// End record: a job that has ended.
inline constexpr const char *kTaskCount = "tasks"; // number of tasks
inline constexpr const char *kJobClass = "class";  // job class with service-level objectives
inline constexpr const char *kTeam = "team";       // team whose quota applied
inline constexpr const char *kEndedAt = "end";     // wall time of the end
inline constexpr const char *kLate = "late";       // missed its deadline
inline constexpr const char *kReason = "reason";   // why the job ended
inline constexpr const char *kUsage = "used";      // packed usage
inline constexpr const char *kNeed = "need";       // CPUs, GPUs and memory of each task

// Progress record of one job.
inline constexpr const char *kStarted = "s";       // set of tasks that were started
inline constexpr const char *kFinished = "f";      // set of tasks that have completed
inline constexpr const char *kFailedOn = "x";      // number of machines that its tasks failed on
inline constexpr const char *kProgressUsage = "u"; // packed usage
inline constexpr const char *kRunningMs = "h";     // time that the attempts then in progress had held resources
inline constexpr const char *kWrittenAtMs = "t";   // wall time of writing
inline constexpr const char *kDelegatedHere = "b"; // generation of the delegation from the origin cell
inline constexpr const char *kDelegations = "l";   // tasks delegated to other cells

// One entry of a progress record's delegations.
inline constexpr const char *kGeneration = "g";      // generation of the delegation
inline constexpr const char *kCell = "c";            // remote cell
inline constexpr const char *kLeaseS = "l";          // worker lease of the remote cell
inline constexpr const char *kChargedUsage = "u";    // packed usage charged to the job
inline constexpr const char *kDelegatedRanges = "r"; // set of task indices
inline constexpr const char *kExpired = "x";         // written only if the delegation expired

// Progress shard: the progress records of many jobs.
inline constexpr const char *kShardJobs = "jobs"; // progress records by job id
inline constexpr const char *kShardVersion = "v"; // format version
inline constexpr const char *kShardSums = "sums"; // sums by period and team

// Leader record.
inline constexpr const char *kLeaderNode = "node";   // leader
inline constexpr const char *kLeaderNonce = "nonce"; // distinguishes elections of the same node

// Connectivity record of a node.
inline constexpr const char *kWorkers = "workers";                    // whether heartbeats arrive
inline constexpr const char *kMachines = "machines";                  // approximate number of reporting machines
inline constexpr const char *kLastHeartbeatAgeS = "quiet_s";          // since the last heartbeat
inline constexpr const char *kForwardableHeartbeatAgeS = "carried_s"; // since the last at a forwarding replica
inline constexpr const char *kCloud = "cloud";                        // provider health
inline constexpr const char *kObservedAt = "at";                      // wall time of the observation

} // namespace stored

// Fields of operator configuration in admin requests and stored records.
namespace setting {

// Scheduling parameters, and the changes that operators make to the state of machines.
inline constexpr const char *kFullPlanBonus = "whole_bonus";         // for filling a machine completely
inline constexpr const char *kAgeWeight = "age_weight";              // weight of a job's waiting time
inline constexpr const char *kImageWeight = "image_weight";          // weight of cached images
inline constexpr const char *kPriceWeight = "price_weight";          // weight of the machine's price
inline constexpr const char *kInTimeBonus = "in_time_bonus";         // for a placement that meets the deadline
inline constexpr const char *kReserveAfterS = "reserve_after_s";     // wait after which large tasks get reservations
inline constexpr const char *kIdleBoots = "idle_boots";              // idle time before scale-in, in boot times
inline constexpr const char *kProbePauseS = "probe_pause_s";         // between tests of a quarantined machine
inline constexpr const char *kLateNoticeShare = "late_notice_share"; // usable share of a spot termination notice
inline constexpr const char *kDrain = "drain";                       // evict gracefully, start nothing
inline constexpr const char *kQuarantine = "quarantine";             // start nothing, keep running tasks
inline constexpr const char *kRelease = "release";                   // end drain or quarantine

// Budgets.
inline constexpr const char *kPeriod = "every";         // accounting period
inline constexpr const char *kDaily = "day";            // period of a day
inline constexpr const char *kWeekly = "week";          // period of a week
inline constexpr const char *kPeriodStart = "starts";   // time of day that a period begins at
inline constexpr const char *kUtcOffset = "utc_offset"; // local time minus UTC
inline constexpr const char *kTeams = "teams";          // budgets by team
inline constexpr const char *kCpuHours = "cpu_hours";   // budget of a team for a period
inline constexpr const char *kWarnShare = "warn_share"; // share of the budget that triggers a warning
inline constexpr const char *kWhenSpent = "when_spent"; // what happens to running tasks
inline constexpr const char *kStop = "stop";            // they are stopped
inline constexpr const char *kFinish = "finish";        // they may finish

// Rules of delegation between cells.
inline constexpr const char *kDelegate = "lend";                      // work may be delegated to other cells
inline constexpr const char *kAccept = "borrow";                      // delegated work is accepted
inline constexpr const char *kMaxAcceptedCpus = "most_borrowed_cpus"; // CPUs of accepted work
inline constexpr const char *kLocalTeams = "stay_teams";              // teams whose work is never delegated
inline constexpr const char *kLocalClasses = "stay_classes";          // job classes whose work is never delegated

// Quota records and changes.
inline constexpr const char *kVersion = "version";       // grows with each change
inline constexpr const char *kLimits = "limits";         // over all cells
inline constexpr const char *kGuaranteed = "guaranteed"; // guaranteed amounts
inline constexpr const char *kMaximum = "most";          // upper limits
inline constexpr const char *kCpus = "cpus";             // amount; in a change, guaranteed
inline constexpr const char *kGpus = "gpus";             // amount; in a change, guaranteed
inline constexpr const char *kMaxCpus = "cpus_max";      // in a change: maximum
inline constexpr const char *kMaxGpus = "gpus_max";      // in a change: maximum
inline constexpr const char *kShares = "shares";         // amounts by cell, set by an operator
inline constexpr const char *kCaps = "caps";             // amounts by cell, last granted
inline constexpr const char *kHeld = "held";             // amounts by cell that may still be in use
inline constexpr const char *kHistory = "history";       // latest changes
inline constexpr const char *kNumber = "number";         // of the request
inline constexpr const char *kAt = "at";                 // wall time

// Entries of an operators' document that have a record of their own.
inline constexpr const char *kValue = "value";            // the entry
inline constexpr const char *kInDocument = "in_document"; // whether the document has it, too

// A quota record sent to another cell.
inline constexpr const char *kRecord = "record"; // the record; its team is under kTeam

// Changes forwarded to another cell, and the revision that a node has applied.
inline constexpr const char *kTeam = "team";         // team whose quota changes
inline constexpr const char *kChange = "change";     // requested change
inline constexpr const char *kNode = "node";         // node waiting for the response
inline constexpr const char *kStatus = "status";     // HTTP status of the response
inline constexpr const char *kText = "text";         // response text
inline constexpr const char *kRevision = "revision"; // applied revision

} // namespace setting

} // namespace loftrouter::wire
