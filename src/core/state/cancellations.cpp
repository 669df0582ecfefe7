#include "loftrouter/core/state/cancellations.hpp"

#include <algorithm>

namespace loftrouter::core {

namespace {
// From an order to stop, or the end of a lease, until the task is off its machine; and what two clocks' steps add.
constexpr double kMaxStopDelay = 2.5; // s
// Where `cancel_s` leaves no more beyond a lease, leases alone cannot end tasks in time. Knowledge of this age will do
// then: as long as replicas and the state service answer, cancellations are known sooner than that, and orders to stop
// end the tasks.
constexpr double kMinAcceptedAge = 5.0; // s
} // namespace

Cancellations::Cancellations(Runtime &runtime, const Settings &settings, const Leadership &leadership, JobTable &jobs)
    : runtime_(runtime), settings_(settings), leadership_(leadership), jobs_(jobs),
      confirmed_by_replica_(settings.replicas.size(), kNever) {}

// Whether this replica has a job table that cancellations are marked in: it leads, or is about to.
bool Cancellations::collecting() const {
  return leadership_.role() == Role::Loading || leadership_.role() == Role::Leading;
}

// Marks the job as cancelled, now or when it comes into the job table. False: there is no room to remember it.
bool Cancellations::apply(const std::string &id) {
  if (const JobIndex job_index = jobs_.index(id); job_index.valid()) {
    jobs_.cancel(job_index);
    return true;
  }
  if (unmatched_.size() >= kMaxUnmatched && !unmatched_.contains(id)) return false;
  unmatched_[id] = runtime_.now();
  return true;
}

void Cancellations::record(const std::string &id) {
  recorded_here_.push_back({id, runtime_.now()});
  // The oldest of so many is forgotten without harm: by the time that a message holds the rest, its time is over too.
  if (recorded_here_.size() > kMaxRecorded) recorded_here_.pop_front();
  if (collecting() && !apply(id)) dropped_at_ = runtime_.now();
}

std::vector<std::string> Cancellations::recent() {
  std::erase_if(recorded_here_, [this](const RecordedCancellation &cancellation) {
    return runtime_.now() - cancellation.recorded_at > settings_.cancel_s;
  });
  std::vector<std::string> ids;
  for (auto it = recorded_here_.rbegin(); it != recorded_here_.rend() && ids.size() < wire::kPeerMaxCancelled; ++it)
    ids.push_back(it->id);
  return ids;
}

void Cancellations::confirmed_by_state_service(double asked_at) {
  confirmed_by_state_service_ = std::max(confirmed_by_state_service_, asked_at);
  std::erase_if(unmatched_, [this](const auto &entry) { return entry.second < confirmed_by_state_service_; });
}

void Cancellations::confirmed_by_replica(std::size_t replica, double asked_at, double uptime_s,
                                         const std::vector<std::string> &ids) {
  if (!collecting()) return;
  bool complete = ids.size() < wire::kPeerMaxCancelled; // a full message may have left some out
  for (const auto &id : ids)
    if (!apply(id)) complete = false;
  // It holds what was recorded since both the start of that process and, by its clock, `cancel_s` ago; so it continues
  // what is known up to a moment after the later of the two.
  const double reported_from = std::max(runtime_.now() - uptime_s * (1 - kMaxClockDrift),
                                        runtime_.now() - settings_.cancel_s * (1 - kMaxClockDrift));
  double &confirmed = confirmed_by_replica_[replica];
  const bool continues = std::max(confirmed, confirmed_by_state_service_) >= reported_from;
  if (complete && continues) confirmed = std::max(confirmed, asked_at);
}

double Cancellations::known_until() const {
  double by_replicas = runtime_.now(); // all that this replica itself has recorded
  for (double confirmed : confirmed_by_replica_)
    by_replicas = std::min(by_replicas, std::max(confirmed, confirmed_by_state_service_));
  if (dropped_at_ > confirmed_by_state_service_) return confirmed_by_state_service_;
  return std::max(confirmed_by_state_service_, by_replicas);
}

bool Cancellations::may_renew() const {
  const double accepted_age =
      settings_.cancel_s * (1 - kMaxClockDrift) - settings_.lease_s * (1 + kMaxClockDrift) - kMaxStopDelay;
  return runtime_.now() - known_until() < std::max(accepted_age, kMinAcceptedAge);
}

void Cancellations::on(const LeaderElected &) {
  confirmed_by_state_service_ = kNever;
  dropped_at_ = kNever;
  unmatched_.clear();
  std::fill(confirmed_by_replica_.begin(), confirmed_by_replica_.end(), kNever);
}

void Cancellations::on(const JobAccepted &event) {
  const Job *job = jobs_.find(event.job);
  if (!job) return;
  const auto it = unmatched_.find(job->spec.id);
  if (it == unmatched_.end()) return;
  unmatched_.erase(it);
  jobs_.cancel(event.job);
}

void Cancellations::on(const TermEnded &) {
  unmatched_.clear();
}

} // namespace loftrouter::core
