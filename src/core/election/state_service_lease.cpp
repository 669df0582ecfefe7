#include "loftrouter/core/election/state_service_lease.hpp"

#include <utility>

namespace loftrouter::core {

namespace {
constexpr double kRequestTimeoutS = 1.0;
constexpr double kRevokeTimeoutS = 2.0;
} // namespace

void StateServiceLease::request_grant(GrantHandler handler) {
  request_in_flight_ = true;
  runtime_.store(StoreLeaseGrant{ttl_s_}, kRequestTimeoutS,
                 [this, handler = std::move(handler)](const wire::StoreReply &reply) {
                   request_in_flight_ = false;
                   const bool granted = reply.status == 200 && reply.lease != 0;
                   handler(granted ? std::optional(reply.lease) : std::nullopt);
                 });
}

void StateServiceLease::request_renewal(RenewalHandler handler) {
  request_in_flight_ = true;
  runtime_.store(StoreLeaseRenew{id_.value()}, kRequestTimeoutS,
                 [this, handler = std::move(handler)](const wire::StoreReply &reply) {
                   request_in_flight_ = false;
                   if (reply.status == 200)
                     handler(Renewal::Confirmed);
                   else if (reply.status == 404)
                     handler(Renewal::Expired);
                   else
                     handler(Renewal::Unknown);
                 });
}

void StateServiceLease::revoke() {
  if (id_) revoke(*id_);
  id_.reset();
  request_in_flight_ = false;
}

void StateServiceLease::revoke(Id id) {
  runtime_.store(StoreLeaseRevoke{id}, kRevokeTimeoutS, [](const wire::StoreReply &) {});
}

} // namespace loftrouter::core
