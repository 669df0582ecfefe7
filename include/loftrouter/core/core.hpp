// The switchboard: takes commands in batches, hands each to the part that it is for, and what has happened to those
// that listen. Pure: `apply` takes a batch of commands and the time, and returns what is to be done; it does no I/O
// and reads no clock.
//
// Every part owns its state privately, and is named by its header. A part uses those declared before it here; what it
// has to tell the others goes out as events. docs/design.md has the picture.
#pragma once

#include "loftrouter/core/administration.hpp"
#include "loftrouter/core/applied.hpp"
#include "loftrouter/core/cells.hpp"
#include "loftrouter/core/chronicle.hpp"
#include "loftrouter/core/insight.hpp"
#include "loftrouter/core/quota_exchange.hpp"
#include "loftrouter/core/reports.hpp"
#include "loftrouter/core/served.hpp"
#include "loftrouter/core/users.hpp"
#include "loftrouter/core/watch.hpp"

namespace loft::core {

class Core {
public:
  explicit Core(Settings settings, std::uint64_t seed);
  Core(const Core &) = delete; // parts refer to each other
  Core &operator=(const Core &) = delete;

  Effects apply(std::vector<Command> batch, Now now);

  bool leading() const { return lead_.leading(); }
  std::uint64_t term() const { return leading() ? lead_.term() : 0; }
  void log_up_to(LogLevel most) { port_.show(most); } // lines beyond it are not made

private:
  void on(CmdTick &&);
  void on(CmdUp &&);
  void on(CmdReport &&);
  void on(CmdPeer &&);
  void on(CmdCell &&cmd) { cells_.take(std::move(cmd)); }
  void on(CmdSubmit &&cmd) { users_.take(std::move(cmd)); }
  void on(CmdLookup &&cmd) { users_.take(std::move(cmd)); }
  void on(CmdAbort &&cmd) { users_.take(std::move(cmd)); }
  void on(CmdAdmin &&cmd) { administration_.take(std::move(cmd)); }
  void on(CmdStoreReply &&);
  void on(CmdCloudReply &&cmd) { port_.answered(cmd); }
  void answer(std::optional<ReportDesk::Pending> report);
  void deliver();
  bool consistent() const;

  const Settings settings_;
  Port port_;
  Events events_;
  Wishes wishes_;
  Catalogue catalogue_;
  Configuration configuration_;
  Operators operators_;
  StoreBudget budget_;
  Leadership lead_;
  JobTable jobs_;
  EndedJobs ended_;
  Dependencies dependencies_;
  FailureJudge judge_;
  Reasons reasons_;
  Ledger ledger_;
  Recorder recorder_;
  Cancellations cancellations_;
  RecordWatch watch_;
  Fleet fleet_;
  Quotas quotas_;
  Silence silence_;
  Siblings siblings_;
  Reach reach_;
  ReportDesk reports_;
  Placer placer_;
  Scaler scaler_;
  Cells cells_;
  QuotaChanges quota_changes_;
  QuotaExchange quota_exchange_;
  AppliedConfiguration applied_;
  ConfigurationDesk configuration_desk_;
  Served served_;
  Insight insight_;
  UserDesk users_;
  Administration administration_;
  Chronicle chronicle_;
};

} // namespace loft::core
