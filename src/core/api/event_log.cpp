#include "loftrouter/core/api/event_log.hpp"

namespace loftrouter::core {

namespace {
std::string_view log_name(ExitCause cause) {
  switch (cause) {
  case ExitCause::Done:
    return "done";
  case ExitCause::Stopped:
    return "stopped";
  case ExitCause::GangPeerLost:
    return "peers";
  case ExitCause::GangIncomplete:
    return "alone";
  case ExitCause::Error:
    return "error";
  case ExitCause::InsufficientResources:
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

void EventLog::on(const LeaderElected &event) {
  runtime_.log(LogLevel::Info, "leader_elected", {{"term", event.term}});
}

void EventLog::on(const TermStarted &event) {
  std::uint64_t unaccounted = 0;
  jobs_.each([&](JobIndex, const Job &job) { unaccounted += job.unaccounted; });
  runtime_.log(LogLevel::Info, "leadership_acquired",
               {{"term", event.term}, {"jobs_open", jobs_.open_count()}, {"tasks_unaccounted", unaccounted}});
}

void EventLog::on(const TermEnded &event) {
  runtime_.log(LogLevel::Info, "term_ended", {{"term", event.term}, {"why", event.why}});
}

void EventLog::on(const JobSuspected &event) {
  runtime_.log(LogLevel::Info, "job_suspected",
               {{"job", jobs_[event.job].spec.id}, {"machines", event.machines}, {"then", "retried at a low rate"}});
}

void EventLog::on(const TaskRunning &event) {
  if (!runtime_.log_enabled(LogLevel::Debug)) return;
  runtime_.log(LogLevel::Debug, "task_runs",
               {{"job", jobs_[event.job].spec.id},
                {"task", event.index},
                {"machine", workers_[event.machine].name},
                {"after_s", event.startup_time_s}});
}

void EventLog::on(const TaskExited &event) {
  if (!runtime_.log_enabled(LogLevel::Debug)) return;
  runtime_.log(LogLevel::Debug, "task_exited",
               {{"job", jobs_[event.job].spec.id},
                {"task", event.index},
                {"machine", event.machine_name},
                {"cause", log_name(event.cause)},
                {"after_s", runtime_.now() - event.placed_at}});
}

void EventLog::on(const TasksAbandoned &event) {
  runtime_.log(LogLevel::Info, "tasks_abandoned",
               {{"job", jobs_[event.job].spec.id}, {"tasks", event.tasks}, {"then", "counted as lost"}});
}

void EventLog::on(const MachineLost &event) {
  if (event.tasks)
    runtime_.log(LogLevel::Info, "machine_lost", {{"machine", event.name}, {"why", event.why}, {"tasks", event.tasks}});
}

void EventLog::on(const MachineQuarantined &event) {
  runtime_.log(
      LogLevel::Info, "machine_quarantined",
      {{"machine", workers_[event.machine].name}, {"of_jobs", event.jobs}, {"then", "returned to the provider"}});
}

void EventLog::on(const MachineRemoved &event) {
  runtime_.log(LogLevel::Info, "machine_removed",
               {{"machine", event.name},
                {"type", event.type},
                {"zone", event.zone},
                {"spot", event.spot},
                {"lived_s", event.lived_s},
                {"up_s", event.up_s},
                {"cpu_used_percent", 100 * event.used_share}});
}

} // namespace loftrouter::core
