// When the leader may send its next transaction.
#pragma once

namespace loftrouter::core {

// How long to wait before the next transaction or read, s.
inline constexpr double kReadRetryDelay = 0.2;    // after an answer that leaves open what a record holds
inline constexpr double kWriteRefusedDelay = 0.3; // after a transaction that was refused as a whole

// Shared by the parts of StateWriter, which owns it. All times are monotonic, in seconds.
struct WriteSchedule {
  bool in_flight = false;               // a transaction, or the read on which the next one depends
  double not_before = 0;                // the next one waits until then
  double single_operation_until = -1e9; // until then one record a transaction, to find the one that is refused

  [[nodiscard]] bool may_write(double now) const { return !in_flight && now >= not_before; }
  [[nodiscard]] bool single_operation(double now) const { return now < single_operation_until; }
};

} // namespace loftrouter::core
