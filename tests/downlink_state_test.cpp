// Tests when the downlink of a worker counts as lost and as restored.
#include <gtest/gtest.h>

#include "loftrouter/core/workers/downlink_state.hpp"

using namespace loftrouter::core;

namespace {
constexpr DownlinkEvidence kNoEvidence{};
constexpr DownlinkEvidence kAcknowledged{.acknowledged = true, .unacknowledged = false};
constexpr DownlinkEvidence kUnacknowledged{.acknowledged = false, .unacknowledged = true};
constexpr DownlinkEvidence kContradictory{.acknowledged = true, .unacknowledged = true};

DownlinkState lost_downlink() {
  DownlinkState downlink;
  downlink.set_verified();
  EXPECT_EQ(downlink.update(kUnacknowledged, false, 1), DownlinkState::Change::None);
  EXPECT_EQ(downlink.update(kUnacknowledged, false, 2), DownlinkState::Change::Lost);
  return downlink;
}
} // namespace

TEST(DownlinkState, AcceptsCommandsOnlyWhenVerified) {
  DownlinkState downlink;
  EXPECT_FALSE(downlink.accepts_commands());
  downlink.set_verified();
  EXPECT_TRUE(downlink.accepts_commands());
}

TEST(DownlinkState, IsNotLostAfterASingleUnacknowledgedResponse) {
  DownlinkState downlink;
  downlink.set_verified();
  EXPECT_EQ(downlink.update(kUnacknowledged, false, 1), DownlinkState::Change::None);
  EXPECT_TRUE(downlink.accepts_commands());
  EXPECT_EQ(downlink.update(kAcknowledged, false, 2), DownlinkState::Change::None);
  EXPECT_EQ(downlink.update(kUnacknowledged, false, 3), DownlinkState::Change::None);
  EXPECT_FALSE(downlink.lost()) << "an acknowledged response came between the two";
}

TEST(DownlinkState, IsLostAfterTwoUnacknowledgedResponsesInARow) {
  DownlinkState downlink = lost_downlink();
  EXPECT_TRUE(downlink.lost());
  EXPECT_EQ(downlink.lost_since(), 2);
  EXPECT_FALSE(downlink.accepts_commands());
  EXPECT_EQ(downlink.update(kUnacknowledged, true, 3), DownlinkState::Change::None);
  EXPECT_EQ(downlink.lost_since(), 2) << "a further unacknowledged response does not change the time of the loss";
}

TEST(DownlinkState, StaysLostWithoutEvidence) {
  DownlinkState downlink = lost_downlink();
  EXPECT_EQ(downlink.update(kNoEvidence, false, 3), DownlinkState::Change::None);
  EXPECT_TRUE(downlink.lost());
}

TEST(DownlinkState, StaysLostOnContradictoryEvidence) {
  DownlinkState downlink = lost_downlink();
  EXPECT_EQ(downlink.update(kContradictory, false, 3), DownlinkState::Change::None);
  EXPECT_TRUE(downlink.lost());
}

TEST(DownlinkState, IsRestoredByAnAcknowledgedResponse) {
  DownlinkState downlink = lost_downlink();
  EXPECT_EQ(downlink.update(kAcknowledged, false, 3), DownlinkState::Change::Restored);
  EXPECT_TRUE(downlink.accepts_commands());
}

TEST(DownlinkState, IsRestoredWhenTheWorkerOutlivesALease) {
  DownlinkState downlink = lost_downlink();
  EXPECT_EQ(downlink.update(kNoEvidence, true, 40), DownlinkState::Change::Restored);
  EXPECT_TRUE(downlink.accepts_commands());
}
