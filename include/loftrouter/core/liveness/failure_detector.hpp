// Detects which workers a leader has lost contact with, and finds the likeliest cause for each: the machine, its zone,
// the path of its heartbeats (direct, or forwarded by a certain replica), or a loss of all heartbeats.
//
// Owns the counts of workers whose heartbeats are overdue. It does not decide that tasks have ended; `WorkerRegistry`
// does. It guards against discarding the fleet on a network fault: a machine that is unreachable along with its zone or
// path is not scaled in, and one that is unreachable along with its path or all other machines is not replaced, until
// waiting costs more than a replacement (`replacement_cost_s`). Single-threaded. See docs/links.md, "No fleet is thrown
// away".
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "loftrouter/core/runtime/dense_index.hpp"
#include "loftrouter/core/workers/worker_registry.hpp"

namespace loftrouter::core {

// Time after a heartbeat from which the next one is overdue, s. Workers send heartbeats within 1.25 intervals.
[[nodiscard]] inline double heartbeat_timeout_s(const Settings &settings) {
  return 1.25 * settings.heartbeat_interval_s + 1.5;
}

class FailureDetector {
public:
  // Why a worker's heartbeats are overdue.
  enum class Cause : std::uint8_t { None, Machine, Zone, Path, All };

  // The workers of a group whose heartbeats are expected, and those whose heartbeats are overdue.
  struct GroupCount {
    static constexpr std::size_t kMinWorkers = 4; // fewer may fail at once by coincidence
    std::size_t known = 0;
    std::size_t overdue = 0;

    // Whether the group is large enough to tell, and at least 95% of its workers are overdue.
    [[nodiscard]] bool unreachable() const { return known >= kMinWorkers && overdue * 100 >= known * 95; }
    void add(const GroupCount &count) {
      known += count.known;
      overdue += count.overdue;
    }
  };

  FailureDetector(Runtime &runtime, const Settings &settings, const InstanceTypeCatalog &catalog,
                  const Leadership &leadership, const WorkerRegistry &workers)
      : runtime_(runtime), settings_(settings), catalog_(catalog), leadership_(leadership), workers_(workers) {}

  // Recounts a few times a second while this replica leads.
  void tick();
  void on(const TermEnded &);

  // Whether scaling in this machine is forbidden because it may only be unreachable.
  [[nodiscard]] bool must_not_scale_in(MachineIndex machine_index) const;
  // Whether renting a replacement for this machine is forbidden.
  [[nodiscard]] bool must_not_replace(MachineIndex machine_index) const;

  [[nodiscard]] const GroupCount &totals() const { return totals_; }
  // Whether no heartbeats arrive and some machine must not be replaced. A newly rented machine would be unreachable
  // too.
  [[nodiscard]] bool all_unreachable() const { return all_unreachable_; }
  // Whether a zone, a path or the whole fleet is unreachable. Some workers may then reach another replica.
  [[nodiscard]] bool outage_detected() const { return outage_detected_; }

private:
  // Workers that share a zone or a path. The time when the group was last unreachable is kept, because after its
  // recovery some workers send their next heartbeat later than others.
  struct Group {
    GroupCount count;
    double unreachable_at = -1e9; // monotonic
  };

  // Monotonic time of the last heartbeat if the next one is overdue, otherwise nullopt. A machine that has sent none
  // counts from when it became known.
  [[nodiscard]] std::optional<double> overdue_since(const Machine &machine) const;
  // Index into `paths_`: direct, then one for each forwarding replica, then unknown (no heartbeat received yet).
  [[nodiscard]] std::size_t path_of(const Machine &machine) const;
  [[nodiscard]] Cause cause_of(MachineIndex machine_index) const;
  // Minimum cost of a replacement, in seconds of the machine's price: the minimum charge and its boot time.
  [[nodiscard]] double replacement_cost_s(const Machine &machine) const;
  [[nodiscard]] bool recently_unreachable(double unreachable_at) const;
  [[nodiscard]] bool recently_unreachable(const std::vector<Group> &groups, std::size_t group_index) const;

  void count_machines();
  void update_outages();
  [[nodiscard]] std::string unreachable_group_names() const;
  void log_change(const std::string &unreachable_groups);

  Runtime &runtime_;
  const Settings &settings_;
  const InstanceTypeCatalog &catalog_;
  const Leadership &leadership_;
  const WorkerRegistry &workers_;

  std::vector<Group> paths_; // see `path_of`
  std::vector<Group> zones_; // by zone index
  GroupCount totals_;
  double all_unreachable_at_ = -1e9; // monotonic
  bool outage_detected_ = false;
  bool all_unreachable_ = false;
  std::string logged_groups_;
  double next_count_at_ = 0; // monotonic
};

} // namespace loftrouter::core
