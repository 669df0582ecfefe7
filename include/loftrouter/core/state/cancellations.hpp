// Up to which moment this replica, as leader, knows every cancellation, and so for how long it may keep workers alive.
//
// Owns what this replica has read or written of cancellations, what the other replicas have reported of theirs, and
// the moment up to which that is complete: `known_until`. Invariant: every cancellation that any user was told of
// before then is marked in the job table, also for a job that comes into it later. It is the only place that decides
// whether workers' leases may be renewed as far as cancellations go; if it were wrong, a task would outlive its
// cancellation (rule `ran_cancelled`; docs/safety.md has the argument). It takes no part in elections. Times are
// monotonic, in seconds, unless a name says otherwise. Not thread-safe: used by the core's thread alone.
#pragma once

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "loftrouter/core/election/leadership.hpp"
#include "loftrouter/core/jobs/job_table.hpp"
#include "loftrouter/core/runtime/events.hpp"
#include "loftrouter/wire/peer.hpp"

namespace loftrouter::core {

class Cancellations {
public:
  Cancellations(Runtime &runtime, const Settings &settings, const Leadership &leadership, JobTable &jobs);

  // This replica has read or written that a job is cancelled. To be called before any user is told.
  void record(const std::string &id);
  // Ids that this replica has recorded within `Settings::cancel_s`, the newest first, as many as a message to another
  // replica holds.
  [[nodiscard]] std::vector<std::string> recent();
  // Whether `recent` has left none out.
  [[nodiscard]] bool recent_is_complete() const { return recorded_here_.size() <= wire::kPeerMaxCancelled; }

  // Everything that was in the state service at `asked_at` has been taken into the job table.
  void confirmed_by_state_service(double asked_at);
  // Another replica's `recent`, in answer to a question sent at `asked_at`, and for how long its process has run.
  void confirmed_by_replica(std::size_t replica, double asked_at, double uptime_s, const std::vector<std::string> &ids);

  // The moment up to which every cancellation is known; and the same on the wall clock, s since 1970.
  [[nodiscard]] double known_until() const;
  [[nodiscard]] double known_until_wall() const { return runtime_.wall() - (runtime_.now() - known_until()); }
  // Whether a worker's lease may be renewed now: a task whose cancellation is not known here would still end in time.
  [[nodiscard]] bool may_renew() const;

  void on(const LeaderElected &);
  void on(const JobAccepted &);
  void on(const TermEnded &);

private:
  static constexpr double kNever = -1e9;
  // Bounds, in jobs: as many as a replica remembers as open, at 0.12 KB each.
  static constexpr std::size_t kMaxRecorded = 12'000;
  static constexpr std::size_t kMaxUnmatched = 12'000;

  struct RecordedCancellation {
    std::string id;
    double recorded_at;
  };

  [[nodiscard]] bool collecting() const;
  [[nodiscard]] bool apply(const std::string &id);

  Runtime &runtime_;
  const Settings &settings_;
  const Leadership &leadership_;
  JobTable &jobs_;
  std::deque<RecordedCancellation> recorded_here_;
  // Cancelled jobs that are not in the job table, and when this was learned: an answer of the state service that was
  // asked for before then may still bring the job in, without its cancellation.
  std::unordered_map<std::string, double> unmatched_;
  double confirmed_by_state_service_ = kNever;
  std::vector<double> confirmed_by_replica_; // by replica: all that its processes had recorded by then is known here
  double dropped_at_ = kNever;               // when an own record found no room in `unmatched_`
};

} // namespace loftrouter::core
