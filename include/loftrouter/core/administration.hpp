// The administration API: what an operator asks of any node. What is configured is ConfigurationDesk's.
//
// Owns nothing but the questions under way.
#pragma once

#include <string_view>

#include "loftrouter/core/cells.hpp"
#include "loftrouter/core/configuration_desk.hpp"
#include "loftrouter/core/insight.hpp"
#include "loftrouter/core/reports.hpp"
#include "loftrouter/core/served.hpp"

namespace loft::core {

class Administration {
public:
  Administration(Port &port, const Settings &settings, const Catalogue &catalogue, const Operators &operators,
                 StoreBudget &budget, const Leadership &lead, const Cancellations &cancellations, const JobTable &jobs,
                 const Dependencies &dependencies, const FailureJudge &judge, const Fleet &fleet, const Scaler &scaler,
                 const Siblings &siblings, const Reach &reach, const Cells &cells, const ReportDesk &reports,
                 const Served &served, const Insight &insight, const Ledger &ledger, ConfigurationDesk &configuration)
      : port_(port), settings_(settings), catalogue_(catalogue), operators_(operators), budget_(budget), lead_(lead),
        cancellations_(cancellations), jobs_(jobs), dependencies_(dependencies), judge_(judge), fleet_(fleet),
        scaler_(scaler), siblings_(siblings), reach_(reach), cells_(cells), reports_(reports), served_(served),
        insight_(insight), ledger_(ledger), configuration_(configuration) {}

  void take(CmdAdmin &&cmd);

private:
  void status(RequestId req, const wire::AdminRequest &ask);
  std::vector<std::string> troubles(const wire::AdminStatus &s, int silent, int ordered) const;
  void jobs(RequestId req, const wire::AdminRequest &ask, bool foreseen);
  void report(RequestId req, const wire::AdminRequest &ask);
  void statement(RequestId req, const wire::AdminRequest &ask);
  void statement_jobs(RequestId req, const wire::AdminRequest &ask, wire::AdminStatement s);
  void fail(RequestId req, int status, std::string_view text);

  Port &port_;
  const Settings &settings_;
  const Catalogue &catalogue_;
  const Operators &operators_;
  StoreBudget &budget_;
  const Leadership &lead_;
  const Cancellations &cancellations_;
  const JobTable &jobs_;
  const Dependencies &dependencies_;
  const FailureJudge &judge_;
  const Fleet &fleet_;
  const Scaler &scaler_;
  const Siblings &siblings_;
  const Reach &reach_;
  const Cells &cells_;
  const ReportDesk &reports_;
  const Served &served_;
  const Insight &insight_;
  const Ledger &ledger_;
  ConfigurationDesk &configuration_;
};

} // namespace loft::core
