#include "loftrouter/core/connectivity/recent_heartbeats.hpp"

#include <numeric>

#include "loftrouter/core/runtime/growing_table.hpp"

namespace loftrouter::core {

void RecentHeartbeats::record(int zone, double now) {
  if (buckets_.empty() || now - buckets_.back().started_at >= kBucketS) buckets_.push_back({now, {}});
  while (now - buckets_.front().started_at > window_s_)
    buckets_.pop_front();
  ++get_or_create(buckets_.back().by_zone, zone);
}

std::vector<std::uint32_t> RecentHeartbeats::by_zone(double now) const {
  std::vector<std::uint32_t> sums;
  for (const Bucket &bucket : buckets_) {
    if (now - bucket.started_at > window_s_) continue;
    for (std::size_t zone = 0; zone < bucket.by_zone.size(); ++zone)
      get_or_create(sums, static_cast<int>(zone)) += bucket.by_zone[zone];
  }
  return sums;
}

std::uint32_t RecentHeartbeats::total(double now) const {
  const auto sums = by_zone(now);
  return std::accumulate(sums.begin(), sums.end(), std::uint32_t(0));
}

} // namespace loftrouter::core
