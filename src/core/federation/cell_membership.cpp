#include "loftrouter/core/federation/cell_membership.hpp"

#include <algorithm>

namespace loftrouter::cells {

void CellMembership::answered(int node, int leader, double now) {
  asked_at_ = -1;
  heard_at_ = now;
  tried_ = 0;
  pause_ = kMinPause;
  // The leader itself, unless it could not be dialled lately: then by way of this one.
  if (leader < 0 || leader == node) return;
  const auto it = std::find(nodes_.begin(), nodes_.end(), leader);
  if (it == nodes_.end()) return;
  const auto k = static_cast<std::size_t>(it - nodes_.begin());
  if (now - failed_at_[k] > kFailedFor) current_ = k;
}

void CellMembership::tick(double now, double jitter) {
  if (asked_at_ >= 0 && now - asked_at_ > kPatience) move_on(now, jitter);
}

void CellMembership::move_on(double now, double jitter) {
  asked_at_ = -1;
  failed_at_[current_] = now;
  current_ = (current_ + 1) % nodes_.size();
  if (++tried_ < nodes_.size()) return;
  tried_ = 0;
  quiet_until_ = now + pause_ * (0.75 + 0.5 * jitter);
  pause_ = std::min(kMaxPause, 2 * pause_);
}

} // namespace loftrouter::cells
