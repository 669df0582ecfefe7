// Moves end records stored in the open record of a job (open/) to their own key (end/).
//
// When many jobs end at once, each end is first written in place of the open record, which takes one write instead of
// two; users wait for that write. The move to end/ happens later, when the state service has spare write capacity. The
// queue is bounded because EndRecordWriter stops writing ends in place while it is full. Not thread-safe: used by the
// core thread only.
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
  // Returns whether no more ends may be written in place. Ends found in place after an election are queued regardless.
  [[nodiscard]] bool full() const { return queue_.size() >= kMaxQueued; }
  // Returns the queued end record of a job, or null. The pointer is valid until the queue changes.
  [[nodiscard]] const wire::Json *find_end(std::string_view id) const;

  // Adds moves to the transaction up to `max_operations` writes, but only if most of the write budget is available, so
  // that they delay no other write.
  void add_to(WriteTransaction &transaction, double write_budget, std::size_t max_operations);
  // Requeues the moves of a transaction that was not applied. `conflicts`: keys with an unexpected revision; their
  // records were already moved by an earlier write whose reply was lost.
  void requeue(const std::vector<PendingCompaction> &compactions, const std::vector<std::string> &conflicts);

  void clear() { queue_.clear(); }

private:
  static constexpr std::size_t kMaxQueued = 1000;

  const Settings &settings_;
  std::deque<PendingCompaction> queue_;
};

} // namespace loftrouter::core
