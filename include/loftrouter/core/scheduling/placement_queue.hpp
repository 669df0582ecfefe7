// Describes pending jobs for a placement round: how many tasks each may place now, its constraints and its rank.
//
// Owns when each job began to wait. Invariants: a job that must not run (dependencies unfinished, cancelled,
// paused, budget of its team exhausted) has a limit of 0, and a suspected job has at most one retry at a time
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

  PlacementJob job(JobIndex job_index) const;
  // Like `job`, but a starved job may use expensive and reserved machines too.
  PlacementJob job_relaxed_if_starved(JobIndex job_index) const;
  // Returns jobs with tasks to place, oldest first, so that a team's guaranteed quota covers its oldest jobs.
  std::vector<JobIndex> waiting_jobs() const;
  // Returns whether the job may wait for cheap capacity: it is small (`PlacementJob::small`), has no completion target
  // and is not part of a pipeline.
  bool deferrable(JobIndex job_index) const;
  // Returns whether the job has waited long since its last placement, if any.
  bool starved(JobIndex job_index) const;
  double age_s(JobIndex job_index) const; // since the job became ready

  // Called for each waiting job in a round over all machines.
  void note_waiting(JobIndex job_index, double round_interval_s);
  void note_placed(JobIndex job_index);
  // CPUs of all machines that could take tasks in the last round.
  void set_available_cpus(double cpus) { available_cpus_ = cpus; }
  double available_cpus() const { return available_cpus_; }
  void clear() { waits_.clear(); }

private:
  struct Wait {
    std::uint64_t serial = 0;
    double since = 0;           // monotonic; when the job was first seen waiting, or a task of it was last placed
    double last_seen_at = -1e9; // monotonic; the last round over all machines in which it waited
  };
  bool blocked(const Job &job, JobIndex job_index) const;
  bool would_finish_in_time(const Job &job, JobIndex job_index, const PlacementJob &placement) const;

  const SchedulingContext &context_;
  std::vector<Wait> waits_; // by job index
  double available_cpus_ = 0;
};

} // namespace loftrouter::core
