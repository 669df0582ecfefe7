// Delegates waiting work to other cells and runs work that they delegate. See docs/cells.md, and docs/safety.md,
// "Work delegated to another cell".
//
// While this node leads, owns the outbound and inbound delegations, and the known capacity and reachable nodes of the
// other cells. Tasks start locally, or are delegated again, only when delegation_protocol.hpp says that the remote cell
// has released them; inbound tasks start and keep running only under a valid delegation lease. Guards against tasks
// that run in two cells (ran_twice) or after their cancellation (ran_cancelled). Never delays a scheduling round:
// messages to other cells are queued and sent with the other output of the batch.
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

// Adds a team for each other cell, so that inbound work has its own queue and accounts.
Settings with_cell_teams(Settings settings);

class CellFederation {
public:
  // Describes another cell for the admin API.
  struct CellStatus {
    std::string name;
    double last_heard_age_s; // negative: never heard
    bool delegates;          // false: the settings leave no time for a lease
    std::uint64_t delegated_out_tasks = 0, delegated_in_tasks = 0;
    std::size_t delegations = 0, delegations_in = 0;
  };

  CellFederation(Runtime &runtime, Events &events, const Settings &settings, const InstanceTypeCatalog &catalog,
                 const OperatorSettings &operators, const Leadership &leadership, const Cancellations &cancellations,
                 StateServiceLimits &state_limits, JobTable &jobs, const FailureAttribution &failure_attribution,
                 UsageLedger &ledger, StateWriter &state_writer, WorkerRegistry &workers, Replicas &replicas,
                 const Quotas &quotas, const Autoscaler &autoscaler, const JobObjectives &objectives);

  bool enabled() const { return !settings_.cells.name.empty(); }
  // Stops inbound tasks whose delegation lease has expired. Called first in each batch of events.
  void expire_delegations();
  void tick();
  void handle_message(CellMessageCommand &&cmd);
  // Handles, on the leader, a request of another cell that a standby has forwarded.
  void handle_forwarded_request(const PeerMessageCommand &cmd);
  // Sends, on that standby, the leader's reply to the other cell.
  void relay_forwarded_reply(const wire::PeerMessage &message);
  // Returns whether the worker runs inbound tasks whose lease the origin cell hasn't confirmed to this leader yet.
  bool has_unconfirmed_delegation(const Heartbeat &heartbeat) const;
  // Returns whether the job's kind and the operators' settings allow delegating it.
  bool may_delegate(const JobSpec &spec) const;
  using QuotaHandler = std::function<void(int cell, wire::CellMessage &&message)>;
  void set_quota_handler(QuotaHandler handler) { quota_handler_ = std::move(handler); }
  wire::CellMessage make_message(wire::CellMessage::Kind kind, int cell) const;
  // Returns false if that cell isn't reachable now or doesn't support quota messages.
  bool send_quota_message(int cell, wire::CellMessage message);
  int cell_count() const { return static_cast<int>(cells_.size()); } // without this cell
  const std::string &cell_name(int cell) const { return cells_[static_cast<std::size_t>(cell)].name; }
  int find_cell(const std::string &name) const; // -1: unknown
  std::vector<CellStatus> cell_statuses() const;

  void on(const DelegationRecorded &event);
  void on(const DelegationRemoved &event);
  void on(const JobAccepted &event);
  void on(const JobCancelled &event);
  void on(const JobFinalized &event);
  void on(const TermStarted &);
  void on(const TermEnded &);

private:
  struct ReplyTarget {
    std::uint64_t link = 0, nonce = 0;
    bool by_replica = false; // the request was forwarded by a replica of this cell
  };
  struct OutboundDelegation {
    cells::DelegationAtOrigin state;
    int cell;
    double created_at, next_offer = 0, next_recall = 0;
    double startable_since = -1; // no task has started remotely though it could start here; -1: not so
    std::uint64_t grant_id = 0;  // capacity grant that the offer redeems
    bool accepted = false, progressed = false;
    bool removing = false; // removal is being recorded; the end is acknowledged afterwards
    std::uint32_t running = 0;
    cells::LeaseTerms terms;
  };
  struct InboundDelegation {
    cells::DelegationAtRemote state;
    int origin;
    double known_at, next_progress = 0;
    double stalled_since = -1;        // pending tasks lack capacity, or local jobs wait; -1: not so
    bool restored;                    // known before this leader's term began
    bool ends_unacknowledged = false; // a local job needs the id, or the origin is unknown
    bool draining = false;            // starts no more tasks; the pending ones are returned
    bool ended = false;
    std::uint32_t reported_done = 0, reported_running = 0;
    std::int64_t reported_usage = -1;
  };
  struct PendingRenewal {
    double requested_at;
    std::vector<std::uint64_t> generations;
  };
  struct Cell {
    std::string name;
    cells::CellMembership nodes;
    cells::CellCapacity capacity;
    double heard_at = -1e9, lease_s = 0;
    std::uint64_t term = 0; // latest known term of its leader
    std::uint64_t last_renewal_request = 0;
    std::map<std::uint64_t, PendingRenewal> pending_renewals; // by request number
    double next_summary = 0, next_renewal = 0;
    bool reported_disabled = false; // delegation_disabled has been logged
    bool supports_quotas = false;
  };
  struct PendingCapacityRequest {
    JobIndex job;
    int cell;
    std::uint64_t serial; // of the job
    std::uint32_t tasks;
    double expires_at;
  };
  struct MachinePool { // load of the machines of one kind
    MachineKind kind;
    int machines = 0, starting = 0, idle = 0;
    Resources size, free;
    double cpus = 0, busy_cpu_s = 0, queued_cpu_s = 0; // CPU seconds left of running tasks, and needed by waiting jobs
    bool lacks_capacity = false;
  };

