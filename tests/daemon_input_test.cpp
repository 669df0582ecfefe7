// What three real controllers on loopback do with input that no client should send, and what they say when they end.
#include <gtest/gtest.h>

#include <csignal>

#include "daemon_fixture.hpp"
#include "fuzz/structures.hpp"

using namespace loftrouter;
using namespace loftrouter::test;

namespace {

class DaemonInput : public ::testing::Test {
protected:
  DaemonInput() : daemons_(outside_) { ::signal(SIGPIPE, SIG_IGN); }

  void wait_until_up() {
    for (int node = 0; node < 3; ++node)
      ASSERT_TRUE(eventually([&] { return call(daemons_.api[node], "GET", "/up").status == 200; })) << node;
  }
  // Sends bytes to the port for other controllers, and waits until that has closed the connection or taken them.
  void send_as_peer(int node, const std::string &bytes) { send_bytes(daemons_.peers[node], bytes); }

  void expect_rejected_by_all(const std::string &body, const std::string &what) {
    for (int node = 0; node < 3; ++node) {
      const int port = daemons_.api[node];
      EXPECT_EQ(call(port, "POST", "/api/jobs", body).status, 400) << what << " at " << node;
      EXPECT_EQ(call(port, "POST", "/v1/report", body).status, 400) << what << " at " << node;
      EXPECT_EQ(call(port, "PUT", "/admin/v1/settings", body).status, 400) << what << " at " << node;
      send_as_peer(node, body);
      EXPECT_TRUE(daemons_.running(node)) << what << " ended " << node;
    }
  }

  StandIns outside_;
  Daemons daemons_;
};

} // namespace

// Guards against the end of one controller after the other by a request that is repeated.
TEST_F(DaemonInput, MalformedBodiesEndNoController) {
  wait_until_up();
  ASSERT_TRUE(eventually([&] { return call(daemons_.api[0], "POST", "/api/jobs", job("j-000001")).status == 201; }));
  for (const char *unit : {"\x5f", "\x7f", "\x9f", "\xbf", "\x81", "\xa1", "\xc6", "\xd8", "\xff", "\x1b", "\xbf\x7f",
                           "\x9f\x5f", "\x7f\x60", "\xa1\x7f", "[", "{\"a\":"})
    expect_rejected_by_all(fuzz::repeated(unit), unit);
  for (unsigned seed = 1; seed <= 20; ++seed)
    expect_rejected_by_all(fuzz::build_structure(fuzz::draw_program(seed)), "seed " + std::to_string(seed));
  for (int node = 0; node < 3; ++node) {
    EXPECT_TRUE(eventually([&] { return call(daemons_.api[node], "GET", "/up").status == 200; })) << node;
    EXPECT_TRUE(eventually([&] { return call(daemons_.api[node], "GET", "/api/jobs/j-000001").status == 200; }))
        << node;
    const auto status = json::parse(call(daemons_.api[node], "GET", "/admin/v1/status").body, nullptr, false);
    ASSERT_TRUE(status.is_object());
    EXPECT_FALSE(status["rejected_bodies"].empty()) << node;
  }
}

TEST_F(DaemonInput, EndOfAProcessIsInItsLogAndInThatOfTheNext) {
  wait_until_up();
  const auto ends_by = [&](int signal) {
    EXPECT_EQ(daemons_.end_by(0, signal), signal);
    daemons_.start(0);
    EXPECT_TRUE(eventually([&] { return call(daemons_.api[0], "GET", "/up").status == 200; }));
    return daemons_.log(0);
  };
  EXPECT_NE(daemons_.log(0).find("process_started previous_run=unknown"), std::string::npos);
  const auto faulted = ends_by(SIGSEGV);
  EXPECT_NE(faulted.find("error process_faulted signal=\"SIGSEGV\""), std::string::npos) << faulted;
  EXPECT_NE(faulted.find("process_started previous_run=faulted"), std::string::npos) << faulted;
  EXPECT_NE(ends_by(SIGTERM).find("process_started previous_run=stopped"), std::string::npos);
  EXPECT_NE(ends_by(SIGKILL).find("process_started previous_run=killed"), std::string::npos);
}
