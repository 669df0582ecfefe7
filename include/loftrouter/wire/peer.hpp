// Binary protocol between the controller nodes of one cell: little-endian, versioned frames with checked lengths. The
// caller closes the connection on a frame that doesn't decode.
//
// All functions are pure. Nodes reject frames of a newer version, so an extension must fit into a field that older
// nodes echo or ignore, as kKnowsDependencies does.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "loftrouter/model/types.hpp"
#include "loftrouter/wire/frame.hpp"

namespace loftrouter::wire {

// Capability bit of nodes that support job dependencies, set in the nonce of a ping and in that of the leader's record.
// Older versions use smaller nonces and echo any, so the formats stay compatible.
constexpr std::uint64_t kKnowsDependencies = std::uint64_t(1) << 63;

// A message between two nodes of a cell. Only the fields of its kind are encoded and decoded.
struct PeerMessage {
  enum class Kind : std::uint16_t {
    Ping = 1,         // the sender's state; answered by Pong
    Pong = 2,         // the receiver's state
    Digest = 3,       // the leader's state and its jobs' progress; not answered
    Heartbeat = 4,    // a worker's heartbeat, forwarded to the leader
    Commands = 5,     // the leader's answer to a Heartbeat, for the worker
    UserRequest = 6,  // a user's request, from a node that can't reach the state service
    UserResponse = 7, // the answer to a UserRequest, for the user
    CellRequest = 8,  // another cell's frame that reached a replica
    CellResponse = 9  // the leader's answer to a CellRequest, for the other cell
  } kind = Kind::Ping;

  // All kinds.
  std::uint64_t nonce = 0; // echoed in the answer
  std::uint64_t term = 0;  // highest term known to the sender
  std::uint8_t sender = 0; // index in the sorted list of all node names

  // Ping, Pong, Digest.
  std::uint32_t uptime_ms = 0;        // capped at 4e9
  std::uint16_t store_reads = 0;      // from the state service for users, in tenths per second
  std::uint16_t store_writes = 0;     // to the state service for users, in tenths per second
  bool cut_off = false;               // the sender can't reach the state service
  bool leads = false;                 // the sender answers heartbeats as leader of `term`
  bool spreads = false;               // the leader wants replicas to forward heartbeats
  bool forwards_heartbeats = false;   // the sender can forward heartbeats of more workers
  ConnectivityRecord connectivity;    // as seen by the sender
  std::vector<std::string> cancelled; // jobs whose cancellation the sender recently confirmed

  // Digest.
  struct JobDigest {
    std::string id;
    std::uint32_t done = 0;    // tasks
    std::uint32_t running = 0; // tasks
    bool late = false;         // expected to miss its deadline
    std::string reason;        // why the job is pending; truncated to kPeerMaxReason bytes
  };
  std::vector<JobDigest> jobs; // at most kPeerMaxDigestJobs

  // Heartbeat.
  Heartbeat heartbeat;

  // Commands, UserResponse: HTTP status of the answer to the worker or user.
  std::uint16_t status = 0;

  // Commands, if the status is 200.
  std::vector<TaskCommand> commands;

  // UserRequest. Look returns the state of a job.
  enum class Verb : std::uint8_t { Submit, Look, Abort } verb = Verb::Look;
  std::string id; // job ID

  // UserRequest: the submitted job description. UserResponse: the response body. CellRequest, CellResponse: the frame.
  std::string body;

  // UserResponse: seconds until the user may retry, or 0 if unspecified.
  std::uint16_t retry_s = 0;
};

// A forwarded body may be as large as the request of a worker or user; a cell frame adds its own header.
constexpr std::size_t kPeerMaxBody = 4096;                             // bytes; Ping, Pong, Digest
constexpr std::size_t kPeerMaxForwardedBody = std::size_t{64} * 1024;  // bytes; Heartbeat to UserResponse
constexpr std::size_t kPeerMaxCellBody = kPeerMaxForwardedBody + 4096; // bytes; CellRequest, CellResponse
constexpr std::size_t kPeerMaxCancelled = 64;                          // entries
constexpr std::size_t kPeerMaxDigestJobs = 100;                        // entries
constexpr std::size_t kPeerMaxReason = 200;                            // bytes

// Returns the encoded size of a job in a digest, in bytes.
[[nodiscard]] std::size_t job_digest_size(const PeerMessage::JobDigest &job);

[[nodiscard]] std::string encode_peer(const PeerMessage &message);
// Decodes the first frame of `buffer` and removes it from there.
[[nodiscard]] FrameRead read_peer(std::string_view &buffer, PeerMessage &out);

} // namespace loftrouter::wire
