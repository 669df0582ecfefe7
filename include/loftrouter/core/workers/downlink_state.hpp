// Tracks whether responses reach a worker whose heartbeats arrive.
//
// Guards against one-way connectivity: tasks placed on a worker that receives no responses would never start. A single
// unacknowledged response may be a lost packet or a restart; several in a row mark the downlink as lost. Part of a
// `Machine`; has no clock of its own.
//
// A worker is verified once it has presented this leader's fencing token. Until then the only sign of it may be a
// delayed copy of an old heartbeat (docs/safety.md, "Reports that come late, again, or alone").
#pragma once

#include <cstdint>

namespace loftrouter::core {

// What one heartbeat shows about earlier responses. Both may be true.
struct DownlinkEvidence {
  bool acknowledged = false;   // a response has arrived
  bool unacknowledged = false; // a response has not arrived
};

class DownlinkState {
public:
  enum class Change : std::uint8_t { None, Lost, Restored };

  // `now`: monotonic seconds. `survived_lease`: the worker's incarnation has lived on for longer than a lease since the
  // downlink was lost, so a response must have renewed it.
  [[nodiscard]] Change update(const DownlinkEvidence &evidence, bool survived_lease, double now);

  // Called when the worker presents this leader's fencing token or its machine was rented by this leader, so that its
  // heartbeats cannot predate the term.
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
