// The dependency graph of jobs, while this node leads: which jobs wait for which.
//
// Owns the graph of open jobs, and of the jobs named in it that are not open here; used by the core's thread alone.
// Nobody else decides whether a job may start: it is ready only when the state service has said of every job that it
// names that this one is done (too_early). A job one of whose names was cancelled is cancelled with it, and so on along
// the graph (orphaned); it never was ready, so none of its tasks has ever started. Jobs that are not open here are
// looked up one by one, bounded and within the budget of users' reads; nothing scans what has ended.
//
// What a job has to meet follows from those that depend on it: their urgency, and when it has to be done so that the
// end of the path still meets its deadline.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "loftrouter/core/election/leadership.hpp"
#include "loftrouter/core/jobs/ended_jobs.hpp"
#include "loftrouter/core/jobs/job_table.hpp"
#include "loftrouter/core/runtime/dense_index.hpp"
#include "loftrouter/core/runtime/events.hpp"
#include "loftrouter/core/runtime/state_service_limits.hpp"

namespace loftrouter::core {

// The estimated course of all open jobs; each vector by job index.
struct CriticalPath {
  std::vector<double> starts_in_s;       // until the job can start
  std::vector<double> done_in_s;         // until it is done
  std::vector<JobIndex> last_dependency; // of those that it waits for the one that is done last, if any
};

class Dependencies {
public:
  Dependencies(Runtime &runtime, const Settings &settings, StateServiceLimits &state_limits,
               const Leadership &leadership, JobTable &jobs, EndedJobs &ended)
      : runtime_(runtime), settings_(settings), state_limits_(state_limits), leadership_(leadership), jobs_(jobs),
        ended_(ended) {}

  // ---- the graph ----

  bool ready(JobIndex job_index) const;
  // Time of day when it became so: its submission, or the end of the last job that it waited for. Of a job that is not
  // ready, so far.
  double ready_wall(JobIndex job_index) const { return node(job_index).ready_wall; }
  // The open jobs that it still waits for.
  const std::vector<JobIndex> &open_dependencies(JobIndex job_index) const { return node(job_index).open_dependencies; }
  // How many other jobs it waits for, which are not open here and are being looked up.
  std::size_t unresolved_count(JobIndex job_index) const;
  const std::vector<JobIndex> &dependents(JobIndex job_index) const { return node(job_index).dependents; }
  // Id of the job with which it was cancelled; empty: none.
  const std::string &cancelled_with(JobIndex job_index) const { return node(job_index).cancelled_with; }

  // ---- what a job has to meet ----

  // The highest of its own and of those that depend on it, directly or through others.
  Priority priority(JobIndex job_index) const;
  // Seconds after `ready_wall`: by its own deadline, and so that every job that depends on it can still meet its own.
  std::optional<double> deadline(JobIndex job_index) const;
  // Seconds after `ready_wall`, by its own deadline alone.
  std::optional<double> own_deadline(JobIndex job_index) const;
  // Every open job once, each after all open ones that it waits for.
  const std::vector<JobIndex> &topological_order() const;
  // `remaining_s`: what a job takes from when it can start.
  CriticalPath critical_path(const std::function<double(JobIndex)> &remaining_s) const;

  void tick(); // starts look-ups
  void on(const JobAccepted &event);
  void on(const JobCancelled &event);
  void on(const JobEndLearned &event);
  void on(const JobFinalized &event);
  void on(const TermEnded &);

private:
  struct Node { // of an open job
    bool known = false;
    std::string id;
    std::vector<JobIndex> open_dependencies;
    std::vector<JobIndex> dependents;
    std::size_t unmet = 0; // jobs that it names and that are not known to be done
    double ready_wall = 0;
    std::string cancelled_with;
  };
  struct Lookup { // of a job that is not open here, and whose end is not known
    std::vector<JobIndex> dependents;
    bool in_flight = false;
    double next_at = 0; // monotonic
  };
  struct Requirement { // what a job has to meet, by its own and by all that depend on it
    Priority priority{};
    std::optional<double> due_wall;
  };
  static constexpr std::size_t kMaxLookups = 8; // in flight
  const Node &node(JobIndex job_index) const;
  Node &node(JobIndex job_index) { return nodes_[job_index.position()]; }
  bool has_node(JobIndex job_index) const { return job_index.position() < nodes_.size(); }

  void add_edge(JobIndex dependent, JobIndex dependency);
  void resolve(const std::vector<JobIndex> &dependents, const std::string &id, const EndRecord &end);
  void dependency_done(JobIndex job_index, double end_wall);
  void dependency_cancelled(JobIndex job_index, const std::string &dependency_id);

  void look_up_open(const std::string &id);
  void look_up_ended(const std::string &id);
  void finish_lookup(const std::string &id, std::optional<EndRecord> end);

  double lead_time_s(JobIndex job_index) const;
  void recompute() const;
  void sort_topologically() const;
  Requirement combined_requirement(JobIndex job_index) const;

  Runtime &runtime_;
  const Settings &settings_;
  StateServiceLimits &state_limits_;
  const Leadership &leadership_;
  JobTable &jobs_;
  EndedJobs &ended_;
  std::vector<Node> nodes_; // by job
  std::unordered_map<std::string, JobIndex> index_;
  std::map<std::string, Lookup> lookups_; // by id
  std::size_t lookups_in_flight_ = 0;
  // What follows along the graph is computed when it is asked for after a change.
  mutable bool outdated_ = false;
  mutable std::vector<JobIndex> topological_order_;
  mutable std::vector<Requirement> requirements_; // by job
};

} // namespace loftrouter::core
