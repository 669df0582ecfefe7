// Holds the leader's open jobs and the state of each of their tasks.
//
// Owns jobs and tasks; used by the core's thread alone. Invariants: the counts match the task states, and a task leaves
// `Placed` only by `finish`, or by `release` for its machine. Otherwise a running task could be placed again
// (docs/safety.md "ran_twice"), or a job reported as done too early ("not_done"). The index of a removed job is reused
// after `JobFinalized` has been delivered.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "loftrouter/core/runtime/dense_index.hpp"
#include "loftrouter/core/runtime/events.hpp"
#include "loftrouter/core/runtime/name_index.hpp"
#include "loftrouter/core/runtime/runtime.hpp"
#include "loftrouter/model/settings.hpp"

namespace loftrouter::core {

enum class TaskState : std::uint8_t {
  Pending,
  Unaccounted, // started by an earlier leader, not listed in a heartbeat since
  Placed,
  Done,
  Delegated, // may run in a remote cell
};

struct Task {
  TaskState state = TaskState::Pending;
  MachineIndex machine; // valid while placed
  std::int32_t zone = -1;
};

struct Job {
  JobSpec spec;
  double submit_wall = 0;              // wall-clock time, s
  std::uint64_t serial = 0;            // distinguishes jobs that reuse an index
  std::uint64_t open_mod_revision = 0; // newest known revision of the open record
  int team = -1;                       // -1: not in the settings
  int image = -1;                      // index of the image name

  bool cancelled = false;
  bool ending = false; // the end of the job is being recorded
  bool paused = false; // no task may be started

  std::vector<Task> tasks;
  std::uint32_t done = 0;
  std::uint32_t placed = 0;
  std::uint32_t unaccounted = 0;
  std::uint32_t delegated = 0;
  std::vector<int> placed_by_zone; // number of placed tasks by zone

  std::uint64_t gang_attempt = 0;
  bool gang_started = false; // lost tasks are not replaced within this attempt

  std::vector<DelegationRecord> delegations;      // to remote cells
  std::uint32_t delegated_running = 0;            // by the last reports of the remote cells
  std::optional<DelegationSource> delegated_here; // set: an origin cell delegated some tasks; the others count as done
  bool origin_confirmed_end = false; // if delegated here: the origin cell has acknowledged the result or is not awaited

  std::uint32_t pending() const { return spec.tasks - done - placed - unaccounted - delegated; }
  // Returns true if the end of the job can be recorded: no task is left to run or may still be running.
  bool finishable() const;
};

class JobTable {
public:
  JobTable(Runtime &runtime, Events &events, const Settings &settings);

  std::size_t index_limit() const { return jobs_.size(); }
  std::size_t open_count() const { return index_by_id_.size(); }
  const Job *find(JobIndex job_index) const { return jobs_[job_index.position()].get(); } // or null
  const Job &operator[](JobIndex job_index) const { return *jobs_[job_index.position()]; }
  JobIndex index(const std::string &id) const;            // invalid: not open
  template <class Visit> void each(Visit &&visit) const { // visit(index, job), in index order
    for (std::size_t i = 0; i < jobs_.size(); ++i)
      if (jobs_[i]) visit(JobIndex(i), *jobs_[i]);
  }
  int find_team(const std::string &name) const { return team_names_.find(name); } // -1: not in the settings
  // Returns when all leases renewed by earlier leaders will have expired, monotonic s; 0: already.
  double unaccounted_until() const { return unaccounted_until_; }
  // Increases whenever a job is added, becomes ready or is resumed, or a task becomes pending.
  std::uint64_t pending_work_version() const { return pending_work_version_; }
  bool consistent(JobIndex job_index) const; // for asserts and tests

  // ---- jobs ----

  JobIndex add(OpenRecord record, std::uint64_t mod_revision);
  // Restores the task states and delegations from the progress record. Called before the first placement.
  void restore(JobIndex job_index, const ProgressRecord &progress);
  void remove(JobIndex job_index);
  void cancel(JobIndex job_index);
  // Updates the revision of the open record. Returns false if it is not newer than the known one.
  [[nodiscard]] bool update_mod_revision(JobIndex job_index, std::uint64_t mod_revision);
  void set_ending(JobIndex job_index, bool ending);
  void pause(JobIndex job_index, bool paused);
  void mark_ready(JobIndex job_index); // called when all dependencies are done
  void confirm_end_by_origin(JobIndex job_index);
  void publish_changed(JobIndex job_index, bool urgent); // requests an update of the progress record

  // ---- tasks ----

  void place(JobIndex job_index, std::uint32_t task_index, MachineIndex machine, int zone);
  void finish(JobIndex job_index, std::uint32_t task_index);
  // Makes a placed task pending, or unaccounted if another attempt may still run elsewhere.
  void release(JobIndex job_index, std::uint32_t task_index, MachineIndex machine, bool unaccounted);
  // Makes unaccounted tasks pending after `unaccounted_until`. Returns the affected jobs.
  [[nodiscard]] std::vector<JobIndex> expire_unaccounted();

  // ---- gangs ----

  // Begins a new attempt of the whole gang. `min_attempt` exceeds all attempt numbers of earlier leaders.
  std::uint64_t next_gang_attempt(JobIndex job_index, std::uint64_t min_attempt);
  void adopt_gang_attempt(JobIndex job_index, std::uint64_t attempt);
  void set_gang_started(JobIndex job_index, bool started);

  // ---- delegations to remote cells ----
  // Delegated tasks cannot be placed in this cell until the delegation expires or is removed.

  void delegate(JobIndex job_index, DelegationRecord delegation);
  void charge_delegation(JobIndex job_index, std::uint64_t generation, const accounts::Usage &charged);
  void set_delegated_running(JobIndex job_index, std::uint32_t tasks) { at(job_index).delegated_running = tasks; }
  void expire_delegation(JobIndex job_index, std::uint64_t generation);
  void remove_delegation(JobIndex job_index, std::uint64_t generation);

  void on(const JobFinalized &event) { free_indices_.push_back(event.job); }
  void on(const LeaderElected &event) { unaccounted_until_ = event.unaccounted_until; }
  void on(const TermEnded &);

private:
  Job &at(JobIndex job_index) { return *jobs_[job_index.position()]; }
  JobIndex free_index();
  void accept_delegation(JobIndex job_index, DelegationSource source);
  void set_state(JobIndex job_index, std::uint32_t task_index, TaskState state, MachineIndex machine = {},
                 int zone = -1);
  void free_delegated(JobIndex job_index, const Ranges &tasks);

  Runtime &runtime_;
  Events &events_;
  std::vector<std::unique_ptr<Job>> jobs_; // by index; null: free
  std::vector<JobIndex> free_indices_;
  std::unordered_map<std::string, JobIndex> index_by_id_;
  std::uint64_t last_serial_ = 0;
  std::uint64_t pending_work_version_ = 0;
  double unaccounted_until_ = 0;
  NameIndex team_names_;
  NameIndex image_names_;
};

} // namespace loftrouter::core
