// Attributes task failures to machines or to jobs.
//
// Failures of a job that succeeds elsewhere count against the machine; failures on several machines without a success
// count against the job. Owns the failure counts; used by the core's thread alone. A wrong result does not affect
// safety: at worst a healthy machine is returned to the cloud or a faulty one is kept.
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

  // Returns true if the job itself is probably faulty: it has failed on several machines and no task has succeeded.
  bool suspected(JobIndex job_index) const;
  // Counts the machines on which the job has failed since its last success.
  std::uint32_t failed_machine_count(JobIndex job_index) const;
  bool has_failed(JobIndex job_index) const { return failed_machine_count(job_index) > 0; }
  // Returns when a suspected job may be placed again, monotonic s.
  double retry_at(JobIndex job_index) const;
  // Returns the machines on which the job has failed recently.
  std::vector<MachineIndex> avoided_machines(JobIndex job_index) const;

  // Restores the count from the job's progress record.
  void restore(JobIndex job_index, std::uint32_t failed_machine_count);
  void on(const TaskExited &event);
  void on(const JobCancelled &event);
  void on(const JobFinalized &event) { get_or_create(job_histories_, event.job) = {}; }
  void on(const MachineRemoved &event);
  void on(const TermEnded &);

private:
  struct Failure {
    MachineIndex machine;
    double at = 0; // monotonic s
  };
  struct JobHistory {
    std::uint32_t failed_machine_count = 0;
    std::vector<Failure> failures; // the last one on each machine, bounded
    double retry_at = 0;           // monotonic s
    int retries = 0;               // since the job became suspected, capped
  };
  struct FailedJob {
    std::string id;
    bool succeeded_elsewhere = false;
  };
  struct MachineHistory {
    std::vector<FailedJob> failed_jobs; // cleared when a task placed after `failing_since` succeeds
    int error_count = 0;
    double failing_since = -1;       // monotonic s
    double last_good_placement = -1; // when the last task that succeeded was placed, monotonic s
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
  void clear_machine_failures(JobIndex job_index);

  Runtime &runtime_;
  Events &events_;
  JobTable &jobs_;
  const OperatorSettings &operators_;
  std::vector<JobHistory> job_histories_;         // by job index
  std::vector<MachineHistory> machine_histories_; // by machine index
};

} // namespace loftrouter::core
