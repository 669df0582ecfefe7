#include "loftrouter/core/api/event_log.hpp"

namespace loftrouter::core {

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

void EventLog::on(const LeaderElected &e) {
  runtime_.log(LogLevel::Info, "leader_elected", {{"term", e.term}});
}

void EventLog::on(const TermStarted &e) {
  std::uint64_t unaccounted = 0;
  jobs_.each([&](int, const Job &n) { unaccounted += n.unaccounted; });
  runtime_.log(LogLevel::Info, "leadership_acquired",
               {{"term", e.term}, {"jobs_open", jobs_.open()}, {"tasks_unaccounted", unaccounted}});
}

void EventLog::on(const TermEnded &e) {
  runtime_.log(LogLevel::Info, "term_ended", {{"term", e.term}, {"why", e.why}});
}

void EventLog::on(const JobSuspected &e) {
  runtime_.log(LogLevel::Info, "job_suspected",
               {{"job", jobs_[e.job].spec.id}, {"machines", e.machines}, {"then", "tried seldom from now on"}});
}

void EventLog::on(const TaskRunning &e) {
  if (!runtime_.shows(LogLevel::Debug)) return;
  runtime_.log(LogLevel::Debug, "task_runs",
               {{"job", jobs_[e.job].spec.id},
                {"task", e.index},
                {"machine", workers_[e.machine].name},
                {"after_s", e.after_s}});
}

void EventLog::on(const TaskExited &e) {
  if (!runtime_.shows(LogLevel::Debug)) return;
  runtime_.log(LogLevel::Debug, "task_exited",
               {{"job", jobs_[e.job].spec.id},
                {"task", e.index},
                {"machine", e.machine_name},
                {"cause", name_of(e.cause)},
                {"after_s", runtime_.now() - e.placed_at}});
}

void EventLog::on(const TasksAbandoned &e) {
  runtime_.log(LogLevel::Info, "tasks_abandoned",
               {{"job", jobs_[e.job].spec.id}, {"tasks", e.tasks}, {"then", "they count as lost"}});
}

void EventLog::on(const MachineLost &e) {
  if (e.tasks) runtime_.log(LogLevel::Info, "machine_lost", {{"machine", e.name}, {"why", e.why}, {"tasks", e.tasks}});
}

void EventLog::on(const MachineQuarantined &e) {
  runtime_.log(LogLevel::Info, "machine_quarantined",
               {{"machine", workers_[e.machine].name}, {"of_jobs", e.jobs}, {"then", "given back"}});
}

void EventLog::on(const MachineRemoved &e) {
  runtime_.log(LogLevel::Info, "machine_removed",
               {{"machine", e.name},
                {"type", e.type},
                {"zone", e.zone},
                {"spot", e.spot},
                {"lived_s", e.lived_s},
                {"up_s", e.up_s},
                {"cpu_used_percent", 100 * e.used_share}});
}

} // namespace loftrouter::core
