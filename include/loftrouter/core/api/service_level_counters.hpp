// How well each class, each team and the largest jobs of each class are served, since this node leads: so that nobody
// is left behind unseen.
//
// Owns the counts. A listener: it changes nothing. Names are mapped to dense indices at the door; beyond a bound they
// count together as "others".
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
  void tick(); // a line each minute for whoever has work waiting

  void on(const JobAccepted &event);
  void on(const TaskRunning &event);
  void on(const JobFinalized &event);
  void on(const TermStarted &);
  void on(const TermEnded &);

private:
  static constexpr int kMaxNames = 64;    // classes, and teams
  static constexpr double kLargest = 0.5; // of the most CPUs that a job of its class has asked for
  struct Count {
    std::uint64_t accepted = 0, begun = 0, done = 0, cancelled = 0;
  };
  struct Group { // a class or a team
    Count all, largest;
    double max_cpus = 0; // of one job
  };
  struct Entry { // of an open job
    int job_class = -1, team = -1;
    bool largest = false, begun = false;
  };
  static int place(NameIndex &names, const std::string &name) {
    return names.find(name) >= 0 || names.size() < kMaxNames ? names.find_or_add(name) : names.find_or_add("others");
  }
  template <class Fn> void each_count(const Entry &entry, Fn &&fn);

  Runtime &runtime_;
  const JobTable &jobs_;
  const EndedJobs &ended_;
  const Dependencies &dependencies_;
  NameIndex class_names_, team_names_;
  std::vector<Group> classes_, teams_;
  std::vector<Entry> entries_; // by job
  double next_line_ = 0;
};

} // namespace loftrouter::core
