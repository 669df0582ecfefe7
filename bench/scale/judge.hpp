// Judges a scale run by the protocol's rules, from what workers and users have told, in the order in which it happened.
//
// Events may come up to kSettle seconds late and out of order; they are held back for that long and sorted by their
// times (all processes share one clock).
#pragma once

#include <cstdint>
#include <map>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "workload.hpp"

namespace loftrouter::scale {

struct JudgeEvent {
  enum class Kind : std::uint8_t { TaskOn, TaskOff, Submitted, Accepted, Cancelled, Done };
  Kind kind = Kind::TaskOn;
  double at = 0;
  int worker = 0;
  std::uint32_t job = 0, index = 0;
  std::uint64_t attempt = 0;
  ExitCause cause = ExitCause::None;
};

class Judge {
public:
  struct Waits { // s, from the first attempt to submit until a task is on its machine
    std::string job_class;
    std::vector<double> all;
  };

  Judge(const Scenario &scenario, const Workload &workload);
  void add(JudgeEvent event);
  void advance(double now);                                     // judges what has settled
  void found(const std::string &rule, const std::string &text); // by a stand-in itself
  void measure_from(double at) { measure_from_ = at; }

  const std::map<std::string, std::uint64_t> &broken() const { return broken_; }
  const std::vector<std::string> &texts() const { return texts_; } // of the first few
  const std::vector<Waits> &waits() const { return waits_; }       // by class, of jobs submitted since measuring began
  std::uint64_t late_events() const { return late_events_; } // came after later ones were judged: nothing is proved
  std::size_t running() const { return on_.size(); }
  std::uint64_t starts() const { return starts_; } // since measuring began
  std::uint64_t starts_after_cancellation() const { return late_starts_; }
  std::uint64_t jobs_done() const { return done_; }
  double max_over_limit() const { return max_over_limit_; } // CPUs, of any team over all regions

private:
  static constexpr double kSettle = 4.0; // s
  struct Later {
    bool operator()(const JudgeEvent &a, const JudgeEvent &b) const { return a.at > b.at; }
  };
  struct OnMachine {
    int worker;
    std::uint64_t attempt;
  };
  struct Job {
    JobPlan plan;
    double submitted = -1, cancelled = -1;
    std::vector<bool> started, completed;
    std::uint32_t completed_count = 0;
    std::map<std::string, int> zones; // tasks on machines there
    int on_machines = 0;
    bool told_late = false;
  };
  static std::uint64_t key(const JudgeEvent &e) { return (static_cast<std::uint64_t>(e.job) << 20) + e.index; }
  Job &job(std::uint32_t number);
  void judge(const JudgeEvent &e);
  void task_on(const JudgeEvent &e);
  void task_off(const JudgeEvent &e);
  void count_team(const Job &job, int tasks);
  void check_cancelled(double now);

  const Scenario &scenario_;
  const Workload &workload_;
  std::priority_queue<JudgeEvent, std::vector<JudgeEvent>, Later> held_;
  std::unordered_map<std::uint32_t, Job> jobs_;
  std::unordered_map<std::uint64_t, OnMachine> on_;
  std::vector<std::vector<double>> team_cpus_; // by team and region
  std::map<double, std::uint32_t> cancelled_;  // jobs whose tasks have to be gone, by when
  std::map<std::string, std::uint64_t> broken_;
  std::vector<std::string> texts_;
  std::vector<Waits> waits_;
  std::uint64_t starts_ = 0, late_starts_ = 0, done_ = 0, late_events_ = 0;
  double judged_up_to_ = -1e18;
  double measure_from_ = 1e18, max_over_limit_ = 0; // the former: not yet
};

} // namespace loftrouter::scale
