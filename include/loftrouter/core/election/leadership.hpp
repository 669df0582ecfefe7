// Who leads. The leader key hangs on a lease of the state service; the revision of the commit that set it is both the
// term and the workers' token.
//
// Owns the election, the lease and this node's role. Promises that `lease_valid` is true on one node at most at any
// moment (counted from before each renewal was sent, shortened for drift), and that terms only grow. If that were
// wrong, two leaders could start the same task (ran_twice). See docs/safety.md, "The leader and its term".
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "loftrouter/core/catalog/instance_type_catalog.hpp"
#include "loftrouter/core/runtime/events.hpp"
#include "loftrouter/core/runtime/runtime.hpp"
#include "loftrouter/model/settings.hpp"

namespace loftrouter::core {

// How old a sibling's word may be that it is cut off, s. A leader elected since has waited as long.
constexpr double kStatementLife = 1.5;
constexpr double kDrift = 0.002; // twice the protocol's bound on two clocks, doubled again

enum class Role : std::uint8_t { Follower, Acquiring, Loading, Leading };

class Leadership {
public:
  Leadership(Runtime &runtime, Events &events, const Settings &settings, const InstanceTypeCatalog &catalog)
      : runtime_(runtime), events_(events), settings_(settings), catalog_(catalog) {}

  void tick();
  // A term that somebody knows of. A higher one than this node's own ends its term.
  void observe_term(std::uint64_t term, std::string_view who);
  void begin_term(); // the records are loaded
  void step_down(std::string_view why);
  // From elections; unless nobody takes the place.
  void abstain_from_elections(double for_s);
  // Behind candidates that are better placed.
  void set_election_delay(double s) { election_delay_ = s; }

  Role role() const { return role_; }
  bool leading() const { return role_ == Role::Leading; }
  bool lease_valid() const { return runtime_.now() < lease_valid_until_; }
  // May write and start. A leader whose lease ran out by its own clock only pauses, and goes on if the state service
  // still knows the lease.
  bool active() const { return leading() && lease_valid(); }
  std::uint64_t term() const { return term_; } // this node's latest
  std::uint64_t highest_term() const { return highest_term_; }
  // Counts changes of role. An answer that belongs to an earlier one is dropped by whoever asked.
  std::uint64_t epoch() const { return epoch_; }

  const std::string &leader_name() const { return leader_name_; } // empty: none known
  std::uint64_t leader_term() const { return leader_term_; }
  // Whether the leader knows of jobs that wait for others; nothing if no other is known to lead.
  std::optional<bool> leader_knows_dependencies() const {
    return role_ == Role::Follower && !leader_name_.empty() ? std::optional(leader_knows_dependencies_) : std::nullopt;
  }
  double leader_seen() const { return leader_seen_; }
  double leading_since() const { return leading_since_; }
  // Since this node took over from another that it had known to lead; mono, far back if it did not.
  double took_over_at() const { return took_over_at_; }
  double leading_since_wall() const { return leading_since_wall_; }
  double leaderless_since_wall() const { return leaderless_since_wall_; }

private:
  void poll_leader();
  void acquire();
  void renew();

  Runtime &runtime_;
  Events &events_;
  const Settings &settings_;
  const InstanceTypeCatalog &catalog_;
  Role role_ = Role::Follower;
  std::uint64_t epoch_ = 0, term_ = 0, lease_ = 0, highest_term_ = 0;
  double lease_valid_until_ = -1e9, next_renew_ = 0, next_poll_ = 0, acquire_after_ = 0, election_delay_ = 0;
  double took_over_at_ = -1e9;
  double leaderless_since_ = -1; // mono; negative: there is a leader, as far as known
  bool renewing_ = false, polling_ = false;
  std::string leader_name_;
  bool leader_knows_dependencies_ = false;
  std::uint64_t leader_term_ = 0;
  double leader_seen_ = -1e9, leading_since_ = 0, leading_since_wall_ = 0, leaderless_since_wall_ = 0;
};

} // namespace loftrouter::core
