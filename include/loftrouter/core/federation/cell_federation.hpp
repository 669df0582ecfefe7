// Work lent to other cells, and theirs that runs here. docs/cells.md says why it is made so; docs/safety.md, "Work lent
// to another cell", why no rule breaks.
//
// Owns the loans (of this cell's jobs to others) and the debts (of others' jobs here) while this node leads, what other
// cells have told of themselves, and how they are reached. Promises that a lent task is free at home only when the
// hand-over says so (cells/handover.hpp), and that a borrowed one is started and kept alive only while its home has
// confirmed it. If that were wrong, a task could run in two cells (ran_twice), or on after its cancellation
// (ran_cancelled). What it decides about lending never delays a round: frames go out with a batch like all others.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "loftrouter/core/autoscaling/autoscaler.hpp"
#include "loftrouter/core/connectivity/replicas.hpp"
#include "loftrouter/core/federation/cell_membership.hpp"
#include "loftrouter/core/federation/delegation_plan.hpp"
#include "loftrouter/core/federation/delegation_protocol.hpp"
#include "loftrouter/core/runtime/dense_index.hpp"
#include "loftrouter/core/runtime/forwarded_requests.hpp"

namespace loftrouter::core {

// This cell's settings with a team for each other cell, so that borrowed work has its own queue and account.
Settings with_cell_teams(Settings settings);

class CellFederation {
public:
  struct State { // of another cell, for people
    std::string name;
    double heard_s; // negative: never
    bool delegates; // its settings leave room for a grant
    std::uint64_t delegated_out_tasks = 0, delegated_in_tasks = 0;
    std::size_t delegations = 0, delegations_in = 0;
  };

  CellFederation(Runtime &runtime, Events &events, const Settings &settings, const InstanceTypeCatalog &catalog,
                 const OperatorSettings &operators, const Leadership &leadership, const Cancellations &cancellations,
                 StateServiceLimits &state_limits, JobTable &jobs, const FailureAttribution &failure_attribution,
                 UsageLedger &ledger, StateWriter &state_writer, WorkerRegistry &workers, Replicas &replicas,
                 const Quotas &quotas, const Autoscaler &autoscaler, const JobObjectives &objectives);

  bool on() const { return !settings_.cells.name.empty(); }
  void expire(); // before anything else of a batch: what is not confirmed any more stops
  void tick();
  void take(CellMessageCommand &&cmd);
  void take_passed(const PeerMessageCommand &cmd);  // on the leader: a frame that came to a sibling
  void take_back(const wire::PeerMessage &message); // on that sibling: the answer
  // The worker holds borrowed work of which this leader does not know yet whether it is confirmed.
  bool unsure_of(const Heartbeat &heartbeat) const;
  bool may_leave(const JobSpec &spec) const; // by the operators' settings
  // Frames about quotas are for another part, which sends its own the same way.
  using TakeQuota = std::function<void(int cell, wire::CellMessage &&message)>;
  void take_quotas(TakeQuota take) { take_quota_ = std::move(take); }
  wire::CellMessage message(wire::CellMessage::Kind kind, int cell) const;
  bool tell_quota(int cell, wire::CellMessage message); // false: that cell is not reached now, or does not know them
  int count() const { return static_cast<int>(cells_.size()); } // other cells
  const std::string &name(int cell) const { return cells_[static_cast<std::size_t>(cell)].name; }
  int by_name(const std::string &cell) const; // -1: none
  std::vector<State> states() const;

  void on(const DelegationRecorded &event);
  void on(const DelegationRemoved &event);
  void on(const JobAccepted &event);
  void on(const JobCancelled &event);
  void on(const JobFinalized &event);
  void on(const TermStarted &);
  void on(const TermEnded &);

private:
  struct Route { // where an answer goes
    std::uint64_t link = 0, nonce = 0;
    bool by_replica = false;
  };
  struct OutboundDelegation {
    cells::DelegationAtOrigin state;
    int cell;
    double made_at, next_offer = 0, next_recall = 0, idle_since = -1;
    std::uint64_t ticket = 0; // the other's promise of room
    bool taken = false, progressed = false;
    bool dropped = false; // its end is being recorded; until then the borrower is not told that it is settled
    std::uint32_t running = 0;
    cells::Terms terms;
  };
  struct InboundDelegation {
    cells::DelegationAtRemote state;
    int origin;
    double known_at, next_told = 0, idle_since = -1;
    bool restored, wanted = false, draining = false, ended = false;
    std::uint32_t told_done = 0, told_running = 0;
    std::int64_t told_held = -1;
  };
  struct Cell {
    std::string name;
    cells::CellMembership nodes;
    cells::View view;
    double heard_at = -1e9, lease_s = 0;
    std::uint64_t term = 0;                                                          // of its leader, as last heard
    std::uint64_t question = 0;                                                      // the latest Renew to it
    std::map<std::uint64_t, std::pair<double, std::vector<std::uint64_t>>> renewals; // asked when, about what
    double next_summary = 0, next_renew = 0;
    bool told_no_room = false;
    bool knows_quotas = false;
  };
  struct Wanted { // room asked for
    JobIndex job;
    int cell;
    std::uint64_t serial;
    std::uint32_t tasks;
    double until;
  };
  struct Lot { // machines of one kind, for expected waits
    MachineKind kind;
    int machines = 0, starting = 0, idle = 0;
    Resources size, free;
    double cpus = 0, busy = 0, ahead = 0; // CPU seconds
    bool refused = false;
  };

