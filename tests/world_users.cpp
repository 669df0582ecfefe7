// The simulated users and operators, and what they must never be told.
#include "world.hpp"

#include <algorithm>

namespace loftrouter::test {

using nlohmann::json;

JobSpec World::job(Shape shape, std::uint32_t tasks, double cpus, double run_s, const std::string &team) {
  JobSpec s;
  s.id = job_name(next_job_++);
  s.job_class = shape == Shape::Gang ? "gang" : "array";
  s.team = team;
  s.shape = shape;
  s.tasks = tasks;
  s.need = {cpus, 0, cpus * 2};
  s.estimate_s = run_s;
  s.image = "img-" + std::to_string(rng_() % 3);
  s.image_gb = 1;
  s.spot = chance(0.5);
  return s;
}

std::string World::submit(JobSpec spec) {
  auto &told = told_[spec.id];
  if (told.finished.empty()) {
    told.spec = spec;
    told.finished.assign(spec.tasks, 0);
  }
  int node = static_cast<int>(rng_() % nodes_.size());
  auto settled = std::make_shared<bool>(false);
  auto retry = [this, spec, settled] {
    if (*settled) return;
    *settled = true;
    submit(spec);
  };
  ask_as_user(
      node,
      [spec](core::RequestId q) {
        return core::SubmitCommand{q, spec};
      },
      [this, spec, settled, retry](const core::Reply &r) {
        judge_answer(spec, r.status);
        if (*settled) return;
        Told &x = told_[spec.id];
        if (r.status == 201 || r.status == 200) {
          *settled = true;
          if (!x.accepted) {
            x.accepted = true;
            ++accepted_jobs;
            schedule(t_ + 2, [this, id = spec.id] { poll(id); });
          }
        } else {
          schedule(t_ + 1, retry);
        }
      });
  schedule(t_ + 5, retry);
  return spec.id;
}

void World::confirm_cancelled(Told &told) {
  if (told.cancelled) return;
  told.cancelled = true;
  told.cancelled_at = t_;
  ++cancelled_jobs;
}

void World::poll(const std::string &id) {
  Told &x = told_[id];
  if (x.done || (x.cancelled && o_.told_once)) return;
  schedule(t_ + (o_.users_at_once ? 1 : 5), [this, id] { poll(id); });
  bool was_cancelled = x.cancelled;
  ask_as_user(
      static_cast<int>(rng_() % nodes_.size()),
      [id](core::RequestId q) {
        return core::LookupCommand{q, id};
      },
      [this, id, was_cancelled](const core::Reply &r) {
        Told &y = told_[id];
        if (r.status == 404) break_rule("forgotten " + id);
        if (r.status != 200) return;
        auto state = wire::decode(r.body).value()["status"].get<std::string>();
        if (state == "done") {
          if (std::count(y.finished.begin(), y.finished.end(), 1) != static_cast<long>(y.finished.size()))
            break_rule("not_done " + id);
          if (was_cancelled) break_rule("went_back " + id);
          if (!y.done) ++finished_jobs;
          y.done = true;
        } else if (state == "aborted") {
          const bool needs = needs_cancelled(id, -1);
          if (!y.cancel_asked && !needs) break_rule("went_back: cancelled by nobody " + id);
          if (needs) confirm_cancelled(y);
        } else if (was_cancelled) {
          break_rule("went_back " + id + " " + state);
        } else if (t_ > o_.cancel_s && needs_cancelled(id, t_ - o_.cancel_s)) {
          break_rule("orphaned " + id + " " + state);
        }
      });
}

bool World::needs_cancelled(const std::string &id, double t) {
  std::vector<std::string> look{id};
  std::set<std::string> seen;
  while (!look.empty()) {
    const Told &x = told_[look.back()];
    look.pop_back();
    for (const auto &name : x.spec.dependencies) {
      if (!seen.insert(name).second) continue;
      const Told &named = told_[name];
      if (named.cancel_asked && (t < 0 || (named.cancelled && named.cancelled_at <= t))) return true;
      look.push_back(name);
    }
  }
  return false;
}

bool World::never_runs(const JobSpec &spec) const {
  const auto team = std::find_if(o_.teams.begin(), o_.teams.end(), [&](const Team &t) { return t.name == spec.team; });
  if (team == o_.teams.end()) return true;
  const double times = spec.shape == Shape::Array ? 1 : spec.tasks;
  if ((team->cpus_max > 0 && spec.need.cpus * times > team->cpus_max + 1e-6) ||
      (team->gpus_max > 0 && spec.need.gpus * times > team->gpus_max + 1e-6))
    return true;
  auto fits_in = [&](const std::string &zone) {
    return (!spec.zone || *spec.zone == zone) && std::any_of(o_.types.begin(), o_.types.end(), [&](const auto &t) {
             return spec.need.fits(t.size) && std::find(t.zones.begin(), t.zones.end(), zone) != t.zones.end() &&
                    (!spec.types || std::find(spec.types->begin(), spec.types->end(), t.name) != spec.types->end());
           });
  };
  const int zones = fits_in("a") + fits_in("b"),
            at_once = spec.shape == Shape::Array ? 1 : static_cast<int>(spec.tasks);
  // Of those that run at the same time at most half, rounded up, may be in each zone that they may be in.
  const int room = !spec.spread ? at_once : (spec.one_zone ? std::min(1, zones) : zones) * ((at_once + 1) / 2);
  return zones == 0 || room < at_once;
}

// By the published rules alone, whatever the node believes.
void World::judge_answer(const JobSpec &spec, int status) {
  const bool refused = status >= 400 && status < 500 && status != 429;
  if (refused && told_[spec.id].accepted) break_rule("forgotten: refused " + spec.id);
  if (refused && !never_runs(spec) && spec.dependencies.empty()) break_rule("refused though it can run " + spec.id);
  if (status == 201 && never_runs(spec)) break_rule("accepted though it cannot run " + spec.id);
}

template <class Cmd> std::shared_ptr<World::Answer> World::ask_once(int node, const Cmd &cmd) {
  auto out = std::make_shared<Answer>();
  ask(
      node,
      [cmd](core::RequestId q) {
        Cmd mine = cmd;
        mine.req = q;
        return mine;
      },
      [this, out, cmd](const core::Reply &r) {
        *out = {r.status, wire::decode(r.body).value_or(json())};
        if constexpr (std::is_same_v<Cmd, core::CancelCommand>)
          if (r.status == 200 && out->body["status"] == "aborted") confirm_cancelled(told_[cmd.id]);
        if constexpr (requires { cmd.spec; }) {
          judge_answer(cmd.spec, r.status);
          if (r.status == 201) told_[cmd.spec.id].accepted = true;
        }
      });
  return out;
}

std::shared_ptr<World::Answer> World::submit_at(int node, const JobSpec &spec) {
  auto &told = told_[spec.id];
  if (told.finished.empty()) { // not again
    told.spec = spec;
    told.finished.assign(spec.tasks, 0);
  }
  return ask_once(node, core::SubmitCommand{0, spec});
}

std::shared_ptr<World::Answer> World::look_up(int node, const std::string &id) {
  return ask_once(node, core::LookupCommand{0, id});
}

std::shared_ptr<World::Answer> World::abort_at(int node, const std::string &id) {
  told_[id].cancel_asked = true;
  return ask_once(node, core::CancelCommand{0, id});
}

std::shared_ptr<World::Answer> World::up(int node) {
  return ask_once(node, core::HealthCheckCommand{0});
}

std::shared_ptr<World::Answer> World::admin(int node, const std::string &method, const std::string &target,
                                            const std::string &body) {
  auto out = std::make_shared<Answer>();
  auto read = wire::read_admin_request(method, target, body);
  if (auto *e = std::get_if<wire::AdminError>(&read)) {
    *out = {e->status, e->text};
    return out;
  }
  ask(
      node,
      [&read](core::RequestId q) {
        return core::AdminCommand{q, std::get<wire::AdminRequest>(read)};
      },
      [out](const core::Reply &r) {
        *out = {r.status, json::parse(r.body, nullptr, false)};
      });
  return out;
}

void World::cancel(const std::string &id, int node) {
  Told &x = told_[id];
  x.cancel_asked = true;
  if (x.cancelled || x.done) return;
  auto settled = std::make_shared<bool>(false);
  auto retry = [this, id, settled] {
    if (*settled) return;
    *settled = true;
    cancel(id);
  };
  ask_as_user(
      node >= 0 ? node : static_cast<int>(rng_() % nodes_.size()),
      [id](core::RequestId q) {
        return core::CancelCommand{q, id};
      },
      [this, id, settled, retry](const core::Reply &r) {
        if (*settled) return;
        if (r.status != 200) {
          schedule(t_ + 1, retry);
          return;
        }
        *settled = true;
        auto state = wire::decode(r.body).value()["status"].get<std::string>();
        if (state == "aborted") confirm_cancelled(told_[id]);
      });
  schedule(t_ + 5, retry);
}

} // namespace loftrouter::test
