// What the core is asked: plain structs, taken in batches in the order in which they came.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

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

// Seconds. `mono` never goes back and counts for every lease and deadline; `wall` is for people and records.
struct Now {
  double mono = 0, wall = 0;
};
using RequestId = std::uint64_t; // of a connection that waits for an answer
using OpId = std::uint64_t;      // of a question to the state service or the cloud

struct CmdTick {};
struct CmdSubmit {
  RequestId req;
  JobSpec spec;
};
struct CmdLookup {
  RequestId req;
  std::string id;
};
struct CmdCancel {
  RequestId req;
  std::string id;
};
struct CmdHealthCheck {
  RequestId req;
};
struct CmdHeartbeat {
  RequestId req;
  Heartbeat report;
};
struct CmdStoreReply {
  OpId op;
  wire::StoreReply reply;
};
struct CmdCloudReply {
  OpId op;
  wire::CloudReply reply;
};
struct CmdAdmin {
  RequestId req;
  wire::AdminRequest ask;
};
struct CmdPeer {
  int replica;        // the one that was asked, or -1
  std::uint64_t link; // where an answer goes
  wire::PeerMessage message;
};
struct CmdCell {      // from a node of another cell
  int node;           // the one that was dialled, or -1
  std::uint64_t link; // where an answer goes
  wire::CellMessage message;
};
using Command = std::variant<CmdCell, CmdTick, CmdSubmit, CmdLookup, CmdCancel, CmdHealthCheck, CmdHeartbeat,
                             CmdStoreReply, CmdCloudReply, CmdPeer, CmdAdmin>;

} // namespace loftrouter::core
