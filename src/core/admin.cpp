// The administration API: what an operator asks of any node, and the operators' own settings.
#include "loftrouter/core/core.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace loft::core {

namespace {
constexpr double kConfEvery = 5.0;
constexpr double kAdminDeadline = 2.0;
const char *const kTunablesKey = "conf/operator", *const kOrdersKey = "conf/machines";
} // namespace

void Core::admin_fail(RequestId req, int status, std::string_view text) {
  effects_.replies.push_back(
      {req, status, wire::encode_admin_error(text), status == 503 ? std::optional(1) : std::nullopt, true});
}

void Core::on(CmdAdmin &&cmd) {
  using Kind = wire::AdminRequest::Kind;
  const auto &ask = cmd.ask;
  switch (ask.kind) {
  case Kind::Status:
    return admin_status(cmd.req, ask);
  case Kind::Jobs:
  case Kind::Foreseen:
    return admin_jobs(cmd.req, ask, ask.kind == Kind::Foreseen);
  case Kind::Report:
    return admin_report(cmd.req, ask);
  case Kind::Settings:
    return effects_.replies.push_back({cmd.req, 200, wire::encode_settings(tunables_, machine_orders_), {}, true});
  case Kind::Change:
  case Kind::Machine:
    return admin_change(cmd.req, ask);
  }
}

void Core::admin_status(RequestId req, const wire::AdminRequest &ask) {
  wire::AdminStatus s;
  const bool leads = role_ == Role::Leading;
  auto ago = [this](double at) { return at < -1e8 ? -1.0 : now() - at; };
  s.node = settings_.node;
  s.role = leads ? (active() ? "leading" : "leading, paused") : role_ == Role::Follower ? "following" : "taking over";
  s.leader = leads ? settings_.node : leader_name_;
  s.term = leads ? term_ : leader_term_;
  if (leads) s.leader_since = wire::clock_time(leading_since_wall_);
  s.state_age_s = ago(store_ok_at_);
  s.cloud_age_s = ago(cloud_ok_at_);
  s.report_age_s = ago(last_report_at_);
  for (std::size_t i = 0; i < siblings_.size(); ++i)
    s.siblings.push_back({settings_.siblings[i].node, ago(siblings_[i].stated_at), siblings_[i].cut_off,
                          siblings_[i].hears_workers, siblings_[i].passes, leads ? kept_by(static_cast<int>(i)) : 0});
  s.load = {spread_.direct_rate(),
            spread_.limits().reports,
            spread_.passed_rate(),
            leads ? kept_by(-1) : relay_.workers(),
            leads ? spread_.limits().sockets : relay_.most(),
            leads && spread_.wanted(),
            ask.cpu_s,
            now() - started_at_,
            settings_.cpu_share};
  std::map<std::tuple<int, int, bool>, wire::AdminStatus::Kind> kinds;
  int silent = 0, ordered = 0;
  for (const auto &m : machines_) {
    if (!m || m->type < 0) continue;
    auto &k = kinds[{m->type, m->zone, m->spot}];
    const bool quiet = m->heard && now() - m->last_answer > 2.5 * settings_.report_s + 1;
    ++(quiet ? k.silent : m->heard ? k.up : k.starting);
    silent += quiet;
    ordered += m->order.has_value();
    if (!m->heard || quiet) continue;
    k.cpus += m->size.cpus;
    k.used += m->used.cpus;
  }
  for (const auto &[key, until] : no_capacity_until_)
    if (now() < until) kinds[key].refused = true;
  std::string refused;
  for (auto &[key, k] : kinds) {
    auto [type, zone, spot] = key;
    k.type = type_names_.name(type);
    k.zone = zone_names_.name(zone);
    k.spot = spot;
    if (k.refused)
      refused += fmt::format("{}{}{} in {}", refused.empty() ? "" : ", ", spot ? "spot " : "", k.type, k.zone);
    s.fleet.push_back(k);
  }
  std::size_t suspects = 0, late = 0;
  s.queues.resize(settings_.teams.size());
  for (std::size_t t = 0; t < s.queues.size(); ++t)
    s.queues[t].team = settings_.teams[t].name;
  for (const auto &j : jobs_) {
    if (!j || j->cancelled || j->team < 0) continue;
    auto &q = s.queues[static_cast<std::size_t>(j->team)];
    const auto waiting = j->spec.tasks - j->done - j->placed - j->unaccounted;
    ++q.jobs;
    q.waiting += waiting;
    q.running += j->placed + j->unaccounted;
    if (waiting) q.oldest_s = std::max(q.oldest_s, now_.wall - j->submit_wall);
    suspects += suspect(*j);
    late += foreseen_late(*j);
  }
  if (!leads) {
    s.queues.clear(); // only the leader knows
    late = static_cast<std::size_t>(
        std::count_if(news_.begin(), news_.end(), [](const auto &n) { return n.second.late; }));
  }
  auto trouble = [&](std::string text) { s.troubles.push_back(std::move(text)); };
  if (cut_off())
    trouble(store_ok_wall_ > 0
                ? fmt::format("this node gets no answer from the state service since {}{}",
                              wire::clock_time(store_ok_wall_), common_outage() ? ", nor do its siblings" : "")
                : "this node has had no answer from the state service yet");
  if (s.leader.empty())
    trouble(leaderless_since_wall_ > 0 ? fmt::format("no leader since {}", wire::clock_time(leaderless_since_wall_))
                                       : "no leader is known yet");
  if (leads && !active()) trouble("this node leads but starts nothing: its lease could not be renewed");
  if (leads && active() && !informed())
    trouble(fmt::format("nothing is started: no news of cancellations since {}", wire::clock_time(informed_wall_)));
  std::uint64_t unaccounted = 0;
  for (const auto &j : jobs_)
    if (j) unaccounted += j->unaccounted;
  if (leads && unaccounted && unaccounted_until_ > now())
    trouble(fmt::format("took over at {}: tasks not found again by {} are started anew",
                        wire::clock_time(leading_since_wall_),
                        wire::clock_time(now_.wall + unaccounted_until_ - now())));
  for (const auto &x : s.siblings)
    if (x.heard_s < 0 || x.heard_s > 3) trouble(fmt::format("sibling {} does not answer", x.node));
  if (leads && cloud_ok_at_ > -1e8 && now() - cloud_ok_at_ > 15)
    trouble("the cloud does not answer: nothing is rented or given back");
  if (!refused.empty()) trouble("the cloud has none to give of: " + refused);
  if (silent) trouble(fmt::format("machines that are silent: {}", silent));
  if (ordered) trouble(fmt::format("machines that take no tasks by an operator's order: {}", ordered));
  if (suspects) trouble(fmt::format("jobs that fail on every machine: {}; see /admin/v1/jobs", suspects));
  if (late) trouble(fmt::format("jobs that will miss or have missed their time: {}; see /admin/v1/foreseen", late));
  s.round_p50 = ask.round_p50;
  s.round_p99 = ask.round_p99;
  s.queue_p50 = ask.queue_p50;
  s.queue_p99 = ask.queue_p99;
  effects_.replies.push_back({req, 200, wire::encode_status(s), {}, true});
}

