#include "loftrouter/core/api/open_job_cache.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace loftrouter::core {

const OpenJobCache::OpenJob *OpenJobCache::find(const std::string &id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : &it->second;
}

bool OpenJobCache::remember(const std::string &id, OpenJob job) {
  const auto [it, inserted] = jobs_.try_emplace(id);
  OpenJob &cached = it->second;
  const bool newly_cancelled = job.cancelled && !cached.cancelled;
  const std::uint64_t mod_revision = job.mod_revision;
  const double requested_at = job.confirmed_at;
  if (inserted) {
    cached = std::move(job);
    cached.confirmed_at = kNeverConfirmed;
    insertion_order_.push_back(id);
  } else if (mod_revision > cached.mod_revision) {
    // Dependencies known to be done stay out of the list, which never changes otherwise.
    cached.cancelled |= job.cancelled;
    cached.mod_revision = mod_revision;
  }
  if (newly_cancelled && is_followed(cached)) ++version_;
  confirm(id, mod_revision, requested_at);
  evict();
  return newly_cancelled;
}

void OpenJobCache::confirm(const std::string &id, std::uint64_t mod_revision, double requested_at) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end() || it->second.mod_revision != mod_revision) return;
  it->second.confirmed_at = std::max(it->second.confirmed_at, requested_at);
  if (following_ && requested_at >= revision_learned_at_) it->second.followed_in = generation_;
}

void OpenJobCache::erase(const std::string &id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  const auto *end = ended_.find(id);
  const bool done = end && !end->cancelled; // for ever, so jobs that depend on it need not be examined again
  if (is_followed(it->second) && !done) ++version_;
  jobs_.erase(it);
}

void OpenJobCache::evict() {
  if (insertion_order_.size() <= kMaxJobs) return;
  erase(insertion_order_.front());
  insertion_order_.pop_front();
}

// Visits each job once, depth first, without recursion: chains may be long. Skips what is known to have been confirmed
// since then with all that it depends on.
OpenJobCache::Examination OpenJobCache::examine(const std::vector<std::string> &ids,
                                                const ExaminationOptions &options) {
  ++examinations_;
  Walk walk{options, {}, {}};
  auto &path = walk.path;
  for (const auto &id : ids) {
    if (enter(id, walk) == Visit::Stopped) return std::move(walk.result);
    while (!path.empty()) {
      OpenJob &job = *path.back().job;
      std::size_t &next = path.back().next;
      if (next == job.dependencies.size()) {
        leave(path);
        continue;
      }
      const std::size_t position = next++;
      ++walk.result.dependencies_followed;
      const Visit visit = enter(job.dependencies[position], walk);
      if (visit == Visit::Stopped) return std::move(walk.result);
      if (visit == Visit::Done) {
        job.dependencies.erase(job.dependencies.begin() + static_cast<std::ptrdiff_t>(position));
        --next;
      }
    }
  }
  return std::move(walk.result);
}

// Visits a job. One that is found to be cancelled cancels all jobs on the path to it, which is kept so that the next
// examination ends there.
OpenJobCache::Visit OpenJobCache::enter(const std::string &id, Walk &walk) {
  const auto it = jobs_.find(id);
  const auto *end = ended_.find(id);
  if ((end && end->cancelled) || (it != jobs_.end() && it->second.is_cancelled())) {
    walk.result.cancelled = true;
    for (const PathElement &element : walk.path)
      element.job->dependency_cancelled = true;
    return Visit::Stopped;
  }
  if (end) return Visit::Done;
  if (it == jobs_.end()) {
    walk.result.unknown.push_back(id);
    if (!walk.path.empty()) {
      walk.path.back().oldest = kNeverConfirmed;
      walk.path.back().all_followed = false;
    }
  } else {
    add_to_path(id, it->second, walk);
  }
  walk.result.too_many = walk.result.unknown.size() + walk.result.unconfirmed.size() >= walk.options.max_listed;
  return walk.result.too_many ? Visit::Stopped : Visit::Open;
}

// Adds the job to the path, unless what it depends on need not be examined.
void OpenJobCache::add_to_path(const std::string &id, OpenJob &job, Walk &walk) const {
  const ExaminationOptions &options = walk.options;
  if (std::exchange(job.visited_by, examinations_) == examinations_ || all_confirmed_at(job) >= options.since)
    return combine(job, walk.path);
  if (options.by_following && all_followed(job)) {
    walk.result.follow_needed = true;
    return combine(job, walk.path);
  }
  if (confirmed_at(job) < options.since) {
    if (options.by_following && is_followed(job))
      walk.result.follow_needed = true;
    else
      walk.result.unconfirmed.push_back(id);
  }
  walk.path.push_back({&job, 0, confirmed_at(job), is_followed(job)});
}

// Adds what is known of a dependency to the last job of the path.
void OpenJobCache::combine(const OpenJob &dependency, std::vector<PathElement> &path) const {
  if (path.empty()) return;
  path.back().oldest = std::min(path.back().oldest, all_confirmed_at(dependency));
  path.back().all_followed &= all_followed(dependency);
}

// Ends the visit of the last job of the path, all of whose dependencies have been examined.
void OpenJobCache::leave(std::vector<PathElement> &path) const {
  const PathElement element = path.back();
  path.pop_back();
  OpenJob &job = *element.job;
  job.all_confirmed_at = std::max(job.all_confirmed_at, element.oldest);
  if (element.all_followed) job.all_followed_in = version_;
  combine(job, path);
}

double OpenJobCache::confirmed_at(const OpenJob &job) const {
  return is_followed(job) ? std::max(job.confirmed_at, followed_at_) : job.confirmed_at;
}

double OpenJobCache::all_confirmed_at(const OpenJob &job) const {
  return all_followed(job) ? std::max(job.all_confirmed_at, followed_at_) : job.all_confirmed_at;
}

bool OpenJobCache::known_cancelled(const std::string &id) {
  constexpr ExaminationOptions everything{.since = std::numeric_limits<double>::infinity(),
                                          .max_listed = std::numeric_limits<std::size_t>::max()};
  return find(id) && examine({id}, everything).cancelled;
}

std::string OpenJobCache::cancelled_dependency(const std::string &id) const {
  const OpenJob *job = find(id);
  if (!job) return {};
  for (const auto &dependency : job->dependencies) {
    const auto *end = ended_.find(dependency);
    const OpenJob *open = find(dependency);
    if ((end && end->cancelled) || (!end && open && open->is_cancelled())) return dependency;
  }
  return {};
}

void OpenJobCache::start_following(std::uint64_t revision, double requested_at) {
  following_ = true;
  followed_revision_ = revision;
  revision_learned_at_ = requested_at;
  followed_at_ = requested_at;
  ++generation_;
  ++version_;
}

void OpenJobCache::stop_following() {
  following_ = false;
  ++version_;
}

void OpenJobCache::followed_to(std::uint64_t revision, double requested_at, double now) {
  followed_revision_ = std::max(followed_revision_, revision);
  followed_at_ = requested_at;
  revision_learned_at_ = now;
}

} // namespace loftrouter::core
