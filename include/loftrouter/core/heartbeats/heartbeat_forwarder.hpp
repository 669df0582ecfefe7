// Heartbeats that a replica which does not lead forwards to the leader, and the workers whose heartbeats they are.
//
// Owns both. Invariants: a response of the leader reaches the heartbeat it was made for, at most once, and never after
// that heartbeat was given up; and both sets are bounded. The forwarding replica decides nothing itself: the worker
// gets the leader's response, or is redirected. If a response reached another heartbeat than its own, tasks could run
// twice (rule `ran_twice`). See docs/safety.md, "Forwarded heartbeats", and docs/fleet-scale.md.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "loftrouter/core/runtime/forwarded_requests.hpp"

namespace loftrouter::core {

// Times are monotonic, in seconds.
class HeartbeatForwarder {
public:
  // Each worker has one heartbeat under way, and with the other replicas gone all 11,000 may come here. 1.9 MB at
  // 0.16 KB each, for kResponseTimeoutS at the most. Beyond, a worker is redirected.
  static constexpr std::size_t kMaxPending = 12'000;
  static constexpr double kResponseTimeoutS = 1.5; // a worker waits 4 s

  // A worker that sends no heartbeat for `worker_expiry_s` seconds no longer counts. `first_number` is random, so that
  // responses to an earlier process of this replica match nothing.
  HeartbeatForwarder(std::size_t max_workers, double worker_expiry_s, std::uint64_t first_number)
      : max_workers_(max_workers), worker_expiry_s_(worker_expiry_s), pending_(kMaxPending, first_number) {}

  // Whether there is room for another worker.
  [[nodiscard]] bool has_room() const { return workers_.size() < max_workers_ && !pending_.full(); }

  // Adds a heartbeat and returns the number to forward it under; nothing if there is no room for its worker.
  [[nodiscard]] std::optional<std::uint64_t> add(RequestId request, const std::string &worker, double now);

  // The request that the leader's response with this number belongs to; nothing if it was answered before or given up.
  // `worker_stays`: the worker will send its next heartbeat to this replica too.
  [[nodiscard]] std::optional<RequestId> complete(std::uint64_t number, bool worker_stays = true);

  // Gives up the heartbeats that have waited too long for a response. Forwarding is then suspended for a while, so that
  // their workers can reach the leader themselves.
  [[nodiscard]] std::vector<RequestId> expire(double now);
  // Gives up all heartbeats and workers, without suspending.
  [[nodiscard]] std::vector<RequestId> give_up_all();
  [[nodiscard]] bool suspended(double now) const { return now < suspended_until_; }

  // The worker no longer sends its heartbeats here.
  void forget(const std::string &worker) { workers_.erase(worker); }
  [[nodiscard]] std::size_t workers() const { return workers_.size(); }
  [[nodiscard]] std::size_t max_workers() const { return max_workers_; }

private:
  void prune_workers(double now);

  std::size_t max_workers_;
  double worker_expiry_s_;
  ForwardedRequests<std::string> pending_;          // with the worker's name
  std::unordered_map<std::string, double> workers_; // and when its last heartbeat came
  double pruned_at_ = -1e9;
  double suspended_until_ = -1e9;
};

} // namespace loftrouter::core
