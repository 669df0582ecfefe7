#include "loftrouter/core/scheduling/large_task_reservations.hpp"

#include <algorithm>

namespace loftrouter::core {

const LargeTaskReservations::Reservation *LargeTaskReservations::find(int type, double max_age_s) const {
  const auto it = reservations_.find(type);
  if (it == reservations_.end()) return nullptr;
  return context_.runtime.now() - it->second.last_wanted_at < max_age_s ? &it->second : nullptr;
}

// Reserves a type if the job can't use spot machines and its tasks are large.
void LargeTaskReservations::on(const JobAccepted &event) {
  const Job &job = context_.jobs[event.job];
  const JobSpec &spec = job.spec;
  if (spec.spot || job.cancelled) return;
  const int type = only_fitting_type(spec);
  if (type < 0) return;
  const Resources &size = context_.catalog.type(type).size;
  const bool two_fit = spec.need.cpus * 2 <= size.cpus && spec.need.memory * 2 <= size.memory;
  if (two_fit) return;
  Reservation &reservation = reservations_[type];
  reservation.last_wanted_at = context_.runtime.now();
  reservation.need = {std::max(reservation.need.cpus, spec.need.cpus), std::max(reservation.need.gpus, spec.need.gpus),
                      std::max(reservation.need.memory, spec.need.memory)};
}

int LargeTaskReservations::only_fitting_type(const JobSpec &spec) const {
  int fitting_type = -1;
  const auto &types = context_.catalog.types();
  for (std::size_t i = 0; i < types.size(); ++i) {
    if (!spec.need.fits(types[i].size)) continue;
    if (spec.types && std::find(spec.types->begin(), spec.types->end(), types[i].name) == spec.types->end()) continue;
    if (fitting_type >= 0) return -1;
    fitting_type = static_cast<int>(i);
  }
  return fitting_type;
}

} // namespace loftrouter::core
