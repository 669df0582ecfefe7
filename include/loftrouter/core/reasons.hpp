// What happened last to each open job that is worth telling its owner, with the time of day; and what its final record
// says. Owns the former. A listener: it changes nothing.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "loftrouter/core/dependencies.hpp"
#include "loftrouter/core/events.hpp"
#include "loftrouter/core/judge.hpp"
#include "loftrouter/core/wishes.hpp"

namespace loft::core {

std::string stopped_with(std::string_view id); // in words: why a job is cancelled that needs this one

class Reasons {
public:
  Reasons(Port &port, const JobTable &jobs, const Dependencies &dependencies, const FailureJudge &judge,
          const Wishes &wishes)
      : port_(port), jobs_(jobs), dependencies_(dependencies), judge_(judge), wishes_(wishes) {}

  const std::string &of(int j) const; // empty: nothing
  EndRecord end_record(int j) const;

  void on(const JobAccepted &e) { grown(last_, e.job).clear(); }
  void on(const TaskRetried &e);
  void on(const TaskLost &e);
  void on(const TaskPreempted &e);
  void on(const TasksStoppedByBudget &e);

private:
  void set(int j, std::string_view what);

  Port &port_;
  const JobTable &jobs_;
  const Dependencies &dependencies_;
  const FailureJudge &judge_;
  const Wishes &wishes_;
  std::vector<std::string> last_;
};

} // namespace loft::core
