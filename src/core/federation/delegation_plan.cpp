#include "loftrouter/core/federation/delegation_plan.hpp"

#include <algorithm>
#include <cmath>

namespace loftrouter::cells {

bool can_run_on(const DelegationCandidate &work, const wire::CellKind &kind) {
  if (kind.spot && !work.spot) return false;
  if (!work.need.fits(kind.size)) return false;
  return work.types.empty() || std::find(work.types.begin(), work.types.end(), kind.type) != work.types.end();
}

// Free capacity on partly used machines is fragmented, so only small tasks are counted there.
std::uint32_t free_slots(const DelegationCandidate &work, const CellCapacity &cell) {
  constexpr double small_task_share = 0.25; // of a machine
  std::uint32_t slots = 0;
  for (const auto &kind : cell.kinds) {
    if (!can_run_on(work, kind)) continue;
    slots += kind.idle * work.need.count_in(kind.size);
    Resources fragmented = kind.free, small_task = kind.size;
    fragmented.add(kind.size, -static_cast<double>(kind.idle));
    small_task.add(kind.size, small_task_share - 1);
    if (work.need.fits(small_task)) slots += work.need.count_in(fragmented);
  }
  return slots;
}

double capacity_score(const DelegationCandidate &work, const CellCapacity &cell, const PlanRules &rules) {
  Resources total, free;
  for (const auto &kind : cell.kinds)
    if (can_run_on(work, kind)) {
      total.add(kind.size, kind.machines);
      free.add(kind.free);
    }
  auto weighted_free_share = [&](double available, double total, double need) {
    if (total <= 0) return 0.0;
    return std::clamp(available / total, 0.0, 1.0) * std::min(1.0, need * work.tasks / total);
  };
  const double sum = weighted_free_share(free.cpus, total.cpus, work.need.cpus) +
                     weighted_free_share(free.gpus, total.gpus, work.need.gpus) +
                     weighted_free_share(free.memory, total.memory, work.need.memory);
  return sum * std::max(0.0, 1 - cell.age_s / rules.max_summary_age_s);
}

std::optional<double> expected_wait_s(const DelegationCandidate &work, const CellCapacity &cell,
                                      const PlanRules &rules) {
  if (cell.age_s >= rules.max_summary_age_s) return std::nullopt;
  const bool fits_now = free_slots(work, cell) >= (work.all_or_nothing ? work.tasks : 1);
  std::optional<double> best;
  auto consider = [&best](double wait) { best = std::min(best.value_or(wait), wait); };
  for (const auto &kind : cell.kinds) {
    if (!can_run_on(work, kind)) continue;
    const double fetch_s = work.image_gb / std::max(0.01, kind.fetch_gb_per_s);
    if (fits_now && kind.machines > 0) consider(fetch_s);
    if (!kind.refused) consider(kind.boot_s + fetch_s); // by scaling out
    const auto priority = static_cast<std::size_t>(work.priority);
    if (kind.machines > 0 && priority < cell.wait_s.size()) consider(cell.wait_s[priority] + fetch_s);
  }
  if (!best) return std::nullopt;
  return *best + rules.handover_s + cell.age_s;
}

std::optional<CellChoice> choose_cell(const DelegationCandidate &work, const std::vector<CellCapacity> &cells,
                                      const PlanRules &rules) {
  std::optional<CellChoice> best;
  for (std::size_t index = 0; index < cells.size(); ++index) {
    if (!cells[index].available) continue;
    const auto wait = expected_wait_s(work, cells[index], rules);
    if (!wait || work.local_wait_s < *wait + rules.margin_s + rules.margin_share * work.local_wait_s) continue;
    const double score = capacity_score(work, cells[index], rules);
    // Scores are equal where no cell has free capacity; then the shorter wait decides.
    if (!best || score > best->score + 1e-12 || (score > best->score - 1e-12 && *wait < best->wait_s))
      best = CellChoice{static_cast<int>(index), score, *wait};
  }
  return best;
}

void CapacityGrants::expire(double now) {
  std::erase_if(grants_, [now](const CapacityGrant &grant) { return now >= grant.expires_at; });
}

double CapacityGrants::granted_cpus(double now) {
  expire(now);
  double sum = 0;
  for (const auto &grant : grants_)
    sum += grant.cpus;
  return sum;
}

std::uint32_t CapacityGrants::grant(std::uint64_t grant_id, double cpus_per_task, std::uint32_t max_tasks,
                                    bool all_or_nothing, double free_cpus, double now) {
  const double remaining_cpus = free_cpus - granted_cpus(now);
  if (grants_.size() >= kMaxGrants || remaining_cpus <= 0) return 0;
  const auto tasks = std::min(max_tasks, static_cast<std::uint32_t>(std::min(
                                             1e6, std::floor(remaining_cpus / std::max(0.01, cpus_per_task) + 1e-9))));
  if (tasks == 0 || (all_or_nothing && tasks < max_tasks)) return 0;
  grants_.push_back({grant_id, tasks, tasks * cpus_per_task, now + kGrantValidityS});
  return tasks;
}

bool CapacityGrants::redeem(std::uint64_t grant_id, std::uint32_t tasks, double now) {
  expire(now);
  const auto it = std::find_if(grants_.begin(), grants_.end(),
                               [&](const CapacityGrant &grant) { return grant.grant_id == grant_id; });
  if (it == grants_.end() || tasks > it->tasks) return false;
  grants_.erase(it);
  return true;
}

} // namespace loftrouter::cells
