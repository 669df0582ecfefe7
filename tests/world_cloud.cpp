// The simulated cloud and its machines.
#include "world.hpp"

#include <algorithm>

namespace loftrouter::test {

void World::cloud_op(int i, const core::CloudOp &op) {
  int life = nodes_[static_cast<std::size_t>(i)].life;
  auto done = std::make_shared<bool>(false);
  auto answer = [this, i, life, id = op.op, done](wire::CloudReply r) {
    if (*done) return;
    *done = true;
    if (nodes_[static_cast<std::size_t>(i)].life == life) push(i, core::CloudReplyCommand{id, std::move(r)});
  };
  schedule(t_ + op.timeout_s, [answer] { answer({}); });
  double there = t_ + uniform(0.02, 0.1);
  bool lose_answer = chance(o_.loss);
  if (chance(o_.loss)) there = t_ + uniform(1, 60);
  if (const Link &l = nodes_[static_cast<std::size_t>(i)].cloud; l.cut(t_)) {
    if (l.how == Cut::Drop || l.how == Cut::Refuse) return;
    if (l.how == Cut::Hold) there = l.cut_until + uniform(0, 0.01);
    if (l.how == Cut::Slow) there = t_ + uniform(0.3, 1.5);
    lose_answer |= l.how == Cut::NoAnswers;
  }
  schedule(there, [this, op, answer, lose_answer] {
    wire::CloudReply r;
    r.status = 200;
    if (std::holds_alternative<core::CloudTypes>(op.request)) {
      r.types = o_.types;
    } else if (auto *l = std::get_if<core::CloudList>(&op.request)) {
      for (auto &b : machines_) {
        if (b.gone || b.name <= l->from || t_ - b.rented < 3) continue;
        r.machines.push_back({b.name, "", b.type, b.zone, b.spot,
                              b.failed ? MachineStatus::Failed
                              : b.up   ? MachineStatus::Running
                                       : MachineStatus::Booting,
                              t_ - b.rented});
      }
    } else if (auto *h = std::get_if<core::CloudScaleOut>(&op.request)) {
      auto [it, fresh] = rents_.try_emplace(h->request);
      auto there = std::count_if(machines_.begin(), machines_.end(), [](const Machine &b) { return !b.gone; });
      const auto of_type = o_.capacity.find(h->type);
      auto left = of_type == o_.capacity.end() ? 1'000'000L : of_type->second;
      if (of_type != o_.capacity.end())
        left -= std::count_if(machines_.begin(), machines_.end(),
                              [&](const Machine &b) { return !b.gone && b.type == h->type; });
      if (const auto zone = zone_most_.find(h->zone); zone != zone_most_.end())
        left = std::min(left, zone->second - std::count_if(machines_.begin(), machines_.end(), [&](const Machine &b) {
                                return !b.gone && b.zone == h->zone;
                              }));
      if (fresh)
        for (int k = 0; k < h->count && there < o_.max_machines && left > 0; ++k, ++there, --left) {
          Machine b;
          char name[16];
          std::snprintf(name, sizeof name, "n-%06zu", machines_.size());
          b.name = name;
          b.type = h->type;
          b.zone = h->zone;
          b.spot = h->spot;
          b.rented = t_;
          b.sick = chance(o_.sick);
          machines_.push_back(b);
          it->second.push_back(b.name);
          ++rented;
          boot(machines_.back());
        }
      r.names = it->second;
    } else if (auto *d = std::get_if<core::CloudScaleIn>(&op.request)) {
      for (auto &b : machines_)
        if (std::find(d->names.begin(), d->names.end(), b.name) != d->names.end() && !b.gone) {
          ++returned;
          kill_machine(b);
        }
    }
    if (!lose_answer) schedule(t_ + 0.02, [answer, r] { answer(r); });
  });
}

void World::boot(Machine &b) {
  std::size_t i = machines_.size() - 1;
  if (chance(o_.boot_fail)) return;
  double boots = uniform(o_.min_boot, o_.max_boot);
  for (const auto &t : o_.types)
    if (o_.max_boot_share > 0 && t.name == b.type) boots = t.boot_s * uniform(o_.min_boot_share, o_.max_boot_share);
  schedule(t_ + boots, [this, i] {
    Machine &x = machines_[i];
    if (x.gone || x.failed) return; // a machine that stopped while it booted stays down
    x.up = true;
    x.lease_from = t_;
    x.node = static_cast<int>(rng_() % nodes_.size());
    worker_tick(i);
  });
  if (o_.die_per_hour > 0)
    schedule(t_ + std::exponential_distribution<double>(o_.die_per_hour / 3600)(rng_), [this, i] {
      if (machines_[i].gone) return;
      free_all(machines_[i]);
      machines_[i].up = false;
      machines_[i].failed = true;
    });
  if (o_.hang_per_hour > 0)
    schedule(t_ + std::exponential_distribution<double>(o_.hang_per_hour / 3600)(rng_),
             [this, i] { machines_[i].hang_until = t_ + uniform(2, 30); });
}

int World::kill_machines(double share, const std::string &zone) {
  int died = 0;
  for (auto &b : machines_) {
    if (!zone.empty() && b.zone != zone) continue;
    if (!b.up || b.gone || !chance(share)) continue;
    free_all(b);
    b.up = false;
    ++died;
    schedule(t_ + 30, [&b] { b.failed = true; }); // it is listed as running until then
  }
  return died;
}

void World::kill_machine(Machine &b) {
  free_all(b);
  b.gone = true;
  b.up = false;
}

} // namespace loftrouter::test
