#include "loftrouter/core/federation/delegation_protocol.hpp"

#include <algorithm>

namespace loftrouter::cells {

DelegationAtOrigin DelegationAtOrigin::restored(Generation g, std::uint64_t term, double now, const Terms &terms) {
  DelegationAtOrigin h(g, term);
  h.phase_ = Phase::DelegationSource;
  h.until_ = now + terms.over_after_s();
  return h;
}

void DelegationAtOrigin::recorded() {
  if (phase_ == Phase::Recording) phase_ = Phase::DelegationSource;
}

bool DelegationAtOrigin::confirm(double now, std::uint64_t remote_term, const Terms &terms) {
  if (phase_ != Phase::DelegationSource || remote_term < remote_term_) return false;
  remote_term_ = remote_term;
  until_ = std::max(until_, now + terms.over_after_s());
  return true;
}

bool DelegationAtOrigin::ended(std::uint64_t remote_term, std::uint64_t origin_term) {
  if (remote_term < remote_term_ || origin_term != term_) return false;
  phase_ = Phase::Over;
  return true;
}

void DelegationAtOrigin::close() {
  if (phase_ != Phase::Over) phase_ = Phase::Closing;
}

bool DelegationAtOrigin::over(double now) const {
  return phase_ == Phase::Over || (phase_ == Phase::Closing && now >= until_);
}

void DelegationAtRemote::granted(std::uint64_t question, double asked_at, const Terms &terms) {
  if (question > asked_before_) until_ = std::max(until_, asked_at + terms.grant_s * (1 - terms.drift));
}

void DelegationAtRemote::tick(double now) {
  if (until_ != kNever && now >= until_) closed_ = true;
}

} // namespace loftrouter::cells
