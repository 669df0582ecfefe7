// Tracks the heartbeats that a follower forwards to the leader, and the workers that send them.
//
// Owns both sets, which are bounded. Invariant: a response of the leader is matched to the heartbeat that it answers,
// at most once, and never after that heartbeat has expired; otherwise tasks could run twice (rule `ran_twice`). The
// follower makes no decisions: the worker gets the leader's response or is redirected. See docs/safety.md, "Forwarded
// heartbeats", and docs/fleet-scale.md.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "loftrouter/core/runtime/forwarded_requests.hpp"

namespace loftrouter::core {

// Times are monotonic, s.
class HeartbeatForwarder {
public:
  // Enough for one heartbeat of every worker of the largest fleet (11,000), at 0.16 KB each. Workers beyond the limit
  // are redirected.
  static constexpr std::size_t kMaxPending = 12'000;
  // Below the worker's own timeout of 4 s, so that it can still be redirected.
  static constexpr double kResponseTimeoutS = 1.5;

  // Workers without a heartbeat for `worker_expiry_s` seconds are dropped. `first_request_number` must be random,
  // so that responses to requests of an earlier process of this replica are not matched.
  HeartbeatForwarder(std::size_t max_workers, double worker_expiry_s, std::uint64_t first_request_number)
      : max_workers_(max_workers), worker_expiry_s_(worker_expiry_s), pending_(kMaxPending, first_request_number) {}

  [[nodiscard]] bool has_room() const { return workers_.size() < max_workers_ && !pending_.full(); }

  // Adds a heartbeat and returns the request number to forward it with; nullopt if there is no room.
  [[nodiscard]] std::optional<std::uint64_t> add(RequestId request, const std::string &worker, double now);

  // Removes and returns the worker's request that was forwarded with this number; nullopt if it has been answered or
  // has expired. `worker_stays` is false if the worker is redirected, so that it no longer counts as a worker of this
  // replica.
  [[nodiscard]] std::optional<RequestId> complete(std::uint64_t request_number, bool worker_stays = true);

  // Removes and returns the requests whose response is overdue. If there are any, forwarding is suspended for a while,
  // so that their workers can contact the leader directly.
  [[nodiscard]] std::vector<RequestId> expire(double now);
  // Removes all requests and workers without suspending forwarding, and returns the requests.
  [[nodiscard]] std::vector<RequestId> give_up_all();
  [[nodiscard]] bool suspended(double now) const { return now < suspended_until_; }

  // Removes a worker that does not send its heartbeats here any more.
  void forget(const std::string &worker) { workers_.erase(worker); }
  [[nodiscard]] std::size_t workers() const { return workers_.size(); }
  [[nodiscard]] std::size_t max_workers() const { return max_workers_; }

private:
  void prune_workers(double now);

  std::size_t max_workers_;
  double worker_expiry_s_;
  ForwardedRequests<std::string> pending_;          // context: the worker's name
  std::unordered_map<std::string, double> workers_; // time of the last heartbeat, by worker name
  double pruned_at_ = -1e9;
  double suspended_until_ = -1e9;
};

} // namespace loftrouter::core