// Open jobs by id, a page at a time: all of them, or those foreseen to be late.
void Core::admin_jobs(RequestId req, const wire::AdminRequest &ask, bool foreseen) {
  if (!user_reads_.take(now())) return admin_fail(req, 503, "too many questions at once");
  store(StoreList{"open/", ask.from.empty() ? "" : "open/" + ask.from}, kAdminDeadline,
        [this, req, ask, foreseen](const wire::StoreReply &r) {
          if (r.status != 200) return admin_fail(req, 503, "the state service did not answer");
          std::vector<wire::AdminJob> out;
          std::string next;
          for (const auto &e : r.entries) {
            auto open = wire::open_from_json(e.value);
            if (!open) continue;
            next = open->spec.id;
            if (!ask.team.empty() && ask.team != open->spec.team) continue;
            auto view = view_of(open->spec.id, open->cancelled);
            auto it = news_.find(open->spec.id);
            auto mine = job_index_.find(open->spec.id);
            const bool late = role_ == Role::Leading ? mine != job_index_.end() && foreseen_late(job(mine->second))
                                                     : it != news_.end() && it->second.late;
            if (foreseen && !late) continue;
            out.push_back({open->spec.id, open->spec.job_class, open->spec.team,
                           open->cancelled ? "being stopped"
                           : view.running  ? "running"
                                           : "waiting",
                           view.reason, open->spec.tasks, view.done, view.running, open->submit_wall, 0, late});
          }
          effects_.replies.push_back({req, 200, wire::encode_jobs(out, r.more ? next : ""), {}, true});
        });
}

