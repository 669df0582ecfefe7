// Formatting of log lines as text and as JSON.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "loftrouter/core/runtime/log.hpp"

using namespace loftrouter::core;

// Field values may come from users and workers: an unescaped line break would let them forge a log line.
TEST(Log, EscapesFieldValues) {
  const LogLine line{LogLevel::Info,
                     "machine_lost",
                     {{"machine", "n-1"}, {"why", "a \"b\" \\ c\nelected term=9"}, {"tasks", 3}, {"up_s", 2.25}}};
  EXPECT_EQ(log_text(line), R"(machine_lost machine=n-1 why="a \"b\" \\ c\x0aelected term=9" tasks=3 up_s=2.2)");
  const auto parsed = nlohmann::json::parse("{" + log_json(line) + "}");
  EXPECT_EQ(parsed["event"], "machine_lost");
  EXPECT_EQ(parsed["why"], "a \"b\" \\ c\nelected term=9");
  EXPECT_EQ(parsed["tasks"], 3);
}

TEST(Log, InvalidUtf8AndInfinityGiveValidJson) {
  const LogLine line{
      LogLevel::Info, "x", {{"bytes", "\xff\xfe"}, {"infinite", 1.0 / 0.0}, {"none", ""}, {"yes", true}}};
  const auto parsed = nlohmann::json::parse("{" + log_json(line) + "}", nullptr, false);
  ASSERT_FALSE(parsed.is_discarded());
  EXPECT_EQ(parsed["infinite"], "inf");
  EXPECT_EQ(parsed["yes"], true);
  EXPECT_EQ(log_text(line).find('\n'), std::string::npos);
  EXPECT_NE(log_text(line).find("none=\"\""), std::string::npos);
}
