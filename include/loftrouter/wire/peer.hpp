// Messages between the controller nodes of one cell, in frames of their own: little-endian, versioned, and every
// length checked. What doesn't decode closes the connection.
//
// All functions are pure. Nodes of an earlier version don't understand another frame version, so what is added has to
// fit into fields that they repeat or ignore (kKnowsDependencies).
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "loftrouter/model/types.hpp"
#include "loftrouter/wire/frame.hpp"

namespace loftrouter::wire {

// Set in the number of a ping, and in the one of the leader's record, by nodes that support dependencies between jobs.
// Earlier versions use lower numbers and repeat any, so neither frame nor record is another one for them.
constexpr std::uint64_t kKnowsDependencies = std::uint64_t(1) << 63;

// One message of any kind. Fields that are not of its kind are neither sent nor read.
struct PeerMessage {
  enum class Kind : std::uint16_t {
    Ping = 1,         // the sender's state; answered by a pong
    Pong = 2,         // the same of the receiver
    Digest = 3,       // the same of the leader, and how its jobs are getting on; not answered
    Heartbeat = 4,    // a worker's heartbeat, forwarded to the leader
    Commands = 5,     // the leader's answer to it, for that worker
    UserRequest = 6,  // a user's request to a node that the state service doesn't answer
    UserResponse = 7, // the answer, for that user
    CellRequest = 8,  // a frame of another cell that has come to a node which doesn't lead
    CellResponse = 9  // the leader's answer to it, for that cell
  } kind = Kind::Ping;

  // All kinds.
  std::uint64_t nonce = 0; // an answer repeats that of its request
  std::uint64_t term = 0;  // highest term that the sender knows of
  std::uint8_t sender = 0; // index of the sender's name among those of all nodes, sorted

  // Ping, Pong, Digest.
  std::uint32_t uptime_ms = 0;        // capped
  std::uint16_t store_reads = 0;      // of the state service for users, tenths per second
  std::uint16_t store_writes = 0;     // the same
  bool cut_off = false;               // the sender gets no answers from the state service
  bool leads = false;                 // the sender answers heartbeats, with `term`
  bool spreads = false;               // and wants replicas to forward heartbeats
  bool forwards_heartbeats = false;   // the sender has room for workers whose heartbeats it forwards to the leader
  ConnectivityRecord connectivity;    // the sender's
  std::vector<std::string> cancelled; // jobs whose cancellation the sender has confirmed lately

  // Digest.
  struct JobDigest {
    std::string id;
    std::uint32_t done = 0;    // tasks
    std::uint32_t running = 0; // tasks
    bool late = false;         // expected to miss its deadline
    std::string reason;        // why it waits; at most kPeerMaxReason bytes are sent
  };
  std::vector<JobDigest> jobs; // at most kPeerMaxDigestJobs

  // Heartbeat.
  Heartbeat heartbeat;

  // Commands, UserResponse: HTTP status, as the answer to the worker or user has.
  std::uint16_t status = 0;

  // Commands, with status 200.
  std::vector<TaskCommand> commands;

  // UserRequest.
  enum class Verb : std::uint8_t { Submit, Look, Abort } verb = Verb::Look;
  std::string id; // of the job

  // UserRequest: the description of a job to be submitted. UserResponse: the body of the answer. CellRequest,
  // CellResponse: the frame.
  std::string body;

  // UserResponse: seconds until the user may retry; 0: not given.
  std::uint16_t retry_s = 0;
};

// Bounds. A forwarded message may be as large as what a worker or user may send, and a frame of another cell is larger
// by what is around it.
constexpr std::size_t kPeerMaxBody = 4096;                             // bytes, of a ping, pong or digest
constexpr std::size_t kPeerMaxForwardedBody = std::size_t{64} * 1024;  // bytes, of a forwarded message
constexpr std::size_t kPeerMaxCellBody = kPeerMaxForwardedBody + 4096; // bytes, of a frame of another cell
constexpr std::size_t kPeerMaxCancelled = 64;                          // entries
constexpr std::size_t kPeerMaxDigestJobs = 100;                        // entries
constexpr std::size_t kPeerMaxReason = 200;                            // bytes

// What a job takes of a digest's body, bytes.
[[nodiscard]] std::size_t job_digest_size(const PeerMessage::JobDigest &job);

[[nodiscard]] std::string encode_peer(const PeerMessage &message);
// Takes one frame off the front of `buffer`.
[[nodiscard]] FrameRead read_peer(std::string_view &buffer, PeerMessage &out);

} // namespace loftrouter::wire
