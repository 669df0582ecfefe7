#include "loftrouter/core/jobs/dependencies.hpp"

#include <algorithm>
#include <utility>

#include "loftrouter/core/runtime/growing_table.hpp"
#include "loftrouter/wire/storage_keys.hpp"

namespace loftrouter::core {

namespace {
constexpr double kLookupRetryS = 1.0;    // after a look-up that found no end
constexpr double kLookupDeadlineS = 1.0; // for each read
constexpr double kReadsPerLookup = 1.3;  // on average: the open record, and sometimes the end record
} // namespace

const Dependencies::Node &Dependencies::node(JobIndex job_index) const {
  static const Node kUnknown;
  return has_node(job_index) ? nodes_[job_index.position()] : kUnknown;
}

bool Dependencies::ready(JobIndex job_index) const {
  const Node &graph_node = node(job_index);
  return graph_node.known && graph_node.unmet_count == 0 && graph_node.cancelled_dependency.empty();
}

std::size_t Dependencies::unresolved_count(JobIndex job_index) const {
  const Node &graph_node = node(job_index);
  return graph_node.unmet_count - graph_node.open_dependencies.size();
}

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
  index_by_id_[added.id] = job_index;
  // Dependents that were accepted earlier are waiting for a look-up.
  if (const auto it = lookups_.find(added.id); it != lookups_.end()) {
    const auto dependents = std::move(it->second.dependents);
    lookups_.erase(it);
    for (JobIndex dependent : dependents)
      add_edge(dependent, job_index);
  }
  added.unmet_count = job.spec.dependencies.size();
  for (const auto &id : job.spec.dependencies) {
    if (const auto *end = ended_.find(id))
      resolve({job_index}, id, *end);
    else if (const auto it = index_by_id_.find(id); it != index_by_id_.end())
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

// Applies the end of a dependency to its dependents.
void Dependencies::resolve(const std::vector<JobIndex> &dependents, const std::string &id, const EndRecord &end) {
  for (JobIndex dependent : dependents) {
    if (end.cancelled)
      dependency_cancelled(dependent, id);
    else
      dependency_done(dependent, end.end_wall);
  }
}

void Dependencies::dependency_done(JobIndex job_index, double end_wall) {
  Node &graph_node = node(job_index);
  graph_node.ready_wall = std::max(graph_node.ready_wall, end_wall);
  outdated_ = true;
  --graph_node.unmet_count;
  if (ready(job_index) && jobs_.find(job_index) && !jobs_[job_index].cancelled) jobs_.mark_ready(job_index);
}

// Cancels the job. Its own dependents follow when the JobCancelled event is delivered.
void Dependencies::dependency_cancelled(JobIndex job_index, const std::string &dependency_id) {
  Node &graph_node = node(job_index);
  if (graph_node.cancelled_dependency.empty()) graph_node.cancelled_dependency = dependency_id;
  outdated_ = true;
  if (jobs_.find(job_index)) jobs_.cancel(job_index); // it may have ended, with JobFinalized not delivered yet
}

void Dependencies::on(const JobCancelled &event) {
  if (!has_node(event.job) || !jobs_.find(event.job)) return;
  outdated_ = true; // its dependencies no longer inherit its priority and deadline
  const auto dependents = node(event.job).dependents;
  for (JobIndex dependent : dependents)
    dependency_cancelled(dependent, node(event.job).id);
}

void Dependencies::on(const JobEndLearned &event) {
  const auto *end = ended_.find(event.id);
  if (!end) return; // evicted from the cache; the look-up is repeated
  if (const auto it = lookups_.find(event.id); it != lookups_.end()) {
    const auto dependents = std::move(it->second.dependents);
    lookups_.erase(it);
    resolve(dependents, event.id, *end);
  }
  if (const auto it = index_by_id_.find(event.id); it != index_by_id_.end()) {
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
  const bool has_lookups = ended.unmet_count > ended.open_dependencies.size();
  for (auto it = lookups_.begin(); has_lookups && it != lookups_.end();) {
    std::erase(it->second.dependents, event.job);
    it = it->second.dependents.empty() ? lookups_.erase(it) : std::next(it);
  }
  for (JobIndex dependent : ended.dependents) { // they depend on how the job ended, which has to be looked up
    std::erase(node(dependent).open_dependencies, event.job);
    lookups_[ended.id].dependents.push_back(dependent);
  }
  index_by_id_.erase(ended.id);
  ended = {};
  outdated_ = true;
}

void Dependencies::on(const TermEnded &) {
  nodes_.clear();
  index_by_id_.clear();
  lookups_.clear();
  topological_order_.clear();
  requirements_.clear();
  lookups_in_flight_ = 0;
  outdated_ = false;
}

void Dependencies::tick() {
  if (!leadership_.leading()) return;
  for (auto &[id, lookup] : lookups_) {
    if (lookups_in_flight_ >= kMaxLookups) return;
    if (lookup.in_flight || runtime_.now() < lookup.next_at) continue;
    if (!state_limits_.take_read(runtime_.now(), kReadsPerLookup)) continue;
    lookup.in_flight = true;
    ++lookups_in_flight_;
    look_up_open(id);
  }
}

// Reads the open record, which holds the end of a job until a later transaction moves it to the end record. So the end
// record is read only if the open record is missing. If the job is still open, the watch reports its end.
void Dependencies::look_up_open(const std::string &id) {
  const auto epoch = leadership_.epoch();
  runtime_.store(StoreGet{wire::open_key(id)}, kLookupDeadlineS, [this, id, epoch](const wire::StoreReply &reply) {
    if (epoch != leadership_.epoch()) return;
    if (reply.status == 404) return look_up_ended(id);
    const bool found = reply.status == 200 && reply.entries.size() == 1;
    finish_lookup(id, found ? wire::final_from_json(reply.entries[0].value) : std::nullopt);
  });
}

void Dependencies::look_up_ended(const std::string &id) {
  const auto epoch = leadership_.epoch();
  runtime_.store(StoreGet{wire::end_key(id)}, kLookupDeadlineS, [this, id, epoch](const wire::StoreReply &reply) {
    if (epoch != leadership_.epoch()) return;
    const bool found = reply.status == 200 && reply.entries.size() == 1;
    finish_lookup(id, found ? wire::end_from_json(reply.entries[0].value) : std::nullopt);
  });
}

void Dependencies::finish_lookup(const std::string &id, std::optional<EndRecord> end) {
  --lookups_in_flight_;
  if (const auto it = lookups_.find(id); it != lookups_.end()) {
    it->second.in_flight = false;
    it->second.next_at = runtime_.now() + kLookupRetryS;
  }
  if (end) ended_.remember(id, std::move(*end));
}

} // namespace loftrouter::core
