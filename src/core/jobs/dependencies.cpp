#include "loftrouter/core/jobs/dependencies.hpp"

#include <algorithm>
#include <utility>

#include "loftrouter/core/runtime/growing_table.hpp"
#include "loftrouter/wire/storage_keys.hpp"

namespace loftrouter::core {

namespace {
constexpr double kLookupRetry = 1.0;    // s, after a look-up that has not shown an end
constexpr double kLookupDeadline = 1.0; // s, of each of its reads
constexpr double kLookupReads = 1.3;    // of the state service's budget: the second read is seldom needed
} // namespace

// ---- look-ups in the graph ----

const Dependencies::Node &Dependencies::node(JobIndex job_index) const {
  static const Node kNone;
  return has_node(job_index) ? nodes_[job_index.position()] : kNone;
}

bool Dependencies::ready(JobIndex job_index) const {
  const Node &job = node(job_index);
  return job.known && job.unmet == 0 && job.cancelled_with.empty();
}

std::size_t Dependencies::unresolved_count(JobIndex job_index) const {
  const Node &job = node(job_index);
  return job.unmet - job.open_dependencies.size();
}

// ---- the graph ----

void Dependencies::on(const JobAccepted &event) {
  const JobIndex job_index = event.job;
  if (!jobs_.find(job_index)) return;
  const Job &job = jobs_[job_index];
  Node &added = get_or_create(nodes_, job_index);
  added = {};
  added.known = true;
  added.id = job.spec.id;
  added.ready_wall = job.submit_wall;
  outdated_ = true;
  index_[added.id] = job_index;
  // Jobs that name it may have become known before it.
  if (const auto it = lookups_.find(added.id); it != lookups_.end()) {
    const auto dependents = std::move(it->second.dependents);
    lookups_.erase(it);
    for (JobIndex dependent : dependents)
      add_edge(dependent, job_index);
  }
  added.unmet = job.spec.dependencies.size();
  for (const auto &id : job.spec.dependencies) {
    if (const auto *end = ended_.find(id))
      resolve({job_index}, id, *end);
    else if (const auto it = index_.find(id); it != index_.end())
      add_edge(job_index, it->second);
    else
      lookups_[id].dependents.push_back(job_index);
  }
}

void Dependencies::add_edge(JobIndex dependent, JobIndex dependency) {
  node(dependent).open_dependencies.push_back(dependency);
  node(dependency).dependents.push_back(dependent);
  outdated_ = true;
  if (jobs_.find(dependency) && jobs_[dependency].cancelled) dependency_cancelled(dependent, node(dependency).id);
}

void Dependencies::resolve(const std::vector<JobIndex> &dependents, const std::string &id, const EndRecord &end) {
  for (JobIndex dependent : dependents) {
    if (end.cancelled)
      dependency_cancelled(dependent, id);
    else
      dependency_done(dependent, end.end_wall);
  }
}

void Dependencies::dependency_done(JobIndex job_index, double end_wall) {
  Node &job = node(job_index);
  job.ready_wall = std::max(job.ready_wall, end_wall);
  outdated_ = true;
  --job.unmet;
  if (ready(job_index) && jobs_.find(job_index) && !jobs_[job_index].cancelled) jobs_.mark_ready(job_index);
}

// What it waits for can no longer be done. Its own dependents follow when the event of its cancellation is delivered.
void Dependencies::dependency_cancelled(JobIndex job_index, const std::string &dependency_id) {
  Node &job = node(job_index);
  if (job.cancelled_with.empty()) job.cancelled_with = dependency_id;
  outdated_ = true;
  if (jobs_.find(job_index)) jobs_.cancel(job_index); // it may have ended by the same write
}

void Dependencies::on(const JobCancelled &event) {
  if (!has_node(event.job) || !jobs_.find(event.job)) return;
  outdated_ = true; // what it waits for is no longer wanted for it
  const auto dependents = node(event.job).dependents;
  for (JobIndex dependent : dependents)
    dependency_cancelled(dependent, node(event.job).id);
}

void Dependencies::on(const JobEndLearned &event) {
  const auto *end = ended_.find(event.id);
  if (!end) return; // pushed out by newer ones: read again
  if (const auto it = lookups_.find(event.id); it != lookups_.end()) {
    const auto dependents = std::move(it->second.dependents);
    lookups_.erase(it);
    resolve(dependents, event.id, *end);
  }
  if (const auto it = index_.find(event.id); it != index_.end()) {
    const auto dependents = std::exchange(node(it->second).dependents, {});
    for (JobIndex dependent : dependents)
      std::erase(node(dependent).open_dependencies, it->second);
    resolve(dependents, event.id, *end);
  }
}

void Dependencies::on(const JobFinalized &event) {
  if (!has_node(event.job)) return;
  Node &ended = node(event.job);
  for (JobIndex dependency : ended.open_dependencies)
    std::erase(node(dependency).dependents, event.job);
  const bool has_lookups = ended.unmet > ended.open_dependencies.size();
  for (auto it = lookups_.begin(); has_lookups && it != lookups_.end();) {
    std::erase(it->second.dependents, event.job);
    it = it->second.dependents.empty() ? lookups_.erase(it) : std::next(it);
  }
  for (JobIndex dependent : ended.dependents) { // how it ended is not known: it is looked up
    std::erase(node(dependent).open_dependencies, event.job);
    lookups_[ended.id].dependents.push_back(dependent);
  }
  index_.erase(ended.id);
  ended = {};
  outdated_ = true;
}

void Dependencies::on(const TermEnded &) {
  nodes_.clear();
  index_.clear();
  lookups_.clear();
  topological_order_.clear();
  requirements_.clear();
  lookups_in_flight_ = 0;
  outdated_ = false;
}

// ---- jobs that are not open here ----

void Dependencies::tick() {
  if (!leadership_.leading()) return;
  for (auto &[id, lookup] : lookups_) {
    if (lookups_in_flight_ >= kMaxLookups) return;
    if (lookup.in_flight || runtime_.now() < lookup.next_at) continue;
    if (!state_limits_.take_read(runtime_.now(), kLookupReads)) continue;
    lookup.in_flight = true;
    ++lookups_in_flight_;
    look_up_open(id);
  }
}

// A job is in one of the two records at every moment, and moves from the first to the second: so the second is read
// after the first. Of one that is open the watch tells.
void Dependencies::look_up_open(const std::string &id) {
  const auto epoch = leadership_.epoch();
  runtime_.store(StoreGet{wire::open_key(id)}, kLookupDeadline, [this, id, epoch](const wire::StoreReply &reply) {
    if (epoch != leadership_.epoch()) return;
    if (reply.status == 404) return look_up_ended(id);
    const bool found = reply.status == 200 && reply.entries.size() == 1;
    finish_lookup(id, found ? wire::final_from_json(reply.entries[0].value) : std::nullopt);
  });
}

void Dependencies::look_up_ended(const std::string &id) {
  const auto epoch = leadership_.epoch();
  runtime_.store(StoreGet{wire::end_key(id)}, kLookupDeadline, [this, id, epoch](const wire::StoreReply &reply) {
    if (epoch != leadership_.epoch()) return;
    const bool found = reply.status == 200 && reply.entries.size() == 1;
    finish_lookup(id, found ? wire::end_from_json(reply.entries[0].value) : std::nullopt);
  });
}

void Dependencies::finish_lookup(const std::string &id, std::optional<EndRecord> end) {
  --lookups_in_flight_;
  if (const auto it = lookups_.find(id); it != lookups_.end()) {
    it->second.in_flight = false;
    it->second.next_at = runtime_.now() + kLookupRetry;
  }
  if (end) ended_.remember(id, std::move(*end));
}

} // namespace loftrouter::core
