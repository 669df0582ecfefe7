// Which cancellations this leader knows of, and so how long it may keep workers alive.
//
// Owns what this node has read or written of cancellations, what its siblings have said of theirs, and the moment up to
// which that is complete: `known_until`. Promises that every cancellation told to any user before then is marked in the
// job table, also for a job that comes into it later. It is the only place that decides whether a worker's lease may be
// renewed as far as cancellations go; if it were wrong, a task would outlive its cancellation (ran_cancelled). See
// docs/safety.md, "ran_cancelled". It decides nothing about who leads.
#pragma once

#include <deque>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "loftrouter/core/election/leadership.hpp"
#include "loftrouter/core/jobs/job_table.hpp"
#include "loftrouter/core/runtime/events.hpp"
#include "loftrouter/wire/peer.hpp"

namespace loftrouter::core {

class Cancellations {
public:
  Cancellations(Runtime &runtime, const Settings &settings, const Leadership &leadership, JobTable &jobs)
      : runtime_(runtime), settings_(settings), leadership_(leadership), jobs_(jobs),
        words_(settings.replicas.size(), -1e9) {}

  // This node has read or written that a job is cancelled. Always before a user is told.
  void note(const std::string &id);
  // What this node has noted within `cancel_s`, newest first, as far as a frame holds.
  std::vector<std::string> repeated();
  bool all_repeated() const { return noted_.size() <= wire::kPeerMaxCancelled; }

  // The state service's word: all that was recorded before `asked` (mono) is in the job table.
  void news(double asked);
  // A sibling's word, in answer to a question asked at `asked`: what it repeats, and how long its process has been up.
  void hear(std::size_t replica, double asked, double uptime_s, const std::vector<std::string> &ids);

  double known_until() const; // mono
  double known_until_wall() const { return runtime_.wall() - (runtime_.now() - known_until()); }
  // Whatever is not known here would still be over in time, if an answer now lets a worker run on for a lease.
  bool may_renew() const;

  void on(const LeaderElected &);
  void on(const JobAccepted &);
  void on(const TermEnded &);

private:
  // Jobs; as many as a node remembers as open, at 0.12 KB each.
  static constexpr std::size_t kMaxNoted = 12'000, kMaxAwaited = 12'000;
  bool reads() const { return leadership_.role() == Role::Loading || leadership_.role() == Role::Leading; }
  bool mark(const std::string &id); // false: too many are awaited

  Runtime &runtime_;
  const Settings &settings_;
  const Leadership &leadership_;
  JobTable &jobs_;
  std::deque<std::pair<std::string, double>> noted_; // by this node, and when
  // Cancelled, but not in the job table: what was read before may still bring it in, without its mark. Until news asked
  // for later than this time.
  std::unordered_map<std::string, double> awaited_;
  std::vector<double> words_;               // by sibling: all that its processes had noted by then is known here
  double news_ = -1e9, unmarked_at_ = -1e9; // the latter: when one of this node's own could not be kept
};

} // namespace loftrouter::core