  bool send(int cell, wire::CellMessage message);
  void reply(const ReplyTarget &to, wire::CellMessage message);
  void dispatch(const ReplyTarget &from, int node, wire::CellMessage &&message);
  // As the origin cell.
  double grant_s(double lease_s) const; // 0: the settings leave no time for a delegation lease
  cells::LeaseTerms terms(double lease_s) const;
  bool may_confirm(const cells::LeaseTerms &terms) const;
  void survey_capacity();
  void plan_delegations();
  std::uint32_t tasks_within_quota(JobIndex job_index) const;
  void request_capacity(JobIndex job_index, int cell, const cells::DelegationCandidate &work, std::uint32_t tasks);
  void delegate(const PendingCapacityRequest &request, std::uint64_t grant_id, std::uint32_t tasks);
  void advance_outbound();
  OutboundDelegation *find_outbound(std::uint64_t generation, JobIndex &job_index);
  void remove(JobIndex job_index, OutboundDelegation &delegation);
  void handle_progress(const ReplyTarget &from, int cell, const wire::CellMessage &message);
  wire::CellMessage make_offer(JobIndex job_index, const OutboundDelegation &delegation) const;
  cells::DelegationCandidate candidate(JobIndex job_index) const;
  // As the remote cell.
  void handle_offer(const ReplyTarget &from, int cell, wire::CellMessage &&message);
  double spare_cpus(const cells::DelegationCandidate &work) const;
  bool can_run_on(const cells::DelegationCandidate &work, const MachinePool &pool) const;
  void advance_inbound();
  void renew_leases(int origin);
  void close(JobIndex job_index, InboundDelegation &inbound);
  InboundDelegation *find_inbound(std::uint64_t generation, int origin, JobIndex &job_index);
  void fill_summary(wire::CellMessage &message) const;

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
  std::vector<std::string> node_addresses_;                        // of all cells, by node number
  std::vector<std::vector<OutboundDelegation>> outbound_;          // by job
  std::unordered_map<std::uint64_t, JobIndex> outbound_jobs_;      // by generation
  std::vector<std::optional<InboundDelegation>> inbound_;          // by job
  std::vector<JobIndex> inbound_list_;                             // jobs in `inbound_`
  std::map<std::pair<int, std::uint64_t>, JobIndex> inbound_jobs_; // by origin and generation
  std::set<std::uint64_t> recording_offers_;                       // generations whose record is being written
  std::vector<MachinePool> machine_pools_;
  std::vector<double> local_waits_; // s, expected, by job
  double wait_by_priority_[4] = {}, own_waiting_cpus_ = 0;
  std::unordered_map<std::uint64_t, PendingCapacityRequest> capacity_requests_; // by grant
  std::unordered_map<std::uint64_t, double> delegation_backoff_; // end of the backoff, by job serial and cell
  std::vector<int> consecutive_choices_;                         // by job: plans in a row that chose another cell
  cells::CapacityGrants capacity_grants_;
  ForwardedRequests<std::uint64_t> forwarded_requests_; // relayed to the leader, with the other cell's link
  std::uint64_t last_request_number_, delegations_made_ = 0;
  double next_tick_ = 0, next_plan_ = 0;
  std::string last_refused_route_;
  QuotaHandler quota_handler_;
};

} // namespace loftrouter::core
