// Tracks whether responses reach a worker whose heartbeats arrive.
//
// Guards against placing tasks on a worker that receives no responses, where they would never start. A single
// unacknowledged response may be a lost packet or a restart; several in a row mark the downlink as lost.
//
// A worker is verified once it has presented this leader's fencing token. Before, its heartbeats may be delayed copies
// (docs/safety.md, "Reports that come late, again, or alone").
#pragma once

#include <cstdint>

namespace loftrouter::core {

// What one heartbeat shows about earlier responses. Both may be true.
struct DownlinkEvidence {
  bool acknowledged = false;
  bool unacknowledged = false;
};

class DownlinkState {
public:
  enum class Change : std::uint8_t { None, Lost, Restored };

  // `survived_lease`: since the loss the incarnation has outlived a lease, so a response must have renewed it. `now`:
  // monotonic s.
  [[nodiscard]] Change update(const DownlinkEvidence &evidence, bool survived_lease, double now);

  // Also called for machines rented by this leader, whose heartbeats cannot predate the term.
  void set_verified() { verified_ = true; }
  bool verified() const { return verified_; }
  bool lost() const { return lost_since_ >= 0; }
  double lost_since() const { return lost_since_; } // monotonic s; -1: not lost
  bool accepts_commands() const { return verified_ && !lost(); }

private:
  bool verified_ = false;
  int unacknowledged_responses_ = 0; // in a row
  double lost_since_ = -1;
};

} // namespace loftrouter::core
