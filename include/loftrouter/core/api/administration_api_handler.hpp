// AdministrationApiHandler serves the administration API on any node: status, job lists and usage statements. It passes
// configuration requests to ConfigurationApiHandler. Its only state is the requests in flight.
#pragma once

#include <string_view>

#include "loftrouter/core/api/configuration_api_handler.hpp"
#include "loftrouter/core/api/service_level_counters.hpp"
#include "loftrouter/core/api/status_reporter.hpp"
#include "loftrouter/core/federation/cell_federation.hpp"
#include "loftrouter/core/heartbeats/heartbeat_handler.hpp"
#include "loftrouter/wire/admin_jobs.hpp"
#include "loftrouter/wire/admin_status.hpp"

namespace loftrouter::core {

class AdministrationApiHandler {
public:
  AdministrationApiHandler(Runtime &runtime, const Settings &settings, const InstanceTypeCatalog &catalog,
                           const OperatorSettings &operators, StateServiceLimits &state_limits,
                           const Leadership &leadership, const Cancellations &cancellations, const JobTable &jobs,
                           const Dependencies &dependencies, const FailureAttribution &failure_attribution,
                           const WorkerRegistry &workers, const Autoscaler &autoscaler, const Replicas &replicas,
                           const ConnectivityMonitor &connectivity, const CellFederation &cells,
                           const HeartbeatHandler &heartbeats, const ServiceLevelCounters &service_levels,
                           const StatusReporter &status_reporter, const UsageLedger &ledger,
                           ConfigurationApiHandler &configuration)
      : runtime_(runtime), settings_(settings), catalog_(catalog), operators_(operators), state_limits_(state_limits),
        leadership_(leadership), cancellations_(cancellations), jobs_(jobs), dependencies_(dependencies),
        failure_attribution_(failure_attribution), workers_(workers), autoscaler_(autoscaler), replicas_(replicas),
        connectivity_(connectivity), federation_(cells), heartbeats_(heartbeats), service_levels_(service_levels),
        status_reporter_(status_reporter), ledger_(ledger), configuration_(configuration) {}

  void take(AdminCommand &&command);

private:
  void reply_status(RequestId request_id, const wire::AdminRequest &request);
  // Describes the problems that an operator should know of, one line each.
  std::vector<std::string> describe_problems(const wire::AdminStatus &status, int silent_machines,
                                             int excluded_machines) const;
  void reply_jobs(RequestId request_id, const wire::AdminRequest &request, bool only_late);
  void reply_report(RequestId request_id, const wire::AdminRequest &request);
  void reply_statement(RequestId request_id, const wire::AdminRequest &request);
  void reply_statement_jobs(RequestId request_id, const wire::AdminRequest &request, wire::AdminStatement statement);
  void reply_error(RequestId request_id, int status, std::string_view text);

  Runtime &runtime_;
  const Settings &settings_;
  const InstanceTypeCatalog &catalog_;
  const OperatorSettings &operators_;
  StateServiceLimits &state_limits_;
  const Leadership &leadership_;
  const Cancellations &cancellations_;
  const JobTable &jobs_;
  const Dependencies &dependencies_;
  const FailureAttribution &failure_attribution_;
  const WorkerRegistry &workers_;
  const Autoscaler &autoscaler_;
  const Replicas &replicas_;
  const ConnectivityMonitor &connectivity_;
  const CellFederation &federation_;
  const HeartbeatHandler &heartbeats_;
  const ServiceLevelCounters &service_levels_;
  const StatusReporter &status_reporter_;
  const UsageLedger &ledger_;
  ConfigurationApiHandler &configuration_;
};

} // namespace loftrouter::core
