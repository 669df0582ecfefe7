#include "world.hpp"

#include <algorithm>

namespace loftrouter::test {

World::World(std::uint64_t seed, WorldOptions o) : o_(std::move(o)), rng_(seed) {
  nodes_.resize(static_cast<std::size_t>(o_.nodes));
  next_job_ = o_.first_job;
  for (int i = 0; i < o_.nodes; ++i) {
    if (o_.begins_old) old_.insert(i);
    start_node(i);
  }
  schedule(0.5, [this] { periodic_check(); });
  schedule(1, [this] { waiting_check(); });
}

void World::start_node(int i) {
  Settings s;
  s.node = "node-" + std::to_string(i);
  auto zone_of = [this](int k) { return o_.node_zones.empty() ? "a" : o_.node_zones[static_cast<std::size_t>(k)]; };
  s.zone = zone_of(i);
  for (int k = 0; k < o_.nodes; ++k)
    if (k != i) s.replicas.push_back({"node-" + std::to_string(k), zone_of(k), ""});
  s.zones = {"a", "b"};
  s.teams = o_.core_teams.empty() ? o_.teams : o_.core_teams;
  s.lease_s = o_.core_lease_s > 0 ? o_.core_lease_s : o_.lease_s;
  s.heartbeat_interval_s = o_.heartbeat_interval_s;
  s.cancel_s = o_.core_cancel_s > 0 ? o_.core_cancel_s : o_.cancel_s;
  s.cpu_share = o_.cpu_share;
  s.accounts = o_.accounts;
  s.configuration = o_.configuration;
  s.cells = o_.cells;
  s.peer_listen = o_.cells.name + ":" + std::to_string(i);
  const bool old = old_.count(i) > 0;
  s.state_value_kb = o_.next_value_kb > 0 && !old ? std::min(o_.value_kb, o_.next_value_kb) : o_.value_kb;
  s.state_txn_ops = o_.next_txn_ops > 0 && !old ? std::min(o_.txn_ops, o_.next_txn_ops) : o_.txn_ops;
  s.state_rps = o_.state_rps;
  s.state_write_rps = o_.state_write_rps;
  Node &n = nodes_[static_cast<std::size_t>(i)];
  ++n.life;
  n.zone = s.zone;
  n.queue.clear();
  n.waiting.clear();
  n.answers.clear();
  n.scheduled = false;
  n.stalled_until = -1;
  n.stall_within = 0;
  n.core = std::make_unique<core::Core>(s, rng_());
  int life = n.life;
  schedule(t_ + uniform(0, 0.1), [this, i, life] { tick(i, life); });
}

void World::crash(int i, double back_after) {
  Node &n = nodes_[static_cast<std::size_t>(i)];
  n.core.reset();
  ++n.life;
  schedule(t_ + back_after, [this, i] {
    if (!nodes_[static_cast<std::size_t>(i)].core) start_node(i);
  });
}

void World::limits_fall() {
  if (o_.next_value_kb > 0) o_.value_kb = std::min(o_.value_kb, o_.next_value_kb);
  if (o_.next_txn_ops > 0) o_.txn_ops = std::min(o_.txn_ops, o_.next_txn_ops);
}

void World::outage(double for_s) {
  outage_until_ = t_ + for_s;
  schedule(outage_until_, [this] {
    for (auto &[id, l] : leases_)
      l.second = t_ + l.first;
    notify();
  });
}

void World::cut_state(int i, double for_s, Cut how) {
  nodes_[static_cast<std::size_t>(i)].state = {t_ + for_s, how};
}

void World::cut_cloud(int i, double for_s, Cut how) {
  nodes_[static_cast<std::size_t>(i)].cloud = {t_ + for_s, how};
}

void World::cut_peer(int from, int to, double for_s, Cut how) {
  nodes_[static_cast<std::size_t>(from)].peers[to] = {t_ + for_s, how};
}

void World::cut_apart(int a, int b, double for_s, Cut how) {
  cut_peer(a, b, for_s, how);
  cut_peer(b, a, for_s, how);
}

void World::cut_peers(double for_s) {
  for (int i = 0; i < o_.nodes; ++i)
    for (int k = 0; k < o_.nodes; ++k)
      cut_peer(i, k, for_s, Cut::Drop);
}

void World::stall(int i, double for_s, bool within) {
  Node &n = nodes_[static_cast<std::size_t>(i)];
  (within ? n.stall_within : n.stalled_until) = within ? for_s : t_ + for_s;
}

int World::open_records() const {
  return static_cast<int>(
      std::count_if(keys_.begin(), keys_.end(), [](auto &k) { return k.first.rfind("open/", 0) == 0; }));
}

int World::sick_machines() const {
  return static_cast<int>(std::count_if(machines_.begin(), machines_.end(), [](auto &b) { return b.sick && !b.gone; }));
}

void World::cut_workers(int i, double for_s, Cut how) {
  nodes_[static_cast<std::size_t>(i)].workers = {t_ + for_s, how};
}

void World::cut_outbound(double share, double for_s, const std::string &zone) {
  for (auto &b : machines_)
    if ((zone.empty() || b.zone == zone) && chance(share)) b.outbound_cut_until = t_ + for_s;
}

// The services outside are regional: a zone that is cut off has lost them too.
void World::cut_zone(const std::string &zone, double for_s, Cut how) {
  zone_cuts_[zone] = {t_ + for_s, how};
  for (int i = 0; i < o_.nodes; ++i) {
    if (nodes_[static_cast<std::size_t>(i)].zone != zone) continue;
    cut_state(i, for_s, how);
    cut_cloud(i, for_s, how);
    cut_users(i, for_s);
    for (int k = 0; k < o_.nodes; ++k)
      if (nodes_[static_cast<std::size_t>(k)].zone != zone) cut_apart(i, k, for_s, how);
  }
}

const World::Link *World::between(const std::string &zone, const std::string &other) const {
  if (zone == other) return nullptr;
  for (const auto *z : {&zone, &other})
    if (const auto it = zone_cuts_.find(*z); it != zone_cuts_.end() && it->second.cut(t_)) return &it->second;
  return nullptr;
}

int World::hang(const std::string &id, double for_s) {
  int n = 0;
  for (auto &b : machines_)
    if (std::any_of(b.runs.begin(), b.runs.end(), [&](const Run &r) { return r.job == id && r.on; })) {
      b.hang_until = std::max(b.hang_until, t_ + for_s);
      ++n;
    }
  return n;
}

int World::deliver_held_back(int node) {
  auto held = std::exchange(held_back_, {});
  for (const auto &r : held)
    ask(
        node,
        [r](core::RequestId q) {
          return core::HeartbeatCommand{q, r};
        },
        [](const core::Reply &) {});
  return static_cast<int>(held.size());
}

int World::leaders() const {
  int n = 0;
  for (const auto &x : nodes_)
    n += x.core && x.core->leading();
  return n;
}

int World::leader() const {
  int best = -1;
  for (int i = 0; i < o_.nodes; ++i) {
    const auto &n = nodes_[static_cast<std::size_t>(i)];
    if (n.core && n.core->leading() &&
        (best < 0 || n.core->term() > nodes_[static_cast<std::size_t>(best)].core->term()))
      best = i;
  }
  return best;
}

int World::machines_up() const {
  return static_cast<int>(std::count_if(machines_.begin(), machines_.end(), [](auto &b) { return b.up && !b.gone; }));
}

void World::cut_inbound(double share, double for_s) {
  for (auto &b : machines_)
    if (chance(share)) b.inbound_cut_until = t_ + for_s;
}

void World::restart_machines(double share) {
  for (auto &b : machines_) {
    if (b.gone || !b.up || !chance(share)) continue;
    free_all(b);
    ++b.incarnation;
    b.lease_from = t_;
    b.in_flight = false;
    b.next_report = t_ + uniform(0.05, 0.5);
  }
}

void World::isolate(int i, double for_s, Cut how) {
  cut_state(i, for_s, how);
  for (int k = 0; k < o_.nodes; ++k)
    if (k != i) cut_apart(i, k, for_s, how);
}

void World::tick(int i, int life) {
  Node &n = nodes_[static_cast<std::size_t>(i)];
  if (n.life != life || !n.core) return;
  push(i, core::TickCommand{});
  schedule(t_ + 0.1, [this, i, life] { tick(i, life); });
}

void World::push(int i, core::Command c) {
  Node &n = nodes_[static_cast<std::size_t>(i)];
  if (!n.core) return;
  n.queue.push_back(std::move(c));
  if (n.scheduled) return;
  n.scheduled = true;
  int life = n.life;
  schedule(t_ + 0.001, [this, i, life] { drain(i, life); });
}

void World::drain(int i, int life) {
  Node &n = nodes_[static_cast<std::size_t>(i)];
  if (n.life != life || !n.core) return;
  if (t_ < n.stalled_until) return schedule(n.stalled_until, [this, i, life] { drain(i, life); });
  n.scheduled = false;
  auto batch = std::move(n.queue);
  n.queue.clear();
  // Every node's steady clock runs a little differently.
  double mono = t_ * (1 + 0.0002 * i) + 1000 * i;
  auto effects = n.core->apply(std::move(batch), {mono, 1.7e9 + t_});
  if (const auto term = n.core->term(); term != std::exchange(n.term, term) && term) elected_at.push_back(t_);
  if (std::getenv("WORLD_LOG"))
    for (const auto &l : effects.logs)
      std::fprintf(stderr, "%9.3f %snode-%d %s\n", t_, o_.cells.name.c_str(), i, core::log_text(l).c_str());
  if (n.stall_within <= 0) return carry_out(i, std::move(effects));
  n.stalled_until = t_ + std::exchange(n.stall_within, 0);
  schedule(n.stalled_until, [this, i, life, effects = std::move(effects)]() mutable {
    if (nodes_[static_cast<std::size_t>(i)].life == life) carry_out(i, std::move(effects));
  });
}

void World::carry_out(int i, core::Effects effects) {
  if (on_effects) on_effects(i, t_, effects);
  Node &n = nodes_[static_cast<std::size_t>(i)];
  for (const auto &r : effects.replies) {
    auto it = n.answers.find(r.req);
    if (it == n.answers.end()) continue;
    auto fn = std::move(it->second);
    n.answers.erase(it);
    fn(r);
  }
  for (const auto &c : effects.cells)
    if (send_cell) send_cell(i, c);
  for (const auto &op : effects.store)
    store_op(i, op);
  for (const auto &op : effects.cloud)
    cloud_op(i, op);
  for (const auto &call : effects.workers) {
    auto found =
        std::find_if(machines_.begin(), machines_.end(), [&](const Machine &b) { return b.name == call.machine; });
    if (found == machines_.end() || chance(o_.loss)) continue;
    Machine *machine = &*found;
    double there = t_ + (chance(3 * o_.loss) ? uniform(0.1, 120) : uniform(0.001, 0.005)); // held up for minutes
    if (o_.held_up > 0 && chance(o_.held_up)) there += uniform(0.5, 8);
    if (const Link *l = between(n.zone, machine->zone)) {
      if (l->how != Cut::Hold) continue;
      there = l->cut_until + uniform(0, 0.01);
    }
    const auto index = static_cast<std::size_t>(found - machines_.begin());
    schedule(there, [this, index, call] {
      Machine &b = machines_[index];
      if (b.gone || !b.up || t_ < b.hang_until || t_ < b.inbound_cut_until || call.fencing_token < b.fencing_token ||
          call.incarnation != b.incarnation)
        return;
      b.fencing_token = call.fencing_token;
      ++direct_commands;
      for (const auto &o : call.commands) {
        if (o.verb != TaskCommand::Verb::Stop) break_rule("only orders to stop may be late");
        for (auto &r : b.runs)
          if (r.job == o.job && r.index == o.index && r.attempt == o.attempt) stop_run(index, r.serial, o.grace_s);
      }
    });
  }
  for (const auto &p : effects.peers) {
    if (chance(o_.loss)) continue;
    relayed += p.message.kind == wire::PeerMessage::Kind::Heartbeat;
    // Link ids in this world: the asker's index.
    const int replica = p.replica.valid() ? static_cast<int>(p.replica.position()) : -1;
    int to = replica >= 0 ? (replica < i ? replica : replica + 1) : static_cast<int>(p.link);
    double there = t_ + (chance(o_.loss) ? uniform(0.1, 30) : uniform(0.001, 0.005));
    // Answers come on the link that was dialled by who asked.
    if (const Link &l = replica >= 0 ? n.peers[to] : nodes_[static_cast<std::size_t>(to)].peers[i]; l.cut(t_)) {
      if (l.how != Cut::Hold && l.how != Cut::Slow) continue;
      there = l.how == Cut::Hold ? l.cut_until + uniform(0, 0.01) : t_ + uniform(0.3, 1.5);
    }
    schedule(there, [this, to, i, pong = replica < 0, m = p.message] {
      wire::PeerMessage read;
      const auto bytes = wire::encode_peer(m);
      std::string_view rest = bytes;
      if (wire::read_peer(rest, read) != wire::FrameRead::Frame) return break_rule("a peer frame did not survive");
      const auto replica =
          pong ? core::ReplicaIndex(static_cast<std::size_t>(i < to ? i : i - 1)) : core::ReplicaIndex();
      push(to, core::PeerMessageCommand{replica, static_cast<std::uint64_t>(i), std::move(read)});
    });
  }
}

void World::ask_as_user(int i, std::function<core::Command(core::RequestId)> make,
                        std::function<void(const core::Reply &)> fn) {
  if (!nodes_[static_cast<std::size_t>(i)].users.cut(t_)) ask(i, std::move(make), std::move(fn));
}

void World::ask(int i, std::function<core::Command(core::RequestId)> make,
                std::function<void(const core::Reply &)> fn) {
  Node &n = nodes_[static_cast<std::size_t>(i)];
  if (!n.core) return;
  auto req = next_req_++;
  n.answers[req] = std::move(fn);
  push(i, make(req));
}

bool World::all_over() const {
  for (const auto &[id, x] : told_) {
    if (!x.accepted) return false;
    if (x.done || x.cancelled || x.spec.shape == Shape::Service) continue;
    return false;
  }
  return true;
}

void World::deliver_cell(int node, core::CellMessageCommand cmd, double after_s) {
  schedule(t_ + after_s, [this, node, cmd = std::move(cmd)]() mutable { push(node, std::move(cmd)); });
}

std::vector<World::On> World::on_machines() const {
  std::vector<On> out;
  for (const auto &b : machines_)
    for (const auto &r : b.runs)
      if (r.on) out.push_back({r.job, r.index, r.serial});
  return out;
}

std::string World::where(const std::string &id) const {
  std::string out;
  for (const auto &b : machines_)
    for (const auto &r : b.runs)
      if (r.job == id && r.on) out += b.name + "/" + b.zone + " ";
  return out;
}

void World::run(double until) {
  while (!events_.empty() && events_.top().t <= until) {
    auto e = events_.top();
    events_.pop();
    t_ = std::max(t_, e.t);
    e.fn();
  }
  t_ = until;
}

} // namespace loftrouter::test
