// Whose fault failures are: a faulty machine fails the tasks of every job, a faulty job fails on every machine.
//
// Owns the failures counted against jobs and machines; used by the core's thread alone. Jobs that succeed elsewhere
// count against the machine, and machines on which nothing else fails against the job. No rule rests on it: at worst a
// healthy machine is given back, or a faulty one kept.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "loftrouter/core/configuration/operator_settings.hpp"
#include "loftrouter/core/jobs/job_table.hpp"
#include "loftrouter/core/runtime/dense_index.hpp"
#include "loftrouter/core/runtime/events.hpp"
#include "loftrouter/core/runtime/growing_table.hpp"

namespace loftrouter::core {

class FailureAttribution {
public:
  FailureAttribution(Runtime &runtime, Events &events, JobTable &jobs, const OperatorSettings &operators)
      : runtime_(runtime), events_(events), jobs_(jobs), operators_(operators) {}

  // It has failed wherever it was tried: more likely a mistake in the job than several faulty machines.
  bool suspected(JobIndex job_index) const;
  // Different machines in a row on which a task of it has failed, none having succeeded since.
  std::uint32_t failed_machine_count(JobIndex job_index) const;
  bool has_failed(JobIndex job_index) const { return failed_machine_count(job_index) > 0; }
  // Monotonic: a suspected job is not placed before.
  double retry_at(JobIndex job_index) const;
  // Machines on which it has failed lately, and is not placed.
  std::vector<MachineIndex> avoided_machines(JobIndex job_index) const;

  // From an earlier leader's record.
  void restore(JobIndex job_index, std::uint32_t failed_machine_count);
  void on(const TaskExited &event);
  void on(const JobCancelled &event);
  void on(const JobFinalized &event) { get_or_create(job_histories_, event.job) = {}; }
  void on(const MachineRemoved &event);
  void on(const TermEnded &);

private:
  struct Failure {
    MachineIndex machine;
    double at = 0; // monotonic
  };
  struct JobHistory {
    std::uint32_t failed_machine_count = 0;
    std::vector<Failure> failures; // the last of each machine, bounded
    double retry_at = 0;
    int probes = 0; // since it became suspected
  };
  struct FailedJob { // a job that has failed on a machine
    std::string id;
    bool succeeded_elsewhere = false; // so the fault is not the job's
  };
  struct MachineHistory {
    std::vector<FailedJob> failed_jobs; // since `failing_since`, while nothing started since then has succeeded
    int errors = 0;
    double failing_since = -1;
    double last_good_start = -1; // when the newest task that succeeded was placed
    bool quarantined = false;

    bool is_faulty() const;
  };
  const JobHistory &history(JobIndex job_index) const;
  void task_failed(const TaskExited &event);
  void task_succeeded(const TaskExited &event);
  void record_failure(JobHistory &history, MachineIndex machine_index);
  void suspect(JobIndex job_index, JobHistory &history);
  void schedule_retry(JobHistory &history);
  void count_against_machine(MachineIndex machine_index, JobIndex job_index, double failed_at);
  void clear_machines_of(JobIndex job_index);

  Runtime &runtime_;
  Events &events_;
  JobTable &jobs_;
  const OperatorSettings &operators_;
  std::vector<JobHistory> job_histories_;         // by job
  std::vector<MachineHistory> machine_histories_; // by machine
};

} // namespace loftrouter::core
