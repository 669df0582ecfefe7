#include "loftrouter/core/federation/delegation_protocol.hpp"

#include <algorithm>

namespace loftrouter::cells {

DelegationAtOrigin DelegationAtOrigin::restored(Generation generation, std::uint64_t term, double now,
                                                const LeaseTerms &terms) {
  DelegationAtOrigin delegation(generation, term);
  delegation.phase_ = Phase::Active;
  delegation.expires_at_ = now + terms.release_delay_s();
  return delegation;
}

void DelegationAtOrigin::mark_recorded() {
  if (phase_ == Phase::Recording) phase_ = Phase::Active;
}

bool DelegationAtOrigin::confirm(double now, std::uint64_t remote_term, const LeaseTerms &terms) {
  if (phase_ != Phase::Active || remote_term < remote_term_) return false;
  remote_term_ = remote_term;
  expires_at_ = std::max(expires_at_, now + terms.release_delay_s());
  return true;
}

bool DelegationAtOrigin::mark_ended(std::uint64_t remote_term, std::uint64_t origin_term) {
  if (remote_term < remote_term_ || origin_term != term_) return false;
  phase_ = Phase::Released;
  return true;
}

void DelegationAtOrigin::close() {
  if (phase_ != Phase::Released) phase_ = Phase::Closing;
}

bool DelegationAtOrigin::released(double now) const {
  return phase_ == Phase::Released || (phase_ == Phase::Closing && now >= expires_at_);
}

void DelegationAtRemote::apply_grant(std::uint64_t request, double requested_at, const LeaseTerms &terms) {
  if (request > last_earlier_request_)
    expires_at_ = std::max(expires_at_, requested_at + terms.grant_s * (1 - terms.drift));
}

void DelegationAtRemote::tick(double now) {
  if (expires_at_ != kNever && now >= expires_at_) closed_ = true;
}

} // namespace loftrouter::cells
