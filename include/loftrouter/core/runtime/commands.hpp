// The inputs of the core: plain structs, applied in batches in the order in which they arrived.
#pragma once

#include <cstdint>
#include <string>
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

// A time on two clocks, in seconds. `mono` never goes back and counts for every lease and deadline; `wall` is for
// people and records.
struct Now {
  double mono = 0;
  double wall = 0;
};

using RequestId = std::uint64_t; // of a request that waits for a response
using OpId = std::uint64_t;      // of an I/O request to the state service or the cloud provider

struct TickCommand {}; // several times a second

// ---- requests over HTTP; each gets one response ----

struct SubmitCommand {
  RequestId req;
  JobSpec spec;
};
struct LookupCommand {
  RequestId req;
  std::string id; // of the job
};
struct CancelCommand {
  RequestId req;
  std::string id; // of the job
};
struct HealthCheckCommand {
  RequestId req;
};
struct HeartbeatCommand {
  RequestId req;
  Heartbeat heartbeat;
};
struct AdminCommand {
  RequestId req;
  wire::AdminRequest request;
};

// ---- replies to I/O requests ----

struct StoreReplyCommand {
  OpId op;
  wire::StoreReply reply;
};
struct CloudReplyCommand {
  OpId op;
  wire::CloudReply reply;
};

// ---- messages of other controllers ----

struct PeerMessageCommand {
  ReplicaIndex replica; // whose link was dialled; none: the other side dialled
  std::uint64_t link;   // where an answer goes
  wire::PeerMessage message;
};
struct CellMessageCommand {
  int node;           // of another cell, whose link was dialled; -1: the other side dialled
  std::uint64_t link; // where an answer goes
  wire::CellMessage message;
};

using Command =
    std::variant<CellMessageCommand, TickCommand, SubmitCommand, LookupCommand, CancelCommand, HealthCheckCommand,
                 HeartbeatCommand, StoreReplyCommand, CloudReplyCommand, PeerMessageCommand, AdminCommand>;

} // namespace loftrouter::core
