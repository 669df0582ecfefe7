// A lease of the state service that this replica holds: keys attached to it disappear when it expires or is revoked.
//
// Owns the lease's id, the request under way about it and the time of the next one. Invariant: at most one grant or
// renewal is in flight, so the state service sees no more than one per interval. What the lease proves, and for how
// long, is decided by its owner. Single-threaded, as all of the core.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "loftrouter/core/runtime/runtime.hpp"

namespace loftrouter::core {

class StateServiceLease {
public:
  using Id = std::uint64_t; // never 0

  enum class Renewal : std::uint8_t {
    Confirmed,
    Expired, // the state service no longer knows the lease
    Unknown, // no answer, or a refusal by rate: the lease may live or not
  };

  // Called with the lease's id, or with nothing if none was granted as far as known.
  using GrantHandler = std::function<void(std::optional<Id>)>;
  using RenewalHandler = std::function<void(Renewal)>;

  StateServiceLease(Runtime &runtime, double ttl_s) : runtime_(runtime), ttl_s_(ttl_s) {}

  // The lease's id while this replica holds it.
  [[nodiscard]] const std::optional<Id> &id() const { return id_; }

  // Whether the time of the next grant or renewal has come and none is in flight.
  [[nodiscard]] bool request_due() const { return !request_in_flight_ && runtime_.now() >= next_request_at_; }

  // Puts the next grant or renewal off until `delay_s` seconds from now.
  void schedule_request(double delay_s) { next_request_at_ = runtime_.now() + delay_s; }

  // Asks for a lease. The caller decides by `hold` whether to keep it.
  void request_grant(GrantHandler handler);

  // Renews the lease that is held. The handler runs also if the lease was given up meanwhile.
  void request_renewal(RenewalHandler handler);

  // Keeps a granted lease from now on.
  void hold(Id id) { id_ = id; }

  // Forgets the lease without a request: it has expired.
  void forget() { id_.reset(); }

  // Revokes the lease if one is held. A renewal still in flight no longer holds back the next request.
  void revoke();

  // Revokes a lease that was granted but is not held.
  void revoke(Id id);

private:
  Runtime &runtime_;
  double ttl_s_;
  std::optional<Id> id_;
  bool request_in_flight_ = false;
  double next_request_at_ = 0; // monotonic, s
};

} // namespace loftrouter::core
