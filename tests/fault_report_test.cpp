#include <gtest/gtest.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

#include <unistd.h>

#include "loftrouter/app/fault_report.hpp"
#include "loftrouter/app/rejected_bodies.hpp"
#include "loftrouter/app/run_record.hpp"

using namespace loftrouter::app;

namespace {

// Recurses until the stack is used up, as `caller` points to a zero.
[[gnu::noinline]] int exhaust_stack(volatile char *caller) {
  volatile char frame[4096];
  frame[0] = caller[0];
  frame[1] = 0;
  if (frame[0] != 0) return 0;
  return exhaust_stack(frame) + frame[1];
}

class FaultReportDeathTest : public ::testing::Test {
protected:
  FaultReportDeathTest() {
    GTEST_FLAG_SET(death_test_style, "threadsafe");
    work_.set_leader_term(17);
  }
  CurrentWork work_;
};

class RunRecordTest : public ::testing::Test {
protected:
  RunRecordTest() : path_(std::filesystem::temp_directory_path() / ("loft-run-record-" + std::to_string(::getpid()))) {
    std::filesystem::remove(path_);
  }
  ~RunRecordTest() override { std::filesystem::remove(path_); }

  // Returns what the next run reads after one that wrote `line`.
  PreviousRun after(const std::string &line) {
    {
      const RunRecord run(path_.string());
      EXPECT_GE(run.fd(), 0);
      EXPECT_EQ(::write(run.fd(), line.data(), line.size()), static_cast<ssize_t>(line.size()));
    }
    return RunRecord(path_.string()).previous();
  }
  std::filesystem::path path_;
};

} // namespace

TEST_F(FaultReportDeathTest, StackOverflowWhileDecodingNamesTheRequest) {
  EXPECT_EXIT(
      {
        install_fault_report(work_, {});
        work_.decode_body("users", "POST", "/api/jobs", 60000);
        char frame[1] = {0};
        std::exit(exhaust_stack(frame));
      },
      ::testing::KilledBySignal(SIGSEGV),
      "Z error process_faulted signal=\"SIGSEGV\" uptime_s=[0-9]+ working_on=\"body\" interface=\"users\" "
      "method=\"POST\" path=\"/api/jobs\" body_bytes=60000 leader_term=17");
}

TEST_F(FaultReportDeathTest, AbortInACommandNamesIt) {
  EXPECT_EXIT(
      {
        install_fault_report(work_, {.json = true});
        work_.apply_command("heartbeat");
        std::abort();
      },
      ::testing::KilledBySignal(SIGABRT),
      R"("level":"error","event":"process_faulted","signal":"SIGABRT".*"working_on":"command","command":"heartbeat")");
}

TEST_F(RunRecordTest, SaysHowTheRunBeforeEnded) {
  EXPECT_EQ(RunRecord(path_.string()).previous().end, PreviousRun::End::Unknown);
  EXPECT_EQ(after("").end, PreviousRun::End::Killed);
  EXPECT_EQ(after("stopped signal=\"SIGTERM\"\n").end, PreviousRun::End::Stopped);
  const PreviousRun faulted = after("faulted signal=\"SIGSEGV\" leader_term=3\n");
  EXPECT_EQ(faulted.end, PreviousRun::End::Faulted);
  EXPECT_EQ(faulted.detail, "faulted signal=\"SIGSEGV\" leader_term=3");
}

TEST_F(RunRecordTest, FollowsNoLinkAndNeedsNoFile) {
  const auto target = path_.string() + "-target";
  std::ofstream(target) << "kept";
  std::filesystem::create_symlink(target, path_);
  EXPECT_LT(RunRecord(path_.string()).fd(), 0);
  std::ifstream kept(target);
  EXPECT_EQ(std::string(std::istreambuf_iterator<char>(kept), {}), "kept");
  std::filesystem::remove(target);
  EXPECT_EQ(RunRecord("/nowhere/at/all").previous().end, PreviousRun::End::Unknown);
}

TEST(RejectedBodies, AllAreCountedAndAFewLogged) {
  RejectedBodies bodies;
  const std::string body(60000, '\x5f');
  const RejectedBody rejected{
      BodyInterface::Users, RejectionReason::Undecodable, "10.0.0.9:4711", "POST", "/api/jobs", body};
  int lines = 0;
  std::string first;
  for (int i = 0; i < 1000; ++i)
    if (const auto line = bodies.add(rejected, i * 0.001)) {
      if (lines++ == 0) first = loftrouter::core::log_text(*line);
    }
  EXPECT_EQ(first, "body_rejected interface=users reason=undecodable peer=10.0.0.9:4711 method=POST path=/api/jobs "
                   "bytes=60000 first_bytes=5f5f5f5f5f5f5f5f5f5f5f5f5f5f5f5f not_logged=0");
  EXPECT_LE(lines, 6);
  ASSERT_EQ(bodies.counts().size(), 1U);
  EXPECT_EQ(bodies.counts()[0].interface, "users");
  EXPECT_EQ(bodies.counts()[0].reason, "undecodable");
  EXPECT_EQ(bodies.counts()[0].count, 1000U);
}
