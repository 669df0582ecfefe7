// The job table of a leader: which jobs are open, and the state of each of their tasks.
//
// Owns jobs and tasks; used by the core's thread alone. Invariants: a task is in one state, the counts agree with the
// states, and a task leaves `Placed` only by `release` or `finish`, from the machine that it was placed on. If that
// were wrong a task could be placed a second time while it runs (ran_twice), or a job be reported done with a task
// missing (not_done).
//
// Jobs are named by their index, which is free for another one once `JobFinalized` has been delivered.
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
  Unaccounted, // started by an earlier leader, and not listed by a worker since
  Placed,      // bound to a machine
  Done,
  Delegated, // another cell may run it
};

struct Task {
  TaskState state = TaskState::Pending;
  MachineIndex machine;   // while placed
  std::int32_t zone = -1; // of that machine
};

struct Job {
  JobSpec spec;
  double submit_wall = 0;              // time of day
  std::uint64_t serial = 0;            // tells it from earlier jobs at the same index
  std::uint64_t open_mod_revision = 0; // of its open record, the newest known
  int team = -1;                       // -1: none of the settings' teams
  int image = -1;

  bool cancelled = false;
  bool ending = false; // its final record is being written
  bool paused = false; // nothing of it may be started now

  std::vector<Task> tasks;
  std::uint32_t done = 0;
  std::uint32_t placed = 0;
  std::uint32_t unaccounted = 0;
  std::uint32_t delegated = 0;
  std::vector<int> placed_by_zone; // placed tasks, by zone

  std::uint64_t gang_attempt = 0; // the current attempt of a gang
  bool gang_closed = false;       // that attempt takes no replacements any more

  std::vector<DelegationRecord> delegations;      // to other cells
  std::uint32_t delegated_running = 0;            // of the delegated tasks, by the last report
  std::optional<DelegationSource> delegated_here; // another cell's work: its other tasks count as done
  bool origin_confirmed_end = false;              // delegated here: the origin cell knows how it ended

  std::uint32_t pending() const { return spec.tasks - done - placed - unaccounted - delegated; }
  // Nothing of it is left to run or may still be running.
  bool finishable() const;
};

class JobTable {
public:
  JobTable(Runtime &runtime, Events &events, const Settings &settings);

  // ---- look-ups ----

  std::size_t index_limit() const { return jobs_.size(); } // indices are below this
  std::size_t open() const { return index_.size(); }       // number of jobs
  // The job at this index, or null.
  const Job *find(JobIndex job_index) const { return jobs_[job_index.position()].get(); }
  // There has to be one.
  const Job &operator[](JobIndex job_index) const { return *jobs_[job_index.position()]; }
  JobIndex index(const std::string &id) const;            // none: not open
  template <class Visit> void each(Visit &&visit) const { // visit(index, job), by ascending index
    for (std::size_t i = 0; i < jobs_.size(); ++i)
      if (jobs_[i]) visit(JobIndex(i), *jobs_[i]);
  }
  int find_team(const std::string &name) const { return team_names_.find(name); } // -1: none
  // Monotonic time at which every lease that an earlier leader may have kept alive has expired; 0: nothing is waited
  // for.
  double unaccounted_until() const { return unaccounted_until_; }
  // Grows whenever a job comes or a task becomes free to be placed.
  std::uint64_t arrivals() const { return arrivals_; }
  bool consistent(JobIndex job_index) const; // counts agree with states; for asserts and tests

  // ---- jobs ----

  JobIndex add(OpenRecord record, std::uint64_t mod_revision);
  // What the records of earlier leaders say. Before any of its tasks is placed.
  void restore(JobIndex job_index, const ProgressRecord &progress);
  void remove(JobIndex job_index); // over
  void cancel(JobIndex job_index);
  // False: it is older than what is known.
  [[nodiscard]] bool update_mod_revision(JobIndex job_index, std::uint64_t mod_revision);
  void set_ending(JobIndex job_index, bool ending);
  void pause(JobIndex job_index, bool paused);
  void mark_ready(JobIndex job_index);            // every job that it waited for is done
  void confirm_end_by_origin(JobIndex job_index); // delegated here: the origin cell knows how it ended
  void changed(JobIndex job_index, bool urgent);  // its progress record has to follow

  // ---- tasks ----

  void place(JobIndex job_index, std::uint32_t task_index, MachineIndex machine, int zone);
  void finish(JobIndex job_index, std::uint32_t task_index);
  // The attempt on `machine` is over. `unaccounted`: an older or a later one may still run somewhere.
  void release(JobIndex job_index, std::uint32_t task_index, MachineIndex machine, bool unaccounted);
  // Once `unaccounted_until` is over, tasks that no worker has listed are gone and can be placed again. Returns the
  // jobs concerned.
  [[nodiscard]] std::vector<JobIndex> expire_unaccounted();

  // ---- gangs ----

  // `fresh`: a number that no attempt of an earlier leader reached.
  std::uint64_t next_gang_attempt(JobIndex job_index, std::uint64_t fresh);
  void adopt_gang_attempt(JobIndex job_index, std::uint64_t attempt);
  void close_gang(JobIndex job_index, bool closed);

  // ---- delegations to other cells ----
  // Their tasks can't be placed here until the delegation has expired or is removed; those that are done at the remote
  // cell are finished as any other.

  void delegate(JobIndex job_index, DelegationRecord delegation);
  void charge_delegation(JobIndex job_index, std::uint64_t generation, const accounts::Usage &charged);
  void set_delegated_running(JobIndex job_index, std::uint32_t tasks) { at(job_index).delegated_running = tasks; }
  void expire_delegation(JobIndex job_index, std::uint64_t generation);
  void remove_delegation(JobIndex job_index, std::uint64_t generation);

  void on(const JobFinalized &event) { free_.push_back(event.job); }
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
  std::vector<JobIndex> free_;
  std::unordered_map<std::string, JobIndex> index_;
  std::uint64_t serial_ = 0;
  std::uint64_t arrivals_ = 0;
  double unaccounted_until_ = 0;
  NameIndex team_names_;
  NameIndex image_names_;
};

} // namespace loftrouter::core
