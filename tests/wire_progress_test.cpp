#include <gtest/gtest.h>

#include "loftrouter/wire/progress_record.hpp"

using namespace loftrouter;
using namespace loftrouter::wire;

// Guards against values above the 8 KiB limit: 1,800 scattered tasks fit as a bitmap but not as a list of ranges.
TEST(WireProgress, EncodesScatteredTasksAsBitmap) {
  ProgressRecord progress;
  progress.started = {{0, 1800}};
  for (std::uint32_t task = 0; task < 1800; task += 3)
    progress.finished.emplace_back(task, task + 1);
  const auto shard = progress_shard({{"j-1", to_json(progress)}, {"j-2", to_json(ProgressRecord{})}});
  EXPECT_LT(shard.dump().size(), 600u);
  const auto decoded = progress_from_json("progress/s0", *decode(encode(shard)));
  ASSERT_TRUE(decoded && decoded->jobs.size() == 2);
  EXPECT_EQ(decoded->jobs[0].first, "j-1");
  EXPECT_EQ(decoded->jobs[0].second.started, progress.started);
  EXPECT_EQ(decoded->jobs[0].second.finished, progress.finished);
  EXPECT_TRUE(decoded->jobs[1].second.started.empty());
}

TEST(WireProgress, DecodesSingleJobRecordOfEarlierVersion) {
  const auto decoded = progress_from_json("progress/j-7", Json{{"s", {0, 4}}, {"f", {1, 2}}});
  ASSERT_TRUE(decoded && decoded->jobs.size() == 1);
  EXPECT_EQ(decoded->jobs[0].first, "j-7");
  EXPECT_EQ(decoded->jobs[0].second.started, (Ranges{{0, 4}}));
}

TEST(WireProgress, RejectsShardWithInvalidJobRecord) {
  EXPECT_FALSE(progress_from_json("progress/s0", Json{{"jobs", {{"j-1", {{"s", "xyz"}, {"f", "0"}}}}}}));
}
