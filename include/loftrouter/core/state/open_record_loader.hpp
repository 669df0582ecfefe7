// Loads open records into the job table, after an election and whenever the watch or an audit returns one.
//
// Invariants: a job that this leader has ended is not loaded again; a cancellation in a newer record is applied
// immediately; a new job gets the progress recorded by earlier leaders. Otherwise a task could run after its
// cancellation or twice (rules `ran_cancelled`, `ran_twice`, docs/safety.md). Not thread-safe: used by the core thread
// only.
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
  OpenRecordLoader(const StateContext &context, const ProgressLoader &progress_loader, ProgressShards &shards);

  // Loads the open record `key` as of `mod_revision`. Logs unreadable records. Ignores records that hold the end of
  // their job; this leader knows them already.
  void load(const std::string &key, const wire::Json &value, std::uint64_t mod_revision);

  // Loads a record read by an audit if the job table lacks the job or its cancellation. Returns a description of what
  // was missing, or an empty string.
  [[nodiscard]] std::string_view audit(const wire::KeyValue &record);

  // Returns the jobs in the job table whose open records an audit did not find. `listed`: all keys after `from` up to
  // `to` (empty: to the end) as of `revision`.
  [[nodiscard]] std::vector<JobIndex> absent_jobs(const std::string &from, const std::string &to,
                                                  const std::set<std::string> &listed, std::uint64_t revision) const;

private:
  void add_job(OpenRecord record, std::uint64_t mod_revision);
  void restore_progress(JobIndex job_index, const ProgressRecord &progress);

  Runtime &runtime_;
  Events &events_;
  JobTable &jobs_;
  const EndedJobs &ended_jobs_;
  FailureAttribution &failure_attribution_;
  UsageLedger &ledger_;
  const ProgressLoader &progress_loader_;
  ProgressShards &shards_;
};

} // namespace loftrouter::core
