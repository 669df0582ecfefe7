// What the core wants done: plain structs. Whoever carries them out never blocks the core, and answers every store
// and cloud operation once, at the latest when its deadline is over (status 0: outcome unknown).
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "loftrouter/core/runtime/commands.hpp"
#include "loftrouter/core/runtime/log.hpp"

namespace loftrouter::core {

struct Reply {
  RequestId req;
  int status;
  std::string body;
  std::optional<int> retry_after; // s
  bool json = false;              // CBOR otherwise
};
struct StoreGet {
  std::string key;
};
struct StoreList {
  static constexpr int kDefaultPage = 200, kMaxPage = 1000; // entries; the latter by the state service's protocol
  std::string prefix, from;
  int page = kDefaultPage; // most entries of an answer
};
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
struct StoreWatch {
  std::string prefix;
  std::uint64_t from;
  double hold_s;
};
struct StoreOp {
  OpId op;
  double deadline_s;
  std::variant<StoreGet, StoreList, StoreCommit, StoreLeaseGrant, StoreLeaseRenew, StoreLeaseRevoke, StoreWatch> what;
};
struct CloudTypes {};
struct CloudList {
  std::string from;
};
struct CloudScaleOut {
  std::string request, type, zone;
  bool spot;
  int count;
};
struct CloudScaleIn {
  std::vector<std::string> names;
};
struct CloudOp {
  OpId op;
  double deadline_s;
  std::variant<CloudTypes, CloudList, CloudScaleOut, CloudScaleIn> what;
};
struct WorkerCall { // straight to a worker: only ever orders to stop, as it may be carried out minutes late
  std::string address;
  std::uint64_t fencing_token = 0, incarnation = 0;
  std::string machine;
  std::vector<TaskCommand> orders;
};
struct PeerSend {
  int replica; // -1: on `link`
  std::uint64_t link;
  wire::PeerMessage message;
};
struct CellSend { // to a node of another cell
  int node;       // -1: on `link`
  std::uint64_t link;
  wire::CellMessage message;
};
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
