// Which of a leader's workers are unreachable, and what explains it best: the machine, its zone, the network path of
// its heartbeats (straight to this replica, or forwarded by another), or that no heartbeats arrive at all.
//
// Owns the counts of workers whose heartbeats are overdue. It proves nothing: a worker's tasks are over only by the
// rules of `WorkerRegistry`. It decides what being unreachable may cost: a machine that is unreachable along with its
// whole zone or path is not scaled in, and one that is unreachable along with its path or with all others is not
// replaced, for as long as waiting costs no more than renting another would (`retention_s`). If that were wrong, a
// network fault would throw the fleet away. Single-threaded, as all of the core. See docs/links.md, "No fleet is
// thrown away".
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "loftrouter/core/runtime/dense_index.hpp"
#include "loftrouter/core/workers/worker_registry.hpp"

namespace loftrouter::core {

// How long after a heartbeat the next one is overdue, s: workers report within 1.25 of their interval.
[[nodiscard]] inline double heartbeat_timeout_s(const Settings &settings) {
  return 1.25 * settings.heartbeat_interval_s + 1.5;
}

class FailureDetector {
public:
  // What explains that a worker's heartbeats are overdue.
  enum class Cause : std::uint8_t { None, Machine, Zone, Path, All };

  struct GroupCount {
    static constexpr std::size_t kMinWorkers = 4; // with fewer, chance explains it as well
    std::size_t known = 0;
    std::size_t overdue = 0;

    [[nodiscard]] bool unreachable() const { return known >= kMinWorkers && overdue * 100 >= known * 95; }
    void add(const GroupCount &count) {
      known += count.known;
      overdue += count.overdue;
    }
  };

  FailureDetector(Runtime &runtime, const Settings &settings, const InstanceTypeCatalog &catalog,
                  const Leadership &leadership, const WorkerRegistry &workers)
      : runtime_(runtime), settings_(settings), catalog_(catalog), leadership_(leadership), workers_(workers) {}

  // Counts anew, a few times a second. Only a leader counts.
  void tick();
  void on(const TermEnded &);

  // Whether this machine must not be scaled in because its heartbeats are overdue.
  [[nodiscard]] bool must_not_scale_in(MachineIndex machine_index) const;
  // Whether no other machine must be rented in place of this one.
  [[nodiscard]] bool must_not_replace(MachineIndex machine_index) const;

  // Over all workers.
  [[nodiscard]] const GroupCount &totals() const { return totals_; }
  // Whether no heartbeats arrive at all and some machine must not be replaced: those of a machine rented now would not
  // arrive either.
  [[nodiscard]] bool all_unreachable() const { return all_unreachable_; }
  // Whether a whole zone, a path or everything is unreachable: some workers may reach another replica.
  [[nodiscard]] bool outage_detected() const { return outage_detected_; }

private:
  // Workers that share a zone or a path, and when they were last unreachable as a group: for a while afterwards its
  // members are still about to report.
  struct Group {
    GroupCount count;
    double unreachable_at = -1e9; // monotonic
  };

  // When the heartbeat came that the last overdue one should have followed; monotonic. Nothing if none is overdue.
  [[nodiscard]] std::optional<double> overdue_since(const Machine &machine) const;
  // Index of the path of a machine's heartbeats: this replica, the other replicas, not known yet.
  [[nodiscard]] std::size_t path(const Machine &machine) const;
  [[nodiscard]] Cause cause(MachineIndex machine_index) const;
  // What renting such a machine anew costs at least, in seconds of its price: the minimum charge and its boot.
  [[nodiscard]] double retention_s(const Machine &machine) const;
  [[nodiscard]] bool unreachable_of_late(double unreachable_at) const;
  [[nodiscard]] bool unreachable_of_late(const std::vector<Group> &groups, std::size_t group) const;

  void count_machines();
  void mark_unreachable_groups();
  [[nodiscard]] std::string unreachable_groups() const;
  void log_change(const std::string &unreachable);

  Runtime &runtime_;
  const Settings &settings_;
  const InstanceTypeCatalog &catalog_;
  const Leadership &leadership_;
  const WorkerRegistry &workers_;

  std::vector<Group> paths_;
  std::vector<Group> zones_;
  GroupCount totals_;
  double all_unreachable_at_ = -1e9; // monotonic
  bool outage_detected_ = false;
  bool all_unreachable_ = false;
  std::string logged_;
  double next_count_at_ = 0; // monotonic
};

} // namespace loftrouter::core
