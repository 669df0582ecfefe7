#include "loftrouter/core/relay.hpp"

namespace loft::core {

namespace {
constexpr double kBrokenFor = 2.0;    // s; long enough for the workers concerned to reach the leader
constexpr double kSmooth = 0.2;       // of the newest rate
constexpr double kBackBelow = 0.6;    // of the limits, before the siblings' workers are asked back
constexpr double kLeaveASecond = 0.2; // of the limit of reports, in workers
} // namespace

std::optional<std::uint64_t> ReportRelay::take(RequestId req, const std::string &machine, double now) {
  if (now - pruned_at_ > 1) {
    pruned_at_ = now;
    std::erase_if(known_, [&](const auto &k) { return now - k.second > forget_s_; });
  }
  if (waiting_.size() >= kMostWaiting || (known_.size() >= most_ && !known_.contains(machine))) return std::nullopt;
  known_[machine] = now;
  waiting_[++nonce_] = {req, now};
  order_.push_back(nonce_);
  return nonce_;
}

std::optional<RequestId> ReportRelay::answered(std::uint64_t nonce) {
  auto it = waiting_.find(nonce);
  if (it == waiting_.end()) return std::nullopt;
  const RequestId req = it->second.req;
  waiting_.erase(it);
  return req;
}

std::vector<RequestId> ReportRelay::give_up(double now) {
  std::vector<RequestId> out;
  while (!order_.empty()) {
    auto it = waiting_.find(order_.front());
    if (it != waiting_.end()) {
      if (now - it->second.since < kPatience) break;
      out.push_back(it->second.req);
      waiting_.erase(it);
      broken_until_ = now + kBrokenFor;
    }
    order_.pop_front();
  }
  return out;
}

std::vector<RequestId> ReportRelay::give_up_all() {
  std::vector<RequestId> out;
  for (const auto &[nonce, w] : waiting_)
    out.push_back(w.req);
  waiting_.clear();
  order_.clear();
  return out;
}

void WorkerSpread::begin(bool wanted) {
  *this = WorkerSpread(limits_);
  wanted_ = wanted;
}

void WorkerSpread::tick(double now, double dt_s, std::size_t workers) {
  rate_ += kSmooth * (static_cast<double>(direct_) / dt_s - rate_);
  all_ += kSmooth * (static_cast<double>(direct_ + passed_) / dt_s - all_);
  direct_ = passed_ = 0;
  over_ = rate_ > limits_.reports || workers > limits_.sockets;
  if (over_)
    wanted_ = true;
  else if (all_ < kBackBelow * limits_.reports &&
           static_cast<double>(workers) < kBackBelow * static_cast<double>(limits_.sockets))
    wanted_ = false;
  pace_.set_rate(now, std::max(1.0, kLeaveASecond * limits_.reports));
}

} // namespace loft::core
