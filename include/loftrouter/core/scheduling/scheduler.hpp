// The placement rounds: what the leader sees, what goes where, and what makes room.
//
// Owns the line of jobs of the last round, and which machines are held for a job or kept for large ones. Promises
// that tasks go only where their job allows, within their team's limit counting all that may be on a machine (quota,
// wrong_place). What it places is not started before it is recorded.
#pragma once

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "loftrouter/core/jobs/dependencies.hpp"
#include "loftrouter/core/jobs/failure_attribution.hpp"
#include "loftrouter/core/jobs/job_objectives.hpp"
#include "loftrouter/core/quotas/quotas.hpp"
#include "loftrouter/core/runtime/dense_index.hpp"
#include "loftrouter/core/scheduling/placement.hpp"
#include "loftrouter/core/workers/worker_registry.hpp"

namespace loftrouter::core {

class Scheduler {
public:
  struct LargeTaskReservation { // a machine type that some job class needs whole
    double seen = 0;            // when a job last wanted it
    Resources need;             // the largest such job's
  };
  Scheduler(Runtime &runtime, Events &events, const Settings &settings, const InstanceTypeCatalog &catalog,
            const Operators &operators, const Leadership &leadership, JobTable &jobs, const Dependencies &dependencies,
            const FailureAttribution &failure_attribution, StateWriter &state_writer, WorkerRegistry &workers,
            const JobObjectives &objectives, const UsageLedger &ledger, const Quotas &quotas)
      : runtime_(runtime), events_(events), settings_(settings), catalog_(catalog), operators_(operators),
        leadership_(leadership), jobs_(jobs), dependencies_(dependencies), failure_attribution_(failure_attribution),
        state_writer_(state_writer), workers_(workers), objectives_(objectives), ledger_(ledger), quotas_(quotas) {}

  void tick();   // a round if one is due
  void settle(); // a round if something has come up, at the end of each batch
  // A round for one machine alone, which has just reported: it lets the next start leave with the very answer, if
  // the task is recorded ahead. Otherwise the machine would stay empty for a whole report interval.
  void offer(MachineIndex machine_index);
  void plan_ahead();

  PlaceJob place_job(JobIndex job_index) const;
  // The machines that may take tasks, or the one asked for if it may; `silent_too`: with those that are not heard at
  // present and of which it holds.
  std::vector<PlaceMachine> snapshot(std::vector<MachineIndex> &index, MachineIndex only,
                                     const std::function<bool(MachineIndex)> &silent_too = {}) const;
  bool deferrable(JobIndex job_index) const;
  bool passed_over(JobIndex job_index) const; // none of its waiting tasks has got a place for long
  double age(JobIndex job_index) const {
    return runtime_.wall() - dependencies_.ready_wall(job_index);
  }                                                                  // since it could start
  double up_cpus() const { return up_cpus_; }                        // at the last round
  const LargeTaskReservation *kept(int type, double within_s) const; // wanted within so many seconds

  void on(const JobAccepted &event);
  void on(const TaskExited &) { room_ = true; }
  void on(const MachineRemoved &event);
  void on(const TermStarted &);
  void on(const TermEnded &);

private:
  struct Nomination {
    std::string job; // id of the one that the machine is being emptied for
    double until = -1;
    bool open_to_small = false; // at the last round over all machines: not reserved for large work
  };
  struct Wait { // of a job with tasks to place
    std::uint64_t serial = 0;
    double since = 0, seen = -1e9; // it came, or one of them was placed; the last round
  };
  struct Offer;
  PlaceJob candidate(JobIndex job_index) const;
  bool wanted() const { return room_ || jobs_.arrivals() != seen_; }
  void seen() {
    room_ = false;
    seen_ = jobs_.arrivals();
  }
  void round();
  std::vector<std::uint32_t> carry_out(const std::vector<Assignment> &plan, const std::vector<JobIndex> &order,
                                       const std::vector<MachineIndex> &index);
  void place(JobIndex job_index, std::uint32_t i, MachineIndex machine_index);
  std::vector<Offer> seek_places(const PlaceJob &job, const std::vector<PlaceMachine> &machines,
                                 const std::vector<MachineIndex> &index, int zone) const;
  void preempt(std::vector<JobIndex> starved);
  void stop_spent();
  PlaceOptions options() const;
  const Nomination *held(MachineIndex machine_index) const {
    return machine_index.position() < nominations_.size() ? &nominations_[machine_index.position()] : nullptr;
  }

  Runtime &runtime_;
  Events &events_;
  const Settings &settings_;
  const InstanceTypeCatalog &catalog_;
  const Operators &operators_;
  const Leadership &leadership_;
  JobTable &jobs_;
  const Dependencies &dependencies_;
  const FailureAttribution &failure_attribution_;
  StateWriter &state_writer_;
  WorkerRegistry &workers_;
  const JobObjectives &objectives_;
  const UsageLedger &ledger_;
  const Quotas &quotas_;
  double next_round_ = 0, next_ahead_ = 0, up_cpus_ = 0;
  bool room_ = false; // a task has exited since the last round
  std::uint64_t seen_ = 0, attempts_ = 0;
  std::vector<PlaceJob> line_; // jobs with tasks to place at the last round, oldest first
  std::vector<std::uint64_t> line_serials_;
  std::vector<Wait> waits_;                            // by job
  std::vector<Nomination> nominations_;                // by machine
  std::unordered_map<int, LargeTaskReservation> kept_; // by type
};

} // namespace loftrouter::core
