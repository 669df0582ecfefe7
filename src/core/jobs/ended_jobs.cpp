#include "loftrouter/core/jobs/ended_jobs.hpp"

#include <utility>

namespace loftrouter::core {

const EndRecord *EndedJobs::find(const std::string &id) const {
  const auto it = ends_.find(id);
  return it == ends_.end() ? nullptr : &it->second;
}

void EndedJobs::remember(const std::string &id, EndRecord end) {
  events_.publish(JobEndLearned{id});
  if (!ends_.emplace(id, std::move(end)).second) return;
  insertion_order_.push_back(id);
  if (insertion_order_.size() <= kMaxCached) return;
  ends_.erase(insertion_order_.front());
  insertion_order_.pop_front();
}

} // namespace loftrouter::core
