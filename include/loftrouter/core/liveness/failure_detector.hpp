// Which of a leader's machines have fallen silent, and what explains it best: the machine, its zone, the way by which
// it reports (this node, or the sibling that passes its reports on), or that nobody is heard at all.
//
// Owns the counts of who is late. It proves nothing: tasks of a silent machine are over only by `WorkerRegistry`'s
// proofs. It decides what a silence may cost: a machine that is silent along with its whole zone or way is not given
// back, and one that is silent along with its way or with all others is not replaced, for as long as waiting costs no
// more than renting it anew would (`hold_s`). See docs/links.md, "No fleet is thrown away".
#pragma once

#include <string>
#include <vector>

#include "loftrouter/core/runtime/dense_index.hpp"
#include "loftrouter/core/workers/worker_registry.hpp"

namespace loftrouter::core {

// Seconds after a report until the next one is late: workers report within 1.25 of their interval.
inline double late_after(const Settings &settings) {
  return 1.25 * settings.heartbeat_interval_s + 1.5;
}

class FailureDetector {
public:
  enum class Cause : std::uint8_t { None, Machine, Zone, Way, All };
  struct Count {
    std::size_t known = 0, late = 0;
    static constexpr std::size_t kMin = 4; // with fewer, chance explains it as well
    bool silent() const { return known >= kMin && late * 100 >= known * 95; }
    void add(const Count &count) {
      known += count.known;
      late += count.late;
    }
  };

  FailureDetector(Runtime &runtime, const Settings &settings, const InstanceTypeCatalog &catalog,
                  const Leadership &leadership, const WorkerRegistry &workers)
      : runtime_(runtime), settings_(settings), catalog_(catalog), leadership_(leadership), workers_(workers) {}

  void tick(); // counts anew, a few times a second
  Cause cause(MachineIndex machine_index) const;
  bool awaited(MachineIndex machine_index) const;  // it is not to be given back
  bool expected(MachineIndex machine_index) const; // nor to be replaced
  const Count &all() const { return all_; }
  // Nothing is heard of anybody: what is rented now would not be either, unless all are gone. For as long as waiting
  // costs no more than renting anew.
  bool nobody_heard() const { return nobody_heard_; }
  // A whole zone, a way or everything is silent: some workers may reach a sibling instead.
  bool in_part() const { return in_part_; }
  void on(const TermEnded &);

  // What renting such a machine anew costs at least, in seconds of its price: the minimum charge and its boot.
  double hold_s(const Machine &machine) const;

private:
  std::optional<double> late_from(const Machine &machine) const; // mono; nothing: heard in time, or never expected yet
  std::size_t way(const Machine &machine) const;
  void tell(bool now_in_part, const std::string &what);

  Runtime &runtime_;
  const Settings &settings_;
  const InstanceTypeCatalog &catalog_;
  const Leadership &leadership_;
  const WorkerRegistry &workers_;
  std::vector<std::vector<Count>> table_; // by way (this node, siblings, not heard yet), then zone
  // A group, and when it was last silent: for a while afterwards its machines are still about to report.
  struct Group {
    Count count;
    double silent_at = -1e9;
  };
  bool silent(const Group &group) const { return runtime_.now() - group.silent_at < late_after(settings_); }
  std::vector<Group> ways_, zones_;
  Count all_;
  double all_silent_at_ = -1e9;
  bool in_part_ = false, nobody_heard_ = false;
  std::string told_;
  double next_ = 0;
};

} // namespace loftrouter::core
