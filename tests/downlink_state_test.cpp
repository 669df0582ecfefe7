// Tests when the downlink of a worker is considered lost and restored.
#include <gtest/gtest.h>

#include "loftrouter/core/workers/downlink_state.hpp"

using namespace loftrouter::core;

namespace {
constexpr DownlinkEvidence kNoEvidence{};
constexpr DownlinkEvidence kAcknowledged{.acknowledged = true, .unacknowledged = false};
constexpr DownlinkEvidence kUnacknowledged{.acknowledged = false, .unacknowledged = true};
constexpr DownlinkEvidence kBoth{.acknowledged = true, .unacknowledged = true};

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

TEST(DownlinkState, SurvivesASingleUnacknowledgedResponse) {
  DownlinkState downlink;
  downlink.set_verified();
  EXPECT_EQ(downlink.update(kUnacknowledged, false, 1), DownlinkState::Change::None);
  EXPECT_TRUE(downlink.accepts_commands());
  EXPECT_EQ(downlink.update(kAcknowledged, false, 2), DownlinkState::Change::None);
  EXPECT_EQ(downlink.update(kUnacknowledged, false, 3), DownlinkState::Change::None);
  EXPECT_FALSE(downlink.lost()) << "the two were not in a row";
}

TEST(DownlinkState, IsLostAfterTwoUnacknowledgedResponsesInARow) {
  DownlinkState downlink = lost_downlink();
  EXPECT_TRUE(downlink.lost());
  EXPECT_EQ(downlink.lost_since(), 2);
  EXPECT_FALSE(downlink.accepts_commands());
  EXPECT_EQ(downlink.update(kUnacknowledged, true, 3), DownlinkState::Change::None);
  EXPECT_EQ(downlink.lost_since(), 2) << "still the time of the loss";
}

TEST(DownlinkState, StaysLostWithoutEvidence) {
  DownlinkState downlink = lost_downlink();
  EXPECT_EQ(downlink.update(kNoEvidence, false, 3), DownlinkState::Change::None);
  EXPECT_TRUE(downlink.lost());
}

TEST(DownlinkState, StaysLostOnContradictoryEvidence) {
  DownlinkState downlink = lost_downlink();
  EXPECT_EQ(downlink.update(kBoth, false, 3), DownlinkState::Change::None);
  EXPECT_TRUE(downlink.lost());
}

TEST(DownlinkState, IsRestoredByAnAcknowledgedResponse) {
  DownlinkState downlink = lost_downlink();
  EXPECT_EQ(downlink.update(kAcknowledged, false, 3), DownlinkState::Change::Restored);
  EXPECT_TRUE(downlink.accepts_commands());
}

TEST(DownlinkState, IsRestoredWhenAnIncarnationSurvivesALease) {
  DownlinkState downlink = lost_downlink();
  EXPECT_EQ(downlink.update(kNoEvidence, true, 40), DownlinkState::Change::Restored);
  EXPECT_TRUE(downlink.accepts_commands());
}
