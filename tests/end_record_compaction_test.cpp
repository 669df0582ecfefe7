// Tests the move of end records from open/ to end/, and the limits of one transaction.
#include "loftrouter/core/state/end_record_compaction.hpp"

#include "state_fixture.hpp"

using namespace loftrouter;
using namespace loftrouter::core;

namespace {

constexpr std::uint64_t kTerm = 5;

class EndRecordCompactionTest : public test::StateFixture {
protected:
  void enqueue(const std::string &id) { compaction.enqueue({id, 7, {{"id", id}}}); }
  double full_budget() const { return settings.state_write_rps; }

  EndRecordCompaction compaction{context};
  WriteTransaction transaction{kTerm};
};

} // namespace

TEST_F(EndRecordCompactionTest, MoveIsConditionalOnTheLeaderKeyAndBothRecords) {
  enqueue("j-000001");
  compaction.add_to(transaction, full_budget(), 8);
  ASSERT_EQ(transaction.preconditions.size(), 3u);
  EXPECT_EQ(transaction.preconditions[0].key, "leader");
  EXPECT_EQ(transaction.preconditions[0].mod_revision, kTerm);
  EXPECT_EQ(transaction.preconditions[1].key, "open/j-000001");
  EXPECT_EQ(transaction.preconditions[1].mod_revision, 7u);
  EXPECT_EQ(transaction.preconditions[2].key, "end/j-000001");
  EXPECT_EQ(transaction.preconditions[2].mod_revision, 0u);
  ASSERT_EQ(transaction.writes.size(), 2u);
  EXPECT_FALSE(transaction.writes[0].value) << "the open record is deleted";
  EXPECT_EQ(transaction.writes[1].value, wire::Json({{"id", "j-000001"}}));
  EXPECT_TRUE(compaction.empty());
}

TEST_F(EndRecordCompactionTest, NoMovesWhileTheWriteBudgetIsLow) {
  enqueue("j-000001");
  compaction.add_to(transaction, 0.39 * settings.state_write_rps, 8);
  EXPECT_TRUE(transaction.writes.empty());
  EXPECT_FALSE(compaction.empty());
}

TEST_F(EndRecordCompactionTest, OneTransactionMovesUpToItsOperationLimit) {
  for (int i = 1; i <= 5; ++i)
    enqueue("j-00000" + std::to_string(i));
  compaction.add_to(transaction, full_budget(), 7);
  EXPECT_EQ(transaction.compactions.size(), 3u);
  EXPECT_EQ(transaction.writes.size(), 6u);
}

TEST_F(EndRecordCompactionTest, RejectedMoveIsRetriedUnlessItsRecordsHaveChanged) {
  for (const char *id : {"j-000001", "j-000002", "j-000003"})
    enqueue(id);
  compaction.add_to(transaction, full_budget(), 8);
  compaction.requeue(transaction.compactions, {"open/j-000001", "end/j-000002"});
  EXPECT_FALSE(compaction.find_end("j-000001")) << "already moved by an unanswered write";
  EXPECT_FALSE(compaction.find_end("j-000002"));
  ASSERT_TRUE(compaction.find_end("j-000003"));
  EXPECT_EQ(*compaction.find_end("j-000003"), wire::Json({{"id", "j-000003"}}));
}

TEST(TransactionCapacity, NothingFitsAfterAnItemThatDidNotFit) {
  WriteTransaction transaction(kTerm);
  TransactionCapacity capacity(2, 10);
  EXPECT_TRUE(capacity.fits(transaction, 2));
  transaction.writes.resize(1);
  EXPECT_FALSE(capacity.fits(transaction, 2));
  EXPECT_FALSE(capacity.fits(transaction, 1));
  EXPECT_TRUE(capacity.full());
}

TEST(TransactionCapacity, TransactionsStayWithinTheWriteBudgetAndSizeLimit) {
  WriteTransaction transaction(kTerm);
  EXPECT_FALSE(TransactionCapacity(8, 0.9).fits(transaction, 1));
  transaction.approximate_bytes = 48'001;
  EXPECT_FALSE(TransactionCapacity(8, 10).fits(transaction, 1));
}
