// State machines of one delegation, at its origin cell and at its remote cell.
//
// A delegation covers tasks of one job under a generation that is never reused. The origin cell records it, offers it
// and renews its lease when the remote cell asks. The remote cell records it too, runs it only under a valid lease, and
// counts the lease from when it *sent* the renewal request. The origin cell counts from when it *answered*, and adds
// the worker lease of the remote cell. So the two cells never run it at the same time, whatever messages are lost, late
// or duplicated, and whichever leaders crash. Performs no I/O; tests/handover_test.cpp searches its states
// exhaustively. The argument is in docs/safety.md, "Work delegated to another cell".
#pragma once

#include <cstdint>
#include <limits>

namespace loftrouter::cells {

using Generation = std::uint64_t;
constexpr double kNever = -std::numeric_limits<double>::infinity();

struct LeaseTerms {
  double grant_s = 10;  // delegation lease, counted from the renewal request
  double lease_s = 10;  // worker lease of the remote cell: how long a task runs on without a renewal
  double margin_s = 1;  // for clock steps and event loop delays
  double drift = 0.002; // bound on the clock drift, as a share of the time
  // Seconds after the origin's latest renewal, by its clock, at which nothing of the delegation runs remotely.
  double release_delay_s() const { return (grant_s + lease_s) * (1 + drift) + margin_s; }
};

// Tracks a delegation at the leader of its origin cell. Its tasks may start locally, or be delegated anew, only once it
// is `released`.
class DelegationAtOrigin {
public:
  // Creates a delegation whose record the leader of `term` is writing.
  DelegationAtOrigin(Generation generation, std::uint64_t term) : generation_(generation), term_(term) {}
  // Restores a delegation from the record of an earlier leader, which may have renewed its lease until `now`.
  static DelegationAtOrigin restored(Generation generation, std::uint64_t term, double now, const LeaseTerms &terms);

  Generation generation() const { return generation_; }
  void mark_recorded(); // the state service holds the record; the delegation may be offered
  bool may_offer() const { return phase_ == Phase::Active; }
  // Renews the lease for the remote leader of `remote_term`. Returns false if that leader must stop the tasks. Never
  // renews before the record is stored, as the next leader would not know of the lease.
  bool confirm(double now, std::uint64_t remote_term, const LeaseTerms &terms);
  void close(); // refuses further renewals
  bool closing() const { return phase_ == Phase::Closing; }
  // Handles the notice of the remote leader of `remote_term`, addressed to the origin leader of `origin_term`, that
  // nothing of the delegation runs or will run there. Returns false for a stale notice: a later remote leader, unaware
  // of it, may have had its lease renewed and restarted tasks.
  bool mark_ended(std::uint64_t remote_term, std::uint64_t origin_term);
  bool released(double now) const;
  bool confirmed() const { return expires_at_ != kNever; }   // at least once, as far as this leader knows
  double expires_at() const { return expires_at_; }          // the remote cell runs nothing of it after this time
  std::uint64_t remote_term() const { return remote_term_; } // of the latest confirmed remote leader

private:
  enum class Phase : std::uint8_t { Recording, Active, Closing, Released };
  Generation generation_;
  std::uint64_t term_;
  Phase phase_ = Phase::Recording;
  double expires_at_ = kNever;
  std::uint64_t remote_term_ = 0;
};

// Tracks a delegation at the leader of its remote cell.
class DelegationAtRemote {
public:
  // `last_earlier_request`: number of the latest renewal request sent before this leader knew the delegation.
  DelegationAtRemote(Generation generation, std::uint64_t last_earlier_request)
      : generation_(generation), last_earlier_request_(last_earlier_request) {}
  Generation generation() const { return generation_; }

  // Applies the answer to a renewal request. Ignores requests sent before this leader knew the delegation: a duplicated
  // offer can bring a generation back after it has ended.
  void apply_grant(std::uint64_t request, double requested_at, const LeaseTerms &terms);
  void close() { closed_ = true; } // refused or recalled by the origin, or returned to it
  bool closed() const { return closed_; }
  bool ever_granted() const { return expires_at_ != kNever; }
  // Returns whether tasks may start and worker leases may be renewed.
  bool may_run(double now) const { return !closed_ && now < expires_at_; }
  // Closes the delegation for good once its lease has expired.
  void tick(double now);
  double expires_at() const { return expires_at_; }
  std::uint64_t last_earlier_request() const { return last_earlier_request_; }

private:
  Generation generation_;
  std::uint64_t last_earlier_request_;
  bool closed_ = false;
  double expires_at_ = kNever;
};

} // namespace loftrouter::cells
