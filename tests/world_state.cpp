// The simulated state service, and what can go wrong on the way to it.
#include "world.hpp"

#include <algorithm>

namespace loftrouter::test {

using nlohmann::json;

void World::change(const std::string &key, std::optional<json> value, std::uint64_t lease) {
  if (value)
    keys_[key] = {*value, epoch_, lease};
  else
    keys_.erase(key);
  history_.push_back({key, value, epoch_});
}

std::vector<wire::KeyValue> World::records(const std::string &prefix) const {
  std::vector<wire::KeyValue> out;
  for (const auto &[k, v] : keys_)
    if (k.starts_with(prefix)) out.push_back({k, v.value, v.mod_revision, v.lease});
  return out;
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
  if (auto *g = std::get_if<core::StoreGet>(&op.request)) {
    auto it = keys_.find(g->key);
    if (it == keys_.end())
      r.status = 404;
    else
      r.entries.push_back({it->first, it->second.value, it->second.mod_revision, it->second.lease});
  } else if (auto *l = std::get_if<core::StoreList>(&op.request)) {
    for (auto &[k, v] : keys_) {
      if (k.compare(0, l->prefix.size(), l->prefix) != 0 || k <= l->from) continue;
      if (r.entries.size() >=
          static_cast<std::size_t>(std::min(o_.page, l->page))) { // small, so that paging is exercised
        r.more = true;
        break;
      }
      r.entries.push_back({k, v.value, v.mod_revision, v.lease});
    }
  } else if (auto *c = std::get_if<core::StoreCommit>(&op.request)) {
    for (auto &g : c->preconditions) {
      auto it = keys_.find(g.key);
      if ((it == keys_.end() ? 0 : it->second.mod_revision) != g.mod_revision) r.failed.push_back(g.key);
    }
    const bool untold = o_.untold_value_kb > 0;
    const double kb = untold ? o_.untold_value_kb : o_.value_kb;
    for (auto &w : c->writes)
      if (w.value && static_cast<double>(w.value->dump().size()) > kb * 1024) {
        if (!untold) break_rule("value too large: " + w.key);
        r.status = 400;
      }
    const auto ops = static_cast<std::size_t>(o_.txn_ops);
    if (c->writes.size() > ops || c->preconditions.size() > 4 * ops) {
      break_rule("transaction too large");
      r.status = 400;
    }
    for (auto &w : c->writes)
      if (w.lease && !leases_.count(w.lease)) r.status = 400;
    if (r.status == 200 && !r.failed.empty()) r.status = 409;
    failed_commits += r.status == 409 && !c->writes.empty();
    if (r.status == 200 && !c->writes.empty()) {
      r.revision = ++epoch_;
      for (auto &w : c->writes)
        change(w.key, w.value, w.lease);
    }
  } else if (auto *n = std::get_if<core::StoreLeaseGrant>(&op.request)) {
    r.lease = next_lease_++;
    leases_[r.lease] = {n->ttl_s, t_ + n->ttl_s};
  } else if (auto *n = std::get_if<core::StoreLeaseRenew>(&op.request)) {
    auto it = leases_.find(n->lease);
    if (it == leases_.end())
      r.status = 404;
    else
      it->second.second = t_ + it->second.first;
  } else if (auto *n = std::get_if<core::StoreLeaseRevoke>(&op.request)) {
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
      if (e.mod_revision > w.from && e.key.compare(0, w.prefix.size(), w.prefix) == 0 &&
          (lost_events <= 0 || !chance(lost_events)))
        r.events.push_back(e);
    Node &n = nodes_[static_cast<std::size_t>(w.node)];
    if (r.events.empty() || n.state.cut(t_)) {
      ++f;
      continue;
    }
    followers_.erase(followers_.begin() + static_cast<long>(f));
    schedule(t_ + uniform(0.001, 0.01), [this, w, r] {
      Node &m = nodes_[static_cast<std::size_t>(w.node)];
      if (m.life == w.life && m.waiting.erase(w.op)) push(w.node, core::StoreReplyCommand{w.op, r});
    });
  }
}

void World::store_op(int i, const core::StoreOp &op) {
  Node &n = nodes_[static_cast<std::size_t>(i)];
  int life = n.life;
  n.waiting[op.op] = true;
  auto answer = [this, i, life, id = op.op](wire::StoreReply r) {
    Node &m = nodes_[static_cast<std::size_t>(i)];
    if (m.life == life && m.waiting.erase(id)) push(i, core::StoreReplyCommand{id, std::move(r)});
  };
  schedule(t_ + op.timeout_s, [answer] { answer({}); });
  double there = t_ + uniform(0.001, 0.006);
  bool lose_answer = false;
  if (n.state.cut(t_)) {
    const auto how = n.state.how;
    if (how == Cut::Drop) return;
    if (how == Cut::Lists &&
        (std::holds_alternative<core::StoreList>(op.request) || std::holds_alternative<core::StoreWatch>(op.request)))
      return;
    if (how == Cut::Hold) there = n.state.cut_until + uniform(0, 0.01); // delivered once the cut is over
    if (how == Cut::Slow) there = t_ + uniform(0.3, 1.5);
    lose_answer = how == Cut::NoAnswers;
    if (how == Cut::Refuse && !std::holds_alternative<core::StoreWatch>(op.request)) {
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
  const auto *commit = std::get_if<core::StoreCommit>(&op.request);
  const bool late = commit && !commit->writes.empty() && o_.late_writes > 0 && chance(o_.late_writes);
  if (late) {
    lose_answer = true;
    there = t_ + uniform(2, 12);
    ++late_commits;
  }
  auto status = [this](int code) {
    wire::StoreReply r;
    r.status = code;
    r.revision = epoch_;
    return r;
  };
  schedule(there, [this, i, life, op, answer, status, lose_answer, late] {
    if (auto *f = std::get_if<core::StoreWatch>(&op.request)) {
      if (lose_watches) return;
      if (t_ < outage_until_) return answer(status(503));
      expire_leases();
      followers_.push_back({i, life, op.op, f->prefix, f->from});
      schedule(t_ + f->hold_s, [this, i, life, id = op.op, answer, status] {
        // Whoever still waits has missed nothing, unless it is cut off: then it waits on.
        if (t_ < outage_until_ || nodes_[static_cast<std::size_t>(i)].state.cut(t_)) return;
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
    late_applied += late && r.status == 200;
    if (!lose_answer) schedule(t_ + uniform(0.001, 0.006), [answer, r] { answer(r); });
  });
}

} // namespace loftrouter::test
