#include "loftrouter/core/election/leadership.hpp"

#include <algorithm>
#include <cassert>

namespace loftrouter::core {

namespace {
constexpr double kLeaseTtlS = 4.0;
constexpr double kLeaseMarginS = 0.02; // allows for the clock resolution
constexpr double kRenewalIntervalS = 1.0;
constexpr double kRenewalRetryS = 0.3;

constexpr double kPollIntervalS = 0.4;
constexpr double kPollAfterLostElectionS = 0.05;
constexpr double kRequestTimeoutS = 1.0;

constexpr double kMaxAbstentionS = 3.0; // absence of a leader after which an abstaining replica runs anyway
constexpr double kAbstentionAfterStepDownS = 0.5;
constexpr double kMaxBackoffAfterLostElectionS = 0.2;

// Margin after the worker leases of the last leader have expired, before unreported tasks are treated as ended.
constexpr double kUnaccountedMarginS = 0.7;

const char *const kLeaderKey = "leader";

// Local time at which a lease requested or renewed at `requested_at` is treated as expired. This is before it expires
// in the state service, which counts from the arrival of the request by a clock that may run faster.
double lease_validity_end(double requested_at) {
  return requested_at + kLeaseTtlS * (1 - kMaxClockDrift) - kLeaseMarginS;
}

[[maybe_unused]] bool transition_allowed(Role current, Role next) {
  switch (next) {
  case Role::Follower:
    return current != Role::Follower;
  case Role::Candidate:
    return current == Role::Follower;
  case Role::Loading:
    return current == Role::Candidate;
  case Role::Leading:
    return current == Role::Loading;
  }
  return false;
}
} // namespace

Leadership::Leadership(Runtime &runtime, Events &events, const Settings &settings, const InstanceTypeCatalog &catalog)
    : runtime_(runtime), events_(events), settings_(settings), catalog_(catalog), lease_(runtime, kLeaseTtlS) {}

std::optional<bool> Leadership::leader_supports_dependencies() const {
  if (role_ != Role::Follower || leader_name_.empty()) return std::nullopt;
  return leader_supports_dependencies_;
}

// A leader whose lease has expired by its own clock does not step down: it starts no tasks, and answers heartbeats only
// while every other replica reports that it cannot reach the state service either. It resumes if the state service
// still has the lease after the outage.
void Leadership::tick() {
  switch (role_) {
  case Role::Follower:
    if (runtime_.now() >= next_poll_at_ && !poll_in_flight_) poll_leader_key();
    return;
  case Role::Candidate:
    return; // awaits responses of the state service
  case Role::Loading:
    if (lease_.request_due()) renew_lease();
    if (!lease_valid()) step_down("lease expired while loading");
    return;
  case Role::Leading:
    if (lease_.request_due()) renew_lease();
    return;
  }
}

void Leadership::change_role(Role next) {
  assert(transition_allowed(role_, next));
  // Responses to requests sent while loading are still accepted after the term has begun.
  if (next != Role::Leading) ++epoch_;
  role_ = next;
}

void Leadership::poll_leader_key() {
  next_poll_at_ = runtime_.now() + runtime_.with_jitter(kPollIntervalS);
  poll_in_flight_ = true;
  runtime_.store(StoreGet{kLeaderKey}, kRequestTimeoutS, [this](const wire::StoreReply &reply) {
    poll_in_flight_ = false;
    if (role_ != Role::Follower) return;
    if (reply.status == 200 && reply.entries.size() == 1)
      on_leader_key_read(reply.entries.front());
    else if (reply.status == 404)
      on_leader_key_absent();
  });
}

void Leadership::on_leader_key_read(const wire::KeyValue &entry) {
  const auto record = wire::leader_from_json(entry.value);
  if (!record) return;
  // A follower finds its own name if the key is left from its last term, or from an earlier process of this replica.
  leader_name_ = record->node == settings_.node ? "" : record->node;
  leader_term_ = entry.mod_revision;
  // Versions that support job dependencies set this bit of the nonce.
  leader_supports_dependencies_ = record->nonce & wire::kKnowsDependencies;
  highest_term_ = std::max(highest_term_, leader_term_);
  leader_seen_at_ = runtime_.now();
  leader_absent_since_.reset();
}

void Leadership::on_leader_key_absent() {
  if (!leader_name_.empty() || leaderless_since_wall_ <= 0) leaderless_since_wall_ = runtime_.wall();
  leader_name_.clear();
  if (!leader_absent_since_) leader_absent_since_ = runtime_.now();
  const double absent_s = runtime_.now() - *leader_absent_since_;
  const bool abstains = runtime_.now() < abstain_until_ && absent_s <= kMaxAbstentionS;
  if (!abstains && absent_s >= election_delay_s_ && catalog_.known()) run_for_leader();
}

void Leadership::run_for_leader() {
  change_role(Role::Candidate);
  const double requested_at = runtime_.now();
  lease_.request_grant([this, requested_at, epoch = epoch_](std::optional<StateServiceLease::Id> lease) {
    if (epoch != epoch_) return;
    if (lease)
      commit_leader_key(*lease, requested_at);
    else
      on_election_lost();
  });
}

void Leadership::commit_leader_key(StateServiceLease::Id lease, double lease_requested_at) {
  const LeaderRecord record{settings_.node, runtime_.nonce() | wire::kKnowsDependencies};
  StoreCommit commit{{{kLeaderKey, 0}}, {{kLeaderKey, wire::to_json(record), lease}}};
  runtime_.store(std::move(commit), kRequestTimeoutS,
                 [this, lease, lease_requested_at, epoch = epoch_](const wire::StoreReply &reply) {
                   if (epoch != epoch_) return;
                   if (reply.status == 200) return on_elected(reply.revision, lease, lease_requested_at);
                   // A commit whose outcome is unknown may still be applied later; revoking its lease prevents that.
                   lease_.revoke(lease);
                   on_election_lost();
                 });
}

void Leadership::on_elected(std::uint64_t term, StateServiceLease::Id lease, double lease_requested_at) {
  change_role(Role::Loading);
  term_ = term;
  highest_term_ = std::max(highest_term_, term_);
  lease_.hold(lease);
  lease_valid_until_ = lease_validity_end(lease_requested_at);
  lease_.schedule_request(0);
  // The last leader's lease has expired. It may still answer heartbeats for as long as this replica's last outage
  // report is valid. Every worker whose lease it renewed has contacted this replica or lost its lease by the computed
  // time.
  const double unaccounted_until = runtime_.now() + kOutageReportValidityS * (1 + kMaxClockDrift) +
                                   settings_.lease_s * (1 + kMaxClockDrift) + kUnaccountedMarginS;
  events_.publish(LeaderElected{term_, unaccounted_until});
}

void Leadership::on_election_lost() {
  change_role(Role::Follower);
  abstain_until_ = runtime_.now() + kMaxBackoffAfterLostElectionS * runtime_.random();
  next_poll_at_ = runtime_.now() + kPollAfterLostElectionS;
}

void Leadership::abstain_from_elections(double duration_s) {
  abstain_until_ = runtime_.now() + duration_s;
}

void Leadership::renew_lease() {
  const double requested_at = runtime_.now();
  lease_.schedule_request(kRenewalIntervalS);
  lease_.request_renewal([this, requested_at, epoch = epoch_](StateServiceLease::Renewal outcome) {
    if (epoch != epoch_ || role_ == Role::Follower) return;
    switch (outcome) {
    case StateServiceLease::Renewal::Confirmed:
      lease_valid_until_ = std::max(lease_valid_until_, lease_validity_end(requested_at));
      return;
    case StateServiceLease::Renewal::Expired:
      return step_down("lease expired");
    case StateServiceLease::Renewal::Unknown:
      return lease_.schedule_request(kRenewalRetryS);
    }
  });
}

void Leadership::begin_term() {
  change_role(Role::Leading);
  leading_since_ = runtime_.now();
  leading_since_wall_ = runtime_.wall();
  leader_name_ = settings_.node;
  const bool replaced_another_leader = leader_term_ > 0;
  failover_at_ = replaced_another_leader ? runtime_.now() : -1e9;
  leader_term_ = 0;
  leader_absent_since_.reset();
  events_.publish(TermStarted{term_});
}

void Leadership::observe_term(std::uint64_t term, std::string_view reason) {
  highest_term_ = std::max(highest_term_, term);
  const bool elected = role_ == Role::Loading || role_ == Role::Leading;
  if (elected && term > term_) step_down(reason);
}

void Leadership::step_down(std::string_view reason) {
  if (role_ == Role::Follower) return;
  events_.publish(TermEnded{term_, std::string(reason)});
  change_role(Role::Follower);
  lease_valid_until_ = -1e9;
  lease_.revoke();
  leader_name_.clear();
  leaderless_since_wall_ = runtime_.wall();
  next_poll_at_ = runtime_.now();
  abstain_until_ = runtime_.now() + kAbstentionAfterStepDownS;
}

} // namespace loftrouter::core
