// Machines that are kept free for a job: emptied by preemption, or kept for one that has waited too long.
//
// Owns them, by machine. Guards against a machine being refilled with small work while the last tasks on it are being
// stopped. They run out by themselves.
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
    std::string job_id;         // the job that the machine is kept for
    double until = -1;          // monotonic
    bool open_to_small = false; // at the last round over all machines: not reserved for large tasks
  };
  // Null: nothing is known of the machine.
  const Nomination *find(MachineIndex machine) const {
    return machine.position() < nominations_.size() ? &nominations_[machine.position()] : nullptr;
  }
  void nominate(MachineIndex machine, std::string job_id, double until) {
    Nomination &nomination = get_or_create(nominations_, machine);
    nomination.job_id = std::move(job_id);
    nomination.until = until;
  }
  void set_open_to_small(MachineIndex machine, bool open) { get_or_create(nominations_, machine).open_to_small = open; }
  void clear() { nominations_.clear(); }
  void on(const MachineRemoved &event) {
    if (find(event.machine)) nominations_[event.machine.position()] = {};
  }

private:
  std::vector<Nomination> nominations_; // by machine
};

} // namespace loftrouter::core
