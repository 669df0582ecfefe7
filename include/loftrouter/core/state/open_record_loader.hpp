// Loads open records into the job table, after an election and whenever the watch or an audit returns one.
//
// Invariants: a record is not loaded again after this leader has ended its job; a cancellation in a newer record is
// applied immediately; a new job gets the progress that earlier leaders recorded. Without them a task could run after
// its cancellation or run twice (rules `ran_cancelled`, `ran_twice`). Not thread-safe: used by the core thread only.
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

  // Loads the open record `key` as of `mod_revision`. Unreadable records are logged and left unchanged. Records that
  // already hold the job's end are ignored; this leader wrote them or has loaded them.
  void load(const std::string &key, const wire::Json &value, std::uint64_t mod_revision);

  // Compares a record read by an audit with the job table, and loads it if it is missing there. Returns a description
  // of what was missing, or an empty string.
  [[nodiscard]] std::string_view audit(const wire::KeyValue &record);

  // Returns the jobs in the job table whose open records an audit did not find. `listed`: the keys read, which are
  // those after `from` up to `to` (empty: to the end), as of `revision`.
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
