// Tracks whether responses reach a worker whose heartbeats arrive.
//
// Guards against placing tasks on a worker that receives no responses, where they would never start. A single
// unacknowledged response may be a lost packet or a restart; two in a row mark the downlink as lost.
//
// A worker is verified once a heartbeat has carried this leader's fencing token. Until then, its heartbeats may be
// delayed ones (docs/safety.md, "Reports that come late, again, or alone").
#pragma once

#include <cstdint>

namespace loftrouter::core {

// States what one heartbeat shows about earlier responses. If both are true, `unacknowledged` prevails.
struct DownlinkEvidence {
  bool acknowledged = false;
  bool unacknowledged = false;
};

class DownlinkState {
public:
  enum class Change : std::uint8_t { None, Lost, Restored };

  // Applies the evidence of one heartbeat. `survived_lease`: the worker's incarnation has lasted for longer than a
  // lease since the loss of the downlink, so a response must have renewed its lease. `now`: monotonic s.
  [[nodiscard]] Change update(const DownlinkEvidence &evidence, bool survived_lease, double now);

  // Also called for machines launched by this leader, whose heartbeats cannot be older than its term.
  void set_verified() { verified_ = true; }
  bool verified() const { return verified_; }
  bool lost() const { return lost_since_ >= 0; }
  double lost_since() const { return lost_since_; } // monotonic s; -1: not lost
  bool accepts_commands() const { return verified_ && !lost(); }

private:
  bool verified_ = false;
  int unacknowledged_in_a_row_ = 0;
  double lost_since_ = -1;
};

} // namespace loftrouter::core
