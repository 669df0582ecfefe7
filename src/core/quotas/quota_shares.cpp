#include "loftrouter/core/quotas/quota_shares.hpp"

#include <algorithm>
#include <array>
#include <cmath>

#include <fmt/format.h>

namespace loftrouter::cells {

namespace {

using wire::Amounts;
using wire::AmountsByCell;

constexpr double kTolerance = 1e-6; // CPUs, GPUs
constexpr std::array kFields{&Amounts::cpus, &Amounts::gpus};

// FNV-1a with a finalizer, because names often differ in their last characters only. All cells must compute the same
// hash, so the function cannot be changed.
std::uint64_t hash(const std::string &text) {
  std::uint64_t value = 0xcbf29ce484222325ULL;
  for (unsigned char character : text)
    value = (value ^ character) * 0x100000001b3ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

} // namespace

const std::string &owner_cell(const std::string &team, const std::vector<std::string> &names) {
  return *std::max_element(names.begin(), names.end(), [&team](const auto &left, const auto &right) {
    return std::pair(hash(left + "/" + team), left) < std::pair(hash(right + "/" + team), right);
  });
}

Amounts even_share(const Amounts &limit, std::size_t cells) {
  const auto count = static_cast<double>(std::max<std::size_t>(1, cells));
  return {limit.cpus / count, limit.gpus / count};
}

AmountsByCell target_shares(const Amounts &limit, const AmountsByCell &shares, const std::vector<std::string> &names) {
  AmountsByCell targets;
  for (const auto &name : names)
    targets[name] = {};
  for (const auto field : kFields) {
    double rest = limit.*field;
    std::size_t unset = 0;
    for (const auto &name : names) {
      const auto it = shares.find(name);
      const bool set = it != shares.end() && std::isfinite(it->second.*field);
      if (set) rest -= it->second.*field;
      unset += !set;
    }
    for (const auto &name : names) {
      const auto it = shares.find(name);
      const bool set = it != shares.end() && std::isfinite(it->second.*field);
      targets[name].*field = set ? it->second.*field : std::max(0.0, rest) / static_cast<double>(unset);
    }
  }
  return targets;
}

std::optional<std::string> validate_shares(const Amounts &limit, const AmountsByCell &shares,
                                           const std::vector<std::string> &names) {
  Amounts sum;
  for (const auto &[cell, share] : shares) {
    if (std::find(names.begin(), names.end(), cell) == names.end())
      return fmt::format("shares: there is no cell {}", cell);
    for (const auto field : kFields)
      if (std::isfinite(share.*field)) sum.*field += share.*field;
  }
  for (const auto field : kFields)
    if (sum.*field > limit.*field + kTolerance) return "shares: they add up to more than the limit";
  return std::nullopt;
}

void lower_caps(wire::QuotaRecord &record, const std::vector<std::string> &names, const Amounts &previous) {
  const auto targets = target_shares(record.limits.most, record.shares, names);
  for (const auto &name : names) {
    if (!record.held.contains(name)) record.held[name] = previous;
    Amounts &cap = record.caps[name];
    for (const auto field : kFields)
      cap.*field = std::min(targets.at(name).*field, record.held[name].*field);
  }
}

bool acknowledge(wire::QuotaRecord &record, const std::string &cell) {
  const auto cap = record.caps.find(cell);
  const auto held = record.held.find(cell);
  if (cap == record.caps.end() || held == record.held.end() || held->second == cap->second) return false;
  held->second = cap->second;
  return true;
}

bool raise_caps(wire::QuotaRecord &record, const std::vector<std::string> &names) {
  const auto targets = target_shares(record.limits.most, record.shares, names);
  bool changed = false;
  for (const auto field : kFields) {
    double free = record.limits.most.*field;
    for (const auto &[name, held] : record.held)
      free -= held.*field;
    if (std::isnan(free)) free = Amounts::kUnlimited; // infinity minus infinity: limit and held amounts are unlimited
    for (const auto &name : names) {
      // A cap that the cell has not acknowledged yet (it holds more) must not be raised.
      double &cap = record.caps[name].*field, &held = record.held[name].*field;
      const double increase = std::isinf(held) ? 0 : std::min(targets.at(name).*field - held, free);
      const bool acknowledged = cap == held;
      if (!acknowledged || !(increase > kTolerance)) continue;
      cap = held = held + increase;
      free -= increase;
      changed = true;
    }
  }
  return changed;
}

} // namespace loftrouter::cells
