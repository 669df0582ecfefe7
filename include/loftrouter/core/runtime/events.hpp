// What has happened, as plain structs: published once, by the part that knows, and taken in order by those that
// care. Nobody needs to know who listens. A decision that a rule of the protocol rests on never waits for an event: it
// is made by the part that owns the state, at once.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "loftrouter/core/runtime/dense_index.hpp"
#include "loftrouter/model/types.hpp"

namespace loftrouter::core {

// ---- terms ----
struct LeaderElected { // this node holds the leader key and reads the records
  std::uint64_t term;
  double unaccounted_until; // mono: when whatever earlier leaders kept alive is over or heard of
};
struct TermStarted { // and leads
  std::uint64_t term;
};
struct TermEnded {
  std::uint64_t term;
  std::string why;
};

// ---- jobs, by their index in the job table; the index is free once JobFinalized has been taken ----
struct JobAccepted { // seen by this leader for the first time
  JobIndex job;
};
struct JobCancelled {
  JobIndex job;
};
struct JobChanged { // its record is no longer what is so
  JobIndex job;
  bool ends;   // it can be brought to its end
  bool urgent; // something waits for the record
};
struct JobSuspected { // has failed wherever it was tried
  JobIndex job;
  std::uint32_t machines;
};
struct JobFinalized { // its final record is written
  JobIndex job;
  std::string id;
};
struct JobEndLearned { // of a job, from the state service
  std::string id;
};

// ---- tasks ----
struct TaskAllocated { // a place, from now on: its start is sent, or an earlier leader's attempt has been found
  JobIndex job;
  std::uint32_t index;
  MachineIndex machine;
  bool found, unaccounted; // the latter: it was waited for since this leader's election
};
struct TaskReleased { // no longer
  JobIndex job;
  std::uint32_t index;
  MachineIndex machine;
  bool done;                                       // completed
  double held_since, waiting_since, running_since; // mono; the latter two negative if never seen so
  int type, zone;                                  // of the machine
  bool spot;
};
struct TaskRunning {
  JobIndex job;
  std::uint32_t index;
  MachineIndex machine;
  double after_s; // since it was placed
};
struct TaskExited { // by itself or as told, on a machine that has reported so
  JobIndex job;
  std::uint32_t index;
  MachineIndex machine;
  std::string machine_name;
  ExitCause cause;
  double placed_at, running_since; // mono; the latter negative if it was never seen running
};
struct TaskRetried { // it has failed, and most likely by its machine's fault
  JobIndex job;
  std::string machine;
};
struct TaskLost { // with its machine
  JobIndex job;
  std::string machine, why;
};
struct TaskPreempted {
  JobIndex job;
  std::string by; // id of the job that takes its place
};
struct TasksStoppedByBudget { // with time to save
  JobIndex job;
};
struct TasksAbandoned { // started by earlier leaders and not found again
  JobIndex job;
  std::uint32_t tasks;
};

// ---- work lent to other cells ----
struct DelegationRecorded { // by a confirmed write: it may be offered
  JobIndex job;
  std::uint64_t generation;
};
struct DelegationRemoved { // the same, without it: its end may be forgotten there
  JobIndex job;
  std::uint64_t generation;
};

// ---- machines, by their index in the fleet table; free once MachineRemoved has been taken ----
struct MachineJoined { // its first report
  MachineIndex machine;
};
struct MachineLost {
  MachineIndex machine;
  std::string name, why;
  std::size_t tasks;
};
struct MachineQuarantined { // it fails the tasks of jobs that succeed elsewhere
  MachineIndex machine;
  std::size_t jobs;
};
struct MachineRemoved {
  MachineIndex machine;
  std::string name, type, zone;
  bool spot;
  double lived_s, up_s, used_share; // the last: of its CPU time
};
struct MachineAdminStatesChanged { // operators' orders about machines
  std::string machine;             // whose; empty: any of them
};

// ---- configuration ----
struct ConfigurationChanged { // a record or document of it, in this node's copy
  std::string key;
};

using Event = std::variant<LeaderElected, TermStarted, TermEnded, JobAccepted, JobCancelled, JobChanged, JobSuspected,
                           JobFinalized, JobEndLearned, TaskAllocated, TaskReleased, TaskRunning, TaskExited,
                           TaskRetried, TaskLost, TaskPreempted, TasksStoppedByBudget, TasksAbandoned,
                           DelegationRecorded, DelegationRemoved, MachineJoined, MachineLost, MachineQuarantined,
                           MachineRemoved, MachineAdminStatesChanged, ConfigurationChanged>;

class Events {
public:
  void publish(Event e) { waiting_.push_back(std::move(e)); }
  // Those that are published meanwhile are taken too, after the others.
  template <class Take> void deliver(Take &&take) {
    for (std::size_t k = 0; k < waiting_.size(); ++k) {
      const Event e = std::move(waiting_[k]); // publishing may move the others
      std::visit(take, e);
    }
    waiting_.clear();
  }
  bool empty() const { return waiting_.empty(); }

private:
  std::vector<Event> waiting_;
};

} // namespace loftrouter::core
