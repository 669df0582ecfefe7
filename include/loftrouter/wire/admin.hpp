// The administration API, /admin/v1: requests checked and read, answers written. Bodies are JSON, so that an
// operator can ask with curl.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "loftrouter/accounts/period.hpp"
#include "loftrouter/model/types.hpp"
#include "loftrouter/wire/cbor.hpp"
#include "loftrouter/wire/configuration.hpp"

namespace loftrouter::wire {

// Operators' own settings. Every one has a range; they are kept in the state service.
struct Tunables {
  double full_plan_bonus = 10, age_weight = 0.05, image_weight = 0.3, price_weight = 1, in_time_bonus = 30;
  double reserve_after_s = 120, idle_boots = 0.8, probe_pause_s = 5, late_notice_share = 1;
};
enum class MachineAdminState : std::uint8_t { Drain, Quarantine };
using MachineAdminStates = std::map<std::string, MachineAdminState>;
// In the document alone, without records of their own: the production version reads no more of it.
constexpr std::size_t kMaxMachineOrders = 100;
// Of the entries of one answer that lists what is configured; what is beyond stands on the next page.
constexpr std::size_t kMaxListingBytes = 48 * 1024;
// What a team may use of the machines in a period.
struct TeamBudget {
  double cpu_hours = -1;   // negative: as much as there is
  double warn_share = 0.8; // of it: from there on it is told that it will run out
  bool stop = false;       // running tasks are stopped, with saving, when it is spent; otherwise they may finish
  std::int64_t limit() const { return static_cast<std::int64_t>(cpu_hours * accounts::kSumsAnHour); }
};
struct Budgets {
  accounts::Clock clock;
  std::map<std::string, TeamBudget> teams;
};

// What may leave this cell, and what is taken from others.
struct CellRules {
  bool delegate = true, accept = true;
  double max_accepted_cpus = 1e6;
  std::vector<std::string> stay_teams, stay_classes; // whose work stays, however long the queue
};

struct AdminRequest {
  enum class Kind : std::uint8_t {
    Status,
    Jobs,
    Foreseen,
    Report,
    Settings,
    Change,
    Machine,
    Budgets,
    ChangeBudgets,
    Statement,
    CellFederation,
    ChangeCells,
    Quotas,
    ChangeQuota,
    Configuration,
    QuotaHistory
  } kind = Kind::Status;
  std::string team, from;  // jobs, report: only this team's; after this job. Settings, configuration: after this entry
  double period_s = 86400; // report
  Json change;             // settings or budgets, checked
  std::string period;      // statement: by name; empty: the present one
  std::string machine;     // machine order
  std::optional<MachineAdminState> order;                            // nothing: release
  std::optional<QuotaChange> quota;                                  // ChangeQuota
  double round_p50 = 0, round_p99 = 0, queue_p50 = 0, queue_p99 = 0; // ms, measured by the program around the core
  double cpu_s = 0; // the same: processor time that this process has used
};
struct AdminError {
  int status;
  std::string text;
};
std::variant<AdminRequest, AdminError> read_admin(std::string_view method, std::string_view target,
                                                  std::string_view body);

Json to_json(const Tunables &tunables);
// What of `j` is known and within its range goes into `t`; otherwise what is wrong, naming the field.
std::optional<std::string> apply_tunables(const Json &json, Tunables &tunables);
Json to_json(const Budgets &budgets);
// What of `j` is known and in its range goes into `b`: the clock, and teams one by one (null: none); otherwise what is
// wrong, naming the field.
std::optional<std::string> apply_budgets(const Json &json, Budgets &budgets);
Json to_json(const CellRules &rules);
std::optional<std::string> apply_cell_rules(const Json &json, CellRules &rules);
std::string encode_cell_rules(const CellRules &rules);
Json to_json(MachineAdminState order);
Json to_json(const MachineAdminStates &orders);
MachineAdminStates machine_admin_states_from_json(const Json &json);
std::optional<MachineAdminState> machine_admin_state_from_json(const Json &json);

struct AdminStatus {
  std::string node, role, leader;
  std::uint64_t term = 0;
  std::string leader_since;                                  // empty: not known
  double state_age_s = 0, cloud_age_s = 0, report_age_s = 0; // since the last answer or report; negative: none yet
  struct Replica {
    std::string node;
    double heard_s; // negative: never
    bool cut_off, passes_reports;
    std::size_t keeps = 0;           // workers whose reports it passes on here
    ConnectivityRecord connectivity; // what it says that it reaches
    std::string told_by;             // link, state service or nothing
    std::string version; // earlier, this or later, unknown; by whether it knows of jobs that wait for others
  };
  struct Connectivity { // of this node
    ConnectivityRecord word;
    std::vector<std::pair<std::string, double>> machines; // about so many report here, by zone
  } connectivity;
  std::vector<Replica> replicas;
  struct Kind {
    std::string type, zone;
    bool spot = false;
    int up = 0, starting = 0, silent = 0;
    double cpus = 0, used = 0;
    bool refused = false; // by the cloud, lately
  };
  // Reports that come straight from workers, and those passed on to this node (leader) or by it (others).
  struct Load {
    double reports = 0, max_reports = 0, passed = 0; // a second
    std::size_t workers = 0, max_workers = 0;        // that report straight to this node
    bool spreads = false;                            // siblings keep workers
    double cpu_s = 0, up_s = 0, cpu_share = 1;       // used since it started; of a core, allowed
  } load;
  std::vector<Kind> fleet;
  struct Cell { // another one
    std::string name;
    double heard_s; // negative: never
    bool delegates; // cancellations leave time for it
    std::uint64_t delegated_out_tasks, delegated_in_tasks;
  };
  std::string cell; // this one's name; empty: it is alone
  std::vector<Cell> cells;
  struct Queue {
    std::string team;
    int jobs = 0;
    std::uint64_t waiting = 0, running = 0;
    double oldest_s = 0;
    int waiting_for_others = 0; // jobs
  };
  struct ServiceLevel { // of a class, the largest jobs of one, or a team; since the leader leads
    std::string of, name;
    std::uint64_t accepted = 0, begun = 0, done = 0, cancelled = 0, waiting = 0; // the last: could start, and have not
    double longest_wait_s = 0;
  };
  std::vector<ServiceLevel> served;
  std::vector<Queue> queues;
  double round_p50 = 0, round_p99 = 0, queue_p50 = 0, queue_p99 = 0;
  std::vector<std::string> troubles; // in plain words
};
std::string encode_status(const AdminStatus &status);

struct AdminJob {
  std::string id, job_class, team, outcome, reason;
  std::uint32_t tasks = 0, done = 0, running = 0;
  double submit_wall = 0, end_wall = 0;
  bool late = false;
};
// `next`: where to go on, if there is more.
std::string encode_jobs(const std::vector<AdminJob> &jobs, std::string_view next);
struct AdminStatement {
  std::string period;
  double begins = 0, ends = 0; // wall
  struct Team {
    std::string name;
    accounts::Sums sums;
    std::optional<TeamBudget> budget;
  };
  std::vector<Team> teams;
  struct Job {
    AdminJob what;
    std::optional<accounts::Usage> usage;
    Resources need;
  };
  std::vector<Job> jobs;
  std::string next; // where to go on; empty: this is all
};
std::string encode_statement(const AdminStatement &statement);
std::string encode_budgets(const Budgets &budgets);
// Bytes that an order takes in `encode_settings`, at the most.
std::size_t listed_bytes(const std::string &machine);
// `next`: where to go on, if there are more orders.
std::string encode_settings(const Tunables &tunables, const MachineAdminStates &orders, std::string_view next);
std::string encode_admin_error(std::string_view text);

std::string clock_time(double wall); // "02:14:05Z"

} // namespace loftrouter::wire
