// Encodes the responses of /admin/v1/jobs, /foreseen, /report and /statement: jobs, and the usage of teams.
//
// All functions are pure. Responses are paginated: `next` is the job after which the next page starts; empty: last
// page.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "loftrouter/accounts/usage.hpp"
#include "loftrouter/model/types.hpp"
#include "loftrouter/wire/admin_budgets.hpp"

namespace loftrouter::wire {

// AdminJob is a job in a response.
struct AdminJob {
  std::string id;
  std::string job_class;
  std::string team;
  std::string outcome;
  std::string reason; // empty: unknown
  std::uint32_t tasks = 0;
  std::uint32_t done = 0;    // tasks
  std::uint32_t running = 0; // tasks; shown only until the job has ended
  double submit_wall = 0;    // seconds since 1970
  double end_wall = 0;       // seconds since 1970; 0: not ended
  bool late = false;
};

[[nodiscard]] std::string encode_jobs(const std::vector<AdminJob> &jobs, std::string_view next);

// AdminStatement is the usage of teams and their jobs in an accounting period.
struct AdminStatement {
  std::string period; // name
  double begins = 0;  // seconds since 1970
  double ends = 0;    // seconds since 1970
  struct Team {
    std::string name;
    accounts::Sums sums;
    std::optional<TeamBudget> budget;
  };
  std::vector<Team> teams;
  struct Job {
    AdminJob job;
    std::optional<accounts::Usage> usage; // nullopt: not recorded
    Resources need;                       // per task
  };
  std::vector<Job> jobs;
  std::string next;
};
[[nodiscard]] std::string encode_statement(const AdminStatement &statement);

} // namespace loftrouter::wire
