// Hollow workers: workers that keep the protocol with the controllers (reports, leases, sessions, tokens, direct
// orders) and run nothing. Many share a process. What becomes of their tasks is told to the runner, which judges it and
// brings gangs together.
//
// Lines to the runner:   on WORKER JOB INDEX ATTEMPT TIME     the task has its image and is on its machine
//                        off WORKER JOB INDEX ATTEMPT TIME CAUSE   it is gone; CAUSE is an ExitCause as a number
//                        count NAME VALUE ...                 counters so far, once a second
// Lines from the runner: up WORKER | down WORKER | restart WORKER   a machine comes, goes, is restarted
//                        go JOB ATTEMPT | gone JOB ATTEMPT    a gang is complete; it has lost a task
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "channel.hpp"
#include "loftrouter/net/client.hpp"
#include "loftrouter/net/server.hpp"
#include "loftrouter/wire/cbor.hpp"
#include "loftrouter/wire/worker.hpp"
#include "workload.hpp"

namespace loftrouter::scale {

struct ControllerAddress {
  std::string node, api;
};

class HollowWorkers {
public:
  // The controllers are those of the workers' region.
  HollowWorkers(net::Loop &loop, LineChannel &runner, const Scenario &scenario, const Workload &workload,
                std::vector<ControllerAddress> controllers, std::uint64_t seed);
  ~HollowWorkers();
  void on_line(std::string_view line);

private:
  struct Run { // a task on its machine
    std::uint32_t job = 0, index = 0;
    std::uint64_t attempt = 0;
    TaskPhase phase = TaskPhase::Fetching;
    ExitCause cause = ExitCause::None;
    bool saved = false, gang = false, announced = false;
    double until = 0; // the present phase ends
    double cpus = 0, memory_gb = 0;
  };
  struct Worker;
  struct Due {
    double at;
    int worker;
    bool operator>(const Due &other) const { return at > other.at; }
  };
  struct Counters {
    std::uint64_t reports = 0, report_bytes = 0, answers = 0, answer_bytes = 0, redirects = 0, failures = 0;
    std::uint64_t direct_calls = 0, direct_bytes = 0, leases_lost = 0, tasks_lost_by_lease = 0, tasks_started = 0;
  };

  void bring_up(int index);
  void take_down(int index);
  void restart(int index);
  void wake(int index, double at);
  void tick();
  void step(Worker &w, double now);
  void advance_tasks(Worker &w, double now);
  void fetched(Worker &w, Run &run, double now);
  void end_run(Worker &w, Run &run, ExitCause cause, bool saved = false);
  void lose_all(Worker &w);
  void new_incarnation(Worker &w, double now);
  void send_report(Worker &w, double now);
  void on_answer(int index, std::uint64_t generation, int status, std::string &&body);
  void execute(Worker &w, const std::vector<TaskCommand> &orders);
  void start(Worker &w, const TaskCommand &order, double now);
  void kill(Worker &w, Run &run, const TaskCommand &order, double now);
  void on_direct(int index, net::ConnId id, net::HttpMessage &&m);
  const Heartbeat &next_report(Worker &w);
  void gang_event(std::uint32_t job, std::uint64_t attempt, bool complete);
  void tell_counters();
  const JobPlan &plan(std::uint32_t job);

  net::Loop &loop_;
  LineChannel &runner_;
  const Scenario &scenario_;
  const Workload &workload_;
  const std::vector<ControllerAddress> controllers_;
  std::mt19937_64 random_;
  std::unordered_map<int, std::unique_ptr<Worker>> workers_;
  std::unordered_map<std::uint32_t, JobPlan> plans_; // of late; cleared when it has grown large
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  using GangAttempt = std::pair<std::uint32_t, std::uint64_t>;
  std::map<GangAttempt, std::set<int>> gang_workers_; // which workers hold tasks of a gang
  net::Timer tick_, count_;
  Counters counters_;
};

} // namespace loftrouter::scale
