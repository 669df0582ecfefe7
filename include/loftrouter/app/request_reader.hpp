// Turns HTTP requests of users, workers and operators into commands of the core.
//
// Pure: paths, methods and bodies are checked here, and what is wrong with a request becomes its response.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "loftrouter/app/rejected_bodies.hpp"
#include "loftrouter/core/runtime/commands.hpp"
#include "loftrouter/net/http.hpp"

namespace loftrouter::app {

inline constexpr std::string_view kCborType = "application/cbor";
inline constexpr std::string_view kJsonType = "application/json";

// The response to a request that is not passed on to the core.
struct RejectedRequest {
  int status; // HTTP
  std::string body;
  std::string_view content_type = kCborType;
  std::optional<RejectionReason> reason; // set if it was for the body
};

// Returns the interface that a path, with or without a query, belongs to.
[[nodiscard]] BodyInterface interface_of(std::string_view target);

[[nodiscard]] std::variant<core::Command, RejectedRequest> read_request(core::RequestId id,
                                                                        const net::HttpMessage &message);

} // namespace loftrouter::app
