// The outputs of the core: plain structs. Whoever carries them out never blocks the core, and gives one reply to every
// I/O request, at the latest when its timeout is over (status 0: outcome unknown).
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "loftrouter/core/runtime/commands.hpp"
#include "loftrouter/core/runtime/log.hpp"

namespace loftrouter::core {

// The response to a request over HTTP.
struct Reply {
  RequestId req;
  int status;
  std::string body;
  std::optional<int> retry_after; // s
  bool json = false;              // otherwise CBOR
};

// ---- requests to the state service ----

struct StoreGet {
  std::string key;
};
// The keys with this prefix, from `from` on.
struct StoreList {
  static constexpr int kDefaultPage = 200;
  static constexpr int kMaxPage = 1000; // by the state service's protocol
  std::string prefix;
  std::string from;
  int page = kDefaultPage; // most entries of a reply
};
// All writes are made if all preconditions hold, and none otherwise.
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
// Changes below the prefix after the revision `from`; the state service holds the request for up to `hold_s`.
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

struct CloudTypes {};
struct CloudList {
  std::string from;
};
struct CloudScaleOut {
  std::string request; // its own id: a repeated request rents once
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

// ---- messages ----

// Straight to a worker. Only ever commands to stop, as they may be carried out minutes late.
struct WorkerCall {
  std::string address;
  std::uint64_t fencing_token = 0;
  std::uint64_t incarnation = 0;
  std::string machine;
  std::vector<TaskCommand> commands;
};
struct PeerSend {
  ReplicaIndex replica; // none: on `link`
  std::uint64_t link;
  wire::PeerMessage message;
};
// To a node of another cell.
struct CellSend {
  int node; // -1: on `link`
  std::uint64_t link;
  wire::CellMessage message;
};

// All that a batch of commands led to, each list in order.
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
