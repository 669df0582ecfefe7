#include "loftrouter/core/connectivity/recent_heartbeats.hpp"

#include <numeric>

#include "loftrouter/core/runtime/growing_table.hpp"

namespace loftrouter::core {

void RecentHeartbeats::add(int zone_index, double now) {
  if (buckets_.empty() || now - buckets_.back().started_at >= kBucketS) buckets_.push_back({now, {}});
  while (now - buckets_.front().started_at > window_s_)
    buckets_.pop_front();
  ++get_or_create(buckets_.back().by_zone, zone_index);
}

std::vector<std::uint32_t> RecentHeartbeats::by_zone(double now) const {
  std::vector<std::uint32_t> counts;
  for (const Bucket &bucket : buckets_) {
    if (now - bucket.started_at > window_s_) continue;
    for (std::size_t zone_index = 0; zone_index < bucket.by_zone.size(); ++zone_index)
      get_or_create(counts, static_cast<int>(zone_index)) += bucket.by_zone[zone_index];
  }
  return counts;
}

std::uint32_t RecentHeartbeats::total(double now) const {
  const auto counts = by_zone(now);
  return std::accumulate(counts.begin(), counts.end(), std::uint32_t(0));
}

} // namespace loftrouter::core
