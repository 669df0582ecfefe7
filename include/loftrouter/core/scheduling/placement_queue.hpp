// What a placement round sees of the jobs: how many tasks each may place now, where, and how it ranks.
//
// Owns how long jobs have waited without a place. Promises that a job that may not run (not ready, cancelled, paused,
// its team's budget spent) has a limit of 0, and that no more is placed of a suspected job than one try at a time
// (too_early).
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
  // The same; one that has waited long without a place may have whatever has room.
  PlacementJob candidate(JobIndex job_index) const;
  // Jobs with tasks to place, oldest first, so that a team's guarantee covers its earliest unfinished jobs.
  std::vector<JobIndex> waiting() const;
  // Nobody wants it at a certain time, nor waits with it.
  bool deferrable(JobIndex job_index) const;
  // None of its waiting tasks has got a place for long.
  bool starved(JobIndex job_index) const;
  double age_s(JobIndex job_index) const; // since it could start

  void note_waiting(JobIndex job_index, double round_interval_s); // in a round over all machines
  void note_placed(JobIndex job_index);
  // Of machines that may take tasks, at the last round.
  void set_available_cpus(double cpus) { available_cpus_ = cpus; }
  double available_cpus() const { return available_cpus_; }
  void clear() { waits_.clear(); }

private:
  struct Wait { // of a job with tasks to place
    std::uint64_t serial = 0;
    double since = 0;           // monotonic: when it came, or one of them was placed
    double last_seen_at = -1e9; // the last round over all machines
  };
  bool held_back(const Job &job, JobIndex job_index) const;
  bool ends_in_time(const Job &job, JobIndex job_index, const PlacementJob &placement) const;

  const SchedulingContext &context_;
  std::vector<Wait> waits_; // by job
  double available_cpus_ = 0;
};

} // namespace loftrouter::core
