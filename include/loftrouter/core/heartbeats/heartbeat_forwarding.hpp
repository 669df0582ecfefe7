// Workers' reports that pass through nodes which do not lead. See docs/fleet-scale.md and docs/safety.md, "Reports
// passed on".
//
// The leader alone decides: a node that passes a report on gives the worker the leader's word, or sends it away.
// If this were wrong - an answer given to another report than its own - tasks could run twice.
#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "loftrouter/core/runtime/forwarded_requests.hpp"
#include "loftrouter/core/runtime/util.hpp"

namespace loftrouter::core {

// Of a node that does not lead: the reports under way, and the workers that come here. Owns both.
class HeartbeatForwarder {
public:
  // Each worker has one report under way, and with the other nodes gone all 11,000 may come here. 1.9 MB at 0.16 KB
  // each, for kPatience at the most. Beyond, a worker is sent elsewhere.
  static constexpr std::size_t kMaxWaiting = 12'000;
  static constexpr double kPatience = 1.5; // s; a worker waits 4 s for its answer
  // `workers`: most that may come here; `forget_s`: after so long without a report a worker counts no more.
  HeartbeatForwarder(std::size_t workers, double forget_s, std::uint64_t first_nonce)
      : most_(workers), forget_s_(forget_s), passed_(kMaxWaiting, first_nonce) {}

  bool has_room() const { return known_.size() < most_ && !passed_.full(); }
  // The number to pass the report on under; nothing if there is no room for this worker.
  std::optional<std::uint64_t> take(RequestId req, const std::string &machine, double now);
  // Whose answer has come: once for each number, never after it was given up.
  std::optional<RequestId> answered(std::uint64_t nonce, bool stays = true); // stays: the worker comes here again
  // What has waited too long. A link that loses answers is left alone for a while (`broken`).
  std::vector<RequestId> give_up(double now);
  std::vector<RequestId> give_up_all();
  bool broken(double now) const { return now < broken_until_; }
  void left(const std::string &machine) { known_.erase(machine); } // sent elsewhere
  std::size_t workers() const { return known_.size(); }
  std::size_t most() const { return most_; }

private:
  std::size_t most_;
  double forget_s_;
  ForwardedRequests<std::string> passed_; // with the machine's name
  std::unordered_map<std::string, double> known_;
  double pruned_at_ = -1e9, broken_until_ = -1e9;
};

// Of the leader: whether siblings are to keep workers, and which of its own it sends there. It counts reports that
// came straight here, since they cost many times what passed-on ones cost. A node that does not lead counts too, for
// people to see.
class HeartbeatLoadBalancer {
public:
  struct Limits {
    double reports = 0;      // a second that this node takes itself
    std::size_t sockets = 0; // of workers
  };
  explicit HeartbeatLoadBalancer(Limits limits) : limits_(limits) {}

  void heard(bool direct) { ++(direct ? direct_ : passed_); }
  // Some workers do not reach this node, and may reach a sibling: those are to pass reports on for a while.
  void call_for(double until) { called_until_ = std::max(called_until_, until); }
  // Every `dt_s` seconds; `workers`: that report straight here.
  void tick(double now, double dt_s, std::size_t workers);
  void begin(bool wanted); // a term, with what the last leader did
  bool wanted() const { return wanted_; }
  // Workers are to go: at most a part of them a second, so that siblings and their figures keep up.
  bool may_send_away(double now) { return wanted_ && over_ && pace_.level(now) >= 1; }
  void sent_away(double now) { pace_.take(now); }
  const Limits &limits() const { return limits_; }
  double direct_rate() const { return rate_; } // reports a second
  double passed_rate() const { return all_ - rate_; }

private:
  Limits limits_;
  std::uint64_t direct_ = 0, passed_ = 0;
  double rate_ = 0, all_ = 0; // a second, smoothed
  bool wanted_ = false, over_ = false;
  double called_until_ = -1e9;
  TokenBucket pace_{1, 1};
};

} // namespace loftrouter::core
