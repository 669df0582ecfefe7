// Commands: the inputs of the core, applied in batches in the order of arrival.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "loftrouter/core/runtime/dense_index.hpp"
#include "loftrouter/model/types.hpp"
#include "loftrouter/wire/admin_request.hpp"
#include "loftrouter/wire/cell.hpp"
#include "loftrouter/wire/cloud_api.hpp"
#include "loftrouter/wire/job.hpp"
#include "loftrouter/wire/job_records.hpp"
#include "loftrouter/wire/node_records.hpp"
#include "loftrouter/wire/peer.hpp"
#include "loftrouter/wire/progress_record.hpp"
#include "loftrouter/wire/state_service.hpp"
#include "loftrouter/wire/worker.hpp"

namespace loftrouter::core {

// The time on two clocks, in seconds. Leases and deadlines use `mono`, which never goes backwards; records and output
// use `wall`.
struct Now {
  double mono = 0;
  double wall = 0;
};

using RequestId = std::uint64_t; // identifies an HTTP request until its response
using OpId = std::uint64_t;      // identifies a request to the state service or the cloud provider

// Each command has the name of its kind, for logs.

struct TickCommand { // sent several times a second
  static constexpr std::string_view kName = "tick";
};

// ---- HTTP requests: each gets exactly one response ----

struct SubmitCommand {
  static constexpr std::string_view kName = "submission";
  RequestId req;
  JobSpec spec;
};
struct LookupCommand {
  static constexpr std::string_view kName = "lookup";
  RequestId req;
  std::string id; // job id
};
struct CancelCommand {
  static constexpr std::string_view kName = "cancellation";
  RequestId req;
  std::string id; // job id
};
struct HealthCheckCommand {
  static constexpr std::string_view kName = "health check";
  RequestId req;
};
struct HeartbeatCommand {
  static constexpr std::string_view kName = "heartbeat";
  RequestId req;
  Heartbeat heartbeat;
};
struct AdminCommand {
  static constexpr std::string_view kName = "administration";
  RequestId req;
  wire::AdminRequest request;
};

// ---- replies of the state service and the cloud provider ----

struct StoreReplyCommand {
  static constexpr std::string_view kName = "state service reply";
  OpId op;
  wire::StoreReply reply;
};
struct CloudReplyCommand {
  static constexpr std::string_view kName = "cloud reply";
  OpId op;
  wire::CloudReply reply;
};

// ---- messages from other controllers ----

struct PeerMessageCommand {
  static constexpr std::string_view kName = "replica message";
  ReplicaIndex replica; // set if this replica opened the connection
  std::uint64_t link;   // connection for the response
  wire::PeerMessage message;
};
struct CellMessageCommand {
  static constexpr std::string_view kName = "cell message";
  int node;           // node of another cell; -1 if the other side opened the connection
  std::uint64_t link; // connection for the response
  wire::CellMessage message;
};

using Command =
    std::variant<CellMessageCommand, TickCommand, SubmitCommand, LookupCommand, CancelCommand, HealthCheckCommand,
                 HeartbeatCommand, StoreReplyCommand, CloudReplyCommand, PeerMessageCommand, AdminCommand>;

} // namespace loftrouter::core
