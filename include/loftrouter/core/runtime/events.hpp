// Events that core modules publish and other modules handle. Publishers do not know their subscribers.
//
// `Events` owns the queue of undelivered events. Decisions that safety depends on do not wait for an event: the module
// that owns the state makes them immediately.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "loftrouter/core/runtime/dense_index.hpp"
#include "loftrouter/model/types.hpp"

namespace loftrouter::core {

// Times are seconds on the monotonic clock.

// ---- leadership of this replica ----

// This replica has acquired the leader key and is loading records.
struct LeaderElected {
  std::uint64_t term;
  double unaccounted_until; // by then, attempts of earlier leaders have been reported or their leases have expired
};
// This replica has loaded all records and is the active leader.
struct TermStarted {
  std::uint64_t term;
};
struct TermEnded {
  std::uint64_t term;
  std::string why;
};

// ---- jobs; a job index may be reused after JobFinalized has been delivered ----

// This leader has added the job to its table.
struct JobAccepted {
  JobIndex job;
};
struct JobCancelled {
  JobIndex job;
};
// The job's state differs from its stored record.
struct JobChanged {
  JobIndex job;
  bool can_finalize; // no task is left to run or to wait for
  bool urgent;       // a client or module waits for the write
};
// The job has failed on every machine where it was tried.
struct JobSuspected {
  JobIndex job;
  std::uint32_t machines;
};
// The job's end record has been written.
struct JobFinalized {
  JobIndex job;
  std::string id;
};
// A record read from the state service shows that a job has ended.
struct JobEndLearned {
  std::string id;
};

// ---- tasks ----

// A start command is sent to the machine, or a heartbeat has reported an attempt of an earlier leader.
struct TaskAllocated {
  JobIndex job;
  std::uint32_t index;
  MachineIndex machine;
  bool adopted;     // started by an earlier leader and reported by a heartbeat
  bool unaccounted; // had been unaccounted since this leader's election
};
// A task's allocation has been released.
struct TaskReleased {
  JobIndex job;
  std::uint32_t index;
  MachineIndex machine;
  bool done; // the task completed
  double held_since;
  double waiting_since; // negative: never seen waiting for its gang
  double running_since; // negative: never seen running
  int type;             // machine's type
  int zone;             // machine's zone
  bool spot;            // machine is a spot instance
};
struct TaskRunning {
  JobIndex job;
  std::uint32_t index;
  MachineIndex machine;
  double startup_time_s; // since the allocation
};
// A worker has reported that an attempt exited, by itself or after a stop command.
struct TaskExited {
  JobIndex job;
  std::uint32_t index;
  MachineIndex machine;
  std::string machine_name;
  ExitCause cause;
  double placed_at;
  double running_since; // negative: never seen running
};
// A task is retried after a failure that is attributed to its machine.
struct TaskRetried {
  JobIndex job;
  std::string machine;
};
// A task was lost with its machine.
struct TaskLost {
  JobIndex job;
  std::string machine;
  std::string why;
};
struct TaskPreempted {
  JobIndex job;
  std::string preempting_job; // job id
};
// Tasks were stopped because their team's budget is exhausted. They have had time to save a checkpoint.
struct TasksStoppedByBudget {
  JobIndex job;
};
// Tasks started by earlier leaders were not reported in time and are no longer waited for.
struct TasksAbandoned {
  JobIndex job;
  std::uint32_t tasks;
};

// ---- delegations to other cells ----

// The delegation's record has been committed, so that it may be offered to the remote cell.
struct DelegationRecorded {
  JobIndex job;
  std::uint64_t generation;
};
// The removal of the delegation has been committed, so that the remote cell may forget its result.
struct DelegationRemoved {
  JobIndex job;
  std::uint64_t generation;
};

// ---- machines; a machine index may be reused after MachineRemoved has been delivered ----

// The first heartbeat of a machine has been accepted.
struct MachineJoined {
  MachineIndex machine;
};
struct MachineLost {
  MachineIndex machine;
  std::string name;
  std::string why;
  std::size_t tasks;
};
// A machine was quarantined: tasks fail on it whose jobs succeed elsewhere.
struct MachineQuarantined {
  MachineIndex machine;
  std::size_t jobs;
};
struct MachineRemoved {
  MachineIndex machine;
  std::string name;
  std::string type;
  std::string zone;
  bool spot;
  double lived_s;
  double up_s;       // part of `lived_s` since its first heartbeat
  double used_share; // allocated fraction of its CPU time
};
// Operators have quarantined, drained or released machines.
struct MachineAdminStatesChanged {
  std::string machine; // empty: any number of machines may have changed
};

// ---- configuration ----

// A record or document has changed in this replica's copy of the configuration.
struct ConfigurationChanged {
  std::string key;
};

using Event = std::variant<LeaderElected, TermStarted, TermEnded, JobAccepted, JobCancelled, JobChanged, JobSuspected,
                           JobFinalized, JobEndLearned, TaskAllocated, TaskReleased, TaskRunning, TaskExited,
                           TaskRetried, TaskLost, TaskPreempted, TasksStoppedByBudget, TasksAbandoned,
                           DelegationRecorded, DelegationRemoved, MachineJoined, MachineLost, MachineQuarantined,
                           MachineRemoved, MachineAdminStatesChanged, ConfigurationChanged>;

class Events {
public:
  void publish(Event event) { queue_.push_back(std::move(event)); }

  // Calls `handle` with each queued event in order, including events that handlers publish meanwhile.
  template <class Handle> void deliver(Handle &&handle) {
    for (std::size_t i = 0; i < queue_.size(); ++i) {
      const Event event = std::move(queue_[i]); // publishing may reallocate the queue
      std::visit(handle, event);
    }
    queue_.clear();
  }

  [[nodiscard]] bool empty() const { return queue_.empty(); }

private:
  std::vector<Event> queue_;
};

} // namespace loftrouter::core
