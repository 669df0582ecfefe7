// Whether responses reach a worker whose heartbeats arrive.
//
// Guards against a machine that looks alive while nothing reaches it: tasks given to it would wait for ever. One
// unacknowledged response may be chance (a lost response, a machine that was restarted); several in a row are not.
// Owns its counters, is part of a `Machine`, and has no clock of its own.
//
// "verified" carries a rule: a worker that has not shown this leader's fencing token may be known by a copy of an old
// heartbeat alone, and what is placed there would never start (docs/safety.md, "Reports that come late, again, or
// alone").
#pragma once

#include <cstdint>

namespace loftrouter::core {

// What one heartbeat says of the responses sent before it. Both may be true.
struct DownlinkEvidence {
  bool acknowledged = false;   // one of them has arrived
  bool unacknowledged = false; // one of them has not
};

class DownlinkState {
public:
  enum class Change : std::uint8_t { None, Lost, Restored };

  // `now`: monotonic seconds. `survived_lease`: the worker's incarnation has outlived a lease since the downlink was
  // lost, which it can only have done by a response.
  [[nodiscard]] Change update(const DownlinkEvidence &evidence, bool survived_lease, double now);

  // It has shown this leader's fencing token, or was rented by this leader: what it says was not said before this
  // term, and responses have reached it.
  void set_verified() { verified_ = true; }
  bool verified() const { return verified_; }
  bool lost() const { return lost_since_ >= 0; }
  double lost_since() const { return lost_since_; }              // monotonic; -1: it is not lost
  bool accepts_commands() const { return verified_ && !lost(); } // may be given tasks

private:
  bool verified_ = false;
  int unacknowledged_responses_ = 0; // in a row
  double lost_since_ = -1;
};

} // namespace loftrouter::core
