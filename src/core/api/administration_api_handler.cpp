#include "loftrouter/core/api/administration_api_handler.hpp"

#include <algorithm>
#include <map>

#include <fmt/format.h>

#include "loftrouter/wire/storage_keys.hpp"

namespace loftrouter::core {

namespace {
constexpr double kStoreReadTimeoutS = 2.0;
constexpr double kMaxReplicaSilenceS = 3.0, kMaxProviderSilenceS = 15.0; // until the status reports a problem
constexpr double kMaxStatementAgeS = 400 * 86400.0;
constexpr std::string_view kAccountingDisabled = "usage accounting is disabled; enable it in the features file";

void add_sums(SumsByTeam &total, const SumsByTeam &addend) {
  for (const auto &[key, sums] : addend)
    total[key] += sums;
}

wire::AdminJob to_admin_job(const std::string &id, const EndRecord &end) {
  return {id,
          end.job_class,
          end.team,
          end.cancelled ? "cancelled" : "done",
          end.reason,
          end.tasks,
          end.cancelled ? 0 : end.tasks,
          0,
          end.submit_wall,
          end.end_wall,
          end.late};
}
} // namespace

void AdministrationApiHandler::reply_error(RequestId request_id, int status, std::string_view text) {
  runtime_.reply_json(request_id, status, wire::encode_admin_error(text),
                      status == 503 ? std::optional(1) : std::nullopt);
}

void AdministrationApiHandler::take(AdminCommand &&command) {
  using Kind = wire::AdminRequest::Kind;
  const auto &request = command.request;
  switch (request.kind) {
  case Kind::Status:
    return reply_status(command.req, request);
  case Kind::Jobs:
  case Kind::Forecast:
    return reply_jobs(command.req, request, request.kind == Kind::Forecast);
  case Kind::Report:
    return reply_report(command.req, request);
  case Kind::Statement:
    return reply_statement(command.req, request);
  default:
    return configuration_.take(command.req, request);
  }
}

void AdministrationApiHandler::reply_status(RequestId request_id, const wire::AdminRequest &request) {
  wire::AdminStatus status;
  const bool leading = leadership_.leading();
  // -1: never
  auto seconds_since = [this](double time) { return time < -1e8 ? -1.0 : runtime_.now() - time; };
  status.node = settings_.node;
  status.role = leading                                ? (leadership_.active() ? "leading" : "leading, paused")
                : leadership_.role() == Role::Follower ? "following"
                                                       : "taking over";
  status.leader = leading ? settings_.node : leadership_.leader_name();
  status.term = leading ? leadership_.term() : leadership_.leader_term();
  if (leading) status.leader_since = wire::clock_time(leadership_.leading_since_wall());
  status.state_age_s = seconds_since(runtime_.state_service_answered_at());
  status.cloud_age_s = seconds_since(runtime_.provider_answered_at());
  status.heartbeat_age_s = seconds_since(connectivity_.last_heartbeat_at());
  status.connectivity = {connectivity_.own_record(), connectivity_.workers_by_zone()};
  for (const ReplicaIndex index : replicas_.indices()) {
    const auto &replica = replicas_[index];
    const auto known = connectivity_.connectivity_of(index);
    status.replicas.push_back({replicas_.name(index), seconds_since(replica.status_as_of), replica.state_service_lost,
                               replica.service_status.can_forward, leading ? workers_.available_count(index) : 0,
                               known ? known->record : ConnectivityRecord{},
                               !known                  ? "nothing"
                               : known->over_peer_link ? "link"
                                                       : "state service",
                               replica.ping_received_at < -1e8 ? "unknown"
                               : replica.supports_dependencies ? "this or later"
                                                               : "earlier"});
  }
  const auto load = heartbeats_.load();
  status.load = {load.direct_per_s,     load.max_direct_per_s, load.forwarded_per_s,
                 load.workers,          load.max_workers,      load.forwarding_wanted,
                 request.process.cpu_s, runtime_.uptime_s(),   settings_.cpu_share};
  std::map<MachineKind, wire::AdminStatus::Kind> totals_by_kind;
  int silent_machines = 0, excluded_machines = 0;
  workers_.each([&](MachineIndex, const Machine &machine) {
    if (machine.type < 0) return;
    auto &totals = totals_by_kind[{machine.type, machine.zone, machine.spot}];
    const bool silent =
        machine.heartbeat.received() && machine.heartbeat_overdue(runtime_.now(), settings_.heartbeat_interval_s);
    ++(silent ? totals.unreachable : machine.heartbeat.received() ? totals.up : totals.starting);
    silent_machines += silent;
    excluded_machines += machine.admin_state.has_value();
    if (!machine.heartbeat.received() || silent) return;
    totals.cpus += machine.size.cpus;
    totals.used += machine.used.cpus;
  });
  for (const auto &kind : autoscaler_.kinds_without_capacity())
    totals_by_kind[kind].refused = true;
  for (auto &[key, totals] : totals_by_kind) {
    const auto [type, zone, spot] = key;
    totals.type = catalog_.type_name(type);
    totals.zone = catalog_.zone_name(zone);
    totals.spot = spot;
    status.fleet.push_back(totals);
  }
  if (leading) status.served = service_levels_.rows();
  status.cell = settings_.cells.name;
  if (leading)
    for (const auto &c : federation_.cell_statuses())
      status.cells.push_back({c.name, c.last_heard_age_s, c.delegates, c.delegated_out_tasks, c.delegated_in_tasks});
  if (leading) {
    for (const auto &team : settings_.teams)
      status.queues.push_back({.team = team.name});
    jobs_.each([&](JobIndex job_index, const Job &job) {
      if (job.cancelled || job.team < 0) return;
      auto &queue = status.queues[static_cast<std::size_t>(job.team)];
      ++queue.jobs;
      queue.waiting += job.pending();
      queue.running += job.placed + job.unaccounted;
      if (!dependencies_.ready(job_index))
        ++queue.waiting_for_others;
      else if (job.pending())
        queue.oldest_s = std::max(queue.oldest_s, runtime_.wall() - dependencies_.ready_wall(job_index));
    });
  }
  status.troubles = describe_problems(status, silent_machines, excluded_machines);
  status.rejected_bodies = request.process.rejected_bodies;
  status.batch_ms = request.process.batch_ms;
  status.queue_wait_ms = request.process.queue_wait_ms;
  runtime_.reply_json(request_id, 200, wire::encode_status(status));
}

std::vector<std::string> AdministrationApiHandler::describe_problems(const wire::AdminStatus &status,
                                                                     int silent_machines, int excluded_machines) const {
  std::vector<std::string> out;
  const bool leading = leadership_.leading();
  if (replicas_.state_service_lost())
    out.push_back(runtime_.state_service_answered_at_wall() > 0
                      ? fmt::format("this node has had no answer from the state service since {}{}",
                                    wire::clock_time(runtime_.state_service_answered_at_wall()),
                                    replicas_.state_service_lost_by_all() ? ", nor have the other replicas" : "")
                      : "this node has had no answer from the state service yet");
  if (status.leader.empty())
    out.push_back(leadership_.leaderless_since_wall() > 0
                      ? fmt::format("no leader since {}", wire::clock_time(leadership_.leaderless_since_wall()))
                      : "no leader is known yet");
  if (leading && !leadership_.active())
    out.push_back("this node leads but starts no tasks: its lease could not be renewed");
  if (leadership_.active() && !cancellations_.may_renew_leases())
    out.push_back(fmt::format("no tasks are started: cancellations are known only until {}",
                              wire::clock_time(cancellations_.known_until_wall())));
  std::uint64_t unaccounted = 0;
  std::size_t suspected_jobs = 0;
  jobs_.each([&](JobIndex job_index, const Job &job) {
    unaccounted += job.unaccounted;
    suspected_jobs += !job.cancelled && job.team >= 0 && failure_attribution_.suspected(job_index);
  });
  if (leading && unaccounted && jobs_.unaccounted_until() > runtime_.now())
    out.push_back(fmt::format("failover at {}: tasks not reported by a worker by {} are started again",
                              wire::clock_time(leadership_.leading_since_wall()),
                              wire::clock_time(runtime_.wall() + jobs_.unaccounted_until() - runtime_.now())));
  for (const auto &replica : status.replicas)
    if (replica.last_contact_s < 0 || replica.last_contact_s > kMaxReplicaSilenceS)
      out.push_back(fmt::format("replica {} does not answer", replica.node));
  if (leading && status.cloud_age_s > kMaxProviderSilenceS)
    out.push_back("the cloud provider does not answer: no scale-out or scale-in");
  std::string out_of_capacity;
  for (const auto &kind : status.fleet)
    if (kind.refused)
      out_of_capacity += fmt::format("{}{}{} in {}", out_of_capacity.empty() ? "" : ", ", kind.spot ? "spot " : "",
                                     kind.type, kind.zone);
  if (!out_of_capacity.empty()) out.push_back("the cloud provider has no capacity for: " + out_of_capacity);
  if (silent_machines) out.push_back(fmt::format("machines without a recent heartbeat: {}", silent_machines));
  if (excluded_machines)
    out.push_back(fmt::format("machines that an operator has excluded from placement: {}", excluded_machines));
  for (int team = 0; leading && team < static_cast<int>(settings_.teams.size()); ++team)
    if (ledger_.budget_warning_due(team))
      out.push_back(fmt::format("team {} has used {:.1f} of its {:g} CPU hours of this period{}",
                                settings_.teams[static_cast<std::size_t>(team)].name,
                                static_cast<double>(ledger_.used(team)) / accounts::kSumsPerHour,
                                ledger_.budget(team)->cpu_hours,
                                ledger_.budget_exhausted(team) ? ": its new tasks are not started" : ""));
  if (suspected_jobs)
    out.push_back(fmt::format("jobs that fail on every machine: {}; see /admin/v1/jobs", suspected_jobs));
  if (const auto late_jobs = status_reporter_.predicted_late_count())
    out.push_back(fmt::format("jobs that are or will be late: {}; see /admin/v1/foreseen", late_jobs));
  return out;
}

// Lists one page of the open jobs by id: all of them, or those predicted to be late.
void AdministrationApiHandler::reply_jobs(RequestId request_id, const wire::AdminRequest &request, bool only_late) {
  if (!state_limits_.take_read(runtime_.now())) return reply_error(request_id, 503, "too many concurrent requests");
  runtime_.store(StoreList{std::string(wire::kOpenPrefix), request.from.empty() ? "" : wire::open_key(request.from)},
                 kStoreReadTimeoutS, [this, request_id, request, only_late](const wire::StoreReply &reply) {
                   if (reply.status != 200) return reply_error(request_id, 503, "the state service did not answer");
                   std::vector<wire::AdminJob> out;
                   std::string last_id;
                   for (const auto &entry : reply.entries) {
                     auto open = wire::open_from_json(entry.value);
                     if (!open) continue;
                     last_id = open->spec.id;
                     if (!request.team.empty() && request.team != open->spec.team) continue;
                     auto view = status_reporter_.view(open->spec.id, open->cancelled);
                     const bool late = status_reporter_.predicted_late(open->spec.id);
                     if (only_late && !late) continue;
                     out.push_back({open->spec.id, open->spec.job_class, open->spec.team,
                                    open->cancelled ? "being stopped"
                                    : view.running  ? "running"
                                                    : "waiting",
                                    view.reason, open->spec.tasks, view.done, view.running, open->submit_wall, 0,
                                    late});
                   }
                   runtime_.reply_json(request_id, 200, wire::encode_jobs(out, reply.more ? last_id : ""));
                 });
}

// Lists the jobs of one page of end records that ended within the period.
void AdministrationApiHandler::reply_report(RequestId request_id, const wire::AdminRequest &request) {
  if (!state_limits_.take_read(runtime_.now())) return reply_error(request_id, 503, "too many concurrent requests");
  runtime_.store(StoreList{std::string(wire::kEndPrefix), request.from.empty() ? "" : wire::end_key(request.from)},
                 kStoreReadTimeoutS, [this, request_id, request](const wire::StoreReply &reply) {
                   if (reply.status != 200) return reply_error(request_id, 503, "the state service did not answer");
                   std::vector<wire::AdminJob> out;
                   std::string last_id;
                   for (const auto &entry : reply.entries) {
                     last_id = entry.key.substr(entry.key.find('/') + 1);
                     auto end = wire::end_from_json(entry.value);
                     if (!end || (!request.team.empty() && request.team != end->team) ||
                         end->end_wall < runtime_.wall() - request.period_s)
                       continue;
                     out.push_back(to_admin_job(last_id, *end));
                   }
                   runtime_.reply_json(request_id, 200, wire::encode_jobs(out, reply.more ? last_id : ""));
                 });
}

// Reports each team's usage in a period and one page of the jobs that ended in it. Any node can answer, because it
// reads stored records only; these lag by a second or two.
void AdministrationApiHandler::reply_statement(RequestId request_id, const wire::AdminRequest &request) {
  if (!ledger_.enabled()) return reply_error(request_id, 409, kAccountingDisabled);
  if (!state_limits_.take_read(runtime_.now(), 3)) return reply_error(request_id, 503, "too many concurrent requests");
  const auto &clock = operators_.budgets().clock;
  wire::AdminStatement statement;
  statement.period = request.period.empty() ? clock.name(runtime_.wall()) : request.period;
  for (double wall = runtime_.wall(); statement.ends == 0 && wall > runtime_.wall() - kMaxStatementAgeS;
       wall = clock.begin(wall) - 1)
    if (clock.name(wall) == statement.period) {
      statement.begins = clock.begin(wall);
      statement.ends = clock.end(wall);
    }
  if (statement.ends == 0)
    return reply_error(request_id, 404, "no such period: give the date on which it begins, within the last 400 days");
  runtime_.store(StoreList{std::string(wire::kProgressPrefix), ""}, kStoreReadTimeoutS,
                 [this, request_id, request, statement](const wire::StoreReply &progress_reply) {
                   if (progress_reply.status != 200 || progress_reply.more)
                     return reply_error(request_id, 503, "the state service did not answer");
                   SumsByTeam sums;
                   for (const auto &entry : progress_reply.entries)
                     if (auto shard = wire::progress_from_json(entry.key, entry.value)) add_sums(sums, shard->sums);
                   runtime_.store(StoreGet{wire::accounts_key(statement.period)}, kStoreReadTimeoutS,
                                  [this, request_id, request, statement, sums](const wire::StoreReply &reply) mutable {
                                    if (reply.status != 200 && reply.status != 404)
                                      return reply_error(request_id, 503, "the state service did not answer");
                                    if (reply.status == 200 && reply.entries.size() == 1)
                                      if (auto stored = wire::sums_from_json(reply.entries[0].value))
                                        add_sums(sums, *stored);
                                    const auto &budgets = operators_.budgets().teams;
                                    for (const auto &team : settings_.teams) {
                                      if (!request.team.empty() && request.team != team.name) continue;
                                      const auto budget = budgets.find(team.name);
                                      statement.teams.push_back(
                                          {team.name, sums[{statement.period, team.name}],
                                           budget == budgets.end() ? std::nullopt : std::optional(budget->second)});
                                    }
                                    reply_statement_jobs(request_id, request, std::move(statement));
                                  });
                 });
}

void AdministrationApiHandler::reply_statement_jobs(RequestId request_id, const wire::AdminRequest &request,
                                                    wire::AdminStatement statement) {
  runtime_.store(StoreList{std::string(wire::kEndPrefix), request.from.empty() ? "" : wire::end_key(request.from)},
                 kStoreReadTimeoutS,
                 [this, request_id, request, statement = std::move(statement)](const wire::StoreReply &reply) mutable {
                   if (reply.status != 200) return reply_error(request_id, 503, "the state service did not answer");
                   std::string last_id;
                   for (const auto &entry : reply.entries) {
                     last_id = entry.key.substr(entry.key.find('/') + 1);
                     const auto end = wire::end_from_json(entry.value);
                     if (!end || (!request.team.empty() && request.team != end->team)) continue;
                     if (end->end_wall < statement.begins || end->end_wall >= statement.ends) continue;
                     statement.jobs.push_back({to_admin_job(last_id, *end), end->usage, end->need});
                   }
                   if (reply.more) statement.next = last_id;
                   runtime_.reply_json(request_id, 200, wire::encode_statement(statement));
                 });
}

} // namespace loftrouter::core
