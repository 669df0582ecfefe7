// Requests that were forwarded to another controller and await its response.
//
// Owns the pending requests. Matches each response to its request at most once, and never after the request has
// expired: otherwise a worker could receive the response to another worker's heartbeat, and a task could run twice
// (`ran_twice`).
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "loftrouter/core/runtime/commands.hpp"

namespace loftrouter::core {

// A bounded set of pending requests, keyed by a number that this process never reuses. `Context` is data that the
// caller attaches to a request. Times are seconds on the monotonic clock.
template <class Context> class ForwardedRequests {
public:
  struct Pending {
    RequestId request;
    double deadline;
    Context context;
  };

  // `first_number` should be random, so that a response to a previous process of this replica matches no request.
  ForwardedRequests(std::size_t max_pending, std::uint64_t first_number)
      : max_pending_(max_pending), last_number_(first_number) {}

  [[nodiscard]] bool full() const { return pending_.size() >= max_pending_; }

  // Adds a request and returns its number. The caller checks `full()` first.
  std::uint64_t add(RequestId request, double deadline, Context context) {
    const std::uint64_t number = ++last_number_;
    pending_.emplace(number, Pending{request, deadline, std::move(context)});
    by_deadline_.emplace(deadline, number);
    return number;
  }

  // Removes and returns the request with this number; nothing if it was answered, has expired, or is not of this
  // process.
  std::optional<Pending> complete(std::uint64_t number) {
    const auto found = pending_.find(number);
    if (found == pending_.end()) return std::nullopt;
    Pending request = std::move(found->second);
    by_deadline_.erase({request.deadline, number});
    pending_.erase(found);
    return request;
  }

  // Removes and returns the requests whose deadline is not after `now`, earliest first.
  std::vector<Pending> expire(double now) {
    std::vector<Pending> expired;
    while (!by_deadline_.empty() && by_deadline_.begin()->first <= now)
      expired.push_back(*complete(by_deadline_.begin()->second));
    return expired;
  }

private:
  std::size_t max_pending_;
  std::uint64_t last_number_;
  std::unordered_map<std::uint64_t, Pending> pending_;
  std::set<std::pair<double, std::uint64_t>> by_deadline_;
};

} // namespace loftrouter::core
