// Tests the assignment of jobs to progress records, moves between records, and write order.
#include "loftrouter/core/state/progress_shards.hpp"

#include "state_fixture.hpp"

using namespace loftrouter;
using namespace loftrouter::core;

namespace {

constexpr std::uint32_t kLargeJob = 5'000; // tasks; three of them fill a record of 8 KiB
constexpr std::size_t kOversize = 100'000; // characters

class ProgressShardsTest : public test::StateFixture {
protected:
  // `loaded_from`: the shard that already holds the job; invalid: a new job.
  JobIndex assign(const std::string &id, std::uint32_t tasks, ShardIndex loaded_from = {}) {
    const JobIndex job_index = add_job(id, tasks);
    shards.add_job(job_index, loaded_from);
    return job_index;
  }

  ProgressShards shards{context};
};

} // namespace

TEST_F(ProgressShardsTest, JobsShareARecordUntilItIsFull) {
  const JobIndex first = assign("j-000001", 1);
  const JobIndex second = assign("j-000002", 1);
  EXPECT_EQ(shards.job(first).shard, shards.job(second).shard);
  for (int i = 3; i < 10; ++i)
    assign("j-00000" + std::to_string(i), kLargeJob);
  EXPECT_GT(shards.size(), 1u);
  for (std::size_t i = 0; i < shards.size(); ++i)
    EXPECT_LE(shards[ShardIndex(i)].reserved_chars, static_cast<std::size_t>(settings.state_value_kb * 1024));
}

TEST_F(ProgressShardsTest, SpaceOfARemovedJobIsReused) {
  const JobIndex first = assign("j-000001", kLargeJob);
  const ShardIndex shard = shards.job(first).shard;
  shards.remove_job(first);
  EXPECT_EQ(shards[shard].reserved_chars, 0u);
  EXPECT_TRUE(shards[shard].dirty);
  EXPECT_EQ(shards.job(assign("j-000002", kLargeJob)).shard, shard);
}

// Otherwise a new leader could start the job's tasks again.
TEST_F(ProgressShardsTest, MovingJobLeavesItsRecordOnlyAfterTheOtherIsWritten) {
  const ShardIndex loaded = shards.add_loaded("progress/s0", 7, kOversize);
  JobIndex moving;
  for (int i = 1; i < 9 && !moving.valid(); ++i) {
    const JobIndex job_index = assign("j-00000" + std::to_string(i), kLargeJob, loaded);
    if (shards.job(job_index).moving_from.valid()) moving = job_index;
  }
  ASSERT_TRUE(moving.valid());
  EXPECT_EQ(shards.job(moving).moving_from, loaded);
  const ShardIndex target = shards.job(moving).shard;
  EXPECT_GT(shards[target].key, shards[loaded].key);

  shards.mark_dirty(loaded, true);
  EXPECT_EQ(shards.due(0), std::vector<ShardIndex>{target});
  shards.on_move_copied(moving);
  EXPECT_EQ(shards.due(0).size(), 2u);
  shards.on_departures_written(loaded);
  EXPECT_FALSE(shards.job(moving).moving_from.valid());
}

TEST_F(ProgressShardsTest, UrgentRecordsAreWrittenFirstAndOthersAfterADelay) {
  const ShardIndex not_urgent = shards.add_loaded("progress/s0", 7, 10);
  const ShardIndex urgent = shards.add_loaded("progress/s1", 7, 10);
  shards.mark_dirty(not_urgent, false);
  advance_time(0.5);
  shards.mark_dirty(urgent, true);
  EXPECT_EQ(shards.due(0.8), std::vector<ShardIndex>{urgent});
  advance_time(0.4);
  EXPECT_EQ(shards.due(0.8), (std::vector<ShardIndex>{urgent, not_urgent}));
}

TEST_F(ProgressShardsTest, ShrinkingMovesEverySecondJob) {
  std::vector<JobIndex> jobs_of_shard;
  for (int i = 1; i <= 4; ++i)
    jobs_of_shard.push_back(assign("j-00000" + std::to_string(i), 1));
  const ShardIndex shard = shards.job(jobs_of_shard[0]).shard;
  shards.shrink(shard);
  EXPECT_EQ(shards[shard].jobs, (std::vector<JobIndex>{jobs_of_shard[0], jobs_of_shard[2]}));
  EXPECT_EQ(shards[shard].departing_jobs, (std::vector<JobIndex>{jobs_of_shard[1], jobs_of_shard[3]}));
  for (JobIndex job_index : jobs_of_shard)
    EXPECT_EQ(shards.job(job_index).size_reductions, 1);
}
