// What people are told of jobs: why one waits or was stopped, whether it will be late, and how siblings learn it.
//
// Owns what the leader has told of its jobs (on a node that does not lead), and what has been told to siblings. It
// changes nothing else. Counts may be some seconds old; states come from the state service alone (went_back).
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

  // What a user is shown of a job that the state service has just said is open.
  JobView view(const std::string &id, bool cancelled) const;
  bool foreseen_late(JobIndex job_index) const;
  bool foreseen_late(const std::string &id) const; // on any node
  std::size_t foreseen_late_count() const;
  void log_summary(); // every few seconds

  void publish_to_replicas();
  void handle_digest(const wire::PeerMessage &message);
  void on(const JobAccepted &event) { get_or_create(told_, event.job) = {}; }
  void on(const JobEndLearned &event) { news_.erase(event.id); }
  void on(const TermStarted &);

private:
  struct Supply { // machines of one kind
    int up = 0, starting = 0;
  };
  using Supplies = std::map<MachineKind, Supply>;
  struct News { // of a job, from the leader
    std::uint32_t done, running;
    bool late;
    std::string reason;
    double at;
  };
  struct Told { // to siblings
    std::uint32_t done = 0, running = 0;
  };
  // When each open job is expected to be able to start, and to be done, by estimates and the queue.
  static constexpr double kOutlookEvery = 0.5; // s
  const CriticalPath &outlook() const;
  std::string at_risk(JobIndex job_index) const;
  Supplies supplies() const;
  std::string why(JobIndex job_index, const Supplies &supply) const;
  std::string why_waiting(JobIndex job_index, const Supplies &supply) const;
  std::string why_held(const Job &job) const;
  std::string why_limited(const Job &job) const; // by its team's limit; empty: it is not
  std::string why_not_ready(JobIndex job_index) const;
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
  std::unordered_map<std::string, News> news_;
  std::deque<std::string> news_order_;
  std::uint64_t news_term_ = 0;
  std::vector<Told> told_; // by job
  double next_digest_ = 0, next_summary_ = 0;
  mutable CriticalPath outlook_;
  mutable double outlook_at_ = -1e9;
  std::size_t cursor_ = 0; // of the digest, over jobs
};

} // namespace loftrouter::core
