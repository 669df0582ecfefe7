// Log lines: whatever a field holds, one event stays one line that can be read back.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "loftrouter/core/runtime/log.hpp"

using namespace loftrouter::core;

TEST(Log, OneEventIsOneLineWhateverAFieldHolds) {
  // Names of machines and classes come from outside; one with a line break would forge a line of its own.
  const LogLine line{LogLevel::Info,
                     "machine_lost",
                     {{"machine", "n-1"}, {"why", "a \"b\" \\ c\nelected term=9"}, {"tasks", 3}, {"up_s", 2.25}}};
  EXPECT_EQ(log_text(line), R"(machine_lost machine=n-1 why="a \"b\" \\ c\x0aelected term=9" tasks=3 up_s=2.2)");
  const auto back = nlohmann::json::parse("{" + log_json(line) + "}");
  EXPECT_EQ(back["event"], "machine_lost");
  EXPECT_EQ(back["why"], "a \"b\" \\ c\nelected term=9");
  EXPECT_EQ(back["tasks"], 3);
}

TEST(Log, NoValueBreaksTheJson) {
  const LogLine line{
      LogLevel::Info, "x", {{"bytes", "\xff\xfe"}, {"infinite", 1.0 / 0.0}, {"none", ""}, {"yes", true}}};
  const auto back = nlohmann::json::parse("{" + log_json(line) + "}", nullptr, false);
  ASSERT_FALSE(back.is_discarded());
  EXPECT_EQ(back["infinite"], "inf");
  EXPECT_EQ(back["yes"], true);
  EXPECT_EQ(log_text(line).find('\n'), std::string::npos);
  EXPECT_NE(log_text(line).find("none=\"\""), std::string::npos);
}
