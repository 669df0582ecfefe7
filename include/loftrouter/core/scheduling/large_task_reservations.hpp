// Tracks the instance types whose on-demand machines are reserved for large tasks: those that fit no other type and
// don't fit twice on one machine. `FleetSnapshot` keeps small tasks off such machines. Safety doesn't depend on it:
// at worst a machine is idle, or a large task waits for small ones.
#pragma once

#include <unordered_map>

#include "loftrouter/core/scheduling/scheduling_context.hpp"

namespace loftrouter::core {

class LargeTaskReservations {
public:
  struct Reservation {
    double last_wanted_at = 0; // monotonic
    Resources need;            // of the largest task, for each resource
  };
  explicit LargeTaskReservations(const SchedulingContext &context) : context_(context) {}

  // Returns null if no job wanted the type within the last `max_age_s` seconds.
  const Reservation *find(int type, double max_age_s) const;
  void on(const JobAccepted &event);

private:
  int only_fitting_type(const JobSpec &spec) const; // -1 if none or several fit

  const SchedulingContext &context_;
  std::unordered_map<int, Reservation> reservations_; // by type index
};

} // namespace loftrouter::core