  bool send(int cell, wire::CellMessage message);
  void reply(const Route &to, wire::CellMessage message);
  void handle(const Route &from, int node, wire::CellMessage &&message);
  // As home.
  double grant_s(double lease_s) const; // 0: the settings leave no room for one
  cells::Terms terms(double lease_s) const;
  bool may_confirm(const cells::Terms &terms) const;
  void survey();
  void decide();
  std::uint32_t team_allows(JobIndex job_index) const;
  void want(JobIndex job_index, int cell, const cells::Work &work, std::uint32_t tasks);
  void delegate(const Wanted &wanted, std::uint64_t ticket, std::uint32_t tasks);
  void tend_outbound();
  OutboundDelegation *delegation(std::uint64_t generation, JobIndex &job_index);
  void drop(JobIndex job_index, OutboundDelegation &delegation);
  void told(const Route &from, int cell, const wire::CellMessage &message);
  wire::CellMessage offer(JobIndex job_index, const OutboundDelegation &delegation) const;
  cells::Work work_of(JobIndex job_index) const;
  // As borrower.
  void offered(const Route &from, int cell, wire::CellMessage &&message);
  double spare_cpus(const cells::Work &work) const;
  bool may_use(const cells::Work &work, const Lot &lot) const;
  void tend_inbound();
  void renew(int origin);
  void close(JobIndex job_index, InboundDelegation &inbound);
  InboundDelegation *inbound(std::uint64_t generation, int origin, JobIndex &job_index);
  void summarize(wire::CellMessage &message) const;

  Runtime &runtime_;
  Events &events_;
  const Settings &settings_;
  const InstanceTypeCatalog &catalog_;
  const OperatorSettings &operators_;
  const Leadership &leadership_;
  const Cancellations &cancellations_;
  StateServiceLimits &state_limits_;
  JobTable &jobs_;
  const FailureAttribution &failure_attribution_;
  UsageLedger &ledger_;
  StateWriter &state_writer_;
  WorkerRegistry &workers_;
  Replicas &replicas_;
  const Quotas &quotas_;
  const Autoscaler &autoscaler_;
  const JobObjectives &objectives_;
  std::vector<Cell> cells_;
  std::vector<std::string> node_addresses_;                        // of all cells, by how they are dialled
  std::vector<std::vector<OutboundDelegation>> outbound_;          // by job
  std::unordered_map<std::uint64_t, JobIndex> outbound_jobs_;      // by generation
  std::vector<std::optional<InboundDelegation>> inbound_;          // by job
  std::vector<JobIndex> inbound_list_;                             // jobs that have one
  std::map<std::pair<int, std::uint64_t>, JobIndex> inbound_jobs_; // by home and generation
  std::set<std::uint64_t> taking_;                                 // offers whose record is being written
  std::vector<Lot> lots_;
  std::vector<double> waits_; // by job: expected at home
  double wait_by_urgency_[4] = {}, own_waiting_cpus_ = 0;
  std::unordered_map<std::uint64_t, Wanted> wanted_;    // by ticket
  std::unordered_map<std::uint64_t, double> not_again_; // (job serial, cell): not before
  std::vector<int> eager_;                              // by job: decisions in a row that it should leave
  cells::CapacityGrants capacity_grants_;
  ForwardedRequests<std::uint64_t> passed_; // other cells' questions, to the leader; with their link
  std::uint64_t numbers_, delegations_made_ = 0;
  double next_tick_ = 0, next_decision_ = 0;
  std::string told_wrong_;
  TakeQuota take_quota_;
};

} // namespace loftrouter::core
