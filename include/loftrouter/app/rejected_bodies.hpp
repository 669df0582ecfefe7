// Counts the bodies that a controller rejects, by interface and reason, and logs some of them.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "loftrouter/core/runtime/log.hpp"
#include "loftrouter/core/runtime/token_bucket.hpp"
#include "loftrouter/wire/admin_status.hpp"

namespace loftrouter::app {

// From where a body came.
enum class BodyInterface : std::uint8_t { Users, Workers, Operators, Replicas, Cells, StateService, Cloud };

[[nodiscard]] std::string_view interface_name(BodyInterface interface);

enum class RejectionReason : std::uint8_t {
  Undecodable,   // not CBOR, JSON or a frame, or beyond the limits of the decoder
  InvalidFields, // decoded, and a field is missing or invalid
  InvalidRequest // malformed HTTP, or larger than a body may be
};

// One rejected body. The views need to be valid only during the call.
struct RejectedBody {
  BodyInterface interface;
  RejectionReason reason;
  std::string_view peer; // address, or empty if unknown
  std::string_view method;
  std::string_view path;
  std::string_view body;
};

class RejectedBodies {
public:
  // Counts a body. Returns the line to log, or nullopt while more are rejected than are logged.
  [[nodiscard]] std::optional<core::LogLine> add(const RejectedBody &rejected, double now_s);

  // Returns the counters that are not zero.
  [[nodiscard]] std::vector<wire::RejectedBodyCount> counts() const;

private:
  static constexpr std::size_t kInterfaces = 7;
  static constexpr std::size_t kReasons = 3;
  static constexpr double kLinesPerS = 0.5;
  static constexpr double kMaxBurstLines = 5;

  std::array<std::array<std::uint64_t, kReasons>, kInterfaces> counts_{};
  core::TokenBucket lines_{kLinesPerS, kMaxBurstLines};
  std::uint64_t not_logged_ = 0; // since the last line
};

} // namespace loftrouter::app
