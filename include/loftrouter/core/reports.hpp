// Workers' reports: taken, passed on to the leader, or sent elsewhere; and the answers to them.
//
// Owns the reports under way and the spread of workers over nodes. Promises that a worker gets an answer to its own
// report, from the leader alone, or is sent away; see relay.hpp and docs/safety.md, "Reports passed on".
#pragma once

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

#include "loftrouter/core/fleet.hpp"
#include "loftrouter/core/reach.hpp"

namespace loft::core {

class ReportDesk {
public:
  // Where the answer to a report goes: to the worker, or to the sibling that passed it on.
  struct Asker {
    RequestId req = 0;
    std::uint64_t link = 0, nonce = 0;
    int sibling = -1;
    bool direct() const { return sibling < 0; }
  };
  // A report that this node answers, once what it says has been listened to.
  struct Pending {
    Asker from;
    int machine;
    std::vector<TaskOrder> orders;
  };
  struct Load {
    double reports, reports_most, passed; // a second
    std::size_t workers, workers_most;
    bool spreads;
  };

  ReportDesk(Port &port, const Settings &settings, Leadership &lead, Siblings &siblings, Reach &reach,
             const Silence &silence, Fleet &fleet);

  std::optional<Pending> take(CmdReport &&cmd);
  std::optional<Pending> take_passed(const CmdPeer &cmd);
  void answer(Pending &&p);
  void take_orders(const wire::PeerMessage &m);
  void tick(); // gives up what has waited too long
  void count_rates();
  void pong_taken(const wire::PeerMessage &m);

  Siblings::Standing standing() const;
  Load load() const;
  // Reports of which this holds get no answer for now: a leader may not keep alive what it cannot vouch for.
  void refuse_while(std::function<bool(const WorkerReport &)> unsure) { unsure_ = std::move(unsure); }
  std::size_t kept() const { return relay_.workers(); } // workers whose reports this node passes on
  void on(const TermBegun &) { spread_.begin(spread_known_); }
  void on(const TermEnded &) { sent_away_.clear(); }
  void on(const MachineReturned &e);

private:
  std::optional<Pending> hear(const Asker &from, const WorkerReport &r);
  void pass_on(CmdReport &&cmd);
  void tell(const Asker &from, int status, const std::vector<TaskOrder> &orders = {}, std::string_view why = "");
  void send_elsewhere(RequestId req);
  int leading_sibling() const;
  int relay_to() const;
  int keeper_for(const WorkerReport &r);
  std::string_view leader_by_word() const;

  Port &port_;
  const Settings &settings_;
  Leadership &lead_;
  Siblings &siblings_;
  Reach &reach_;
  const Silence &silence_;
  Fleet &fleet_;
  ReportRelay relay_;
  WorkerSpread spread_;
  std::function<bool(const WorkerReport &)> unsure_;
  bool spread_known_ = false;     // what the last known leader did
  std::vector<double> sent_away_; // to a sibling, when; by machine
};

} // namespace loft::core