// What has ended within the period, a page of the records at a time.
void Core::admin_report(RequestId req, const wire::AdminRequest &ask) {
  if (!user_reads_.take(now())) return admin_fail(req, 503, "too many questions at once");
  store(StoreList{"end/", ask.from.empty() ? "" : "end/" + ask.from}, kAdminDeadline,
        [this, req, ask](const wire::StoreReply &r) {
          if (r.status != 200) return admin_fail(req, 503, "the state service did not answer");
          std::vector<wire::AdminJob> out;
          std::string next;
          for (const auto &e : r.entries) {
            next = e.key.substr(e.key.find('/') + 1);
            auto end = wire::end_from_json(e.value);
            if (!end || (!ask.team.empty() && ask.team != end->team) || end->end_wall < now_.wall - ask.period_s)
              continue;
            out.push_back({next, end->job_class, end->team, end->cancelled ? "cancelled" : "done", end->reason,
                           end->tasks, end->cancelled ? 0 : end->tasks, 0, end->submit_wall, end->end_wall, end->late});
          }
          effects_.replies.push_back({req, 200, wire::encode_jobs(out, r.more ? next : ""), {}, true});
        });
}

// Settings and orders about machines go straight to the state service; the leader reads them every few seconds.
void Core::admin_change(RequestId req, const wire::AdminRequest &ask) {
  const bool settings = ask.kind == wire::AdminRequest::Kind::Change;
  const std::string key = settings ? kTunablesKey : kOrdersKey;
  if (!user_writes_.take(now())) return admin_fail(req, 503, "too many requests at once");
  store(StoreGet{key}, kAdminDeadline / 2, [this, req, ask, settings, key](const wire::StoreReply &r) {
    if (r.status != 200 && r.status != 404) return admin_fail(req, 503, "the state service did not answer");
    const auto stamp = r.status == 200 && !r.entries.empty() ? r.entries[0].stamp : 0;
    const wire::Json before = stamp ? r.entries[0].value : wire::Json::object();
    wire::Json after;
    if (settings) {
      wire::Tunables t;
      (void)wire::apply_tunables(before, t);
      (void)wire::apply_tunables(ask.change, t); // checked at the door
      after = wire::to_json(t);
    } else {
      auto orders = wire::machine_orders_from_json(before);
      if (!ask.order)
        orders.erase(ask.machine);
      else if (orders.size() < wire::kMostMachineOrders || orders.contains(ask.machine))
        orders[ask.machine] = *ask.order;
      else
        return admin_fail(req, 409, "too many machines are under an order; release some first");
      after = wire::to_json(orders);
    }
    store(StoreCommit{{{key, stamp}}, {{key, after, 0}}}, kAdminDeadline / 2,
          [this, req, key, after](const wire::StoreReply &c) {
            if (c.status == 409) return admin_fail(req, 409, "somebody else has just changed it; ask again");
            if (c.status != 200) return admin_fail(req, 503, "the state service did not confirm the change");
            take_conf({{key, after, c.revision, 0}});
            effects_.replies.push_back({req, 200, wire::encode_settings(tunables_, machine_orders_), {}, true});
          });
  });
}

void Core::load_conf() {
  if (conf_loading_ || now() < next_conf_) return;
  next_conf_ = now() + kConfEvery;
  conf_loading_ = true;
  store(StoreList{"conf/", ""}, kAdminDeadline, [this](const wire::StoreReply &r) {
    conf_loading_ = false;
    if (r.status == 200) take_conf(r.entries);
  });
}

void Core::take_conf(const std::vector<wire::Entry> &entries) {
  for (const auto &e : entries) {
    if (e.key == kTunablesKey) {
      wire::Tunables t;
      if (auto problem = wire::apply_tunables(e.value, t))
        log(LogLevel::Error, fmt::format("operators' settings: {}", *problem));
      else
        tunables_ = t;
    } else if (e.key == kOrdersKey) {
      machine_orders_ = wire::machine_orders_from_json(e.value);
    }
  }
  for (auto &m : machines_) {
    if (!m) continue;
    auto it = machine_orders_.find(m->name);
    m->order = it == machine_orders_.end() ? std::nullopt : std::optional(it->second);
  }
}

} // namespace loft::core
