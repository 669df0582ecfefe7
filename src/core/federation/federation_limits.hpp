// Limits and intervals of delegations, internal to the sources of `CellFederation`. Constants ending in S are seconds.
#pragma once

#include "loftrouter/core/federation/cell_federation.hpp"

namespace loftrouter::core::federation_limits {

using Kind = wire::CellMessage::Kind;
inline constexpr double kTickIntervalS = 0.25, kPlanIntervalS = 0.5, kSummaryIntervalS = 1.0;
inline constexpr double kRenewalFraction = 0.25; // renewal interval, as a share of the longest delegation lease
inline constexpr double kProgressIntervalS = 0.5;
inline constexpr double kUnchangedProgressIntervalS = 5.0;
inline constexpr double kUnconfirmedRenewalLeadS = 2.0; // how much earlier unconfirmed delegations are renewed
inline constexpr double kMaxGrantS = 10.0, kMinGrantS = 4.0;
inline constexpr double kCancellationSlackS = 8.0; // part of the cancellation deadline that leases leave free
inline constexpr double kOfferTimeoutS = 10.0, kOfferCommitTimeoutS = 1.5, kRetryIntervalS = 1.0;
inline constexpr double kCapacityRequestTimeoutS = 3.0, kForwardedRequestTimeoutS = 3.0;
inline constexpr double kLeaderStatusValidityS = 1.2;   // of a replica's report that it leads
inline constexpr double kPlanningStartDelayS = 5.0;     // after the start of a term
inline constexpr double kRestoredConfirmTimeoutS = 2.0; // for delegations found by a new leader
inline constexpr double kFirstConfirmTimeoutS = 10.0;
inline constexpr double kUnstartedTimeoutS = 20.0; // unstarted inbound tasks are returned after this time
inline constexpr double kRedelegationDelayS = 60.0, kCapacityRetryDelayS = 5.0; // per job and cell
inline constexpr double kLongWaitS =
    20.0; // jobs unstarted for longer are expected to wait at least half their age again
inline constexpr double kOriginIdleRecallS = 10.0; // unstarted tasks are recalled once they could start locally
inline constexpr std::size_t kMaxCapacityRequests = 16;
// Above these limits no delegation is accepted or started.
inline constexpr std::size_t kMaxInboundDelegations = 12'000, kMaxDelegations = 12'000;
inline constexpr std::uint32_t kMinDelegatedTasks = 1;
inline constexpr int kMinConsecutiveChoices = 2;                           // before a job is delegated
inline constexpr double kScaleOutAcceptShare = 0.5, kMinAcceptedCpus = 32; // share of the running CPUs; CPUs
inline constexpr std::size_t kMaxRangesPerDelegation = 4;
inline const cells::PlanRules kPlanRules;

} // namespace loftrouter::core::federation_limits

namespace loftrouter::core {
using namespace federation_limits;
}
