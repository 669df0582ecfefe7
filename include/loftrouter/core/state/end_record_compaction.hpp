// Moves end records that were written in place of the open record (open/) to their own key (end/).
//
// Users wait until the end of their job is stored. When many jobs end at once, the end replaces the open record, which
// takes one write instead of two; the move follows when the state service has spare write capacity. Not thread-safe:
// used by the core thread only.
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
  // Returns whether to write no more ends in place. Those found after an election are queued nevertheless.
  [[nodiscard]] bool full() const { return queue_.size() >= kMaxQueued; }
  // Returns the queued end record of a job, or null; valid until the queue changes.
  [[nodiscard]] const wire::Json *find_end(std::string_view id) const;

  // Adds moves to the transaction, up to `max_operations` writes in all. Adds none while little of the write budget is
  // left, so that other writes are not delayed.
  void add_to(WriteTransaction &transaction, double write_budget, std::size_t max_operations);
  // Requeues the moves of a transaction that was not applied, except records with a key in `conflicts` (unexpected
  // revision): an earlier write without a reply has moved them.
  void requeue(const std::vector<PendingCompaction> &compactions, const std::vector<std::string> &conflicts);

  void clear() { queue_.clear(); }

private:
  static constexpr std::size_t kMaxQueued = 1000;

  const Settings &settings_;
  std::deque<PendingCompaction> queue_;
};

} // namespace loftrouter::core
