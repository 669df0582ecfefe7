// Counts the heartbeats of a sliding time window, by zone.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

namespace loftrouter::core {

class RecentHeartbeats {
public:
  explicit RecentHeartbeats(double window_s) : window_s_(window_s) {}

  // Adds a heartbeat. `now` (monotonic, s) must not decrease between calls.
  void add(int zone_index, double now);

  // The numbers of heartbeats in the window, by zone index.
  [[nodiscard]] std::vector<std::uint32_t> by_zone(double now) const;
  [[nodiscard]] std::uint32_t total(double now) const;
  [[nodiscard]] double window_s() const { return window_s_; }

private:
  static constexpr double kBucketS = 0.5;
  struct Bucket {
    double started_at;
    std::vector<std::uint32_t> by_zone;
  };

  double window_s_;
  std::deque<Bucket> buckets_;
};

} // namespace loftrouter::core
