// Chooses the cell to which waiting work is delegated, and tracks capacity grants. Cells are scored from their latest
// capacity summaries. Performs no I/O; tests compare the choice with a reference implementation.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "loftrouter/model/types.hpp"
#include "loftrouter/wire/cell.hpp"

namespace loftrouter::cells {

// Describes the pending tasks of a job that may be delegated.
struct DelegationCandidate {
  Resources need;                 // per task
  std::vector<std::string> types; // allowed instance types; empty: any
  bool spot = false, all_or_nothing = false;
  std::uint32_t tasks = 0;
  double estimate_s = 0, image_gb = 0;
  Priority priority = Priority::Normal;
  double local_wait_s = 0; // expected wait in the origin cell
};
// Describes the capacity of a cell, as of its latest summary.
struct CellCapacity {
  std::vector<wire::CellKind> kinds;
  std::vector<double> wait_s; // expected wait of a new job, by priority
  double age_s = 1e9;         // age of the summary
  bool available = true;      // may be asked for capacity
};
struct PlanRules {
  double handover_s = 2;         // to record the delegation in both cells and exchange messages
  double margin_s = 5;           // how much shorter the remote wait must be, plus
  double margin_share = 0.2;     // a share of the local wait
  double max_summary_age_s = 10; // older summaries are ignored; the score falls linearly with age
};
struct CellChoice {
  int cell = -1;                // index of the cell
  double score = 0, wait_s = 0; // wait_s: expected in that cell
};

bool can_run_on(const DelegationCandidate &work, const wire::CellKind &kind);
// Returns about how many tasks fit now; not exact, as summaries hold totals and not single machines.
std::uint32_t free_slots(const DelegationCandidate &work, const CellCapacity &cell);
// Sums, over the resources, the free share times the demanded share (at most 1) of the machines that can run the work.
double capacity_score(const DelegationCandidate &work, const CellCapacity &cell, const PlanRules &rules);
// Returns the expected time until the work starts in that cell, or nothing if it can't run there or the summary is
// stale.
std::optional<double> expected_wait_s(const DelegationCandidate &work, const CellCapacity &cell,
                                      const PlanRules &rules);
// Returns the best cell whose expected wait beats the local one by the margin, if any.
std::optional<CellChoice> choose_cell(const DelegationCandidate &work, const std::vector<CellCapacity> &cells,
                                      const PlanRules &rules);

// Holds the capacity that this cell has granted for announced offers. Keeps several origin cells from filling the same
// free capacity.
class CapacityGrants {
public:
  // Grants up to `max_tasks` tasks that fit into `free_cpus` beside the outstanding grants; returns their number.
  std::uint32_t grant(std::uint64_t grant_id, double cpus_per_task, std::uint32_t max_tasks, bool all_or_nothing,
                      double free_cpus, double now);
  // Consumes the grant of an offer. Returns false if there is none, it has expired or it is too small.
  bool redeem(std::uint64_t grant_id, std::uint32_t tasks, double now);
  double granted_cpus(double now);
  static constexpr double kGrantValidityS = 5.0;
  static constexpr std::size_t kMaxGrants = 256;

private:
  struct CapacityGrant {
    std::uint64_t grant_id;
    std::uint32_t tasks;
    double cpus, expires_at;
  };
  void expire(double now);
  std::vector<CapacityGrant> grants_;
};

} // namespace loftrouter::cells
