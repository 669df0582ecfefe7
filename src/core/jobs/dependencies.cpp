#include "loftrouter/core/jobs/dependencies.hpp"

#include <algorithm>
#include <utility>

#include "loftrouter/wire/storage_keys.hpp"

namespace loftrouter::core {

namespace {
constexpr double kReadAgain = 1.0; // s, after a look-up that has told nothing
// Of a stage, before the next can begin: estimates are often wrong by half, and a start waits for a report.
constexpr double kEstimateCare = 1.25, kHandOver = 2.0;
} // namespace

// ---- the graph ----

void Dependencies::on(const JobAccepted &event) {
  const JobIndex job_index = event.job;
  if (!jobs_.find(job_index)) return;
  const Job &job = jobs_[job_index];
  Node &node = grown(nodes_, job_index);
  node = {};
  node.known = true;
  node.id = job.spec.id;
  node.ready_wall = job.submit_wall;
  outdated_ = true;
  index_[node.id] = job_index;
  if (auto it = unknown_.find(node.id); it != unknown_.end()) { // it had been named before it was heard of
    const auto dependants = std::move(it->second.dependants);
    unknown_.erase(it);
    for (JobIndex d : dependants)
      link(d, job_index);
  }
  node.waits = job.spec.waits_for.size();
  for (const auto &name : job.spec.waits_for) {
    if (const auto *end = ended_.find(name))
      settle({job_index}, name, *end);
    else if (auto it = index_.find(name); it != index_.end())
      link(job_index, it->second);
    else
      unknown_[name].dependants.push_back(job_index);
  }
}

void Dependencies::link(JobIndex job_index, JobIndex needed) {
  at(job_index).needs.push_back(needed);
  at(needed).dependants.push_back(job_index);
  outdated_ = true;
  if (jobs_.find(needed) && jobs_[needed].cancelled) stop(job_index, at(needed).id);
}

void Dependencies::on(const JobCancelled &event) {
  if (event.job.position() >= nodes_.size() || !jobs_.find(event.job)) return;
  outdated_ = true; // what it needs is no longer wanted for it
  const auto dependants = at(event.job).dependants;
  for (JobIndex d : dependants)
    stop(d, at(event.job).id);
}

// What it waits for can no longer be done. Its own dependants follow when the event of its cancellation is taken.
void Dependencies::stop(JobIndex job_index, const std::string &with) {
  if (at(job_index).stopped_with.empty()) at(job_index).stopped_with = with;
  outdated_ = true;
  if (jobs_.find(job_index)) jobs_.cancel(job_index); // it may have ended by the same write
}

void Dependencies::done(JobIndex job_index, double end_wall) {
  Node &node = at(job_index);
  node.ready_wall = std::max(node.ready_wall, end_wall);
  outdated_ = true;
  if (--node.waits == 0 && node.stopped_with.empty() && jobs_.find(job_index) && !jobs_[job_index].cancelled)
    jobs_.readied(job_index);
}

void Dependencies::settle(const std::vector<JobIndex> &dependants, const std::string &id, const EndRecord &end) {
  for (JobIndex d : dependants)
    end.cancelled ? stop(d, id) : done(d, end.end_wall);
}

void Dependencies::on(const JobEndLearned &event) {
  const auto *end = ended_.find(event.id);
  if (!end) return; // pushed out by newer ones: read again
  if (auto it = unknown_.find(event.id); it != unknown_.end()) {
    const auto dependants = std::move(it->second.dependants);
    unknown_.erase(it);
    settle(dependants, event.id, *end);
  }
  if (auto it = index_.find(event.id); it != index_.end()) {
    const auto dependants = std::exchange(at(it->second).dependants, {});
    for (JobIndex d : dependants)
      std::erase(at(d).needs, it->second);
    settle(dependants, event.id, *end);
  }
}

void Dependencies::on(const JobFinalized &event) {
  if (event.job.position() >= nodes_.size()) return;
  Node &node = at(event.job);
  for (JobIndex needed : node.needs)
    std::erase(at(needed).dependants, event.job);
  for (auto it = unknown_.begin(); node.waits > node.needs.size() && it != unknown_.end();) {
    std::erase(it->second.dependants, event.job);
    it = it->second.dependants.empty() ? unknown_.erase(it) : std::next(it);
  }
  for (JobIndex d : node.dependants) { // how it ended has not been heard: it is looked up
    std::erase(at(d).needs, event.job);
    unknown_[node.id].dependants.push_back(d);
  }
  index_.erase(node.id);
  node = {};
  outdated_ = true;
}

void Dependencies::on(const TermEnded &) {
  nodes_.clear();
  index_.clear();
  unknown_.clear();
  order_.clear();
  wanted_.clear();
  reading_ = 0;
  outdated_ = false;
}

// ---- names that are not open here ----

void Dependencies::tick() {
  if (!leadership_.leading()) return;
  for (auto &[name, u] : unknown_) {
    if (reading_ >= kMaxReads) return;
    if (u.reading || runtime_.now() < u.next_read || !state_limits_.take_read(runtime_.now(), 1.3)) continue;
    u.reading = true;
    ++reading_;
    read(name);
  }
}

// A job is in one of the two records at every moment, and moves from the first to the second: so the second is read
// after the first. One that is open here is told by the watch.
void Dependencies::read(const std::string &name) {
  auto told = [this, name](std::optional<EndRecord> end) {
    --reading_;
    if (auto it = unknown_.find(name); it != unknown_.end()) {
      it->second.reading = false;
      it->second.next_read = runtime_.now() + kReadAgain;
    }
    if (end) ended_.remember(name, std::move(*end));
  };
  const auto epoch = leadership_.epoch();
  runtime_.store(StoreGet{wire::open_key(name)}, 1.0, [this, name, told, epoch](const wire::StoreReply &r) {
    if (epoch != leadership_.epoch()) return;
    if (r.status != 404)
      return told(r.status == 200 && r.entries.size() == 1 ? wire::final_from_json(r.entries[0].value) : std::nullopt);
    runtime_.store(StoreGet{wire::end_key(name)}, 1.0, [this, told, epoch](const wire::StoreReply &reply) {
      if (epoch != leadership_.epoch()) return;
      told(reply.status == 200 && reply.entries.size() == 1 ? wire::end_from_json(reply.entries[0].value)
                                                            : std::nullopt);
    });
  });
}

// ---- what follows along the graph ----

double Dependencies::lead_time(JobIndex job_index) const {
  return kEstimateCare * jobs_[job_index].spec.estimate_s + kHandOver + settings_.heartbeat_interval_s;
}

void Dependencies::recompute() const {
  outdated_ = false;
  order_.clear();
  wanted_.assign(nodes_.size(), {});
  std::vector<std::size_t> left(nodes_.size(), 0);
  jobs_.each([&](JobIndex job_index, const Job &) {
    if (job_index.position() >= nodes_.size()) return; // not heard of yet
    left[job_index.position()] = at(job_index).needs.size();
    if (at(job_index).needs.empty()) order_.push_back(job_index);
  });
  for (std::size_t k = 0; k < order_.size(); ++k)
    for (JobIndex d : at(order_[k]).dependants)
      if (--left[d.position()] == 0) order_.push_back(d);
  for (std::size_t k = order_.size(); k-- > 0;) {
    const JobIndex job_index = order_[k];
    auto &[urgency, due] = wanted_[job_index.position()];
    const JobSpec &spec = jobs_[job_index].spec;
    urgency = spec.urgency;
    if (spec.deadline_s) due = jobs_[job_index].submit_wall + *spec.deadline_s;
    for (JobIndex d : at(job_index).dependants) {
      if (!jobs_.find(d) || jobs_[d].cancelled) continue;
      const auto &[of, by] = wanted_[d.position()];
      urgency = std::max(urgency, of);
      if (!by) continue;
      const double latest = *by - lead_time(d);
      due = due ? std::min(*due, latest) : latest;
    }
  }
}

Urgency Dependencies::urgency(JobIndex job_index) const {
  if (outdated_) recompute();
  return job_index.position() < wanted_.size() && jobs_[job_index].spec.urgency < wanted_[job_index.position()].first
             ? wanted_[job_index.position()].first
             : jobs_[job_index].spec.urgency;
}

std::optional<double> Dependencies::deadline(JobIndex job_index) const {
  if (outdated_) recompute();
  if (job_index.position() >= wanted_.size() || !wanted_[job_index.position()].second) return own_deadline(job_index);
  return *wanted_[job_index.position()].second - ready_wall(job_index);
}

std::optional<double> Dependencies::own_deadline(JobIndex job_index) const {
  const auto &own = jobs_[job_index].spec.deadline_s;
  return own ? std::optional(jobs_[job_index].submit_wall + *own - ready_wall(job_index)) : std::nullopt;
}

Dependencies::Path Dependencies::along(const std::function<double(JobIndex)> &left) const {
  const std::vector<double> none(jobs_.index_limit(), 0);
  Path out{none, none, std::vector<JobIndex>(jobs_.index_limit())};
  for (JobIndex job_index : in_order()) {
    if (!jobs_.find(job_index)) continue;
    const auto at = job_index.position();
    for (JobIndex needed : waits_for(job_index))
      if (const double done = out.done_in[needed.position()]; done > out.begins_in[at]) {
        out.begins_in[at] = done;
        out.last[at] = needed;
      }
    out.done_in[at] = out.begins_in[at] + left(job_index);
  }
  return out;
}

const std::vector<JobIndex> &Dependencies::in_order() const {
  if (outdated_) recompute();
  return order_;
}

} // namespace loftrouter::core
