// Who leads. The leader key hangs on a lease of the state service; the revision of the commit that
// set it is both the term and the workers' token. See docs/safety.md.
#include "loftrouter/core/core.hpp"

#include <fmt/format.h>

namespace loft::core {

namespace {
constexpr double kTtl = 4.0;
constexpr double kRenewEvery = 1.0;
constexpr double kPollEvery = 0.4;
constexpr double kDrift = 0.002; // twice the protocol's bound on two clocks, doubled again
constexpr double kLoadRetry = 0.2;
constexpr double kFollowHold = 3.0; // short, so that a watch that has died is noticed soon
const char *const kLeaderKey = "leader";
} // namespace

void Core::tick_term() {
  if (role_ == Role::Follower) {
    if (now() >= next_poll_ && !polling_) poll_leader();
    return;
  }
  if (role_ != Role::Acquiring && now() >= next_renew_ && !renewing_) renew();
  if (role_ == Role::Leading && !following_) follow_open();
  if (role_ == Role::Loading && !lease_valid()) step_down("lease ran out while loading");
  // A leader whose lease ran out by its own clock only pauses: it starts nothing, answers reports only
  // while every sibling says that it is cut off too, and goes on if the state service still knows the lease (after an
  // outage it does).
}

void Core::poll_leader() {
  next_poll_ = now() + kPollEvery * (0.8 + 0.4 * random());
  polling_ = true;
  store(StoreGet{kLeaderKey}, 1.0, [this](const wire::StoreReply &r) {
    polling_ = false;
    if (role_ != Role::Follower) return;
    if (r.status == 200 && r.entries.size() == 1) {
      if (auto rec = wire::leader_from_json(r.entries[0].value)) {
        leader_name_ = rec->node == settings_.node ? "" : rec->node;
        leader_term_ = r.entries[0].stamp;
        highest_term_ = std::max(highest_term_, leader_term_);
        leader_seen_ = now();
      }
    } else if (r.status == 404) {
      if (!leader_name_.empty() || leaderless_since_wall_ <= 0) leaderless_since_wall_ = now_.wall;
      leader_name_.clear();
      if (now() >= acquire_after_ && types_known_) acquire();
    }
  });
}

void Core::acquire() {
  role_ = Role::Acquiring;
  auto guard = ++epoch_guard_;
  double sent = now();
  auto back = [this, guard](std::uint64_t lease) {
    if (guard != epoch_guard_) return;
    if (lease) store(StoreLeaseDrop{lease}, 2.0, [](const wire::StoreReply &) {});
    role_ = Role::Follower;
    ++epoch_guard_;
    acquire_after_ = now() + 0.2 * random();
    next_poll_ = now() + 0.05;
  };
  store(StoreLeaseNew{kTtl}, 1.0, [this, guard, sent, back](const wire::StoreReply &r) {
    if (guard != epoch_guard_) return;
    if (r.status != 200 || !r.lease) return back(0);
    auto lease = r.lease;
    nonce_ = static_cast<std::uint64_t>(random() * 9e15);
    store(StoreCommit{{{kLeaderKey, 0}}, {{kLeaderKey, wire::to_json(LeaderRecord{settings_.node, nonce_}), lease}}},
          1.0, [this, guard, lease, sent, back](const wire::StoreReply &c) {
            if (guard != epoch_guard_) return;
            // An unknown outcome is given up with its lease: a commit that arrives later finds no lease.
            if (c.status != 200) return back(lease);
            role_ = Role::Loading;
            ++epoch_guard_;
            term_ = c.revision;
            lease_ = lease;
            highest_term_ = std::max(highest_term_, term_);
            lease_valid_until_ = sent + kTtl * (1 - kDrift) - 0.02;
            next_renew_ = now();
            // By now the last leader's lease has run out by its own clock too, and our last word that we
            // are cut off lies behind us: it may have prolonged that leader by a statement's life at most.
            // Every worker it kept alive is heard or dead by this time.
            unaccounted_until_ = now() + kStatementLife * (1 + kDrift) + settings_.lease_s * (1 + kDrift) + 0.7;
            log(LogLevel::Info, fmt::format("elected: term {}", term_));
            loaded_progress_.clear();
            loaded_shard_.clear();
            follow_from_ = 0;
            load_progress("");
          });
  });
}

void Core::renew() {
  renewing_ = true;
  double sent = now();
  next_renew_ = now() + kRenewEvery;
  store(StoreLeaseTouch{lease_}, 1.0, [this, sent, guard = epoch_guard_](const wire::StoreReply &r) {
    renewing_ = false;
    if (guard != epoch_guard_ || role_ == Role::Follower) return;
    if (r.status == 200)
      lease_valid_until_ = std::max(lease_valid_until_, sent + kTtl * (1 - kDrift) - 0.02);
    else if (r.status == 404)
      step_down("lease is gone");
    else
      next_renew_ = now() + 0.3;
  });
}

void Core::step_down(std::string_view why) {
  if (role_ == Role::Follower) return;
  log(LogLevel::Info, fmt::format("no longer leading (term {}): {}", term_, why));
  role_ = Role::Follower;
  ++epoch_guard_;
  lease_valid_until_ = -1e9;
  if (lease_) store(StoreLeaseDrop{lease_}, 2.0, [](const wire::StoreReply &) {});
  lease_ = 0;
  renewing_ = following_ = flushing_ = relisting_ = false;
  leader_name_.clear();
  leaderless_since_wall_ = now_.wall;
  next_poll_ = now();
  acquire_after_ = now() + 0.5;
  jobs_.clear();
  free_jobs_.clear();
  job_index_.clear();
  shards_.clear();
  line_.clear();
  line_serials_.clear();
  ending_.clear();
  moves_.clear();
  machines_.clear();
  machine_index_.clear();
  stops_news_.clear();
  listing_ = returning_ = false;
  listed_once_at_ = -1;
  rents_open_.clear();
}

// Progress is read before the open jobs: a job that ends in between is then simply not found open.
void Core::load_progress(std::string from) {
  store(StoreList{"progress/", from}, 2.0, [this, from, guard = epoch_guard_](const wire::StoreReply &r) {
    if (guard != epoch_guard_) return;
    if (r.status != 200)
      return later(kLoadRetry, [this, from, guard] {
        if (guard == epoch_guard_) load_progress(from);
      });
    for (const auto &e : r.entries) {
      auto records = wire::progress_from_json(e.key, e.value);
      if (!records) { // what it may have said was started is not known, so nothing may be
        log(LogLevel::Error, fmt::format("record {} cannot be read", e.key.substr(0, 60)));
        return step_down("a progress record cannot be read");
      }
      Shard s;
      s.key = e.key;
      s.stamp = e.stamp;
      for (auto &[id, p] : *records) {
        loaded_shard_[id] = shards_.size();
        auto &known = loaded_progress_[id];
        known.started.insert(known.started.end(), p.started.begin(), p.started.end());
        known.finished.insert(known.finished.end(), p.finished.begin(), p.finished.end());
        known.failed_on = std::max(known.failed_on, p.failed_on);
      }
      shards_.push_back(std::move(s));
    }
    if (r.more && !r.entries.empty()) return load_progress(r.entries.back().key);
    load_open("");
  });
}

// All open records: before leading, and again whenever the watch has failed.
void Core::load_open(std::string from) {
  if (from.empty()) listed_from_ = now();
  store(StoreList{"open/", from}, 2.0, [this, from, guard = epoch_guard_](const wire::StoreReply &r) {
    if (guard != epoch_guard_) return;
    if (r.status != 200)
      return later(kLoadRetry, [this, from, guard] {
        if (guard == epoch_guard_) load_open(from);
      });
    if (from.empty()) follow_from_ = r.revision;
    for (const auto &e : r.entries) {
      if (auto end = wire::final_from_json(e.value); end && !relisting_) {
        moves_.push_back({e.key.substr(5), e.stamp, wire::to_json(*end)});
        remember_end(moves_.back().id, std::move(*end));
      }
      update_open(e.key, e.value, e.stamp);
    }
    if (r.more && !r.entries.empty()) return load_open(r.entries.back().key);
    informed_at_ = listed_from_;
    informed_wall_ = now_.wall;
    if (relisting_) {
      relisting_ = false;
      return;
    }
    start_leading();
  });
}

void Core::start_leading() {
  role_ = Role::Leading;
  leading_since_ = now();
  spread_.begin(spread_known_);
  leading_since_wall_ = now_.wall;
  news_.clear();
  news_order_.clear();
  loaded_progress_.clear();
  loaded_shard_.clear();
  for (std::size_t s = 0; s < shards_.size(); ++s)
    if (shards_[s].jobs.empty()) mark_shard(s, false);
  next_round_ = now() + 0.5;
  next_list_ = now();
  next_scale_ = now() + 1.0;
  listed_once_at_ = -1;
  gone_.clear();
  leader_name_ = settings_.node;
  std::uint32_t suspects = 0;
  for (const auto &j : jobs_)
    if (j) suspects += j->unaccounted;
  log(LogLevel::Info,
      fmt::format("leading: term {}, {} open jobs, {} tasks unaccounted for", term_, job_index_.size(), suspects));
  follow_open();
}

void Core::follow_open() {
  if (following_ || relisting_) return;
  following_ = true;
  store(StoreFollow{"open/", follow_from_, kFollowHold}, kFollowHold + 1.5,
        [this, sent = now(), guard = epoch_guard_](const wire::StoreReply &r) {
          if (guard != epoch_guard_) return;
          following_ = false;
          if (r.status == 410 || r.status == 0) { // too far behind, or no answer: a list may get one
            relisting_ = true;
            return load_open("");
          }
          if (r.status != 200) return; // tried again with the next tick
          for (const auto &e : r.events)
            if (e.value) update_open(e.key, *e.value, e.stamp);
          follow_from_ = std::max(follow_from_, r.revision);
          informed_at_ = sent;
          informed_wall_ = now_.wall;
          follow_open();
        });
}

// Every cancellation confirmed before `informed_at_` is known here. One confirmed later may not be, so
// after a while without news nothing is started or kept alive: what runs must be gone `cancel_s` after it.
bool Core::informed() const {
  // Where `cancel_s` leaves no time for a lease to run out, a watch that works must do.
  return now() - informed_at_ < std::max(settings_.cancel_s - 1.01 * settings_.lease_s - 3, kFollowHold + 2);
}

} // namespace loft::core
