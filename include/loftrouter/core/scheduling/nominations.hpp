// Records machines nominated for a job, on which nothing else is placed: those being cleared by preemption, and those
// kept for a job that has waited too long.
//
// Guards against a machine being refilled with small tasks while its victims are still stopping. Nominations expire.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "loftrouter/core/runtime/dense_index.hpp"
#include "loftrouter/core/runtime/events.hpp"
#include "loftrouter/core/runtime/grown.hpp"

namespace loftrouter::core {

class Nominations {
public:
  struct Nomination {
    std::string job_id;
    double until = -1;          // monotonic
    bool open_to_small = false; // not reserved for large tasks in the last full round
  };
  // Returns null if the machine has no entry; an entry may have expired.
  const Nomination *find(MachineIndex machine) const {
    return machine.position() < nominations_.size() ? &nominations_[machine.position()] : nullptr;
  }
  void nominate(MachineIndex machine, std::string job_id, double until) {
    Nomination &nomination = grown(nominations_, machine);
    nomination.job_id = std::move(job_id);
    nomination.until = until;
  }
  void set_open_to_small(MachineIndex machine, bool open) { grown(nominations_, machine).open_to_small = open; }
  void clear() { nominations_.clear(); }
  void on(const MachineRemoved &event) {
    if (find(event.machine)) nominations_[event.machine.position()] = {};
  }

private:
  std::vector<Nomination> nominations_; // by machine
};

} // namespace loftrouter::core
