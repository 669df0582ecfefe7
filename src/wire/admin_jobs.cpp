#include "loftrouter/wire/admin_jobs.hpp"

#include <ctime>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include "admin_json.hpp"
#include "loftrouter/wire/admin_status.hpp"

namespace loftrouter::wire {

namespace {

constexpr double kMillionthsPerUnit = 1e6; // accounts::Cost is in millionths of the cloud's currency

Json to_json(const AdminJob &job) {
  Json json = {
      {"id", job.id},       {"class", job.job_class}, {"team", job.team}, {"outcome", job.outcome},
      {"tasks", job.tasks}, {"done", job.done},       {"late", job.late}, {"submitted", clock_time(job.submit_wall)}};
  if (job.end_wall > 0)
    json["ended"] = clock_time(job.end_wall);
  else
    json["running"] = job.running;
  if (!job.reason.empty()) json["reason"] = job.reason;
  return json;
}

double hours(std::int64_t sum) {
  return static_cast<double>(sum) / accounts::kSumsPerHour;
}

// Encodes CPU hours by use; `held` is their sum.
Json cpu_hours_json(const accounts::Sums &sums) {
  return {{"held", hours(sums.held())},
          {"useful", hours(sums[accounts::Useful])},
          {"fetch", hours(sums[accounts::Fetch])},
          {"gang_wait", hours(sums[accounts::Wait])},
          {"lost", hours(sums[accounts::Lost])},
          {"unsorted", hours(sums[accounts::Unresolved])},
          {"uncertain", hours(sums[accounts::Uncertain])}};
}

void add_usage(Json &json, const accounts::Sums &sums) {
  json["cpu_hours"] = cpu_hours_json(sums);
  json["gb_hours"] = hours(sums[accounts::Memory]);
  json["gpu_hours"] = hours(sums[accounts::Gpu]);
  json["attempts"] = sums[accounts::Attempts];
  json["retries"] = sums[accounts::Retries];
  json["cost"] = static_cast<double>(sums[accounts::Cost]) / kMillionthsPerUnit;
}

Json to_json(const AdminStatement::Team &team) {
  Json json = {{"team", team.name}};
  add_usage(json, team.sums);
  if (team.budget && team.budget->cpu_hours >= 0) {
    json["budget_cpu_hours"] = team.budget->cpu_hours;
    json["spent"] = team.sums.held() >= team.budget->limit();
  }
  return json;
}

Json to_json(const AdminStatement::Job &entry) {
  Json json = to_json(entry.job);
  if (entry.usage) {
    add_usage(json, accounts::sums_of(*entry.usage, entry.need));
    json["retried"] = (*entry.usage)[accounts::Retries] > 0;
  }
  return json;
}

template <class Element> Json list_json(const std::vector<Element> &elements) {
  Json list = Json::array();
  for (const auto &element : elements)
    list.push_back(to_json(element));
  return list;
}

std::string utc_date_time(double wall) {
  return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(static_cast<std::time_t>(wall)));
}

} // namespace

std::string encode_statement(const AdminStatement &statement) {
  return dump_admin_json({{"period",
                           {{"name", statement.period},
                            {"begins", utc_date_time(statement.begins)},
                            {"ends", utc_date_time(statement.ends)}}},
                          {"teams", list_json(statement.teams)},
                          {"jobs", list_json(statement.jobs)},
                          {"next", text_or_null(statement.next)}});
}

std::string encode_jobs(const std::vector<AdminJob> &jobs, std::string_view next) {
  return dump_admin_json({{"jobs", list_json(jobs)}, {"next", text_or_null(next)}});
}

} // namespace loftrouter::wire
