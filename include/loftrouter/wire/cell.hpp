// Binary protocol between cells. Each frame names its sending and receiving cell. The caller closes the connection on a
// frame that doesn't decode.
//
// All functions are pure. A delegation hands tasks of a job to another cell; its generation is never reused, so that a
// delayed message can't be mistaken for one about a newer delegation.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "loftrouter/accounts/usage.hpp"
#include "loftrouter/model/types.hpp"
#include "loftrouter/wire/frame.hpp"

namespace loftrouter::wire {

// Capability bit in the number of a summary: its cell exchanges quota records. Older versions don't set it.
constexpr std::uint64_t kKnowsQuotas = 1ULL << 63;

// Capacity of a cell in machines of one type and zone, either spot or on-demand.
struct CellKind {
  std::string type;
  std::string zone;
  bool spot = false;
  bool refused = false;       // the cloud provider recently had none available
  std::uint32_t machines = 0; // running machines
  std::uint32_t idle = 0;     // running machines without tasks
  Resources size;             // per machine
  Resources free;             // in total, minus what the cell's own waiting tasks need
  double boot_s = 0;
  double fetch_gb_per_s = 1;
};

// A message from one cell to another. Only the fields of its kind are encoded and decoded.
struct CellMessage {
  enum class Kind : std::uint16_t {
    Summary = 1,     // the sender's capacity; answered by SummaryReply
    SummaryReply,    // the receiver's capacity
    CapacityRequest, // asks how many of `tasks` would fit; answered by CapacityReply
    CapacityReply,   // the number of tasks that fit
    DelegationOffer, // offers tasks to a remote cell; answered by OfferReply
    OfferReply,      // accepts or refuses the offer
    Renewal,         // asks to extend delegations; answered by RenewalReply
    RenewalReply,    // lists ended delegations and extends the others
    Progress,        // state of a delegation; its end is answered by ProgressAck once recorded
    ProgressAck,     // confirms the end of a delegation
    Recall,          // asks for a delegation back
    Quota,           // a team's quota record, from its owner cell; answered by QuotaApplied
    QuotaApplied,    // confirms that the record is in force
    QuotaChange,     // an operator's change, sent to the owner cell; answered by QuotaOutcome
    QuotaOutcome     // result of a QuotaChange
    // The quota messages are sent only to cells that set kKnowsQuotas.
  } kind = Kind::Summary;

  // All kinds.
  std::string from;         // name of the sending cell
  std::string to;           // name of the receiving cell
  std::uint64_t term = 0;   // of the sending leader
  std::uint64_t number = 0; // request number, echoed in the reply

  // Summary, SummaryReply.
  std::string address;         // where the sender's leader accepts cell frames
  double lease_s = 0;          // lease duration of the sender's workers; also in Renewal
  std::vector<double> wait_s;  // expected queueing delay, by priority
  std::vector<CellKind> kinds; // at most kCellMaxKinds

  // CapacityRequest; CapacityReply uses only `tasks`.
  Resources need; // per task
  std::uint32_t tasks = 0;
  std::vector<std::string> types; // allowed machine types; empty allows any
  bool spot = false;              // spot machines allowed
  bool all_at_once = false;       // gang scheduling: all tasks or none

  // DelegationOffer, OfferReply, Progress, ProgressAck, Recall.
  std::uint64_t generation = 0;
  // DelegationOffer: the offered tasks. Progress: the finished tasks. At most kCellMaxRanges.
  Ranges ranges;
  // DelegationOffer: the job description. OfferReply: the reason for a refusal. Quota, QuotaApplied, QuotaChange,
  // QuotaOutcome: the payload.
  std::string body;

  // OfferReply.
  bool accepted = false;

  // Progress.
  std::uint64_t origin_term = 0; // term of the origin cell's leader that the message is for
  bool ended = false;
  std::uint32_t running = 0; // tasks
  accounts::Usage usage;     // total of the delegation so far

  // Renewal: the delegations to extend. RenewalReply: those that have ended; the others are extended by `grant_s`.
  std::vector<std::uint64_t> generations; // at most kCellMaxGenerations
  double grant_s = 0;

  // Quota, QuotaApplied, QuotaChange, QuotaOutcome.
  std::uint64_t version = 0; // Quota, QuotaApplied: version of the record
  std::uint32_t status = 0;  // QuotaOutcome: HTTP status
  bool within_cap = false;   // QuotaApplied: the team's use in that cell can't exceed its cap
};

constexpr std::size_t kCellMaxBody = std::size_t{64} * 1024; // bytes
constexpr std::size_t kCellMaxKinds = 64;                    // entries
constexpr std::size_t kCellMaxGenerations = 400;             // entries
constexpr std::size_t kCellMaxRanges = 400;                  // entries

[[nodiscard]] std::string encode_cell(const CellMessage &message);
// Decodes the first frame of `buffer` and removes it from there.
[[nodiscard]] FrameRead read_cell(std::string_view &buffer, CellMessage &out);
// Returns whether a buffer starts with the magic number of a cell frame; false if it is too short to tell.
[[nodiscard]] bool looks_like_cell(std::string_view buffer);

} // namespace loftrouter::wire
