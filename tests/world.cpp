#include "world.hpp"

#include <algorithm>

namespace loft::test {

using nlohmann::json;

World::World(std::uint64_t seed, WorldOptions o) : o_(std::move(o)), rng_(seed) {
  MachineType small{"small", {4, 0, 16}, 50, 1, 0.2, 0.08, 8, {"a", "b"}};
  MachineType big{"big", {16, 2, 64}, 50, 1, 0.8, 0.3, 8, {"a", "b"}};
  types_ = {small, big};
  nodes_.resize(static_cast<std::size_t>(o_.nodes));
  for (int i = 0; i < o_.nodes; ++i)
    start_node(i);
  schedule(0.5, [this] { periodic_check(); });
}

void World::start_node(int i) {
  Settings s;
  s.node = "node-" + std::to_string(i);
  s.zone = "a";
  for (int k = 0; k < o_.nodes; ++k)
    if (k != i) s.siblings.push_back({"node-" + std::to_string(k), "a", ""});
  s.zones = {"a", "b"};
  s.teams = o_.teams;
  s.lease_s = o_.core_lease_s > 0 ? o_.core_lease_s : o_.lease_s;
  s.report_s = o_.report_s;
  s.cancel_s = o_.cancel_s;
  s.cpu_share = o_.cpu_share;
  s.state_write_rps = 15;
  Node &n = nodes_[static_cast<std::size_t>(i)];
  ++n.life;
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

void World::outage(double for_s) {
  outage_until_ = t_ + for_s;
  schedule(outage_until_, [this] {
    for (auto &[id, l] : leases_)
      l.second = t_ + l.first;
    notify();
  });
}

void World::cut_state(int i, double for_s, Cut how) {
  nodes_[static_cast<std::size_t>(i)].state_cut_until = t_ + for_s;
  nodes_[static_cast<std::size_t>(i)].state_cut = how;
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
  return static_cast<int>(std::count_if(boxes_.begin(), boxes_.end(), [](auto &b) { return b.sick && !b.gone; }));
}

void World::cut_workers(int i, double for_s, bool hold) {
  nodes_[static_cast<std::size_t>(i)].worker_cut_until = t_ + for_s;
  nodes_[static_cast<std::size_t>(i)].worker_hold = hold;
}

void World::cut_boxes(double share, double for_s) {
  for (auto &b : boxes_)
    if (chance(share)) b.cut_until = t_ + for_s;
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
  return static_cast<int>(std::count_if(boxes_.begin(), boxes_.end(), [](auto &b) { return b.up && !b.gone; }));
}

void World::tick(int i, int life) {
  Node &n = nodes_[static_cast<std::size_t>(i)];
  if (n.life != life || !n.core) return;
  push(i, core::CmdTick{});
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
  if (std::getenv("WORLD_LOG"))
    for (const auto &l : effects.logs)
      std::fprintf(stderr, "%9.3f node-%d %s\n", t_, i, l.text.c_str());
  if (n.stall_within <= 0) return carry_out(i, std::move(effects));
  n.stalled_until = t_ + std::exchange(n.stall_within, 0);
  schedule(n.stalled_until, [this, i, life, effects = std::move(effects)]() mutable {
    if (nodes_[static_cast<std::size_t>(i)].life == life) carry_out(i, std::move(effects));
  });
}

void World::carry_out(int i, core::Effects effects) {
  Node &n = nodes_[static_cast<std::size_t>(i)];
  for (const auto &r : effects.replies) {
    auto it = n.answers.find(r.req);
    if (it == n.answers.end()) continue;
    auto fn = std::move(it->second);
    n.answers.erase(it);
    fn(r);
  }
  for (const auto &op : effects.store)
    store_op(i, op);
  for (const auto &op : effects.cloud)
    cloud_op(i, op);
  for (const auto &call : effects.workers) {
    auto found = std::find_if(boxes_.begin(), boxes_.end(), [&](const Box &b) { return b.name == call.machine; });
    if (found == boxes_.end() || chance(o_.loss)) continue;
    Box *box = &*found;
    double there = t_ + (chance(3 * o_.loss) ? uniform(0.1, 120) : uniform(0.001, 0.005)); // held up for minutes
    schedule(there, [this, box, call] {
      if (box->gone || !box->up || t_ < box->hang_until || call.token < box->token || call.session != box->session)
        return;
      box->token = call.token;
      for (const auto &o : call.orders) {
        if (o.verb != TaskOrder::Verb::Stop) break_rule("only orders to stop may be late");
        for (auto &r : box->runs)
          if (r.job == o.job && r.index == o.index && r.attempt == o.attempt)
            end_run(*box, r.serial, ExitCause::Stopped);
      }
    });
  }
  for (const auto &p : effects.peers) {
    if (chance(o_.loss) || t_ < peers_cut_until_) continue;
    relayed += p.message.kind == wire::PeerMessage::Kind::Report;
    // Link ids in this world: the asker's index.
    int to = p.sibling >= 0 ? (p.sibling < i ? p.sibling : p.sibling + 1) : static_cast<int>(p.link);
    double there = t_ + (chance(o_.loss) ? uniform(0.1, 30) : uniform(0.001, 0.005));
    schedule(there, [this, to, i, pong = p.sibling < 0, m = p.message] {
      wire::PeerMessage read;
      const auto bytes = wire::encode_peer(m);
      std::string_view rest = bytes;
      if (wire::read_peer(rest, read) != wire::PeerRead::Frame) return break_rule("a peer frame did not survive");
      push(to, core::CmdPeer{pong ? (i < to ? i : i - 1) : -1, static_cast<std::uint64_t>(i), std::move(read)});
    });
  }
}

void World::ask(int i, std::function<core::Command(core::RequestId)> make,
                std::function<void(const core::Reply &)> fn) {
  Node &n = nodes_[static_cast<std::size_t>(i)];
  if (!n.core) return;
  auto req = next_req_++;
  n.answers[req] = std::move(fn);
  push(i, make(req));
}

// ---- state service ----

void World::change(const std::string &key, std::optional<json> value, std::uint64_t lease) {
  if (value)
    keys_[key] = {*value, epoch_, lease};
  else
    keys_.erase(key);
  history_.push_back({key, value, epoch_});
}

void World::expire_leases() {
  if (t_ < outage_until_) return;
  std::vector<std::uint64_t> over;
  for (auto &[id, l] : leases_)
    if (t_ > l.second) over.push_back(id);
  for (auto id : over) {
    leases_.erase(id);
    std::vector<std::string> doomed;
    for (auto &[k, v] : keys_)
      if (v.lease == id) doomed.push_back(k);
    if (doomed.empty()) continue;
    ++epoch_;
    for (auto &k : doomed)
      change(k, std::nullopt, 0);
  }
}

wire::StoreReply World::execute(const core::StoreOp &op) {
  expire_leases();
  wire::StoreReply r;
  r.status = 200;
  r.revision = epoch_;
  if (auto *g = std::get_if<core::StoreGet>(&op.what)) {
    auto it = keys_.find(g->key);
    if (it == keys_.end())
      r.status = 404;
    else
      r.entries.push_back({it->first, it->second.value, it->second.stamp, it->second.lease});
  } else if (auto *l = std::get_if<core::StoreList>(&op.what)) {
    for (auto &[k, v] : keys_) {
      if (k.compare(0, l->prefix.size(), l->prefix) != 0 || k <= l->from) continue;
      if (r.entries.size() >= 20) { // small pages, so that paging is exercised
        r.more = true;
        break;
      }
      r.entries.push_back({k, v.value, v.stamp, v.lease});
    }
  } else if (auto *c = std::get_if<core::StoreCommit>(&op.what)) {
    for (auto &g : c->guards) {
      auto it = keys_.find(g.key);
      if ((it == keys_.end() ? 0 : it->second.stamp) != g.stamp) r.failed.push_back(g.key);
    }
    for (auto &w : c->writes)
      if (w.lease && !leases_.count(w.lease)) r.status = 400;
    if (r.status == 200 && !r.failed.empty()) r.status = 409;
    if (r.status == 200 && !c->writes.empty()) {
      r.revision = ++epoch_;
      for (auto &w : c->writes)
        change(w.key, w.value, w.lease);
    }
  } else if (auto *n = std::get_if<core::StoreLeaseNew>(&op.what)) {
    r.lease = next_lease_++;
    leases_[r.lease] = {n->ttl_s, t_ + n->ttl_s};
  } else if (auto *n = std::get_if<core::StoreLeaseTouch>(&op.what)) {
    auto it = leases_.find(n->lease);
    if (it == leases_.end())
      r.status = 404;
    else
      it->second.second = t_ + it->second.first;
  } else if (auto *n = std::get_if<core::StoreLeaseDrop>(&op.what)) {
    auto it = leases_.find(n->lease);
    if (it != leases_.end()) {
      it->second.second = -1;
      expire_leases();
    }
  }
  notify();
  return r;
}

void World::notify() {
  if (t_ < outage_until_) return;
  for (std::size_t f = 0; f < followers_.size();) {
    auto w = followers_[f];
    wire::StoreReply r;
    r.status = 200;
    r.revision = epoch_;
    for (auto &e : history_)
      if (e.stamp > w.from && e.key.compare(0, w.prefix.size(), w.prefix) == 0) r.events.push_back(e);
    Node &n = nodes_[static_cast<std::size_t>(w.node)];
    if (r.events.empty() || t_ < n.state_cut_until) {
      ++f;
      continue;
    }
    followers_.erase(followers_.begin() + static_cast<long>(f));
    schedule(t_ + uniform(0.001, 0.01), [this, w, r] {
      Node &m = nodes_[static_cast<std::size_t>(w.node)];
      if (m.life == w.life && m.waiting.erase(w.op)) push(w.node, core::CmdStoreReply{w.op, r});
    });
  }
}

void World::store_op(int i, const core::StoreOp &op) {
  Node &n = nodes_[static_cast<std::size_t>(i)];
  int life = n.life;
  n.waiting[op.op] = true;
  auto answer = [this, i, life, id = op.op](wire::StoreReply r) {
    Node &m = nodes_[static_cast<std::size_t>(i)];
    if (m.life == life && m.waiting.erase(id)) push(i, core::CmdStoreReply{id, std::move(r)});
  };
  schedule(t_ + op.deadline_s, [answer] { answer({}); });
  double there = t_ + uniform(0.001, 0.006);
  bool lose_answer = false;
  if (t_ < n.state_cut_until) {
    if (n.state_cut == Cut::Drop) return;
    if (n.state_cut == Cut::Hold) there = n.state_cut_until + uniform(0, 0.01); // delivered once the cut is over
    lose_answer = n.state_cut == Cut::NoAnswers;
    if (n.state_cut == Cut::Refuse && !std::holds_alternative<core::StoreFollow>(op.what)) {
      wire::StoreReply refusal;
      refusal.status = 503;
      schedule(there, [answer, refusal] { answer(refusal); });
      return;
    }
  } else if (chance(o_.loss)) {
    switch (rng_() % 3) {
    case 0:
      return;
    case 1:
      lose_answer = true;
      break;
    default:
      there = t_ + uniform(0.5, 40); // applied late
    }
  }
  auto status = [this](int code) {
    wire::StoreReply r;
    r.status = code;
    r.revision = epoch_;
    return r;
  };
  schedule(there, [this, i, life, op, answer, status, lose_answer] {
    if (auto *f = std::get_if<core::StoreFollow>(&op.what)) {
      if (lose_watches) return;
      if (t_ < outage_until_) return answer(status(503));
      expire_leases();
      followers_.push_back({i, life, op.op, f->prefix, f->from});
      schedule(t_ + f->hold_s, [this, i, life, id = op.op, answer, status] {
        // Whoever still waits has missed nothing, unless it is cut off: then it waits on.
        if (t_ < outage_until_ || t_ < nodes_[static_cast<std::size_t>(i)].state_cut_until) return;
        if (std::erase_if(followers_, [&](auto &x) { return x.op == id && x.node == i && x.life == life; }))
          answer(status(200));
      });
      notify();
      return;
    }
    wire::StoreReply r;
    if (t_ < outage_until_)
      r.status = 503;
    else
      r = execute(op);
    if (!lose_answer) schedule(t_ + uniform(0.001, 0.006), [answer, r] { answer(r); });
  });
}

// ---- cloud ----

void World::cloud_op(int i, const core::CloudOp &op) {
  int life = nodes_[static_cast<std::size_t>(i)].life;
  auto done = std::make_shared<bool>(false);
  auto answer = [this, i, life, id = op.op, done](wire::CloudReply r) {
    if (*done) return;
    *done = true;
    if (nodes_[static_cast<std::size_t>(i)].life == life) push(i, core::CmdCloudReply{id, std::move(r)});
  };
  schedule(t_ + op.deadline_s, [answer] { answer({}); });
  double there = t_ + uniform(0.02, 0.1);
  bool lose_answer = chance(o_.loss);
  if (chance(o_.loss)) there = t_ + uniform(1, 60);
  schedule(there, [this, op, answer, lose_answer] {
    wire::CloudReply r;
    r.status = 200;
    if (std::holds_alternative<core::CloudTypes>(op.what)) {
      r.types = types_;
    } else if (auto *l = std::get_if<core::CloudList>(&op.what)) {
      for (auto &b : boxes_) {
        if (b.gone || b.name <= l->from || t_ - b.rented < 3) continue;
        r.machines.push_back({b.name, "", b.type, b.zone, b.spot,
                              b.failed ? MachineStatus::Failed
                              : b.up   ? MachineStatus::Running
                                       : MachineStatus::Booting,
                              t_ - b.rented});
      }
    } else if (auto *h = std::get_if<core::CloudRent>(&op.what)) {
      auto [it, fresh] = rents_.try_emplace(h->request);
      if (fresh)
        for (int k = 0; k < h->count && boxes_.size() < 400; ++k) {
          Box b;
          char name[16];
          std::snprintf(name, sizeof name, "n-%06zu", boxes_.size());
          b.name = name;
          b.type = h->type;
          b.zone = h->zone;
          b.spot = h->spot;
          b.rented = t_;
          b.sick = chance(o_.sick);
          boxes_.push_back(b);
          it->second.push_back(b.name);
          boot(boxes_.back());
        }
      r.names = it->second;
    } else if (auto *d = std::get_if<core::CloudReturn>(&op.what)) {
      for (auto &b : boxes_)
        if (std::find(d->names.begin(), d->names.end(), b.name) != d->names.end() && !b.gone) {
          ++returned;
          kill_box(b);
        }
    }
    if (!lose_answer) schedule(t_ + 0.02, [answer, r] { answer(r); });
  });
}

void World::boot(Box &b) {
  std::size_t i = boxes_.size() - 1;
  if (chance(o_.boot_fail)) return;
  (void)b;
  schedule(t_ + uniform(1, 12), [this, i] {
    Box &x = boxes_[i];
    if (x.gone || x.failed) return; // a machine that stopped while it booted stays down
    x.up = true;
    x.lease_from = t_;
    x.node = static_cast<int>(rng_() % nodes_.size());
    worker_tick(i);
  });
  if (o_.die_per_hour > 0)
    schedule(t_ + std::exponential_distribution<double>(o_.die_per_hour / 3600)(rng_), [this, i] {
      if (boxes_[i].gone) return;
      boxes_[i].runs.clear();
      boxes_[i].up = false;
      boxes_[i].failed = true;
    });
  if (o_.hang_per_hour > 0)
    schedule(t_ + std::exponential_distribution<double>(o_.hang_per_hour / 3600)(rng_),
             [this, i] { boxes_[i].hang_until = t_ + uniform(2, 30); });
}

void World::kill_box(Box &b) {
  b.runs.clear();
  b.gone = true;
  b.up = false;
}

// ---- workers ----

void World::worker_tick(std::size_t i) {
  Box &b = boxes_[i];
  if (b.gone || !b.up) return;
  if (t_ - b.lease_from > o_.lease_s) { // also while it hangs: nothing runs past its lease
    lease_kills += static_cast<int>(b.runs.size());
    b.runs.clear();
    ++b.session;
    b.lease_from = t_;
  }
  if (t_ >= b.hang_until && !b.in_flight && t_ >= b.next_report) report(i);
  schedule(t_ + 0.1, [this, i] { worker_tick(i); });
}

WorkerReport World::make_report(Box &b) {
  WorkerReport r;
  r.machine = b.name;
  r.address = "10.0.0.9:9000";
  r.type = b.type;
  r.zone = b.zone;
  r.spot = b.spot;
  r.session = b.session;
  r.seq = ++b.seq;
  r.token = b.token;
  for (auto &x : b.runs)
    r.tasks.push_back({x.job, x.index, x.attempt, x.phase, x.cause, false});
  return r;
}

void World::report(std::size_t i) {
  Box &b = boxes_[i];
  b.in_flight = true;
  b.next_report = t_ + o_.report_s * uniform(0.75, 1.25);
  auto no = ++b.report_no;
  int node = b.node;
  double sent = t_;
  auto session = b.session;
  auto r = make_report(b);
  auto next_node = [this, i, no](int to) {
    Box &x = boxes_[i];
    if (x.report_no != no || !x.in_flight) return;
    x.in_flight = false;
    x.node = to >= 0 ? to : static_cast<int>((static_cast<std::size_t>(x.node) + 1) % nodes_.size());
    x.next_report = t_ + (to >= 0 ? 0.05 : 1.0);
  };
  schedule(t_ + 4.0, [next_node] { next_node(-1); });
  Node &n = nodes_[static_cast<std::size_t>(node)];
  double there = t_ + uniform(0.001, 0.005);
  bool lose_answer = chance(o_.loss);
  if (t_ < b.cut_until) return;
  if (t_ < n.worker_cut_until) {
    if (!n.worker_hold) return;
    there = n.worker_cut_until;
  } else if (chance(o_.loss)) {
    there = t_ + uniform(0.1, 60); // late, when the worker has long given up
  }
  schedule(there, [this, i, node, r, no, sent, session, next_node, lose_answer] {
    if (!nodes_[static_cast<std::size_t>(node)].core) return next_node(-1);
    ask(
        node,
        [r](core::RequestId q) {
          return core::CmdReport{q, r};
        },
        [this, i, no, sent, session, next_node, lose_answer](const core::Reply &a) {
          if (lose_answer) return;
          auto answer = a;
          schedule(t_ + uniform(0.001, 0.005), [this, i, no, sent, session, next_node, answer] {
            Box &x = boxes_[i];
            // A response that the worker no longer waits for is dropped.
            if (x.gone || !x.up || x.report_no != no || !x.in_flight || t_ < x.hang_until) return;
            auto body = wire::decode(answer.body).value_or(json::object());
            if (answer.status == 421 && body.contains("answer_to")) {
              auto name = body["answer_to"].get<std::string>();
              return next_node(name.back() - '0');
            }
            if (answer.status != 200) return next_node(-1);
            x.in_flight = false;
            take_response(i, session, sent, body);
          });
        });
  });
}

void World::take_response(std::size_t i, std::uint64_t session, double sent, const json &body) {
  Box &b = boxes_[i];
  std::uint64_t token = body.value("baton", 0ULL);
  if (session != b.session || token < b.token || token == 0) return;
  b.token = token;
  b.lease_from = std::max(b.lease_from, sent);
  for (const auto &o : body["orders"]) {
    auto name = o["piece"].get<std::string>();
    auto job = name.substr(0, name.find('/'));
    auto index = static_cast<std::uint32_t>(std::stoul(name.substr(name.find('/') + 1)));
    auto attempt = o["try"].get<std::uint64_t>();
    auto same = std::find_if(b.runs.begin(), b.runs.end(),
                             [&](auto &r) { return r.job == job && r.index == index && r.attempt == attempt; });
    if (o["verb"] == "start") {
      if (same == b.runs.end()) start_task(i, job, index, attempt);
    } else if (same == b.runs.end()) {
      continue;
    } else if (o["verb"] == "kill") {
      if (same->phase != TaskPhase::Exited) end_run(b, same->serial, ExitCause::Stopped);
    } else if (same->phase == TaskPhase::Exited) {
      b.runs.erase(same);
    }
    b.next_report = std::min(b.next_report, t_ + 0.5);
  }
}

void World::start_task(std::size_t i, const std::string &job, std::uint32_t index, std::uint64_t attempt) {
  Box &b = boxes_[i];
  Run r{job, index, attempt, TaskPhase::Fetching, ExitCause::None, false, ++serial_};
  auto it = told_.find(job);
  const auto &size = b.type == "big" ? types_[1].size : types_[0].size;
  Resources free = size;
  for (auto &x : b.runs)
    if (x.phase != TaskPhase::Exited) free.add(told_[x.job].spec.need, -1);
  auto refuse = [&](ExitCause c) {
    r.phase = TaskPhase::Exited;
    r.cause = c;
    b.runs.push_back(r);
  };
  if (it == told_.end() || index >= it->second.spec.tasks) return refuse(ExitCause::Unknown);
  for (auto &x : b.runs)
    if (x.job == job && x.index == index && x.phase != TaskPhase::Exited) return refuse(ExitCause::Busy);
  if (!it->second.spec.need.fits(free)) return refuse(ExitCause::NoRoom);
  b.runs.push_back(r);
  double fetch = b.images.count(it->second.spec.image) ? 0.01 : uniform(0.2, 3);
  schedule(t_ + fetch, [this, i, serial = r.serial] { progress(i, serial); });
}

void World::progress(std::size_t i, std::uint64_t serial) {
  Box &b = boxes_[i];
  auto r = std::find_if(b.runs.begin(), b.runs.end(), [&](auto &x) { return x.serial == serial; });
  if (b.gone || r == b.runs.end() || r->phase == TaskPhase::Exited) return;
  if (t_ < b.hang_until) {
    schedule(b.hang_until + 0.01, [this, i, serial] { progress(i, serial); });
    return;
  }
  Told &told = told_[r->job];
  const JobSpec &spec = told.spec;
  if (r->phase == TaskPhase::Fetching) {
    b.images.insert(spec.image);
    placed_check(b, *r);
    r->on = true;
    ++starts;
    ++starts_by_job_[r->job];
    b.next_report = std::min(b.next_report, t_ + 0.5);
    if (b.sick || broken_jobs_.count(r->job)) {
      schedule(t_ + 0.5, [this, i, serial] {
        Box &x = boxes_[i];
        end_run(x, serial, ExitCause::Error);
      });
      r->phase = TaskPhase::Running;
      return;
    }
    if (told.finished[r->index]) return end_run(b, serial, ExitCause::Done); // the result is kept
    if (spec.shape == Shape::Gang) {
      r->phase = TaskPhase::Waiting;
      return try_gang(r->job, r->attempt);
    }
    r->phase = TaskPhase::Running;
    if (spec.shape == Shape::Service) return;
    schedule(t_ + spec.estimate_s * uniform(0.5, 1.5), [this, i, serial] { progress(i, serial); });
    return;
  }
  if (r->phase == TaskPhase::Running) {
    told.finished[r->index] = 1;
    end_run(b, serial, ExitCause::Done);
  }
}

void World::try_gang(const std::string &job, std::uint64_t attempt) {
  const JobSpec &spec = told_[job].spec;
  std::vector<std::pair<std::size_t, Run *>> members;
  for (std::size_t i = 0; i < boxes_.size(); ++i)
    for (auto &r : boxes_[i].runs)
      if (r.job == job && r.attempt == attempt && r.phase == TaskPhase::Waiting) members.emplace_back(i, &r);
  if (members.size() < spec.tasks) return;
  double end = t_ + spec.estimate_s;
  std::vector<std::pair<std::size_t, std::uint64_t>> who;
  for (auto [i, r] : members) {
    r->phase = TaskPhase::Running;
    who.emplace_back(i, r->serial);
  }
  schedule(end, [this, job, who] {
    bool whole = true;
    for (auto [i, serial] : who) {
      auto &runs = boxes_[i].runs;
      whole &= std::any_of(runs.begin(), runs.end(),
                           [&](auto &r) { return r.serial == serial && r.phase == TaskPhase::Running; });
    }
    for (auto [i, serial] : who) {
      if (whole)
        for (auto &r : boxes_[i].runs)
          if (r.serial == serial) told_[job].finished[r.index] = 1;
      end_run(boxes_[i], serial, whole ? ExitCause::Done : ExitCause::Peers);
    }
  });
}

void World::end_run(Box &b, std::uint64_t serial, ExitCause cause) {
  for (auto &r : b.runs)
    if (r.serial == serial && r.phase != TaskPhase::Exited) {
      r.phase = TaskPhase::Exited;
      r.cause = cause;
      r.on = false;
      b.next_report = std::min(b.next_report, t_ + 0.5);
    }
}

// ---- rules ----

void World::placed_check(const Box &b, const Run &r) {
  const Told &told = told_[r.job];
  const JobSpec &spec = told.spec;
  std::map<std::string, int> zones;
  zones[b.zone] = 1;
  for (const auto &x : boxes_)
    for (const auto &y : x.runs) {
      if (!y.on || y.job != r.job || y.serial == r.serial) continue;
      if (y.index == r.index) break_rule("ran_twice " + r.job + "/" + std::to_string(r.index));
      ++zones[x.zone];
    }
  if (spec.one_zone && zones.size() > 1) break_rule("wrong_place (one zone) " + r.job);
  if (spec.spread && zones[b.zone] > static_cast<int>((spec.tasks + 1) / 2))
    break_rule("wrong_place (spread) " + r.job);
  if (b.spot && !spec.spot) break_rule("wrong_place (spot) " + r.job);
  if (spec.zone && *spec.zone != b.zone) break_rule("wrong_place (zone) " + r.job);
  if (spec.types && std::find(spec.types->begin(), spec.types->end(), b.type) == spec.types->end())
    break_rule("wrong_place (type) " + r.job);
  if (told.cancelled_at >= 0 && t_ > told.cancelled_at + o_.cancel_s) break_rule("ran_cancelled " + r.job);
  for (const auto &team : o_.teams) {
    if (team.cpus_max <= 0 || spec.team != team.name) continue;
    double used = spec.need.cpus;
    for (const auto &x : boxes_)
      for (const auto &y : x.runs)
        if (y.on && told_[y.job].spec.team == team.name) used += told_[y.job].spec.need.cpus;
    if (used > team.cpus_max + 1e-6) break_rule("quota " + team.name);
  }
}

void World::periodic_check() {
  for (const auto &x : boxes_)
    for (const auto &y : x.runs) {
      const Told &told = told_[y.job];
      if (y.on && told.cancelled_at >= 0 && t_ > told.cancelled_at + o_.cancel_s) break_rule("ran_cancelled " + y.job);
    }
  schedule(t_ + 0.5, [this] { periodic_check(); });
}

// ---- users ----

JobSpec World::job(Shape shape, std::uint32_t tasks, double cpus, double run_s, const std::string &team) {
  JobSpec s;
  char id[16];
  std::snprintf(id, sizeof id, "j-%06d", next_job_++);
  s.id = id;
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
  ask(
      node,
      [spec](core::RequestId q) {
        return core::CmdSubmit{q, spec};
      },
      [this, spec, settled, retry](const core::Reply &r) {
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
          if (r.status == 400 || r.status == 422) break_rule("forgotten: refused " + spec.id);
          schedule(t_ + 1, retry);
        }
      });
  schedule(t_ + 5, retry);
  return spec.id;
}

void World::poll(const std::string &id) {
  Told &x = told_[id];
  if (x.done) return;
  schedule(t_ + 5, [this, id] { poll(id); });
  bool was_cancelled = x.cancelled;
  ask(
      static_cast<int>(rng_() % nodes_.size()),
      [id](core::RequestId q) {
        return core::CmdLookup{q, id};
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
          if (!y.cancel_asked) break_rule("went_back: cancelled by nobody " + id);
        } else if (was_cancelled) {
          break_rule("went_back " + id + " " + state);
        }
      });
}

