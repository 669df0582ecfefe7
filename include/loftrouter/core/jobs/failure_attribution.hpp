// Whose fault failures are: a sick machine fails the tasks of every job, a job with a mistake fails on every machine.
//
// Owns what is held against jobs and machines. Jobs that succeed elsewhere speak against the machine, and machines
// on which nothing else fails against the job. No rule rests on it: at worst a healthy machine is given back, or a sick
// one kept.
#pragma once

#include <string>
#include <vector>

#include "loftrouter/core/configuration/operator_settings.hpp"
#include "loftrouter/core/jobs/job_table.hpp"
#include "loftrouter/core/runtime/dense_index.hpp"
#include "loftrouter/core/runtime/events.hpp"

namespace loftrouter::core {

class FailureAttribution {
public:
  FailureAttribution(Runtime &runtime, Events &events, JobTable &jobs, const Operators &operators)
      : runtime_(runtime), events_(events), jobs_(jobs), operators_(operators) {}

  // Has failed wherever it was tried: more likely a mistake in the job than several sick machines.
  bool suspect(JobIndex job_index) const { return jobs_[job_index].done == 0 && failed_on(job_index) >= 2; }
  // Machines in a row, none of its tasks having succeeded since.
  std::uint32_t failed_on(JobIndex job_index) const;
  double retry_at(JobIndex job_index) const;                  // a suspect is held off until then
  std::vector<MachineIndex> barred(JobIndex job_index) const; // machines on which it has failed lately
  bool failed_lately(JobIndex job_index) const { return failed_on(job_index) > 0; }

  void restore(JobIndex job_index, std::uint32_t failed_on); // from an earlier leader's record
  void on(const TaskExited &event);
  void on(const JobCancelled &event);
  void on(const JobFinalized &event) { grown(jobs_at_, event.job) = {}; }
  void on(const MachineRemoved &event);
  void on(const TermEnded &);

private:
  struct Failure {
    MachineIndex machine;
    double at;
  };
  struct Record { // of a job
    std::uint32_t failed_on = 0;
    std::vector<Failure> failures;
    double retry_at = 0;
    int probes = 0; // since it became suspect
  };
  struct Blame {
    std::string job;
    bool verified; // it has succeeded elsewhere, so the fault is not the job's
  };
  struct Machine {
    std::vector<Blame> blames; // since `failing_since`, while nothing started since then has succeeded
    int errors = 0;
    double failing_since = -1, last_good_start = -1;
    bool quarantined = false;
  };
  void failed(const TaskExited &event);
  void succeeded(const TaskExited &event);
  void blame(MachineIndex machine_index, JobIndex job_index, double at_s);
  void absolve(JobIndex job_index);

  Runtime &runtime_;
  Events &events_;
  JobTable &jobs_;
  const Operators &operators_;
  std::vector<Record> jobs_at_;
  std::vector<Machine> machines_;
};

} // namespace loftrouter::core
