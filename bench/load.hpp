// A leading core under load: machines that report, tasks that come and go, a state service and a cloud that
// always answer at once. Everything passes through wire bytes, as it does in the daemon. Time is simulated.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "loftrouter/core/core.hpp"

namespace loftrouter::bench {

class Load {
public:
  // Leading, with `machines` that have each reported and been filled with tasks.
  explicit Load(int machines);

  void step();                                   // 0.1 s of simulated time: a tick, and the reports that are due in it
  std::string report_bytes(int m) const;         // of machine m now, nothing having changed since its last
  std::string answer(const std::string &report); // through wire, core and back
  std::string submit();                          // an accept as a user sees it, until its commit has left
  void arrive(std::uint32_t tasks);              // a job that others have submitted
  double lease_s() const;                        // of its workers
  core::Now now() const { return {t_, 1.7e9 + t_}; }
  std::set<std::string> returned; // machines
  std::uint64_t reports = 0, starts = 0;

private:
  struct Run {
    std::string job;
    std::uint32_t index;
    std::uint64_t attempt;
    TaskPhase phase;
    double ends;
  };
  struct Box {
    Heartbeat report;
    std::vector<Run> runs;
    double next = 0;
  };
  static Heartbeat next_report(Box &b);
  core::Effects apply(std::vector<core::Command> batch);
  void settle(); // what the state service and the cloud have answered, until nothing follows from it
  void report(int m);
  void take(Box &b, const std::string &body);
  void carry_out(core::Effects effects);

  double t_ = 0;
  core::Core core_;
  std::vector<Box> boxes_;
  std::uint64_t revision_ = 10;
  int next_job_ = 1;
  std::map<std::string, std::uint64_t> stamps_;
  std::vector<core::Command> answers_; // of the state service and the cloud
  std::deque<wire::WatchEvent> news_;  // open records not yet told to the watch
  core::OpId watch_ = 0;
  double watched_since_ = 0;
  std::map<core::RequestId, std::string> replies_;
  core::RequestId next_req_ = 1;
};

} // namespace loftrouter::bench
