#include "loftrouter/core/state/cancellations.hpp"

#include <algorithm>

namespace loftrouter::core {

namespace {
// From an order to stop, or the end of a lease, until the task is off its machine; and what two clocks' steps add.
constexpr double kLate = 2.5; // s
// Where `cancel_s` leaves no more beyond a lease, leases alone cannot end tasks in time. Words of this age will do
// then: what works tells of cancellations sooner than that, and the orders to stop end them.
constexpr double kMinAge = 5.0; // s
} // namespace

bool Cancellations::mark(const std::string &id) {
  if (const JobIndex job_index = jobs_.index(id); job_index.valid()) {
    jobs_.cancel(job_index);
    return true;
  }
  if (awaited_.size() >= kMaxAwaited && !awaited_.contains(id)) return false;
  awaited_[id] = runtime_.now();
  return true;
}

void Cancellations::note(const std::string &id) {
  noted_.emplace_back(id, runtime_.now());
  // The oldest of so many is forgotten without harm: by the time that a frame holds the rest, its time is over too.
  if (noted_.size() > kMaxNoted) noted_.pop_front();
  if (reads() && !mark(id)) unmarked_at_ = runtime_.now();
}

std::vector<std::string> Cancellations::repeated() {
  std::erase_if(noted_, [this](const auto &c) { return runtime_.now() - c.second > settings_.cancel_s; });
  std::vector<std::string> out;
  for (auto it = noted_.rbegin(); it != noted_.rend() && out.size() < wire::kPeerMaxCancelled; ++it)
    out.push_back(it->first);
  return out;
}

void Cancellations::news(double asked) {
  news_ = std::max(news_, asked);
  std::erase_if(awaited_, [this](const auto &x) { return x.second < news_; });
}

void Cancellations::hear(std::size_t replica, double asked, double uptime_s, const std::vector<std::string> &ids) {
  if (!reads()) return;
  bool whole = ids.size() < wire::kPeerMaxCancelled; // a full frame may have left some out
  for (const auto &id : ids)
    whole &= mark(id);
  // It holds what was noted since both that process and, by its clock, `cancel_s` ago; so it continues what is known up
  // to a moment after the later of the two.
  double &until = words_[replica];
  const double from =
      std::max(runtime_.now() - uptime_s * (1 - kDrift), runtime_.now() - settings_.cancel_s * (1 - kDrift));
  if (whole && std::max(until, news_) >= from) until = std::max(until, asked);
}

double Cancellations::known_until() const {
  double by_words = runtime_.now(); // all that this node itself has noted
  for (double until : words_)
    by_words = std::min(by_words, std::max(until, news_));
  return unmarked_at_ > news_ ? news_ : std::max(news_, by_words);
}

bool Cancellations::may_renew() const {
  const double spare = settings_.cancel_s * (1 - kDrift) - settings_.lease_s * (1 + kDrift) - kLate;
  return runtime_.now() - known_until() < std::max(spare, kMinAge);
}

void Cancellations::on(const LeaderElected &) {
  news_ = unmarked_at_ = -1e9;
  awaited_.clear();
  std::fill(words_.begin(), words_.end(), -1e9);
}

void Cancellations::on(const JobAccepted &event) {
  if (const auto it = jobs_.find(event.job) ? awaited_.find(jobs_[event.job].spec.id) : awaited_.end();
      it != awaited_.end()) {
    awaited_.erase(it);
    jobs_.cancel(event.job);
  }
}

void Cancellations::on(const TermEnded &) {
  awaited_.clear();
}

} // namespace loftrouter::core
