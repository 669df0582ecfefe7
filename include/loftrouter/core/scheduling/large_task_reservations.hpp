// Tracks the instance types whose machines are reserved for large tasks, which fit no other type and need a whole
// machine.
// Small tasks avoid such machines (`FleetSnapshot`). Safety doesn't depend on it.
#pragma once

#include <unordered_map>

#include "loftrouter/core/scheduling/scheduling_context.hpp"

namespace loftrouter::core {

class LargeTaskReservations {
public:
  struct Reservation {
    double last_wanted_at = 0; // monotonic
    Resources need;            // maximum over the jobs, for each resource
  };
  explicit LargeTaskReservations(const SchedulingContext &context) : context_(context) {}

  // Returns null if no job wanted the type within the last `within_s` seconds.
  const Reservation *find(int type, double within_s) const;
  void on(const JobAccepted &event);

private:
  int only_fitting_type(const JobSpec &spec) const; // -1 if none or several fit

  const SchedulingContext &context_;
  std::unordered_map<int, Reservation> reservations_; // by type index
};

} // namespace loftrouter::core
