#include "loftrouter/core/state/end_record_compaction.hpp"

#include <algorithm>
#include <utility>

#include "loftrouter/wire/storage_keys.hpp"

namespace loftrouter::core {

namespace {
constexpr double kMinWriteBudgetShare = 0.4; // of Settings::state_write_rps
constexpr std::size_t kOperationsPerMove = 2;

bool contains(const std::vector<std::string> &keys, const std::string &key) {
  return std::find(keys.begin(), keys.end(), key) != keys.end();
}
} // namespace

const wire::Json *EndRecordCompaction::find_end(std::string_view id) const {
  for (const auto &compaction : queue_)
    if (compaction.id == id) return &compaction.end;
  return nullptr;
}

void EndRecordCompaction::add_to(WriteTransaction &transaction, double write_budget, std::size_t max_operations) {
  if (write_budget < kMinWriteBudgetShare * settings_.state_write_rps) return;
  const std::size_t limit = std::min(max_operations, static_cast<std::size_t>(write_budget));
  while (!queue_.empty() && transaction.writes.size() + kOperationsPerMove <= limit) {
    PendingCompaction compaction = std::move(queue_.front());
    queue_.pop_front();
    const std::string open_key = wire::open_key(compaction.id);
    const std::string end_key = wire::end_key(compaction.id);
    transaction.preconditions.push_back({open_key, compaction.mod_revision});
    transaction.preconditions.push_back({end_key, 0});
    transaction.writes.push_back({open_key, std::nullopt, 0});
    transaction.writes.push_back({end_key, compaction.end, 0});
    transaction.compactions.push_back(std::move(compaction));
  }
}

void EndRecordCompaction::requeue(const std::vector<PendingCompaction> &compactions,
                                  const std::vector<std::string> &conflicts) {
  for (const auto &compaction : compactions) {
    const bool moved =
        contains(conflicts, wire::open_key(compaction.id)) || contains(conflicts, wire::end_key(compaction.id));
    if (!moved) queue_.push_back(compaction);
  }
}

} // namespace loftrouter::core
