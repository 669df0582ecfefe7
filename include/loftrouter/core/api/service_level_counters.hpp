// ServiceLevelCounters counts accepted, started, done and cancelled jobs since this node became leader: by class, by
// team, and for the largest jobs of each class, so that operators can see starvation of one of these groups.
//
// It only listens to events. Names beyond kMaxNames are counted together as "others".
#pragma once

#include <string>
#include <vector>

#include "loftrouter/core/jobs/dependencies.hpp"
#include "loftrouter/core/jobs/ended_jobs.hpp"
#include "loftrouter/core/runtime/events.hpp"
#include "loftrouter/core/runtime/name_index.hpp"
#include "loftrouter/wire/admin_status.hpp"

namespace loftrouter::core {

class ServiceLevelCounters {
public:
  ServiceLevelCounters(Runtime &runtime, const JobTable &jobs, const EndedJobs &ended, const Dependencies &dependencies)
      : runtime_(runtime), jobs_(jobs), ended_(ended), dependencies_(dependencies) {}

  std::vector<wire::AdminStatus::ServiceLevel> rows() const;
  // Logs the groups with waiting jobs once a minute.
  void tick();

  void on(const JobAccepted &event);
  void on(const TaskRunning &event);
  void on(const JobFinalized &event);
  void on(const TermStarted &);
  void on(const TermEnded &);

private:
  static constexpr int kMaxNames = 64;            // limit for classes and for teams
  static constexpr double kLargestJobShare = 0.5; // of the CPUs of the largest job of the class so far
  struct JobCounts {
    std::uint64_t accepted = 0, started = 0, done = 0, cancelled = 0;
  };
  struct Group { // a class or a team
    JobCounts all, largest;
    double max_job_cpus = 0;
  };
  struct OpenJob {
    int job_class = -1, team = -1;
    bool largest = false, started = false;
  };
  static int find_or_add_bounded(NameIndex &names, const std::string &name) {
    return names.find(name) >= 0 || names.size() < kMaxNames ? names.find_or_add(name) : names.find_or_add("others");
  }
  // Calls `update` with the counts of each group of the job.
  template <class Fn> void for_each_count(const OpenJob &open_job, Fn &&update);

  Runtime &runtime_;
  const JobTable &jobs_;
  const EndedJobs &ended_;
  const Dependencies &dependencies_;
  NameIndex class_names_, team_names_;
  std::vector<Group> classes_, teams_;
  std::vector<OpenJob> open_jobs_; // by job index
  double next_log_at_ = 0;
};

} // namespace loftrouter::core
