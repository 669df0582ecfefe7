#include "loftrouter/core/api/status_reporter.hpp"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

#include "loftrouter/core/runtime/growing_table.hpp"

namespace loftrouter::core {

namespace {
constexpr double kDigestIntervalS = 0.5;
constexpr double kSummaryIntervalS = 10.0;
constexpr double kDigestMaxAgeS = 10.0;     // older digests are not shown to users
constexpr std::size_t kMaxDigests = 12'000; // as JobApiHandler's cache of open records; about 2.9 MB

std::string plural(std::uint64_t count, std::string_view noun) {
  return fmt::format("{} {}{}", count, noun, count == 1 ? "" : "s");
}
} // namespace

StatusReporter::MachineCountsByKind StatusReporter::count_machines() const {
  MachineCountsByKind out;
  workers_.each([&](MachineIndex, const Machine &machine) {
    if (machine.type < 0 || machine.lost() || machine.returning() || machine.admin_state) return;
    auto &counts = out[{machine.type, machine.zone, machine.spot}];
    ++(machine.heartbeat.received() ? counts.up : counts.starting);
  });
  return out;
}

bool StatusReporter::any_running(JobIndex job_index) const {
  for (const auto &task : jobs_[job_index].tasks)
    if (task.state == TaskState::Placed)
      for (const auto &allocation : workers_[task.machine].allocations)
        if (allocation.job == job_index && allocation.phase == TaskPhase::Running) return true;
  return false;
}

std::string StatusReporter::explain(JobIndex job_index, const MachineCountsByKind &machines) const {
  const Job &job = jobs_[job_index];
  if (const auto &cancelled = dependencies_.cancelled_dependency(job_index); !cancelled.empty())
    return dependency_cancelled_reason(cancelled);
  if (job.cancelled) return "stopped: cancelled by its user";
  if (!dependencies_.ready(job_index)) return explain_dependencies(job_index);
  if (job.done == job.spec.tasks) return "all tasks have completed; this is being recorded";
  if (failure_attribution_.suspected(job_index)) {
    if (job.placed)
      return fmt::format("failed with an error on {} machines; being tried again: check the job",
                         failure_attribution_.failed_machine_count(job_index));
    return fmt::format("failed with an error on {} machines; next try in {:.0f} s: check the job",
                       failure_attribution_.failed_machine_count(job_index),
                       std::max(0.0, failure_attribution_.retry_at(job_index) - runtime_.now()));
  }
  const std::string &last_event = job_reasons_.last_event(job_index);
  std::string wait_reason;
  if (!leadership_.lease_valid())
    wait_reason = fmt::format("nothing is started: the state service has not answered since {}",
                              wire::clock_time(runtime_.state_service_answered_at_wall()));
  else if (!cancellations_.may_renew_leases())
    wait_reason = fmt::format("nothing is started: the state service has told of no cancellations since {}",
                              wire::clock_time(cancellations_.known_until_wall()));
  else if (job.pending() && ledger_.budget_exhausted(job.team))
    wait_reason = explain_exhausted_budget(job);
  else if (job.unaccounted)
    wait_reason =
        fmt::format("{} started by an earlier leader {} looked for on the machines; what is not found by {} starts "
                    "again",
                    plural(job.unaccounted, "task"), job.unaccounted == 1 ? "is" : "are",
                    wire::clock_time(runtime_.wall() + std::max(0.0, jobs_.unaccounted_until() - runtime_.now())));
  else if (job.pending())
    wait_reason = explain_pending(job_index, machines);
  if (wait_reason.empty() && job.placed && job.done == 0 && last_event.empty() && !any_running(job_index))
    wait_reason = job.placed == 1 ? "its task has a machine and fetches its image"
                                  : fmt::format("its {} tasks have machines and fetch their images", job.placed);
  if (job.delegated) {
    std::string cells;
    for (const auto &delegation : job.delegations)
      if (!delegation.expired) cells += (cells.empty() ? "" : " and ") + delegation.cell;
    const auto delegated_part =
        fmt::format("{} of it {} in cell {}", plural(job.delegated, "task"), job.delegated == 1 ? "is" : "are", cells);
    wait_reason = wait_reason.empty() ? delegated_part : wait_reason + "; " + delegated_part;
  }
  if (wait_reason.empty()) return last_event;
  return last_event.empty() ? wait_reason : wait_reason + "; " + last_event;
}

std::string StatusReporter::explain_dependencies(JobIndex job_index) const {
  const auto &open = dependencies_.open_dependencies(job_index);
  const std::size_t other_count = open.size() + dependencies_.unresolved_count(job_index) - !open.empty();
  if (open.empty()) return fmt::format("waits for {} that this leader is still looking up", plural(other_count, "job"));
  const Job &first = jobs_[open.front()];
  return fmt::format("waits for job {}, of which {} of {} tasks {} done{}", first.spec.id, first.done, first.spec.tasks,
                     first.spec.tasks == 1 ? "is" : "are",
                     other_count ? fmt::format(", and for {}", plural(other_count, "other job")) : "") +
         deadline_risk(job_index);
}

std::string StatusReporter::explain_exhausted_budget(const Job &job) const {
  const auto &clock = operators_.budgets().clock;
  return fmt::format("held: team {} has used its {:g} CPU hours of this {}, since {}; {} {} for {} or a larger budget",
                     job.spec.team, ledger_.budget(job.team)->cpu_hours, clock.weekly ? "week" : "day",
                     wire::clock_time(clock.begin(runtime_.wall())), plural(job.pending(), "task"),
                     job.pending() == 1 ? "waits" : "wait", wire::clock_time(clock.end(runtime_.wall())));
}

std::string StatusReporter::explain_quota(const Job &job) const {
  if (job.team < 0) return "";
  const Team &local_quota = quotas_.local_quota(job.team);
  if (local_quota.cpus_max <= 0) return "";
  const bool several_cells = quotas_.cells().size() > 1;
  const std::string limit = fmt::format("{} of {:g} CPUs{}", several_cells ? "share" : "limit", local_quota.cpus_max,
                                        several_cells ? " in this cell" : "");
  const double concurrent_cpus = job.spec.need.cpus * (job.spec.shape == Shape::Array ? 1 : job.spec.tasks);
  if (concurrent_cpus > local_quota.cpus_max) {
    const double largest_share = quotas_.largest_share(job.team);
    const bool exceeds_all_shares = several_cells && concurrent_cpus > largest_share;
    return fmt::format("its {:g} CPUs at once are more than team {}'s {}{}", concurrent_cpus, job.spec.team, limit,
                       exceeds_all_shares ? fmt::format("; no cell has a larger share than {:g}", largest_share) : "");
  }
  if (quotas_.headroom()[static_cast<std::size_t>(job.team)].cpus >= job.spec.need.cpus) return "";
  return fmt::format("team {} uses all of its {}", job.spec.team, limit);
}

std::string StatusReporter::explain_pending(JobIndex job_index, const MachineCountsByKind &machines) const {
  const Job &job = jobs_[job_index];
  int machines_up = 0, machines_starting = 0;
  bool no_capacity = true;
  PlacementJob placement_job = scheduler_.queue().placement_job(job_index);
  placement_job.avoided_machines.clear();
  const auto &types = catalog_.types();
  for (std::size_t type = 0; type < types.size(); ++type)
    for (const auto &zone : types[type].zones)
      for (bool spot : {false, true}) {
        PlacementMachine machine;
        machine.type = static_cast<int>(type);
        machine.zone = catalog_.find_zone(zone);
        machine.spot = spot;
        if (!allowed(placement_job, machine) || !placement_job.need.fits(types[type].size)) continue;
        const MachineKind kind(machine.type, machine.zone, spot);
        if (auto counts = machines.find(kind); counts != machines.end()) {
          machines_up += counts->second.up;
          machines_starting += counts->second.starting;
        }
        no_capacity &= autoscaler_.lacks_capacity(kind);
      }
  const std::string size = fmt::format("{:g} CPUs and {:g} GB{}", job.spec.need.cpus, job.spec.need.memory,
                                       job.spec.zone ? " in " + *job.spec.zone : "");
  std::string wait_reason;
  if (const auto quota_reason = explain_quota(job); !quota_reason.empty())
    wait_reason = quota_reason;
  else if (placement_job.gang && job.placed)
    wait_reason = "the tasks of its earlier attempt have to stop first";
  else if (machines_up == 0 && machines_starting == 0)
    wait_reason =
        no_capacity ? "the cloud has no machine to give with " + size : "no machine with " + size + " is up yet";
  else if (machines_up == 0)
    wait_reason =
        fmt::format("{} with {} {} starting", plural(static_cast<std::uint64_t>(machines_starting), "machine"), size,
                    machines_starting == 1 ? "is" : "are");
  else
    wait_reason =
        fmt::format("all {} with {} are in use{}", plural(static_cast<std::uint64_t>(machines_up), "machine"), size,
                    machines_starting ? fmt::format("; {} more starting", machines_starting)
                                      : (no_capacity ? "; the cloud has no more to give" : ""));
  return (job.pending() == job.spec.tasks ? "waiting: "
                                          : fmt::format("{} of {} tasks wait: ", job.pending(), job.spec.tasks)) +
         wait_reason;
}

const CriticalPath &StatusReporter::forecast() const {
  if (runtime_.now() - forecast_at_ < kForecastMaxAgeS && forecast_.done_in_s.size() == jobs_.index_limit())
    return forecast_;
  forecast_at_ = runtime_.now();
  forecast_ = dependencies_.critical_path([this](JobIndex job_index) {
    const Job &job = jobs_[job_index];
    const double queue_factor = job.pending() * job.spec.need.cpus / std::max(1.0, scheduler_.queue().available_cpus());
    return job.pending() ? job.spec.estimate_s * (1 + queue_factor)
                         : std::max(0.0, job.spec.estimate_s - std::max(0.0, scheduler_.queue().age_s(job_index)));
  });
  return forecast_;
}

bool StatusReporter::predicted_late(JobIndex job_index) const {
  const Job &job = jobs_[job_index];
  const auto target_s = objectives_.completion_target(job.spec, dependencies_.deadline(job_index));
  if (!target_s || job.cancelled || job.done == job.spec.tasks) return false;
  const auto &estimate = forecast();
  const auto index = job_index.position();
  const double remaining_s = index >= estimate.done_in_s.size() ? 0
                             : job.pending()                    ? estimate.done_in_s[index]
                                                                : estimate.starts_in_s[index];
  return std::max(0.0, scheduler_.queue().age_s(job_index)) + remaining_s >
         operators_.tunables().late_notice_share * *target_s;
}

std::string StatusReporter::deadline_risk(JobIndex job_index) const {
  const auto target_s = dependencies_.own_deadline(job_index);
  const auto &estimate = forecast();
  if (!target_s || job_index.position() >= estimate.done_in_s.size()) return {};
  const double late_s =
      std::max(0.0, scheduler_.queue().age_s(job_index)) + estimate.done_in_s[job_index.position()] - *target_s;
  if (late_s <= 0) return {};
  JobIndex dependency = job_index;
  while (estimate.last_dependency[dependency.position()].valid())
    dependency = estimate.last_dependency[dependency.position()];
  if (!jobs_.find(dependency)) return {};
  return fmt::format("; at risk: expected {:.0f} s after its deadline, held up by job {} ({})", std::ceil(late_s),
                     jobs_[dependency].spec.id, jobs_[dependency].spec.job_class);
}

bool StatusReporter::predicted_late(const std::string &id) const {
  if (leadership_.leading()) {
    const JobIndex job_index = jobs_.index(id);
    return job_index.valid() && predicted_late(job_index);
  }
  auto it = digests_.find(id);
  return it != digests_.end() && it->second.late;
}

std::size_t StatusReporter::predicted_late_count() const {
  std::size_t count = 0;
  if (!leadership_.leading())
    return static_cast<std::size_t>(
        std::count_if(digests_.begin(), digests_.end(), [](const auto &entry) { return entry.second.late; }));
  jobs_.each([&](JobIndex job_index, const Job &job) {
    count += !job.cancelled && job.team >= 0 && predicted_late(job_index);
  });
  return count;
}

void StatusReporter::log_summary() {
  if (runtime_.now() < next_summary_at_) return;
  next_summary_at_ = runtime_.now() + kSummaryIntervalS;
  struct Totals {
    int up = 0, booting = 0;
    double cpus = 0, used = 0;
  } totals[2]; // on-demand, spot
  workers_.each([&](MachineIndex, const Machine &machine) {
    if (machine.lost()) return;
    Totals &total = totals[machine.spot];
    ++(machine.heartbeat.received() ? total.up : total.booting);
    if (!machine.heartbeat.received()) return;
    total.cpus += machine.size.cpus;
    total.used += machine.used.cpus;
  });
  std::uint64_t waiting = 0;
  int open_jobs = 0;
  jobs_.each([&](JobIndex, const Job &job) {
    if (job.cancelled) return;
    ++open_jobs;
    waiting += job.pending();
  });
  runtime_.log(LogLevel::Info, "summary_reported",
               {{"jobs_open", open_jobs},
                {"tasks_waiting", waiting},
                {"ordinary_up", totals[0].up},
                {"ordinary_booting", totals[0].booting},
                {"ordinary_cpus_used", totals[0].used},
                {"ordinary_cpus", totals[0].cpus},
                {"spot_up", totals[1].up},
                {"spot_booting", totals[1].booting},
                {"spot_cpus_used", totals[1].used},
                {"spot_cpus", totals[1].cpus}});
}

// The message lists jobs with changed counts first, then the others in rotation. Jobs that don't fit are sent in a
// later message.
void StatusReporter::publish_to_replicas() {
  if (!leadership_.leading() || runtime_.now() < next_digest_at_ || replicas_.count() == 0) return;
  next_digest_at_ = runtime_.now() + kDigestIntervalS;
  const auto running = workers_.running_tasks_by_job();
  std::vector<JobIndex> changed_jobs, unchanged_jobs;
  const std::size_t limit = jobs_.index_limit();
  for (std::size_t offset = 0; offset < limit; ++offset) {
    const JobIndex job_index((publish_cursor_ + offset) % limit);
    const Job *job = jobs_.find(job_index);
    if (!job || job->cancelled) continue;
    const bool changed = get_or_create(published_counts_, job_index).done != job->done ||
                         get_or_create(published_counts_, job_index).running != running[job_index.position()];
    (changed ? changed_jobs : unchanged_jobs).push_back(job_index);
  }
  const auto machines = count_machines();
  wire::PeerMessage message;
  message.kind = wire::PeerMessage::Kind::Digest;
  message.term = leadership_.term();
  std::size_t free_bytes = wire::kPeerMaxBody - 64;
  for (const auto *job_list : {&changed_jobs, &unchanged_jobs})
    for (JobIndex job_index : *job_list) {
      if (message.jobs.size() >= wire::kPeerMaxDigestJobs || free_bytes < 256) break;
      wire::PeerMessage::JobDigest digest{jobs_[job_index].spec.id, jobs_[job_index].done,
                                          running[job_index.position()], predicted_late(job_index),
                                          explain(job_index, machines)};
      get_or_create(published_counts_, job_index) = {digest.done, digest.running};
      free_bytes -= std::min(free_bytes, wire::job_digest_size(digest));
      if (job_list == &unchanged_jobs) publish_cursor_ = job_index.position() + 1;
      message.jobs.push_back(std::move(digest));
    }
  replicas_.broadcast(message);
}

void StatusReporter::handle_digest(const wire::PeerMessage &message) {
  if (message.term < digest_term_ || leadership_.leading()) return;
  if (message.term > digest_term_) {
    digests_.clear();
    digest_order_.clear();
  }
  digest_term_ = message.term;
  for (const auto &digest : message.jobs) {
    if (ended_.find(digest.id)) continue;
    const bool inserted = digests_
                              .insert_or_assign(digest.id, ReceivedDigest{digest.done, digest.running, digest.late,
                                                                          digest.reason, runtime_.now()})
                              .second;
    if (!inserted) continue;
    digest_order_.push_back(digest.id);
    while (digest_order_.size() > kMaxDigests) {
      digests_.erase(digest_order_.front());
      digest_order_.pop_front();
    }
  }
}

void StatusReporter::on(const TermStarted &) {
  digests_.clear();
  digest_order_.clear();
}

JobView StatusReporter::view(const std::string &id, bool cancelled) const {
  JobView view{id, cancelled ? JobState::Cancelled : JobState::Queued, 0, 0, {}};
  if (const JobIndex job_index = leadership_.leading() ? jobs_.index(id) : JobIndex(); job_index.valid()) {
    view.done = jobs_[job_index].done;
    view.running = workers_.running_tasks(job_index);
    view.reason = explain(job_index, count_machines());
  } else if (cancelled) {
    view.reason = "stopped: cancelled by its user";
  } else if (auto it = digests_.find(id); it != digests_.end() && digest_term_ >= leadership_.leader_term() &&
                                          runtime_.now() - it->second.received_at < kDigestMaxAgeS) {
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
