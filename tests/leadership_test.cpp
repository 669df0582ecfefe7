// Unit tests of `Leadership`: election, lease validity and the end of a term.
#include <gtest/gtest.h>

#include "leadership_fixture.hpp"

using namespace loftrouter;
using namespace loftrouter::core;
using loftrouter::test::grant_everything;
using loftrouter::test::loaded_catalog;
using loftrouter::test::win_election;

namespace {

constexpr double kStartS = 100;

class LeadershipTest : public ::testing::Test {
protected:
  LeadershipTest() { set_time(kStartS); }

  void set_time(double now) { runtime.begin_batch({now, 1.7e9 + now}); }
  // Returns the state service requests made since the last call.
  std::vector<StoreOp> take_requests() { return runtime.take_effects().store; }
  void answer(const StoreOp &request, int status, std::uint64_t lease = 0, std::uint64_t revision = 0) {
    wire::StoreReply reply;
    reply.status = status;
    reply.lease = lease;
    reply.revision = revision;
    runtime.complete(StoreReplyCommand{request.op, reply});
  }
  void become_leader() {
    win_election(runtime, leadership);
    leadership.begin_term();
  }
  // Ticks at `now` and returns the lease renewal, which must be the only request.
  StoreOp renewal_at(double now) {
    set_time(now);
    leadership.tick();
    const auto renewals = take_requests();
    EXPECT_EQ(renewals.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<StoreLeaseRenew>(renewals.at(0).request));
    return renewals.at(0);
  }

  Settings settings;
  Runtime runtime{1};
  Events events;
  InstanceTypeCatalog catalog = loaded_catalog();
  Leadership leadership{runtime, events, settings, catalog};
};

} // namespace

TEST_F(LeadershipTest, TermIsRevisionOfLeaderKeyCommit) {
  leadership.tick();
  const auto poll = take_requests();
  ASSERT_EQ(poll.size(), 1U);
  answer(poll[0], 404);
  const auto grant = take_requests();
  ASSERT_EQ(grant.size(), 1U);
  answer(grant[0], 200, 7);
  const auto commit = take_requests();
  ASSERT_EQ(commit.size(), 1U);
  const auto &key_commit = std::get<StoreCommit>(commit[0].request);
  ASSERT_EQ(key_commit.preconditions.size(), 1U);
  EXPECT_EQ(key_commit.preconditions[0].key, "leader");
  EXPECT_EQ(key_commit.preconditions[0].mod_revision, 0U) << "the commit must require that the key does not exist";
  EXPECT_EQ(key_commit.writes.at(0).lease, 7U);
  EXPECT_EQ(leadership.role(), Role::Candidate);
  answer(commit[0], 200, 0, 42);
  EXPECT_EQ(leadership.role(), Role::Loading);
  EXPECT_EQ(leadership.term(), 42U);
  leadership.begin_term();
  EXPECT_TRUE(leadership.active());
}

TEST_F(LeadershipTest, LeaseIsRevokedWhenCommitGetsNoResponse) {
  leadership.tick();
  answer(take_requests().at(0), 404);
  answer(take_requests().at(0), 200, 7);
  const auto commit = take_requests();
  answer(commit.at(0), 0);
  EXPECT_EQ(leadership.role(), Role::Follower);
  const auto revoke = take_requests();
  ASSERT_EQ(revoke.size(), 1U);
  EXPECT_EQ(std::get<StoreLeaseRevoke>(revoke[0].request).lease, 7U);
}

TEST_F(LeadershipTest, LeaseValidityCountsFromSendingOfRenewal) {
  become_leader();
  const StoreOp renewal = renewal_at(kStartS + 1);
  set_time(kStartS + 1.9);
  answer(renewal, 200);
  set_time(kStartS + 4.9);
  EXPECT_TRUE(leadership.active());
  set_time(kStartS + 4.98);
  EXPECT_FALSE(leadership.active()) << "valid for 4 s from sending, less the clock drift and 20 ms";
}

TEST_F(LeadershipTest, ExpiredLeasePausesLeaderUntilRenewalIsConfirmed) {
  become_leader();
  answer(renewal_at(kStartS + 1), 0);
  const StoreOp renewal = renewal_at(kStartS + 6);
  EXPECT_FALSE(leadership.active());
  EXPECT_TRUE(leadership.leading());
  answer(renewal, 200);
  EXPECT_TRUE(leadership.active());
}

TEST_F(LeadershipTest, TermEndsWhenLeaseNoLongerExists) {
  become_leader();
  const auto epoch = leadership.epoch();
  answer(renewal_at(kStartS + 1), 404);
  EXPECT_EQ(leadership.role(), Role::Follower);
  EXPECT_FALSE(leadership.lease_valid());
  EXPECT_NE(leadership.epoch(), epoch);
}

TEST_F(LeadershipTest, HigherTermEndsOwnTermImmediately) {
  become_leader();
  leadership.observe_term(leadership.term(), "same term");
  EXPECT_TRUE(leadership.leading());
  leadership.observe_term(leadership.term() + 1, "higher term");
  EXPECT_EQ(leadership.role(), Role::Follower);
  EXPECT_EQ(leadership.highest_term(), leadership.term() + 1);
}

TEST_F(LeadershipTest, AbstainingReplicaRunsWhenNoOtherReplicaDoes) {
  leadership.abstain_from_elections(100);
  std::uint64_t revision = 0;
  leadership.tick();
  grant_everything(runtime, revision);
  EXPECT_EQ(leadership.role(), Role::Follower);
  set_time(kStartS + 2.9);
  leadership.tick();
  grant_everything(runtime, revision);
  EXPECT_EQ(leadership.role(), Role::Follower);
  set_time(kStartS + 3.5);
  leadership.tick();
  grant_everything(runtime, revision);
  EXPECT_EQ(leadership.role(), Role::Loading);
}

TEST_F(LeadershipTest, ReplicaWithoutInstanceTypesDoesNotRun) {
  const InstanceTypeCatalog empty_catalog({"a"});
  Leadership follower{runtime, events, settings, empty_catalog};
  win_election(runtime, follower);
  EXPECT_EQ(follower.role(), Role::Follower);
}
