// Unit tests of `HeartbeatForwarder`. Guards against a response being matched to a heartbeat that it does not answer.
#include <gtest/gtest.h>

#include "loftrouter/core/heartbeats/heartbeat_forwarder.hpp"

using loftrouter::core::HeartbeatForwarder;
using loftrouter::core::RequestId;

namespace {
constexpr std::size_t kMaxWorkers = 2;
constexpr double kWorkerExpiryS = 10;

class HeartbeatForwarderTest : public ::testing::Test {
protected:
  HeartbeatForwarderTest() {
    EXPECT_TRUE(first_number && second_number);
    EXPECT_NE(first_number, second_number);
  }
  HeartbeatForwarder forwarder{kMaxWorkers, kWorkerExpiryS, 100};
  std::optional<std::uint64_t> first_number = forwarder.add(1, "m-1", 0);
  std::optional<std::uint64_t> second_number = forwarder.add(2, "m-2", 0.1);
};
} // namespace

TEST_F(HeartbeatForwarderTest, WorkerBeyondLimitIsRejected) {
  EXPECT_FALSE(forwarder.add(3, "m-3", 0.2));
  EXPECT_FALSE(forwarder.has_room());
  EXPECT_TRUE(forwarder.add(4, "m-2", 0.2)) << "a worker that is already known is accepted";
}

TEST_F(HeartbeatForwarderTest, ResponseIsMatchedOnceToItsHeartbeat) {
  EXPECT_EQ(forwarder.complete(*second_number), 2U);
  EXPECT_FALSE(forwarder.complete(*second_number));
  EXPECT_EQ(forwarder.complete(*first_number), 1U);
}

TEST_F(HeartbeatForwarderTest, ResponseAfterExpiryIsIgnored) {
  EXPECT_EQ(forwarder.complete(*second_number), 2U);
  EXPECT_TRUE(forwarder.expire(1.0).empty());
  EXPECT_EQ(forwarder.expire(2.0), (std::vector<RequestId>{1}));
  EXPECT_FALSE(forwarder.complete(*first_number)) << "the worker has been redirected by then";
}

TEST_F(HeartbeatForwarderTest, MissingResponseSuspendsForwardingTemporarily) {
  EXPECT_FALSE(forwarder.expire(2.0).empty());
  EXPECT_TRUE(forwarder.suspended(2.5));
  EXPECT_FALSE(forwarder.suspended(10));
}

TEST_F(HeartbeatForwarderTest, GivingUpAllDoesNotSuspendForwarding) {
  EXPECT_EQ(forwarder.give_up_all().size(), 2U);
  EXPECT_EQ(forwarder.workers(), 0U);
  EXPECT_FALSE(forwarder.suspended(0.2));
}

TEST_F(HeartbeatForwarderTest, SilentWorkersMakeRoomForOthers) {
  EXPECT_TRUE(forwarder.add(4, "m-3", 20));
}

TEST_F(HeartbeatForwarderTest, RedirectedWorkerMakesRoomForAnotherWorker) {
  EXPECT_EQ(forwarder.complete(*first_number, /*worker_stays=*/false), 1U);
  EXPECT_TRUE(forwarder.add(5, "m-3", 0.3));
}
