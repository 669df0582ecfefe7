// What has happened, as plain structs: published once, by the module that knows, and delivered in order to the modules
// that handle it. The publisher does not know who does.
//
// Owns the events that wait to be delivered. A decision that a rule of the protocol rests on never waits for an event:
// the module that owns the state makes it at once.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "loftrouter/core/runtime/dense_index.hpp"
#include "loftrouter/model/types.hpp"

namespace loftrouter::core {

// Times are monotonic, in seconds.

// ---- terms of this replica ----

// It holds the leader key and loads the records.
struct LeaderElected {
  std::uint64_t term;
  double unaccounted_until; // by then whatever earlier leaders kept alive is over or has been heard of
};
// It leads.
struct TermStarted {
  std::uint64_t term;
};
struct TermEnded {
  std::uint64_t term;
  std::string why;
};

// ---- jobs, by their index in the job table; the index is free once JobFinalized has been delivered ----

// Seen by this leader for the first time.
struct JobAccepted {
  JobIndex job;
};
struct JobCancelled {
  JobIndex job;
};
// Its state differs from its record.
struct JobChanged {
  JobIndex job;
  bool can_finalize; // it can be finalized
  bool urgent;       // something waits for the record
};
// It has failed on every machine where it was tried.
struct JobSuspected {
  JobIndex job;
  std::uint32_t machines;
};
// Its final record is written.
struct JobFinalized {
  JobIndex job;
  std::string id;
};
// The state service has told that a job has ended.
struct JobEndLearned {
  std::string id;
};

// ---- tasks ----

// A start is sent to the machine, or an attempt of an earlier leader's has been found there.
struct TaskAllocated {
  JobIndex job;
  std::uint32_t index;
  MachineIndex machine;
  bool adopted;
  bool unaccounted; // it was waited for since this leader's election
};
// The task no longer has an allocation.
struct TaskReleased {
  JobIndex job;
  std::uint32_t index;
  MachineIndex machine;
  bool done; // completed
  double held_since;
  double waiting_since; // negative if it was never seen waiting
  double running_since; // negative if it was never seen running
  int type;             // of the machine
  int zone;             // of the machine
  bool spot;            // of the machine
};
struct TaskRunning {
  JobIndex job;
  std::uint32_t index;
  MachineIndex machine;
  double startup_s; // since it was allocated
};
// It has ended, by itself or by a command, and its machine has reported so.
struct TaskExited {
  JobIndex job;
  std::uint32_t index;
  MachineIndex machine;
  std::string machine_name;
  ExitCause cause;
  double placed_at;
  double running_since; // negative if it was never seen running
};
// It has failed, most likely by its machine's fault, and is tried again.
struct TaskRetried {
  JobIndex job;
  std::string machine;
};
// It was lost with its machine.
struct TaskLost {
  JobIndex job;
  std::string machine;
  std::string why;
};
struct TaskPreempted {
  JobIndex job;
  std::string preempting_job; // id of the job that takes its place
};
// A budget is used up; the tasks have had time to save their progress.
struct TasksStoppedByBudget {
  JobIndex job;
};
// Started by earlier leaders and not found again.
struct TasksAbandoned {
  JobIndex job;
  std::uint32_t tasks;
};

// ---- delegations to other cells ----

// Recorded by a confirmed write: it may be offered.
struct DelegationRecorded {
  JobIndex job;
  std::uint64_t generation;
};
// Its removal was recorded by a confirmed write: the other cell may forget its end.
struct DelegationRemoved {
  JobIndex job;
  std::uint64_t generation;
};

// ---- machines, by their index in the worker registry; the index is free once MachineRemoved has been delivered ----

// Its first heartbeat has come.
struct MachineJoined {
  MachineIndex machine;
};
struct MachineLost {
  MachineIndex machine;
  std::string name;
  std::string why;
  std::size_t tasks;
};
// It fails the tasks of jobs that succeed elsewhere.
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
  double up_s;
  double used_share; // of its CPU time
};
// Operators have cordoned, drained or released machines.
struct MachineAdminStatesChanged {
  std::string machine; // empty: any of them
};

// ---- configuration ----

// A record or document of it has changed in this replica's copy.
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
  void publish(Event event) { waiting_.push_back(std::move(event)); }

  // Calls `handle` with each event that waits, in order, and then with those published meanwhile.
  template <class Handle> void deliver(Handle &&handle) {
    for (std::size_t i = 0; i < waiting_.size(); ++i) {
      const Event event = std::move(waiting_[i]); // publishing may move the others
      std::visit(handle, event);
    }
    waiting_.clear();
  }

  [[nodiscard]] bool empty() const { return waiting_.empty(); }

private:
  std::vector<Event> waiting_;
};

} // namespace loftrouter::core
