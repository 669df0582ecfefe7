// Describes pending jobs for a placement round and tracks how long they wait. Invariants: a job that must not run
// (dependencies, cancellation, pause, budget) has a limit of 0, and a suspected job has at most one retry at a time
// (docs/safety.md "too_early").
#pragma once

#include <cstdint>
#include <vector>

#include "loftrouter/core/scheduling/placement.hpp"
#include "loftrouter/core/scheduling/scheduling_context.hpp"

namespace loftrouter::core {

class PlacementQueue {
public:
  explicit PlacementQueue(const SchedulingContext &context) : context_(context) {}

  PlacementJob placement_job(JobIndex job_index) const;
  // Like `placement_job`, but a starved job may use expensive and reserved machines too.
  PlacementJob job_relaxed_if_starved(JobIndex job_index) const;
  // Returns the jobs with pending tasks, oldest first, so that a team's guaranteed quota covers its oldest jobs.
  std::vector<JobIndex> waiting_jobs() const;
  // Returns whether the job may wait for cheap capacity.
  bool deferrable(JobIndex job_index) const;
  // Returns whether the job has gone long without a placement.
  bool starved(JobIndex job_index) const;
  double age_s(JobIndex job_index) const; // since the job became ready

  // Called for each waiting job in each full round.
  void note_waiting(JobIndex job_index, double round_interval_s);
  void note_placed(JobIndex job_index);
  // Sets the CPUs of all schedulable machines.
  void set_available_cpus(double cpus) { available_cpus_ = cpus; }
  double available_cpus() const { return available_cpus_; }
  void clear() { waits_.clear(); }

private:
  struct Wait {
    std::uint64_t serial = 0;   // detects that the job index has been reused
    double since = 0;           // monotonic; first round or last placement
    double last_seen_at = -1e9; // monotonic
  };
  bool blocked(const Job &job, JobIndex job_index) const;
  bool would_finish_in_time(const Job &job, JobIndex job_index, const PlacementJob &placement_job) const;

  const SchedulingContext &context_;
  std::vector<Wait> waits_; // by job index
  double available_cpus_ = 0;
};

} // namespace loftrouter::core
