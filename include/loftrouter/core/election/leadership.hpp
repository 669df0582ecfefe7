// Leader election among the replicas of a cell. The leader key of the state service is attached to a lease; the
// revision of the commit that created the key is the leader's term, and the fencing token that workers see.
//
// Owns this replica's role, its leader lease and what it knows of the current leader. Invariants: `lease_valid()` is
// true on at most one replica at any moment, because validity counts from before each renewal was sent and is
// shortened for clock drift; and terms only grow. If either were broken, two leaders could start the same task (rule
// `ran_twice`). Single-threaded, as all of the core. See docs/safety.md, "The leader and its term".
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

// How long a replica's statement that it cannot reach the state service counts, s. A newly elected leader waits as
// long before it takes the previous leader to have stopped.
constexpr double kOutageReportValidityS = 1.5;

// By how much two clocks' rates may differ: four times the bound that the protocol gives.
constexpr double kMaxClockDrift = 0.002;

enum class Role : std::uint8_t {
  Follower,
  Candidate, // asks for a lease and for the leader key
  Loading,   // elected; reads the records of the state service
  Leading,
};

class Leadership {
public:
  Leadership(Runtime &runtime, Events &events, const Settings &settings, const InstanceTypeCatalog &catalog);

  // Polls the leader key, runs for leader, or renews the lease, whichever is due.
  void tick();

  // Takes note of a term that some replica or worker has seen. One higher than this replica's own ends its term.
  // `reason` goes into the log.
  void observe_term(std::uint64_t term, std::string_view reason);

  // Role Loading to Leading: all records are loaded. Publishes TermStarted.
  void begin_term();

  // Gives up the lease and becomes a follower; no effect on a follower. Publishes TermEnded. Always safe.
  void step_down(std::string_view reason);

  // Does not run for leader for so long, unless nobody else becomes leader.
  void abstain_from_elections(double duration_s);

  // How long the leader key has to be absent before this replica runs: longer, the worse it is placed to lead.
  void set_election_delay(double delay_s) { election_delay_s_ = delay_s; }

  [[nodiscard]] Role role() const { return role_; }
  [[nodiscard]] bool leading() const { return role_ == Role::Leading; }

  // Whether nobody else can be leader, by this replica's own clock.
  [[nodiscard]] bool lease_valid() const { return runtime_.now() < lease_valid_until_; }

  // Whether this replica may write records and start tasks. A leader whose lease has expired by its own clock only
  // pauses, and goes on if the state service still knows the lease.
  [[nodiscard]] bool active() const { return leading() && lease_valid(); }

  // This replica's latest term; 0 if it has never been elected.
  [[nodiscard]] std::uint64_t term() const { return term_; }
  [[nodiscard]] std::uint64_t highest_term() const { return highest_term_; }

  // Changes whenever this replica runs for leader, is elected, or ceases to lead. Whoever sends a request remembers
  // the epoch, and drops an answer that arrives in a later one.
  [[nodiscard]] std::uint64_t epoch() const { return epoch_; }

  // The leader's node name; empty if none is known.
  [[nodiscard]] const std::string &leader_name() const { return leader_name_; }
  // The term of another replica that leads, as last read; 0 if none was, and while this replica leads.
  [[nodiscard]] std::uint64_t leader_term() const { return leader_term_; }
  // Whether the leader's version supports job dependencies; nothing unless another replica is known to lead.
  [[nodiscard]] std::optional<bool> leader_supports_dependencies() const;
  // When the leader key was last read; monotonic, far in the past if never.
  [[nodiscard]] double leader_seen_at() const { return leader_seen_at_; }

  // When this replica began to lead, on the monotonic and on the wall clock.
  [[nodiscard]] double leading_since() const { return leading_since_; }
  [[nodiscard]] double leading_since_wall() const { return leading_since_wall_; }
  // When this replica took over from another known leader; monotonic, far in the past if it did not.
  [[nodiscard]] double failover_at() const { return failover_at_; }
  // Since when there has been no leader, on the wall clock; 0 if that was never seen.
  [[nodiscard]] double leaderless_since_wall() const { return leaderless_since_wall_; }

private:
  void poll_leader_key();
  void leader_key_read(const wire::KeyValue &entry);
  void leader_key_absent();

  void run_for_leader();
  void commit_leader_key(StateServiceLease::Id lease, double lease_requested_at);
  void elected(std::uint64_t term, StateServiceLease::Id lease, double lease_requested_at);
  void election_lost();

  void renew_lease();
  void become(Role next);

  Runtime &runtime_;
  Events &events_;
  const Settings &settings_;
  const InstanceTypeCatalog &catalog_;

  // Times are monotonic, in seconds, unless their name says otherwise.
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
