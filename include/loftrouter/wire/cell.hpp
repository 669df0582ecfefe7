// Frames between cells: packed by hand, little-endian, versioned and length-checked, like those between the nodes of
// one. They name both cells. Whatever does not decode closes the link.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "loftrouter/accounts/usage.hpp"
#include "loftrouter/model/types.hpp"
#include "loftrouter/wire/peer.hpp"

namespace loftrouter::wire {

// Machines of one kind in a cell, as it tells others.
struct CellKind {
  std::string type, zone;
  bool spot = false, refused = false;   // the latter: its cloud had none to give, lately
  std::uint32_t machines = 0, idle = 0; // up; and of those with nothing on them
  Resources size, free;                 // of one; of all together, beyond what its own work waits for
  double boot_s = 0, fetch_gb_per_s = 1;
};

struct CellMessage {
  // Summary: what the sender has, answered by Summaries (the same of the other). Want: room for so many tasks, answered
  // by Room. Offer: a loan, answered by Taken or not. Renew: whether loans go on, answered by Renewed. Told: how a loan
  // gets on, or that it has ended, answered by Settled once home has recorded that. Recall: a loan is to be given back.
  // Quota: a team's record, from the cell that owns it, answered by QuotaApplied. QuotaChange: an operator's, to the
  // owner, answered by QuotaOutcome. These four only go to cells whose summaries say that they know them.
  enum class Kind : std::uint16_t {
    Summary = 1,
    Summaries,
    Want,
    Room,
    Offer,
    Taken,
    Renew,
    Renewed,
    Told,
    Settled,
    Recall,
    Quota,
    QuotaApplied,
    QuotaChange,
    QuotaOutcome
  } kind = Kind::Summary;
  std::string from, to;     // cells
  std::uint64_t term = 0;   // of the leader that sends it
  std::uint64_t number = 0; // of a question; its answer repeats it
  // Summary, Summaries.
  std::string address;        // at which the sender's leader takes such frames
  double lease_s = 0;         // of its workers; in Renew, too
  std::vector<double> wait_s; // expected there, by urgency
  std::vector<CellKind> kinds;
  // Want, Room, Offer.
  Resources need;
  std::uint32_t tasks = 0;
  std::vector<std::string> types; // allowed; none: any
  bool spot = false, whole = false;
  // Offer, Taken, Told, Settled, Recall.
  std::uint64_t generation = 0;
  std::string body;             // Offer: the job's description; Taken: why not; Quota..: what it is about
  Ranges ranges;                // Offer: the tasks; Told: those done
  bool yes = false;             // Taken; Told: it has ended; QuotaApplied: the team can use no more than its cap there
  std::uint64_t other_term = 0; // Told: of the home leader that it is meant for
  std::uint32_t running = 0;    // Told: tasks; QuotaOutcome: an HTTP status
  accounts::Usage usage;        // Told: so far
  // Renew: loans that are asked about. Renewed: those of them that are over; the others go on for `grant_s`.
  std::vector<std::uint64_t> generations;
  double grant_s = 0;
};

// In the number of a Summary: its cell takes part in the exchange of quotas. Earlier versions leave it out.
constexpr std::uint64_t kKnowsQuotas = 1ULL << 63;
constexpr std::size_t kCellMaxBody = 64 * 1024, kCellMaxKinds = 64, kCellMaxGenerations = 400, kCellMaxRanges = 400;

std::string encode_cell(const CellMessage &message);
PeerRead read_cell(std::string_view &buffer, CellMessage &out);
// Whether a buffer begins like a frame between cells; false also while that is not clear.
bool looks_like_cell(std::string_view buffer);

} // namespace loftrouter::wire
