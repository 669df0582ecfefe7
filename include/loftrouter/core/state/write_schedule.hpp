// Decides when the leader may send its next transaction.
#pragma once

namespace loftrouter::core {

// Delays before the next transaction, s.
inline constexpr double kReadRetryDelay = 0.2;     // after a read, or a write without a reply
inline constexpr double kWriteRejectedDelay = 0.3; // after the state service rejected a transaction

// Owned by StateWriter and shared with its parts. Times are monotonic, in seconds.
struct WriteSchedule {
  bool in_flight = false;               // a transaction, or a read on which the next one depends
  double not_before = 0;                // earliest time of the next transaction
  double single_operation_until = -1e9; // until then transactions hold one record, to find the one that is rejected

  [[nodiscard]] bool may_write(double now) const { return !in_flight && now >= not_before; }
  [[nodiscard]] bool single_operation(double now) const { return now < single_operation_until; }
};

} // namespace loftrouter::core
