// The fleet and the jobs of a scale run as pure functions of scenario, seed and number, so that users, workers and
// judge, each in a process of its own, agree without a word.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "loftrouter/model/settings.hpp"
#include "scenario.hpp"

namespace loftrouter::scale {

struct WorkerPlace {
  int region = 0, zone = 0;
  std::string name, address, zone_name;
  const WorkerType *type = nullptr;
};

struct JobPlan {
  std::uint32_t number = 0;
  int region = 0; // where its user submits it
  int job_class = 0, team = 0;
  double run_s = 0;                     // mean of its tasks
  std::optional<double> cancel_after_s; // from when it was accepted
  JobSpec spec;
};

class Workload {
public:
  // Workers listen on `worker_port`, each on a loopback address of its own.
  Workload(const Scenario &scenario, std::uint64_t seed, int worker_port = 9000);

  double jobs_per_s() const { return jobs_per_s_; } // in all regions together
  std::uint32_t jobs_at_start() const { return jobs_at_start_; }
  JobPlan job(std::uint32_t number) const;
  // How long a task runs once it has its image, s. Tasks of a gang run equally long.
  double task_run_s(const JobPlan &job, std::uint32_t index) const;
  WorkerPlace worker(int index) const;
  std::vector<Team> teams() const;
  double team_limit(int team) const; // CPUs over all regions; 0: none
  static std::optional<std::uint32_t> number_of(const std::string &job_id);

private:
  const Scenario &scenario_;
  const std::uint64_t seed_;
  const int worker_port_;
  std::vector<double> class_weights_; // jobs a second
  double jobs_per_s_ = 0;
  std::uint32_t jobs_at_start_ = 0;
};

} // namespace loftrouter::scale
