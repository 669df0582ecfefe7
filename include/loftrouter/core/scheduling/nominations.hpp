// Records machines nominated for a single job, because preemption is emptying them for it or because it has waited too
// long. Nominations expire. Guards against small tasks refilling a machine while its victims are still stopping.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "loftrouter/core/runtime/dense_index.hpp"
#include "loftrouter/core/runtime/events.hpp"
#include "loftrouter/core/runtime/growing_table.hpp"

namespace loftrouter::core {

class Nominations {
public:
  struct Nomination {
    std::string job_id;
    double expires_at = -1;           // monotonic
    bool open_to_small_tasks = false; // as decided by the last full round
  };
  // Returns null or a nomination, which may have expired.
  const Nomination *find(MachineIndex machine) const {
    return machine.position() < nominations_.size() ? &nominations_[machine.position()] : nullptr;
  }
  void nominate(MachineIndex machine, std::string job_id, double expires_at) {
    Nomination &nomination = get_or_create(nominations_, machine);
    nomination.job_id = std::move(job_id);
    nomination.expires_at = expires_at;
  }
  void set_open_to_small_tasks(MachineIndex machine, bool open) {
    get_or_create(nominations_, machine).open_to_small_tasks = open;
  }
  void clear() { nominations_.clear(); }
  void on(const MachineRemoved &event) {
    if (find(event.machine)) nominations_[event.machine.position()] = {};
  }

private:
  std::vector<Nomination> nominations_; // by machine
};

} // namespace loftrouter::core
