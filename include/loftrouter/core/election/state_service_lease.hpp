// A lease in the state service that this replica holds. Keys attached to it are deleted when it expires or is revoked.
//
// Owns the lease id and the schedule of its requests. The caller decides by `request_due` when to send one, which keeps
// at most one grant or renewal in flight and so bounds the load on the state service. The caller also tracks for how
// long the lease is valid. Single-threaded.
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
    Expired, // the lease does not exist any more
    Unknown, // no response or rate-limited; the lease may still exist
  };

  // Called with the lease id, or with nullopt if the grant failed or its outcome is unknown.
  using GrantHandler = std::function<void(std::optional<Id>)>;
  using RenewalHandler = std::function<void(Renewal)>;

  StateServiceLease(Runtime &runtime, double ttl_s) : runtime_(runtime), ttl_s_(ttl_s) {}

  [[nodiscard]] const std::optional<Id> &id() const { return id_; }

  // Whether the next grant or renewal is due and none is in flight.
  [[nodiscard]] bool request_due() const { return !request_in_flight_ && runtime_.now() >= next_request_at_; }

  // Schedules the next grant or renewal in `delay_s` seconds.
  void schedule_request(double delay_s) { next_request_at_ = runtime_.now() + delay_s; }

  // Requests a lease. The caller must `hold` or `revoke` it once granted.
  void request_grant(GrantHandler handler);

  // Renews the held lease. The handler is called even if the lease has been revoked or forgotten meanwhile.
  void request_renewal(RenewalHandler handler);

  void hold(Id id) { id_ = id; }

  // Drops a lease that has expired, without revoking it in the state service.
  void forget() { id_.reset(); }

  // Revokes the lease if one is held. A renewal in flight no longer delays the next request.
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
