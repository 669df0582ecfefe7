#include "loftrouter/core/api/service_level_counters.hpp"

#include <algorithm>

namespace loftrouter::core {

namespace {
constexpr double kLineEvery = 60.0; // s
} // namespace

template <class Fn> void ServiceLevelCounters::each_count(const Entry &e, Fn &&fn) {
  if (e.job_class < 0) return;
  Group &c = grown(classes_, e.job_class);
  fn(c.all);
  if (e.largest) fn(c.largest);
  fn(grown(teams_, e.team).all);
}

void ServiceLevelCounters::on(const JobAccepted &e) {
  const Job *n = jobs_.find(e.job);
  if (!n || n->delegated_here) return;
  Entry &x = grown(entries_, e.job);
  x = {place(class_names_, n->spec.job_class), place(team_names_, n->spec.team), false,
       n->placed + n->done + n->unaccounted > 0};
  Group &c = grown(classes_, x.job_class);
  const double cpus = n->spec.tasks * n->spec.need.cpus;
  x.largest = cpus >= kLargest * c.max_cpus;
  c.max_cpus = std::max(c.max_cpus, cpus);
  each_count(x, [&](Count &count) {
    ++count.accepted;
    count.begun += x.begun;
  });
}

void ServiceLevelCounters::on(const TaskRunning &e) {
  Entry &x = grown(entries_, e.job);
  if (x.job_class < 0 || std::exchange(x.begun, true)) return;
  each_count(x, [](Count &count) { ++count.begun; });
}

void ServiceLevelCounters::on(const JobFinalized &e) {
  const Entry x = std::exchange(grown(entries_, e.job), {});
  const auto *end = ended_.find(e.id);
  each_count(x, [&](Count &count) {
    const bool cancelled = end && end->cancelled;
    ++(cancelled ? count.cancelled : count.done);
    count.begun += !x.begun && !cancelled; // too short to have been seen running
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
  auto row = [&](const char *of, const std::string &name, const Count &c) {
    out.push_back({of, name, c.accepted, c.begun, c.done, c.cancelled, 0, 0});
    return out.size() - 1;
  };
  for (std::size_t i = 0; i < classes_.size(); ++i) {
    of_class[i] = row("class", class_names_.name(static_cast<int>(i)), classes_[i].all);
    of_largest[i] = row("largest of class", class_names_.name(static_cast<int>(i)), classes_[i].largest);
  }
  for (std::size_t i = 0; i < teams_.size(); ++i)
    of_team[i] = row("team", team_names_.name(static_cast<int>(i)), teams_[i].all);
  jobs_.each([&](int j, const Job &n) {
    if (static_cast<std::size_t>(j) >= entries_.size()) return;
    const Entry &x = entries_[static_cast<std::size_t>(j)];
    if (x.job_class < 0 || x.begun || n.cancelled || !dependencies_.ready(j)) return;
    const double waited = std::max(0.0, runtime_.wall() - dependencies_.ready_wall(j));
    auto add = [&](std::size_t k) {
      ++out[k].waiting;
      out[k].longest_wait_s = std::max(out[k].longest_wait_s, waited);
    };
    add(of_class[static_cast<std::size_t>(x.job_class)]);
    if (x.largest) add(of_largest[static_cast<std::size_t>(x.job_class)]);
    add(of_team[static_cast<std::size_t>(x.team)]);
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
