// The job table of a leader: which jobs are open, and where each of their tasks stands.
//
// Owns jobs and tasks. Promises that a task is in one state, that the counts agree with the states, and that a task
// leaves `Placed` only by `release` or `finish`, from the machine that it was placed on. If that were wrong a task
// could be placed a second time while it runs (ran_twice), or a job be told done with a task missing (not_done).
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "loftrouter/core/runtime/dense_index.hpp"
#include "loftrouter/core/runtime/events.hpp"
#include "loftrouter/core/runtime/runtime.hpp"
#include "loftrouter/core/runtime/util.hpp"
#include "loftrouter/model/settings.hpp"

namespace loftrouter::core {

// Unaccounted: started by an earlier leader, and not heard of since. Lent: another cell may run it.
enum class TaskState : std::uint8_t { Pending, Unaccounted, Placed, Done, DelegationSource };
struct Task {
  TaskState state = TaskState::Pending;
  MachineIndex machine;   // while placed
  std::int32_t zone = -1; // of that machine
};
struct Job {
  JobSpec spec;
  double submit_wall = 0;
  std::uint64_t serial = 0;            // tells it from earlier jobs at the same index
  std::uint64_t open_mod_revision = 0; // of its open record, as last heard
  bool cancelled = false;
  bool ending = false; // its final record is being written
  std::vector<Task> tasks;
  std::uint32_t done = 0, placed = 0, unaccounted = 0, delegated = 0;
  std::uint64_t gang_attempt = 0; // current attempt of a gang
  bool gang_closed = false;       // that attempt takes no replacements any more
  int team = -1, image = -1;
  std::vector<int> zone_used; // placed tasks, by zone
  std::vector<DelegationRecord> delegations;
  std::uint32_t delegated_running = 0;            // of the lent tasks, as last told
  std::optional<DelegationSource> delegated_here; // another cell's work: its other tasks count as done
  bool paused = false;                            // nothing of it may be started now
  bool settled = false;                           // borrowed: home has it back

  std::uint32_t pending() const { return spec.tasks - done - placed - unaccounted - delegated; }
  // Nothing of it is left to run or may still be running.
  bool finishable() const {
    if (ending) return false;
    if (delegated_here) return settled && placed == 0 && unaccounted == 0;
    if (cancelled) return placed == 0 && unaccounted == 0 && delegated == 0;
    return spec.shape != Shape::Service && done == spec.tasks;
  }
};

class JobTable {
public:
  JobTable(Runtime &runtime, Events &events, const Settings &settings);

  std::size_t index_limit() const { return jobs_.size(); } // indices are below this
  std::size_t open() const { return index_.size(); }
  const Job *find(JobIndex job_index) const { return jobs_[job_index.position()].get(); } // null: no job there
  const Job &operator[](JobIndex job_index) const { return *jobs_[job_index.position()]; }
  JobIndex index(const std::string &id) const;
  template <class Fn> void each(Fn &&fn) const { // fn(index, job)
    for (std::size_t j = 0; j < jobs_.size(); ++j)
      if (jobs_[j]) fn(JobIndex(j), *jobs_[j]);
  }
  int find_team(const std::string &name) const { return team_names_.find(name); }

  JobIndex add(OpenRecord record, std::uint64_t mod_revision);
  // What the records of earlier leaders say. Before any of its tasks is placed.
  void restore(JobIndex job_index, const ProgressRecord &progress);
  void remove(JobIndex job_index); // over; its index is free once everybody has heard
  void on(const JobFinalized &event) { free_.push_back(event.job); }
  void on(const LeaderElected &event) { unaccounted_until_ = event.unaccounted_until; }
  void on(const TermEnded &);

  void cancel(JobIndex job_index);
  bool update_mod_revision(JobIndex job_index, std::uint64_t mod_revision); // false: older than what is known
  void set_ending(JobIndex job_index, bool ending);
  void changed(JobIndex job_index, bool urgent); // its record has to follow

  void place(JobIndex job_index, std::uint32_t i, MachineIndex machine, int zone);
  void finish(JobIndex job_index, std::uint32_t i);
  // The attempt on `machine` is over. `unaccounted`: an older or a later one may still be alive somewhere.
  void release(JobIndex job_index, std::uint32_t i, MachineIndex machine, bool unaccounted);

  std::uint64_t next_gang_attempt(JobIndex job_index, std::uint64_t fresh);
  void adopt_gang_attempt(JobIndex job_index, std::uint64_t attempt);
  void close_gang(JobIndex job_index, bool closed);

  // Work that another cell runs. Its tasks wait for nobody here until the loan has lapsed or is dropped; those that are
  // done there are finished as any other.
  void delegate(JobIndex job_index, DelegationRecord delegation);
  void charge_delegation(JobIndex job_index, std::uint64_t generation, const accounts::Usage &charged);
  void set_delegated_running(JobIndex job_index, std::uint32_t tasks) { at(job_index).delegated_running = tasks; }
  void expire_delegation(JobIndex job_index, std::uint64_t generation);
  void remove_delegation(JobIndex job_index, std::uint64_t generation);
  void pause(JobIndex job_index, bool paused);
  void readied(JobIndex job_index); // what it waited for is done (Dependencies)
  void settle(JobIndex job_index);  // borrowed: home knows how it ended

  // Mono, when every lease that an earlier leader may have kept alive has run out; 0: nothing is waited for.
  double unaccounted_until() const { return unaccounted_until_; }
  // What was not seen by then is gone. Which jobs are concerned.
  std::vector<JobIndex> age();

  // Grows whenever a job comes or a task becomes free to be placed.
  std::uint64_t arrivals() const { return arrivals_; }
  bool consistent(JobIndex job_index) const; // counts agree with states; for asserts and tests

private:
  void set(JobIndex job_index, std::uint32_t i, TaskState state, MachineIndex machine = {}, int zone = -1);
  void free_delegated(JobIndex job_index, const Ranges &tasks);
  Job &at(JobIndex job_index) { return *jobs_[job_index.position()]; }

  Runtime &runtime_;
  Events &events_;
  std::vector<std::unique_ptr<Job>> jobs_;
  std::vector<JobIndex> free_;
  std::unordered_map<std::string, JobIndex> index_;
  std::uint64_t serial_ = 0, arrivals_ = 0;
  double unaccounted_until_ = 0;
  NameIndex team_names_, image_names_;
};

// What has ended, as far as it is remembered: the newest few thousand. Ended jobs never change.
class EndedJobs {
public:
  explicit EndedJobs(Events &events) : events_(events) {}
  const EndRecord *find(const std::string &id) const;
  void remember(const std::string &id, EndRecord end);

private:
  // Ends come faster with more machines: so many are about one of each of 11,000. 4.6 MB at 0.4 KB each. One that is
  // forgotten is read again when somebody asks for it.
  static constexpr std::size_t kMax = 12'000;
  Events &events_;
  std::unordered_map<std::string, EndRecord> ends_;
  std::deque<std::string> order_;
};

} // namespace loftrouter::core
