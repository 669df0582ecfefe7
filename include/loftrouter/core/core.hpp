// The core: dispatches commands to its modules and delivers the events that they publish. It does no I/O and reads no
// clock: the effects of a batch depend only on the state, the commands and the time passed in.
//
// Each module owns its state. A module calls only modules declared before it in `Core` and informs others through
// events (docs/architecture.md).
#pragma once

#include "loftrouter/core/api/administration_api_handler.hpp"
#include "loftrouter/core/api/event_log.hpp"
#include "loftrouter/core/api/job_api_handler.hpp"
#include "loftrouter/core/api/service_level_counters.hpp"
#include "loftrouter/core/api/status_reporter.hpp"
#include "loftrouter/core/configuration/applied_configuration.hpp"
#include "loftrouter/core/federation/cell_federation.hpp"
#include "loftrouter/core/federation/quota_exchange.hpp"
#include "loftrouter/core/heartbeats/heartbeat_handler.hpp"
#include "loftrouter/core/jobs/ended_jobs.hpp"
#include "loftrouter/core/state/state_watch.hpp"

namespace loftrouter::core {

// Single-threaded. Owns all modules.
class Core {
public:
  explicit Core(Settings settings, std::uint64_t seed);
  Core(const Core &) = delete; // modules hold references to each other
  Core &operator=(const Core &) = delete;

  Effects apply(std::vector<Command> batch, Now now);

  // Is told what the core works on next: the name of a command's kind, or kRoundName for what follows a batch.
  using WorkObserver = std::function<void(std::string_view name)>;
  static constexpr std::string_view kRoundName = "round";
  void set_work_observer(WorkObserver observer) { observe_work_ = std::move(observer); }

  bool leading() const { return leadership_.leading(); }
  std::uint64_t term() const { return leading() ? leadership_.term() : 0; }
  void set_log_level(LogLevel level) { runtime_.set_log_level(level); }

private:
  void on(TickCommand &&);
  void on(HealthCheckCommand &&);
  void on(HeartbeatCommand &&);
  void on(PeerMessageCommand &&);
  void on(CellMessageCommand &&cmd) { federation_.handle_message(std::move(cmd)); }
  void on(SubmitCommand &&cmd) { job_api_.take(std::move(cmd)); }
  void on(LookupCommand &&cmd) { job_api_.take(std::move(cmd)); }
  void on(CancelCommand &&cmd) { job_api_.take(std::move(cmd)); }
  void on(AdminCommand &&cmd) { administration_api_.take(std::move(cmd)); }
  void on(StoreReplyCommand &&);
  void on(CloudReplyCommand &&cmd) { runtime_.complete(cmd); }
  void place_and_respond(std::optional<AcceptedHeartbeat> heartbeat);
  void deliver_events();
  bool consistent() const;

  WorkObserver observe_work_ = [](std::string_view) {};
  const Settings settings_;
  Runtime runtime_;
  Events events_;
  JobObjectives objectives_;
  InstanceTypeCatalog catalog_;
  Configuration configuration_;
  OperatorSettings operator_settings_;
  StateServiceLimits state_limits_;
  Leadership leadership_;
  JobTable jobs_;
  EndedJobs ended_jobs_;
  Dependencies dependencies_;
  FailureAttribution failure_attribution_;
  JobReasons job_reasons_;
  UsageLedger ledger_;
  StateWriter state_writer_;
  Cancellations cancellations_;
  StateWatch state_watch_;
  WorkerRegistry workers_;
  Quotas quotas_;
  FailureDetector failure_detector_;
  Replicas replicas_;
  ConnectivityMonitor connectivity_;
  HeartbeatHandler heartbeats_;
  Scheduler scheduler_;
  Autoscaler autoscaler_;
  CellFederation federation_;
  QuotaChanges quota_changes_;
  QuotaExchange quota_exchange_;
  AppliedConfiguration applied_configuration_;
  ConfigurationApiHandler configuration_api_;
  ServiceLevelCounters service_levels_;
  StatusReporter status_reporter_;
  JobApiHandler job_api_;
  AdministrationApiHandler administration_api_;
  EventLog event_log_;
};

} // namespace loftrouter::core
