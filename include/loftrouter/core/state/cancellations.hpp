// Tracks which job cancellations this replica knows, and decides whether the leader may renew worker leases.
//
// The leader merges cancellations from three sources: its own requests, the other replicas' reports, and the state
// service. `known_until` is the time up to which that is complete. Invariant: every cancellation acknowledged to a user
// before `known_until` is marked in the job table, also for jobs added to the table later. Without it a task could
// outlive its cancellation (rule `ran_cancelled`, docs/safety.md). Times are monotonic seconds unless a name says
// otherwise. Not thread-safe: used by the core thread only.
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

  // Records that a job is cancelled. Must be called before the user gets an acknowledgement.
  void record(const std::string &id);
  // Returns the ids recorded within `Settings::cancel_s`, newest first, at most wire::kPeerMaxCancelled.
  [[nodiscard]] std::vector<std::string> recent();
  // Returns whether `recent` returns all of them.
  [[nodiscard]] bool recent_is_complete() const { return recorded_here_.size() <= wire::kPeerMaxCancelled; }

  // Called when everything stored in the state service at `requested_at` has been merged into the job table.
  void confirm_from_state_service(double requested_at);
  // Merges another replica's `recent`, the reply to a request sent at `requested_at`. `uptime_s`: how long its process
  // has run.
  void confirm_from_replica(std::size_t replica, double requested_at, double uptime_s,
                            const std::vector<std::string> &ids);

  // Returns the time up to which every cancellation is known.
  [[nodiscard]] double known_until() const;
  // The same as wall clock time, seconds since 1970.
  [[nodiscard]] double known_until_wall() const { return runtime_.wall() - (runtime_.now() - known_until()); }
  // Returns whether worker leases may be renewed: tasks with a cancellation not yet known here would still stop in
  // time.
  [[nodiscard]] bool may_renew_leases() const;

  void on(const LeaderElected &);
  void on(const JobAccepted &);
  void on(const TermEnded &);

private:
  static constexpr double kNever = -1e9;
  // Limits in jobs; an entry takes about 0.12 KB.
  static constexpr std::size_t kMaxRecorded = 12'000;
  static constexpr std::size_t kMaxUnmatched = 12'000;

  struct RecordedCancellation {
    std::string id;
    double recorded_at;
  };

  [[nodiscard]] bool tracking() const;
  [[nodiscard]] bool mark_cancelled(const std::string &id);

  Runtime &runtime_;
  const Settings &settings_;
  const Leadership &leadership_;
  JobTable &jobs_;
  std::deque<RecordedCancellation> recorded_here_;
  // Cancelled jobs that are not in the job table, with the time of the cancellation. A state service request sent
  // before that time may still return the job without its cancellation.
  std::unordered_map<std::string, double> unmatched_;
  double confirmed_by_state_service_ = kNever;
  std::vector<double> confirmed_by_replica_; // by replica: everything it recorded up to then is known
  double dropped_at_ = kNever;               // last time a record was dropped because `unmatched_` was full
};

} // namespace loftrouter::core
