// How jobs have ended, as far as it is remembered: the newest few thousand.
//
// Owns copies of final records, which never change. One that is forgotten is read from the state service again when
// somebody asks for it, so nothing rests on its being here.
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
  const EndRecord *find(const std::string &id) const; // null: not remembered
  // As the state service has it. Published even if it was known.
  void remember(const std::string &id, EndRecord end);

private:
  // Jobs end faster with more machines: so many are about one of each of 11,000. 4.6 MB at 0.4 KB each.
  static constexpr std::size_t kMax = 12'000;
  Events &events_;
  std::unordered_map<std::string, EndRecord> ends_;
  std::deque<std::string> order_; // ids, oldest first
};

} // namespace loftrouter::core
