// The hand-over of work between two cells, alone: one loan as its home and as its borrower see it.
//
// A loan is work of one job, under a generation that is used once. Its home records it, offers it, and confirms it for
// a short time whenever the borrower asks on; the borrower records it too, runs it only while it is confirmed, and
// counts that time from when it *asked*. Home counts from when it *answered*, and adds what the borrower's workers take
// to let go. So at no moment do both run it, whatever is lost, late, doubled or forgotten by a crash. Pure; searched in
// full by tests/handover_test.cpp. The argument: docs/safety.md, "Work delegated to another cell".
#pragma once

#include <cstdint>
#include <limits>

namespace loftrouter::cells {

using Generation = std::uint64_t;
constexpr double kNever = -std::numeric_limits<double>::infinity();

// Seconds that both sides count by.
struct Terms {
  double grant_s = 10; // that a confirmation lets work go on, from when it was asked for
  double lease_s = 10; // of the borrower's workers: that a task runs on at most after its leader has let go of it
  double margin_s = 1; // steps of clocks and loops
  double drift = 0.002;
  // From when home last confirmed until nothing runs there any more, by home's clock.
  double over_after_s() const { return (grant_s + lease_s) * (1 + drift) + margin_s; }
};

// As home sees it. It starts the work itself, or lends it anew, only when `over`.
class DelegationAtOrigin {
public:
  // Its record is being written by the leader of this term.
  DelegationAtOrigin(Generation g, std::uint64_t term) : generation_(g), term_(term) {}
  // Read from the record of an earlier leader, which may have confirmed it up to now.
  static DelegationAtOrigin restored(Generation g, std::uint64_t term, double now, const Terms &terms);

  Generation generation() const { return generation_; }
  void recorded(); // the state service has it: from now on it may be offered
  bool offers() const { return phase_ == Phase::DelegationSource; }
  // The borrower's leader of this term asks on. False: it has to stop. A loan that is not recorded is never confirmed,
  // as a next leader would not know of it.
  bool confirm(double now, std::uint64_t remote_term, const Terms &terms);
  void close(); // is not confirmed any more
  bool closing() const { return phase_ == Phase::Closing; }
  // The borrower's leader of this term, to the leader of `origin_term`: nothing of it runs there, nor will. False: a
  // later leader there may have been confirmed since - by this leader, or by an earlier one if the word was for that -
  // which knows nothing of that word and may have started it again.
  bool ended(std::uint64_t remote_term, std::uint64_t origin_term);
  bool over(double now) const;
  bool confirmed() const { return until_ != kNever; }        // ever, as far as known
  double until() const { return until_; }                    // when the borrower has let go at the latest
  std::uint64_t remote_term() const { return remote_term_; } // of whom it was last confirmed to

private:
  enum class Phase : std::uint8_t { Recording, DelegationSource, Closing, Over };
  Generation generation_;
  std::uint64_t term_;
  Phase phase_ = Phase::Recording;
  double until_ = kNever;
  std::uint64_t remote_term_ = 0; // the latest that was confirmed
};

// As the borrower sees it, on the node that leads there.
class DelegationAtRemote {
public:
  // Its record is there; it has not been confirmed to this leader, whose latest question to that home was `asked`.
  DelegationAtRemote(Generation g, std::uint64_t asked) : generation_(g), asked_before_(asked) {}
  Generation generation() const { return generation_; }

  // In answer to the question of this number, which named it. One asked before this leader knew of it was about an
  // earlier hand-over of the same generation, which has ended since: an offer may come twice.
  void granted(std::uint64_t question, double asked_at, const Terms &terms);
  void close() { closed_ = true; } // home refused it, or it is given back
  bool closed() const { return closed_; }
  bool granted_once() const { return until_ != kNever; }
  // May start its tasks, and let its workers go on with them.
  bool may_run(double now) const { return !closed_ && now < until_; }
  // Without a confirmation for too long it is closed, for good.
  void tick(double now);
  double until() const { return until_; }
  std::uint64_t asked_before() const { return asked_before_; }

private:
  Generation generation_;
  std::uint64_t asked_before_;
  bool closed_ = false;
  double until_ = kNever;
};

} // namespace loftrouter::cells
