// The outputs of the core. The caller performs them without blocking the core and returns exactly one reply to each
// StoreOp and CloudOp, by its timeout at the latest (status 0: outcome unknown).
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "loftrouter/core/runtime/commands.hpp"
#include "loftrouter/core/runtime/log.hpp"

namespace loftrouter::core {

// Response to an HTTP request.
struct Reply {
  RequestId req;
  int status;
  std::string body;
  std::optional<int> retry_after; // s
  bool json = false;              // body is JSON; otherwise CBOR
};

// ---- requests to the state service ----

struct StoreGet {
  std::string key;
};
// Lists the keys with this prefix, starting at `from`.
struct StoreList {
  static constexpr int kDefaultPage = 200;
  static constexpr int kMaxPage = 1000; // limit of the state service
  std::string prefix;
  std::string from;
  int page = kDefaultPage; // maximum entries per reply
};
// Compare-and-swap: applies all writes if all preconditions hold, otherwise none.
struct StoreCommit {
  std::vector<wire::Precondition> preconditions;
  std::vector<wire::Mutation> writes;
};
struct StoreLeaseGrant {
  double ttl_s;
};
struct StoreLeaseRenew {
  std::uint64_t lease;
};
struct StoreLeaseRevoke {
  std::uint64_t lease;
};
// Long poll for changes under the prefix after revision `from`; the state service answers within `hold_s`.
struct StoreWatch {
  std::string prefix;
  std::uint64_t from;
  double hold_s;
};
using StoreRequest =
    std::variant<StoreGet, StoreList, StoreCommit, StoreLeaseGrant, StoreLeaseRenew, StoreLeaseRevoke, StoreWatch>;
struct StoreOp {
  OpId op;
  double timeout_s;
  StoreRequest request;
};

// ---- requests to the cloud provider ----

struct CloudTypes {}; // reads the catalog of instance types
// Lists machines, starting at `from`.
struct CloudList {
  std::string from;
};
struct CloudScaleOut {
  std::string request; // idempotency key
  std::string type;
  std::string zone;
  bool spot;
  int count;
};
struct CloudScaleIn {
  std::vector<std::string> names;
};
using CloudRequest = std::variant<CloudTypes, CloudList, CloudScaleOut, CloudScaleIn>;
struct CloudOp {
  OpId op;
  double timeout_s;
  CloudRequest request;
};

// ---- messages to workers and controllers ----

// Commands sent directly to a worker instead of in a heartbeat response. They may arrive minutes late, so only stop
// commands are sent this way.
struct WorkerCall {
  std::string address;
  std::uint64_t fencing_token = 0;
  std::uint64_t incarnation = 0;
  std::string machine;
  std::vector<TaskCommand> commands;
};
// Message to another replica of this cell.
struct PeerSend {
  ReplicaIndex replica; // invalid: send on `link`
  std::uint64_t link;
  wire::PeerMessage message;
};
// Message to a node of another cell.
struct CellSend {
  int node; // -1: send on `link`
  std::uint64_t link;
  wire::CellMessage message;
};

// The effects of one batch of commands, each list in order.
struct Effects {
  std::vector<CellSend> cells;
  std::vector<PeerSend> peers;
  std::vector<Reply> replies;
  std::vector<StoreOp> store;
  std::vector<CloudOp> cloud;
  std::vector<WorkerCall> workers;
  std::vector<LogLine> logs;
};

} // namespace loftrouter::core
