#include "loftrouter/core/api/service_level_counters.hpp"

#include <algorithm>

#include "loftrouter/core/runtime/growing_table.hpp"

namespace loftrouter::core {

namespace {
constexpr double kLogIntervalS = 60.0;
} // namespace

template <class Fn> void ServiceLevelCounters::for_each_count(const OpenJob &open_job, Fn &&update) {
  if (open_job.job_class < 0) return;
  Group &group = get_or_create(classes_, open_job.job_class);
  update(group.all);
  if (open_job.largest) update(group.largest);
  update(get_or_create(teams_, open_job.team).all);
}

void ServiceLevelCounters::on(const JobAccepted &event) {
  const Job *job = jobs_.find(event.job);
  if (!job || job->delegated_here) return;
  OpenJob &open_job = get_or_create(open_jobs_, event.job);
  open_job = {find_or_add_bounded(class_names_, job->spec.job_class), find_or_add_bounded(team_names_, job->spec.team),
              false, job->placed + job->done + job->unaccounted > 0};
  Group &group = get_or_create(classes_, open_job.job_class);
  const double cpus = job->spec.tasks * job->spec.need.cpus;
  open_job.largest = cpus >= kLargestJobShare * group.max_job_cpus;
  group.max_job_cpus = std::max(group.max_job_cpus, cpus);
  for_each_count(open_job, [&](JobCounts &counts) {
    ++counts.accepted;
    counts.started += open_job.started;
  });
}

void ServiceLevelCounters::on(const TaskRunning &event) {
  OpenJob &open_job = get_or_create(open_jobs_, event.job);
  if (open_job.job_class < 0 || std::exchange(open_job.started, true)) return;
  for_each_count(open_job, [](JobCounts &counts) { ++counts.started; });
}

void ServiceLevelCounters::on(const JobFinalized &event) {
  const OpenJob open_job = std::exchange(get_or_create(open_jobs_, event.job), {});
  const auto *end = ended_.find(event.id);
  for_each_count(open_job, [&](JobCounts &counts) {
    const bool cancelled = end && end->cancelled;
    ++(cancelled ? counts.cancelled : counts.done);
    counts.started += !open_job.started && !cancelled; // too short to be seen running
  });
}

void ServiceLevelCounters::on(const TermStarted &) {
  next_log_at_ = runtime_.now() + kLogIntervalS;
}

void ServiceLevelCounters::on(const TermEnded &) {
  classes_.clear();
  teams_.clear();
  open_jobs_.clear();
}

std::vector<wire::AdminStatus::ServiceLevel> ServiceLevelCounters::rows() const {
  std::vector<wire::AdminStatus::ServiceLevel> out;
  std::vector<std::size_t> class_rows(classes_.size(), 0), largest_rows(classes_.size(), 0),
      team_rows(teams_.size(), 0);
  auto append_row = [&](const char *group_kind, const std::string &name, const JobCounts &counts) {
    out.push_back({group_kind, name, counts.accepted, counts.started, counts.done, counts.cancelled, 0, 0});
    return out.size() - 1;
  };
  for (std::size_t i = 0; i < classes_.size(); ++i) {
    class_rows[i] = append_row("class", class_names_.name(static_cast<int>(i)), classes_[i].all);
    largest_rows[i] = append_row("largest of class", class_names_.name(static_cast<int>(i)), classes_[i].largest);
  }
  for (std::size_t i = 0; i < teams_.size(); ++i)
    team_rows[i] = append_row("team", team_names_.name(static_cast<int>(i)), teams_[i].all);
  jobs_.each([&](JobIndex job_index, const Job &job) {
    if (job_index.position() >= open_jobs_.size()) return;
    const OpenJob &open_job = open_jobs_[job_index.position()];
    if (open_job.job_class < 0 || open_job.started || job.cancelled || !dependencies_.ready(job_index)) return;
    const double wait_s = std::max(0.0, runtime_.wall() - dependencies_.ready_wall(job_index));
    auto add_wait = [&](std::size_t row_index) {
      ++out[row_index].waiting;
      out[row_index].longest_wait_s = std::max(out[row_index].longest_wait_s, wait_s);
    };
    add_wait(class_rows[static_cast<std::size_t>(open_job.job_class)]);
    if (open_job.largest) add_wait(largest_rows[static_cast<std::size_t>(open_job.job_class)]);
    add_wait(team_rows[static_cast<std::size_t>(open_job.team)]);
  });
  return out;
}

void ServiceLevelCounters::tick() {
  if (runtime_.now() < next_log_at_) return;
  next_log_at_ = runtime_.now() + kLogIntervalS;
  for (const auto &row : rows())
    if (row.waiting)
      runtime_.log(LogLevel::Info, "service_levels_reported",
                   {{"of", row.of},
                    {"name", row.name},
                    {"accepted", row.accepted},
                    {"begun", row.begun},
                    {"done", row.done},
                    {"waiting", row.waiting},
                    {"longest_wait_s", row.longest_wait_s}});
}

} // namespace loftrouter::core
