#include "loftrouter/core/election/leadership.hpp"

#include <algorithm>
#include <cassert>

namespace loftrouter::core {

namespace {
constexpr double kLeaseTtlS = 4.0;
constexpr double kLeaseMarginS = 0.02; // taken off the lease beside the drift, for the clock's resolution
constexpr double kRenewalIntervalS = 1.0;
constexpr double kRenewalRetryS = 0.3;

constexpr double kPollIntervalS = 0.4;
constexpr double kPollAfterLostElectionS = 0.05;
constexpr double kRequestTimeoutS = 1.0;

// After so long without a leader, also a replica that abstains runs.
constexpr double kMaxAbstentionS = 3.0;
constexpr double kAbstentionAfterStepDownS = 0.5;
constexpr double kMaxBackoffAfterLostElectionS = 0.2;

// From the end of the last leader's tasks' leases until a new leader takes those it has not heard of for gone.
constexpr double kUnaccountedMarginS = 0.7;

const char *const kLeaderKey = "leader";

// When a leader whose lease was asked for or renewed at `requested_at` has to stop. The state service counts the
// lease from when the request arrived, which is later; the other clock may run faster by the drift.
double lease_validity_end(double requested_at) {
  return requested_at + kLeaseTtlS * (1 - kMaxClockDrift) - kLeaseMarginS;
}

// The transitions of the role. `Candidate` to `Candidate` and the like do not occur.
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

// A leader whose lease has expired by its own clock only pauses: it starts nothing, and answers heartbeats only while
// every other replica says that it cannot reach the state service either. If the state service still knows the lease
// after the outage, the leader goes on.
void Leadership::tick() {
  switch (role_) {
  case Role::Follower:
    if (runtime_.now() >= next_poll_at_ && !poll_in_flight_) poll_leader_key();
    return;
  case Role::Candidate:
    return; // waits for the state service
  case Role::Loading:
    if (lease_.request_due()) renew_lease();
    if (!lease_valid()) step_down("lease expired while loading");
    return;
  case Role::Leading:
    if (lease_.request_due()) renew_lease();
    return;
  }
}

void Leadership::become(Role next) {
  assert(transition_allowed(role_, next));
  // The end of loading changes nothing for requests under way.
  if (next != Role::Leading) ++epoch_;
  role_ = next;
}

// ---- following ----

void Leadership::poll_leader_key() {
  next_poll_at_ = runtime_.now() + runtime_.with_jitter(kPollIntervalS);
  poll_in_flight_ = true;
  runtime_.store(StoreGet{kLeaderKey}, kRequestTimeoutS, [this](const wire::StoreReply &reply) {
    poll_in_flight_ = false;
    if (role_ != Role::Follower) return;
    if (reply.status == 200 && reply.entries.size() == 1)
      leader_key_read(reply.entries.front());
    else if (reply.status == 404)
      leader_key_absent();
  });
}

void Leadership::leader_key_read(const wire::KeyValue &entry) {
  const auto record = wire::leader_from_json(entry.value);
  if (!record) return;
  // This replica's own key is of a term that it has ended, or of an earlier process.
  leader_name_ = record->node == settings_.node ? "" : record->node;
  leader_term_ = entry.mod_revision;
  leader_supports_dependencies_ = record->nonce & wire::kKnowsDependencies;
  highest_term_ = std::max(highest_term_, leader_term_);
  leader_seen_at_ = runtime_.now();
  leader_absent_since_.reset();
}

void Leadership::leader_key_absent() {
  if (!leader_name_.empty() || leaderless_since_wall_ <= 0) leaderless_since_wall_ = runtime_.wall();
  leader_name_.clear();
  if (!leader_absent_since_) leader_absent_since_ = runtime_.now();
  const double absent_s = runtime_.now() - *leader_absent_since_;
  const bool abstains = runtime_.now() < abstain_until_ && absent_s <= kMaxAbstentionS;
  if (!abstains && absent_s >= election_delay_s_ && catalog_.known()) run_for_leader();
}

// ---- running for leader ----

void Leadership::run_for_leader() {
  become(Role::Candidate);
  const double requested_at = runtime_.now();
  lease_.request_grant([this, requested_at, epoch = epoch_](std::optional<StateServiceLease::Id> lease) {
    if (epoch != epoch_) return;
    if (lease)
      commit_leader_key(*lease, requested_at);
    else
      election_lost();
  });
}

void Leadership::commit_leader_key(StateServiceLease::Id lease, double lease_requested_at) {
  const LeaderRecord record{settings_.node, runtime_.nonce() | wire::kKnowsDependencies};
  StoreCommit commit{{{kLeaderKey, 0}}, {{kLeaderKey, wire::to_json(record), lease}}};
  runtime_.store(std::move(commit), kRequestTimeoutS,
                 [this, lease, lease_requested_at, epoch = epoch_](const wire::StoreReply &reply) {
                   if (epoch != epoch_) return;
                   if (reply.status == 200) return elected(reply.revision, lease, lease_requested_at);
                   // Where the outcome is unknown the commit may still arrive: without its lease it is refused.
                   lease_.revoke(lease);
                   election_lost();
                 });
}

void Leadership::elected(std::uint64_t term, StateServiceLease::Id lease, double lease_requested_at) {
  become(Role::Loading);
  term_ = term;
  highest_term_ = std::max(highest_term_, term_);
  lease_.hold(lease);
  lease_valid_until_ = lease_validity_end(lease_requested_at);
  lease_.schedule_request(0);
  // By now the last leader's lease has expired by its own clock too, and this replica no longer states that it cannot
  // reach the state service: its last such statement may have kept that leader answering for as long as it counts.
  // Every worker that the last leader kept alive has reported here or is dead by this time.
  const double unaccounted_until = runtime_.now() + kOutageReportValidityS * (1 + kMaxClockDrift) +
                                   settings_.lease_s * (1 + kMaxClockDrift) + kUnaccountedMarginS;
  events_.publish(LeaderElected{term_, unaccounted_until});
}

void Leadership::election_lost() {
  become(Role::Follower);
  abstain_until_ = runtime_.now() + kMaxBackoffAfterLostElectionS * runtime_.random();
  next_poll_at_ = runtime_.now() + kPollAfterLostElectionS;
}

void Leadership::abstain_from_elections(double duration_s) {
  abstain_until_ = runtime_.now() + duration_s;
}

// ---- leading ----

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
  become(Role::Leading);
  leading_since_ = runtime_.now();
  leading_since_wall_ = runtime_.wall();
  leader_name_ = settings_.node;
  failover_at_ = leader_term_ > 0 ? runtime_.now() : -1e9;
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
  become(Role::Follower);
  lease_valid_until_ = -1e9;
  lease_.revoke();
  leader_name_.clear();
  leaderless_since_wall_ = runtime_.wall();
  next_poll_at_ = runtime_.now();
  abstain_until_ = runtime_.now() + kAbstentionAfterStepDownS;
}

} // namespace loftrouter::core
