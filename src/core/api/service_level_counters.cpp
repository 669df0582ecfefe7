#include "loftrouter/core/api/service_level_counters.hpp"

#include <algorithm>

#include "loftrouter/core/runtime/growing_table.hpp"

namespace loftrouter::core {

namespace {
constexpr double kLineEvery = 60.0; // s
} // namespace

template <class Fn> void ServiceLevelCounters::each_count(const Entry &entry, Fn &&fn) {
  if (entry.job_class < 0) return;
  Group &group = get_or_create(classes_, entry.job_class);
  fn(group.all);
  if (entry.largest) fn(group.largest);
  fn(get_or_create(teams_, entry.team).all);
}

void ServiceLevelCounters::on(const JobAccepted &event) {
  const Job *job = jobs_.find(event.job);
  if (!job || job->delegated_here) return;
  Entry &entry = get_or_create(entries_, event.job);
  entry = {place(class_names_, job->spec.job_class), place(team_names_, job->spec.team), false,
           job->placed + job->done + job->unaccounted > 0};
  Group &group = get_or_create(classes_, entry.job_class);
  const double cpus = job->spec.tasks * job->spec.need.cpus;
  entry.largest = cpus >= kLargest * group.max_cpus;
  group.max_cpus = std::max(group.max_cpus, cpus);
  each_count(entry, [&](Count &count) {
    ++count.accepted;
    count.begun += entry.begun;
  });
}

void ServiceLevelCounters::on(const TaskRunning &event) {
  Entry &entry = get_or_create(entries_, event.job);
  if (entry.job_class < 0 || std::exchange(entry.begun, true)) return;
  each_count(entry, [](Count &count) { ++count.begun; });
}

void ServiceLevelCounters::on(const JobFinalized &event) {
  const Entry entry = std::exchange(get_or_create(entries_, event.job), {});
  const auto *end = ended_.find(event.id);
  each_count(entry, [&](Count &count) {
    const bool cancelled = end && end->cancelled;
    ++(cancelled ? count.cancelled : count.done);
    count.begun += !entry.begun && !cancelled; // too short to have been seen running
  });
}

void ServiceLevelCounters::on(const TermStarted &) {
  next_line_ = runtime_.now() + kLineEvery;
}

void ServiceLevelCounters::on(const TermEnded &) {
  classes_.clear();
  teams_.clear();
  entries_.clear();
}

std::vector<wire::AdminStatus::ServiceLevel> ServiceLevelCounters::rows() const {
  std::vector<wire::AdminStatus::ServiceLevel> out;
  std::vector<std::size_t> of_class(classes_.size(), 0), of_largest(classes_.size(), 0), of_team(teams_.size(), 0);
  auto row = [&](const char *of, const std::string &name, const Count &count) {
    out.push_back({of, name, count.accepted, count.begun, count.done, count.cancelled, 0, 0});
    return out.size() - 1;
  };
  for (std::size_t i = 0; i < classes_.size(); ++i) {
    of_class[i] = row("class", class_names_.name(static_cast<int>(i)), classes_[i].all);
    of_largest[i] = row("largest of class", class_names_.name(static_cast<int>(i)), classes_[i].largest);
  }
  for (std::size_t i = 0; i < teams_.size(); ++i)
    of_team[i] = row("team", team_names_.name(static_cast<int>(i)), teams_[i].all);
  jobs_.each([&](JobIndex job_index, const Job &job) {
    if (job_index.position() >= entries_.size()) return;
    const Entry &entry = entries_[job_index.position()];
    if (entry.job_class < 0 || entry.begun || job.cancelled || !dependencies_.ready(job_index)) return;
    const double waited = std::max(0.0, runtime_.wall() - dependencies_.ready_wall(job_index));
    auto add = [&](std::size_t k) {
      ++out[k].waiting;
      out[k].longest_wait_s = std::max(out[k].longest_wait_s, waited);
    };
    add(of_class[static_cast<std::size_t>(entry.job_class)]);
    if (entry.largest) add(of_largest[static_cast<std::size_t>(entry.job_class)]);
    add(of_team[static_cast<std::size_t>(entry.team)]);
  });
  return out;
}

void ServiceLevelCounters::tick() {
  if (runtime_.now() < next_line_) return;
  next_line_ = runtime_.now() + kLineEvery;
  for (const auto &r : rows())
    if (r.waiting)
      runtime_.log(LogLevel::Info, "service_levels_reported",
                   {{"of", r.of},
                    {"name", r.name},
                    {"accepted", r.accepted},
                    {"begun", r.begun},
                    {"done", r.done},
                    {"waiting", r.waiting},
                    {"longest_wait_s", r.longest_wait_s}});
}

} // namespace loftrouter::core
