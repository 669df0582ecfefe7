// Hollow users of all regions in one process: submissions at random times, polls, cancellations, and operators'
// changes of configuration, over a balancer that works at the connection level (it probes the nodes and prefers the
// healthy one with the fewest open requests).
//
// Lines to the runner:   submitted JOB TIME | accepted JOB TIME SECONDS | refused JOB STATUS | cancelled JOB TIME
//                        done JOB TIME | broken RULE JOB TEXT
//                        changed N REGION TIME | in_force N REGION NODE TIME
//                        count NAME VALUE ...
// Lines from the runner: begin                                submissions start now
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "channel.hpp"
#include "hollow_workers.hpp"
#include "loftrouter/net/client.hpp"
#include "workload.hpp"

namespace loftrouter::scale {

class HollowUsers {
public:
  // The controllers of each region.
  HollowUsers(net::Loop &loop, LineChannel &runner, const Scenario &scenario, const Workload &workload,
              std::vector<std::vector<ControllerAddress>> controllers, std::uint64_t seed);
  void on_line(std::string_view line);

private:
  struct Node {
    ControllerAddress address;
    std::unique_ptr<net::HttpClient> client, prober;
    bool healthy = false;
    int open = 0;
    int failures = 0, successes = 0;
  };
  struct Region {
    std::vector<Node> nodes;
    double answered_at = 0; // a poll of any job, last
  };
  struct Job { // that has not been told to be over
    JobPlan plan;
    double first_try = 0, give_up_at = 0, accepted_at = 0, cancel_at = 0;
    double answered_at = 0; // a poll of it, last
    double next = 0;        // the next submission or poll
    bool accepted = false, cancel_asked = false, waiting = false;
  };
  struct Change { // of configuration, not yet seen everywhere
    int number = 0, region = 0, team = 0;
    double value = 0, made_at = 0;
    bool answered = false;
    std::map<std::pair<int, int>, bool> in_force; // by region and node
  };
  using Answer = std::function<void(int status, std::string &&body)>;

  void tick();
  void probe();
  void arrive(double now);
  void step(Job &job, double now);
  void submit(Job &job, double now);
  void poll(Job &job, double now);
  void cancel(Job &job, double now);
  void told(Job &job, const std::string &state, double now);
  void finish(std::uint32_t number);
  void broken(const char *rule, const Job &job, const std::string &text);
  // To a healthy node of the region, or with status 0 to nobody.
  void ask(int region, const char *method, const std::string &target, const std::string &body, double within_s,
           Answer answer);
  void ask_node(Node &node, const char *method, const std::string &target, const std::string &body, double within_s,
                Answer answer);
  void change_configuration(double now);
  void put_change(int number);
  void check_changes();
  void tell_counters();

  net::Loop &loop_;
  LineChannel &runner_;
  const Scenario &scenario_;
  const Workload &workload_;
  std::mt19937_64 random_;
  std::vector<Region> regions_;
  std::map<std::uint32_t, Job> jobs_;
  std::map<int, Change> changes_;
  std::uint32_t next_job_ = 0;
  double next_arrival_ = 0, next_change_ = 0;
  int next_change_number_ = 0;
  bool begun_ = false;
  net::Timer tick_, probe_, count_, check_;
  std::uint64_t requests_ = 0, request_bytes_ = 0, answers_ = 0, answer_bytes_ = 0, refused_ = 0, unanswered_ = 0;
  std::uint64_t config_reads_ = 0;
};

} // namespace loftrouter::scale
