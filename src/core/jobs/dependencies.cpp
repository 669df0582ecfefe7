#include "loftrouter/core/jobs/dependencies.hpp"

#include <algorithm>
#include <utility>

namespace loftrouter::core {

namespace {
constexpr double kReadAgain = 1.0; // s, after a look-up that has told nothing
// Of a stage, before the next can begin: estimates are often wrong by half, and a start waits for a report.
constexpr double kEstimateCare = 1.25, kHandOver = 2.0;
} // namespace

// ---- the graph ----

void Dependencies::on(const JobAccepted &e) {
  const int j = e.job;
  if (!jobs_.find(j)) return;
  const Job &job = jobs_[j];
  Node &n = grown(nodes_, j);
  n = {};
  n.known = true;
  n.id = job.spec.id;
  n.ready_wall = job.submit_wall;
  outdated_ = true;
  index_[n.id] = j;
  if (auto it = unknown_.find(n.id); it != unknown_.end()) { // it had been named before it was heard of
    const auto dependants = std::move(it->second.dependants);
    unknown_.erase(it);
    for (int d : dependants)
      link(d, j);
  }
  n.waits = job.spec.waits_for.size();
  for (const auto &name : job.spec.waits_for) {
    if (const auto *end = ended_.find(name))
      settle({j}, name, *end);
    else if (auto it = index_.find(name); it != index_.end())
      link(j, it->second);
    else
      unknown_[name].dependants.push_back(j);
  }
}

void Dependencies::link(int j, int needed) {
  at(j).needs.push_back(needed);
  at(needed).dependants.push_back(j);
  outdated_ = true;
  if (jobs_.find(needed) && jobs_[needed].cancelled) stop(j, at(needed).id);
}

void Dependencies::on(const JobCancelled &e) {
  if (static_cast<std::size_t>(e.job) >= nodes_.size() || !jobs_.find(e.job)) return;
  outdated_ = true; // what it needs is no longer wanted for it
  const auto dependants = at(e.job).dependants;
  for (int d : dependants)
    stop(d, at(e.job).id);
}

// What it waits for can no longer be done. Its own dependants follow when the event of its cancellation is taken.
void Dependencies::stop(int j, const std::string &with) {
  if (at(j).stopped_with.empty()) at(j).stopped_with = with;
  outdated_ = true;
  if (jobs_.find(j)) jobs_.cancel(j); // it may have ended by the same write
}

void Dependencies::done(int j, double end_wall) {
  Node &n = at(j);
  n.ready_wall = std::max(n.ready_wall, end_wall);
  outdated_ = true;
  if (--n.waits == 0 && n.stopped_with.empty() && jobs_.find(j) && !jobs_[j].cancelled) jobs_.readied(j);
}

void Dependencies::settle(const std::vector<int> &dependants, const std::string &id, const EndRecord &end) {
  for (int d : dependants)
    end.cancelled ? stop(d, id) : done(d, end.end_wall);
}

void Dependencies::on(const JobEndLearned &e) {
  const auto *end = ended_.find(e.id);
  if (!end) return; // pushed out by newer ones: read again
  if (auto it = unknown_.find(e.id); it != unknown_.end()) {
    const auto dependants = std::move(it->second.dependants);
    unknown_.erase(it);
    settle(dependants, e.id, *end);
  }
  if (auto it = index_.find(e.id); it != index_.end()) {
    const auto dependants = std::exchange(at(it->second).dependants, {});
    for (int d : dependants)
      std::erase(at(d).needs, it->second);
    settle(dependants, e.id, *end);
  }
}

void Dependencies::on(const JobFinalized &e) {
  if (static_cast<std::size_t>(e.job) >= nodes_.size()) return;
  Node &n = at(e.job);
  for (int needed : n.needs)
    std::erase(at(needed).dependants, e.job);
  for (auto it = unknown_.begin(); n.waits > n.needs.size() && it != unknown_.end();) {
    std::erase(it->second.dependants, e.job);
    it = it->second.dependants.empty() ? unknown_.erase(it) : std::next(it);
  }
  for (int d : n.dependants) { // how it ended has not been heard: it is looked up
    std::erase(at(d).needs, e.job);
    unknown_[n.id].dependants.push_back(d);
  }
  index_.erase(n.id);
  n = {};
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
  runtime_.store(StoreGet{"open/" + name}, 1.0, [this, name, told, epoch](const wire::StoreReply &r) {
    if (epoch != leadership_.epoch()) return;
    if (r.status != 404)
      return told(r.status == 200 && r.entries.size() == 1 ? wire::final_from_json(r.entries[0].value) : std::nullopt);
    runtime_.store(StoreGet{"end/" + name}, 1.0, [this, told, epoch](const wire::StoreReply &e) {
      if (epoch != leadership_.epoch()) return;
      told(e.status == 200 && e.entries.size() == 1 ? wire::end_from_json(e.entries[0].value) : std::nullopt);
    });
  });
}

// ---- what follows along the graph ----

double Dependencies::lead_time(int j) const {
  return kEstimateCare * jobs_[j].spec.estimate_s + kHandOver + settings_.heartbeat_interval_s;
}

void Dependencies::recompute() const {
  outdated_ = false;
  order_.clear();
  wanted_.assign(nodes_.size(), {});
  std::vector<std::size_t> left(nodes_.size(), 0);
  jobs_.each([&](int j, const Job &) {
    if (static_cast<std::size_t>(j) >= nodes_.size()) return; // not heard of yet
    left[static_cast<std::size_t>(j)] = at(j).needs.size();
    if (at(j).needs.empty()) order_.push_back(j);
  });
  for (std::size_t k = 0; k < order_.size(); ++k)
    for (int d : at(order_[k]).dependants)
      if (--left[static_cast<std::size_t>(d)] == 0) order_.push_back(d);
  for (std::size_t k = order_.size(); k-- > 0;) {
    const int j = order_[k];
    auto &[urgency, due] = wanted_[static_cast<std::size_t>(j)];
    const JobSpec &spec = jobs_[j].spec;
    urgency = spec.urgency;
    if (spec.deadline_s) due = jobs_[j].submit_wall + *spec.deadline_s;
    for (int d : at(j).dependants) {
      if (!jobs_.find(d) || jobs_[d].cancelled) continue;
      const auto &[of, by] = wanted_[static_cast<std::size_t>(d)];
      urgency = std::max(urgency, of);
      if (!by) continue;
      const double latest = *by - lead_time(d);
      due = due ? std::min(*due, latest) : latest;
    }
  }
}

Urgency Dependencies::urgency(int j) const {
  if (outdated_) recompute();
  return static_cast<std::size_t>(j) < wanted_.size() &&
                 jobs_[j].spec.urgency < wanted_[static_cast<std::size_t>(j)].first
             ? wanted_[static_cast<std::size_t>(j)].first
             : jobs_[j].spec.urgency;
}

std::optional<double> Dependencies::deadline(int j) const {
  if (outdated_) recompute();
  if (static_cast<std::size_t>(j) >= wanted_.size() || !wanted_[static_cast<std::size_t>(j)].second)
    return own_deadline(j);
  return *wanted_[static_cast<std::size_t>(j)].second - ready_wall(j);
}

std::optional<double> Dependencies::own_deadline(int j) const {
  const auto &own = jobs_[j].spec.deadline_s;
  return own ? std::optional(jobs_[j].submit_wall + *own - ready_wall(j)) : std::nullopt;
}

Dependencies::Path Dependencies::along(const std::function<double(int)> &left) const {
  const std::vector<double> none(jobs_.index_limit(), 0);
  Path out{none, none, std::vector<int>(jobs_.index_limit(), -1)};
  for (int j : in_order()) {
    if (!jobs_.find(j)) continue;
    const auto at = static_cast<std::size_t>(j);
    for (int needed : waits_for(j))
      if (const double done = out.done_in[static_cast<std::size_t>(needed)]; done > out.begins_in[at]) {
        out.begins_in[at] = done;
        out.last[at] = needed;
      }
    out.done_in[at] = out.begins_in[at] + left(j);
  }
  return out;
}

const std::vector<int> &Dependencies::in_order() const {
  if (outdated_) recompute();
  return order_;
}

} // namespace loftrouter::core
