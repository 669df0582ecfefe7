#include "loftrouter/core/api/administration_api_handler.hpp"

#include <algorithm>
#include <map>

#include <fmt/format.h>

#include "loftrouter/wire/storage_keys.hpp"

namespace loftrouter::core {

namespace {
constexpr double kAdminDeadline = 2.0; // s
constexpr std::string_view kNoAccounts = "accounts are not kept here: switch them on in the features file";

void add(SumsByTeam &to, const SumsByTeam &from) {
  for (const auto &[key, row] : from)
    to[key] += row;
}

wire::AdminJob ended_job(const std::string &id, const EndRecord &end) {
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

void AdministrationApiHandler::fail(RequestId req, int status, std::string_view text) {
  runtime_.reply_json(req, status, wire::encode_admin_error(text), status == 503 ? std::optional(1) : std::nullopt);
}

void AdministrationApiHandler::take(AdminCommand &&cmd) {
  using Kind = wire::AdminRequest::Kind;
  const auto &ask = cmd.request;
  switch (ask.kind) {
  case Kind::Status:
    return status(cmd.req, ask);
  case Kind::Jobs:
  case Kind::Forecast:
    return jobs(cmd.req, ask, ask.kind == Kind::Forecast);
  case Kind::Report:
    return report(cmd.req, ask);
  case Kind::Statement:
    return statement(cmd.req, ask);
  default:
    return configuration_.take(cmd.req, ask);
  }
}

void AdministrationApiHandler::status(RequestId req, const wire::AdminRequest &ask) {
  wire::AdminStatus status;
  const bool leads = leadership_.leading();
  auto ago = [this](double at) { return at < -1e8 ? -1.0 : runtime_.now() - at; };
  status.node = settings_.node;
  status.role = leads                                  ? (leadership_.active() ? "leading" : "leading, paused")
                : leadership_.role() == Role::Follower ? "following"
                                                       : "taking over";
  status.leader = leads ? settings_.node : leadership_.leader_name();
  status.term = leads ? leadership_.term() : leadership_.leader_term();
  if (leads) status.leader_since = wire::clock_time(leadership_.leading_since_wall());
  status.state_age_s = ago(runtime_.state_service_answered_at());
  status.cloud_age_s = ago(runtime_.provider_answered_at());
  status.heartbeat_age_s = ago(connectivity_.last_heartbeat_at());
  status.connectivity = {connectivity_.own_record(), connectivity_.workers_by_zone()};
  for (const ReplicaIndex i : replicas_.indices()) {
    const auto &x = replicas_[i];
    const auto word = connectivity_.connectivity_of(i);
    status.replicas.push_back({replicas_.name(i), ago(x.status_as_of), x.state_service_lost,
                               x.service_status.can_forward, leads ? workers_.available_count(i) : 0,
                               word ? word->record : ConnectivityRecord{},
                               !word                  ? "nothing"
                               : word->over_peer_link ? "link"
                                                      : "state service",
                               x.ping_received_at < -1e8 ? "unknown"
                               : x.supports_dependencies ? "this or later"
                                                         : "earlier"});
  }
  const auto load = heartbeats_.load();
  status.load = {load.direct_per_s, load.max_direct_per_s, load.forwarded_per_s,
                 load.workers,      load.max_workers,      load.forwarding_wanted,
                 ask.process.cpu_s, runtime_.uptime_s(),   settings_.cpu_share};
  std::map<MachineKind, wire::AdminStatus::Kind> kinds;
  int silent = 0, ordered = 0;
  workers_.each([&](MachineIndex, const Machine &machine) {
    if (machine.type < 0) return;
    auto &k = kinds[{machine.type, machine.zone, machine.spot}];
    const bool quiet =
        machine.heartbeat.received() && machine.heartbeat_overdue(runtime_.now(), settings_.heartbeat_interval_s);
    ++(quiet ? k.unreachable : machine.heartbeat.received() ? k.up : k.starting);
    silent += quiet;
    ordered += machine.admin_state.has_value();
    if (!machine.heartbeat.received() || quiet) return;
    k.cpus += machine.size.cpus;
    k.used += machine.used.cpus;
  });
  for (const auto &kind : autoscaler_.kinds_without_capacity())
    kinds[kind].refused = true;
  for (auto &[key, k] : kinds) {
    const auto [type, zone, spot] = key;
    k.type = catalog_.type_name(type);
    k.zone = catalog_.zone_name(zone);
    k.spot = spot;
    status.fleet.push_back(k);
  }
  if (leads) status.served = service_levels_.rows();
  status.cell = settings_.cells.name;
  if (leads)
    for (const auto &c : federation_.cell_statuses())
      status.cells.push_back({c.name, c.last_heard_age_s, c.delegates, c.delegated_out_tasks, c.delegated_in_tasks});
  if (leads) { // only the leader knows
    for (const auto &t : settings_.teams)
      status.queues.push_back({.team = t.name});
    jobs_.each([&](JobIndex job_index, const Job &job) {
      if (job.cancelled || job.team < 0) return;
      auto &q = status.queues[static_cast<std::size_t>(job.team)];
      ++q.jobs;
      q.waiting += job.pending();
      q.running += job.placed + job.unaccounted;
      if (!dependencies_.ready(job_index))
        ++q.waiting_for_others;
      else if (job.pending())
        q.oldest_s = std::max(q.oldest_s, runtime_.wall() - dependencies_.ready_wall(job_index));
    });
  }
  status.troubles = troubles(status, silent, ordered);
  status.batch_ms = ask.process.batch_ms;
  status.queue_wait_ms = ask.process.queue_wait_ms;
  runtime_.reply_json(req, 200, wire::encode_status(status));
}

std::vector<std::string> AdministrationApiHandler::troubles(const wire::AdminStatus &status, int silent,
                                                            int ordered) const {
  std::vector<std::string> out;
  const bool leads = leadership_.leading();
  if (replicas_.state_service_lost())
    out.push_back(runtime_.state_service_answered_at_wall() > 0
                      ? fmt::format("this node gets no answer from the state service since {}{}",
                                    wire::clock_time(runtime_.state_service_answered_at_wall()),
                                    replicas_.state_service_lost_by_all() ? ", nor do its siblings" : "")
                      : "this node has had no answer from the state service yet");
  if (status.leader.empty())
    out.push_back(leadership_.leaderless_since_wall() > 0
                      ? fmt::format("no leader since {}", wire::clock_time(leadership_.leaderless_since_wall()))
                      : "no leader is known yet");
  if (leads && !leadership_.active())
    out.push_back("this node leads but starts nothing: its lease could not be renewed");
  if (leadership_.active() && !cancellations_.may_renew_leases())
    out.push_back(fmt::format("nothing is started: no news of cancellations since {}",
                              wire::clock_time(cancellations_.known_until_wall())));
  std::uint64_t unaccounted = 0;
  std::size_t suspects = 0;
  jobs_.each([&](JobIndex job_index, const Job &job) {
    unaccounted += job.unaccounted;
    suspects += !job.cancelled && job.team >= 0 && failure_attribution_.suspected(job_index);
  });
  if (leads && unaccounted && jobs_.unaccounted_until() > runtime_.now())
    out.push_back(fmt::format("took over at {}: tasks not found again by {} are started anew",
                              wire::clock_time(leadership_.leading_since_wall()),
                              wire::clock_time(runtime_.wall() + jobs_.unaccounted_until() - runtime_.now())));
  for (const auto &x : status.replicas)
    if (x.last_contact_s < 0 || x.last_contact_s > 3) out.push_back(fmt::format("sibling {} does not answer", x.node));
  if (leads && status.cloud_age_s > 15) out.push_back("the cloud does not answer: nothing is rented or given back");
  std::string refused;
  for (const auto &k : status.fleet)
    if (k.refused)
      refused += fmt::format("{}{}{} in {}", refused.empty() ? "" : ", ", k.spot ? "spot " : "", k.type, k.zone);
  if (!refused.empty()) out.push_back("the cloud has none to give of: " + refused);
  if (silent) out.push_back(fmt::format("machines that are silent: {}", silent));
  if (ordered) out.push_back(fmt::format("machines that take no tasks by an operator's order: {}", ordered));
  for (int t = 0; leads && t < static_cast<int>(settings_.teams.size()); ++t)
    if (ledger_.budget_warning_due(t))
      out.push_back(fmt::format("team {} has used {:.1f} of its {:g} CPU hours of this period{}",
                                settings_.teams[static_cast<std::size_t>(t)].name,
                                static_cast<double>(ledger_.used(t)) / accounts::kSumsPerHour,
                                ledger_.budget(t)->cpu_hours,
                                ledger_.budget_exhausted(t) ? ": nothing new of it is started" : ""));
  if (suspects) out.push_back(fmt::format("jobs that fail on every machine: {}; see /admin/v1/jobs", suspects));
  if (const auto late = status_reporter_.foreseen_late_count())
    out.push_back(fmt::format("jobs that will miss or have missed their time: {}; see /admin/v1/foreseen", late));
  return out;
}

// Open jobs by id, a page at a time: all of them, or those foreseen to be late.
void AdministrationApiHandler::jobs(RequestId req, const wire::AdminRequest &ask, bool foreseen) {
  if (!state_limits_.take_read(runtime_.now())) return fail(req, 503, "too many questions at once");
  runtime_.store(StoreList{std::string(wire::kOpenPrefix), ask.from.empty() ? "" : wire::open_key(ask.from)},
                 kAdminDeadline, [this, req, ask, foreseen](const wire::StoreReply &reply) {
                   if (reply.status != 200) return fail(req, 503, "the state service did not answer");
                   std::vector<wire::AdminJob> out;
                   std::string next;
                   for (const auto &e : reply.entries) {
                     auto open = wire::open_from_json(e.value);
                     if (!open) continue;
                     next = open->spec.id;
                     if (!ask.team.empty() && ask.team != open->spec.team) continue;
                     auto view = status_reporter_.view(open->spec.id, open->cancelled);
                     const bool late = status_reporter_.foreseen_late(open->spec.id);
                     if (foreseen && !late) continue;
                     out.push_back({open->spec.id, open->spec.job_class, open->spec.team,
                                    open->cancelled ? "being stopped"
                                    : view.running  ? "running"
                                                    : "waiting",
                                    view.reason, open->spec.tasks, view.done, view.running, open->submit_wall, 0,
                                    late});
                   }
                   runtime_.reply_json(req, 200, wire::encode_jobs(out, reply.more ? next : ""));
                 });
}

// What has ended within the period, a page of the records at a time.
void AdministrationApiHandler::report(RequestId req, const wire::AdminRequest &ask) {
  if (!state_limits_.take_read(runtime_.now())) return fail(req, 503, "too many questions at once");
  runtime_.store(StoreList{std::string(wire::kEndPrefix), ask.from.empty() ? "" : wire::end_key(ask.from)},
                 kAdminDeadline, [this, req, ask](const wire::StoreReply &reply) {
                   if (reply.status != 200) return fail(req, 503, "the state service did not answer");
                   std::vector<wire::AdminJob> out;
                   std::string next;
                   for (const auto &e : reply.entries) {
                     next = e.key.substr(e.key.find('/') + 1);
                     auto end = wire::end_from_json(e.value);
                     if (!end || (!ask.team.empty() && ask.team != end->team) ||
                         end->end_wall < runtime_.wall() - ask.period_s)
                       continue;
                     out.push_back(ended_job(next, *end));
                   }
                   runtime_.reply_json(req, 200, wire::encode_jobs(out, reply.more ? next : ""));
                 });
}

// What each team has used in a period, from the records, so that any node can tell it; then the jobs that ended in it,
// a page at a time. The records follow what happens within a second or two.
void AdministrationApiHandler::statement(RequestId req, const wire::AdminRequest &ask) {
  if (!ledger_.enabled()) return fail(req, 409, kNoAccounts);
  if (!state_limits_.take_read(runtime_.now(), 3)) return fail(req, 503, "too many questions at once");
  const auto &clock = operators_.budgets().clock;
  wire::AdminStatement statement;
  statement.period = ask.period.empty() ? clock.name(runtime_.wall()) : ask.period;
  for (double wall = runtime_.wall(); statement.ends == 0 && wall > runtime_.wall() - 400 * 86400.0;
       wall = clock.begin(wall) - 1)
    if (clock.name(wall) == statement.period) {
      statement.begins = clock.begin(wall);
      statement.ends = clock.end(wall);
    }
  if (statement.ends == 0)
    return fail(req, 404, "no such period: the date of its beginning is wanted, within 400 days");
  runtime_.store(StoreList{std::string(wire::kProgressPrefix), ""}, kAdminDeadline,
                 [this, req, ask, statement](const wire::StoreReply &r) {
                   if (r.status != 200 || r.more) return fail(req, 503, "the state service did not answer");
                   SumsByTeam sums;
                   for (const auto &e : r.entries)
                     if (auto shard = wire::progress_from_json(e.key, e.value)) add(sums, shard->sums);
                   runtime_.store(StoreGet{wire::accounts_key(statement.period)}, kAdminDeadline,
                                  [this, req, ask, statement, sums](const wire::StoreReply &reply) mutable {
                                    if (reply.status != 200 && reply.status != 404)
                                      return fail(req, 503, "the state service did not answer");
                                    if (reply.status == 200 && reply.entries.size() == 1)
                                      if (auto kept = wire::sums_from_json(reply.entries[0].value)) add(sums, *kept);
                                    const auto &budgets = operators_.budgets().teams;
                                    for (const auto &t : settings_.teams) {
                                      if (!ask.team.empty() && ask.team != t.name) continue;
                                      const auto b = budgets.find(t.name);
                                      statement.teams.push_back(
                                          {t.name, sums[{statement.period, t.name}],
                                           b == budgets.end() ? std::nullopt : std::optional(b->second)});
                                    }
                                    statement_jobs(req, ask, std::move(statement));
                                  });
                 });
}

void AdministrationApiHandler::statement_jobs(RequestId req, const wire::AdminRequest &ask,
                                              wire::AdminStatement statement) {
  runtime_.store(StoreList{std::string(wire::kEndPrefix), ask.from.empty() ? "" : wire::end_key(ask.from)},
                 kAdminDeadline,
                 [this, req, ask, statement = std::move(statement)](const wire::StoreReply &reply) mutable {
                   if (reply.status != 200) return fail(req, 503, "the state service did not answer");
                   std::string last;
                   for (const auto &e : reply.entries) {
                     last = e.key.substr(e.key.find('/') + 1);
                     const auto end = wire::end_from_json(e.value);
                     if (!end || (!ask.team.empty() && ask.team != end->team)) continue;
                     if (end->end_wall < statement.begins || end->end_wall >= statement.ends) continue;
                     statement.jobs.push_back({ended_job(last, *end), end->usage, end->need});
                   }
                   if (reply.more) statement.next = last;
                   runtime_.reply_json(req, 200, wire::encode_statement(statement));
                 });
}

} // namespace loftrouter::core
