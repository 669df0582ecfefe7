// Leadership alone: how it becomes leader, for how long its lease is valid, and how its term ends.
#include <gtest/gtest.h>

#include "leadership_fixture.hpp"

using namespace loftrouter;
using namespace loftrouter::core;
using loftrouter::test::grant_everything;
using loftrouter::test::loaded_catalog;
using loftrouter::test::win_election;

namespace {

constexpr double kStart = 100;

class LeadershipTest : public ::testing::Test {
protected:
  LeadershipTest() { at(kStart); }

  void at(double now) { runtime.begin_batch({now, 1.7e9 + now}); }
  // The requests made since the last look.
  std::vector<StoreOp> requests() { return runtime.take_effects().store; }
  void answer(const StoreOp &op, int status, std::uint64_t lease = 0, std::uint64_t revision = 0) {
    wire::StoreReply reply;
    reply.status = status;
    reply.lease = lease;
    reply.revision = revision;
    runtime.complete(StoreReplyCommand{op.op, reply});
  }
  void lead() {
    win_election(runtime, leadership);
    leadership.begin_term();
  }
  // The renewal that is due at this time.
  StoreOp renewal_at(double now) {
    at(now);
    leadership.tick();
    const auto made = requests();
    EXPECT_EQ(made.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<StoreLeaseRenew>(made.at(0).request));
    return made.at(0);
  }

  Settings settings;
  Runtime runtime{1};
  Events events;
  InstanceTypeCatalog catalog = loaded_catalog();
  Leadership leadership{runtime, events, settings, catalog};
};

} // namespace

TEST_F(LeadershipTest, TermIsTheRevisionOfTheCommitThatCreatedTheLeaderKey) {
  leadership.tick();
  const auto poll = requests();
  ASSERT_EQ(poll.size(), 1U);
  answer(poll[0], 404);
  const auto grant = requests();
  ASSERT_EQ(grant.size(), 1U);
  answer(grant[0], 200, 7);
  const auto commit = requests();
  ASSERT_EQ(commit.size(), 1U);
  const auto &create = std::get<StoreCommit>(commit[0].request);
  ASSERT_EQ(create.preconditions.size(), 1U);
  EXPECT_EQ(create.preconditions[0].key, "leader");
  EXPECT_EQ(create.preconditions[0].mod_revision, 0U) << "the key must not exist";
  EXPECT_EQ(create.writes.at(0).lease, 7U);
  EXPECT_EQ(leadership.role(), Role::Candidate);
  answer(commit[0], 200, 0, 42);
  EXPECT_EQ(leadership.role(), Role::Loading);
  EXPECT_EQ(leadership.term(), 42U);
  leadership.begin_term();
  EXPECT_TRUE(leadership.active());
}

TEST_F(LeadershipTest, LeaseOfACommitWithoutAnswerIsRevoked) {
  leadership.tick();
  answer(requests().at(0), 404);
  answer(requests().at(0), 200, 7);
  const auto commit = requests();
  answer(commit.at(0), 0);
  EXPECT_EQ(leadership.role(), Role::Follower);
  const auto revoke = requests();
  ASSERT_EQ(revoke.size(), 1U);
  EXPECT_EQ(std::get<StoreLeaseRevoke>(revoke[0].request).lease, 7U);
}

TEST_F(LeadershipTest, ValidityCountsFromWhenTheRenewalWasSent) {
  lead();
  const StoreOp renewal = renewal_at(kStart + 1);
  at(kStart + 1.9);
  answer(renewal, 200);
  at(kStart + 4.9);
  EXPECT_TRUE(leadership.active());
  at(kStart + 4.98);
  EXPECT_FALSE(leadership.active()) << "4 s from when it was sent, less the drift and 20 ms";
}

TEST_F(LeadershipTest, ExpiredLeasePausesTheLeaderUntilARenewalIsConfirmed) {
  lead();
  answer(renewal_at(kStart + 1), 0);
  const StoreOp renewal = renewal_at(kStart + 6);
  EXPECT_FALSE(leadership.active());
  EXPECT_TRUE(leadership.leading());
  answer(renewal, 200);
  EXPECT_TRUE(leadership.active());
}

TEST_F(LeadershipTest, TermEndsWhenTheStateServiceNoLongerKnowsTheLease) {
  lead();
  const auto epoch = leadership.epoch();
  answer(renewal_at(kStart + 1), 404);
  EXPECT_EQ(leadership.role(), Role::Follower);
  EXPECT_FALSE(leadership.lease_valid());
  EXPECT_NE(leadership.epoch(), epoch);
}

TEST_F(LeadershipTest, HigherTermEndsTheOwnTermAtOnce) {
  lead();
  leadership.observe_term(leadership.term(), "the same");
  EXPECT_TRUE(leadership.leading());
  leadership.observe_term(leadership.term() + 1, "a higher one");
  EXPECT_EQ(leadership.role(), Role::Follower);
  EXPECT_EQ(leadership.highest_term(), leadership.term() + 1);
}

TEST_F(LeadershipTest, ReplicaThatAbstainsRunsWhenNobodyElseDoes) {
  leadership.abstain_from_elections(100);
  std::uint64_t revision = 0;
  leadership.tick();
  grant_everything(runtime, revision);
  EXPECT_EQ(leadership.role(), Role::Follower);
  at(kStart + 2.9);
  leadership.tick();
  grant_everything(runtime, revision);
  EXPECT_EQ(leadership.role(), Role::Follower);
  at(kStart + 3.5);
  leadership.tick();
  grant_everything(runtime, revision);
  EXPECT_EQ(leadership.role(), Role::Loading);
}

TEST_F(LeadershipTest, ReplicaThatKnowsNoInstanceTypesDoesNotRun) {
  const InstanceTypeCatalog unknown({"a"});
  Leadership follower{runtime, events, settings, unknown};
  win_election(runtime, follower);
  EXPECT_EQ(follower.role(), Role::Follower);
}
