// Tests how a new leader loads the progress records of earlier leaders.
#include "loftrouter/core/state/progress_loader.hpp"

#include "loftrouter/wire/storage_keys.hpp"
#include "state_fixture.hpp"

using namespace loftrouter;
using namespace loftrouter::core;

namespace {

wire::KeyValue progress_record_with(const std::string &name, const std::string &id, const ProgressRecord &progress) {
  return {wire::progress_key(name), wire::progress_shard({{id, wire::to_json(progress)}}), 7, 0};
}

ProgressRecord progress_with_started(Ranges tasks, std::int64_t at_ms) {
  ProgressRecord progress;
  progress.started = std::move(tasks);
  progress.at_ms = at_ms;
  progress.usage[accounts::Useful] = at_ms / 10;
  return progress;
}

class ProgressLoaderTest : public test::StateFixture {
protected:
  ProgressShards shards{context};
  ProgressLoader loader{context, shards};
};

} // namespace

TEST_F(ProgressLoaderTest, JobInTwoRecordsHasTheStartsOfBothAndTheNewerAccount) {
  ASSERT_TRUE(loader.load(progress_record_with("s0", "j-000001", progress_with_started({{0, 2}}, 2000))));
  ASSERT_TRUE(loader.load(progress_record_with("t0", "j-000001", progress_with_started({{4, 5}}, 1000))));
  const auto *loaded = loader.find(jobs[add_job("j-000001", 8)]);
  ASSERT_TRUE(loaded);
  EXPECT_EQ(loaded->progress.started, (Ranges{{0, 2}, {4, 5}}));
  EXPECT_EQ(loaded->progress.usage[accounts::Useful], 200);
  EXPECT_EQ(shards[loaded->shard].key, "progress/s0");
}

TEST_F(ProgressLoaderTest, ProgressOfAnEarlierDelegationIsNotUsed) {
  ProgressRecord delegated = progress_with_started({{0, 1}}, 1000);
  delegated.delegated_here = 5;
  ASSERT_TRUE(loader.load(progress_record_with("s0", "j-000001", delegated)));
  EXPECT_FALSE(loader.find(jobs[add_job("j-000001")]));
}

TEST_F(ProgressLoaderTest, RecordOfANewerVersionIsRejected) {
  EXPECT_FALSE(loader.load({"progress/s0", {{"v", 99}, {"jobs", nlohmann::json::object()}}, 7, 0}));
  EXPECT_EQ(shards.size(), 0u);
}

TEST_F(ProgressLoaderTest, JobThatIsNoLongerOpenIsUnsettled) {
  ASSERT_TRUE(loader.load(progress_record_with("s0", "j-000001", progress_with_started({{0, 1}}, 1000))));
  ASSERT_TRUE(loader.load(progress_record_with("s1", "j-000002", progress_with_started({{0, 1}}, 1000))));
  add_job("j-000002");
  loader.finish();
  ASSERT_EQ(shards[ShardIndex(0)].unsettled_jobs.size(), 1u);
  EXPECT_EQ(shards[ShardIndex(0)].unsettled_jobs[0].id, "j-000001");
  EXPECT_TRUE(shards[ShardIndex(1)].unsettled_jobs.empty());
}

// Otherwise it would be read at every failover.
TEST_F(ProgressLoaderTest, EmptyRecordIsMarkedDirtyForDeletion) {
  ASSERT_TRUE(loader.load({"progress/s0", wire::progress_shard({}), 7, 0}));
  loader.finish();
  EXPECT_TRUE(shards.empty(ShardIndex(0)));
  EXPECT_TRUE(shards[ShardIndex(0)].dirty);
}
