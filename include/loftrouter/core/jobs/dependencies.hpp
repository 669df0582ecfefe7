// Which jobs wait for which, while this node leads.
//
// Owns the graph of open jobs and of the names in it that are not open here. Promises that nobody else decides whether
// a job may start: it is ready only when the state service has said of every job that it names that this one is done
// (too_early). A job one of whose names was cancelled is cancelled with it, and so on along the graph (orphaned); it
// never was ready, so none of its tasks has ever started. Names not open here are looked up one by one, bounded and
// within the users' reads; nothing scans what has ended.
//
// What a job is wanted for follows from those that need it: their priority, and when it has to be done so that the end
// of the path still meets its deadline.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "loftrouter/core/election/leadership.hpp"
#include "loftrouter/core/jobs/job_table.hpp"
#include "loftrouter/core/runtime/dense_index.hpp"
#include "loftrouter/core/runtime/events.hpp"
#include "loftrouter/core/runtime/state_service_limits.hpp"

namespace loftrouter::core {

class Dependencies {
public:
  Dependencies(Runtime &runtime, const Settings &settings, StateServiceLimits &state_limits,
               const Leadership &leadership, JobTable &jobs, EndedJobs &ended)
      : runtime_(runtime), settings_(settings), state_limits_(state_limits), leadership_(leadership), jobs_(jobs),
        ended_(ended) {}

  bool ready(JobIndex job_index) const {
    return at(job_index).known && at(job_index).waits == 0 && at(job_index).stopped_with.empty();
  }
  // When it became so: its submission, or the end of the last job that it needs. Of a job that is not ready, so far.
  double ready_wall(JobIndex job_index) const { return at(job_index).ready_wall; }
  // The highest of its own and of those that need it, directly or through others.
  Urgency urgency(JobIndex job_index) const;
  // Seconds after `ready_wall`: by its own deadline, and so that every job that needs it can still meet its own.
  std::optional<double> deadline(JobIndex job_index) const;
  // By its own alone.
  std::optional<double> own_deadline(JobIndex job_index) const;
  // The jobs that it still waits for, those known to be open; and of the others how many are being looked up.
  const std::vector<JobIndex> &waits_for(JobIndex job_index) const { return at(job_index).needs; }
  std::size_t unknown(JobIndex job_index) const { return at(job_index).waits - at(job_index).needs.size(); }
  const std::vector<JobIndex> &needed_by(JobIndex job_index) const { return at(job_index).dependants; }
  // The job with which it was cancelled; empty: none.
  const std::string &stopped_with(JobIndex job_index) const { return at(job_index).stopped_with; }
  // Every open job once, each after all open ones that it needs.
  const std::vector<JobIndex> &in_order() const;
  // By job: seconds until it can start and until it is done, if each that can start takes `left` more; and of those
  // that it waits for the one that is done last, if any.
  struct Path {
    std::vector<double> begins_in, done_in;
    std::vector<JobIndex> last;
  };
  Path along(const std::function<double(JobIndex)> &left) const;

  void tick(); // looks names up
  void on(const JobAccepted &event);
  void on(const JobCancelled &event);
  void on(const JobEndLearned &event);
  void on(const JobFinalized &event);
  void on(const TermEnded &);

private:
  struct Node { // of an open job
    bool known = false;
    std::string id;
    std::vector<JobIndex> needs, dependants; // open jobs, by index
    std::size_t waits = 0;                   // jobs that it needs and that are not known to be done
    double ready_wall = 0;
    std::string stopped_with;
  };
  struct Unknown { // a name that is not open here, and whose end is not known
    std::vector<JobIndex> dependants;
    bool reading = false;
    double next_read = 0;
  };
  static constexpr std::size_t kMaxReads = 8;
  const Node &at(JobIndex job_index) const {
    static const Node none;
    return job_index.position() < nodes_.size() ? nodes_[job_index.position()] : none;
  }
  Node &at(JobIndex job_index) { return nodes_[job_index.position()]; }
  void link(JobIndex job_index, JobIndex needed);
  void done(JobIndex job_index, double end_wall);
  void stop(JobIndex job_index, const std::string &with);
  void settle(const std::vector<JobIndex> &dependants, const std::string &id, const EndRecord &end);
  void read(const std::string &name);
  double lead_time(JobIndex job_index) const;
  void recompute() const;

  Runtime &runtime_;
  const Settings &settings_;
  StateServiceLimits &state_limits_;
  const Leadership &leadership_;
  JobTable &jobs_;
  EndedJobs &ended_;
  std::vector<Node> nodes_; // by job
  std::unordered_map<std::string, JobIndex> index_;
  std::map<std::string, Unknown> unknown_;
  std::size_t reading_ = 0;
  // What follows along the graph is worked out when it is asked for after a change.
  mutable bool outdated_ = false;
  mutable std::vector<JobIndex> order_;
  mutable std::vector<std::pair<Urgency, std::optional<double>>> wanted_; // by job
};

} // namespace loftrouter::core
