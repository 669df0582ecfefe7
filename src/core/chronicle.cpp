#include "loftrouter/core/chronicle.hpp"

namespace loft::core {

namespace {
std::string_view name_of(ExitCause cause) {
  switch (cause) {
  case ExitCause::Done:
    return "done";
  case ExitCause::Stopped:
    return "stopped";
  case ExitCause::Peers:
    return "peers";
  case ExitCause::Alone:
    return "alone";
  case ExitCause::Error:
    return "error";
  case ExitCause::NoRoom:
    return "no_room";
  case ExitCause::Busy:
    return "busy";
  case ExitCause::None:
  case ExitCause::Unknown:
    break;
  }
  return "unknown";
}
} // namespace

void Chronicle::on(const TermElected &e) {
  port_.log(LogLevel::Info, "elected", {{"term", e.term}});
}

void Chronicle::on(const TermBegun &e) {
  std::uint64_t unaccounted = 0;
  jobs_.each([&](int, const Job &n) { unaccounted += n.unaccounted; });
  port_.log(LogLevel::Info, "leading",
            {{"term", e.term}, {"jobs_open", jobs_.open()}, {"tasks_unaccounted", unaccounted}});
}

void Chronicle::on(const TermEnded &e) {
  port_.log(LogLevel::Info, "term_ended", {{"term", e.term}, {"why", e.why}});
}

void Chronicle::on(const JobSuspected &e) {
  port_.log(LogLevel::Info, "job_fails_everywhere",
            {{"job", jobs_[e.job].spec.id}, {"machines", e.machines}, {"then", "tried seldom from now on"}});
}

void Chronicle::on(const TaskRuns &e) {
  if (!port_.shows(LogLevel::Debug)) return;
  port_.log(
      LogLevel::Debug, "task_runs",
      {{"job", jobs_[e.job].spec.id}, {"task", e.index}, {"machine", fleet_[e.machine].name}, {"after_s", e.after_s}});
}

void Chronicle::on(const TaskExited &e) {
  if (!port_.shows(LogLevel::Debug)) return;
  port_.log(LogLevel::Debug, "task_exited",
            {{"job", jobs_[e.job].spec.id},
             {"task", e.index},
             {"machine", e.machine_name},
             {"cause", name_of(e.cause)},
             {"after_s", port_.now() - e.placed_at}});
}

void Chronicle::on(const TasksGivenUp &e) {
  port_.log(LogLevel::Info, "tasks_not_seen_in_time",
            {{"job", jobs_[e.job].spec.id}, {"tasks", e.tasks}, {"then", "they count as lost"}});
}

void Chronicle::on(const MachineLost &e) {
  if (e.tasks) port_.log(LogLevel::Info, "machine_lost", {{"machine", e.name}, {"why", e.why}, {"tasks", e.tasks}});
}

void Chronicle::on(const MachineCondemned &e) {
  port_.log(LogLevel::Info, "machine_fails_tasks",
            {{"machine", fleet_[e.machine].name}, {"of_jobs", e.jobs}, {"then", "given back"}});
}

void Chronicle::on(const MachineReturned &e) {
  port_.log(LogLevel::Info, "machine_returned",
            {{"machine", e.name},
             {"type", e.type},
             {"zone", e.zone},
             {"spot", e.spot},
             {"lived_s", e.lived_s},
             {"up_s", e.up_s},
             {"cpu_used_percent", 100 * e.used_share}});
}

} // namespace loft::core
