// StatusReporter describes jobs to users: progress, why a job waits or was stopped, and whether it will be late. The
// leader sends digests of its jobs to the other replicas.
//
// It owns the digests received (on a follower) and the counts last sent (on the leader). Counts may be some seconds
// old; job states come only from the state service (docs/safety.md "went_back").
#pragma once

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "loftrouter/core/autoscaling/autoscaler.hpp"
#include "loftrouter/core/connectivity/replicas.hpp"
#include "loftrouter/core/jobs/ended_jobs.hpp"
#include "loftrouter/core/runtime/dense_index.hpp"
#include "loftrouter/core/runtime/growing_table.hpp"

namespace loftrouter::core {

class StatusReporter {
public:
  StatusReporter(Runtime &runtime, const Settings &settings, const InstanceTypeCatalog &catalog,
                 const OperatorSettings &operators, const Leadership &leadership, const Cancellations &cancellations,
                 const JobTable &jobs, const EndedJobs &ended, const Dependencies &dependencies,
                 const FailureAttribution &failure_attribution, const JobReasons &job_reasons,
                 const WorkerRegistry &workers, const Scheduler &scheduler, const Quotas &quotas,
                 const Autoscaler &autoscaler, const JobObjectives &objectives, const UsageLedger &ledger,
                 Replicas &replicas)
      : runtime_(runtime), settings_(settings), catalog_(catalog), operators_(operators), leadership_(leadership),
        cancellations_(cancellations), jobs_(jobs), ended_(ended), dependencies_(dependencies),
        failure_attribution_(failure_attribution), job_reasons_(job_reasons), workers_(workers), scheduler_(scheduler),
        quotas_(quotas), autoscaler_(autoscaler), objectives_(objectives), ledger_(ledger), replicas_(replicas) {}

  // Returns the user's view of a job whose open record has just been read from the state service.
  JobView view(const std::string &id, bool cancelled) const;
  bool predicted_late(JobIndex job_index) const;
  bool predicted_late(const std::string &id) const; // works on any replica
  std::size_t predicted_late_count() const;
  // Logs the numbers of open jobs, waiting tasks and machines. Rate-limited.
  void log_summary();

  // Sends digests of the open jobs to the other replicas. Rate-limited; does nothing on a follower.
  void publish_to_replicas();
  void handle_digest(const wire::PeerMessage &message);
  void on(const JobAccepted &event) { get_or_create(published_counts_, event.job) = {}; }
  void on(const JobEndLearned &event) { digests_.erase(event.id); }
  void on(const TermStarted &);

private:
  struct MachineCounts { // machines of one kind
    int up = 0, starting = 0;
  };
  using MachineCountsByKind = std::map<MachineKind, MachineCounts>;
  struct ReceivedDigest { // from the leader
    std::uint32_t done, running;
    bool late;
    std::string reason;
    double received_at;
  };
  struct PublishedCounts { // last sent to the replicas
    std::uint32_t done = 0, running = 0;
  };
  static constexpr double kForecastMaxAgeS = 0.5;
  // Returns the estimated start and completion of each open job, cached for kForecastMaxAgeS.
  const CriticalPath &forecast() const;
  // Names the dependency that is expected to make a waiting job miss its own deadline, and by how much.
  std::string deadline_risk(JobIndex job_index) const;
  MachineCountsByKind count_machines() const;
  // Explains to the job's owner why its tasks wait, or what last happened to them.
  std::string explain(JobIndex job_index, const MachineCountsByKind &machines) const;
  std::string explain_pending(JobIndex job_index, const MachineCountsByKind &machines) const;
  std::string explain_exhausted_budget(const Job &job) const;
  std::string explain_quota(const Job &job) const; // empty if the team's quota does not limit the job
  std::string explain_dependencies(JobIndex job_index) const;
  bool any_running(JobIndex job_index) const;

  Runtime &runtime_;
  const Settings &settings_;
  const InstanceTypeCatalog &catalog_;
  const OperatorSettings &operators_;
  const Leadership &leadership_;
  const Cancellations &cancellations_;
  const JobTable &jobs_;
  const EndedJobs &ended_;
  const Dependencies &dependencies_;
  const FailureAttribution &failure_attribution_;
  const JobReasons &job_reasons_;
  const WorkerRegistry &workers_;
  const Scheduler &scheduler_;
  const Quotas &quotas_;
  const Autoscaler &autoscaler_;
  const JobObjectives &objectives_;
  const UsageLedger &ledger_;
  Replicas &replicas_;
  std::unordered_map<std::string, ReceivedDigest> digests_;
  std::deque<std::string> digest_order_;
  std::uint64_t digest_term_ = 0;
  std::vector<PublishedCounts> published_counts_; // by job index
  double next_digest_at_ = 0, next_summary_at_ = 0;
  mutable CriticalPath forecast_;
  mutable double forecast_at_ = -1e9;
  std::size_t publish_cursor_ = 0; // job index at which the next digest starts
};

} // namespace loftrouter::core
