// Selects the node through which the leader of another cell is contacted, with backoff when no node answers. Performs
// no I/O and reads no clock.
#pragma once

#include <string>
#include <vector>

namespace loftrouter::cells {

class CellMembership {
public:
  // `nodes`: indices of the cell's node addresses.
  explicit CellMembership(std::vector<int> nodes) : nodes_(std::move(nodes)), failed_at_(nodes_.size(), -1e9) {}

  // Returns the node to contact, or -1 during backoff.
  int target(double now) const { return now < backoff_until_ || nodes_.empty() ? -1 : nodes_[current_]; }
  void request_sent(double now) {
    if (requested_at_ < 0) requested_at_ = now;
  }
  // Records a response received through `node`; `leader` is the node that leads the cell, -1 if unknown.
  void response_received(int node, int leader, double now);
  // Moves on to the next node after a request timeout. Once all nodes have failed, backs off for a time that doubles
  // each round; `jitter` is from 0 to 1.
  void tick(double now, double jitter);
  bool reachable(double now) const { return now - last_response_at_ < kReachableForS; }

  static constexpr double kFailedNodeAvoidanceS = 30.0; // a node that timed out isn't selected as the leader again
  static constexpr double kResponseTimeoutS = 2.0, kReachableForS = 5.0, kMinBackoffS = 1.0, kMaxBackoffS = 30.0;

private:
  void try_next_node(double now, double jitter);
  std::vector<int> nodes_;
  std::vector<double> failed_at_;
  std::size_t current_ = 0, failed_attempts_ = 0;
  double requested_at_ = -1, last_response_at_ = -1e9, backoff_until_ = -1e9, backoff_s_ = kMinBackoffS;
};

} // namespace loftrouter::cells
