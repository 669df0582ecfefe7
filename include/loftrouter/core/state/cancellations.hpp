// Tracks the job cancellations that this replica knows, and decides whether the leader may renew worker leases.
//
// Cancellations come from this replica's own requests, the other replicas' reports, and the state service. Invariant:
// every cancellation acknowledged to a user before `known_until` is marked in the job table, also for jobs added later;
// otherwise a task could outlive its cancellation (rule `ran_cancelled`, docs/safety.md). Times are monotonic seconds.
// Not thread-safe: used by the core thread only.
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

  // Must be called before the user gets an acknowledgement.
  void record(const std::string &id);
  // Returns the ids recorded within `Settings::cancel_s`, newest first, at most wire::kPeerMaxCancelled.
  [[nodiscard]] std::vector<std::string> recent();
  // Returns whether `recent` omits none.
  [[nodiscard]] bool recent_is_complete() const { return own_cancellations_.size() <= wire::kPeerMaxCancelled; }

  // Called after the job table has been updated from everything that the state service held at `requested_at`.
  void confirm_from_state_service(double requested_at);
  // Merges another replica's `recent` ids, which it sent in reply to a request of `requested_at`. `uptime_s`: of its
  // process.
  void confirm_from_replica(std::size_t replica, double requested_at, double uptime_s,
                            const std::vector<std::string> &ids);

  // Returns the time up to which all cancellations are known.
  [[nodiscard]] double known_until() const;
  // The same as wall clock time, seconds since 1970.
  [[nodiscard]] double known_until_wall() const { return runtime_.wall() - (runtime_.now() - known_until()); }
  // Returns whether tasks with a cancellation unknown here would still stop within `Settings::cancel_s`.
  [[nodiscard]] bool may_renew_leases() const;

  void on(const LeaderElected &);
  void on(const JobAccepted &);
  void on(const TermEnded &);

private:
  static constexpr double kNever = -1e9;
  // Bounds, in jobs: as many as a replica caches as open.
  static constexpr std::size_t kMaxRecorded = 12'000;
  static constexpr std::size_t kMaxUnmatched = 12'000;

  struct RecordedCancellation {
    std::string id;
    double recorded_at;
  };

  [[nodiscard]] bool has_job_table() const;
  [[nodiscard]] bool mark_cancelled(const std::string &id);

  Runtime &runtime_;
  const Settings &settings_;
  const Leadership &leadership_;
  JobTable &jobs_;
  std::deque<RecordedCancellation> own_cancellations_;
  // Cancelled jobs that are not in the job table, with the time at which this replica learned of the cancellation.
  // Reads of the state service sent before then may still return the job as not cancelled.
  std::unordered_map<std::string, double> unmatched_;
  double confirmed_by_state_service_ = kNever;
  std::vector<double> confirmed_by_replica_; // by replica: all that it recorded until then is known
  double dropped_at_ = kNever;               // when an id was last dropped because `unmatched_` was full
};

} // namespace loftrouter::core
