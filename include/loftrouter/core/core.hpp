// The switchboard: takes commands in batches, hands each to the part that it is for, and what has happened to those
// that listen. Pure: `apply` takes a batch of commands and the time, and returns what is to be done; it does no I/O
// and reads no clock.
//
// Every part owns its state privately, and is named by its header. A part uses those declared before it here; what it
// has to tell the others goes out as events. docs/architecture.md has a drawing.
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

class Core {
public:
  explicit Core(Settings settings, std::uint64_t seed);
  Core(const Core &) = delete; // parts refer to each other
  Core &operator=(const Core &) = delete;

  Effects apply(std::vector<Command> batch, Now now);

  bool leading() const { return leadership_.leading(); }
  std::uint64_t term() const { return leading() ? leadership_.term() : 0; }
  void set_log_level(LogLevel most) { runtime_.set_log_level(most); } // lines beyond it are not made

private:
  void on(TickCommand &&);
  void on(HealthCheckCommand &&);
  void on(HeartbeatCommand &&);
  void on(PeerMessageCommand &&);
  void on(CellMessageCommand &&cmd) { federation_.take(std::move(cmd)); }
  void on(SubmitCommand &&cmd) { users_.take(std::move(cmd)); }
  void on(LookupCommand &&cmd) { users_.take(std::move(cmd)); }
  void on(CancelCommand &&cmd) { users_.take(std::move(cmd)); }
  void on(AdminCommand &&cmd) { administration_.take(std::move(cmd)); }
  void on(StoreReplyCommand &&);
  void on(CloudReplyCommand &&cmd) { runtime_.complete(cmd); }
  void answer(std::optional<AcceptedHeartbeat> report);
  void deliver();
  bool consistent() const;

  const Settings settings_;
  Runtime runtime_;
  Events events_;
  JobObjectives objectives_;
  InstanceTypeCatalog catalog_;
  Configuration configuration_;
  OperatorSettings operators_;
  StateServiceLimits state_limits_;
  Leadership leadership_;
  JobTable jobs_;
  EndedJobs ended_;
  Dependencies dependencies_;
  FailureAttribution failure_attribution_;
  PendingReasons pending_reasons_;
  UsageLedger ledger_;
  StateWriter state_writer_;
  Cancellations cancellations_;
  StateWatch watch_;
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
  AppliedConfiguration applied_;
  ConfigurationApiHandler configuration_api_;
  ServiceLevelCounters service_levels_;
  StatusReporter status_reporter_;
  JobApiHandler users_;
  AdministrationApiHandler administration_;
  EventLog event_log_;
};

} // namespace loftrouter::core
