// How a leader finds the leader of another cell: through any of its nodes, one at a time; and how seldom it tries when
// none answers. Pure.
#pragma once

#include <string>
#include <vector>

namespace loftrouter::cells {

class CellMembership {
public:
  // `nodes`: how the cell's nodes are dialled.
  explicit CellMembership(std::vector<int> nodes) : nodes_(std::move(nodes)), failed_at_(nodes_.size(), -1e9) {}

  // The node to talk to, or -1: not before the pause is over.
  int target(double now) const { return now < quiet_until_ || nodes_.empty() ? -1 : nodes_[current_]; }
  // Something was sent that wants an answer.
  void asked(double now) {
    if (asked_at_ < 0) asked_at_ = now;
  }
  // An answer has come by way of `node`; the leader there is `leader`, -1 if that is not said.
  void answered(int node, int leader, double now);
  // What has waited too long means another node, and after all of them a pause: doubled each time, with `jitter` (0 to
  // 1).
  void tick(double now, double jitter);
  bool reached(double now) const { return now - heard_at_ < kReached; }
  double heard_at() const { return heard_at_; }

  static constexpr double kFailedFor = 30.0; // s, that a node which did not answer is not gone back to as the leader
  static constexpr double kPatience = 2.0, kReached = 5.0, kMinPause = 1.0, kMaxPause = 30.0; // s

private:
  void move_on(double now, double jitter);
  std::vector<int> nodes_;
  std::vector<double> failed_at_;
  std::size_t current_ = 0, tried_ = 0;
  double asked_at_ = -1, heard_at_ = -1e9, quiet_until_ = -1e9, pause_ = kMinPause;
};

} // namespace loftrouter::cells
