// Instance types that some job class needs whole, as it fits no other type.
//
// Owns, by type, when such a job last came and what it needs. Small work that can go elsewhere keeps off such machines
// (`FleetSnapshot`). No rule rests on it: at worst a machine is idle, or a large task waits for small ones.
#pragma once

#include <unordered_map>

#include "loftrouter/core/scheduling/scheduling_context.hpp"

namespace loftrouter::core {

class LargeTaskReservations {
public:
  struct Reservation {
    double last_wanted_at = 0; // monotonic: when such a job last came
    Resources need;            // the largest such job's
  };
  explicit LargeTaskReservations(const SchedulingContext &context) : context_(context) {}

  // Of a type that was wanted within so many seconds; null: none.
  const Reservation *find(int type, double within_s) const;
  void on(const JobAccepted &event);

private:
  int only_fitting_type(const JobSpec &spec) const; // -1: none, or several

  const SchedulingContext &context_;
  std::unordered_map<int, Reservation> reservations_; // by type
};

} // namespace loftrouter::core
