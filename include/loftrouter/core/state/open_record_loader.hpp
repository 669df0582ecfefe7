// Brings open records into the job table: when this node is elected, and whenever the watch or an audit shows one.
//
// Invariants: a record is never taken in again after this leader has ended its job; a cancellation in a newer record is
// followed at once; a job that comes in has what earlier leaders have recorded of its progress. If they were broken, a
// task could run after its cancellation or twice (rules `ran_cancelled`, `ran_twice`). Not thread-safe: used by the
// core's thread alone.
#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "loftrouter/core/state/progress_loader.hpp"
#include "loftrouter/core/state/progress_shards.hpp"
#include "loftrouter/core/state/state_context.hpp"

namespace loftrouter::core {

class OpenRecordLoader {
public:
  OpenRecordLoader(const StateContext &context, const ProgressLoader &progress, ProgressShards &shards);

  // Takes in the value of the open record `key`, as of `mod_revision`. One that cannot be read is logged and left
  // alone; one that says how its job ended is this leader's own doing.
  void load(const std::string &key, const wire::Json &value, std::uint64_t mod_revision);

  // Compares a record that an audit has read with the job table, and takes in what was missed. Returns in words what
  // that was; empty: nothing.
  [[nodiscard]] std::string_view audit(const wire::KeyValue &record);

  // Jobs of the job table whose open records an audit has not found. `listed`: the keys that it has read, those after
  // `from` up to `to` (empty: to the end) as of `revision`.
  [[nodiscard]] std::vector<JobIndex> absent_jobs(const std::string &from, const std::string &to,
                                                  const std::set<std::string> &listed, std::uint64_t revision) const;

private:
  void accept(OpenRecord record, std::uint64_t mod_revision);
  void restore(JobIndex job_index, const ProgressRecord &progress);

  Runtime &runtime_;
  Events &events_;
  JobTable &jobs_;
  const EndedJobs &ended_jobs_;
  FailureAttribution &failure_attribution_;
  UsageLedger &ledger_;
  const ProgressLoader &progress_;
  ProgressShards &shards_;
};

} // namespace loftrouter::core
