#include "loftrouter/core/administration.hpp"

#include <algorithm>
#include <map>

#include <fmt/format.h>

namespace loft::core {

namespace {
constexpr double kAdminDeadline = 2.0; // s
} // namespace

void Administration::fail(RequestId req, int status, std::string_view text) {
  port_.reply_json(req, status, wire::encode_admin_error(text), status == 503 ? std::optional(1) : std::nullopt);
}

void Administration::take(CmdAdmin &&cmd) {
  using Kind = wire::AdminRequest::Kind;
  const auto &ask = cmd.ask;
  switch (ask.kind) {
  case Kind::Status:
    return status(cmd.req, ask);
  case Kind::Jobs:
  case Kind::Foreseen:
    return jobs(cmd.req, ask, ask.kind == Kind::Foreseen);
  case Kind::Report:
    return report(cmd.req, ask);
  case Kind::Settings:
    return port_.reply_json(cmd.req, 200, wire::encode_settings(operators_.tunables(), operators_.orders()));
  case Kind::Change:
  case Kind::Machine:
    return change(cmd.req, ask);
  }
}

void Administration::status(RequestId req, const wire::AdminRequest &ask) {
  wire::AdminStatus s;
  const bool leads = lead_.leading();
  auto ago = [this](double at) { return at < -1e8 ? -1.0 : port_.now() - at; };
  s.node = settings_.node;
  s.role = leads                            ? (lead_.active() ? "leading" : "leading, paused")
           : lead_.role() == Role::Follower ? "following"
                                            : "taking over";
  s.leader = leads ? settings_.node : lead_.leader_name();
  s.term = leads ? lead_.term() : lead_.leader_term();
  if (leads) s.leader_since = wire::clock_time(lead_.leading_since_wall());
  s.state_age_s = ago(port_.state_ok_at());
  s.cloud_age_s = ago(port_.cloud_ok_at());
  s.report_age_s = ago(siblings_.last_report_at());
  for (std::size_t i = 0; i < siblings_.count(); ++i) {
    const auto &x = siblings_[i];
    s.siblings.push_back({siblings_.name(i), ago(x.stated_at), x.cut_off, x.hears_workers, x.passes,
                          leads ? fleet_.kept_by(static_cast<int>(i)) : 0});
  }
  const auto load = reports_.load();
  s.load = {load.reports, load.reports_most, load.passed,  load.workers,       load.workers_most,
            load.spreads, ask.cpu_s,         port_.up_s(), settings_.cpu_share};
  std::map<MachineKind, wire::AdminStatus::Kind> kinds;
  int silent = 0, ordered = 0;
  fleet_.each([&](int, const Machine &m) {
    if (m.type < 0) return;
    auto &k = kinds[{m.type, m.zone, m.spot}];
    const bool quiet = m.heard && m.silent(port_.now(), settings_.report_s);
    ++(quiet ? k.silent : m.heard ? k.up : k.starting);
    silent += quiet;
    ordered += m.order.has_value();
    if (!m.heard || quiet) return;
    k.cpus += m.size.cpus;
    k.used += m.used.cpus;
  });
  for (const auto &kind : scaler_.refused_kinds())
    kinds[kind].refused = true;
  for (auto &[key, k] : kinds) {
    const auto [type, zone, spot] = key;
    k.type = catalogue_.type_name(type);
    k.zone = catalogue_.zone_name(zone);
    k.spot = spot;
    s.fleet.push_back(k);
  }
  if (leads) { // only the leader knows
    for (const auto &t : settings_.teams)
      s.queues.push_back({.team = t.name});
    jobs_.each([&](int, const Job &j) {
      if (j.cancelled || j.team < 0) return;
      auto &q = s.queues[static_cast<std::size_t>(j.team)];
      ++q.jobs;
      q.waiting += j.pending();
      q.running += j.placed + j.unaccounted;
      if (j.pending()) q.oldest_s = std::max(q.oldest_s, port_.wall() - j.submit_wall);
    });
  }
  s.troubles = troubles(s, silent, ordered);
  s.round_p50 = ask.round_p50;
  s.round_p99 = ask.round_p99;
  s.queue_p50 = ask.queue_p50;
  s.queue_p99 = ask.queue_p99;
  port_.reply_json(req, 200, wire::encode_status(s));
}

std::vector<std::string> Administration::troubles(const wire::AdminStatus &s, int silent, int ordered) const {
  std::vector<std::string> out;
  const bool leads = lead_.leading();
  if (siblings_.cut_off())
    out.push_back(port_.state_ok_wall() > 0 ? fmt::format("this node gets no answer from the state service since {}{}",
                                                          wire::clock_time(port_.state_ok_wall()),
                                                          siblings_.common_outage() ? ", nor do its siblings" : "")
                                            : "this node has had no answer from the state service yet");
  if (s.leader.empty())
    out.push_back(lead_.leaderless_since_wall() > 0
                      ? fmt::format("no leader since {}", wire::clock_time(lead_.leaderless_since_wall()))
                      : "no leader is known yet");
  if (leads && !lead_.active()) out.push_back("this node leads but starts nothing: its lease could not be renewed");
  if (lead_.active() && !watch_.informed())
    out.push_back(
        fmt::format("nothing is started: no news of cancellations since {}", wire::clock_time(watch_.informed_wall())));
  std::uint64_t unaccounted = 0;
  std::size_t suspects = 0;
  jobs_.each([&](int j, const Job &n) {
    unaccounted += n.unaccounted;
    suspects += !n.cancelled && n.team >= 0 && judge_.suspect(j);
  });
  if (leads && unaccounted && jobs_.unaccounted_until() > port_.now())
    out.push_back(fmt::format("took over at {}: tasks not found again by {} are started anew",
                              wire::clock_time(lead_.leading_since_wall()),
                              wire::clock_time(port_.wall() + jobs_.unaccounted_until() - port_.now())));
  for (const auto &x : s.siblings)
    if (x.heard_s < 0 || x.heard_s > 3) out.push_back(fmt::format("sibling {} does not answer", x.node));
  if (leads && s.cloud_age_s > 15) out.push_back("the cloud does not answer: nothing is rented or given back");
  std::string refused;
  for (const auto &k : s.fleet)
    if (k.refused)
      refused += fmt::format("{}{}{} in {}", refused.empty() ? "" : ", ", k.spot ? "spot " : "", k.type, k.zone);
  if (!refused.empty()) out.push_back("the cloud has none to give of: " + refused);
  if (silent) out.push_back(fmt::format("machines that are silent: {}", silent));
  if (ordered) out.push_back(fmt::format("machines that take no tasks by an operator's order: {}", ordered));
  if (suspects) out.push_back(fmt::format("jobs that fail on every machine: {}; see /admin/v1/jobs", suspects));
  if (const auto late = insight_.foreseen_late_count())
    out.push_back(fmt::format("jobs that will miss or have missed their time: {}; see /admin/v1/foreseen", late));
  return out;
}

// Open jobs by id, a page at a time: all of them, or those foreseen to be late.
void Administration::jobs(RequestId req, const wire::AdminRequest &ask, bool foreseen) {
  if (!budget_.take_read(port_.now())) return fail(req, 503, "too many questions at once");
  port_.store(StoreList{"open/", ask.from.empty() ? "" : "open/" + ask.from}, kAdminDeadline,
              [this, req, ask, foreseen](const wire::StoreReply &r) {
                if (r.status != 200) return fail(req, 503, "the state service did not answer");
                std::vector<wire::AdminJob> out;
                std::string next;
                for (const auto &e : r.entries) {
                  auto open = wire::open_from_json(e.value);
                  if (!open) continue;
                  next = open->spec.id;
                  if (!ask.team.empty() && ask.team != open->spec.team) continue;
                  auto view = insight_.view(open->spec.id, open->cancelled);
                  const bool late = insight_.foreseen_late(open->spec.id);
                  if (foreseen && !late) continue;
                  out.push_back({open->spec.id, open->spec.job_class, open->spec.team,
                                 open->cancelled ? "being stopped"
                                 : view.running  ? "running"
                                                 : "waiting",
                                 view.reason, open->spec.tasks, view.done, view.running, open->submit_wall, 0, late});
                }
                port_.reply_json(req, 200, wire::encode_jobs(out, r.more ? next : ""));
              });
}

// What has ended within the period, a page of the records at a time.
void Administration::report(RequestId req, const wire::AdminRequest &ask) {
  if (!budget_.take_read(port_.now())) return fail(req, 503, "too many questions at once");
  port_.store(
      StoreList{"end/", ask.from.empty() ? "" : "end/" + ask.from}, kAdminDeadline,
      [this, req, ask](const wire::StoreReply &r) {
        if (r.status != 200) return fail(req, 503, "the state service did not answer");
        std::vector<wire::AdminJob> out;
        std::string next;
        for (const auto &e : r.entries) {
          next = e.key.substr(e.key.find('/') + 1);
          auto end = wire::end_from_json(e.value);
          if (!end || (!ask.team.empty() && ask.team != end->team) || end->end_wall < port_.wall() - ask.period_s)
            continue;
          out.push_back({next, end->job_class, end->team, end->cancelled ? "cancelled" : "done", end->reason,
                         end->tasks, end->cancelled ? 0 : end->tasks, 0, end->submit_wall, end->end_wall, end->late});
        }
        port_.reply_json(req, 200, wire::encode_jobs(out, r.more ? next : ""));
      });
}

// Settings and orders about machines go straight to the state service; the leader reads them every few seconds.
void Administration::change(RequestId req, const wire::AdminRequest &ask) {
  const bool settings = ask.kind == wire::AdminRequest::Kind::Change;
  const std::string key = settings ? Operators::kTunablesKey : Operators::kOrdersKey;
  if (!budget_.take_write(port_.now())) return fail(req, 503, "too many requests at once");
  port_.store(StoreGet{key}, kAdminDeadline / 2, [this, req, ask, settings, key](const wire::StoreReply &r) {
    if (r.status != 200 && r.status != 404) return fail(req, 503, "the state service did not answer");
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
        return fail(req, 409, "too many machines are under an order; release some first");
      after = wire::to_json(orders);
    }
    port_.store(StoreCommit{{{key, stamp}}, {{key, after, 0}}}, kAdminDeadline / 2,
                [this, req, key, after](const wire::StoreReply &c) {
                  if (c.status == 409) return fail(req, 409, "somebody else has just changed it; ask again");
                  if (c.status != 200) return fail(req, 503, "the state service did not confirm the change");
                  operators_.take({{key, after, c.revision, 0}});
                  port_.reply_json(req, 200, wire::encode_settings(operators_.tunables(), operators_.orders()));
                });
  });
}

} // namespace loft::core
