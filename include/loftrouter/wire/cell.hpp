// Messages between cells, in frames like those between the nodes of one cell but of their own format. They name both
// cells. What doesn't decode closes the connection.
//
// All functions are pure. A delegation hands tasks of a job to another cell; its generation is never used again, so
// that a message which arrives late can't be taken for one about a newer delegation.
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

// Set in the number of a summary: its cell takes part in the exchange of quotas. Earlier versions leave it out.
constexpr std::uint64_t kKnowsQuotas = 1ULL << 63;

// Machines of one type, zone and kind in a cell, as it reports them to others.
struct CellKind {
  std::string type;
  std::string zone;
  bool spot = false;
  bool refused = false;       // the cloud had none to give, lately
  std::uint32_t machines = 0; // that are up
  std::uint32_t idle = 0;     // of those, with nothing on them
  Resources size;             // of one machine
  Resources free;             // of all together, beyond what the cell's own work waits for
  double boot_s = 0;
  double fetch_gb_per_s = 1;
};

// One message of any kind. Fields that are not of its kind are neither sent nor read.
struct CellMessage {
  enum class Kind : std::uint16_t {
    Summary = 1,     // what the sender has; answered by SummaryReply
    SummaryReply,    // the same of the receiver
    CapacityRequest, // room for so many tasks; answered by CapacityReply
    CapacityReply,   // for how many there is
    DelegationOffer, // tasks to run; answered by OfferReply
    OfferReply,      // whether they are accepted
    Renewal,         // whether delegations go on; answered by RenewalReply
    RenewalReply,    // which are over, and how long the others go on
    Progress,        // how a delegation gets on, or that it has ended; once that is recorded, ProgressAck
    ProgressAck,     // of the end of a delegation
    Recall,          // a delegation is to be given back
    Quota,           // a team's quota record, from the cell that owns it; answered by QuotaApplied
    QuotaApplied,    // it is in force
    QuotaChange,     // an operator's change, to the owner; answered by QuotaOutcome
    QuotaOutcome     // what became of it
    // The last four go only to cells whose summaries have kKnowsQuotas.
  } kind = Kind::Summary;

  // All kinds.
  std::string from;         // cell
  std::string to;           // cell
  std::uint64_t term = 0;   // of the leader that sends it
  std::uint64_t number = 0; // of a request; its answer repeats it

  // Summary, SummaryReply.
  std::string address;         // at which the sender's leader takes such frames
  double lease_s = 0;          // of its workers; in Renewal, too
  std::vector<double> wait_s;  // expected there, by priority
  std::vector<CellKind> kinds; // at most kCellMaxKinds

  // CapacityRequest; CapacityReply has `tasks` alone.
  Resources need; // of each task
  std::uint32_t tasks = 0;
  std::vector<std::string> types; // machine types allowed; empty: any
  bool spot = false;              // spot machines allowed
  bool all_at_once = false;       // room for fewer is of no use

  // DelegationOffer, OfferReply, Progress, ProgressAck, Recall.
  std::uint64_t generation = 0;
  // DelegationOffer: the tasks. Progress: those done. At most kCellMaxRanges.
  Ranges ranges;
  // DelegationOffer: the job's description. OfferReply: why it is not accepted. Quota, QuotaApplied, QuotaChange,
  // QuotaOutcome: what it is about.
  std::string body;

  // OfferReply.
  bool accepted = false;

  // Progress.
  std::uint64_t origin_term = 0; // of the leader of the origin cell that it is meant for
  bool ended = false;
  std::uint32_t running = 0; // tasks
  accounts::Usage usage;     // so far

  // Renewal: the delegations asked about. RenewalReply: those of them that are over; the others go on for `grant_s`.
  std::vector<std::uint64_t> generations; // at most kCellMaxGenerations
  double grant_s = 0;

  // Quota, QuotaApplied, QuotaChange, QuotaOutcome.
  std::uint64_t version = 0; // Quota, QuotaApplied: of the record
  std::uint32_t status = 0;  // QuotaOutcome: HTTP
  bool within_cap = false;   // QuotaApplied: the team can use no more than its cap there
};

constexpr std::size_t kCellMaxBody = std::size_t{64} * 1024; // bytes
constexpr std::size_t kCellMaxKinds = 64;                    // entries
constexpr std::size_t kCellMaxGenerations = 400;             // entries
constexpr std::size_t kCellMaxRanges = 400;                  // entries

[[nodiscard]] std::string encode_cell(const CellMessage &message);
// Takes one frame off the front of `buffer`.
[[nodiscard]] FrameRead read_cell(std::string_view &buffer, CellMessage &out);
// Whether a buffer begins like a frame between cells; false also while that is not clear.
[[nodiscard]] bool looks_like_cell(std::string_view buffer);

} // namespace loftrouter::wire
