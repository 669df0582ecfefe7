#include "loftrouter/core/federation/cell_membership.hpp"

#include <algorithm>

namespace loftrouter::cells {

void CellMembership::response_received(int node, int leader, double now) {
  requested_at_ = -1;
  last_response_at_ = now;
  failed_attempts_ = 0;
  backoff_s_ = kMinBackoffS;
  // Contacts the leader directly, unless it has timed out recently; then the current node forwards to it.
  if (leader < 0 || leader == node) return;
  const auto it = std::find(nodes_.begin(), nodes_.end(), leader);
  if (it == nodes_.end()) return;
  const auto position = static_cast<std::size_t>(it - nodes_.begin());
  if (now - failed_at_[position] > kFailedNodeAvoidanceS) current_ = position;
}

void CellMembership::tick(double now, double jitter) {
  if (requested_at_ >= 0 && now - requested_at_ > kResponseTimeoutS) try_next_node(now, jitter);
}

void CellMembership::try_next_node(double now, double jitter) {
  requested_at_ = -1;
  failed_at_[current_] = now;
  current_ = (current_ + 1) % nodes_.size();
  if (++failed_attempts_ < nodes_.size()) return;
  failed_attempts_ = 0;
  backoff_until_ = now + backoff_s_ * (0.75 + 0.5 * jitter);
  backoff_s_ = std::min(kMaxBackoffS, 2 * backoff_s_);
}

} // namespace loftrouter::cells
