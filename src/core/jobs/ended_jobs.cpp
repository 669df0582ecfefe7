#include "loftrouter/core/jobs/ended_jobs.hpp"

#include <utility>

namespace loftrouter::core {

const EndRecord *EndedJobs::find(const std::string &job_id) const {
  const auto record = records_.find(job_id);
  return record == records_.end() ? nullptr : &record->second;
}

void EndedJobs::remember(const std::string &job_id, EndRecord end) {
  events_.publish(JobEndLearned{job_id});
  if (!records_.emplace(job_id, std::move(end)).second) return;
  insertion_order_.push_back(job_id);
  if (insertion_order_.size() <= kMaxRecords) return;
  records_.erase(insertion_order_.front());
  insertion_order_.pop_front();
}

} // namespace loftrouter::core
