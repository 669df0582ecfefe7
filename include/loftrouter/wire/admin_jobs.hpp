// Answers of the administration API about jobs and about what teams have used: /admin/v1/jobs, /foreseen, /report and
// /statement.
//
// All functions are pure. Answers are pages: `next` names the job after which to go on.
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

struct AdminJob {
  std::string id;
  std::string job_class;
  std::string team;
  std::string outcome;
  std::string reason; // empty: none is known
  std::uint32_t tasks = 0;
  std::uint32_t done = 0;    // tasks
  std::uint32_t running = 0; // tasks; shown of a job that has not ended
  double submit_wall = 0;    // seconds since 1970
  double end_wall = 0;       // seconds since 1970; 0: it has not ended
  bool late = false;
};

// `next` is empty if there is no more.
[[nodiscard]] std::string encode_jobs(const std::vector<AdminJob> &jobs, std::string_view next);

// What teams and their jobs have used in an accounting period.
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
    std::optional<accounts::Usage> usage; // nothing: it was not recorded
    Resources need;                       // of each task
  };
  std::vector<Job> jobs;
  std::string next; // empty: there is no more
};
[[nodiscard]] std::string encode_statement(const AdminStatement &statement);

} // namespace loftrouter::wire
