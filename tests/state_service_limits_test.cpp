// This replica's part of the state service's limits, and how it follows a fall that was announced.
#include <gtest/gtest.h>

#include "loftrouter/core/runtime/state_service_limits.hpp"

using loftrouter::Settings;
using loftrouter::core::StateServiceLimits;

namespace {
Settings with_announced_writes(double writes_per_s) {
  Settings settings;
  settings.state_write_rps = 15;
  settings.state_next_write_rps = writes_per_s;
  return settings;
}
} // namespace

// Rates are those in force until rejections show that they have fallen; once, for good.
TEST(StateServiceLimits, AnnouncedRatesAreKeptToOnceRejectionsShowThem) {
  const Settings settings = with_announced_writes(5);
  StateServiceLimits limits(settings);
  for (const double now : {10.0, 10.1, 11.0}) // the first two are one burst
    EXPECT_FALSE(limits.request_rejected(now));
  EXPECT_TRUE(limits.request_rejected(12));
  EXPECT_FALSE(limits.request_rejected(13));
  limits.take_leader_writes(12, limits.leader_writes_available(12));
  limits.rebalance(12.5, 0.5, {});
  EXPECT_LT(limits.leader_writes_available(13), 5);
}

TEST(StateServiceLimits, RejectionsLowerNothingWhereNoFallIsAnnounced) {
  const Settings settings = with_announced_writes(15);
  StateServiceLimits limits(settings);
  for (int i = 0; i < 9; ++i)
    EXPECT_FALSE(limits.request_rejected(10 + i));
}

TEST(StateServiceLimits, ReplicaThatIsNotHeardOfKeepsItsPart) {
  Settings settings;
  settings.state_write_rps = 10;
  settings.replicas = {{"b", "a", ""}};
  StateServiceLimits alone(settings);
  StateServiceLimits shared(settings);
  auto writes_after_a_second = [](StateServiceLimits &limits, std::optional<StateServiceLimits::Usage> other) {
    while (limits.take_write(10)) {
    }
    limits.rebalance(10, 0.5, {other});
    int writes = 0;
    while (limits.take_write(10.4))
      ++writes;
    return writes;
  };
  EXPECT_GT(writes_after_a_second(alone, StateServiceLimits::Usage{}), writes_after_a_second(shared, std::nullopt));
}
