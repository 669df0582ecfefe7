// A bounded cache of the final records of ended jobs.
//
// Final records never change. One that was evicted is read from the state service again when it is needed.
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
  const EndRecord *find(const std::string &id) const; // null: not cached
  // Caches the record and publishes `JobEndLearned`, also if it was cached already.
  void remember(const std::string &id, EndRecord end);

private:
  static constexpr std::size_t kMaxCached = 12'000; // about 0.4 KB each
  Events &events_;
  std::unordered_map<std::string, EndRecord> ends_;
  std::deque<std::string> insertion_order_; // job ids, oldest first
};

} // namespace loftrouter::core
