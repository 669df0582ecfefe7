// Encodes and decodes the messages between workers and controllers: heartbeats and task commands.
//
// All functions are pure. A worker ignores a response whose fencing token is missing or stale; such a response doesn't
// renew the worker's lease.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "loftrouter/model/types.hpp"

namespace loftrouter::wire {

// Decodes a CBOR heartbeat; returns nullopt if it is malformed. Parses without an intermediate tree, as heartbeats are
// most of a leader's incoming traffic.
[[nodiscard]] std::optional<Heartbeat> decode_heartbeat(std::string_view body);

// Encodes the response to a heartbeat.
[[nodiscard]] std::string encode_commands(std::uint64_t fencing_token, const std::vector<TaskCommand> &commands);

// Encodes commands that a controller sends to a worker outside a heartbeat response. The worker executes them only in
// the given incarnation, as the request may arrive minutes late.
[[nodiscard]] std::string encode_direct_commands(std::uint64_t fencing_token, std::uint64_t incarnation,
                                                 const std::vector<TaskCommand> &commands);

// Encodes the response of a node that doesn't accept heartbeats. `node` is the node to send them to, or empty if it is
// unknown.
[[nodiscard]] std::string encode_redirect(std::string_view node);

// Holds the commands received by a worker. This struct and the functions below are the worker's side of the protocol,
// for load generators and tests.
struct WorkerCommands {
  std::uint64_t fencing_token = 0;
  std::vector<TaskCommand> commands; // in execution order
};
[[nodiscard]] std::string encode_heartbeat(const Heartbeat &heartbeat);
[[nodiscard]] std::optional<WorkerCommands> decode_commands(std::string_view body);

} // namespace loftrouter::wire
