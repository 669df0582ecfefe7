// Leader election among the replicas of a cell. The leader key in the state service is attached to a lease. The
// revision of the commit that created the key is the leader's term, and the fencing token that it sends to workers.
//
// Owns this replica's role, its leader lease and its knowledge of the current leader. Invariants: `lease_valid()` is
// true on at most one replica at a time, as validity counts from when the grant or renewal was requested and is
// shortened for clock drift; and terms only increase. Otherwise two leaders could start the same task (rule
// `ran_twice`). Single-threaded. See docs/safety.md, "The leader and its term".
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "loftrouter/core/catalog/instance_type_catalog.hpp"
#include "loftrouter/core/election/state_service_lease.hpp"
#include "loftrouter/core/runtime/events.hpp"
#include "loftrouter/core/runtime/runtime.hpp"
#include "loftrouter/model/settings.hpp"

namespace loftrouter::core {

// How long a replica's report that it cannot reach the state service is valid. A newly elected leader waits this long
// before it assumes that the previous leader has stopped.
constexpr double kOutageReportValidityS = 1.5;

// Maximum relative difference between the rates of two clocks, with a safety factor of four.
constexpr double kMaxClockDrift = 0.002;

enum class Role : std::uint8_t {
  Follower,
  Candidate, // requests a lease and the leader key
  Loading,   // elected; loads records from the state service
  Leading,
};

class Leadership {
public:
  Leadership(Runtime &runtime, Events &events, const Settings &settings, const InstanceTypeCatalog &catalog);

  // Polls the leader key or renews the lease when due. A follower that finds no leader key may run for leader.
  void tick();

  // Records a term reported by a replica or worker. A leader steps down if the term is higher than its own; `reason` is
  // logged.
  void observe_term(std::uint64_t term, std::string_view reason);

  // Changes from Loading to Leading once all records are loaded. Publishes TermStarted.
  void begin_term();

  // Revokes the lease and becomes a follower; no effect on a follower. Publishes TermEnded. Always safe.
  void step_down(std::string_view reason);

  // Keeps this replica from running for leader for this long, unless no other replica becomes leader meanwhile.
  void abstain_from_elections(double duration_s);

  // Sets how long the leader key must be absent before this replica runs. Poorly connected replicas wait longer.
  void set_election_delay(double delay_s) { election_delay_s_ = delay_s; }

  [[nodiscard]] Role role() const { return role_; }
  [[nodiscard]] bool leading() const { return role_ == Role::Leading; }

  // Whether the leader lease is unexpired by this replica's clock, so that no other replica can be leader.
  [[nodiscard]] bool lease_valid() const { return runtime_.now() < lease_valid_until_; }

  // Whether this replica may write records and start tasks. A leader whose lease has expired by its own clock pauses,
  // and resumes if the state service still has the lease.
  [[nodiscard]] bool active() const { return leading() && lease_valid(); }

  // This replica's latest term; 0 if it has never been elected.
  [[nodiscard]] std::uint64_t term() const { return term_; }
  [[nodiscard]] std::uint64_t highest_term() const { return highest_term_; }

  // Changes whenever this replica runs for leader, is elected, or stops leading. Senders of requests capture the epoch
  // and drop a response that arrives in a later one.
  [[nodiscard]] std::uint64_t epoch() const { return epoch_; }

  // The leader's node name; empty if unknown.
  [[nodiscard]] const std::string &leader_name() const { return leader_name_; }
  // The term in the leader key as last read; 0 if none was read, and while this replica leads.
  [[nodiscard]] std::uint64_t leader_term() const { return leader_term_; }
  // Whether the leader's version supports job dependencies; nullopt unless another replica is known to lead.
  [[nodiscard]] std::optional<bool> leader_supports_dependencies() const;
  // Time when the leader key was last read; monotonic, far in the past if never.
  [[nodiscard]] double leader_seen_at() const { return leader_seen_at_; }

  // Start of this replica's term, on the monotonic and on the wall clock.
  [[nodiscard]] double leading_since() const { return leading_since_; }
  [[nodiscard]] double leading_since_wall() const { return leading_since_wall_; }
  // Start of this replica's term if it replaced another known leader; monotonic, far in the past otherwise.
  [[nodiscard]] double failover_at() const { return failover_at_; }
  // Start of the last period in which this replica knew no leader, on the wall clock; 0 if there was none.
  [[nodiscard]] double leaderless_since_wall() const { return leaderless_since_wall_; }

private:
  void poll_leader_key();
  void on_leader_key_read(const wire::KeyValue &entry);
  void on_leader_key_absent();

  void run_for_leader();
  void commit_leader_key(StateServiceLease::Id lease, double lease_requested_at);
  void on_elected(std::uint64_t term, StateServiceLease::Id lease, double lease_requested_at);
  void on_election_lost();

  void renew_lease();
  void change_role(Role next);

  Runtime &runtime_;
  Events &events_;
  const Settings &settings_;
  const InstanceTypeCatalog &catalog_;

  // Times are monotonic, s, unless their name says otherwise.
  Role role_ = Role::Follower;
  std::uint64_t epoch_ = 0;
  std::uint64_t term_ = 0;
  std::uint64_t highest_term_ = 0;
  StateServiceLease lease_;
  double lease_valid_until_ = -1e9;

  double next_poll_at_ = 0;
  bool poll_in_flight_ = false;
  double abstain_until_ = 0;
  double election_delay_s_ = 0;
  std::optional<double> leader_absent_since_;

  std::string leader_name_;
  std::uint64_t leader_term_ = 0;
  bool leader_supports_dependencies_ = false;
  double leader_seen_at_ = -1e9;

  double leading_since_ = 0;
  double leading_since_wall_ = 0;
  double failover_at_ = -1e9;
  double leaderless_since_wall_ = 0;
};

} // namespace loftrouter::core
