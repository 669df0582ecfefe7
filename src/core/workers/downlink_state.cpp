#include "loftrouter/core/workers/downlink_state.hpp"

namespace loftrouter::core {

namespace {
constexpr int kLostAfterUnacknowledged = 2; // responses in a row
} // namespace

DownlinkState::Change DownlinkState::update(const DownlinkEvidence &evidence, bool survived_lease, double now) {
  if (evidence.unacknowledged) {
    ++unacknowledged_in_a_row_;
    if (unacknowledged_in_a_row_ < kLostAfterUnacknowledged || lost()) return Change::None;
    lost_since_ = now;
    return Change::Lost;
  }
  const bool was_lost = lost();
  if (!evidence.acknowledged && !(was_lost && survived_lease)) return Change::None;
  unacknowledged_in_a_row_ = 0;
  lost_since_ = -1;
  return was_lost ? Change::Restored : Change::None;
}

} // namespace loftrouter::core
