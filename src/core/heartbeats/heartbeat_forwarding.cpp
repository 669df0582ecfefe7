#include "loftrouter/core/heartbeats/heartbeat_forwarding.hpp"

namespace loftrouter::core {

namespace {
constexpr double kBrokenFor = 2.0;    // s; long enough for the workers concerned to reach the leader
constexpr double kSmooth = 0.2;       // of the newest rate
constexpr double kBackBelow = 0.6;    // of the limits, before the siblings' workers are asked back
constexpr double kLeaveASecond = 0.2; // of the limit of reports, in workers
} // namespace

std::optional<std::uint64_t> HeartbeatForwarder::take(RequestId req, const std::string &machine, double now) {
  if (now - pruned_at_ > 1) {
    pruned_at_ = now;
    std::erase_if(known_, [&](const auto &k) { return now - k.second > forget_s_; });
  }
  if (passed_.full() || (known_.size() >= most_ && !known_.contains(machine))) return std::nullopt;
  known_[machine] = now;
  return passed_.add(req, now + kPatience, machine);
}

std::optional<RequestId> HeartbeatForwarder::answered(std::uint64_t nonce, bool stays) {
  const auto item = passed_.complete(nonce);
  if (!item) return std::nullopt;
  if (!stays) left(item->context);
  return item->request;
}

std::vector<RequestId> HeartbeatForwarder::give_up(double now) {
  std::vector<RequestId> out;
  for (const auto &item : passed_.expire(now)) {
    out.push_back(item.request);
    left(item.context);
  }
  if (!out.empty()) broken_until_ = now + kBrokenFor;
  return out;
}

std::vector<RequestId> HeartbeatForwarder::give_up_all() {
  const double broken = broken_until_;
  auto out = give_up(std::numeric_limits<double>::infinity());
  broken_until_ = broken;
  known_.clear();
  return out;
}

void HeartbeatLoadBalancer::begin(bool wanted) {
  *this = HeartbeatLoadBalancer(limits_);
  wanted_ = wanted;
}

void HeartbeatLoadBalancer::tick(double now, double dt_s, std::size_t workers) {
  rate_ += kSmooth * (static_cast<double>(direct_) / dt_s - rate_);
  all_ += kSmooth * (static_cast<double>(direct_ + passed_) / dt_s - all_);
  direct_ = passed_ = 0;
  over_ = rate_ > limits_.reports || workers > limits_.sockets;
  if (over_)
    wanted_ = true;
  else if (now < called_until_)
    wanted_ = true;
  else if (all_ < kBackBelow * limits_.reports &&
           static_cast<double>(workers) < kBackBelow * static_cast<double>(limits_.sockets))
    wanted_ = false;
  pace_.set_rate(now, std::max(1.0, kLeaveASecond * limits_.reports));
}

} // namespace loftrouter::core
