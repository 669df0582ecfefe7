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

#include "loftrouter/core/types.hpp"
#include "loftrouter/wire/cbor.hpp"

namespace loft::wire {

// Operators' own settings. Every one has a range; they are kept in the state service.
struct Tunables {
  double whole_bonus = 10, age_weight = 0.05, image_weight = 0.3, price_weight = 1, in_time_bonus = 30;
  double reserve_after_s = 120, idle_boots = 0.8, probe_pause_s = 5, late_notice_share = 1;
};
enum class MachineOrder : std::uint8_t { Drain, Quarantine };
using MachineOrders = std::map<std::string, MachineOrder>;
constexpr std::size_t kMostMachineOrders = 100;

struct AdminRequest {
  enum class Kind : std::uint8_t { Status, Jobs, Foreseen, Report, Settings, Change, Machine } kind = Kind::Status;
  std::string team, from;                                            // jobs, report: only this team's; after this job
  double period_s = 86400;                                           // report
  Json change;                                                       // settings, checked
  std::string machine;                                               // machine order
  std::optional<MachineOrder> order;                                 // nothing: release
  double round_p50 = 0, round_p99 = 0, queue_p50 = 0, queue_p99 = 0; // ms, measured by the program around the core
  double cpu_s = 0; // the same: processor time that this process has used
};
struct AdminError {
  int status;
  std::string text;
};
std::variant<AdminRequest, AdminError> read_admin(std::string_view method, std::string_view target,
                                                  std::string_view body);

Json to_json(const Tunables &t);
// What of `j` is known and within its range goes into `t`; otherwise what is wrong, naming the field.
std::optional<std::string> apply_tunables(const Json &j, Tunables &t);
Json to_json(const MachineOrders &orders);
MachineOrders machine_orders_from_json(const Json &j);

struct AdminStatus {
  std::string node, role, leader;
  std::uint64_t term = 0;
  std::string leader_since;                                  // empty: not known
  double state_age_s = 0, cloud_age_s = 0, report_age_s = 0; // since the last answer or report; negative: none yet
  struct Sibling {
    std::string node;
    double heard_s; // negative: never
    bool cut_off, hears_workers, passes_reports;
    std::size_t keeps = 0; // workers whose reports it passes on here
  };
  std::vector<Sibling> siblings;
  struct Kind {
    std::string type, zone;
    bool spot = false;
    int up = 0, starting = 0, silent = 0;
    double cpus = 0, used = 0;
    bool refused = false; // by the cloud, lately
  };
  // Reports that come straight from workers, and those passed on to this node (leader) or by it (others).
  struct Load {
    double reports = 0, reports_most = 0, passed = 0; // a second
    std::size_t workers = 0, workers_most = 0;        // that report straight to this node
    bool spreads = false;                             // siblings keep workers
    double cpu_s = 0, up_s = 0, cpu_share = 1;        // used since it started; of a core, allowed
  } load;
  std::vector<Kind> fleet;
  struct Queue {
    std::string team;
    int jobs = 0;
    std::uint64_t waiting = 0, running = 0;
    double oldest_s = 0;
  };
  std::vector<Queue> queues;
  double round_p50 = 0, round_p99 = 0, queue_p50 = 0, queue_p99 = 0;
  std::vector<std::string> troubles; // in plain words
};
std::string encode_status(const AdminStatus &s);

struct AdminJob {
  std::string id, job_class, team, outcome, reason;
  std::uint32_t tasks = 0, done = 0, running = 0;
  double submit_wall = 0, end_wall = 0;
  bool late = false;
};
// `next`: where to go on, if there is more.
std::string encode_jobs(const std::vector<AdminJob> &jobs, std::string_view next);
std::string encode_settings(const Tunables &t, const MachineOrders &orders);
std::string encode_admin_error(std::string_view text);

std::string clock_time(double wall); // "02:14:05Z"

} // namespace loft::wire
