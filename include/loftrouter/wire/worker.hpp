// Messages between workers and controllers: heartbeats with status, and commands.
//
// All functions are pure. The fencing token in every answer is what a worker judges its sender by; an answer without
// one, or with an old one, is dropped by the worker and doesn't renew its lease.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "loftrouter/model/types.hpp"

namespace loftrouter::wire {

// The body of a heartbeat, CBOR; nothing if it is malformed. Reads straight into the struct, as heartbeats are most
// of what a leader reads.
[[nodiscard]] std::optional<Heartbeat> decode_heartbeat(std::string_view body);

// The answer to a heartbeat.
[[nodiscard]] std::string encode_commands(std::uint64_t fencing_token, const std::vector<TaskCommand> &commands);

// Commands sent to a worker directly, which it executes only in this incarnation: such a request may arrive minutes
// late.
[[nodiscard]] std::string encode_direct_commands(std::uint64_t fencing_token, std::uint64_t incarnation,
                                                 const std::vector<TaskCommand> &commands);

// The answer of a node that doesn't take heartbeats: where they should go. An empty name names no node.
[[nodiscard]] std::string encode_redirect(std::string_view node);

// The worker's side of a heartbeat and its answer, for load tools and tests.
struct WorkerCommands {
  std::uint64_t fencing_token = 0;
  std::vector<TaskCommand> commands; // in the order of execution
};
[[nodiscard]] std::string encode_heartbeat(const Heartbeat &heartbeat);
[[nodiscard]] std::optional<WorkerCommands> decode_commands(std::string_view body);

} // namespace loftrouter::wire
