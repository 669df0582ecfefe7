// Moves ends of jobs that were written into their open records to records of their own (open/ to end/).
//
// Where many jobs end at once, one write in place of the open record says so for each, since users wait for that; the
// move is made when nothing else waits for the state service. Owns the queue of moves; bounded, as nothing is ended in
// place while the queue is full. Not thread-safe: used by the core's thread alone.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "loftrouter/core/state/state_context.hpp"
#include "loftrouter/core/state/write_transaction.hpp"

namespace loftrouter::core {

class EndRecordCompaction {
public:
  explicit EndRecordCompaction(const StateContext &context) : settings_(context.settings) {}

  void enqueue(PendingCompaction compaction) { queue_.push_back(std::move(compaction)); }
  [[nodiscard]] bool empty() const { return queue_.empty(); }
  // Nothing more is to be ended in place. (Ends that were found in place after an election come in beyond that.)
  [[nodiscard]] bool full() const { return queue_.size() >= kMaxQueued; }
  // The end of a job that is still in its open record; null if it is in none that waits here.
  [[nodiscard]] const wire::Json *find_end(std::string_view id) const;

  // Adds moves as far as they fit, but only with most of the write budget at hand, so that nothing waits for them.
  void add_to(WriteTransaction &transaction, double write_budget, std::size_t max_operations);
  // After a transaction that was not applied. `conflicts`: keys whose records are not as expected; those have been
  // moved already, by a write that had no answer.
  void requeue(const std::vector<PendingCompaction> &compactions, const std::vector<std::string> &conflicts);

  void clear() { queue_.clear(); }

private:
  static constexpr std::size_t kMaxQueued = 1000;

  const Settings &settings_;
  std::deque<PendingCompaction> queue_;
};

} // namespace loftrouter::core
