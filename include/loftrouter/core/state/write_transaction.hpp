// One transaction of the leader: what it writes, and what has to follow once its outcome is known.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "loftrouter/core/state/shard_index.hpp"
#include "loftrouter/wire/state_service.hpp"
#include "loftrouter/wire/storage_keys.hpp"

namespace loftrouter::core {

// An end that was written into the open record of its job, and that is moved to a record of its own when there is time.
struct PendingCompaction {
  std::string id;                 // of the job
  std::uint64_t mod_revision = 0; // of the open record that holds the end
  wire::Json end;
};

// Guarded by the revision of the leader key, so that nothing written by an earlier leader is applied late, and by that
// of every record in it, so that of an unanswered transaction and its successor one fails.
struct WriteTransaction {
  // `term`: the revision of the leader key.
  explicit WriteTransaction(std::uint64_t term) : preconditions{{std::string(wire::kLeaderKey), term}} {}

  std::vector<wire::Precondition> preconditions;
  std::vector<wire::Mutation> writes;

  std::vector<std::string> progress_jobs;     // ids of jobs whose entries were built anew for it
  std::vector<std::string> ended_jobs;        // ids of jobs whose ends it writes
  std::vector<PendingCompaction> compactions; // that it carries out
  std::vector<ShardIndex> shards;             // that it writes
  std::vector<ShardIndex> deleted_shards;
  std::string rolled_up_period; // whose sums it moves out of its only shard; empty: none
  std::size_t approximate_bytes = 0;
};

// How much one transaction may hold. Once something has not fitted nothing more does, so that what comes first in line
// is not overtaken for ever by what is smaller.
class TransactionRoom {
public:
  // `write_budget`: writes that the leader may make now.
  TransactionRoom(std::size_t max_operations, double write_budget)
      : max_operations_(max_operations), write_budget_(write_budget) {}

  [[nodiscard]] bool full() const { return full_; }

  // Whether `transaction` can take as many operations more.
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
