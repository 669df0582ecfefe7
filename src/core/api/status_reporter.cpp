#include "loftrouter/core/api/status_reporter.hpp"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

#include "loftrouter/core/runtime/growing_table.hpp"

namespace loftrouter::core {

namespace {
constexpr double kDigestEvery = 0.5;     // s
constexpr double kSummaryEvery = 10.0;   // s
constexpr double kNewsLife = 10.0;       // s, after which a sibling's word about a job is too old to be passed on
constexpr std::size_t kMaxNews = 12'000; // jobs, as many as open records are known of; 2.9 MB at 0.24 KB each

std::string plural(std::uint64_t n, std::string_view what) {
  return fmt::format("{} {}{}", n, what, n == 1 ? "" : "s");
}
} // namespace

StatusReporter::Supplies StatusReporter::supplies() const {
  Supplies out;
  workers_.each([&](MachineIndex, const Machine &machine) {
    if (machine.type < 0 || machine.lost() || machine.returning() || machine.admin_state) return;
    auto &s = out[{machine.type, machine.zone, machine.spot}];
    ++(machine.heartbeat.received() ? s.up : s.starting);
  });
  return out;
}

bool StatusReporter::any_running(JobIndex job_index) const {
  for (const auto &t : jobs_[job_index].tasks)
    if (t.state == TaskState::Placed)
      for (const auto &s : workers_[t.machine].allocations)
        if (s.job == job_index && s.phase == TaskPhase::Running) return true;
  return false;
}

// Why the job's tasks wait, or what last happened to them, in words for its owner.
std::string StatusReporter::why(JobIndex job_index, const Supplies &supply) const {
  const Job &job = jobs_[job_index];
  if (const auto &with = dependencies_.cancelled_dependency(job_index); !with.empty())
    return dependency_cancelled_reason(with);
  if (job.cancelled) return "stopped: cancelled by its user";
  if (!dependencies_.ready(job_index)) return why_not_ready(job_index);
  if (job.done == job.spec.tasks) return "all tasks have completed; this is being recorded";
  if (failure_attribution_.suspected(job_index)) {
    if (job.placed)
      return fmt::format("failed with an error on {} machines; being tried again: check the job",
                         failure_attribution_.failed_machine_count(job_index));
    return fmt::format("failed with an error on {} machines; next try in {:.0f} s: check the job",
                       failure_attribution_.failed_machine_count(job_index),
                       std::max(0.0, failure_attribution_.retry_at(job_index) - runtime_.now()));
  }
  const std::string &last = job_reasons_.last_event(job_index);
  std::string wait;
  if (!leadership_.lease_valid())
    wait = fmt::format("nothing is started: the state service has not answered since {}",
                       wire::clock_time(runtime_.state_service_answered_at_wall()));
  else if (!cancellations_.may_renew_leases())
    wait = fmt::format("nothing is started: the state service has told of no cancellations since {}",
                       wire::clock_time(cancellations_.known_until_wall()));
  else if (job.pending() && ledger_.budget_exhausted(job.team))
    wait = why_held(job);
  else if (job.unaccounted)
    wait = fmt::format("{} started by an earlier leader {} looked for on the machines; what is not found by {} starts "
                       "again",
                       plural(job.unaccounted, "task"), job.unaccounted == 1 ? "is" : "are",
                       wire::clock_time(runtime_.wall() + std::max(0.0, jobs_.unaccounted_until() - runtime_.now())));
  else if (job.pending())
    wait = why_waiting(job_index, supply);
  if (wait.empty() && job.placed && job.done == 0 && last.empty() && !any_running(job_index))
    wait = job.placed == 1 ? "its task has a machine and fetches its image"
                           : fmt::format("its {} tasks have machines and fetch their images", job.placed);
  if (job.delegated) {
    std::string cells;
    for (const auto &l : job.delegations)
      if (!l.expired) cells += (cells.empty() ? "" : " and ") + l.cell;
    const auto where =
        fmt::format("{} of it {} in cell {}", plural(job.delegated, "task"), job.delegated == 1 ? "is" : "are", cells);
    wait = wait.empty() ? where : wait + "; " + where;
  }
  if (wait.empty()) return last;
  return last.empty() ? wait : wait + "; " + last;
}

std::string StatusReporter::why_not_ready(JobIndex job_index) const {
  const auto &open = dependencies_.open_dependencies(job_index);
  const std::size_t others = open.size() + dependencies_.unresolved_count(job_index) - !open.empty();
  if (open.empty()) return fmt::format("waits for {} that this leader is still looking up", plural(others, "job"));
  const Job &first = jobs_[open.front()];
  return fmt::format("waits for job {}, of which {} of {} tasks {} done{}", first.spec.id, first.done, first.spec.tasks,
                     first.spec.tasks == 1 ? "is" : "are",
                     others ? fmt::format(", and for {}", plural(others, "other job")) : "") +
         at_risk(job_index);
}

std::string StatusReporter::why_held(const Job &job) const {
  const auto &clock = operators_.budgets().clock;
  return fmt::format("held: team {} has used its {:g} CPU hours of this {}, since {}; {} {} for {} or a larger budget",
                     job.spec.team, ledger_.budget(job.team)->cpu_hours, clock.weekly ? "week" : "day",
                     wire::clock_time(clock.begin(runtime_.wall())), plural(job.pending(), "task"),
                     job.pending() == 1 ? "waits" : "wait", wire::clock_time(clock.end(runtime_.wall())));
}

std::string StatusReporter::why_limited(const Job &job) const {
  if (job.team < 0) return "";
  const Team &local_quota = quotas_.local_quota(job.team);
  if (local_quota.cpus_max <= 0) return "";
  const bool shared = quotas_.cells().size() > 1;
  const std::string limit =
      fmt::format("{} of {:g} CPUs{}", shared ? "share" : "limit", local_quota.cpus_max, shared ? " in this cell" : "");
  const double at_once = job.spec.need.cpus * (job.spec.shape == Shape::Array ? 1 : job.spec.tasks);
  if (at_once > local_quota.cpus_max) {
    const double largest = quotas_.largest_share(job.team);
    const bool nowhere = shared && at_once > largest;
    return fmt::format("its {:g} CPUs at once are more than team {}'s {}{}", at_once, job.spec.team, limit,
                       nowhere ? fmt::format("; no cell has a larger share than {:g}", largest) : "");
  }
  if (quotas_.headroom()[static_cast<std::size_t>(job.team)].cpus >= job.spec.need.cpus) return "";
  return fmt::format("team {} uses all of its {}", job.spec.team, limit);
}

std::string StatusReporter::why_waiting(JobIndex job_index, const Supplies &supply) const {
  const Job &n = jobs_[job_index];
  int up = 0, starting = 0;
  bool refused = true;
  PlacementJob job = scheduler_.queue().placement_job(job_index);
  job.avoided_machines.clear();
  const auto &types = catalog_.types();
  for (std::size_t t = 0; t < types.size(); ++t)
    for (const auto &zone : types[t].zones)
      for (bool spot : {false, true}) {
        PlacementMachine machine;
        machine.type = static_cast<int>(t);
        machine.zone = catalog_.find_zone(zone);
        machine.spot = spot;
        if (!allowed(job, machine) || !job.need.fits(types[t].size)) continue;
        const MachineKind kind(machine.type, machine.zone, spot);
        if (auto s = supply.find(kind); s != supply.end()) {
          up += s->second.up;
          starting += s->second.starting;
        }
        refused &= autoscaler_.lacks_capacity(kind);
      }
  const std::string what = fmt::format("{:g} CPUs and {:g} GB{}", n.spec.need.cpus, n.spec.need.memory,
                                       n.spec.zone ? " in " + *n.spec.zone : "");
  std::string wait;
  if (const auto limited = why_limited(n); !limited.empty())
    wait = limited;
  else if (job.gang && n.placed)
    wait = "the tasks of its earlier attempt have to stop first";
  else if (up == 0 && starting == 0)
    wait = refused ? "the cloud has no machine to give with " + what : "no machine with " + what + " is up yet";
  else if (up == 0)
    wait = fmt::format("{} with {} {} starting", plural(static_cast<std::uint64_t>(starting), "machine"), what,
                       starting == 1 ? "is" : "are");
  else
    wait = fmt::format("all {} with {} are in use{}", plural(static_cast<std::uint64_t>(up), "machine"), what,
                       starting ? fmt::format("; {} more starting", starting)
                                : (refused ? "; the cloud has no more to give" : ""));
  return (n.pending() == n.spec.tasks ? "waiting: " : fmt::format("{} of {} tasks wait: ", n.pending(), n.spec.tasks)) +
         wait;
}

const CriticalPath &StatusReporter::outlook() const {
  if (runtime_.now() - outlook_at_ < kOutlookEvery && outlook_.done_in_s.size() == jobs_.index_limit()) return outlook_;
  outlook_at_ = runtime_.now();
  outlook_ = dependencies_.critical_path([this](JobIndex job_index) {
    const Job &job = jobs_[job_index];
    const double queue = job.pending() * job.spec.need.cpus / std::max(1.0, scheduler_.queue().available_cpus());
    return job.pending() ? job.spec.estimate_s * (1 + queue)
                         : std::max(0.0, job.spec.estimate_s - std::max(0.0, scheduler_.queue().age_s(job_index)));
  });
  return outlook_;
}

bool StatusReporter::foreseen_late(JobIndex job_index) const {
  const Job &job = jobs_[job_index];
  const auto wanted = objectives_.completion_target(job.spec, dependencies_.deadline(job_index));
  if (!wanted || job.cancelled || job.done == job.spec.tasks) return false;
  const auto &o = outlook();
  const auto at = job_index.position();
  const double left = at >= o.done_in_s.size() ? 0 : job.pending() ? o.done_in_s[at] : o.starts_in_s[at];
  return std::max(0.0, scheduler_.queue().age_s(job_index)) + left > operators_.tunables().late_notice_share * *wanted;
}

// Of a job that waits for others and has a deadline: which stage will make it late, and by how much.
std::string StatusReporter::at_risk(JobIndex job_index) const {
  const auto wanted = dependencies_.own_deadline(job_index);
  const auto &o = outlook();
  if (!wanted || job_index.position() >= o.done_in_s.size()) return {};
  const double late = std::max(0.0, scheduler_.queue().age_s(job_index)) + o.done_in_s[job_index.position()] - *wanted;
  if (late <= 0) return {};
  JobIndex stage = job_index;
  while (o.last_dependency[stage.position()].valid())
    stage = o.last_dependency[stage.position()];
  if (!jobs_.find(stage)) return {};
  return fmt::format("; at risk: expected {:.0f} s after its deadline, held up by job {} ({})", std::ceil(late),
                     jobs_[stage].spec.id, jobs_[stage].spec.job_class);
}

bool StatusReporter::foreseen_late(const std::string &id) const {
  if (leadership_.leading()) {
    const JobIndex job_index = jobs_.index(id);
    return job_index.valid() && foreseen_late(job_index);
  }
  auto it = news_.find(id);
  return it != news_.end() && it->second.late;
}

std::size_t StatusReporter::foreseen_late_count() const {
  std::size_t late = 0;
  if (!leadership_.leading())
    return static_cast<std::size_t>(
        std::count_if(news_.begin(), news_.end(), [](const auto &n) { return n.second.late; }));
  jobs_.each(
      [&](JobIndex job_index, const Job &job) { late += !job.cancelled && job.team >= 0 && foreseen_late(job_index); });
  return late;
}

void StatusReporter::log_summary() {
  if (runtime_.now() < next_summary_) return;
  next_summary_ = runtime_.now() + kSummaryEvery;
  struct Kind {
    int up = 0, booting = 0;
    double cpus = 0, used = 0;
  } kinds[2]; // ordinary, spot
  workers_.each([&](MachineIndex, const Machine &machine) {
    if (machine.lost()) return;
    Kind &k = kinds[machine.spot];
    ++(machine.heartbeat.received() ? k.up : k.booting);
    if (!machine.heartbeat.received()) return;
    k.cpus += machine.size.cpus;
    k.used += machine.used.cpus;
  });
  std::uint64_t waiting = 0;
  int open = 0;
  jobs_.each([&](JobIndex, const Job &job) {
    if (job.cancelled) return;
    ++open;
    waiting += job.pending();
  });
  runtime_.log(LogLevel::Info, "summary_reported",
               {{"jobs_open", open},
                {"tasks_waiting", waiting},
                {"ordinary_up", kinds[0].up},
                {"ordinary_booting", kinds[0].booting},
                {"ordinary_cpus_used", kinds[0].used},
                {"ordinary_cpus", kinds[0].cpus},
                {"spot_up", kinds[1].up},
                {"spot_booting", kinds[1].booting},
                {"spot_cpus_used", kinds[1].used},
                {"spot_cpus", kinds[1].cpus}});
}

// A frame each half second: the jobs whose counts have changed first, then the others in turn. What does not fit
// waits for the next frame.
void StatusReporter::publish_to_replicas() {
  if (!leadership_.leading() || runtime_.now() < next_digest_ || replicas_.count() == 0) return;
  next_digest_ = runtime_.now() + kDigestEvery;
  const auto running = workers_.running_tasks_by_job();
  std::vector<JobIndex> first, rest;
  const std::size_t n = jobs_.index_limit();
  for (std::size_t k = 0; k < n; ++k) {
    const JobIndex job_index((cursor_ + k) % n);
    const Job *job = jobs_.find(job_index);
    if (!job || job->cancelled) continue;
    const bool changed = get_or_create(told_, job_index).done != job->done ||
                         get_or_create(told_, job_index).running != running[job_index.position()];
    (changed ? first : rest).push_back(job_index);
  }
  const auto supply = supplies();
  wire::PeerMessage message;
  message.kind = wire::PeerMessage::Kind::Digest;
  message.term = leadership_.term();
  std::size_t headroom = wire::kPeerMaxBody - 64;
  for (const auto *list : {&first, &rest})
    for (JobIndex job_index : *list) {
      if (message.jobs.size() >= wire::kPeerMaxDigestJobs || headroom < 256) break;
      wire::PeerMessage::JobDigest news{jobs_[job_index].spec.id, jobs_[job_index].done, running[job_index.position()],
                                        foreseen_late(job_index), why(job_index, supply)};
      get_or_create(told_, job_index) = {news.done, news.running};
      headroom -= std::min(headroom, wire::job_digest_size(news));
      if (list == &rest) cursor_ = job_index.position() + 1;
      message.jobs.push_back(std::move(news));
    }
  replicas_.broadcast(message);
}

void StatusReporter::handle_digest(const wire::PeerMessage &message) {
  if (message.term < news_term_ || leadership_.leading()) return;
  if (message.term > news_term_) {
    news_.clear();
    news_order_.clear();
  }
  news_term_ = message.term;
  for (const auto &n : message.jobs) {
    if (ended_.find(n.id)) continue;
    if (!news_.insert_or_assign(n.id, News{n.done, n.running, n.late, n.reason, runtime_.now()}).second) continue;
    news_order_.push_back(n.id);
    while (news_order_.size() > kMaxNews) {
      news_.erase(news_order_.front());
      news_order_.pop_front();
    }
  }
}

void StatusReporter::on(const TermStarted &) {
  news_.clear();
  news_order_.clear();
}

JobView StatusReporter::view(const std::string &id, bool cancelled) const {
  JobView view{id, cancelled ? JobState::Cancelled : JobState::Queued, 0, 0, {}};
  if (const JobIndex job_index = leadership_.leading() ? jobs_.index(id) : JobIndex(); job_index.valid()) {
    view.done = jobs_[job_index].done;
    view.running = workers_.running_tasks(job_index);
    view.reason = why(job_index, supplies());
  } else if (cancelled) {
    view.reason = "stopped: cancelled by its user";
  } else if (auto it = news_.find(id); it != news_.end() && news_term_ >= leadership_.leader_term() &&
                                       runtime_.now() - it->second.at < kNewsLife) {
    view.done = it->second.done;
    view.running = it->second.running;
    view.reason = it->second.reason;
  } else if (leadership_.leader_name().empty()) {
    view.reason = leadership_.leaderless_since_wall() > 0
                      ? fmt::format("no leader since {}; the next one starts what waits",
                                    wire::clock_time(leadership_.leaderless_since_wall()))
                      : "no leader is known yet";
  } else {
    view.reason = fmt::format("how far it is cannot be told by this node: no word of it from the leader, {}",
                              leadership_.leader_name());
  }
  if (!cancelled && view.running) view.state = JobState::Running;
  return view;
}

} // namespace loftrouter::core
