#include "loftrouter/core/state/cancellations.hpp"

#include <algorithm>

namespace loftrouter::core {

namespace {
// Time from a stop command or lease expiry until the task has exited, plus a margin for clock steps.
constexpr double kMaxStopDelay = 2.5; // s
// Used if `cancel_s` is too short for lease expiry to stop tasks in time. Stop commands then end them, and arrive in
// time as long as the replicas and the state service respond.
constexpr double kMinAcceptedAge = 5.0; // s
} // namespace

Cancellations::Cancellations(Runtime &runtime, const Settings &settings, const Leadership &leadership, JobTable &jobs)
    : runtime_(runtime), settings_(settings), leadership_(leadership), jobs_(jobs),
      confirmed_by_replica_(settings.replicas.size(), kNever) {}

bool Cancellations::has_job_table() const {
  return leadership_.role() == Role::Loading || leadership_.role() == Role::Leading;
}

// Marks the job as cancelled, or keeps the id until the job is added to the table. Returns false if there is no space
// for the id.
bool Cancellations::mark_cancelled(const std::string &id) {
  if (const JobIndex job_index = jobs_.index(id); job_index.valid()) {
    jobs_.cancel(job_index);
    return true;
  }
  if (unmatched_.size() >= kMaxUnmatched && !unmatched_.contains(id)) return false;
  unmatched_[id] = runtime_.now();
  return true;
}

void Cancellations::record(const std::string &id) {
  own_cancellations_.push_back({id, runtime_.now()});
  // Dropping the oldest is safe: it expires before `recent` is complete again.
  if (own_cancellations_.size() > kMaxRecorded) own_cancellations_.pop_front();
  if (has_job_table() && !mark_cancelled(id)) dropped_at_ = runtime_.now();
}

std::vector<std::string> Cancellations::recent() {
  std::erase_if(own_cancellations_, [this](const RecordedCancellation &cancellation) {
    return runtime_.now() - cancellation.recorded_at > settings_.cancel_s;
  });
  std::vector<std::string> ids;
  for (auto it = own_cancellations_.rbegin(); it != own_cancellations_.rend() && ids.size() < wire::kPeerMaxCancelled;
       ++it)
    ids.push_back(it->id);
  return ids;
}

void Cancellations::confirm_from_state_service(double requested_at) {
  confirmed_by_state_service_ = std::max(confirmed_by_state_service_, requested_at);
  std::erase_if(unmatched_, [this](const auto &entry) { return entry.second < confirmed_by_state_service_; });
}

void Cancellations::confirm_from_replica(std::size_t replica, double requested_at, double uptime_s,
                                         const std::vector<std::string> &ids) {
  if (!has_job_table()) return;
  bool complete = ids.size() < wire::kPeerMaxCancelled; // a full report may omit some
  for (const auto &id : ids)
    if (!mark_cancelled(id)) complete = false;
  // The report lacks what was recorded before the replica's process started or more than `cancel_s` ago by its clock.
  // If that leaves a gap after the time confirmed so far, it confirms nothing.
  const double covered_from = std::max(runtime_.now() - uptime_s * (1 - kMaxClockDrift),
                                       runtime_.now() - settings_.cancel_s * (1 - kMaxClockDrift));
  double &confirmed = confirmed_by_replica_[replica];
  const bool gapless = std::max(confirmed, confirmed_by_state_service_) >= covered_from;
  if (complete && gapless) confirmed = std::max(confirmed, requested_at);
}

double Cancellations::known_until() const {
  double by_replicas = runtime_.now();
  for (double confirmed : confirmed_by_replica_)
    by_replicas = std::min(by_replicas, std::max(confirmed, confirmed_by_state_service_));
  if (dropped_at_ > confirmed_by_state_service_) return confirmed_by_state_service_;
  return std::max(confirmed_by_state_service_, by_replicas);
}

bool Cancellations::may_renew_leases() const {
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
