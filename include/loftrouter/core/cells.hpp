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

#include "loftrouter/cells/handover.hpp"
#include "loftrouter/cells/membership.hpp"
#include "loftrouter/cells/plan.hpp"
#include "loftrouter/core/relay.hpp"
#include "loftrouter/core/scaler.hpp"
#include "loftrouter/core/siblings.hpp"

namespace loft::core {

// This cell's settings with a team for each other cell, so that borrowed work has its own queue and account.
Settings with_cell_teams(Settings s);

class Cells {
public:
  struct State { // of another cell, for people
    std::string name;
    double heard_s; // negative: never
    bool lends;     // its settings leave room for a grant
    std::uint64_t lent_tasks = 0, borrowed_tasks = 0;
    std::size_t loans = 0, debts = 0;
  };

  Cells(Port &port, Events &events, const Settings &settings, const Catalogue &catalogue, const Operators &operators,
        const Leadership &lead, const Cancellations &cancellations, StoreBudget &budget, JobTable &jobs,
        const FailureJudge &judge, Ledger &ledger, Recorder &recorder, Fleet &fleet, Siblings &siblings,
        const Quotas &quotas, const Scaler &scaler, const Wishes &wishes);

  bool on() const { return !settings_.cells.name.empty(); }
  void expire(); // before anything else of a batch: what is not confirmed any more stops
  void tick();
  void take(CmdCell &&cmd);
  void take_passed(const CmdPeer &cmd);       // on the leader: a frame that came to a sibling
  void take_back(const wire::PeerMessage &m); // on that sibling: the answer
  // The worker holds borrowed work of which this leader does not know yet whether it is confirmed.
  bool unsure_of(const WorkerReport &r) const;
  bool may_leave(const JobSpec &spec) const; // by the operators' settings
  // Frames about quotas are for another part, which sends its own the same way.
  using TakeQuota = std::function<void(int cell, wire::CellMessage &&m)>;
  void take_quotas(TakeQuota take) { take_quota_ = std::move(take); }
  wire::CellMessage message(wire::CellMessage::Kind kind, int cell) const;
  bool tell_quota(int cell, wire::CellMessage m); // false: that cell is not reached now, or does not know them
  int count() const { return static_cast<int>(cells_.size()); } // other cells
  const std::string &name(int cell) const { return cells_[static_cast<std::size_t>(cell)].name; }
  int by_name(const std::string &cell) const; // -1: none
  std::vector<State> states() const;

  void on(const LoanRecorded &e);
  void on(const LoanDropped &e);
  void on(const JobAccepted &e);
  void on(const JobCancelled &e);
  void on(const JobOver &e);
  void on(const TermBegun &);
  void on(const TermEnded &);

private:
  struct Route { // where an answer goes
    std::uint64_t link = 0, nonce = 0;
    bool by_sibling = false;
  };
  struct Loan {
    cells::AtHome state;
    int cell;
    double made_at, next_offer = 0, next_recall = 0, idle_since = -1;
    std::uint64_t ticket = 0; // the other's promise of room
    bool taken = false, progressed = false;
    bool dropped = false; // its end is being recorded; until then the borrower is not told that it is settled
    std::uint32_t running = 0;
    cells::Terms terms;
  };
  struct Debt {
    cells::AtBorrower state;
    int home;
    double known_at, next_told = 0, idle_since = -1;
    bool restored, wanted = false, draining = false, ended = false;
    std::uint32_t told_done = 0, told_running = 0;
    std::int64_t told_held = -1;
  };
  struct Cell {
    std::string name;
    cells::Membership nodes;
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
    int job, cell;
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

  bool send(int cell, wire::CellMessage m);
  void reply(const Route &to, wire::CellMessage m);
  void handle(const Route &from, int node, wire::CellMessage &&m);
  // As home.
  double grant_s(double lease_s) const; // 0: the settings leave no room for one
  cells::Terms terms(double lease_s) const;
  bool may_confirm(const cells::Terms &t) const;
  void survey();
  void decide();
  std::uint32_t team_allows(int j) const;
  void want(int j, int cell, const cells::Work &work, std::uint32_t tasks);
  void lend(const Wanted &w, std::uint64_t ticket, std::uint32_t tasks);
  void tend_loans();
  Loan *loan(std::uint64_t generation, int &job);
  void drop(int j, Loan &l);
  void told(const Route &from, int cell, const wire::CellMessage &m);
  wire::CellMessage offer(int j, const Loan &l) const;
  cells::Work work_of(int j) const;
  // As borrower.
  void offered(const Route &from, int cell, wire::CellMessage &&m);
  double spare_cpus(const cells::Work &work) const;
  bool may_use(const cells::Work &work, const Lot &l) const;
  void tend_debts();
  void renew(int home);
  void close(int j, Debt &d);
  Debt *debt(std::uint64_t generation, int home, int &job);
  void summarize(wire::CellMessage &m) const;

  Port &port_;
  Events &events_;
  const Settings &settings_;
  const Catalogue &catalogue_;
  const Operators &operators_;
  const Leadership &lead_;
  const Cancellations &cancellations_;
  StoreBudget &budget_;
  JobTable &jobs_;
  const FailureJudge &judge_;
  Ledger &ledger_;
  Recorder &recorder_;
  Fleet &fleet_;
  Siblings &siblings_;
  const Quotas &quotas_;
  const Scaler &scaler_;
  const Wishes &wishes_;
  std::vector<Cell> cells_;
  std::vector<std::string> node_addresses_;                // of all cells, by how they are dialled
  std::vector<std::vector<Loan>> loans_;                   // by job
  std::unordered_map<std::uint64_t, int> loan_jobs_;       // by generation
  std::vector<std::optional<Debt>> debts_;                 // by job
  std::vector<int> indebted_;                              // jobs that have one
  std::map<std::pair<int, std::uint64_t>, int> debt_jobs_; // by home and generation
  std::set<std::uint64_t> taking_;                         // offers whose record is being written
  std::vector<Lot> lots_;
  std::vector<double> waits_; // by job: expected at home
  double wait_by_urgency_[4] = {}, own_waiting_cpus_ = 0;
  std::unordered_map<std::uint64_t, Wanted> wanted_;    // by ticket
  std::unordered_map<std::uint64_t, double> not_again_; // (job serial, cell): not before
  std::vector<int> eager_;                              // by job: decisions in a row that it should leave
  cells::Promises promises_;
  PassedOn<std::uint64_t> passed_; // other cells' questions, to the leader; with their link
  std::uint64_t numbers_, loans_made_ = 0;
  double next_tick_ = 0, next_decision_ = 0;
  std::string told_wrong_;
  TakeQuota take_quota_;
};

} // namespace loft::core
