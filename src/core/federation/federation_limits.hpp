// Bounds and intervals of the work that cells lend to each other, for the sources of `CellFederation` alone.
#pragma once

#include "loftrouter/core/federation/cell_federation.hpp"

namespace loftrouter::core::lending {

using Kind = wire::CellMessage::Kind;
inline constexpr double kTick = 0.25, kDecideEvery = 0.5, kSummaryEvery = 1.0, kRenewShare = 0.25, kToldEvery = 0.5;
inline constexpr double kToldAtLeast = 5.0;                  // s, between words about a debt on which nothing changes
inline constexpr double kMaxGrant = 10.0, kMinGrant = 4.0;   // s
inline constexpr double kGrantSlack = 8.0;                   // s, of a cancellation's time that grants leave
inline constexpr double kOfferFor = 10.0, kOfferAgain = 1.0; // s
inline constexpr double kSureWithin = 2.0;                   // s, for a new leader to have what it borrows confirmed
inline constexpr double kFirstGrant = 10.0;                  // s, for a new debt to be confirmed
inline constexpr double kUnstarted = 20.0; // s, after which borrowed work that has not begun goes back
inline constexpr double kNotAgain = 60.0, kNoRoomPause = 5.0; // s, between two hand-overs of a job to the same cell
inline constexpr double kLongWait = 20.0;                     // s
inline constexpr double kHomeHasRoom = 10.0;                  // s
inline constexpr std::size_t kMaxWanted = 16;
// Jobs borrowed, and generations lent: about one to each of 11,000 machines. At the limit nothing more is borrowed or
// lent. Each has its job in the job table, which takes more memory than this.
inline constexpr std::size_t kMaxInboundDelegations = 12'000, kMaxDelegations = 12'000;
inline constexpr std::uint32_t kMinDelegatedTasks = 1;
inline constexpr int kEager = 2;
inline constexpr double kAcceptShare = 0.5, kMinAcceptedCpus = 32; // of the CPUs that are up; CPUs
inline constexpr std::size_t kMaxRanges = 4;                       // of a loan
inline const cells::Rules kRules;

} // namespace loftrouter::core::lending

namespace loftrouter::core {
using namespace lending;
}
