// Division of the state service's rate limits among replicas, and the switch to announced lower limits.
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

TEST(StateServiceLimits, RepeatedRejectionsApplyAnnouncedRatesOnce) {
  const Settings settings = with_announced_writes(5);
  StateServiceLimits limits(settings);
  for (const double now : {10.0, 10.1, 11.0}) // the first two count as one rejection
    EXPECT_FALSE(limits.request_rejected(now));
  EXPECT_TRUE(limits.request_rejected(12));
  EXPECT_FALSE(limits.request_rejected(13));
  limits.take_leader_writes(12, limits.leader_writes_available(12));
  limits.rebalance(12.5, 0.5, {});
  EXPECT_LT(limits.leader_writes_available(13), 5);
}

TEST(StateServiceLimits, RejectionsHaveNoEffectWithoutAnnouncedLimits) {
  const Settings settings = with_announced_writes(15);
  StateServiceLimits limits(settings);
  for (int now = 10; now < 19; ++now)
    EXPECT_FALSE(limits.request_rejected(now));
}

TEST(StateServiceLimits, ShareOfSilentReplicaIsNotUsedByOthers) {
  Settings settings;
  settings.state_write_rps = 10;
  settings.replicas = {{"b", "a", ""}};
  StateServiceLimits with_idle_peer(settings);
  StateServiceLimits with_silent_peer(settings);
  auto writes_after_rebalancing = [](StateServiceLimits &limits, std::optional<StateServiceLimits::Usage> other) {
    while (limits.take_write(10)) {
    }
    limits.rebalance(10, 0.5, {other});
    int writes = 0;
    while (limits.take_write(10.4))
      ++writes;
    return writes;
  };
  EXPECT_GT(writes_after_rebalancing(with_idle_peer, StateServiceLimits::Usage{}),
            writes_after_rebalancing(with_silent_peer, std::nullopt));
}
