// Frames between controllers: packed by hand, little-endian, versioned and length-checked. Whatever
// does not decode closes the link.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "loftrouter/model/types.hpp"

namespace loftrouter::wire {

// Set in the number of a ping, and in the one of the leader's record, by nodes that know of jobs that wait for others.
// Earlier versions use lower numbers and repeat any, so neither frame nor record is another one for it.
constexpr std::uint64_t kKnowsDependencies = std::uint64_t(1) << 63;

struct PeerMessage {
  // Digest: the leader tells how its jobs are getting on; not answered. Report: one that a worker has sent to a node
  // that does not lead; Orders: the leader's answer to it, for that worker. Ask: what a user wants of a node that the
  // state service does not answer; Told: the answer, for that user.
  enum class Kind : std::uint16_t {
    Ping = 1,
    Pong = 2,
    Digest = 3,
    Report = 4,
    Orders = 5,
    Ask = 6,
    Told = 7,
    CellAsk = 8, // a frame of another cell that has come to a node which does not lead
    CellTold = 9 // the leader's answer to it, for that cell
  } kind = Kind::Ping;
  std::uint64_t nonce = 0;             // a pong repeats its ping's, orders their report's, what is told its question's
  std::uint64_t term = 0;              // highest term the sender knows of
  bool cut_off = false;                // the sender gets no answers from the state service
  bool leads = false;                  // the sender answers reports, with `term`
  bool spreads = false;                // and wants siblings to pass on reports
  bool passes = false;                 // the sender has room for workers whose reports it passes on to the leader
  std::uint8_t sender = 0;             // index of the sender's name among those of all nodes, sorted
  std::uint32_t uptime_ms = 0;         // capped
  std::uint16_t reads = 0, writes = 0; // of the state service for users, tenths a second
  ConnectivityRecord connectivity;     // the sender's
  std::vector<std::string> cancelled;  // jobs whose cancellation the sender has confirmed lately
  struct JobNews {
    std::string id;
    std::uint32_t done = 0, running = 0;
    bool late = false; // foreseen to be
    std::string reason;
  };
  std::vector<JobNews> news;
  Heartbeat report;                // Report
  std::uint16_t status = 0;        // Orders, Told: as the answer to the worker or user has
  std::vector<TaskCommand> orders; // with 200
  enum class Verb : std::uint8_t { Submit, Look, Abort } verb = Verb::Look; // Ask
  std::string id;                                                           // Ask: the job's
  // Ask: the description of a job to be submitted; Told: the answer's; CellAsk, CellTold: the frame.
  std::string body;
  std::uint16_t retry_s = 0; // Told: 0: none
};

// Frames of reports, orders, questions and what is told may be larger: what a worker's or user's own message may be.
constexpr std::size_t kPeerMaxRelayed = 64 * 1024,
                      kPeerMaxPassed = kPeerMaxRelayed + 4096; // the latter: with another cell's frame in it
constexpr std::size_t kPeerHeader = 12, kPeerMaxBody = 4096, kPeerMaxCancelled = 64, kPeerMaxNews = 100,
                      kPeerMaxReason = 200;
// What one job's news takes of a frame's body.
std::size_t peer_news_size(const PeerMessage::JobNews &n);

std::string encode_peer(const PeerMessage &message);
enum class PeerRead { NeedMore, Frame, Garbage };
// Takes one frame off the front of `buffer`.
PeerRead read_peer(std::string_view &buffer, PeerMessage &out);

} // namespace loftrouter::wire