std::shared_ptr<World::Answer> World::submit_at(int node, const JobSpec &spec) {
  auto &told = told_[spec.id];
  told.spec = spec;
  told.finished.assign(spec.tasks, 0);
  auto out = std::make_shared<Answer>();
  ask(
      node,
      [spec](core::RequestId q) {
        return core::CmdSubmit{q, spec};
      },
      [out](const core::Reply &r) {
        *out = {r.status, json()};
      });
  return out;
}

std::shared_ptr<World::Answer> World::look_up(int node, const std::string &id) {
  auto out = std::make_shared<Answer>();
  ask(
      node,
      [id](core::RequestId q) {
        return core::CmdLookup{q, id};
      },
      [out](const core::Reply &r) {
        *out = {r.status, wire::decode(r.body).value_or(json())};
      });
  return out;
}

std::shared_ptr<World::Answer> World::admin(int node, const std::string &method, const std::string &target,
                                            const std::string &body) {
  auto out = std::make_shared<Answer>();
  auto read = wire::read_admin(method, target, body);
  if (auto *e = std::get_if<wire::AdminError>(&read)) {
    *out = {e->status, e->text};
    return out;
  }
  ask(
      node,
      [&read](core::RequestId q) {
        return core::CmdAdmin{q, std::get<wire::AdminRequest>(read)};
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
  ask(
      node >= 0 ? node : static_cast<int>(rng_() % nodes_.size()),
      [id](core::RequestId q) {
        return core::CmdAbort{q, id};
      },
      [this, id, settled, retry](const core::Reply &r) {
        if (*settled) return;
        Told &y = told_[id];
        if (r.status != 200) {
          schedule(t_ + 1, retry);
          return;
        }
        *settled = true;
        auto state = wire::decode(r.body).value()["status"].get<std::string>();
        if (state == "aborted" && !y.cancelled) {
          y.cancelled = true;
          y.cancelled_at = t_;
          ++cancelled_jobs;
        }
      });
  schedule(t_ + 5, retry);
}

bool World::all_over() const {
  for (const auto &[id, x] : told_) {
    if (!x.accepted) return false;
    if (x.done || x.cancelled || x.spec.shape == Shape::Service) continue;
    return false;
  }
  return true;
}

std::string World::where(const std::string &id) const {
  std::string out;
  for (const auto &b : boxes_)
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

} // namespace loft::test
