// Caches the end records of jobs, up to a fixed number.
//
// End records never change. The oldest are evicted, and read from the state service again when they are needed.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

#include "loftrouter/core/runtime/events.hpp"
#include "loftrouter/model/types.hpp"

namespace loftrouter::core {

class EndedJobs {
public:
  explicit EndedJobs(Events &events) : events_(events) {}
  const EndRecord *find(const std::string &job_id) const; // null: not cached
  // Caches the record and publishes `JobEndLearned`, also if it was cached already.
  void remember(const std::string &job_id, EndRecord end);

private:
  // Jobs end faster with more machines: about one for each of 11,000. 4.6 MB at about 0.4 KB each.
  static constexpr std::size_t kMaxRecords = 12'000;
  Events &events_;
  std::unordered_map<std::string, EndRecord> records_; // by job id
  std::deque<std::string> insertion_order_;            // job ids, oldest first
};

} // namespace loftrouter::core
