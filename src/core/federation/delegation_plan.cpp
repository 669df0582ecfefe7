#include "loftrouter/core/federation/delegation_plan.hpp"

#include <algorithm>
#include <cmath>

namespace loftrouter::cells {

bool allowed(const Work &work, const wire::CellKind &kind) {
  if (kind.spot && !work.spot) return false;
  if (!work.need.fits(kind.size)) return false;
  return work.types.empty() || std::find(work.types.begin(), work.types.end(), kind.type) != work.types.end();
}

static std::uint32_t places(const Resources &room, const Resources &need) {
  double n = 1e6;
  for (auto [r, d] :
       {std::pair(room.cpus, need.cpus), std::pair(room.gpus, need.gpus), std::pair(room.memory, need.memory)})
    if (d > 0) n = std::min(n, std::floor(r / d + 1e-9));
  return static_cast<std::uint32_t>(std::max(0.0, n));
}

// What is free on machines that something else is on lies in pieces: only small tasks find a place there.
std::uint32_t room(const Work &work, const View &cell) {
  constexpr double kSmall = 0.25; // of a machine
  std::uint32_t n = 0;
  for (const auto &k : cell.kinds) {
    if (!allowed(work, k)) continue;
    n += k.idle * places(k.size, work.need);
    Resources rest = k.free, least = k.size;
    rest.add(k.size, -static_cast<double>(k.idle));
    least.add(k.size, kSmall - 1);
    if (work.need.fits(least)) n += places(rest, work.need);
  }
  return n;
}

double score(const Work &work, const View &cell, const Rules &rules) {
  Resources all, free;
  for (const auto &k : cell.kinds)
    if (allowed(work, k)) {
      all.add(k.size, k.machines);
      free.add(k.free);
    }
  auto part = [&](double f, double a, double need) {
    if (a <= 0) return 0.0;
    return std::clamp(f / a, 0.0, 1.0) * std::min(1.0, need * work.tasks / a);
  };
  const double fit = part(free.cpus, all.cpus, work.need.cpus) + part(free.gpus, all.gpus, work.need.gpus) +
                     part(free.memory, all.memory, work.need.memory);
  return fit * std::max(0.0, 1 - cell.age_s / rules.fresh_s);
}

std::optional<double> wait_there(const Work &work, const View &cell, const Rules &rules) {
  if (cell.age_s >= rules.fresh_s) return std::nullopt;
  const bool now = room(work, cell) >= (work.whole ? work.tasks : 1);
  std::optional<double> best;
  auto take = [&best](double wait) { best = std::min(best.value_or(wait), wait); };
  for (const auto &k : cell.kinds) {
    if (!allowed(work, k)) continue;
    const double fetch = work.image_gb / std::max(0.01, k.fetch_gb_per_s);
    if (now && k.machines > 0) take(fetch);
    if (!k.refused) take(k.boot_s + fetch); // its cloud may have some
    const auto u = static_cast<std::size_t>(work.priority);
    if (k.machines > 0 && u < cell.wait_s.size()) take(cell.wait_s[u] + fetch);
  }
  if (!best) return std::nullopt;
  return *best + rules.hand_over_s + cell.age_s;
}

std::optional<Choice> choose(const Work &work, const std::vector<View> &cells, const Rules &rules) {
  std::optional<Choice> best;
  for (std::size_t c = 0; c < cells.size(); ++c) {
    if (!cells[c].open) continue;
    const auto wait = wait_there(work, cells[c], rules);
    if (!wait || work.wait_here_s < *wait + rules.margin_s + rules.margin_share * work.wait_here_s) continue;
    const double s = score(work, cells[c], rules);
    // The higher score, as among machines; among equals, for which there is no room anywhere, the shorter wait.
    if (!best || s > best->score + 1e-12 || (s > best->score - 1e-12 && *wait < best->wait_s))
      best = Choice{static_cast<int>(c), s, *wait};
  }
  return best;
}

void CapacityGrants::expire(double now) {
  std::erase_if(capacity_grants_, [now](const CapacityGrant &p) { return now >= p.until; });
}

double CapacityGrants::promised_cpus(double now) {
  expire(now);
  double sum = 0;
  for (const auto &p : capacity_grants_)
    sum += p.cpus;
  return sum;
}

std::uint32_t CapacityGrants::promise(std::uint64_t ticket, double cpus_each, std::uint32_t most, bool whole,
                                      double free_cpus, double now) {
  const double left = free_cpus - promised_cpus(now);
  if (capacity_grants_.size() >= kMax || left <= 0) return 0;
  const auto n =
      std::min(most, static_cast<std::uint32_t>(std::min(1e6, std::floor(left / std::max(0.01, cpus_each) + 1e-9))));
  if (n == 0 || (whole && n < most)) return 0;
  capacity_grants_.push_back({ticket, n, n * cpus_each, now + kKept});
  return n;
}

bool CapacityGrants::take(std::uint64_t ticket, std::uint32_t tasks, double now) {
  expire(now);
  const auto it = std::find_if(capacity_grants_.begin(), capacity_grants_.end(),
                               [&](const CapacityGrant &p) { return p.ticket == ticket; });
  if (it == capacity_grants_.end() || tasks > it->tasks) return false;
  capacity_grants_.erase(it);
  return true;
}

} // namespace loftrouter::cells
