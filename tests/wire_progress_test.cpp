#include <gtest/gtest.h>

#include "loftrouter/wire/progress_record.hpp"

using namespace loftrouter;
using namespace loftrouter::wire;

// 1,800 scattered tasks as a list of ranges would not fit into a value of 8 KiB; as a bitmap they do.
TEST(WireProgress, ScatteredTasksAreStoredInTheShorterForm) {
  ProgressRecord progress;
  progress.started = {{0, 1800}};
  for (std::uint32_t i = 0; i < 1800; i += 3)
    progress.finished.emplace_back(i, i + 1);
  const auto shard = progress_shard({{"j-1", to_json(progress)}, {"j-2", to_json(ProgressRecord{})}});
  EXPECT_LT(shard.dump().size(), 600u);
  const auto read = progress_from_json("progress/s0", *decode(encode(shard)));
  ASSERT_TRUE(read && read->jobs.size() == 2);
  EXPECT_EQ(read->jobs[0].first, "j-1");
  EXPECT_EQ(read->jobs[0].second.started, progress.started);
  EXPECT_EQ(read->jobs[0].second.finished, progress.finished);
  EXPECT_TRUE(read->jobs[1].second.started.empty());
}

TEST(WireProgress, RecordOfOneJobOfAnEarlierVersionIsRead) {
  const auto read = progress_from_json("progress/j-7", Json{{"s", {0, 4}}, {"f", {1, 2}}});
  ASSERT_TRUE(read && read->jobs.size() == 1);
  EXPECT_EQ(read->jobs[0].first, "j-7");
  EXPECT_EQ(read->jobs[0].second.started, (Ranges{{0, 4}}));
}

TEST(WireProgress, ShardWithOneUnreadableRecordIsRefused) {
  EXPECT_FALSE(progress_from_json("progress/s0", Json{{"jobs", {{"j-1", {{"s", "xyz"}, {"f", "0"}}}}}}));
}
