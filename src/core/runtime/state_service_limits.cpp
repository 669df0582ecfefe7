#include "loftrouter/core/runtime/state_service_limits.hpp"

#include <algorithm>

namespace loftrouter::core {

namespace {
// Fractions of the state service's limits.
constexpr double kUserReadShare = 0.75;
constexpr double kUserWriteShare = 0.6;
constexpr double kTotalWriteShare = 0.95;

// The announced limits are taken to be in force after this many rejections within the window. Rejections closer
// together than the minimum distance count as one.
constexpr std::size_t kRejectionsToLower = 3;
constexpr double kRejectionWindowS = 15;
constexpr double kMinRejectionDistanceS = 0.5;

constexpr double kUsageSmoothing = 0.5; // weight of the newest measurement

// Bursts, in seconds of the full rate, and their lower bounds in requests.
constexpr double kUserWriteBurstS = 0.25;
constexpr double kLeaderWriteBurstS = 0.5;
constexpr double kUserReadBurstS = 0.7;
constexpr double kMinUserWriteBurst = 1.0;
constexpr double kMinLeaderWriteBurst = 3.0;
constexpr double kMinUserReadBurst = 2.0;

constexpr double kCharsPerKb = 1024;
} // namespace

StateServiceLimits::StateServiceLimits(const Settings &settings)
    : settings_(settings), requests_per_s_(settings.state_rps), writes_per_s_(settings.state_write_rps) {
  share_evenly(0);
}

void StateServiceLimits::share_evenly(double now) {
  const auto replicas = static_cast<double>(settings_.replicas.size() + 1);
  writes_.reset(now, kUserWriteShare * writes_per_s_ / replicas,
                std::max(kMinUserWriteBurst, kUserWriteBurstS * writes_per_s_));
  leader_writes_.reset(now, (1 - kUserWriteShare) * writes_per_s_,
                       std::max(kLeaderWriteBurstS * writes_per_s_, kMinLeaderWriteBurst));
  reads_.reset(now, kUserReadShare * requests_per_s_ / replicas,
               std::max(kMinUserReadBurst, kUserReadBurstS * requests_per_s_ / replicas));
}

bool StateServiceLimits::fits(const wire::Json &value, std::size_t spare) const {
  return static_cast<double>(value.dump().size() + spare) <= settings_.state_value_kb * kCharsPerKb;
}

bool StateServiceLimits::request_rejected(double now) {
  const double announced_requests = std::min(requests_per_s_, settings_.state_next_rps.value_or(requests_per_s_));
  const double announced_writes = std::min(writes_per_s_, settings_.state_next_write_rps.value_or(writes_per_s_));
  const bool lower_announced = announced_requests < requests_per_s_ || announced_writes < writes_per_s_;
  if (!lower_announced) return false;
  std::erase_if(rejected_at_, [now](double rejected_at) { return now - rejected_at > kRejectionWindowS; });
  if (rejected_at_.empty() || now - rejected_at_.back() > kMinRejectionDistanceS) rejected_at_.push_back(now);
  if (rejected_at_.size() < kRejectionsToLower) return false;
  requests_per_s_ = announced_requests;
  writes_per_s_ = announced_writes;
  share_evenly(now);
  return true;
}

void StateServiceLimits::measure_usage(double dt_s) {
  usage_.reads_per_s += kUsageSmoothing * ((reads_.total_taken() - reads_measured_) / dt_s - usage_.reads_per_s);
  usage_.writes_per_s += kUsageSmoothing * ((writes_.total_taken() - writes_measured_) / dt_s - usage_.writes_per_s);
  reads_measured_ = reads_.total_taken();
  writes_measured_ = writes_.total_taken();
}

void StateServiceLimits::rebalance(double now, double dt_s, const std::vector<std::optional<Usage>> &others) {
  measure_usage(dt_s);
  const auto replicas = static_cast<double>(others.size() + 1);
  const double user_reads = kUserReadShare * requests_per_s_;
  const double user_writes = kUserWriteShare * writes_per_s_;
  Usage used_by_others;
  for (const auto &usage : others) {
    used_by_others.reads_per_s += usage ? usage->reads_per_s : user_reads / replicas;
    used_by_others.writes_per_s += usage ? usage->writes_per_s : user_writes / replicas;
  }
  reads_.set_rate(now, std::max(user_reads / replicas, user_reads - used_by_others.reads_per_s));
  writes_.set_rate(now, std::max(user_writes / replicas, user_writes - used_by_others.writes_per_s));
  leader_writes_.set_rate(
      now, std::max((1 - kUserWriteShare) * writes_per_s_,
                    kTotalWriteShare * writes_per_s_ - usage_.writes_per_s - used_by_others.writes_per_s));
}

} // namespace loftrouter::core
