// Tables of what the administration API answers, for people and spreadsheets. Pure: no I/O.
//
// A field that is missing or null becomes an empty cell, so that answers of earlier versions can be shown.
#pragma once

#include <nlohmann/json.hpp>

#include "loftrouter/client/table_format.hpp"

namespace loftrouter::client {

Table jobs_table(const nlohmann::json &jobs);                   // of /admin/v1/jobs, /foreseen or /report
Table usage_by_team_table(const nlohmann::json &statement);     // of /admin/v1/statement
Table usage_by_job_table(const nlohmann::json &statement);      // of the statement's jobs
Table budgets_table(const nlohmann::json &budgets);             // of /admin/v1/budgets
Table quotas_table(const nlohmann::json &quotas);               // of /admin/v1/quotas
Table configuration_table(const nlohmann::json &configuration); // of /admin/v1/configuration
Table history_table(const nlohmann::json &history);             // of /admin/v1/configuration/history/quota/<team>

} // namespace loftrouter::client
