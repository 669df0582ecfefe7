// Maintains the dependency graph of the jobs while this replica leads.
//
// Owns the graph; used by the core's thread alone. A job is ready once the state service has confirmed that all its
// dependencies are done (docs/safety.md "too_early"). Cancelling a job cancels its transitive dependents ("orphaned"),
// none of whose tasks has started. Dependencies that are not in the job table are looked up in the state service, a few
// at a time and within the read budget of user requests; nothing scans ended jobs.
//
// Priorities and deadlines propagate from dependents to their dependencies.
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

// Estimates when each open job starts and ends, in seconds from now. All members are indexed by job.
struct CriticalPath {
  std::vector<double> starts_in_s;
  std::vector<double> done_in_s;
  std::vector<JobIndex> last_dependency; // the one that ends last; invalid: none is open
};

class Dependencies {
public:
  Dependencies(Runtime &runtime, const Settings &settings, StateServiceLimits &state_limits,
               const Leadership &leadership, JobTable &jobs, EndedJobs &ended)
      : runtime_(runtime), settings_(settings), state_limits_(state_limits), leadership_(leadership), jobs_(jobs),
        ended_(ended) {}

  // Returns true if all dependencies are done and none was cancelled.
  bool ready(JobIndex job_index) const;
  // Returns the wall-clock time of the submission or of the last known end of a dependency, whichever is later.
  double ready_wall(JobIndex job_index) const { return node(job_index).ready_wall; }
  const std::vector<JobIndex> &open_dependencies(JobIndex job_index) const { return node(job_index).open_dependencies; }
  // Counts the dependencies whose end has to be looked up.
  std::size_t unresolved_count(JobIndex job_index) const;
  const std::vector<JobIndex> &dependents(JobIndex job_index) const { return node(job_index).dependents; }
  // Returns the id of the dependency whose cancellation cancelled this job; empty: none.
  const std::string &cancelled_dependency(JobIndex job_index) const { return node(job_index).cancelled_dependency; }

  // Returns the highest priority of the job and its transitive dependents.
  Priority priority(JobIndex job_index) const;
  // Returns by when the job has to end for all dependents to meet their deadlines, in seconds after `ready_wall`.
  std::optional<double> deadline(JobIndex job_index) const;
  // Returns the deadline of the job alone, in seconds after `ready_wall`.
  std::optional<double> own_deadline(JobIndex job_index) const;
  // Returns all open jobs, each after its open dependencies.
  const std::vector<JobIndex> &topological_order() const;
  // `remaining_s` returns how long a job takes once it can start.
  CriticalPath critical_path(const std::function<double(JobIndex)> &remaining_s) const;

  void tick();
  void on(const JobAccepted &event);
  void on(const JobCancelled &event);
  void on(const JobEndLearned &event);
  void on(const JobFinalized &event);
  void on(const TermEnded &);

private:
  struct Node {
    bool known = false;
    std::string id;
    std::vector<JobIndex> open_dependencies;
    std::vector<JobIndex> dependents;
    std::size_t unmet_count = 0; // dependencies not known to be done
    double ready_wall = 0;       // wall-clock time, s
    std::string cancelled_dependency;
  };
  // The look-up of how a dependency ended that is not in the job table.
  struct Lookup {
    std::vector<JobIndex> dependents;
    bool in_flight = false;
    double next_at = 0; // monotonic s
  };
  // The combined priority and deadline of a job and its transitive dependents.
  struct Requirement {
    Priority priority{};
    std::optional<double> due_wall; // wall-clock time, s
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
  std::vector<Node> nodes_; // by job index
  std::unordered_map<std::string, JobIndex> index_by_id_;
  std::map<std::string, Lookup> lookups_; // by job id
  std::size_t lookups_in_flight_ = 0;
  // Recomputed on the first use after a change of the graph.
  mutable bool outdated_ = false;
  mutable std::vector<JobIndex> topological_order_;
  mutable std::vector<Requirement> requirements_; // by job index
};

} // namespace loftrouter::core
