#include "loftrouter/core/heartbeats/heartbeat_forwarder.hpp"

#include <limits>

namespace loftrouter::core {

namespace {
constexpr double kSuspensionS = 2.0; // time in which the redirected workers can contact the leader
constexpr double kPruneIntervalS = 1.0;
} // namespace

void HeartbeatForwarder::prune_workers(double now) {
  if (now - pruned_at_ <= kPruneIntervalS) return;
  pruned_at_ = now;
  std::erase_if(workers_, [this, now](const auto &entry) { return now - entry.second > worker_expiry_s_; });
}

std::optional<std::uint64_t> HeartbeatForwarder::add(RequestId request, const std::string &worker, double now) {
  prune_workers(now);
  const bool room_for_worker = workers_.size() < max_workers_ || workers_.contains(worker);
  if (pending_.full() || !room_for_worker) return std::nullopt;
  workers_[worker] = now;
  return pending_.add(request, now + kResponseTimeoutS, worker);
}

std::optional<RequestId> HeartbeatForwarder::complete(std::uint64_t request_number, bool worker_stays) {
  const auto heartbeat = pending_.complete(request_number);
  if (!heartbeat) return std::nullopt;
  if (!worker_stays) forget(heartbeat->context);
  return heartbeat->request;
}

std::vector<RequestId> HeartbeatForwarder::expire(double now) {
  std::vector<RequestId> expired;
  for (const auto &heartbeat : pending_.expire(now)) {
    expired.push_back(heartbeat.request);
    forget(heartbeat.context);
  }
  if (!expired.empty()) suspended_until_ = now + kSuspensionS;
  return expired;
}

std::vector<RequestId> HeartbeatForwarder::give_up_all() {
  const double previous_suspended_until = suspended_until_;
  auto requests = expire(std::numeric_limits<double>::infinity());
  suspended_until_ = previous_suspended_until; // `expire` suspends forwarding
  workers_.clear();
  return requests;
}

} // namespace loftrouter::core
