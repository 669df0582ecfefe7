// What the service answers, made readable: tables for people, CSV for spreadsheets, one HTML file for the staff. Pure
// but for the plot, which a program of its own draws.
#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace loftrouter::client {

struct Table {
  std::vector<std::string> head;
  std::vector<std::vector<std::string>> rows;
};
Table jobs_table(const nlohmann::json &jobs);               // of /admin/v1/jobs, /foreseen or /report
Table usage_by_team_table(const nlohmann::json &statement); // of /admin/v1/statement
Table usage_by_job_table(const nlohmann::json &statement);  // its jobs
Table budgets_table(const nlohmann::json &budgets);
Table quotas_table(const nlohmann::json &quotas);               // of /admin/v1/quotas
Table configuration_table(const nlohmann::json &configuration); // of /admin/v1/configuration
Table history_table(const nlohmann::json &history);             // of /admin/v1/configuration/history/quota/<team>

std::string to_text(const Table &table); // columns in line; control characters shown as such
std::string to_csv(const Table &table);  // quoted where needed; what a spreadsheet would take for a formula is not one

// `statement` with all pages of its jobs, `open`: those that are not over. `plot`: SVG, or empty.
std::string report_html(const nlohmann::json &statement, const nlohmann::json &open, const std::string &plot);
// Jobs ended by hour of the period, done and not, as SVG; empty where the program that draws it is missing.
std::string plot_by_hour(const nlohmann::json &statement);

} // namespace loftrouter::client
