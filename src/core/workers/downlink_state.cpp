#include "loftrouter/core/workers/downlink_state.hpp"

namespace loftrouter::core {

namespace {
constexpr int kMaxUnacknowledgedResponses = 2; // in a row, until the downlink counts as lost
} // namespace

DownlinkState::Change DownlinkState::update(const DownlinkEvidence &evidence, bool survived_lease, double now) {
  if (evidence.unacknowledged) {
    ++unacknowledged_responses_;
    if (unacknowledged_responses_ < kMaxUnacknowledgedResponses || lost()) return Change::None;
    lost_since_ = now;
    return Change::Lost;
  }
  const bool was_lost = lost();
  if (!evidence.acknowledged && !(was_lost && survived_lease)) return Change::None;
  unacknowledged_responses_ = 0;
  lost_since_ = -1;
  return was_lost ? Change::Restored : Change::None;
}

} // namespace loftrouter::core
