// A compare-and-swap transaction of the leader, with the data needed to handle its outcome.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "loftrouter/core/state/shard_index.hpp"
#include "loftrouter/wire/state_service.hpp"
#include "loftrouter/wire/storage_keys.hpp"

namespace loftrouter::core {

// An end record stored in the open record of its job, to be moved to its own key later.
struct PendingCompaction {
  std::string id;                 // job id
  std::uint64_t mod_revision = 0; // of the open record
  wire::Json end;
};

// A transaction is conditional on the revision of the leader key, so that a former leader's writes fail, and on the
// revision of every record written, so that at most one of a transaction without a reply and its successor is applied.
struct WriteTransaction {
  // `term`: revision of the leader key, which serves as fencing token.
  explicit WriteTransaction(std::uint64_t term) : preconditions{{std::string(wire::kLeaderKey), term}} {}

  std::vector<wire::Precondition> preconditions;
  std::vector<wire::Mutation> writes;

  std::vector<std::string> progress_jobs; // ids of jobs with new entries
  std::vector<std::string> ended_jobs;    // ids
  std::vector<PendingCompaction> compactions;
  std::vector<ShardIndex> shards;
  std::vector<ShardIndex> deleted_shards;
  std::string rolled_up_period; // period whose sums move out of the only shard (PeriodRollup); empty: none
  std::size_t approximate_bytes = 0;
};

// Limits the size of a transaction. Once an item didn't fit nothing else does, so that smaller items can't starve a
// larger one.
class TransactionCapacity {
public:
  // `write_budget`: writes that the leader may make now.
  TransactionCapacity(std::size_t max_operations, double write_budget)
      : max_operations_(max_operations), write_budget_(write_budget) {}

  [[nodiscard]] bool full() const { return full_; }

  [[nodiscard]] bool fits(const WriteTransaction &transaction, std::size_t operations) {
    const std::size_t total = transaction.writes.size() + operations;
    full_ |= total > max_operations_ || static_cast<double>(total) > write_budget_ ||
             transaction.approximate_bytes > kMaxBytes;
    return !full_;
  }

private:
  static constexpr std::size_t kMaxBytes = 48'000;
  std::size_t max_operations_;
  double write_budget_;
  bool full_ = false;
};

} // namespace loftrouter::core
