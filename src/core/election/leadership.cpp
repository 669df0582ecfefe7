#include "loftrouter/core/election/leadership.hpp"

namespace loftrouter::core {

namespace {
constexpr double kTtl = 4.0;
constexpr double kRenewEvery = 1.0;
constexpr double kPollEvery = 0.4;
constexpr double kAbstentionLimit = 3.0; // s without a leader, after which one that has stood back stands again
const char *const kLeaderKey = "leader";
} // namespace

void Leadership::tick() {
  if (role_ == Role::Follower) {
    if (runtime_.now() >= next_poll_ && !polling_) poll_leader();
    return;
  }
  if (role_ != Role::Acquiring && runtime_.now() >= next_renew_ && !renewing_) renew();
  if (role_ == Role::Loading && !lease_valid()) step_down("lease ran out while loading");
  // A leader whose lease ran out by its own clock only pauses: it starts nothing, answers reports only
  // while every sibling says that it is cut off too, and goes on if the state service still knows the lease (after an
  // outage it does).
}

void Leadership::poll_leader() {
  next_poll_ = runtime_.now() + kPollEvery * (0.8 + 0.4 * runtime_.random());
  polling_ = true;
  runtime_.store(StoreGet{kLeaderKey}, 1.0, [this](const wire::StoreReply &reply) {
    polling_ = false;
    if (role_ != Role::Follower) return;
    if (reply.status == 200 && reply.entries.size() == 1) {
      if (auto rec = wire::leader_from_json(reply.entries[0].value)) {
        leader_name_ = rec->node == settings_.node ? "" : rec->node;
        leader_term_ = reply.entries[0].mod_revision;
        leader_knows_dependencies_ = rec->nonce & wire::kKnowsDependencies;
        highest_term_ = std::max(highest_term_, leader_term_);
        leader_seen_ = runtime_.now();
        leaderless_since_ = -1;
      }
    } else if (reply.status == 404) {
      if (!leader_name_.empty() || leaderless_since_wall_ <= 0) leaderless_since_wall_ = runtime_.wall();
      leader_name_.clear();
      if (leaderless_since_ < 0) leaderless_since_ = runtime_.now();
      const double empty = runtime_.now() - leaderless_since_;
      if ((runtime_.now() >= acquire_after_ || empty > kAbstentionLimit) && empty >= election_delay_ &&
          catalog_.known())
        acquire();
    }
  });
}

void Leadership::acquire() {
  role_ = Role::Acquiring;
  const auto epoch = ++epoch_;
  const double sent = runtime_.now();
  auto back = [this, epoch](std::uint64_t lease) {
    if (epoch != epoch_) return;
    if (lease) runtime_.store(StoreLeaseRevoke{lease}, 2.0, [](const wire::StoreReply &) {});
    role_ = Role::Follower;
    ++epoch_;
    acquire_after_ = runtime_.now() + 0.2 * runtime_.random();
    next_poll_ = runtime_.now() + 0.05;
  };
  runtime_.store(StoreLeaseGrant{kTtl}, 1.0, [this, epoch, sent, back](const wire::StoreReply &r) {
    if (epoch != epoch_) return;
    if (r.status != 200 || !r.lease) return back(0);
    const auto lease = r.lease;
    const LeaderRecord record{settings_.node, runtime_.nonce() | wire::kKnowsDependencies};
    runtime_.store(StoreCommit{{{kLeaderKey, 0}}, {{kLeaderKey, wire::to_json(record), lease}}}, 1.0,
                   [this, epoch, lease, sent, back](const wire::StoreReply &reply) {
                     if (epoch != epoch_) return;
                     // An unknown outcome is given up with its lease: a commit that arrives later finds no lease.
                     if (reply.status != 200) return back(lease);
                     role_ = Role::Loading;
                     ++epoch_;
                     term_ = reply.revision;
                     lease_ = lease;
                     highest_term_ = std::max(highest_term_, term_);
                     lease_valid_until_ = sent + kTtl * (1 - kDrift) - 0.02;
                     next_renew_ = runtime_.now();
                     // By now the last leader's lease has run out by its own clock too, and our last word that we
                     // are cut off lies behind us: it may have prolonged that leader by a statement's life at most.
                     // Every worker it kept alive is heard or dead by this time.
                     events_.publish(LeaderElected{term_, runtime_.now() + kStatementLife * (1 + kDrift) +
                                                              settings_.lease_s * (1 + kDrift) + 0.7});
                   });
  });
}

void Leadership::renew() {
  renewing_ = true;
  const double sent = runtime_.now();
  next_renew_ = runtime_.now() + kRenewEvery;
  runtime_.store(StoreLeaseRenew{lease_}, 1.0, [this, sent, epoch = epoch_](const wire::StoreReply &reply) {
    renewing_ = false;
    if (epoch != epoch_ || role_ == Role::Follower) return;
    if (reply.status == 200)
      lease_valid_until_ = std::max(lease_valid_until_, sent + kTtl * (1 - kDrift) - 0.02);
    else if (reply.status == 404)
      step_down("lease is gone");
    else
      next_renew_ = runtime_.now() + 0.3;
  });
}

void Leadership::observe_term(std::uint64_t term, std::string_view who) {
  highest_term_ = std::max(highest_term_, term);
  if ((role_ == Role::Leading || role_ == Role::Loading) && term > term_) step_down(who);
}

void Leadership::begin_term() {
  role_ = Role::Leading;
  leading_since_ = runtime_.now();
  leading_since_wall_ = runtime_.wall();
  leader_name_ = settings_.node;
  took_over_at_ = leader_term_ > 0 ? runtime_.now() : -1e9;
  leader_term_ = 0;
  leaderless_since_ = -1;
  events_.publish(TermStarted{term_});
}

void Leadership::step_down(std::string_view why) {
  if (role_ == Role::Follower) return;
  events_.publish(TermEnded{term_, std::string(why)});
  role_ = Role::Follower;
  ++epoch_;
  lease_valid_until_ = -1e9;
  if (lease_) runtime_.store(StoreLeaseRevoke{lease_}, 2.0, [](const wire::StoreReply &) {});
  lease_ = 0;
  renewing_ = false;
  leader_name_.clear();
  leaderless_since_wall_ = runtime_.wall();
  next_poll_ = runtime_.now();
  acquire_after_ = runtime_.now() + 0.5;
}

void Leadership::abstain_from_elections(double for_s) {
  acquire_after_ = runtime_.now() + for_s;
}

} // namespace loftrouter::core
