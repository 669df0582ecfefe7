#include "loftrouter/core/runtime/state_service_limits.hpp"

#include <algorithm>

namespace loftrouter::core {

namespace {
// Of what the state service allows: for users' reads, users' writes, and all writes.
constexpr double kFallWithin = 15, kFallApart = 0.5; // s
constexpr std::size_t kFallAfter = 3;
constexpr double kUserReads = 0.75, kUserWrites = 0.6, kAllWrites = 0.95;
} // namespace

StateServiceLimits::StateServiceLimits(const Settings &settings)
    : settings_(settings), rps_(settings.state_rps), write_rps_(settings.state_write_rps) {
  share_evenly(0);
}

// Each node its equal part, with bursts to match.
void StateServiceLimits::share_evenly(double now) {
  const double nodes = static_cast<double>(settings_.replicas.size() + 1), w = write_rps_, r = rps_;
  writes_.reset(now, kUserWrites * w / nodes, std::max(1.0, 0.25 * w));
  leader_writes_.reset(now, (1 - kUserWrites) * w, std::max(0.5 * w, 3.0));
  reads_.reset(now, kUserReads * r / nodes, std::max(2.0, 0.7 * r / nodes));
}

bool StateServiceLimits::fits(const wire::Json &value, std::size_t spare) const {
  return static_cast<double>(value.dump().size() + spare) <= settings_.state_value_kb * 1024;
}

bool StateServiceLimits::refused(double now) {
  const double rps = std::min(rps_, settings_.state_next_rps.value_or(rps_));
  const double write_rps = std::min(write_rps_, settings_.state_next_write_rps.value_or(write_rps_));
  if (rps >= rps_ && write_rps >= write_rps_) return false;
  std::erase_if(refused_at_, [now](double at) { return now - at > kFallWithin; });
  if (refused_at_.empty() || now - refused_at_.back() > kFallApart) refused_at_.push_back(now);
  if (refused_at_.size() < kFallAfter) return false;
  rps_ = rps;
  write_rps_ = write_rps;
  share_evenly(now);
  return true;
}

void StateServiceLimits::share(double now, double dt_s, const std::vector<std::optional<Use>> &replicas) {
  const double nodes = static_cast<double>(replicas.size() + 1);
  const double reads = kUserReads * rps_, writes = kUserWrites * write_rps_;
  auto smooth = [dt_s](double &rate, double &before, double taken) {
    rate += 0.5 * ((taken - before) / dt_s - rate);
    before = taken;
  };
  smooth(use_.reads, taken_.reads, reads_.taken());
  smooth(use_.writes, taken_.writes, writes_.taken());
  Use others;
  for (const auto &s : replicas) {
    others.reads += s ? s->reads : reads / nodes;
    others.writes += s ? s->writes : writes / nodes;
  }
  reads_.set_rate(now, std::max(reads / nodes, reads - others.reads));
  writes_.set_rate(now, std::max(writes / nodes, writes - others.writes));
  leader_writes_.set_rate(
      now, std::max((1 - kUserWrites) * write_rps_, kAllWrites * write_rps_ - use_.writes - others.writes));
}

} // namespace loftrouter::core
